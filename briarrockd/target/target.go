// Package target is a node's side towards the targets on its host: it takes
// their announcements, and it is the one way by which calls reach them.
//
// Since all calls for a target pass its own node, that node alone decides on
// its slots, its queue and its draining, and nobody has to agree with anyone:
//
//	ts := target.New(target.Deps{Changed: tell, Log: log})
//	ts.Configure(snapshot)             // limits from the operator's text
//	http.Serve(callListener, ts)       // calls from peers
//	http.Serve(announceListener, ts.Announcements())
//
// The decision itself is in Gate, a step function without I/O.
package target

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/relay"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// The states that a target may announce.
const (
	StateUp       = "up"
	StateCold     = "cold"
	StateDraining = "draining"
)

// Times and bounds.
const (
	// goneAfter is how long a target may be silent as a rule: three
	// announcements, one of which comes each second, and some delay.
	goneAfter = 3500 * time.Millisecond
	// sweepEvery is how often silent targets are looked for.
	sweepEvery      = 500 * time.Millisecond
	maxAnnouncement = 4 << 10
	maxTargets      = 16
	maxSlots        = 10000
	maxConns        = 65535
	dialTimeout     = 2 * time.Second
	idleTimeout     = 60 * time.Second
)

// Announcement is what a target says of itself, as JSON, each second.
type Announcement struct {
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	// ID names the target, if it has a name. Requests then say whom they are
	// for, so that another target at the same address doesn't run them.
	ID string `json:"id,omitempty"`
	// StartMillis is when the target's process started, in Unix milliseconds, and Seq
	// counts its announcements. Together they tell late ones; 0 if it doesn't
	// say.
	StartMillis int64 `json:"born,omitempty"`
	Seq         int64 `json:"seq,omitempty"`
}

// Deps are what Targets needs from outside.
type Deps struct {
	// OnChange is told when the list of targets is another one.
	OnChange func([]peer.Target)
	// OnCrash is told of requests that were in flight when a target crashed,
	// and of suspected ones that came to their end.
	OnCrash func(peer.Crashed)
	// CrashCount tells how often a request has been in flight at a crash.
	CrashCount func(mark uint64) int
	Log        *event.Log
	Metrics    *metrics.Set
	// Stall bounds the time without a byte moving.
	Stall time.Duration
	// WrapTransport, if set, wraps the connections to targets: it translates between
	// the headers of this package and those that the targets know.
	WrapTransport func(http.RoundTripper) http.RoundTripper
	// ResponseMatches, if set, tells whether an answer is the one to a request.
	ResponseMatches func(req *http.Request, res *http.Response) bool
	// Dial, if set, opens the connections to targets.
	Dial relay.DialFunc
	// NoFairQueueing lets calls be queued without regard to who makes them: where the
	// name of a caller says only from which host a call comes, taking turns
	// would mean nothing.
	NoFairQueueing bool
	// AnnouncementTimeout is how long a target may be silent before it is taken for gone; 0
	// for the usual time.
	AnnouncementTimeout time.Duration
	// LinkBandwidth is the bandwidth of this host's link in bytes a second; 0 if it is
	// not known, and then nothing is bounded by it.
	LinkBandwidth float64
}

// Targets are the targets on this host. New makes one.
type Targets struct {
	deps Deps
	// telling is held while the mesh is told of a change; mu may be taken
	// inside it.
	telling sync.Mutex
	mu      sync.Mutex
	all     map[string]*target // by address
	snap    *snapshot.Snapshot
	gone    bool // the node itself is leaving
	done    chan struct{}
	wg      sync.WaitGroup
	// configured is closed with the first version.
	configured chan struct{}

	// traces counts the calls of each name that targets run now.
	traces map[string]int
	// left are the targets that have said that they leave, by their ID, with
	// the time of their start.
	left map[string]int64

	started  *metrics.Counter
	refused  *metrics.Counter
	overRate *metrics.Counter
	waited   *metrics.Histogram
}

// target is one target with its gate and its connections. Its service and its
// address never change; said and what goes with it is guarded by the lock of
// Targets, the gate and what belongs to it by the target's own.
type target struct {
	service string
	addr    string
	// process names the target's process among all that have its name or address.
	process string
	url     *url.URL
	said    Announcement
	heardAt time.Time
	// heard counts the announcements; admitted is set once calls may pass.
	heard    int
	admitted bool
	// behind counts announcements in a row that seem to be from before the one
	// held.
	behind    int
	pool      *http1.Pool
	transport http.RoundTripper
	gate      *Gate
	waiters   map[CallID]chan Cmd
	lastID    CallID
	timer     *time.Timer
	named     namedRate
	// leaving is set once the target has told in an answer that it is about to stop.
	leaving atomic.Bool
	mu      sync.Mutex
}

// New starts with no targets. Close stops it.
func New(d Deps) *Targets {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	if d.AnnouncementTimeout == 0 {
		d.AnnouncementTimeout = goneAfter
	}
	if d.Dial == nil {
		d.Dial = http1.Dialer(dialTimeout)
	}
	t := &Targets{
		deps: d,
		all:  make(map[string]*target),

		traces: make(map[string]int),
		left:   make(map[string]int64),
		done:   make(chan struct{}),

		configured: make(chan struct{}),
		started:    d.Metrics.GetOrCreateCounter("briarrock_target_calls_total"),
		refused:    d.Metrics.GetOrCreateCounter("briarrock_target_refused_total"),
		overRate:   d.Metrics.GetOrCreateCounter("briarrock_target_overrate_total"),
		waited:     d.Metrics.GetOrCreateHistogram("briarrock_target_waited_seconds"),
	}
	d.Metrics.GetOrCreateGauge("briarrock_target_running", func() float64 { return float64(t.Running()) })
	d.Metrics.GetOrCreateGauge("briarrock_target_queued", func() float64 { return float64(t.count((*Gate).Queued)) })
	d.Metrics.GetOrCreateGauge("briarrock_target_limited", func() float64 { return float64(t.limited()) })
	t.wg.Go(t.sweep)
	return t
}

// Close stops the goroutines. Calls that run go on.
func (t *Targets) Close() {
	close(t.done)
	t.wg.Wait()
}

// Running is how many calls run at the targets of this host.
func (t *Targets) Running() int { return t.count((*Gate).Running) }

func (t *Targets) count(of func(*Gate) int) int {
	n := 0
	for _, x := range t.list() {
		x.mu.Lock()
		n += of(x.gate)
		x.mu.Unlock()
	}
	return n
}

func (t *Targets) list() []*target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*target, 0, len(t.all))
	for _, x := range t.all {
		out = append(out, x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].addr < out[j].addr })
	return out
}

// lastAnnouncement is a target's last announcement.
func (t *Targets) lastAnnouncement(x *target) Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return x.said
}

// Configure takes the limits of a new version.
func (t *Targets) Configure(s *snapshot.Snapshot) {
	t.mu.Lock()
	if t.snap == nil {
		close(t.configured)
	}
	t.snap = s
	t.mu.Unlock()
	for _, x := range t.list() {
		x.step(t.limits(t.lastAnnouncement(x)))
	}
}

// limits are the lesser of what the target announces and the operator allows.
func (t *Targets) limits(a Announcement) Limits {
	l := Limits{Slots: a.Slots, Queue: 2 * a.Slots, LinkBandwidth: t.deps.LinkBandwidth}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.snap == nil {
		return l
	}
	if svc, ok := t.snap.Service(a.Service); ok {
		l.Slots = min(l.Slots, svc.Slots)
		if svc.Queue != snapshot.QueueBySlots {
			l.Queue = svc.Queue
		}
	}
	return l
}

// Drain makes the node refuse all new calls: it is about to stop.
func (t *Targets) Drain() {
	t.mu.Lock()
	t.gone = true
	t.mu.Unlock()
	for _, x := range t.list() {
		x.step(Drain{On: true})
	}
}

// Announcements returns the handler for the targets of this host.
func (t *Targets) Announcements() http.Handler {
	r := chi.NewRouter()
	r.Post("/announce", t.announce)
	return r
}

func (t *Targets) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if problem := a.problem(r.RemoteAddr); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	if !t.HandleAnnouncement(a) {
		http.Error(w, "too many targets on this host", http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// problem checks an announcement that came from remote. A target may speak
// only for its own host: otherwise whoever reaches the announce address could
// draw the calls of a service to another machine.
func (a *Announcement) problem(remote string) string {
	if a.State == "" {
		a.State = StateUp
	}
	host, port, err := net.SplitHostPort(a.Addr)
	from, _, rerr := net.SplitHostPort(remote)
	switch {
	case err != nil || port == "" || net.ParseIP(host) == nil:
		return "addr must be an IP address and a port"
	case rerr != nil || !net.ParseIP(host).Equal(net.ParseIP(from)):
		return "addr must be on the host that announces it"
	case a.Service == "":
		return "service is missing"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots is out of range"
	case a.Connections < 0 || a.Connections > maxConns:
		return "connections is out of range"
	case a.State != StateUp && a.State != StateCold && a.State != StateDraining:
		return "state must be up, cold or draining"
	}
	return ""
}

// changed tells the mesh which targets there are now. One telling goes after
// the other: crossed ones would leave the mesh with the older list, and work
// would go on coming for a target that leaves.
func (t *Targets) changed() {
	t.telling.Lock()
	defer t.telling.Unlock()
	t.mu.Lock()
	out := make([]peer.Target, 0, len(t.all))
	for _, x := range t.all {
		out = append(out, peer.Target{
			Service:  x.service,
			Slots:    x.said.Slots,
			Draining: t.gone || !x.admitted || x.drains(),
		})
	}
	t.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	t.deps.OnChange(out)
}

// drains tells whether the target has said that it is about to stop. The lock of Targets
// must be held.
func (x *target) drains() bool { return x.said.State == StateDraining || x.leaving.Load() }

// sweep drops targets that have stopped announcing themselves.
func (t *Targets) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-tick.C:
		}
		now := time.Now()
		for _, x := range t.list() {
			t.mu.Lock()
			silent := now.Sub(x.heardAt) > t.deps.AnnouncementTimeout
			t.mu.Unlock()
			if silent {
				t.drop(x, "silent")
			}
		}
	}
}

// drop forgets a target until it announces itself again.
func (t *Targets) drop(x *target, reason string) {
	t.mu.Lock()
	same := t.all[x.addr] == x
	if same {
		delete(t.all, x.addr)
	}
	t.mu.Unlock()
	if !same {
		return
	}
	t.deps.Log.Emit(event.TargetGone, event.Fields{event.Subject: x.addr, "service": x.service, "id": x.said.ID, "reason": reason})
	x.step(Drain{On: true})
	x.pool.Close()
	t.changed()
}
