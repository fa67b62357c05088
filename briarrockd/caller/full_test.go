package caller

import (
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// fullTargets is a transport to targets' nodes that are full. Each stays marked as full
// for 2.5 ms.
type fullTargets struct{}

// RoundTrip implements http.RoundTripper.
func (fullTargets) RoundTrip(req *http.Request) (*http.Response, error) {
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	time.Sleep(200 * time.Microsecond)
	res := newResponse(req, http.StatusServiceUnavailable, kind.RanNo)
	res.Header.Set(kind.HeaderKind, string(kind.Full))
	res.Header.Set(target.HeaderMeanDuration, "5")
	return res, nil
}

// TestFullNotEmpty guards against calls to a full service that are refused as if it had
// no targets. This happens if an upstream stops counting as full between the pick and the
// lookup of the reason.
func TestFullNotEmpty(t *testing.T) {
	c := qt.New(t)
	const callers, calls = 64, 500
	p := New(Deps{
		Balancer: NewBalancer("northgate", "north-line", 1), Budget: NewBudget(), Transport: fullTargets{}, Scheme: "http",
		CrashCount: func(uint64) int { return 0 }, Authenticate: func(http.Header) (string, bool) { return "", true }, StallTimeout: time.Minute,
	})
	p.SetTable(NewTable(1, &snapshot.Snapshot{
		Services: []snapshot.Service{{Name: "orderdesk", Slots: 2}},
		Entries: []snapshot.Entry{{
			Name: "r", Host: "desk.example", Route: snapshot.Route{Path: "/", Deadline: time.Minute, Retries: 2},
			Destinations: []snapshot.Destination{{Service: "orderdesk", Weight: 1}},
		}},
	}, members()))
	var mu sync.Mutex
	got := make(map[kind.Kind]int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range calls {
				w := httptest.NewRecorder()
				p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://desk.example/", nil))
				mu.Lock()
				got[kind.Kind(w.Header().Get(kind.HeaderKind))]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.Check(got, qt.DeepEquals, map[kind.Kind]int{kind.Full: callers * calls})
}
