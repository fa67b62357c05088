package node

import (
	"net/http"
	"sync"
	"time"
)

// guardDeadlines makes setting the read deadline of a response safe after the handler has returned.
// A transport may abort its read of the request's body as late as that, and net/http's HTTP/2 server
// would panic.
func guardDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g := &deadlineGuard{ResponseWriter: w}
		defer g.end()
		next.ServeHTTP(g, r)
	})
}

// deadlineGuard is the http.ResponseWriter of guardDeadlines.
type deadlineGuard struct {
	http.ResponseWriter
	mu    sync.Mutex
	ended bool // the handler has returned
}

// SetReadDeadline is used by http.ResponseController. Once the handler has returned, the server
// has closed the body.
func (g *deadlineGuard) SetReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return http.ErrBodyReadAfterClose
	}
	return http.NewResponseController(g.ResponseWriter).SetReadDeadline(t) //nolint:wrapcheck // passed through
}

// Unwrap is used by http.ResponseController.
func (g *deadlineGuard) Unwrap() http.ResponseWriter { return g.ResponseWriter }

func (g *deadlineGuard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}
