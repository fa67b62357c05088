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

// Network of the benchmarks.
const (
	domainDelay = time.Millisecond      // one way, between domains of a region
	regionDelay = 20 * time.Millisecond // one way, between regions
	regionRate  = 30e6 / 8              // bytes per second between the regions, in each direction
)

// fourDomains are the failure domains of the meshes. The store is in the region of
// the first one.
var fourDomains = []local.Location{
	{Domain: "northgate", Region: "north-line"},
	{Domain: "millbank", Region: "north-line"},
	{Domain: "riverside", Region: "south-line"},
	{Domain: "harbour-cross", Region: "south-line"},
}

// convergeFlags are the flags of converge. Other benchmarks use their defaults.
var convergeFlags = struct {
	nodes    string // comma-separated
	services int
	idle     time.Duration // how long an idle mesh is measured
	baseline bool          // measure the baselines too
	tls      bool
}{nodes: "16,64,256", services: 170, idle: 10 * time.Second, baseline: true}

func convergeBenchmark() benchmark {
	return benchmark{
		name: "converge", help: "convergence time and control bytes, compared with nodes that poll whole snapshots",
		flags: func(s *flaggy.Subcommand) {
			s.String(&convergeFlags.nodes, "n", "nodes", "numbers of nodes")
			s.Int(&convergeFlags.services, "", "services", "services in the text")
			s.Bool(&convergeFlags.tls, "", "tls", "use TLS between the nodes")
			s.Bool(&convergeFlags.baseline, "", "baseline", "measure the baselines too (--baseline=false)")
			s.Duration(&convergeFlags.idle, "", "idle", "how long to measure an idle mesh")
		},
		run: converge,
	}
}

// sample holds the results of one run.
type sample struct {
	p50, p99, maximum time.Duration // from the acceptance of a change to its use by a node
	bytesPerChange    float64       // control bytes per node and change
	idleRate          float64       // control bytes per node and second, idle
	linkNear          float64       // bytes over the link between the regions per change applied in the store's region
	linkFar           float64       // the same per change applied in the other region
	storeReads        float64       // store reads per second, idle
	join              time.Duration // from the start to the join of all nodes
	idleCPU           float64       // share of a core per node, idle
	heapMB            float64       // heap and stacks per node
}

const (
	// changesPerRun is the number of edits that each run applies.
	changesPerRun = 10
	// editsInStoreRegion is how many of them are applied at nodes in the store's
	// region.
	editsInStoreRegion = 6
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
			return nil, errors.Errorf("--nodes: invalid number of nodes %q", n)
		}
		for _, system := range []struct {
			name string
			run  func(nodes int) (sample, error)
		}{
			{"briarrock", runConverge},
			{"polling whole", func(n int) (sample, error) { return runPolling(n, false) }},
			{"polling compressed", func(n int) (sample, error) { return runPolling(n, true) }},
		} {
			if system.name != "briarrock" && !convergeFlags.baseline {
				continue
			}
			var all []sample
			for range o.runs {
				s, err := system.run(nodes)
				if err != nil {
					return nil, err
				}
				all = append(all, s)
			}
			addSample(t, system.name, nodes, all)
		}
	}
	return t, nil
}

// addSample adds a row with the medians of all samples.
func addSample(t *table, system string, nodes int, all []sample) {
	ms := func(get func(sample) time.Duration) float64 {
		return median(all, func(s sample) float64 { return float64(get(s).Microseconds()) / 1000 })
	}
	t.add(system, nodes,
		ms(func(s sample) time.Duration { return s.p50 }),
		ms(func(s sample) time.Duration { return s.p99 }),
		ms(func(s sample) time.Duration { return s.maximum }),
		median(all, func(s sample) float64 { return s.bytesPerChange }),
		median(all, func(s sample) float64 { return s.linkNear }),
		median(all, func(s sample) float64 { return s.linkFar }),
		median(all, func(s sample) float64 { return s.idleRate }),
		median(all, func(s sample) float64 { return s.storeReads }),
		ms(func(s sample) time.Duration { return s.join }),
		median(all, func(s sample) float64 { return s.idleCPU * 100 }),
		median(all, func(s sample) float64 { return s.heapMB }),
	)
}

// median returns the median of a property of all elements, the upper one of an even
// number.
func median[T any](all []T, get func(T) float64) float64 {
	v := make([]float64, 0, len(all))
	for _, x := range all {
		v = append(v, get(x))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// versionTimes records the times at which nodes began to serve each version.
type versionTimes struct {
	mu sync.Mutex
	at map[uint64][]time.Time // by version
}

func (v *versionTimes) record(_ string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at[version] = append(v.at[version], time.Now())
}

// latencies returns the time from the given time to the use of a version by each
// node that serves it.
func (v *versionTimes) latencies(version uint64, from time.Time) []time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []time.Duration
	for _, t := range v.at[version] {
		out = append(out, t.Sub(from))
	}
	return out
}

// makeText returns a text with the given number of services. Texts with different
// edit numbers differ in the slots of one or two services.
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
	joinTimeout    = 90 * time.Second
	inForceTimeout = 30 * time.Second
)

// runConverge measures a mesh of the given number of nodes once.
func runConverge(nodes int) (sample, error) {
	var out sample
	link := wire.NewLink(regionRate)
	times := &versionTimes{at: make(map[uint64][]time.Time)}
	before := heapBytes()
	started := time.Now()
	m, stop, err := regionalMesh(nodes, link, times)
	if err != nil {
		return out, err
	}
	defer stop()
	if err := m.WaitJoined(joinTimeout); err != nil {
		return out, errors.Wrap(err, "waiting for the nodes to join")
	}
	out.join = time.Since(started)
	if err := applyAtFirst(m, 0); err != nil {
		return out, err
	}
	if err := m.WaitInForce(1, inForceTimeout); err != nil {
		return out, errors.Wrap(err, "waiting for the first version to be in force")
	}
	waitIdle()
	linkIdleRate := out.measureIdle(m, link, nodes)
	out.heapMB = (heapBytes() - before) / float64(nodes) / 1e6
	return out, out.measureChanges(m, link, times, nodes, linkIdleRate)
}

// regionalMesh starts a mesh in four domains of two regions, with the network delays
// above and link between the regions. It returns the mesh and a function that stops
// it.
func regionalMesh(nodes int, link *wire.Link, times *versionTimes) (*local.Mesh, func(), error) {
	spec := local.Spec{
		Locations: fourDomains, NodesPerDomain: nodes / len(fourDomains), StoreRegion: fourDomains[0].Region,
		BetweenDomains: wire.Path{Delay: domainDelay}, BetweenRegions: wire.Path{Delay: regionDelay, Link: link}, OnVersion: times.record,
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

// waitIdle waits until the traffic of a new mesh or of a change has ended.
func waitIdle() { time.Sleep(5 * time.Second) }

// heapBytes returns the memory in use by heap and stacks after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapInuse + s.StackInuse)
}

// controlBytes returns the control bytes that all nodes exchanged. The sum over the
// nodes is halved, since both ends of a connection count each byte.
func controlBytes(m *local.Mesh) float64 {
	sum := uint64(0)
	for _, n := range m.Nodes {
		t := n.Peers().Traffic()
		sum += t.Domain + t.Region + t.InterRegion
	}
	return float64(sum) / 2
}

// measureIdle measures an idle mesh for the time of --idle, and returns the bytes per
// second over the link between the regions.
func (s *sample) measureIdle(m *local.Mesh, link *wire.Link, nodes int) float64 {
	d := convergeFlags.idle
	from, linkBytes, reads, cpu := controlBytes(m), link.Bytes(), m.Platform.Counts().Reads, cpuTime()
	time.Sleep(d)
	s.idleRate = (controlBytes(m) - from) / float64(nodes) / d.Seconds()
	s.storeReads = float64(m.Platform.Counts().Reads-reads) / d.Seconds()
	s.idleCPU = (cpuTime() - cpu).Seconds() / d.Seconds() / float64(nodes)
	return float64(link.Bytes()-linkBytes) / d.Seconds()
}

// measureChanges applies edits at a node of each domain in turn; the first two
// domains are in the store's region. linkIdleRate is the traffic over the link between
// the regions of the idle mesh, in bytes per second, which is subtracted.
func (s *sample) measureChanges(m *local.Mesh, link *wire.Link, times *versionTimes, nodes int, linkIdleRate float64) error {
	var all []time.Duration
	var linkBytes [2]float64
	from := controlBytes(m)
	started := time.Now()
	for i := range changesPerRun {
		before, at := link.Bytes(), time.Now()
		accepted, err := applyEdit(m, i%len(fourDomains), i+1)
		if err != nil {
			return err
		}
		version := uint64(i + 2)
		if err := m.WaitInForce(version, inForceTimeout); err != nil {
			return errors.Wrapf(err, "waiting for version %d to be in force", version)
		}
		all = append(all, times.latencies(version, accepted)...)
		time.Sleep(300 * time.Millisecond)
		region := i % len(fourDomains) / 2
		linkBytes[region] += float64(link.Bytes()-before) - linkIdleRate*time.Since(at).Seconds()
	}
	took := time.Since(started).Seconds()
	// Subtract the traffic of an idle mesh in the same time.
	s.bytesPerChange = (controlBytes(m)-from)/float64(nodes)/changesPerRun - s.idleRate*took/changesPerRun
	s.linkNear, s.linkFar = linkBytes[0]/editsInStoreRegion, linkBytes[1]/(changesPerRun-editsInStoreRegion)
	s.p50, s.p99, s.maximum = percentiles(all)
	return nil
}

// percentiles returns the 50th and the 99th percentile and the maximum. It sorts all.
func percentiles(all []time.Duration) (time.Duration, time.Duration, time.Duration) {
	slices.Sort(all)
	if len(all) == 0 {
		return 0, 0, 0
	}
	return all[len(all)/2], all[len(all)*99/100], all[len(all)-1]
}

// applyAtFirst applies an edit at the first node.
func applyAtFirst(m *local.Mesh, edit int) error {
	_, err := applyEdit(m, 0, edit)
	return err
}

// applyEdit applies an edit at a node and returns the time at which the response
// arrived.
func applyEdit(m *local.Mesh, node, edit int) (time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	res, err := m.Operator(node).Apply(ctx, api.Apply{
		Text: makeText(convergeFlags.services, edit), Head: true, Write: fmt.Sprintf("bench-%08d", edit),
	})
	if err != nil {
		return time.Time{}, errors.Wrap(err, "apply")
	}
	if res.Outcome != api.Accepted {
		return time.Time{}, errors.Errorf("apply: %s: %s %v", res.Outcome, res.Text, res.Mistakes)
	}
	return time.Now(), nil
}

// pollInterval is the interval at which a node of the baseline reads the head.
const pollInterval = time.Second

// poller is a node of the baseline: it reads the head from the store every second,
// and the full snapshot when the head has changed.
type poller struct {
	store platform.Store
	// compressed makes the node read the snapshot in compressed form.
	compressed bool
	version    uint64 // the newest version read
	times      *versionTimes
}

func (p *poller) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
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
		if err != nil || head.Version <= p.version {
			continue
		}
		if p.fetch(ctx, hash) == nil {
			p.version = head.Version
			p.times.record("", head.Version)
		}
	}
}

// fetch reads a snapshot from the store and discards it.
func (p *poller) fetch(ctx context.Context, hash snapshot.Hash) error {
	if p.compressed {
		_, err := platform.GetContent(ctx, p.store, hash)
		return errors.WithStack(err)
	}
	_, err := p.store.GetObject(ctx, "whole-"+hash.String())
	return errors.WithStack(err)
}

// runPolling measures a baseline of the given number of nodes once. The nodes poll
// the store, those of two of the four domains over the link between the regions.
func runPolling(nodes int, compressed bool) (sample, error) {
	var out sample
	st := standinplatform.New()
	l, addr, err := listen()
	if err != nil {
		return out, err
	}
	srv := &http.Server{Handler: st, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	// 1 GiB/s is no limit in effect; the link only counts bytes.
	sameRegion, betweenRegions := wire.NewLink(1<<30), wire.NewLink(regionRate)
	times := &versionTimes{at: make(map[uint64][]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range nodes {
		path := wire.Path{Delay: domainDelay, Link: sameRegion}
		if i%len(fourDomains) >= len(fourDomains)/2 {
			path = wire.Path{Delay: regionDelay, Link: betweenRegions}
		}
		p := &poller{compressed: compressed, store: platform.NewHTTP(shapedClient(path), addr, ""), times: times}
		go func() {
			time.Sleep(pollInterval * time.Duration(i) / time.Duration(nodes))
			p.run(ctx)
		}()
	}
	bytes := func() float64 { return float64(sameRegion.Bytes() + betweenRegions.Bytes()) }
	writer := platform.NewHTTP(http.DefaultClient, addr, "")
	if _, err := commitToStore(ctx, writer, 0, times, nodes); err != nil {
		return out, err
	}
	from, linkBytesBefore, reads := bytes(), betweenRegions.Bytes(), st.Counts().Reads
	time.Sleep(convergeFlags.idle)
	seconds := convergeFlags.idle.Seconds()
	out.idleRate = (bytes() - from) / float64(nodes) / seconds
	linkIdleRate := float64(betweenRegions.Bytes()-linkBytesBefore) / seconds
	out.storeReads = float64(st.Counts().Reads-reads) / seconds
	from, linkBytesBefore = bytes(), betweenRegions.Bytes()
	started := time.Now()
	var all []time.Duration
	for i := range changesPerRun {
		d, err := commitToStore(ctx, writer, i+1, times, nodes)
		if err != nil {
			return out, err
		}
		all = append(all, d...)
	}
	took := time.Since(started).Seconds()
	out.bytesPerChange = (bytes()-from)/float64(nodes)/changesPerRun - out.idleRate*took/changesPerRun
	out.linkNear = (float64(betweenRegions.Bytes()-linkBytesBefore) - linkIdleRate*took) / changesPerRun
	out.linkFar = out.linkNear
	out.p50, out.p99, out.maximum = percentiles(all)
	return out, nil
}
