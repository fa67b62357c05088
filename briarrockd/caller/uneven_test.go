package caller

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// Uneven load: targets of unequal speed with slow spells, demand that swings by domain,
// reads that make two calls at once, and targets that shed by themselves.

var unevenModel = &chainModel{
	slots: 6, bottleneck: "tiles",
	services: []chainService{
		{"tiles", 45, []float64{1 / 0.55, 1 / 0.7, 1 / 0.85, 1, 1 / 1.2}},
		{"prints", 40, []float64{1 / 0.6, 1 / 0.8, 1, 1 / 1.2, 1 / 1.4}},
	},
	routes: []chainRoute{
		{
			name: "tile-read", service: "tiles", priority: 7, rate: 0.5, work: 100 * time.Millisecond, spread: 0.4,
			aim: 400 * time.Millisecond, deadline: time.Second, timeout: time.Second, value: 1, calls: "footprint-check", callCount: 2, callShare: 0.7,
		},
		{
			name: "licence-buy", service: "tiles", mode: snapshot.Once, priority: 8, rate: 0.15, work: 130 * time.Millisecond, spread: 0.4,
			aim: 600 * time.Millisecond, deadline: 1500 * time.Millisecond, timeout: 1500 * time.Millisecond, value: 3,
		},
		{
			name: "pull", service: "prints", priority: 7, rate: 0.15, work: 250 * time.Millisecond, spread: 0.4,
			aim: time.Second, deadline: 2 * time.Second, timeout: 2 * time.Second, value: 1,
		},
		{
			name: "job", service: "prints", mode: snapshot.Once, priority: 7, rate: 0.2, work: 80 * time.Millisecond, spread: 0.4,
			aim: 400 * time.Millisecond, deadline: time.Second, timeout: time.Second, value: 1,
		},
		{name: "footprint-check", service: "prints", priority: 8, work: 29 * time.Millisecond, spread: 0.4, aim: 120 * time.Millisecond, deadline: 400 * time.Millisecond, timeout: 400 * time.Millisecond},
	},
}

const (
	unevenSwing      = 0.55 // of the demand of a domain, relative to its mean
	unevenPeriod     = 15 * time.Second
	unevenSpell      = 600 * time.Millisecond
	unevenSpellShare = 0.15 // of the targets that are slow at a time
	unevenSpellSlow  = 2.5  // factor on the work in a slow spell
	// unevenRetryBudget is the number of retries that all nodes may save up, as on the
	// users' platform.
	unevenRetryBudget = 28
	unevenWarmup      = 1500 * time.Millisecond
	unevenDuration    = 4 * time.Second
)

// unevenKind counts the outcomes of one kind of request.
type unevenKind struct{ calls, inAim, late, refused, failed int }

// uneven is the state of a simulation of uneven load.
type uneven struct {
	equal bool // all targets have the same speed, without slow spells
	began time.Time

	mu        sync.Mutex
	recording bool
	kinds     map[string]*unevenKind
	// nested counts the outcomes of nested calls by kind of failure, "" if none.
	nested     map[string]int
	nestedLate int
	starts     map[string]int // arrivals by target
}

// share returns a number in [0,1) that is determined by two others.
func share(a, b uint64) float64 {
	x := (a*0x9E3779B97F4A7C15 + b + 1) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>29) * 0x94D049BB133111EB
	return float64((x^x>>32)>>11) / (1 << 53)
}

// slowdown returns the factor of a target's slow spell, 1 without one.
func (u *uneven) slowdown(h *chainHost) float64 {
	spell := uint64(time.Since(u.began) / unevenSpell)
	if u.equal || share(uint64(slices.Index(h.ch.list, h)), spell) >= unevenSpellShare {
		return 1
	}
	return unevenSpellSlow
}

// entry returns the host that the next caller uses. The demand of the domains swings, a
// quarter period apart. The mutex of the chain must be held.
func (u *uneven) entry(ch *chain) *chainHost {
	for {
		h := ch.list[ch.rng.IntN(len(ch.list))]
		phase := 2*math.Pi*time.Since(u.began).Seconds()/unevenPeriod.Seconds() + float64(h.domain)*math.Pi/2
		if ch.rng.Float64()*(1+unevenSwing) < 1+unevenSwing*math.Sin(phase) {
			return h
		}
	}
}

func (u *uneven) record(r *chainRoute, code int, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := u.kinds[r.name]
	if k == nil {
		k = new(unevenKind)
		u.kinds[r.name] = k
	}
	k.calls++
	switch {
	case code == http.StatusOK && took <= r.aim:
		k.inAim++
	case code == http.StatusOK:
		k.late++
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		k.refused++
	default:
		k.failed++
	}
}

func (u *uneven) recordNested(r *chainRoute, w *httptest.ResponseRecorder, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.recording {
		return
	}
	u.nested[w.Header().Get(kind.HeaderKind)]++
	if took > r.aim {
		u.nestedLate++
	}
}

// arrived counts an arrival at a target.
func (u *uneven) arrived(h *chainHost) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.recording {
		u.starts[h.name]++
	}
}

// maxShare returns the most arrivals at a target of a service, relative to the mean.
func (u *uneven) maxShare(service string) (arrivals int, relative float64) {
	most, n := 0, 0
	for host, k := range u.starts {
		if strings.HasPrefix(host, service) {
			arrivals, most, n = arrivals+k, max(most, k), n+1
		}
	}
	return arrivals, float64(most*n) / float64(max(arrivals, 1))
}

func (u *uneven) report(ch *chain) string {
	var b strings.Builder
	for _, r := range ch.routes {
		k := u.kinds[r.name]
		if k == nil {
			continue
		}
		part := func(n int) float64 { return float64(n) / float64(k.calls) }
		fmt.Fprintf(&b, " %-12s %6d in time %.3f late %.3f refused %.3f failed %.3f\n", r.name, k.calls, part(k.inAim), part(k.late), part(k.refused), part(k.failed))
	}
	total := 0
	for _, n := range u.nested {
		total += n
	}
	fmt.Fprintf(&b, " nested calls %d, beyond aim %d, by kind of failure %v\n", total, u.nestedLate, u.nested)
	arrivals, busiest := u.maxShare("prints")
	_, busiestTiles := u.maxShare("tiles")
	requests := total + u.kinds["pull"].calls + u.kinds["job"].calls
	fmt.Fprintf(&b, " prints: %d arrivals of %d requests (%.3f), busiest %.2f; tiles busiest %.2f\n", arrivals, requests, float64(arrivals)/float64(requests), busiest, busiestTiles)
	fmt.Fprintf(&b, " value %.0f, in vain %.3f of the slot time, over slots %d", ch.stats.value, float64(ch.stats.wasted)/float64(max(ch.stats.runs, 1)), ch.overSlots)
	return b.String()
}

// runUneven simulates uneven load. shedding is the share of the targets of prints that
// shed, shedRate the share of the arrivals that they shed.
func runUneven(t *testing.T, hosts int, load, shedding, shedRate float64, equal bool) (u *uneven, stats chainStats) {
	synctest.Test(t, func(t *testing.T) {
		ch := newChain(unevenModel, hosts)
		defer ch.close()
		u = &uneven{equal: equal, began: time.Now(), kinds: make(map[string]*unevenKind), nested: make(map[string]int), starts: make(map[string]int)}
		ch.uneven = u
		n := 0
		for _, h := range ch.list {
			h.proxy.deps.Budget.SetNodeShare(unevenRetryBudget, hosts)
			if equal {
				h.slowdown = 1
			}
			if h.service == "prints" {
				if share(uint64(n), 7) < shedding {
					h.shedRate = shedRate
				}
				n++
			}
		}
		ch.generateLoad(load, unevenWarmup)
		u.mu.Lock()
		u.recording = true
		u.mu.Unlock()
		stats = ch.measure(load, unevenDuration)
		u.mu.Lock()
		u.recording = false
		u.mu.Unlock()
		t.Log("\n" + u.report(ch))
	})
	return u, stats
}

// TestUneven guards against runs that are lost because one of their calls was refused,
// shed or late while other targets have capacity, and against a choice of targets by
// which a few get most of the load.
func TestUneven(t *testing.T) {
	datadriven.RunTest(t, "testdata/uneven", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		var hosts, load, shedding, shedRate, minReads, maxLost int
		d.ScanArgs(t, "hosts", &hosts)
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "shedding", &shedding)
		d.ScanArgs(t, "rate", &shedRate)
		d.ScanArgs(t, "reads", &minReads)
		d.ScanArgs(t, "lost", &maxLost)
		t.Logf("%d hosts at %d %%, %d %% of the targets of prints shed %d %%, %s:", hosts, load, shedding, shedRate, d.Cmd)
		u, _ := runUneven(t, hosts, float64(load)/100, float64(shedding)/100, float64(shedRate)/100, d.Cmd == "equal")
		reads := u.kinds["tile-read"]
		c.Check(reads.inAim*100 >= minReads*reads.calls, qt.IsTrue, qt.Commentf("%+v", reads))
		nested, lost := 0, 0
		for k, n := range u.nested {
			nested += n
			if k != "" {
				lost += n
			}
		}
		c.Check(lost*100 <= maxLost*nested, qt.IsTrue, qt.Commentf("%d of %d nested calls failed", lost, nested))
		return "ok\n"
	})
}
