package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"briarrock.example/briarrock/local"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
	standinplatform "briarrock.example/standin/platform"
	"briarrock.example/standin/wire"
)

// The distances of the brief.
const (
	nearDelay = time.Millisecond
	paidDelay = 20 * time.Millisecond
	paidRate  = 30e6 / 8 // bytes a second, each way
)

var fourDomains = []local.Location{
	{Domain: "northgate", Region: "north-line"},
	{Domain: "millbank", Region: "north-line"},
	{Domain: "riverside", Region: "south-line"},
	{Domain: "harbour-cross", Region: "south-line"},
}

var convergeFlags = struct {
	nodes    string
	services int
	idle     time.Duration
	baseline bool
	tls      bool
}{nodes: "16,64,256", services: 170, idle: 10 * time.Second, baseline: true}

func convergeMeasure() measure {
	return measure{
		name: "converge", help: "convergence time and control bytes, beside every node polling whole snapshots",
		flags: func(s *flaggy.Subcommand) {
			s.String(&convergeFlags.nodes, "n", "nodes", "numbers of nodes")
			s.Int(&convergeFlags.services, "", "services", "services in the text")
			s.Bool(&convergeFlags.tls, "", "tls", "with certificates")
			s.Bool(&convergeFlags.baseline, "", "baseline", "measure the baselines too (--baseline=false)")
			s.Duration(&convergeFlags.idle, "", "idle", "how long to watch an idle mesh")
		},
		run: converge,
	}
}

// sample is what one run of one size showed.
type sample struct {
	p50, p99, most time.Duration
	change         float64 // control bytes a node and change
	idle           float64 // control bytes a node and idle second
	paid           float64 // bytes over the paid link, a change edited in the store's region
	paidFar        float64 // and one edited in the other region
	reads          float64 // store reads an idle second
	join           time.Duration
	cpu            float64 // share of a core a node, idle
	heap           float64 // MB of heap a node
}

// changesPerRun is how many edits each run applies, editsNear how many of them
// at nodes of the store's region.
const (
	changesPerRun = 10
	editsNear     = 6
)

func converge(o options) (*table, error) {
	t := &table{
		Name: "convergence and control bytes",
		Note: fmt.Sprintf("%d services; four domains in two regions, 1 ms and 20 ms apart, 30 Mbit/s between the regions; medians of %d runs of %d changes; "+
			"bytes are those on connections, both ways, shared by the two ends", convergeFlags.services, o.runs, changesPerRun),
		Heads: []string{"way", "nodes", "p50 ms", "p99 ms", "max ms", "B/node/change", "paid B/change", "edited far", "idle B/s/node", "store reads/s", "join ms", "idle core %/node", "heap MB/node"},
	}
	for n := range strings.SplitSeq(convergeFlags.nodes, ",") {
		nodes, err := strconv.Atoi(n)
		if err != nil || nodes < len(fourDomains) {
			return nil, errors.Errorf("--nodes %q", n)
		}
		for _, way := range []struct {
			name string
			run  func(nodes int) (sample, error)
		}{
			{"briarrock", convergeOnce},
			{"polling whole", func(n int) (sample, error) { return pollOnce(n, false) }},
			{"polling compressed", func(n int) (sample, error) { return pollOnce(n, true) }},
		} {
			if way.name != "briarrock" && !convergeFlags.baseline {
				continue
			}
			var all []sample
			for range o.runs {
				s, err := way.run(nodes)
				if err != nil {
					return nil, err
				}
				all = append(all, s)
			}
			addSample(t, way.name, nodes, all)
		}
	}
	return t, nil
}

func addSample(t *table, way string, nodes int, all []sample) {
	ms := func(get func(sample) time.Duration) float64 {
		return median(all, func(s sample) float64 { return float64(get(s).Microseconds()) / 1000 })
	}
	t.add(way, nodes,
		ms(func(s sample) time.Duration { return s.p50 }),
		ms(func(s sample) time.Duration { return s.p99 }),
		ms(func(s sample) time.Duration { return s.most }),
		median(all, func(s sample) float64 { return s.change }),
		median(all, func(s sample) float64 { return s.paid }),
		median(all, func(s sample) float64 { return s.paidFar }),
		median(all, func(s sample) float64 { return s.idle }),
		median(all, func(s sample) float64 { return s.reads }),
		ms(func(s sample) time.Duration { return s.join }),
		median(all, func(s sample) float64 { return s.cpu * 100 }),
		median(all, func(s sample) float64 { return s.heap }),
	)
}

func median[T any](all []T, get func(T) float64) float64 {
	v := make([]float64, 0, len(all))
	for _, x := range all {
		v = append(v, get(x))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// uses collects when nodes began to serve versions.
type uses struct {
	mu sync.Mutex
	at map[uint64][]time.Time
}

func (u *uses) note(_ string, version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.at[version] = append(u.at[version], time.Now())
}

func (u *uses) since(version uint64, from time.Time) []time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []time.Duration
	for _, t := range u.at[version] {
		out = append(out, t.Sub(from))
	}
	return out
}

// text makes a text of so many services, the edit-th one of a series that
// changes one number at a time.
func makeText(services, edit int) []byte {
	var b strings.Builder
	b.WriteString("mesh: bench\nservices:\n")
	for i := range services {
		slots := 6
		if i == edit%services {
			slots = 7 + edit%5
		}
		fmt.Fprintf(&b, "  - name: service-%03d\n    upstreams: 4\n    slots: %d\n    connections: 120\n", i, slots)
		if i > 0 {
			fmt.Fprintf(&b, "    depends: [service-%03d]\n", i/2)
		}
		fmt.Fprintf(&b, "    routes:\n      - {path: /read-%d, methods: [GET], mode: repeatable, deadline: 800ms, retries: 2}\n", i)
		fmt.Fprintf(&b, "      - {path: /write-%d, methods: [POST], mode: once, deadline: 3s, callers: [kiosk, planner]}\n", i)
	}
	return []byte(b.String())
}

const (
	joinWithin  = 90 * time.Second
	forceWithin = 30 * time.Second
)

func convergeOnce(nodes int) (sample, error) {
	var out sample
	link := wire.NewLink(paidRate)
	u := &uses{at: make(map[uint64][]time.Time)}
	before := heapNow()
	began := time.Now()
	m, end, err := farMesh(nodes, link, u)
	if err != nil {
		return out, err
	}
	defer end()
	if err := m.WaitJoined(joinWithin); err != nil {
		return out, errors.Wrap(err, "join")
	}
	out.join = time.Since(began)
	if err := applyTo(m, 0); err != nil {
		return out, err
	}
	if err := m.WaitInForce(1, forceWithin); err != nil {
		return out, errors.Wrap(err, "first version")
	}
	settle()
	paidIdle := out.idleFigures(m, link, nodes)
	out.heap = (heapNow() - before) / float64(nodes) / 1e6
	return out, out.changes(m, link, u, nodes, paidIdle)
}

// farMesh starts a mesh with the distances of the brief.
func farMesh(nodes int, link *wire.Link, u *uses) (*local.Mesh, func(), error) {
	spec := local.Spec{
		Locations: fourDomains, NodesPerDomain: nodes / len(fourDomains), StoreRegion: fourDomains[0].Region,
		BetweenDomains: wire.Path{Delay: nearDelay}, BetweenRegions: wire.Path{Delay: paidDelay, Link: link}, OnVersion: u.note,
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	if convergeFlags.tls {
		if spec.Authority, err = local.NewAuthority(dir); err != nil {
			return nil, nil, err
		}
	}
	m, err := local.Start(spec)
	if err != nil {
		return nil, nil, err
	}
	return m, func() { m.Close(); _ = os.RemoveAll(dir) }, nil
}

// settle lets a mesh come to rest.
func settle() { time.Sleep(5 * time.Second) }

func heapNow() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse)
}

// control adds up the control bytes of all nodes, each byte counted at both
// of its ends, halved.
func control(m *local.Mesh) float64 {
	sum := uint64(0)
	for _, n := range m.Nodes {
		t := n.Peers().Traffic()
		sum += t.Domain + t.Region + t.Paid
	}
	return float64(sum) / 2
}

func (s *sample) idleFigures(m *local.Mesh, link *wire.Link, nodes int) float64 {
	d := convergeFlags.idle
	from, paid, reads, cpu := control(m), link.Bytes(), m.Platform.Counts().Reads, cpuNow()
	time.Sleep(d)
	s.idle = (control(m) - from) / float64(nodes) / d.Seconds()
	s.reads = float64(m.Platform.Counts().Reads-reads) / d.Seconds()
	s.cpu = (cpuNow() - cpu).Seconds() / d.Seconds() / float64(nodes)
	return float64(link.Bytes()-paid) / d.Seconds()
}

// changes applies edits in turn at nodes of each domain: the first two domains
// are in the store's region.
func (s *sample) changes(m *local.Mesh, link *wire.Link, u *uses, nodes int, paidIdle float64) error {
	var all []time.Duration
	var paid [2]float64
	from := control(m)
	began := time.Now()
	for i := range changesPerRun {
		before, at := link.Bytes(), time.Now()
		accepted, err := applyAt(m, i%len(fourDomains), i+1)
		if err != nil {
			return err
		}
		version := uint64(i + 2)
		if err := m.WaitInForce(version, forceWithin); err != nil {
			return errors.Wrapf(err, "version %d", version)
		}
		all = append(all, u.since(version, accepted)...)
		time.Sleep(300 * time.Millisecond)
		far := i % len(fourDomains) / 2
		paid[far] += float64(link.Bytes()-before) - paidIdle*time.Since(at).Seconds()
	}
	took := time.Since(began).Seconds()
	// What the mesh would have sent anyway in that time is not the changes'.
	s.change = (control(m)-from)/float64(nodes)/changesPerRun - s.idle*took/changesPerRun
	s.paid, s.paidFar = paid[0]/editsNear, paid[1]/(changesPerRun-editsNear)
	s.p50, s.p99, s.most = quantiles(all)
	return nil
}

func quantiles(all []time.Duration) (time.Duration, time.Duration, time.Duration) {
	slices.Sort(all)
	if len(all) == 0 {
		return 0, 0, 0
	}
	return all[len(all)/2], all[len(all)*99/100], all[len(all)-1]
}

func applyTo(m *local.Mesh, edit int) error {
	_, err := applyAt(m, 0, edit)
	return err
}

// applyAt applies an edit at a node and returns when its answer came.
func applyAt(m *local.Mesh, node, edit int) (time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), forceWithin)
	defer cancel()
	res, err := m.Operator(node).Apply(ctx, api.Apply{
		Text: makeText(convergeFlags.services, edit), Head: true, Write: fmt.Sprintf("bench-%08d", edit),
	})
	if err != nil {
		return time.Time{}, errors.WithStack(err)
	}
	if res.Outcome != api.Accepted {
		return time.Time{}, errors.Errorf("apply: %s: %s %v", res.Outcome, res.Text, res.Mistakes)
	}
	return time.Now(), nil
}

// pollEach is how often a node of the baseline asks for the head.
const pollEach = time.Second

// poller is a node of the baseline: it asks the store for the head each
// second, and for the whole snapshot when that has changed.
type poller struct {
	store platform.Store
	// packed reads the snapshot compressed.
	packed bool
	at     uint64
	u      *uses
}

func (p *poller) run(ctx context.Context) {
	tick := time.NewTicker(pollEach)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		row, err := p.store.Get(ctx, platform.HeadKey)
		if err != nil {
			continue
		}
		head, hash, err := platform.ParseHead(row.Value)
		if err != nil || head.Version <= p.at {
			continue
		}
		if p.read(ctx, hash) == nil {
			p.at = head.Version
			p.u.note("", head.Version)
		}
	}
}

func (p *poller) read(ctx context.Context, hash snapshot.Hash) error {
	if p.packed {
		_, err := platform.GetContent(ctx, p.store, hash)
		return errors.WithStack(err)
	}
	_, err := p.store.GetObject(ctx, "whole-"+hash.String())
	return errors.WithStack(err)
}

func pollOnce(nodes int, packed bool) (sample, error) {
	var out sample
	st := standinplatform.New()
	l, addr, err := listen()
	if err != nil {
		return out, err
	}
	srv := &http.Server{Handler: st, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	near, paid := wire.NewLink(1<<30), wire.NewLink(paidRate)
	u := &uses{at: make(map[uint64][]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range nodes {
		path := wire.Path{Delay: nearDelay, Link: near}
		if i%len(fourDomains) >= len(fourDomains)/2 {
			path = wire.Path{Delay: paidDelay, Link: paid}
		}
		p := &poller{packed: packed, store: platform.NewHTTP(slowClient(path), addr, ""), u: u}
		go func() {
			time.Sleep(pollEach * time.Duration(i) / time.Duration(nodes))
			p.run(ctx)
		}()
	}
	bytes := func() float64 { return float64(near.Bytes() + paid.Bytes()) }
	writer := platform.NewHTTP(http.DefaultClient, addr, "")
	if _, err := publish(ctx, writer, 0, u, nodes); err != nil {
		return out, err
	}
	from, paidFrom, reads := bytes(), paid.Bytes(), st.Counts().Reads
	time.Sleep(convergeFlags.idle)
	seconds := convergeFlags.idle.Seconds()
	out.idle = (bytes() - from) / float64(nodes) / seconds
	paidIdle := float64(paid.Bytes()-paidFrom) / seconds
	out.reads = float64(st.Counts().Reads-reads) / seconds
	from, paidFrom = bytes(), paid.Bytes()
	began := time.Now()
	var all []time.Duration
	for i := range changesPerRun {
		d, err := publish(ctx, writer, i+1, u, nodes)
		if err != nil {
			return out, err
		}
		all = append(all, d...)
	}
	took := time.Since(began).Seconds()
	out.change = (bytes()-from)/float64(nodes)/changesPerRun - out.idle*took/changesPerRun
	out.paid = (float64(paid.Bytes()-paidFrom) - paidIdle*took) / changesPerRun
	out.paidFar = out.paid
	out.p50, out.p99, out.most = quantiles(all)
	return out, nil
}
