package node

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"briarrock.example/briarrockd/relay"
)

// closeUnread makes responses to streamed requests close their connection if they begin before
// the body has been read to its end. net/http's server does so by itself only without full
// duplex. With it, the server takes the rest of a body for the next request if a read of the
// body was interrupted.
func closeUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && relay.IsStreamed(r) {
			body := &trackedBody{ReadCloser: r.Body}
			r.Body = body
			w = &unreadBodyWriter{ResponseWriter: w, body: body}
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody is a body that records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err //nolint:wrapcheck // io.EOF must not be wrapped
}

// unreadBodyWriter is the http.ResponseWriter of closeUnread.
type unreadBodyWriter struct {
	http.ResponseWriter
	body  *trackedBody
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (w *unreadBodyWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wrote {
		w.wrote = true
		if !w.body.ended.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *unreadBodyWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // passed through
}

// Unwrap is used by http.ResponseController.
func (w *unreadBodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
