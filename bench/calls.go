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

// Service that the calls are sent to, and the load on it.
const (
	callService  = "orderdesk"
	callWork     = 10 * time.Millisecond // processing time of a call
	callSlots    = 6                     // slots of each target
	callDuration = 4 * time.Second       // of the load in one run
)

// serviceText returns a text with one service. slots is the number of slots of each
// target, deadline that of GET calls.
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

// callMesh starts a mesh in which half of the nodes of each domain have a target of
// the service. The targets of the others belong to a service "spare" that gets no
// calls; these nodes serve as entry nodes. work is the processing time of a request.
func callMesh(http1 bool, work time.Duration, perDomain int) (*local.Mesh, error) {
	m, err := local.Start(local.Spec{
		Locations: fourDomains, NodesPerDomain: perDomain, Services: []string{callService, "spare"}, HTTP1: http1,
		StoreRegion: fourDomains[0].Region,
		Target:      target.Config{Slots: callSlots, Conns: 120, Work: work},
	})
	if err != nil {
		return nil, err
	}
	return m, applyAndWait(m, serviceText(callSlots, loadUseful))
}

// applyAndWait applies a text and waits until it is in force and all nodes see the
// targets.
func applyAndWait(m *local.Mesh, text []byte) error {
	if err := m.WaitJoined(joinTimeout); err != nil {
		return errors.Wrap(err, "waiting for the nodes to join")
	}
	res, err := m.Operator(0).Apply(context.Background(), api.Apply{Text: text, Write: "bench-calls"})
	if err != nil || res.Outcome != api.Accepted {
		return errors.Errorf("apply: %v %v", res, err)
	}
	if err := m.WaitInForce(1, inForceTimeout); err != nil {
		return errors.Wrap(err, "waiting for the text to be in force")
	}
	return errors.Wrap(local.WaitUntil(joinTimeout, func() bool {
		for _, n := range m.Nodes {
			if n.LiveTargets(callService) < len(m.Nodes)/len(m.Spec.Services) {
				return false
			}
		}
		return true
	}), "waiting for all nodes to see the targets")
}

// callResults counts the results of calls and records the latency of successful
// ones.
type callResults struct {
	succeeded, notRun, failed atomic.Int64
	mu                        sync.Mutex
	histogram                 *hdrhistogram.Histogram // of latencies in microseconds
	// limit, if set, is the latency above which a response counts as failed.
	limit time.Duration
}

func newCallResults() *callResults { return &callResults{histogram: hdrhistogram.New(1, 60e6, 3)} }

func (r *callResults) recordLatency(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histogram.RecordValue(max(d.Microseconds(), 1))
}

// ms returns the q-th percentile of the latency in milliseconds.
func (r *callResults) ms(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }

// callerTimeout is the time after which a caller of a load cancels its call.
const callerTimeout = time.Second

// newClient returns the HTTP client that loads are sent with.
func newClient() *http.Client {
	return &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 2048, IdleConnTimeout: time.Minute},
	}
}

// sendCall sends a call and records its result.
func (r *callResults) sendCall(c *http.Client, addr string) {
	started := time.Now()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/orders/1", nil)
	if err != nil {
		return
	}
	req.Host = callService
	res, err := c.Do(req)
	if err != nil {
		r.failed.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	switch {
	case err == nil && res.StatusCode == http.StatusOK && r.limit > 0 && time.Since(started) > r.limit:
		r.failed.Add(1)
	case err == nil && res.StatusCode == http.StatusOK:
		r.succeeded.Add(1)
		r.recordLatency(time.Since(started))
	case res.Header.Get("Briarrock-Ran") == "no":
		r.notRun.Add(1)
	default:
		r.failed.Add(1)
	}
}

// openLoad sends an open-loop load to addresses in turn: calls at a constant rate,
// independent of the completion of earlier calls. Calls that are overdue are sent at
// once. The latency of a call counts from its start, so that it does not include the
// delay of an overdue call.
func openLoad(r *callResults, addrs []string, perSecond float64, d time.Duration) {
	c := newClient()
	var wg sync.WaitGroup
	gap := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for i := 0; next.Before(time.Now().Add(d)) && i < int(perSecond*d.Seconds()); i++ {
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		wg.Go(func() { r.sendCall(c, addrs[i%len(addrs)]) })
	}
	wg.Wait()
	c.CloseIdleConnections()
}

func callsBenchmark() benchmark {
	return benchmark{name: "calls", help: "latency that one and two nodes add to a call, compared with a direct call", run: calls}
}

// loadFractions are the loads as fractions of the capacity of the targets.
var loadFractions = []float64{0.1, 0.5, 0.8}

// calls measures the latency at fractions of the capacity. Four targets with six
// slots and 10 ms of work per call have a capacity of 2,400 calls per second.
func calls(o options) (*table, error) {
	t := &table{
		Name: "added latency",
		Note: fmt.Sprintf("GET of a few bytes, %v of work, 4 targets of %d slots, open load for %v; medians of %d runs; "+
			"the load generator, the nodes and the targets share one process and the machine's cores", callWork, callSlots, callDuration, o.runs),
		Heads: []string{"way", "load %", "p50 ms", "p99 ms", "+p50 ms", "+p99 ms", "core µs/call", "not run", "failed"},
	}
	setups, closeAll, err := callSetups()
	if err != nil {
		return nil, err
	}
	defer closeAll()
	capacity := float64(len(fourDomains)*callSlots) / callWork.Seconds()
	for _, fraction := range loadFractions {
		var base [2]float64
		for i, setup := range setups {
			var p50, p99, cpu, notRun, failed []float64
			for range o.runs {
				r := newCallResults()
				from := cpuTime()
				openLoad(r, setup.addrs, capacity*fraction, callDuration)
				done := float64(max(r.succeeded.Load(), 1))
				p50, p99 = append(p50, r.ms(50)), append(p99, r.ms(99))
				cpu = append(cpu, float64((cpuTime()-from).Microseconds())/done)
				notRun, failed = append(notRun, float64(r.notRun.Load())), append(failed, float64(r.failed.Load()))
			}
			id := func(v float64) float64 { return v }
			m50, m99 := median(p50, id), median(p99, id)
			if i == 0 {
				base = [2]float64{m50, m99}
			}
			t.add(setup.name, int(fraction*100), m50, m99, m50-base[0], m99-base[1], median(cpu, id), int(median(notRun, id)), int(median(failed, id)))
		}
	}
	return t, nil
}

// callSetup is one of the compared setups: the addresses that calls are sent to.
type callSetup struct {
	name  string
	addrs []string
}

// callSetups starts the targets and meshes of all setups and returns the setups and
// a function that stops them.
func callSetups() ([]callSetup, func(), error) {
	var closers []func()
	closeAll := func() {
		for _, c := range closers {
			c()
		}
	}
	direct := callSetup{name: "direct"}
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
	setups := []callSetup{direct}
	for _, http1 := range []bool{false, true} {
		m, err := callMesh(http1, callWork, 2)
		if err != nil {
			return nil, closeAll, err
		}
		closers = append(closers, m.Close)
		name := map[bool]string{false: "HTTP/2", true: "HTTP/1.1"}[http1]
		var targetNodes, otherNodes []string
		for _, n := range m.Nodes {
			if n.Target.Service() == callService {
				targetNodes = append(targetNodes, n.Cfg.CallerAddr)
			} else {
				otherNodes = append(otherNodes, n.Cfg.CallerAddr)
			}
		}
		setups = append(setups, callSetup{"entry is the target's node, " + name, targetNodes}, callSetup{"two nodes, " + name, otherNodes})
	}
	return setups, closeAll, nil
}
