package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// step is what one attempt meets, after a while.
type step struct {
	after  time.Duration
	status int       // of a target's answer; 0 for none
	kind   kind.Kind // of a target's node that gives up
	ran    kind.Ran
	err    error // instead of any answer
}

// script is a transport that gives each attempt its step, in the order in
// which the attempts come.
type script struct {
	mu    sync.Mutex
	steps []step
	hosts []string
	// ended counts the attempts that came to their own end.
	ended int
}

// RoundTrip implements http.RoundTripper.
func (s *script) RoundTrip(req *http.Request) (*http.Response, error) {
	s.mu.Lock()
	n := len(s.hosts)
	s.hosts = append(s.hosts, req.URL.Host)
	s.mu.Unlock()
	if n >= len(s.steps) {
		return nil, fmt.Errorf("attempt %d was not expected", n+1)
	}
	x := s.steps[n]
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil && !errors.Is(x.err, errRefused) {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	select {
	case <-time.After(x.after):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	s.mu.Lock()
	s.ended++
	s.mu.Unlock()
	if x.err != nil {
		return nil, x.err
	}
	if x.kind == kind.None {
		return answerOf(req, x.status, kind.RanYes), nil
	}
	res := answerOf(req, x.kind.Answer().Status, x.ran)
	res.Header.Set(kind.HeaderKind, string(x.kind))
	return res, nil
}

// answerOf is an answer to a request, of a target or of its node.
func answerOf(req *http.Request, status int, ran kind.Ran) *http.Response {
	res := &http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header),
		Body: io.NopCloser(strings.NewReader("answer")), ContentLength: 6, Request: req,
	}
	res.Header.Set(kind.HeaderRan, ran.String())
	return res
}

var (
	errRefused = errors.New("refused")
	errBroken  = errors.New("broken")
)

// play sends one request by a route through a proxy whose attempts meet the
// steps. It returns the answer and the transport.
func play(route snapshot.Route, steps ...step) (*httptest.ResponseRecorder, *script) {
	s := &snapshot.Snapshot{
		Services: []snapshot.Service{{Name: "orderdesk", Slots: 6}},
		Entries: []snapshot.Entry{{
			Name: "r", Host: "desk.example", Route: route, Parts: []snapshot.Part{{Service: "orderdesk", Weight: 1}},
		}},
	}
	tr := &script{steps: steps}
	p := New(Deps{
		Balancer: NewBalancer("northgate", "north-line", 1), Budget: NewBudget(), Transport: tr, Scheme: "http",
		CrashCount:   func(uint64) int { return 0 },
		Authenticate: func(http.Header) (string, bool) { return "", true },
		StallTimeout: time.Minute, Hedge: true,
	})
	for range 200 {
		p.deps.Budget.call("orderdesk") // it has something saved up
	}
	ms := members()
	for i := range ms {
		ms[i].CallAddr = ms[i].Host + ":1"
	}
	p.SetTable(NewTable(1, s, ms))
	method := http.MethodGet
	if route.Mode == snapshot.Once {
		method = http.MethodPost
	}
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(method, "http://desk.example/orders/1", nil))
	return w, tr
}

func repeatable(retries int) snapshot.Route {
	return snapshot.Route{Path: "/orders/", Deadline: time.Second, Aim: 300 * time.Millisecond, Retries: retries, Again: true}
}

// TestRunsBounded has a first attempt that takes long and a second one that
// fails.
//
// The caller's request is sent to a second target since the first is slow, and
// the second answers that it failed. The first may still be at work: a third
// attempt would run the request at more targets than its route allows.
func TestRunsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, tr := play(repeatable(1), step{after: 500 * time.Millisecond, status: 200}, step{after: 20 * time.Millisecond, status: 500}, step{status: 200})
		c.Check(len(tr.hosts), qt.Equals, 2)
		c.Check(w.Code, qt.Equals, 200)
	})
}

// TestHedge loses the answer of the first attempt.
//
// The caller would wait for its whole deadline. A second target is asked after
// a part of the time that the route aims at, and its answer is given at once.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		began := time.Now()
		w, tr := play(repeatable(1), step{after: time.Hour, status: 200}, step{after: 50 * time.Millisecond, status: 200})
		c.Check(w.Code, qt.Equals, 200)
		c.Check(time.Since(began), qt.Equals, 230*time.Millisecond)
		c.Check(tr.hosts[0], qt.Not(qt.Equals), tr.hosts[1])
		time.Sleep(2 * time.Second) // the first attempt ends by its own deadline
	})
}

// TestLoserRuns lets the first attempt lose the race: it is at work, and is
// not broken off, since its target would only have worked for nothing.
func TestLoserRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		_, tr := play(repeatable(1), step{after: 400 * time.Millisecond, status: 200}, step{after: 50 * time.Millisecond, status: 200})
		time.Sleep(time.Second)
		tr.mu.Lock()
		defer tr.mu.Unlock()
		c.Check(tr.ended, qt.Equals, 2)
	})
}

// TestOutcomes goes through the ends that an attempt can have, and what the
// caller is told after them.
func TestOutcomes(t *testing.T) {
	once := snapshot.Route{Path: "/orders/", Mode: snapshot.Once, Deadline: time.Second, Retries: 1}
	full := step{kind: kind.Full, ran: kind.RanNo}
	for name, x := range map[string]struct {
		route    snapshot.Route
		steps    []step
		attempts int
		status   int
		ran      kind.Ran
	}{
		"a failure is repeated":                  {repeatable(1), []step{{status: 500}, {status: 200}}, 2, 200, kind.RanYes},
		"the last failure is passed on":          {repeatable(1), []step{{status: 500}, {status: 503}}, 2, 503, kind.RanYes},
		"a failure is final for once":            {once, []step{{status: 500}}, 1, 500, kind.RanYes},
		"a broken answer is repeated":            {repeatable(1), []step{{err: errBroken}, {status: 200}}, 2, 200, kind.RanYes},
		"a broken answer is unknown for once":    {once, []step{{err: errBroken}}, 1, 502, kind.RanUnknown},
		"a refusal moves on, also for once":      {once, []step{full, full, {status: 200}}, 3, 200, kind.RanYes},
		"moves are bounded":                      {once, []step{full, full, full, full, full}, maxReroutes + 1, 503, kind.RanNo},
		"a refusal after a run promises nothing": {repeatable(1), []step{{err: errBroken}, full, full, full, full}, maxReroutes + 2, 503, kind.RanUnknown},
		"no connection moves on":                 {once, []step{{err: errRefused}, {status: 200}}, 2, 200, kind.RanYes},
		"a target's own refusal is a run":        {once, []step{{kind: kind.Shed, ran: kind.RanNo}, {status: 200}}, 2, 200, kind.RanYes},
		"a route without retries has one":        {snapshot.Route{Path: "/", Deadline: time.Second}, []step{full}, 1, 503, kind.RanNo},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w, tr := play(x.route, x.steps...)
				c.Check(len(tr.hosts), qt.Equals, x.attempts)
				c.Check(w.Code, qt.Equals, x.status)
				c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, x.ran)
			})
		})
	}
}

// TestAnswerCut has an answer that ends before its declared length.
//
// Passed on as it comes it would break the caller's connection, or worse look
// whole. It is noticed before any of it goes out, and asked for again.
func TestAnswerCut(t *testing.T) {
	c := qt.New(t)
	res := &http.Response{
		StatusCode: 200, Header: make(http.Header), ContentLength: 10,
		Body: io.NopCloser(io.MultiReader(strings.NewReader("half"), broken{})),
	}
	c.Check(relay.BufferResponse(res, 1<<10), qt.ErrorMatches, "broken")
}

type broken struct{}

// Read implements io.Reader.
func (broken) Read([]byte) (int, error) { return 0, errBroken }

// TestShares sends many requests to an entry of two services.
//
// An operator moves a tenth of a route's requests to another service. Each
// node's share must be near that within few requests, since its callers may
// send no more.
func TestShares(t *testing.T) {
	c := qt.New(t)
	s := &snapshot.Snapshot{
		Services: []snapshot.Service{{Name: "new"}, {Name: "old"}},
		Entries: []snapshot.Entry{{Host: "h", Route: snapshot.Route{Path: "/a/"}, Parts: []snapshot.Part{
			{Service: "old", Weight: 90}, {Service: "new", Weight: 10},
		}}},
	}
	tab := NewTable(1, s, []peer.Member{})
	e, known := tab.entry("h", "/a/x")
	c.Assert(known, qt.IsTrue)
	got := 0
	for range 100 {
		if e.pick().Name == "new" {
			got++
		}
	}
	c.Check(got >= 8 && got <= 12, qt.IsTrue, qt.Commentf("%d", got))
	none, known := tab.entry("h", "/b")
	c.Check(none, qt.IsNil)
	c.Check(known, qt.IsTrue)
}
