package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrock/local"
	"briarrock.example/standin/target"
)

// Service under overload: each of four targets processes two requests of 10 ms
// concurrently, a capacity of 800 requests per second.
const (
	loadSlots    = 2                      // slots and workers of each target
	loadDuration = 6 * time.Second        // of the load in one run
	loadUseful   = 300 * time.Millisecond // latency within which a response is useful
	loadTimeout  = 5 * time.Second        // for the recovery after the outage
)

// loadCapacity is the capacity of all targets in requests per second.
var loadCapacity = float64(len(fourDomains)*loadSlots) / callWork.Seconds()

// loadMesh starts a mesh with one node and target in each domain. announced is the
// number of slots that each target announces.
func loadMesh(announced int) (*local.Mesh, error) {
	m, err := local.Start(local.Spec{
		Locations: fourDomains, NodesPerDomain: 1, Services: []string{callService}, StoreRegion: fourDomains[0].Region,
		Target: target.Config{Slots: announced, Conns: 120, Work: callWork, Workers: loadSlots},
	})
	if err != nil {
		return nil, err
	}
	return m, applyAndWait(m, serviceText(loadSlots, loadUseful))
}

// callerAddrs returns the addresses at which the nodes accept calls.
func callerAddrs(m *local.Mesh) []string {
	var out []string
	for _, n := range m.Nodes {
		out = append(out, n.Cfg.CallerAddr)
	}
	return out
}

func overloadBenchmark() benchmark {
	return benchmark{name: "overload", help: "useful answers per second beyond capacity, compared with round robin without limits", run: overload}
}

func overload(o options) (*table, error) {
	t := &table{
		Name: "useful answers under overload",
		Note: fmt.Sprintf("capacity %.0f calls/s (4 targets, 2 workers of 10 ms); useful is answered within %v; open load for %v; medians of %d runs",
			loadCapacity, loadUseful, loadDuration, o.runs),
		Heads: []string{"way", "load x", "useful/s", "% of peak", "not run/s", "late or failed/s", "p99 ms of useful"},
	}
	for _, system := range []struct {
		name  string
		start func() ([]string, func(), error)
	}{{"briarrock", startBriarrock}, {"round robin", startRoundRobin}} {
		peak := 0.0
		for _, load := range []float64{1, 2, 5} {
			var useful, notRun, failed, p99 []float64
			for range o.runs {
				addrs, stop, err := system.start()
				if err != nil {
					return nil, err
				}
				r := newCallResults()
				r.limit = loadUseful
				openLoad(r, addrs, loadCapacity*load, loadDuration)
				stop()
				s := loadDuration.Seconds()
				useful = append(useful, float64(r.succeeded.Load())/s)
				notRun = append(notRun, float64(r.notRun.Load())/s)
				failed = append(failed, float64(r.failed.Load())/s)
				p99 = append(p99, r.ms(99))
			}
			id := func(v float64) float64 { return v }
			u := median(useful, id)
			peak = max(peak, u)
			t.add(system.name, load, u, 100*u/peak, median(notRun, id), median(failed, id), median(p99, id))
		}
	}
	return t, nil
}

func startBriarrock() ([]string, func(), error) {
	m, err := loadMesh(loadSlots)
	if err != nil {
		return nil, nil, err
	}
	return callerAddrs(m), m.Close, nil
}

// startRoundRobin is the baseline: callers send calls to the targets directly, round
// robin.
func startRoundRobin() ([]string, func(), error) {
	var addrs []string
	var servers []*http.Server
	for range fourDomains {
		l, _, err := listen()
		if err != nil {
			return nil, nil, err
		}
		srv := &http.Server{
			Handler:           target.New(target.Config{Service: callService, Work: callWork, Workers: loadSlots}),
			ReadHeaderTimeout: time.Minute,
		}
		go func() { _ = srv.Serve(l) }()
		servers = append(servers, srv)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}, nil
}

func faultsBenchmark() benchmark {
	return benchmark{name: "faults", help: "calls while one of four targets fails, and while all do", run: faults}
}

// faultCase is a fault of a target and the function that injects it.
type faultCase struct {
	name   string
	inject func(m *local.Mesh, n *local.Node)
}

func faultCases() []faultCase {
	return []faultCase{
		{"none", func(*local.Mesh, *local.Node) {}},
		{"crashes", func(_ *local.Mesh, n *local.Node) { n.StopTarget() }},
		{"drains", func(_ *local.Mesh, n *local.Node) { n.Target.Drain() }},
		{"goes silent", func(_ *local.Mesh, n *local.Node) { n.Target.Hang(true) }},
		{"10 times slower", func(_ *local.Mesh, n *local.Node) { n.Target.SetWork(10 * callWork) }},
		{"sheds load", func(_ *local.Mesh, n *local.Node) { n.Target.Shed(true) }},
		{"its node dies", func(_ *local.Mesh, n *local.Node) { n.Kill() }},
	}
}

// faultDelay is the time from the start of the load to the injection of the fault.
const faultDelay = 2 * time.Second

// faults measures the calls under each fault of one of four targets.
func faults(o options) (*table, error) {
	t := &table{
		Name: "calls while one of four targets fails",
		Note: fmt.Sprintf("half load (%.0f calls/s) through the three other nodes for %v, the fault begins after %v; medians of %d runs",
			loadCapacity/2, loadDuration, faultDelay, o.runs),
		Heads: []string{"the target", "answered %", "not run %", "late or failed %", "p99 ms", "attempts/call"},
	}
	for _, f := range faultCases() {
		var succeeded, notRun, failed, p99, attemptsPerCall []float64
		for range o.runs {
			r, attempts, err := runFault(f)
			if err != nil {
				return nil, err
			}
			all := float64(r.succeeded.Load() + r.notRun.Load() + r.failed.Load())
			succeeded = append(succeeded, 100*float64(r.succeeded.Load())/all)
			notRun = append(notRun, 100*float64(r.notRun.Load())/all)
			failed = append(failed, 100*float64(r.failed.Load())/all)
			p99 = append(p99, r.ms(99))
			attemptsPerCall = append(attemptsPerCall, attempts/all)
		}
		id := func(v float64) float64 { return v }
		t.add(f.name, median(succeeded, id), median(notRun, id), median(failed, id), median(p99, id), median(attemptsPerCall, id))
	}
	return t, outageRow(t)
}

// runFault measures one run of a load with a fault. It returns the results and the
// number of attempts.
func runFault(f faultCase) (*callResults, float64, error) {
	m, err := loadMesh(loadSlots)
	if err != nil {
		return nil, 0, err
	}
	defer m.Close()
	r := newCallResults()
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(faultDelay)
		f.inject(m, m.Nodes[3])
	})
	openLoad(r, callerAddrs(m)[:3], loadCapacity/2, loadDuration)
	wg.Wait()
	return r, attempts(m), nil
}

// attempts returns the number of attempts that all nodes made.
func attempts(m *local.Mesh) float64 {
	sum := uint64(0)
	for _, n := range m.Nodes {
		sum += n.Metrics().GetOrCreateCounter("briarrock_attempts_total").Get()
	}
	return float64(sum)
}

// outageDuration is how long all targets are down.
const outageDuration = 10 * time.Second

// outageRow stops all targets and measures the attempts per call during the outage
// and the time to recovery after it.
func outageRow(t *table) error {
	m, err := loadMesh(loadSlots)
	if err != nil {
		return err
	}
	defer m.Close()
	for _, n := range m.Nodes {
		n.StopTarget()
	}
	r, from := newCallResults(), attempts(m)
	openLoad(r, callerAddrs(m), loadCapacity/2, outageDuration)
	all := float64(r.succeeded.Load() + r.notRun.Load() + r.failed.Load())
	t.add("all four down for 10 s", 100*float64(r.succeeded.Load())/all, 100*float64(r.notRun.Load())/all,
		100*float64(r.failed.Load())/all, r.ms(99), (attempts(m)-from)/all)
	for _, n := range m.Nodes {
		if err := m.StartTarget(n); err != nil {
			return err
		}
	}
	started := time.Now()
	client := newClient()
	streak := 0
	err = local.WaitUntil(loadTimeout, func() bool {
		probe := newCallResults()
		probe.sendCall(client, callerAddrs(m)[streak%len(m.Nodes)])
		if probe.succeeded.Load() == 0 {
			streak = 0
			return false
		}
		streak++
		return streak >= recoveryCalls
	})
	if err != nil {
		return errors.Wrap(err, "waiting for recovery after the outage")
	}
	t.Note += fmt.Sprintf("; after 10 s with all down, %d calls in a row were answered %d ms after the targets came back", recoveryCalls, time.Since(started).Milliseconds())
	return nil
}

// recoveryCalls is the number of consecutive successful calls that count as
// recovery.
const recoveryCalls = 40

func onceBenchmark() benchmark {
	return benchmark{name: "once", help: "cost of an idempotency key in latency and store writes", run: once}
}

// onceConcurrency are the numbers of orders that are sent concurrently.
var onceConcurrency = []int{1, 8, 32}

// onceOrders is the number of orders of each measurement.
const onceOrders = 640

func once(o options) (*table, error) {
	t := &table{
		Name:  "at most once",
		Note:  fmt.Sprintf("POST with a key through all nodes in turn, no work at the target, store at %v; %d orders", 2*time.Millisecond, onceOrders),
		Heads: []string{"nodes", "at a time", "without key p50 ms", "with key p50 ms", "with key p99 ms", "store writes/order", "orders/s"},
	}
	for _, perDomain := range []int{2, 16} {
		if err := onceRows(t, o, perDomain); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// onceRows measures a mesh of perDomain nodes in each domain and adds its rows.
func onceRows(t *table, o options, perDomain int) error {
	m, err := callMesh(false, 0, perDomain)
	if err != nil {
		return err
	}
	defer m.Close()
	m.Platform.Fault(storeFaults)
	for _, n := range onceConcurrency {
		plain := sendOrders(m, n, "")
		writes := m.Platform.Counts().Writes
		started := time.Now()
		keyed := sendOrders(m, n, fmt.Sprintf("key-%d-%d-%d", o.seed, perDomain, n))
		took := time.Since(started)
		time.Sleep(time.Second) // outcomes are written to the store after the response
		perOrder := float64(m.Platform.Counts().Writes-writes) / onceOrders
		t.add(len(m.Nodes), n, plain.ms(50), keyed.ms(50), keyed.ms(99), perOrder, float64(onceOrders)/took.Seconds())
	}
	return nil
}

// sendOrders sends orders through all nodes in turn, with idempotency keys that start
// with key if it is not empty.
func sendOrders(m *local.Mesh, concurrency int, key string) *callResults {
	r := newCallResults()
	client := newClient()
	var wg sync.WaitGroup
	for worker := range concurrency {
		wg.Go(func() {
			for i := range onceOrders / concurrency {
				started := time.Now()
				addr := m.Nodes[(worker+i)%len(m.Nodes)].Cfg.CallerAddr
				req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/orders", nil)
				if err != nil {
					continue
				}
				req.Host = callService
				if key != "" {
					req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d", key, worker, i))
				}
				res, err := client.Do(req)
				if err != nil {
					continue
				}
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					r.succeeded.Add(1)
					r.recordLatency(time.Since(started))
				}
			}
		})
	}
	wg.Wait()
	return r
}
