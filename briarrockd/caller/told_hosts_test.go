package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

// A mesh whose targets tell of themselves in their answers, played with the real Proxies
// and Targets of all hosts on the paused clock. The network and the work are stand-ins.
const (
	toldService  = "ledger"
	toldSlots    = 18
	toldWork     = 60 * time.Millisecond
	toldAim      = 300 * time.Millisecond
	toldDeadline = 800 * time.Millisecond
	toldDomains  = 4
	toldRestart  = 300 * time.Millisecond
)

// toldMesh is one play.
type toldMesh struct {
	mu      sync.Mutex
	rng     *rand.Rand
	hosts   []*toldHost
	members []peer.Member
	snap    *snapshot.Snapshot
	wg      sync.WaitGroup
	calls   int
	answers int
	asked   int // attempts at targets' nodes
	over    int // runs beyond a target's slots
}

// toldHost is a host with its node and, on some of them, a target.
type toldHost struct {
	m      *toldMesh
	n      int
	region string
	proxy  *Proxy

	mu      sync.Mutex
	targets *target.Targets
	// down ends with the node's process, frozen is until when that stands still.
	down   context.Context
	kill   context.CancelFunc
	frozen time.Time
	app    *toldApp
}

// toldApp is a target's process and what reached it.
type toldApp struct {
	born    int64
	rate    string
	leaving bool
	running int
	named   []toldRate
	arrived []toldArrival
	// leavingAt and ratedAt are when each entry node passed on such an answer first.
	leavingAt, ratedAt map[int]time.Time
}

// toldRate is a rate that was named from a time on.
type toldRate struct {
	at   time.Time
	rate target.Rate
}

// toldArrival is a request that reached a target, from the entry node where it began.
type toldArrival struct {
	at, sent time.Time
	entry    int
}

func newToldMesh(hosts, targets int) *toldMesh {
	m := &toldMesh{rng: rand.New(rand.NewPCG(1, 2))}
	m.snap = &snapshot.Snapshot{
		Services: []snapshot.Service{{Name: toldService, Slots: toldSlots, Conns: 500, Queue: snapshot.QueueBySlots}},
		Entries: []snapshot.Entry{{
			Name: "view", Host: "told.example", Parts: []snapshot.Part{{Service: toldService, Weight: 1}},
			Route: snapshot.Route{Path: "/", Deadline: toldDeadline, Aim: toldAim, Priority: 7, Retries: 2, Again: true},
		}},
	}
	for i := range hosts {
		h := &toldHost{m: m, n: i, region: fmt.Sprint("r", i%2)}
		member := peer.Member{Host: fmt.Sprint(i), Domain: fmt.Sprint("d", i%toldDomains), Region: h.region, PeerAddr: fmt.Sprint(i), CallAddr: fmt.Sprint(i) + ":1"}
		if i < targets {
			h.app = newToldApp(1)
			h.startTargets()
			member.Targets = []peer.Target{{Service: toldService, Slots: toldSlots}}
		}
		h.proxy = New(Deps{
			Balancer: NewBalancer(member.Domain, member.Region, uint64(i)), Budget: NewBudget(), Transport: toldNet{h}, Scheme: "http",
			CrashCount: func(uint64) int { return 0 }, Authenticate: func(http.Header) (string, bool) { return "front", true },
			Log: quietLog(), StallTimeout: time.Minute, Hedge: true,
		})
		m.hosts, m.members = append(m.hosts, h), append(m.members, member)
	}
	m.use()
	return m
}

func quietLog() *event.Log { return event.New(io.Discard, true, logrus.ErrorLevel, "h") }

func (m *toldMesh) use() {
	for _, h := range m.hosts {
		h.proxy.SetTable(NewTable(1, m.snap, m.members))
	}
}

func newToldApp(born int64) *toldApp {
	return &toldApp{born: born, leavingAt: make(map[int]time.Time), ratedAt: make(map[int]time.Time)}
}

// startTargets starts the node's process, which knows its target by an announcement.
func (h *toldHost) startTargets() {
	h.mu.Lock()
	h.down, h.kill = context.WithCancel(context.Background())
	h.targets = target.New(target.Deps{
		OnChange: func([]peer.Target) {}, OnCrash: func(peer.Crashed) {}, CrashCount: func(uint64) int { return 0 },
		Log: quietLog(), Stall: time.Minute, AnnouncementTimeout: time.Hour, NoFairQueueing: true,
		WrapTransport: func(http.RoundTripper) http.RoundTripper { return toldWorker{h} },
	})
	h.targets.Configure(h.m.snap)
	h.mu.Unlock()
	h.announce(1)
}

// announce says that the target is up, as it does each second until it leaves.
func (h *toldHost) announce(seq int64) {
	h.mu.Lock()
	ts, born := h.targets, h.app.born
	h.mu.Unlock()
	ts.HandleAnnouncement(target.Announcement{ID: fmt.Sprint("i-", h.n), Service: toldService, Addr: "127.0.0.1:1", Slots: toldSlots, Connections: 500, State: target.StateUp, StartMillis: born, Seq: seq})
}

// restart kills the node beside a target and starts it again.
func (h *toldHost) restart() {
	h.mu.Lock()
	h.kill()
	old := h.targets
	h.mu.Unlock()
	h.m.wg.Go(func() {
		old.Close()
		time.Sleep(toldRestart)
		h.startTargets()
		h.m.members[h.n].Incarnation++
		h.m.use()
	})
}

// close ends the play.
func (m *toldMesh) close() {
	m.wg.Wait()
	time.Sleep(time.Minute) // what lost a race ends by its own deadline
	for _, h := range m.hosts {
		if h.app != nil {
			h.targets.Close()
			h.kill()
		}
	}
}

// toldNet is the network between nodes, as seen from one.
type toldNet struct{ from *toldHost }

// RoundTrip implements http.RoundTripper.
func (n toldNet) RoundTrip(req *http.Request) (*http.Response, error) {
	i, _ := strconv.Atoi(strings.TrimSuffix(req.URL.Host, ":1"))
	to := n.from.m.hosts[i]
	to.m.mu.Lock()
	to.m.asked++
	to.m.mu.Unlock()
	hop := chainNear
	if to.region != n.from.region {
		hop = chainFar
	}
	if !sleep(req.Context(), hop) {
		return nil, req.Context().Err()
	}
	to.mu.Lock()
	down, ts, thaw := to.down, to.targets, time.Until(to.frozen)
	to.mu.Unlock()
	if down.Err() != nil {
		return nil, errRefused
	}
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	if thaw > 0 && !sleep(req.Context(), thaw) {
		return nil, req.Context().Err()
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	defer context.AfterFunc(down, cancel)()
	in := httptest.NewRequest(req.Method, req.URL.Path, req.Body).WithContext(ctx)
	in.Host, in.Header, in.ContentLength = req.Host, req.Header, req.ContentLength
	w := httptest.NewRecorder()
	ts.ServeHTTP(w, in)
	if down.Err() != nil || !sleep(req.Context(), hop) {
		return nil, errBroken
	}
	res := w.Result()
	res.Request = req
	return res, nil
}

// toldWorker is the connection of a node to its target.
type toldWorker struct{ h *toldHost }

// RoundTrip implements http.RoundTripper.
func (x toldWorker) RoundTrip(req *http.Request) (*http.Response, error) {
	if tr := httptrace.ContextClientTrace(req.Context()); tr != nil {
		tr.GotConn(httptrace.GotConnInfo{})
	}
	app := x.h.arrive(req.Header.Get(target.HeaderTrace))
	ok := sleep(req.Context(), time.Duration(float64(toldWork)*(0.5+x.h.m.float())))
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	app.running--
	if !ok {
		return nil, req.Context().Err()
	}
	res := answerOf(req, http.StatusOK, kind.RanYes)
	text := fmt.Sprintf("%d %d %s %v", x.h.n, app.born, app.rate, app.leaving)
	res.Body, res.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	if app.rate != "" {
		res.Header.Set(target.HeaderRate, app.rate)
	}
	if app.leaving {
		res.Header.Set(target.HeaderLeaving, "1")
	}
	return res, nil
}

// arrive notes a request by its trace: the entry node, and when its caller sent it.
func (h *toldHost) arrive(trace string) *toldApp {
	var entry int
	var sent int64
	_, _ = fmt.Sscanf(trace, "%d-%d", &entry, &sent)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.app.arrived = append(h.app.arrived, toldArrival{time.Now(), time.Unix(0, sent), entry})
	if h.app.running++; h.app.running > toldSlots {
		h.m.mu.Lock()
		h.m.over++
		h.m.mu.Unlock()
	}
	return h.app
}

func (m *toldMesh) float() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Float64()
}

// ask sends one request at a host and notes what its answer told the host's node.
func (h *toldHost) ask() {
	req := httptest.NewRequest(http.MethodGet, "http://told.example/", nil)
	req.Header.Set(target.HeaderTrace, fmt.Sprintf("%d-%d", h.n, time.Now().UnixNano()))
	req.Header.Set(target.HeaderDeadline, strconv.FormatInt(toldDeadline.Milliseconds(), 10))
	w := httptest.NewRecorder()
	h.proxy.ServeHTTP(w, req)
	h.m.mu.Lock()
	h.m.calls++
	if w.Code == http.StatusOK {
		h.m.answers++
	}
	h.m.mu.Unlock()
	if w.Code == http.StatusOK {
		h.told(strings.Split(w.Body.String(), " "))
	}
}

// told notes an answer's target, its process, its rate and whether it leaves.
func (h *toldHost) told(words []string) {
	n, _ := strconv.Atoi(words[0])
	by := h.m.hosts[n]
	by.mu.Lock()
	defer by.mu.Unlock()
	if strconv.FormatInt(by.app.born, 10) != words[1] {
		return
	}
	if _, ok := by.app.ratedAt[h.n]; !ok && words[2] != "" {
		by.app.ratedAt[h.n] = time.Now()
	}
	if _, ok := by.app.leavingAt[h.n]; !ok && words[3] == "true" {
		by.app.leavingAt[h.n] = time.Now()
	}
}
