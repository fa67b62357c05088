package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// A simulation of a chain of services whose targets call the next service. It uses the
// real Proxies, Balancers, Budgets, Targets and Gates of all hosts on the clock of
// testing/synctest. Only the network and the targets' work are simulated.

// chainRoute is one kind of request and the work that it takes.
type chainRoute struct {
	name, service string
	mode          snapshot.Mode
	priority      snapshot.Priority
	// rate is its share of the callers' requests; 0 for one that only targets make.
	rate      float64
	work      time.Duration
	spread    float64 // standard deviation of the logarithm of the work
	aim       time.Duration
	deadline  time.Duration // of the route
	timeout   time.Duration // of the caller
	value     float64       // of a response within the aim
	calls     string        // the route that its targets call, if any
	callCount int
	callShare float64
}

const chainLateValue = 0.3 // share of its value that a late response has

var chainRoutes = []chainRoute{
	{
		name: "view", service: "ledger", priority: 7, rate: 0.38, work: 220 * time.Millisecond, spread: 0.5,
		aim: 800 * time.Millisecond, deadline: 1200 * time.Millisecond, timeout: 2 * time.Second, value: 1, calls: "check", callCount: 2, callShare: 0.7,
	},
	{
		name: "post", service: "posting", mode: snapshot.Once, priority: 8, rate: 0.42, work: 290 * time.Millisecond, spread: 0.8,
		aim: time.Second, deadline: 1500 * time.Millisecond, timeout: 2500 * time.Millisecond, value: 2, calls: "verify", callCount: 1, callShare: 0.7,
	},
	{
		name: "upload", service: "intake", mode: snapshot.Once, priority: 8, rate: 0.04, work: 260 * time.Millisecond, spread: 0.8,
		aim: time.Second, deadline: 2500 * time.Millisecond, timeout: 2500 * time.Millisecond, value: 2, calls: "probe", callCount: 2, callShare: 0.7,
	},
	{
		name: "read", service: "archive", priority: 7, rate: 0.16, work: 880 * time.Millisecond, spread: 0.8,
		aim: 2500 * time.Millisecond, deadline: 4 * time.Second, timeout: 6 * time.Second, value: 1,
	},
	{name: "check", service: "posting", priority: 8, work: 55 * time.Millisecond, spread: 0.5, aim: 200 * time.Millisecond, deadline: 600 * time.Millisecond, timeout: 600 * time.Millisecond},
	{name: "verify", service: "intake", priority: 8, work: 55 * time.Millisecond, spread: 0.5, aim: 200 * time.Millisecond, deadline: 600 * time.Millisecond, timeout: 600 * time.Millisecond},
	{name: "probe", service: "archive", priority: 8, work: 55 * time.Millisecond, spread: 0.5, aim: 200 * time.Millisecond, deadline: 600 * time.Millisecond, timeout: 600 * time.Millisecond},
}

// chainService is one service. weight is its share of the hosts, relative to the other
// services. slowdowns are factors on the work of its targets, assigned in turn.
type chainService struct {
	name      string
	weight    int
	slowdowns []float64
}

// chainModel is the services of a simulation, the slots of their targets, and the
// requests. The load is relative to the slots of the service bottleneck.
type chainModel struct {
	routes     []chainRoute
	services   []chainService
	slots      int
	bottleneck string
}

var shiftedModel = &chainModel{chainRoutes, chainServices, chainSlots, chainBottleneck}

var chainServices = []chainService{
	{"ledger", 19, []float64{0.7, 0.7, 1.6}},
	{"posting", 29, []float64{0.5, 1, 1, 1.5}},
	{"intake", 6, []float64{0.6, 1, 1.4}},
	{"archive", 26, []float64{0.6, 1, 1.4}},
}

const (
	chainSlots       = 16
	chainDomains     = 4
	chainNearDelay   = time.Millisecond
	chainFarDelay    = 20 * time.Millisecond
	chainDialTimeout = 500 * time.Millisecond
	// chainBottleneck is the service whose slots the load is relative to.
	chainBottleneck     = "posting"
	chainNormalLoad     = 0.9
	chainShedRate       = 0.55
	chainBeforeDuration = 1500 * time.Millisecond
	chainDuringDuration = 2 * time.Second
	chainAfterDuration  = 1500 * time.Millisecond
)

// chainStats counts the outcomes of the callers' requests in a period.
type chainStats struct {
	calls, inAim, late, refused, failed int
	value                               float64
	refusedLatency                      time.Duration // sum of the times until refused callers were answered
	runs, wasted                        time.Duration // slot time in total, and of runs that failed
	retried, retryRefused               int
}

func (t chainStats) servedShare() float64 { return float64(t.inAim+t.late) / float64(max(t.calls, 1)) }

// chain is one simulation.
type chain struct {
	*chainModel
	mu    sync.Mutex
	rng   *rand.Rand
	hosts map[string]*chainHost
	list  []*chainHost
	// uneven is set for a simulation of uneven load, and nil otherwise.
	uneven    *uneven
	stats     chainStats
	recording bool
	overSlots int // runs in excess of a target's slots
	wg        sync.WaitGroup
	ids       int
}

func (ch *chain) float() float64 {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.rng.Float64()
}

func (ch *chain) norm() float64 {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.rng.NormFloat64()
}

func (ch *chain) id() string {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.ids++
	return strconv.Itoa(ch.ids)
}

// newChain starts the nodes and targets of a mesh with about this many hosts.
func newChain(m *chainModel, hosts int) *chain {
	ch := &chain{chainModel: m, rng: rand.New(rand.NewPCG(1, 2)), hosts: make(map[string]*chainHost)}
	s := &snapshot.Snapshot{Mesh: "chain"}
	var members []peer.Member
	total := 0
	for _, sv := range m.services {
		total += sv.weight
	}
	for _, sv := range m.services {
		s.Services = append(s.Services, snapshot.Service{Name: sv.name, Slots: m.slots, Conns: 500, Queue: snapshot.QueueBySlots})
		for i := range max(chainDomains, (sv.weight*hosts+total/2)/total) {
			d := i % chainDomains
			h := &chainHost{ch: ch, name: fmt.Sprintf("%s-%02d", sv.name, i), service: sv.name, domain: d, region: fmt.Sprint("r", d%2), slowdown: sv.slowdowns[(i/chainDomains+i)%len(sv.slowdowns)]}
			ch.hosts[h.name] = h
			ch.list = append(ch.list, h)
			members = append(members, peer.Member{
				Host: h.name, Domain: fmt.Sprint("d", d), Region: h.region, PeerAddr: h.name, CallAddr: h.name + ":1",
				Targets: []peer.Target{{Service: sv.name, Slots: m.slots}},
			})
		}
	}
	for _, r := range m.routes {
		retries := 2
		s.Entries = append(s.Entries, snapshot.Entry{
			Name: r.name, Host: "chain.example", Destinations: []snapshot.Destination{{Service: r.service, Weight: 1}},
			Route: snapshot.Route{Path: "/" + r.name + "/", Mode: r.mode, Deadline: r.deadline, Aim: r.aim, Priority: r.priority, Retries: retries, Again: true},
		})
	}
	for i, h := range ch.list {
		h.start(s, members[i], uint64(i))
		h.proxy.SetTable(NewTable(1, s, members))
	}
	return ch
}

func (ch *chain) close() {
	ch.wg.Wait()
	for _, h := range ch.list {
		h.targets.Close()
	}
	time.Sleep(time.Minute) // attempts that are still in flight end by their deadlines
}

// callWithRetry sends a request, and once more if it was refused or, on a repeatable
// route, failed.
func (ch *chain) callWithRetry(h *chainHost, r *chainRoute) {
	began := time.Now()
	retried := false
	var w *httptest.ResponseRecorder
	for {
		timeLeft := r.timeout - time.Since(began)
		ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
		w = h.send(ctx, r, ch.id(), timeLeft)
		cancel()
		refused := w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests
		if w.Code == http.StatusOK || retried || !refused && r.mode == snapshot.Once {
			break
		}
		timeLeft = r.timeout - time.Since(began)
		wait := timeLeft / 3
		if ms, err := strconv.Atoi(w.Header().Get(kind.HeaderAfter)); err == nil {
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
		time.Sleep(wait)
		retried = true
	}
	ch.record(r, w.Code, time.Since(began), retried)
}

func (ch *chain) record(r *chainRoute, code int, took time.Duration, retried bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if !ch.recording {
		return
	}
	if ch.uneven != nil {
		ch.uneven.record(r, code, took)
	}
	t := &ch.stats
	t.calls++
	if retried {
		t.retried++
	}
	switch {
	case code == http.StatusOK && took <= r.aim:
		t.inAim++
		t.value += r.value
	case code == http.StatusOK && took < r.timeout:
		t.late++
		t.value += chainLateValue * r.value
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		t.refused++
		t.refusedLatency += took
		if retried {
			t.retryRefused++
		}
	default:
		t.failed++
	}
}

// requestRate returns the requests per second that use the share load of the slots of
// chainBottleneck.
func (ch *chain) requestRate(load float64) float64 {
	slots := 0.0
	for _, h := range ch.list {
		if h.service == ch.bottleneck {
			slots += float64(ch.slots) / h.slowdown
		}
	}
	need := 0.0 // slot time of a request at a target with slowdown 1
	for _, r := range ch.routes {
		if r.service == ch.bottleneck {
			need += r.rate * r.work.Seconds()
		}
		if r.calls == "" {
			continue
		}
		next := ch.route(r.calls)
		calls := r.rate * r.callShare * next.work.Seconds()
		if next.service == ch.bottleneck {
			need += calls * float64(r.callCount)
		}
		if r.service == ch.bottleneck {
			need += calls // while the outer request waits for them
		}
	}
	return load * slots / need
}

// generateLoad sends callers' requests for a duration.
func (ch *chain) generateLoad(load float64, duration time.Duration) {
	gap := float64(time.Second) / ch.requestRate(load)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		ch.mu.Lock()
		pause := time.Duration(ch.rng.ExpFloat64() * gap)
		x, h := ch.rng.Float64(), ch.list[ch.rng.IntN(len(ch.list))]
		if ch.uneven != nil {
			h = ch.uneven.entry(ch)
		}
		ch.mu.Unlock()
		time.Sleep(pause)
		for i := range ch.routes {
			if x -= ch.routes[i].rate; x < 0 {
				ch.wg.Go(func() { ch.callWithRetry(h, &ch.routes[i]) })
				break
			}
		}
	}
}

// measure generates load and returns the outcomes of the requests that ended meanwhile.
func (ch *chain) measure(load float64, duration time.Duration) chainStats {
	ch.mu.Lock()
	ch.stats, ch.recording = chainStats{}, true
	ch.mu.Unlock()
	ch.generateLoad(load, duration)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.recording = false
	return ch.stats
}

// everyNth applies a change to every n-th host of a service, or of all services if
// service is empty.
func (ch *chain) everyNth(service string, n int, do func(h *chainHost)) {
	i := 0
	for _, h := range ch.list {
		if service != "" && h.service != service {
			continue
		}
		if i++; i%n == 0 {
			h.locked(func() { do(h) })
		}
	}
}

func (t chainStats) String() string {
	return fmt.Sprintf("served %.3f in aim %.3f refused %.3f (after %d ms) failed %.3f, value %.0f, wasted %.3f of the slot time, retried %d, of these refused again %d",
		t.servedShare(), float64(t.inAim)/float64(max(t.calls, 1)), float64(t.refused)/float64(max(t.calls, 1)), (t.refusedLatency / time.Duration(max(t.refused, 1))).Milliseconds(),
		float64(t.failed)/float64(max(t.calls, 1)), t.value, float64(t.wasted)/float64(max(t.runs, 1)), t.retried, t.retryRefused)
}

// runChain simulates a mesh at normal load, then with a fault, then at normal load again.
func runChain(t *testing.T, fault string, hosts int, load float64) (before, during, after chainStats, overSlots int) {
	synctest.Test(t, func(*testing.T) {
		ch := newChain(shiftedModel, hosts)
		defer ch.close()
		ch.generateLoad(chainNormalLoad, time.Second)
		before = ch.measure(1, chainBeforeDuration)
		switch fault {
		case "cut":
			ch.everyNth("", 3, func(h *chainHost) { h.partitioned = true })
		case "shed":
			ch.everyNth(chainBottleneck, 1, func(h *chainHost) { h.shedRate = chainShedRate })
		}
		ch.generateLoad(load, time.Second)
		during = ch.measure(load, chainDuringDuration)
		ch.everyNth("", 1, func(h *chainHost) { h.partitioned, h.shedRate = false, 0 })
		ch.generateLoad(chainNormalLoad, time.Second)
		after = ch.measure(chainNormalLoad, chainAfterDuration)
		overSlots = ch.overSlots
	})
	return before, during, after, overSlots
}

// TestChain guards against a chain of services whose goodput falls when load rises. Work
// may be wasted when a nested call is refused, capacity may be given up where targets
// refuse at any load, or an overload may last after its cause has ended.
func TestChain(t *testing.T) {
	datadriven.RunTest(t, "testdata/chain", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		var hosts, load, minValue, wasted, after int
		d.ScanArgs(t, "hosts", &hosts)
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "keeps", &minValue)
		d.ScanArgs(t, "wasted", &wasted)
		d.ScanArgs(t, "after", &after)
		before, during, recovered, overSlots := runChain(t, d.Cmd, hosts, float64(load)/100)
		t.Logf("%s, at %d %%:\n at 100 %%:      %v\n during fault:  %v\n after fault:   %v", d.Cmd, load, before, during, recovered)
		relativeValue := during.value / chainDuringDuration.Seconds() / (before.value / chainBeforeDuration.Seconds())
		c.Check(relativeValue*100 >= float64(minValue), qt.IsTrue, qt.Commentf("value per second is %.2f of that at a load of 100 %%", relativeValue))
		c.Check(during.wasted.Seconds()*100 <= float64(wasted)*during.runs.Seconds(), qt.IsTrue, qt.Commentf("%v", during))
		c.Check(recovered.servedShare()*100 >= float64(after), qt.IsTrue, qt.Commentf("%v", recovered))
		c.Check(overSlots, qt.Equals, 0, qt.Commentf("runs in excess of a target's slots"))
		return "ok\n"
	})
}
