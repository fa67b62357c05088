package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
)

// silent is a transport to a node that never answers, and asks for the body only if reads
// is set.
type silent struct {
	reads bool
	held  bool
}

// RoundTrip implements http.RoundTripper.
func (s *silent) RoundTrip(req *http.Request) (*http.Response, error) {
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	s.held = req.Header.Get(http1.HeaderHeld) != ""
	if s.reads {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestHeldBack guards against callers who are told "may have run" of an order that was
// still queued at the target's node: in an overload its body is held back, and while
// nobody has asked for that, it has not run.
func TestHeldBack(t *testing.T) {
	for name, x := range map[string]struct {
		full, asked, held bool
		ran               kind.Ran
	}{
		"no overload":                  {false, true, false, kind.RanUnknown},
		"overload, body asked for":     {true, true, true, kind.RanUnknown},
		"overload, body not asked for": {true, false, true, kind.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := New(Deps{
					Balancer: NewBalancer("northgate", "north-line", 1), Budget: NewBudget(), Scheme: "http",
					CrashCount:   func(uint64) int { return 0 },
					Authenticate: func(http.Header) (string, bool) { return "", true }, StallTimeout: time.Minute,
				})
				tr := &silent{reads: x.asked}
				p.deps.Transport = tr
				ms := members()
				p.SetTable(table(ms))
				if x.full {
					p.deps.Balancer.done(time.Now(), "orderdesk", ms[0].Host, Feedback{Full: true})
				}
				r := httptest.NewRequest(http.MethodPost, "http://orderdesk/orders", strings.NewReader("order"))
				r.Header.Set(target.HeaderDeadline, "500")
				w := httptest.NewRecorder()
				p.ServeHTTP(w, r)
				c.Check(tr.held, qt.Equals, x.held)
				c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, x.ran)
			})
		})
	}
}
