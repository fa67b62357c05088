// Package target runs a node's side of the targets on its host: it processes their announcements
// and admits and forwards all calls to them.
//
// Since all calls to a target pass through its own node, that node alone decides on its slots,
// its queue and its draining, without any agreement with other nodes:
//
//	ts := target.New(target.Deps{OnChange: publish, Log: log})
//	ts.Configure(snapshot)             // limits from the operator's configuration
//	http.Serve(callListener, ts)       // calls from peers
//	http.Serve(announceListener, ts.Announcements())
//
// Admission is decided in Gate, a step function without I/O.
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

// States that a target may announce.
const (
	StateUp       = "up"
	StateCold     = "cold" // just started, and slow for a while
	StateDraining = "draining"
)

const (
	// defaultAnnouncementTimeout covers three announcements, of which one is sent each second,
	// and some delay.
	defaultAnnouncementTimeout = 3500 * time.Millisecond
	// sweepInterval is how often targets are checked for missing announcements.
	sweepInterval        = 500 * time.Millisecond
	maxAnnouncementBytes = 4 << 10
	maxTargets           = 16
	maxSlots             = 10000
	maxConns             = 65535
	maxVersionSize       = 128 // bytes
	dialTimeout          = 2 * time.Second
	idleTimeout          = 60 * time.Second
)

// Announcement is what a target reports of itself, as JSON, each second.
type Announcement struct {
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	// ID identifies the target, if it has an ID. Requests then carry the ID of the target that
	// they are for, so that another target at the same address does not run them.
	ID string `json:"id,omitempty"`
	// StartMillis is when the target's process started, in Unix milliseconds, and Seq counts its
	// announcements. Together they identify announcements that arrive late. 0 if not announced.
	StartMillis int64 `json:"born,omitempty"`
	Seq         int64 `json:"seq,omitempty"`
	// Version is the version of the target's software; empty if not announced.
	Version string `json:"version,omitempty"`
}

// Deps are the dependencies and settings of Targets.
type Deps struct {
	// OnChange is called with the list of targets when it changes.
	OnChange func([]peer.Target)
	// OnCrash is called for each request that was in flight when a target crashed, and for each
	// suspected request that ran to its end.
	OnCrash func(peer.Crashed)
	// CrashCount returns in how many crashes the request with this fingerprint was in flight.
	CrashCount func(fingerprint uint64) int
	Log        *event.Log
	Metrics    *metrics.Set
	// StallTimeout is the timeout for an exchange in which no byte moves.
	StallTimeout time.Duration
	// WrapTransport, if set, wraps the transport to targets: it translates between the headers
	// of this package and those that the targets use.
	WrapTransport func(http.RoundTripper) http.RoundTripper
	// ResponseMatches, if set, reports whether a response is the one to a request.
	ResponseMatches http1.ResponseMatcher
	// Dial, if set, opens the connections to targets.
	Dial relay.DialFunc
	// NoFairQueueing turns off fair queueing between callers. It is set where a caller's name
	// only identifies the host that a call comes from, since fairness between hosts would serve
	// no purpose. Calls of workspaces are then not queued fairly either: with tens of workspaces
	// at a gate so many calls overtake others that most of them are late.
	NoFairQueueing bool
	// Versions, if set, reports whether the versions of targets are of use to the mesh, because
	// there are roll-outs. Otherwise they are not sent.
	Versions func() bool
	// AnnouncementTimeout is the time without an announcement after which a target is removed; 0
	// for defaultAnnouncementTimeout.
	AnnouncementTimeout time.Duration
	// LinkBytesPerSecond is the bandwidth of this host's link; 0 if unknown, and then request
	// bodies are not limited.
	LinkBytesPerSecond float64
}

// Targets manages the targets on this host. Use New to create one.
type Targets struct {
	deps Deps
	// notifyMu is held while OnChange runs; mu may be locked inside it.
	notifyMu sync.Mutex
	mu       sync.Mutex
	all      map[string]*target // by address
	snap     *snapshot.Snapshot
	draining bool // the node itself is about to stop
	done     chan struct{}
	wg       sync.WaitGroup
	// configured is closed when the first configuration arrives.
	configured chan struct{}

	// traces counts the running calls by trace ID.
	traces map[string]int
	// departed maps the IDs of targets that drain or have deregistered to the start time, in
	// Unix milliseconds, of the latest process known to have done so.
	departed map[string]int64

	started  *metrics.Counter
	refused  *metrics.Counter
	overRate *metrics.Counter
	waited   *metrics.Histogram
}

// target is one target with its gate and its connections. service, addr, process, crashID, url,
// pool and transport never change. The fields from announcement to earlierStarts are guarded by the mutex of
// Targets, the gate and its state by mu.
type target struct {
	service string
	addr    string
	// process identifies the target's process: its ID or address, and its start time.
	process string
	// crashID identifies the crash of the process, should it crash.
	crashID      uint64
	url          *url.URL
	announcement Announcement
	announcedAt  time.Time
	// announcements counts the announcements received; admitted is set once calls may pass.
	announcements int
	admitted      bool
	// earlierStarts counts consecutive announcements with an earlier process start than that of
	// announcement.
	earlierStarts int
	pool          *http1.Pool
	transport     http.RoundTripper
	gate          *Gate
	waiters       map[CallID]chan Cmd
	lastID        CallID
	timer         *time.Timer
	advertised    advertisedRate
	// leaving is set once the target has reported in a response that it is about to stop.
	leaving atomic.Bool
	mu      sync.Mutex
}

// New starts a Targets without targets. Close stops it.
func New(d Deps) *Targets {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	if d.AnnouncementTimeout == 0 {
		d.AnnouncementTimeout = defaultAnnouncementTimeout
	}
	if d.Dial == nil {
		d.Dial = http1.Dialer(dialTimeout)
	}
	t := &Targets{
		deps: d,
		all:  make(map[string]*target),

		traces:   make(map[string]int),
		departed: make(map[string]int64),
		done:     make(chan struct{}),

		configured: make(chan struct{}),
		started:    d.Metrics.GetOrCreateCounter("briarrock_target_calls_total"),
		refused:    d.Metrics.GetOrCreateCounter("briarrock_target_refused_total"),
		overRate:   d.Metrics.GetOrCreateCounter("briarrock_target_overrate_total"),
		waited:     d.Metrics.GetOrCreateHistogram("briarrock_target_waited_seconds"),
	}
	d.Metrics.GetOrCreateGauge("briarrock_target_running", func() float64 { return float64(t.Running()) })
	d.Metrics.GetOrCreateGauge("briarrock_target_queued", func() float64 { return float64(t.count((*Gate).Queued)) })
	d.Metrics.GetOrCreateGauge("briarrock_target_limited", func() float64 { return float64(t.countRateLimited()) })
	t.wg.Go(t.sweep)
	return t
}

// Close stops the background goroutines. Running calls continue.
func (t *Targets) Close() {
	close(t.done)
	t.wg.Wait()
}

// Running returns the number of calls that run at the targets of this host.
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

// lastAnnouncement returns a target's last announcement.
func (t *Targets) lastAnnouncement(x *target) Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return x.announcement
}

// Configure applies the limits of a new configuration version.
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

// limits returns the limits of a target. The slots are the lower of those that it announces and
// those that the operator configures. The queue length is the configured one, by default twice the
// announced slots.
func (t *Targets) limits(a Announcement) Limits {
	l := Limits{Slots: a.Slots, Queue: 2 * a.Slots, LinkBytesPerSecond: t.deps.LinkBytesPerSecond}
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

// Drain refuses all new and queued calls, since the node is about to stop.
func (t *Targets) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for _, x := range t.list() {
		x.step(Drain{On: true})
	}
}

// isStopping reports whether Drain was called.
func (t *Targets) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// Announcements returns the handler for announcements of the targets of this host.
func (t *Targets) Announcements() http.Handler {
	r := chi.NewRouter()
	r.Post("/announce", t.announce)
	return r
}

func (t *Targets) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if problem := a.validate(r.RemoteAddr); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	if !t.HandleAnnouncement(a) {
		http.Error(w, "too many targets on this host", http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// validate checks an announcement that was received from remote, and returns what is wrong with
// it. A target may announce only its own host: otherwise whoever reaches the announce address
// could redirect the calls of a service to another host.
func (a *Announcement) validate(remote string) string {
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
	case len(a.Version) > maxVersionSize:
		return "version is too long"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots is out of range"
	case a.Connections < 0 || a.Connections > maxConns:
		return "connections is out of range"
	case a.State != StateUp && a.State != StateCold && a.State != StateDraining:
		return "state must be up, cold or draining"
	}
	return ""
}

// notifyChange passes the current targets to OnChange. Notifications are serialized: if two
// overtook each other, the mesh would keep the older list, and calls would continue to come for
// a target that drains.
func (t *Targets) notifyChange() {
	t.notifyMu.Lock()
	defer t.notifyMu.Unlock()
	t.mu.Lock()
	withVersions := t.usesVersions()
	out := make([]peer.Target, 0, len(t.all))
	for _, x := range t.all {
		y := peer.Target{
			Service:  x.service,
			Slots:    x.announcement.Slots,
			Draining: t.draining || !x.admitted || x.isDraining(),
		}
		if withVersions {
			y.Version = x.announcement.Version
		}
		out = append(out, y)
	}
	t.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	t.deps.OnChange(out)
}

func (t *Targets) usesVersions() bool { return t.deps.Versions != nil && t.deps.Versions() }

// Refresh passes the targets to OnChange again, because Versions has changed.
func (t *Targets) Refresh() { t.notifyChange() }

// isDraining reports whether the target has announced or reported that it is about to stop. The
// mutex of Targets must be held.
func (x *target) isDraining() bool { return x.announcement.State == StateDraining || x.leaving.Load() }

// sweep drops targets without an announcement within AnnouncementTimeout.
func (t *Targets) sweep() {
	tick := time.NewTicker(sweepInterval)
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
			silent := now.Sub(x.announcedAt) > t.deps.AnnouncementTimeout
			t.mu.Unlock()
			if silent {
				t.drop(x, "silent")
			}
		}
	}
}

// drop removes a target until it announces itself again.
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
	t.deps.Log.Emit(event.TargetGone, event.Fields{event.Subject: x.addr, "service": x.service, "id": x.announcement.ID, "reason": reason})
	x.step(Drain{On: true})
	x.pool.Close()
	t.notifyChange()
}
