package target

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
)

// fixedResponse is a transport to a target whose responses all have the same status and headers.
type fixedResponse struct {
	status int
	head   atomic.Pointer[http.Header]
}

func newFixedResponse(status int, head http.Header) *fixedResponse {
	x := &fixedResponse{status: status}
	x.head.Store(&head)
	return x
}

// RoundTrip implements http.RoundTripper.
func (x *fixedResponse) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: x.status, Header: x.head.Load().Clone(), Body: http.NoBody, Request: req}, nil
}

// send sends a call with the notices of its caller's node, if any.
func send(x *Targets, reports ...Notice) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set(HeaderService, "posting")
	r.Header.Set(HeaderDeadline, "200")
	WriteNotices(r.Header, time.Now(), reports...)
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	return w
}

func kindOf(w *httptest.ResponseRecorder) kind.Kind {
	return kind.Kind(w.Header().Get(kind.HeaderKind))
}

// TestRateInAnyAnswer guards against a rate that is read from successful responses only:
// refusals and failures carry it too.
func TestRateInAnyAnswer(t *testing.T) {
	for _, x := range []struct {
		name   string
		status int
		head   http.Header
	}{
		{"failure", http.StatusInternalServerError, http.Header{HeaderRate: {"1"}}},
		{"not found", http.StatusNotFound, http.Header{HeaderRate: {"1"}}},
		{"refusal", http.StatusServiceUnavailable, http.Header{HeaderRate: {"1"}, kind.HeaderRan: {"no"}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ts := newTargets(newFixedResponse(x.status, x.head))
				defer ts.Close()
				w := send(ts)
				notices := ReadNotices(w.Header(), time.Now())
				c.Assert(notices, qt.HasLen, 1)
				c.Check(notices[0].Rate, qt.Equals, NewRate(1))
				w = send(ts)
				c.Check(kindOf(w), qt.Equals, kind.Rate)
				c.Check(w.Header().Get(kind.HeaderRan), qt.Equals, "no")
				c.Check(w.Header().Get(kind.HeaderAfter), qt.Not(qt.Equals), "")
			})
		})
	}
}

// TestRateInHealthCheck guards against calls above the rate that a new target has advertised in a
// health check, before its first response to a request. It also guards against a health check
// without a rate that ends the limit.
func TestRateInHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tr := newFixedResponse(http.StatusOK, http.Header{HeaderRate: {"1"}})
		ts := newTargets(tr)
		defer ts.Close()
		x := ts.list()[0]
		c.Check(ts.checkHealth(x), qt.IsTrue)
		c.Check(kindOf(send(ts)), qt.Equals, kind.Rate)
		tr.head.Store(&http.Header{})
		c.Check(ts.checkHealth(x), qt.IsTrue)
		c.Check(kindOf(send(ts)), qt.Equals, kind.Rate)
	})
}

// TestReportedRate guards against a node process that replaces the target's node and lets more
// calls pass than the rate known to other nodes. It also guards against old reports that
// override the target's own responses or apply to another process.
func TestReportedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ts := newTargets(newFixedResponse(http.StatusOK, http.Header{}))
		defer ts.Close()
		x := ts.list()[0]
		c.Check(kindOf(send(ts, Notice{Process: "another/0", Rate: NewRate(1)})), qt.Equals, kind.None)
		ts.drop(x, "test")
		ts.HandleAnnouncement(Announcement{Service: "posting", Addr: address, Slots: 1, State: StateUp})
		report := Notice{Process: x.process, Rate: NewRate(1), At: time.Now()}
		c.Check(kindOf(send(ts, report)), qt.Equals, kind.Rate)
		time.Sleep(time.Second)
		c.Check(kindOf(send(ts, report)), qt.Equals, kind.None) // the target's own response has no rate
		c.Check(kindOf(send(ts, report)), qt.Equals, kind.None)
	})
}

// TestLeavingInAnswer guards against calls to a target that has reported in a response or a health
// check that it is about to stop. It also guards against announcements that revert that, and
// against a header value that is not a boolean.
func TestLeavingInAnswer(t *testing.T) {
	up := Announcement{Service: "posting", Addr: address, Slots: 1, State: StateUp, ID: "i-1", StartMillis: 7, Seq: 9}
	for _, x := range []struct {
		value   string
		leaves  bool
		trigger func(ts *Targets)
	}{
		{"1", true, func(ts *Targets) { send(ts) }},
		{"1", true, func(ts *Targets) { ts.checkHealth(ts.list()[0]) }},
		{"0", false, func(ts *Targets) { send(ts) }},
		{"soon", false, func(ts *Targets) { send(ts) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			tr := newFixedResponse(http.StatusOK, http.Header{})
			ts := newTargets(tr)
			defer ts.Close()
			ts.HandleAnnouncement(up)
			time.Sleep(time.Second) // for the health check
			tr.head.Store(&http.Header{HeaderLeaving: {x.value}})
			x.trigger(ts)
			tr.head.Store(&http.Header{})
			ts.HandleAnnouncement(up)
			want := kind.None
			if x.leaves {
				want = kind.Drain
			}
			c.Check(kindOf(send(ts)), qt.Equals, want, qt.Commentf("%s", x.value))
			next := up
			next.StartMillis += 10000
			ts.HandleAnnouncement(next)
			time.Sleep(time.Second)
			c.Check(kindOf(send(ts)), qt.Equals, kind.None)
		})
	}
}

// TestRateKeptAfterForeignAnnouncement guards against a rate that is lost because an
// announcement without a start time is taken for one of another process.
func TestRateKeptAfterForeignAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tr := newFixedResponse(http.StatusOK, http.Header{HeaderRate: {"1"}})
		ts := newTargets(tr)
		defer ts.Close()
		up := Announcement{Service: "posting", Addr: address, Slots: 1, State: StateUp, ID: "i-1", StartMillis: 7, Seq: 1}
		ts.HandleAnnouncement(up)
		time.Sleep(time.Second) // for the health check
		c.Check(kindOf(send(ts)), qt.Equals, kind.None)
		c.Check(kindOf(send(ts)), qt.Equals, kind.Rate)
		tr.head.Store(&http.Header{}) // health checks have no rate
		stray := up
		stray.StartMillis = 0
		ts.HandleAnnouncement(stray)
		time.Sleep(100 * time.Millisecond)
		c.Check(kindOf(send(ts)), qt.Equals, kind.Rate)
	})
}

// TestNotices guards against notices that are changed in transfer, and against malformed ones
// that are accepted.
func TestNotices(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	sent := []Notice{
		{Process: "i-1/7", Rate: NewRate(24.9), At: now.Add(-time.Second)},
		{Process: "10.0.0.7:80/0", Rate: NewRate(0)},
		{Process: "i 2&rate=5/7"},
		{Process: "i-3/7", Rate: NewRate(2), Leaving: true},
	}
	h := make(http.Header)
	WriteNotices(h, now, sent...)
	got := ReadNotices(h, now)
	c.Assert(got, qt.HasLen, len(sent))
	for i := range sent {
		c.Check(got[i] == sent[i], qt.IsTrue, qt.Commentf("%+v", got[i]))
	}
	for _, text := range []string{"", "rate=5", "process=&rate=5", "process=a&rate=many", "process=a&age=-1", "process=a&age=99999999999999999", "%"} {
		c.Check(ReadNotices(http.Header{HeaderNotice: {text}}, now), qt.HasLen, 0, qt.Commentf("%q", text))
	}
}

// TestDrainingBesideAnother guards against calls that are refused for a draining target while
// another target of its service on the same host has free slots.
func TestDrainingBesideAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ts := newTargets(newFixedResponse(http.StatusOK, http.Header{}))
		defer ts.Close()
		other := Announcement{Service: "posting", Addr: "10.0.0.7:81", Slots: 1, State: StateUp}
		ts.HandleAnnouncement(other)
		for _, leaves := range []string{address, other.Addr} {
			ts.HandleAnnouncement(Announcement{Service: "posting", Addr: address, Slots: 1, State: stateIf(leaves == address)})
			ts.HandleAnnouncement(Announcement{Service: "posting", Addr: other.Addr, Slots: 1, State: stateIf(leaves == other.Addr)})
			for range 4 {
				c.Check(kindOf(send(ts)), qt.Equals, kind.None, qt.Commentf("%s leaves", leaves))
			}
		}
	})
}

func stateIf(draining bool) string {
	if draining {
		return StateDraining
	}
	return StateUp
}

// TestLoadDecays guards against a target that never gets calls again beside another one on its
// host, because its load is still that of the moment of its last call.
func TestLoadDecays(t *testing.T) {
	for name, head := range map[string]http.Header{
		"advertised a rate": {HeaderRate: {"2"}},
		"shed a call":       {kind.HeaderRan: {"no"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ts := newTargets(newFixedResponse(http.StatusServiceUnavailable, head))
				defer ts.Close()
				first := ts.list()[0]
				send(ts)
				time.Sleep(2 * shedWindow)
				ts.HandleAnnouncement(Announcement{Service: "posting", Addr: "10.0.0.7:81", Slots: 4, State: StateUp})
				second := ts.list()[1]
				second.step(Arrival{ID: 1, Deadline: time.Now().Add(time.Minute)})
				c.Check(ts.leastLoaded("posting", ""), qt.Equals, first)
			})
		})
	}
}
