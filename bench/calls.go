package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"briarrock.example/briarrock/local"
	api "briarrock.example/mesh/operator"
	"briarrock.example/standin/target"
)

// The service that calls are measured on.
const (
	callService = "orderdesk"
	callWork    = 10 * time.Millisecond
	callSlots   = 6
	callFor     = 4 * time.Second
)

// serviceText is a text of the one service, with so many slots a target.
func serviceText(slots int, deadline time.Duration) []byte {
	return fmt.Appendf(nil, `
mesh: bench
services:
  - name: orderdesk
    upstreams: 4
    slots: %d
    connections: 120
    queue: %d
    routes:
      - {path: /orders, methods: [GET], mode: repeatable, deadline: %v, retries: 2}
      - {path: /orders, methods: [POST], mode: once, deadline: 2s, retries: 1}
`, slots, max(2*slots, 8), deadline)
}

// callMesh starts nodes with one target of the service in each domain, and bare
// nodes without a target beside them as entries.
func callMesh(http1 bool, work time.Duration, perDomain int) (*local.Mesh, error) {
	m, err := local.Start(local.Spec{
		Locations: fourDomains, NodesPerDomain: perDomain, Services: []string{callService, "spare"}, HTTP1: http1,
		StoreRegion: fourDomains[0].Region,
		Target:      target.Config{Slots: callSlots, Conns: 120, Work: work},
	})
	if err != nil {
		return nil, err
	}
	return m, ready(m, serviceText(callSlots, loadUseful))
}

// ready puts a text in force and waits until the targets are known.
func ready(m *local.Mesh, text []byte) error {
	if err := m.WaitJoined(joinWithin); err != nil {
		return errors.Wrap(err, "join")
	}
	res, err := m.Operator(0).Apply(context.Background(), api.Apply{Text: text, Write: "bench-calls"})
	if err != nil || res.Outcome != api.Accepted {
		return errors.Errorf("apply: %v %v", res, err)
	}
	if err := m.WaitInForce(1, forceWithin); err != nil {
		return errors.Wrap(err, "in force")
	}
	return errors.Wrap(local.WaitUntil(joinWithin, func() bool {
		for _, n := range m.Nodes {
			if n.LiveTargets(callService) < len(m.Nodes)/len(m.Spec.Services) {
				return false
			}
		}
		return true
	}), "targets known")
}

// tally is what a load was told.
type tally struct {
	good, notRun, other atomic.Int64
	mu                  sync.Mutex
	hist                *hdrhistogram.Histogram
	// limit, if set, is how late an answer may be and still be useful.
	limit time.Duration
}

func newTally() *tally { return &tally{hist: hdrhistogram.New(1, 60e6, 3)} }

func (t *tally) took(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.hist.RecordValue(max(d.Microseconds(), 1))
}

func (t *tally) ms(q float64) float64 { return float64(t.hist.ValueAtQuantile(q)) / 1000 }

// giveUp is when a caller of a load goes away.
const giveUp = time.Second

// callers is the client that loads are sent with.
func callers() *http.Client {
	return &http.Client{
		Timeout:   giveUp,
		Transport: &http.Transport{MaxIdleConnsPerHost: 2048, IdleConnTimeout: time.Minute},
	}
}

// one sends a call and notes what came of it.
func (t *tally) one(c *http.Client, addr string) {
	began := time.Now()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/orders/1", nil)
	if err != nil {
		return
	}
	req.Host = callService
	res, err := c.Do(req)
	if err != nil {
		t.other.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	switch {
	case err == nil && res.StatusCode == http.StatusOK && t.limit > 0 && time.Since(began) > t.limit:
		t.other.Add(1)
	case err == nil && res.StatusCode == http.StatusOK:
		t.good.Add(1)
		t.took(time.Since(began))
	case res.Header.Get("Briarrock-Ran") == "no":
		t.notRun.Add(1)
	default:
		t.other.Add(1)
	}
}

// openLoad sends calls at a steady rate, whatever becomes of them, to
// addresses in turn. Each call's time counts from when it was due.
func openLoad(t *tally, addrs []string, perSecond float64, d time.Duration) {
	c := callers()
	var wg sync.WaitGroup
	gap := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for i := 0; next.Before(time.Now().Add(d)) && i < int(perSecond*d.Seconds()); i++ {
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		wg.Go(func() { t.one(c, addrs[i%len(addrs)]) })
	}
	wg.Wait()
	c.CloseIdleConnections()
}

func callsMeasure() measure {
	return measure{name: "calls", help: "what one and two nodes add to a call, beside the direct call", run: calls}
}

// callShares are the loads, as shares of the targets' capacity.
var callShares = []float64{0.1, 0.5, 0.8}

// calls measures latency at shares of the capacity: four targets of six slots
// and 10 ms of work do 2,400 calls a second.
func calls(o options) (*table, error) {
	t := &table{
		Name: "added latency",
		Note: fmt.Sprintf("GET of a few bytes, %v of work, 4 targets of %d slots, open load for %v; medians of %d runs; "+
			"the load generator, the nodes and the targets share one process and the machine's cores", callWork, callSlots, callFor, o.runs),
		Heads: []string{"way", "load %", "p50 ms", "p99 ms", "+p50 ms", "+p99 ms", "core µs/call", "not run", "failed"},
	}
	ways, closeAll, err := callWays()
	if err != nil {
		return nil, err
	}
	defer closeAll()
	capacity := float64(len(fourDomains)*callSlots) / callWork.Seconds()
	for _, share := range callShares {
		var base [2]float64
		for i, way := range ways {
			var p50, p99, cpu, no, bad []float64
			for range o.runs {
				x := newTally()
				from := cpuNow()
				openLoad(x, way.addrs, capacity*share, callFor)
				done := float64(max(x.good.Load(), 1))
				p50, p99 = append(p50, x.ms(50)), append(p99, x.ms(99))
				cpu = append(cpu, float64((cpuNow()-from).Microseconds())/done)
				no, bad = append(no, float64(x.notRun.Load())), append(bad, float64(x.other.Load()))
			}
			id := func(v float64) float64 { return v }
			m50, m99 := median(p50, id), median(p99, id)
			if i == 0 {
				base = [2]float64{m50, m99}
			}
			t.add(way.name, int(share*100), m50, m99, m50-base[0], m99-base[1], median(cpu, id), int(median(no, id)), int(median(bad, id)))
		}
	}
	return t, nil
}

// way is one way for a call to a target.
type way struct {
	name  string
	addrs []string
}

func callWays() ([]way, func(), error) {
	var closers []func()
	closeAll := func() {
		for _, c := range closers {
			c()
		}
	}
	direct := way{name: "direct"}
	for range fourDomains {
		l, _, err := listen()
		if err != nil {
			return nil, closeAll, err
		}
		srv := &http.Server{
			Handler:           target.New(target.Config{Service: callService, Work: callWork}),
			ReadHeaderTimeout: time.Minute,
		}
		go func() { _ = srv.Serve(l) }()
		closers = append(closers, func() { _ = srv.Close() })
		direct.addrs = append(direct.addrs, l.Addr().String())
	}
	ways := []way{direct}
	for _, proto := range []bool{false, true} {
		m, err := callMesh(proto, callWork, 2)
		if err != nil {
			return nil, closeAll, err
		}
		closers = append(closers, m.Close)
		name := map[bool]string{false: "HTTP/2", true: "HTTP/1.1"}[proto]
		var near, far []string
		for _, n := range m.Nodes {
			if n.Target.Service() == callService {
				near = append(near, n.Cfg.CallerAddr)
			} else {
				far = append(far, n.Cfg.CallerAddr)
			}
		}
		ways = append(ways, way{"entry is the target's node, " + name, near}, way{"two nodes, " + name, far})
	}
	return ways, closeAll, nil
}
