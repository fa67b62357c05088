package http1

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// answerBody is the body of an answer. Its end makes the connection free.
type answerBody struct {
	io.ReadCloser
	l    *link
	x    *trip
	keep bool
	once sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.pass(b.keep)
	default:
		if why := b.l.reason(); why != nil {
			err = why
		}
		b.pass(false)
	}
	return n, err //nolint:wrapcheck // io.EOF must pass as it is
}

// Close implements io.Closer. A body that is closed before its end takes its
// connection with it.
func (b *answerBody) Close() error {
	b.pass(false)
	return nil
}

func (b *answerBody) pass(ok bool) { b.once.Do(func() { b.l.pass(b.x, ok) }) }
