package target

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// pipes is a listener whose connections are pipes, so that a test's clock can
// stand still.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case nc := <-p.conns:
		return nc, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	p.conns <- there
	return here, nil
}

// host is a node's side towards targets, with one target behind it whose
// health and answers the test sets.
type host struct {
	*Targets
	health atomic.Int32
	ran    atomic.Int32
	told   atomic.Pointer[[]peer.Target]
	stop   func()
}

const address = "10.0.0.7:80"

func newHost() *host {
	h := newBareHost()
	h.Configure(posting)
	return h
}

// posting is a version with one service.
var posting = &snapshot.Snapshot{Services: []snapshot.Service{{
	Name: "posting", Slots: 100, Queue: snapshot.QueueBySlots, Health: "/health",
}}}

// newBareHost is a host whose node has no configuration yet.
func newBareHost() *host {
	h := new(host)
	h.health.Store(http.StatusOK)
	p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	s := http1.NewServer(http1.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.WriteHeader(int(h.health.Load()))
			return
		}
		h.ran.Add(1)
	})})
	go func() { _ = s.Serve(p) }()
	h.Targets = New(Deps{
		OnChange:   func(ts []peer.Target) { h.told.Store(&ts) },
		OnCrash:    func(peer.Crashed) {},
		CrashCount: func(uint64) int { return 0 },
		Stall:      time.Minute, Dial: p.dial, AnnouncementTimeout: 6 * time.Second,
	})
	h.stop = func() {
		close(p.done)
		h.Close()
		for _, x := range h.list() {
			x.pool.Close()
		}
		s.Close()
	}
	return h
}

// call sends one call and tells whether the target ran it.
func (h *host) call() (ran bool, k kind.Kind) {
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Header.Set(HeaderService, "posting")
	r.Header.Set(HeaderDeadline, "500")
	w := httptest.NewRecorder()
	before := h.ran.Load()
	h.ServeHTTP(w, r)
	return h.ran.Load() > before, kind.Kind(w.Header().Get(kind.HeaderKind))
}

func said(id string, born, seq int64, state string) Announcement {
	return Announcement{ID: id, Service: "posting", Addr: address, Slots: 4, State: state, StartMillis: born, Seq: seq}
}

// TestAnnouncements plays announcements to a host and checks after them
// whether a call still reaches the target.
//
// Announcements can be late or come from before the target's restart. Each
// script ends with what a caller then sees.
func TestAnnouncements(t *testing.T) {
	const pause = -1 // a second without an announcement
	type event struct {
		born, seq int64
		state     string
	}
	left := event{state: "left"}
	second := event{seq: pause}
	for name, x := range map[string]struct {
		health int32
		events []event
		runs   bool
	}{
		"up":                               {200, []event{{1, 1, StateUp}, second}, true},
		"draining":                         {200, []event{{1, 1, StateUp}, second, {1, 2, StateDraining}}, false},
		"draining, then a late word of up": {200, []event{{1, 1, StateUp}, second, {1, 3, StateDraining}, {1, 2, StateUp}, second}, false},
		"draining is final":                {200, []event{{1, 1, StateUp}, second, {1, 2, StateDraining}, {1, 3, StateUp}, second}, false},
		"left":                             {200, []event{{1, 1, StateUp}, second, left}, false},
		"left, then a late word of up":     {200, []event{{1, 1, StateUp}, second, left, {1, 2, StateUp}, second}, false},
		"left before it was heard of, then a late word of up":    {200, []event{left, second, {946684790000, 19, StateUp}, second}, false},
		"left before it was heard of, then another process":      {200, []event{left, second, second, second, {946684803000, 1, StateUp}, second}, true},
		"left, then another process":                             {200, []event{{1, 1, StateUp}, second, left, {2, 1, StateUp}, second}, true},
		"a later process counts anew":                            {200, []event{{1, 9, StateUp}, second, {2, 1, StateUp}, second}, true},
		"an earlier process's drain is late":                     {200, []event{{2, 1, StateUp}, second, {1, 9, StateDraining}}, true},
		"one that doesn't say when it began is another writer's": {200, []event{{5, 1, StateUp}, second, {0, 2, StateDraining}}, true},
		"a clock that went back is believed in the end": {200, []event{
			{9, 1, StateUp}, second, {1, 1, StateUp}, second, second, second, second, {1, 2, StateDraining},
		}, false},
		"restarted beside one that leaves, and told late that it is up": {503, []event{{1, 7, StateUp}, second, second}, false},
		"a health check that is wrong is not believed for ever": {503, []event{
			{1, 1, StateUp}, second, {1, 2, StateUp}, second, {1, 3, StateUp}, second,
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHost()
				defer h.stop()
				h.health.Store(x.health)
				for _, e := range x.events {
					switch e {
					case left:
						h.Deregister("i-1")
					case second:
						time.Sleep(time.Second)
					default:
						c.Assert(h.HandleAnnouncement(said("i-1", e.born, e.seq, e.state)), qt.IsTrue)
					}
					synctest.Wait()
				}
				ran, k := h.call()
				c.Check(ran, qt.Equals, x.runs, qt.Commentf("%s", string(k)))
				if !x.runs {
					c.Check(k, qt.Equals, kind.Drain)
				}
				var told []peer.Target
				if p := h.told.Load(); p != nil {
					told = *p
				}
				open := len(told) == 1 && !told[0].Draining
				c.Check(open, qt.Equals, x.runs)
			})
		})
	}
}

// TestSilent lets a target fall silent: callers are sent elsewhere, and when it
// is heard again it is asked for its health before it gets work.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHost()
		defer h.stop()
		h.HandleAnnouncement(said("i-1", 1, 1, StateUp))
		time.Sleep(7 * time.Second)
		synctest.Wait()
		c.Check(*h.told.Load(), qt.HasLen, 0)
		h.health.Store(http.StatusServiceUnavailable)
		h.HandleAnnouncement(said("i-1", 1, 2, StateUp))
		synctest.Wait()
		ran, _ := h.call()
		c.Check(ran, qt.IsFalse)
		h.health.Store(http.StatusOK)
		time.Sleep(time.Second)
		synctest.Wait()
		ran, _ = h.call()
		c.Check(ran, qt.IsTrue)
	})
}

// TestNoVersion restarts a node while it can't get a configuration.
//
// Its target announces itself, but a run there would make its calls to this node,
// which has to refuse them: the caller would get the run's failure. So no call
// passes until the first version is there, and then at once.
func TestNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newBareHost()
		defer h.stop()
		for seq := range int64(5) {
			h.HandleAnnouncement(said("i-1", 1, seq, StateUp))
			time.Sleep(time.Second)
		}
		synctest.Wait()
		ran, k := h.call()
		c.Check(ran, qt.IsFalse)
		c.Check(k, qt.Equals, kind.Drain)
		h.Configure(posting)
		synctest.Wait()
		ran, _ = h.call()
		c.Check(ran, qt.IsTrue)
	})
}
