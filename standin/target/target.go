// Package target is a stand-in for a target, the back end that handles a
// service's requests, for tests, the demo and benchmarks. It announces itself to
// the node on its host. A test can set its processing time and make it drain,
// shed load, crash or stop responding.
//
//	t := target.New(target.Config{Service: "orderdesk", Slots: 6})
//	go http.Serve(l, t)
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// HeaderCrash on a request makes the target crash while it handles the request.
const HeaderCrash = "Standin-Crash"

// HeaderWork on a request sets its processing time, as a Go duration.
const HeaderWork = "Standin-Work"

// Config configures a stand-in target.
type Config struct {
	Service string
	// Addr is the address that the target announces.
	Addr string
	// Slots and Conns are the numbers of concurrent requests and of connections
	// that the target announces. The target itself does not enforce them.
	Slots int
	Conns int
	// Work is the processing time of a request.
	Work time.Duration
	// Workers, if set, limits the number of requests processed concurrently.
	// Further requests queue inside the target, which does not notice when
	// their callers disconnect.
	Workers int
	// Echo makes the response body a copy of the request body instead of a
	// short text.
	Echo bool
	// Crash is called for a request with HeaderCrash.
	Crash func()
}

// Target is a stand-in target; it implements http.Handler.
type Target struct {
	cfg       Config
	completed atomic.Int64
	running   atomic.Int64
	peak      atomic.Int64
	draining  atomic.Bool
	shedding  atomic.Bool
	work      atomic.Int64 // processing time in nanoseconds
	workers   chan struct{}
	hanging   atomic.Bool
	version   atomic.Pointer[string]
	mu        sync.Mutex
	runs      map[string]int // by id, see Runs
}

// New returns a target.
func New(cfg Config) *Target {
	t := &Target{cfg: cfg, runs: make(map[string]int)}
	t.work.Store(int64(cfg.Work))
	if cfg.Workers > 0 {
		t.workers = make(chan struct{}, cfg.Workers)
	}
	return t
}

// Drain makes the target announce that it is draining.
func (t *Target) Drain() { t.draining.Store(true) }

// Shed makes the target reject requests with status 503.
func (t *Target) Shed(on bool) { t.shedding.Store(on) }

// Hang makes the target accept requests without responding until they are
// cancelled.
func (t *Target) Hang(on bool) { t.hanging.Store(on) }

// SetVersion sets the version that the target announces.
func (t *Target) SetVersion(v string) { t.version.Store(&v) }

// SetWork sets the processing time of a request.
func (t *Target) SetWork(d time.Duration) { t.work.Store(int64(d)) }

// Completed returns the number of requests that were processed to completion.
func (t *Target) Completed() int64 { return t.completed.Load() }

// PeakConcurrency returns the highest number of requests in progress at a time.
func (t *Target) PeakConcurrency() int64 { return t.peak.Load() }

// Runs returns the number of requests with this value of the header Standin-Id
// whose processing began.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// HeaderID on a request is the id that Runs counts it by.
const HeaderID = "Standin-Id"

// maxRuns bounds the number of ids that Runs counts. Once it is reached, Runs
// stops counting.
const maxRuns = 1 << 20

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.shedding.Load() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	n := t.running.Add(1)
	defer t.running.Add(-1)
	for p := t.peak.Load(); n > p && !t.peak.CompareAndSwap(p, n); p = t.peak.Load() {
	}
	t.countRun(r.Header.Get(HeaderID))
	if r.Header.Get(HeaderCrash) != "" && t.cfg.Crash != nil {
		t.cfg.Crash()
		panic(http.ErrAbortHandler)
	}
	length := int64(0)
	if !t.cfg.Echo {
		// The server detects a cancellation only after the body was read to its
		// end.
		length, _ = io.Copy(io.Discard, r.Body)
	}
	if !t.simulateWork(r) {
		return
	}
	t.completed.Add(1)
	t.respond(w, r, length)
}

func (t *Target) countRun(id string) {
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.runs) < maxRuns {
		t.runs[id]++
	}
}

// simulateWork waits for the request's processing time, or for its cancellation
// if the target hangs. It reports false if the request was cancelled first. While
// Workers is set, only a hanging target notices a cancellation.
func (t *Target) simulateWork(r *http.Request) bool {
	d := time.Duration(t.work.Load())
	if h := r.Header.Get(HeaderWork); h != "" {
		if x, err := time.ParseDuration(h); err == nil {
			d = x
		}
	}
	if t.hanging.Load() {
		<-r.Context().Done()
		return false
	}
	if t.workers != nil {
		t.workers <- struct{}{}
		time.Sleep(d)
		<-t.workers
		return true
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// respond writes the response. n is the length of the request body in bytes; it
// is not used with Echo.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, n int64) {
	w.Header().Set("Standin-Target", t.cfg.Addr)
	if t.cfg.Echo {
		w.Header().Set("Content-Type", "application/octet-stream")
		flusher, _ := w.(http.Flusher)
		_ = http.NewResponseController(w).EnableFullDuplex()
		buf := make([]byte, 32<<10)
		for {
			n, err := r.Body.Read(buf)
			if n > 0 {
				_, _ = w.Write(buf[:n])
				if flusher != nil {
					flusher.Flush()
				}
			}
			if err != nil {
				return
			}
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, t.cfg.Service+" "+r.Method+" "+r.URL.Path+" "+strconv.FormatInt(n, 10)+"\n") //nolint:gosec // plain text
}

// Announcement is the body that a target posts to the node on its host.
type Announcement struct {
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"` // "up" or "draining"
	Version     string `json:"version,omitempty"`
}

// announceEvery is the interval of a target's announcements.
const announceEvery = time.Second

// Announce announces the target to the node at url periodically, until ctx
// ends.
func (t *Target) Announce(ctx context.Context, url string) {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		_ = t.AnnounceOnce(ctx, url)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// AnnounceOnce announces the target to the node at url once.
func (t *Target) AnnounceOnce(ctx context.Context, url string) error {
	a := Announcement{Service: t.cfg.Service, Addr: t.cfg.Addr, Slots: t.cfg.Slots, Connections: t.cfg.Conns, State: "up"}
	if v := t.version.Load(); v != nil {
		a.Version = *v
	}
	if t.draining.Load() {
		a.State = "draining"
	}
	b, err := json.Marshal(a)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/announce", bytes.NewReader(b))
	if err != nil {
		return errors.WithStack(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusNoContent {
		return errors.Errorf("target: announce: %s", res.Status)
	}
	return nil
}

// Service returns the service that the target belongs to.
func (t *Target) Service() string { return t.cfg.Service }

// Running returns the number of requests in progress.
func (t *Target) Running() int64 { return t.running.Load() }
