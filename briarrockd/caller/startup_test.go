package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
)

// sendRequest sends a request to a Proxy. It returns the time until the response and the
// kind of failure.
func sendRequest(p *Proxy) (time.Duration, kind.Kind) {
	r := httptest.NewRequest(http.MethodGet, "http://orderdesk/", nil)
	w := httptest.NewRecorder()
	began := time.Now()
	p.ServeHTTP(w, r)
	return time.Since(began), kind.Kind(w.Header().Get(kind.HeaderKind))
}

// TestHoldAtStart guards against restarted nodes that refuse all calls in the moment
// before they have a configuration and know their targets.
func TestHoldAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := New(Deps{
			Balancer: NewBalancer("a", "b", 1), Budget: NewBudget(), Authenticate: func(http.Header) (string, bool) { return "", true },
			CrashCount: func(uint64) int { return 0 }, Transport: &scriptedTransport{results: []scriptedResult{{status: http.StatusOK}}}, StallTimeout: time.Second,
		})
		go func() {
			time.Sleep(200 * time.Millisecond)
			p.SetTable(table(nil))
			time.Sleep(100 * time.Millisecond)
			p.SetTable(table(members()))
		}()
		took, k := sendRequest(p)
		c.Check(took, qt.Equals, 300*time.Millisecond)
		c.Check(k, qt.Equals, kind.None)

		p = New(Deps{Balancer: NewBalancer("a", "b", 1), Budget: NewBudget()})
		took, k = sendRequest(p)
		c.Check(took, qt.Equals, maxStartupWait)
		c.Check(k, qt.Equals, kind.Config)

		// A node that has been up for a while refuses at once.
		time.Sleep(startupPeriod)
		took, k = sendRequest(p)
		c.Check(took, qt.Equals, time.Duration(0))
		c.Check(k, qt.Equals, kind.Config)
	})
}
