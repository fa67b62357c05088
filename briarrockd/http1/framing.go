package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// errFraming is returned if it is uncertain where a message ends: another reader of the same
// bytes could find another end, and take the rest for a message of its own.
var errFraming = errors.New("http1: ambiguous end of message")

// maxHeadLines limits the lines of a message's head. The memory for the parsed fields grows with
// their number: a head of short fields would take many times its size.
const maxHeadLines = 1000

// startHead begins to limit and to record the head of a message. The bytes that br has buffered
// already belong to it.
func (l *limitedReader) startHead(br *bufio.Reader, limit int) {
	buffered, _ := br.Peek(br.Buffered()) // cannot fail
	if cap(l.head) > bufferSize {
		l.head = nil
	}
	l.head = append(l.head[:0], buffered...)
	l.lines = bytes.Count(buffered, []byte{'\n'})
	l.enabled, l.exceeded, l.remaining = true, false, limit
}

// endHead ends the limit and returns the head as received, valid until the next startHead.
func (l *limitedReader) endHead(br *bufio.Reader) []byte {
	l.enabled = false
	return l.head[:len(l.head)-br.Buffered()]
}

// checkFraming checks what net/http's functions for reading a message accept or ignore: header
// fields that are invalid, a Transfer-Encoding in a message of HTTP/1.0, and one beside a
// Content-Length. net/http removes these fields from the header, so head, which is the message's
// head as received, is searched for them.
func checkFraming(head []byte, h http.Header, http11 bool) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrap(errFraming, "invalid field name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Wrap(errFraming, "invalid field value")
			}
		}
	}
	encoded, sized := hasField(head, "transfer-encoding"), hasField(head, "content-length")
	switch {
	case encoded && !http11:
		return errors.Wrap(errFraming, "Transfer-Encoding with HTTP/1.0")
	case encoded && sized:
		return errors.Wrap(errFraming, "both Transfer-Encoding and Content-Length")
	}
	return nil
}

// hasField reports whether a head has a field of the given name.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		field, _, ok := bytes.Cut(line, []byte(":"))
		if ok && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}
