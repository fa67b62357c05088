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

// unresponsiveNode is a transport to a node that never answers. It requests the body only
// if requestsBody is set.
type unresponsiveNode struct {
	requestsBody bool
	withheld     bool
}

// RoundTrip implements http.RoundTripper.
func (s *unresponsiveNode) RoundTrip(req *http.Request) (*http.Response, error) {
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	s.withheld = req.Header.Get(http1.HeaderHeld) != ""
	if s.requestsBody {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestBodyWithheld guards against "may have run" for a request that was still queued at
// the target's node. In an overload its body is withheld, and until the node requests the
// body the request has not run.
func TestBodyWithheld(t *testing.T) {
	for name, x := range map[string]struct {
		full, bodyRequested, withheld bool
		ran                           kind.Ran
	}{
		"no overload":                  {false, true, false, kind.RanUnknown},
		"overload, body requested":     {true, true, true, kind.RanUnknown},
		"overload, body not requested": {true, false, true, kind.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := New(Deps{
					Balancer: NewBalancer("northgate", "north-line", 1), Budget: NewBudget(), Scheme: "http",
					CrashCount:   func(uint64) int { return 0 },
					Authenticate: func(http.Header) (string, bool) { return "", true }, StallTimeout: time.Minute,
				})
				tr := &unresponsiveNode{requestsBody: x.bodyRequested}
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
				c.Check(tr.withheld, qt.Equals, x.withheld)
				c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, x.ran)
			})
		})
	}
}
