// Package strict reads and validates YAML documents written by people. Unknown,
// duplicate and missing keys, wrong types and values out of range are mistakes.
// A Reader collects all mistakes of a document, each with its line and column,
// instead of stopping at the first one.
//
//	var r strict.Reader
//	root, ok := r.Parse(src)
//	r.Fields(root, "the settings", map[string]strict.Field{
//		"host": {Read: func(n *yaml.Node) { s.Host = r.Name(n) }, Required: true},
//	})
//	return s, r.Err()
package strict

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Mistake is a validation error in a document, with its position. Line and
// Column count from 1; 0 means the document as a whole.
type Mistake struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// String returns the mistake as line:column: text.
func (m Mistake) String() string {
	return fmt.Sprintf("%d:%d: %s", m.Line, m.Column, m.Text)
}

// Mistakes is the list of all mistakes in a document, ordered by position. A
// non-empty list is used as an error.
type Mistakes []Mistake

// Error returns the mistakes, one per line.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, x := range m {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// maxMistakes limits the mistakes that a Reader collects. A document with more
// usually has a single early mistake that causes all the others.
const maxMistakes = 50

// Reader parses a document and collects its mistakes. The zero value is ready
// to use.
type Reader struct {
	mistakes Mistakes
}

// Add records a mistake at the position of n.
func (r *Reader) Add(n *yaml.Node, format string, args ...any) {
	r.AddAt(n.Line, n.Column, format, args...)
}

// AddAt records a mistake at the given line and column.
func (r *Reader) AddAt(line, column int, format string, args ...any) {
	if len(r.mistakes) >= maxMistakes {
		return
	}
	r.mistakes = append(r.mistakes, Mistake{line, column, fmt.Sprintf(format, args...)})
}

// Parse parses src and returns the root node of its document. It records a
// mistake and returns false if src is not valid YAML, is empty or contains more
// than one document.
func (r *Reader) Parse(src []byte) (*yaml.Node, bool) {
	var doc, second yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(src))
	if err := dec.Decode(&doc); err != nil && !errors.Is(err, io.EOF) {
		r.addSyntaxError(src, err)
		return nil, false
	}
	// A second document would be ignored without a message.
	switch err := dec.Decode(&second); {
	case err == nil:
		r.Add(&second, "a second document begins here; there must be one only")
		return nil, false
	case !errors.Is(err, io.EOF):
		r.addSyntaxError(src, err)
		return nil, false
	}
	if len(doc.Content) == 0 {
		r.AddAt(1, 1, "the document is empty")
		return nil, false
	}
	return doc.Content[0], true
}

// addSyntaxError records a syntax error of the YAML library. It parses the line
// number from the error's text, the only place where the library reports it.
func (r *Reader) addSyntaxError(src []byte, err error) {
	msg := strings.TrimPrefix(err.Error(), "yaml: ")
	// The library quotes an unknown anchor, and gives no line. A secret that begins
	// with * is read as one, so it is not repeated here.
	if rest, ok := strings.CutPrefix(msg, "unknown anchor '"); ok {
		name, _, _ := strings.Cut(rest, "' referenced")
		line, column := position(src, "*"+name)
		r.AddAt(line, column, "not YAML: a value that begins with * refers to an unknown anchor; quote it")
		return
	}
	line := 0
	if n, _ := fmt.Sscanf(msg, "line %d:", &line); n == 1 {
		_, msg, _ = strings.Cut(msg, ": ")
	}
	r.AddAt(line, 1, "not YAML: %s", msg)
}

// position returns the line and column of the first occurrence of s in src; the
// line is 0 if there is none.
func position(src []byte, s string) (line, column int) {
	before, _, ok := bytes.Cut(src, []byte(s))
	if !ok {
		return 0, 1
	}
	last := before[bytes.LastIndexByte(before, '\n')+1:]
	return 1 + bytes.Count(before, []byte("\n")), 1 + utf8.RuneCount(last)
}

// Err returns the recorded mistakes as a Mistakes ordered by position, or nil
// if there are none.
func (r *Reader) Err() error {
	if len(r.mistakes) == 0 {
		return nil
	}
	sort.SliceStable(r.mistakes, func(i, j int) bool {
		a, b := r.mistakes[i], r.mistakes[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return r.mistakes
}
