package http1

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// responseBody is the body of a response. Reading it to its end releases the connection.
type responseBody struct {
	io.ReadCloser
	pc       *persistConn
	pr       *pendingRequest
	reusable bool // the response does not say that the connection closes
	once     sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.release(b.reusable)
	default:
		if reason := b.pc.closeReason(); reason != nil {
			err = reason
		}
		b.release(false)
	}
	return n, err //nolint:wrapcheck // the caller compares with io.EOF
}

// Close implements io.Closer. If the body has not been read to its end, the connection
// is closed.
func (b *responseBody) Close() error {
	b.release(false)
	return nil
}

func (b *responseBody) release(ok bool) { b.once.Do(func() { b.pc.release(b.pr, ok) }) }
