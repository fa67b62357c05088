package caller

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

func route(name string) *chainRoute {
	for i := range chainRoutes {
		if chainRoutes[i].name == name {
			return &chainRoutes[i]
		}
	}
	return nil
}

// chainHost is a host with its node and its target.
type chainHost struct {
	ch      *chain
	name    string
	service string
	region  string
	pace    float64
	proxy   *Proxy
	targets *target.Targets
	mu      sync.Mutex
	running int
	// cut is set while the host reaches no other one, nor is reached.
	cut bool
	// sheds is the part of the requests that the target refuses by itself.
	sheds float64
}

func (h *chainHost) start(s *snapshot.Snapshot, self peer.Member, seed uint64) {
	log := event.New(io.Discard, true, logrus.ErrorLevel, h.name)
	h.targets = target.New(target.Deps{
		OnChange: func([]peer.Target) {}, OnCrash: func(peer.Crashed) {}, CrashCount: func(uint64) int { return 0 },
		Log: log, Stall: time.Minute, AnnouncementTimeout: time.Hour, NoFairQueueing: true,
		WrapTransport: func(http.RoundTripper) http.RoundTripper { return chainWork{h} },
	})
	h.targets.Configure(s)
	h.targets.HandleAnnouncement(target.Announcement{Service: h.service, Addr: "127.0.0.1:1", Slots: chainSlots, Connections: 500, State: target.StateUp})
	h.proxy = New(Deps{
		Balancer: NewBalancer(self.Domain, self.Region, seed), Budget: NewBudget(), Transport: chainNet{h}, Scheme: "http",
		CrashCount: func(uint64) int { return 0 }, IsRunning: h.targets.IsRunning,
		Authenticate: func(http.Header) (string, bool) { return h.service, true },
		Log:          log, StallTimeout: time.Minute, Hedge: true,
	})
}

// sleep pauses for d; false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// chainNet is the network between nodes, as seen from one.
type chainNet struct{ from *chainHost }

var errChainCut = errors.New("chain: no way to the host")

// RoundTrip implements http.RoundTripper.
func (n chainNet) RoundTrip(req *http.Request) (*http.Response, error) {
	to := n.from.ch.hosts[strings.TrimSuffix(req.URL.Host, ":1")]
	ctx := req.Context()
	if to != n.from && (to.isCut() || n.from.isCut()) {
		sleep(ctx, chainDial)
		return nil, errChainCut
	}
	if tr := httptrace.ContextClientTrace(ctx); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	hop := chainNear
	if to.region != n.from.region {
		hop = chainFar
	}
	if !sleep(ctx, hop) {
		return nil, ctx.Err()
	}
	in := httptest.NewRequest(req.Method, req.URL.Path, req.Body).WithContext(ctx)
	in.Host, in.Header, in.ContentLength = req.Host, req.Header, req.ContentLength
	w := httptest.NewRecorder()
	to.targets.ServeHTTP(w, in)
	if !sleep(ctx, hop) {
		return nil, ctx.Err()
	}
	res := w.Result()
	res.Request = req
	return res, nil
}

func (h *chainHost) isCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut
}

func (h *chainHost) set(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

// chainWork is a target.
type chainWork struct{ h *chainHost }

// RoundTrip implements http.RoundTripper.
func (x chainWork) RoundTrip(req *http.Request) (*http.Response, error) {
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	var sheds float64
	x.h.set(func() { sheds = x.h.sheds })
	if sheds > 0 && x.h.ch.float() < sheds {
		if !sleep(req.Context(), chainNear) {
			return nil, req.Context().Err()
		}
		return answerOf(req, http.StatusServiceUnavailable, kind.RanNo), nil
	}
	r := route(strings.Trim(req.URL.Path, "/"))
	x.h.runs(1)
	began := time.Now()
	ok := x.h.run(req.Context(), r, req.Header.Get(target.HeaderTrace))
	x.h.runs(-1)
	x.h.ch.ran(time.Since(began), ok)
	if req.Context().Err() != nil {
		return nil, req.Context().Err()
	}
	if !ok {
		return answerOf(req, http.StatusInternalServerError, kind.RanYes), nil
	}
	return answerOf(req, http.StatusOK, kind.RanYes), nil
}

func (h *chainHost) runs(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running += n; n > 0 && h.running > chainSlots {
		h.ch.mu.Lock()
		h.ch.over++
		h.ch.mu.Unlock()
	}
}

func (ch *chain) ran(took time.Duration, ok bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if !ch.counted {
		return
	}
	ch.tally.runs += took
	if !ok {
		ch.tally.wasted += took
	}
}

// run does a run's work and makes its calls, at half of it.
func (h *chainHost) run(ctx context.Context, r *chainRoute, trace string) bool {
	work := time.Duration(float64(r.work) * h.pace * math.Exp(r.spread*h.ch.norm()-r.spread*r.spread/2))
	if !sleep(ctx, work/2) {
		return false
	}
	if r.calls != "" && h.ch.float() < r.callShare {
		results := make(chan bool, r.times)
		for range r.times {
			go func() {
				results <- h.ask(ctx, route(r.calls), trace+"."+h.ch.id(), route(r.calls).limit).Code == http.StatusOK
			}()
		}
		ok := true
		for range r.times {
			ok = <-results && ok
		}
		if !ok {
			return false
		}
	}
	return sleep(ctx, work/2)
}

// ask sends one request to the host's own node.
func (h *chainHost) ask(ctx context.Context, r *chainRoute, trace string, left time.Duration) *httptest.ResponseRecorder {
	method := http.MethodGet
	if r.mode == snapshot.Once {
		method = http.MethodPost
	}
	req := httptest.NewRequest(method, "http://chain.example/"+r.name+"/", nil).WithContext(ctx)
	req.Header.Set(target.HeaderTrace, trace)
	req.Header.Set(target.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	w := httptest.NewRecorder()
	h.proxy.ServeHTTP(w, req)
	return w
}
