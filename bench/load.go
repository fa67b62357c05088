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

// The service under overload: four targets that really work on two requests
// of 10 ms at a time do 800 a second.
const (
	loadSlots   = 2
	loadFor     = 6 * time.Second
	loadUseful  = 300 * time.Millisecond
	loadTimeout = 5 * time.Second
)

var loadCapacity = float64(len(fourDomains)*loadSlots) / callWork.Seconds()

func loadMesh(announced int) (*local.Mesh, error) {
	m, err := local.Start(local.Spec{
		Locations: fourDomains, NodesPerDomain: 1, Services: []string{callService}, StoreRegion: fourDomains[0].Region,
		Target: target.Config{Slots: announced, Conns: 120, Work: callWork, Workers: loadSlots},
	})
	if err != nil {
		return nil, err
	}
	return m, ready(m, serviceText(loadSlots, loadUseful))
}

func entries(m *local.Mesh) []string {
	var out []string
	for _, n := range m.Nodes {
		out = append(out, n.Cfg.CallerAddr)
	}
	return out
}

func overloadMeasure() measure {
	return measure{name: "overload", help: "useful answers in time beyond capacity, beside round robin without limits", run: overload}
}

func overload(o options) (*table, error) {
	t := &table{
		Name: "useful answers under overload",
		Note: fmt.Sprintf("capacity %.0f calls/s (4 targets, 2 workers of 10 ms); useful is answered within %v; open load for %v; medians of %d runs",
			loadCapacity, loadUseful, loadFor, o.runs),
		Heads: []string{"way", "load x", "useful/s", "% of peak", "not run/s", "late or failed/s", "p99 ms of useful"},
	}
	for _, w := range []struct {
		name  string
		start func() ([]string, func(), error)
	}{{"briarrock", briarrockLoad}, {"round robin", directLoad}} {
		peak := 0.0
		for _, x := range []float64{1, 2, 5} {
			var useful, notRun, bad, p99 []float64
			for range o.runs {
				addrs, stop, err := w.start()
				if err != nil {
					return nil, err
				}
				r := newTally()
				r.limit = loadUseful
				openLoad(r, addrs, loadCapacity*x, loadFor)
				stop()
				s := loadFor.Seconds()
				useful = append(useful, float64(r.good.Load())/s)
				notRun = append(notRun, float64(r.notRun.Load())/s)
				bad = append(bad, float64(r.other.Load())/s)
				p99 = append(p99, r.ms(99))
			}
			id := func(v float64) float64 { return v }
			u := median(useful, id)
			peak = max(peak, u)
			t.add(w.name, x, u, 100*u/peak, median(notRun, id), median(bad, id), median(p99, id))
		}
	}
	return t, nil
}

func briarrockLoad() ([]string, func(), error) {
	m, err := loadMesh(loadSlots)
	if err != nil {
		return nil, nil, err
	}
	return entries(m), m.Close, nil
}

// directLoad is the baseline: callers go round the targets themselves.
func directLoad() ([]string, func(), error) {
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

func faultsMeasure() measure {
	return measure{name: "faults", help: "calls while one of four targets fails, and while all do", run: faults}
}

// faultCase is one fault of a target and how it ends.
type faultCase struct {
	name  string
	begin func(m *local.Mesh, n *local.Node)
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

// faultAfter is when the fault begins.
const faultAfter = 2 * time.Second

func faults(o options) (*table, error) {
	t := &table{
		Name: "calls while one of four targets fails",
		Note: fmt.Sprintf("half load (%.0f calls/s) through the three other nodes for %v, the fault begins after %v; medians of %d runs",
			loadCapacity/2, loadFor, faultAfter, o.runs),
		Heads: []string{"the target", "answered %", "not run %", "late or failed %", "p99 ms", "attempts/call"},
	}
	for _, f := range faultCases() {
		var good, notRun, bad, p99, tries []float64
		for range o.runs {
			r, attempts, err := faultOnce(f)
			if err != nil {
				return nil, err
			}
			all := float64(r.good.Load() + r.notRun.Load() + r.other.Load())
			good = append(good, 100*float64(r.good.Load())/all)
			notRun = append(notRun, 100*float64(r.notRun.Load())/all)
			bad = append(bad, 100*float64(r.other.Load())/all)
			p99 = append(p99, r.ms(99))
			tries = append(tries, attempts/all)
		}
		id := func(v float64) float64 { return v }
		t.add(f.name, median(good, id), median(notRun, id), median(bad, id), median(p99, id), median(tries, id))
	}
	return t, outageRow(t)
}

func faultOnce(f faultCase) (*tally, float64, error) {
	m, err := loadMesh(loadSlots)
	if err != nil {
		return nil, 0, err
	}
	defer m.Close()
	r := newTally()
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(faultAfter)
		f.begin(m, m.Nodes[3])
	})
	openLoad(r, entries(m)[:3], loadCapacity/2, loadFor)
	wg.Wait()
	return r, attempts(m), nil
}

func attempts(m *local.Mesh) float64 {
	sum := uint64(0)
	for _, n := range m.Nodes {
		sum += n.Metrics().GetOrCreateCounter("briarrock_attempts_total").Get()
	}
	return float64(sum)
}

// outage is how long the whole service is down.
const outage = 10 * time.Second

// outageRow takes the whole service down, and measures the attempts meanwhile
// and the time until it answers again.
func outageRow(t *table) error {
	m, err := loadMesh(loadSlots)
	if err != nil {
		return err
	}
	defer m.Close()
	for _, n := range m.Nodes {
		n.StopTarget()
	}
	r, from := newTally(), attempts(m)
	openLoad(r, entries(m), loadCapacity/2, outage)
	all := float64(r.good.Load() + r.notRun.Load() + r.other.Load())
	t.add("all four down for 10 s", 100*float64(r.good.Load())/all, 100*float64(r.notRun.Load())/all,
		100*float64(r.other.Load())/all, r.ms(99), (attempts(m)-from)/all)
	for _, n := range m.Nodes {
		if err := m.StartTarget(n); err != nil {
			return err
		}
	}
	began := time.Now()
	client := callers()
	streak := 0
	err = local.WaitUntil(loadTimeout, func() bool {
		x := newTally()
		x.one(client, entries(m)[streak%len(m.Nodes)])
		if x.good.Load() == 0 {
			streak = 0
			return false
		}
		streak++
		return streak >= recovered
	})
	if err != nil {
		return errors.Wrap(err, "recovery")
	}
	t.Note += fmt.Sprintf("; after 10 s with all down, %d calls in a row were answered %d ms after the targets came back", recovered, time.Since(began).Milliseconds())
	return nil
}

// recovered is how many answered calls in a row count as recovery.
const recovered = 40

func onceMeasure() measure {
	return measure{name: "once", help: "what an idempotency key costs, in time and store writes", run: once}
}

// onceFor is how many orders each size sends at a time, and in all.
var onceAtOnce = []int{1, 8, 32}

const onceAll = 640

func once(o options) (*table, error) {
	t := &table{
		Name:  "at most once",
		Note:  fmt.Sprintf("POST with a key through all nodes in turn, no work at the target, store at %v; %d orders", 2*time.Millisecond, onceAll),
		Heads: []string{"nodes", "at a time", "without key p50 ms", "with key p50 ms", "with key p99 ms", "store writes/order", "orders/s"},
	}
	for _, perDomain := range []int{2, 16} {
		if err := onceRows(t, o, perDomain); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func onceRows(t *table, o options, perDomain int) error {
	m, err := callMesh(false, 0, perDomain)
	if err != nil {
		return err
	}
	defer m.Close()
	m.Platform.Fault(storeDelay)
	for _, n := range onceAtOnce {
		plain := sendOrders(m, n, "")
		writes := m.Platform.Counts().Writes
		began := time.Now()
		keyed := sendOrders(m, n, fmt.Sprintf("key-%d-%d-%d", o.seed, perDomain, n))
		took := time.Since(began)
		time.Sleep(time.Second) // outcomes are kept a moment later
		perOrder := float64(m.Platform.Counts().Writes-writes) / onceAll
		t.add(len(m.Nodes), n, plain.ms(50), keyed.ms(50), keyed.ms(99), perOrder, float64(onceAll)/took.Seconds())
	}
	return nil
}

func sendOrders(m *local.Mesh, atOnce int, key string) *tally {
	r := newTally()
	client := callers()
	var wg sync.WaitGroup
	for w := range atOnce {
		wg.Go(func() {
			for i := range onceAll / atOnce {
				began := time.Now()
				addr := m.Nodes[(w+i)%len(m.Nodes)].Cfg.CallerAddr
				req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+"/orders", nil)
				if err != nil {
					continue
				}
				req.Host = callService
				if key != "" {
					req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d-%d", key, w, i))
				}
				res, err := client.Do(req)
				if err != nil {
					continue
				}
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					r.good.Add(1)
					r.took(time.Since(began))
				}
			}
		})
	}
	wg.Wait()
	return r
}
