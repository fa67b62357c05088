package node

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// checkLength rejects HTTP/2 requests whose Content-Length is invalid, or zero in spite of a body.
// net/http's server takes an invalid one for zero, and notices only when a body is read that it
// isn't empty: the request would seem complete without it.
func (n *Node) checkLength(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lengths := r.Header["Content-Length"]
		if len(lengths) > 1 || len(lengths) == 1 && (!isNumber(lengths[0]) || r.ContentLength == 0 && !n.isBodyEmpty(w, r)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func isNumber(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r < '0' || r > '9' })
}

// isBodyEmpty waits for the end of a request's body.
func (n *Node) isBodyEmpty(w http.ResponseWriter, r *http.Request) bool {
	deadline := http.NewResponseController(w)
	_ = deadline.SetReadDeadline(time.Now().Add(n.cfg.StallTimeout))
	length, err := io.Copy(io.Discard, r.Body)
	_ = deadline.SetReadDeadline(time.Time{})
	return length == 0 && err == nil
}
