package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
)

// canceledTransport counts the requests whose contexts had not ended when they came.
type canceledTransport struct{ live int }

// RoundTrip implements http.RoundTripper.
func (s *canceledTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	s.live++
	return newResponse(req, http.StatusOK, kind.RanYes), nil
}

// TestCallerGone guards against an attempt at a call whose caller has disconnected before, for
// example while the call was held at a starting node.
func TestCallerGone(t *testing.T) {
	c := qt.New(t)
	tr := new(canceledTransport)
	p := New(Deps{
		Balancer: NewBalancer("northgate", "north-line", 1), Budget: NewBudget(), Scheme: "http", Transport: tr,
		CrashCount:   func(uint64) int { return 0 },
		Authenticate: func(http.Header) (string, bool) { return "", true }, StallTimeout: time.Minute,
	})
	p.SetTable(table(members()))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 1000 {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://orderdesk/orders", nil).WithContext(ctx))
		c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, kind.RanNo)
	}
	c.Check(tr.live, qt.Equals, 0)
}
