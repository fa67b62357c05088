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

// A chain of services whose runs call the next one, played with the real Proxies,
// Balancers, Budgets, Targets and Gates of all hosts on the paused clock. Only the
// network and the targets' work are stand-ins.

// chainRoute is one kind of request, and the work of its runs.
type chainRoute struct {
	name, service string
	mode          snapshot.Mode
	priority      snapshot.Priority
	// rate is its part of the callers' requests; 0 for one that only runs make.
	rate      float64
	work      time.Duration
	spread    float64 // of the logarithm of the work
	aim       time.Duration
	deadline  time.Duration // the route's
	limit     time.Duration // the caller's
	worth     float64       // of an answer within the aim
	calls     string        // the route that runs call, if any
	times     int
	callShare float64
}

const chainLate = 0.3 // the part of its worth that a late answer keeps

var chainRoutes = []chainRoute{
	{
		name: "view", service: "ledger", priority: 7, rate: 0.38, work: 220 * time.Millisecond, spread: 0.5,
		aim: 800 * time.Millisecond, deadline: 1200 * time.Millisecond, limit: 2 * time.Second, worth: 1, calls: "check", times: 2, callShare: 0.7,
	},
	{
		name: "post", service: "posting", mode: snapshot.Once, priority: 8, rate: 0.42, work: 290 * time.Millisecond, spread: 0.8,
		aim: time.Second, deadline: 1500 * time.Millisecond, limit: 2500 * time.Millisecond, worth: 2, calls: "verify", times: 1, callShare: 0.7,
	},
	{
		name: "upload", service: "intake", mode: snapshot.Once, priority: 8, rate: 0.04, work: 260 * time.Millisecond, spread: 0.8,
		aim: time.Second, deadline: 2500 * time.Millisecond, limit: 2500 * time.Millisecond, worth: 2, calls: "probe", times: 2, callShare: 0.7,
	},
	{
		name: "read", service: "archive", priority: 7, rate: 0.16, work: 880 * time.Millisecond, spread: 0.8,
		aim: 2500 * time.Millisecond, deadline: 4 * time.Second, limit: 6 * time.Second, worth: 1,
	},
	{name: "check", service: "posting", priority: 8, work: 55 * time.Millisecond, spread: 0.5, aim: 200 * time.Millisecond, deadline: 600 * time.Millisecond, limit: 600 * time.Millisecond},
	{name: "verify", service: "intake", priority: 8, work: 55 * time.Millisecond, spread: 0.5, aim: 200 * time.Millisecond, deadline: 600 * time.Millisecond, limit: 600 * time.Millisecond},
	{name: "probe", service: "archive", priority: 8, work: 55 * time.Millisecond, spread: 0.5, aim: 200 * time.Millisecond, deadline: 600 * time.Millisecond, limit: 600 * time.Millisecond},
}

// chainServices are the targets of each service in four hosts of its size, and how
// many times the usual work their targets take, in turns.
var chainServices = []struct {
	name  string
	part  int
	paces []float64
}{
	{"ledger", 19, []float64{0.7, 0.7, 1.6}},
	{"posting", 29, []float64{0.5, 1, 1, 1.5}},
	{"intake", 6, []float64{0.6, 1, 1.4}},
	{"archive", 26, []float64{0.6, 1, 1.4}},
}

const (
	chainSlots   = 16
	chainDomains = 4
	chainNear    = time.Millisecond
	chainFar     = 20 * time.Millisecond
	chainDial    = 500 * time.Millisecond
	// chainScarce is the service whose room a load is a part of.
	chainScarce = "posting"
	chainUsual  = 0.9
	chainSheds  = 0.55
	chainBefore = 1500 * time.Millisecond
	chainDuring = 2 * time.Second
	chainAfter  = 1500 * time.Millisecond
)

// chainTally is what came of the callers' requests in a time.
type chainTally struct {
	calls, inAim, late, refused, failed int
	worth                               float64
	refusedAfter                        time.Duration // sum of the refused callers' waits
	runs, wasted                        time.Duration // slots' time, and that of runs that failed
	returned, returnedInVain            int
}

func (t chainTally) share() float64 { return float64(t.inAim+t.late) / float64(max(t.calls, 1)) }

// chain is one play.
type chain struct {
	mu      sync.Mutex
	rng     *rand.Rand
	hosts   map[string]*chainHost
	list    []*chainHost
	tally   chainTally
	counted bool
	over    int // runs beyond a target's slots
	wg      sync.WaitGroup
	ids     int
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

// newChain starts the nodes and targets of a mesh with about as many hosts.
func newChain(hosts int) *chain {
	ch := &chain{rng: rand.New(rand.NewPCG(1, 2)), hosts: make(map[string]*chainHost)}
	s := &snapshot.Snapshot{Mesh: "chain"}
	var members []peer.Member
	all := 0
	for _, sv := range chainServices {
		all += sv.part
	}
	for _, sv := range chainServices {
		s.Services = append(s.Services, snapshot.Service{Name: sv.name, Slots: chainSlots, Conns: 500, Queue: snapshot.QueueBySlots})
		for i := range max(chainDomains, (sv.part*hosts+all/2)/all) {
			d := i % chainDomains
			h := &chainHost{ch: ch, name: fmt.Sprintf("%s-%02d", sv.name, i), service: sv.name, region: fmt.Sprint("r", d%2), pace: sv.paces[(i/chainDomains+i)%len(sv.paces)]}
			ch.hosts[h.name] = h
			ch.list = append(ch.list, h)
			members = append(members, peer.Member{
				Host: h.name, Domain: fmt.Sprint("d", d), Region: h.region, PeerAddr: h.name, CallAddr: h.name + ":1",
				Targets: []peer.Target{{Service: sv.name, Slots: chainSlots}},
			})
		}
	}
	for _, r := range chainRoutes {
		retries := 2
		s.Entries = append(s.Entries, snapshot.Entry{
			Name: r.name, Host: "chain.example", Parts: []snapshot.Part{{Service: r.service, Weight: 1}},
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
	time.Sleep(time.Minute) // what lost a race ends by its own deadline
}

// caller sends a request, and once more if it was told to come back.
func (ch *chain) caller(h *chainHost, r *chainRoute) {
	began := time.Now()
	returned := false
	var w *httptest.ResponseRecorder
	for {
		left := r.limit - time.Since(began)
		ctx, cancel := context.WithTimeout(context.Background(), left)
		w = h.ask(ctx, r, ch.id(), left)
		cancel()
		refused := w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests
		if w.Code == http.StatusOK || returned || !refused && r.mode == snapshot.Once {
			break
		}
		left = r.limit - time.Since(began)
		wait := left / 3
		if ms, err := strconv.Atoi(w.Header().Get(kind.HeaderAfter)); err == nil {
			wait = min(wait, time.Duration(ms)*time.Millisecond)
		}
		time.Sleep(wait)
		returned = true
	}
	ch.count(r, w.Code, time.Since(began), returned)
}

func (ch *chain) count(r *chainRoute, code int, took time.Duration, returned bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if !ch.counted {
		return
	}
	t := &ch.tally
	t.calls++
	if returned {
		t.returned++
	}
	switch {
	case code == http.StatusOK && took <= r.aim:
		t.inAim++
		t.worth += r.worth
	case code == http.StatusOK && took < r.limit:
		t.late++
		t.worth += chainLate * r.worth
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		t.refused++
		t.refusedAfter += took
		if returned {
			t.returnedInVain++
		}
	default:
		t.failed++
	}
}

// rate is how many requests a second take a part of the scarce service's slots.
func (ch *chain) rate(load float64) float64 {
	slots := 0.0
	for _, h := range ch.list {
		if h.service == chainScarce {
			slots += chainSlots / h.pace
		}
	}
	need := 0.0 // slots' time of a request, at the usual pace
	for _, r := range chainRoutes {
		if r.service == chainScarce {
			need += r.rate * r.work.Seconds()
		}
		if r.calls == "" {
			continue
		}
		next := route(r.calls)
		calls := r.rate * r.callShare * next.work.Seconds()
		if next.service == chainScarce {
			need += calls * float64(r.times)
		}
		if r.service == chainScarce {
			need += calls // while it waits for them
		}
	}
	return load * slots / need
}

// play sends callers' requests for some time.
func (ch *chain) play(load float64, last time.Duration) {
	gap := float64(time.Second) / ch.rate(load)
	for end := time.Now().Add(last); time.Now().Before(end); {
		ch.mu.Lock()
		pause := time.Duration(ch.rng.ExpFloat64() * gap)
		x, h := ch.rng.Float64(), ch.list[ch.rng.IntN(len(ch.list))]
		ch.mu.Unlock()
		time.Sleep(pause)
		for i := range chainRoutes {
			if x -= chainRoutes[i].rate; x < 0 {
				ch.wg.Go(func() { ch.caller(h, &chainRoutes[i]) })
				break
			}
		}
	}
}

// measure plays and returns what came of the requests that ended meanwhile.
func (ch *chain) measure(load float64, last time.Duration) chainTally {
	ch.mu.Lock()
	ch.tally, ch.counted = chainTally{}, true
	ch.mu.Unlock()
	ch.play(load, last)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.counted = false
	return ch.tally
}

// some applies a change to every n-th host of a service, or of all.
func (ch *chain) some(service string, n int, do func(h *chainHost)) {
	i := 0
	for _, h := range ch.list {
		if service != "" && h.service != service {
			continue
		}
		if i++; i%n == 0 {
			h.set(func() { do(h) })
		}
	}
}

func (t chainTally) String() string {
	return fmt.Sprintf("served %.3f in aim %.3f refused %.3f (after %d ms) failed %.3f, worth %.0f, wasted %.3f of the slots' time, returned %d, of these in vain %d",
		t.share(), float64(t.inAim)/float64(max(t.calls, 1)), float64(t.refused)/float64(max(t.calls, 1)), (t.refusedAfter / time.Duration(max(t.refused, 1))).Milliseconds(),
		float64(t.failed)/float64(max(t.calls, 1)), t.worth, float64(t.wasted)/float64(max(t.runs, 1)), t.returned, t.returnedInVain)
}

// chainPlay is a mesh at its usual load, then in some trouble, then at its usual load
// again.
func chainPlay(t *testing.T, trouble string, hosts int, load float64) (before, during, after chainTally, over int) {
	synctest.Test(t, func(*testing.T) {
		ch := newChain(hosts)
		defer ch.close()
		ch.play(chainUsual, time.Second)
		before = ch.measure(1, chainBefore)
		switch trouble {
		case "cut":
			ch.some("", 3, func(h *chainHost) { h.cut = true })
		case "shed":
			ch.some(chainScarce, 1, func(h *chainHost) { h.sheds = chainSheds })
		}
		ch.play(load, time.Second)
		during = ch.measure(load, chainDuring)
		ch.some("", 1, func(h *chainHost) { h.cut, h.sheds = false, 0 })
		ch.play(chainUsual, time.Second)
		after = ch.measure(chainUsual, chainAfter)
		over = ch.over
	})
	return before, during, after, over
}

// TestChain guards against a chain of services that serves less the more it is asked:
// runs that are thrown away since a call of theirs was refused, room that is given up
// where targets refuse at any load, and an overload that outlasts its cause.
func TestChain(t *testing.T) {
	datadriven.RunTest(t, "testdata/chain", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		var hosts, load, keeps, wasted, after int
		d.ScanArgs(t, "hosts", &hosts)
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "keeps", &keeps)
		d.ScanArgs(t, "wasted", &wasted)
		d.ScanArgs(t, "after", &after)
		full, got, then, over := chainPlay(t, d.Cmd, hosts, float64(load)/100)
		t.Logf("%s, at %d %%:\n at 100 %%: %v\n in it:    %v\n after it: %v", d.Cmd, load, full, got, then)
		kept := got.worth / chainDuring.Seconds() / (full.worth / chainBefore.Seconds())
		c.Check(kept*100 >= float64(keeps), qt.IsTrue, qt.Commentf("worth a second is %.2f of that at 100 %% of the room", kept))
		c.Check(got.wasted.Seconds()*100 <= float64(wasted)*got.runs.Seconds(), qt.IsTrue, qt.Commentf("%v", got))
		c.Check(then.share()*100 >= float64(after), qt.IsTrue, qt.Commentf("%v", then))
		c.Check(over, qt.Equals, 0, qt.Commentf("runs beyond a target's slots"))
		return "ok\n"
	})
}
