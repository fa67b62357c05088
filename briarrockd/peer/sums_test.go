package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/rollout"
)

// sumsMesh is a simMesh whose hosts have counters.
type sumsMesh struct {
	*simMesh
	c      *qt.C
	last   map[*simHost]PublishSums
	frames int
}

// startSums starts a mesh of six domains in three regions, in which each host
// contributes [1, its number] under one key.
func startSums(t *testing.T, seed uint64, perDomain int) *sumsMesh {
	t.Helper()
	var six []Member
	for i, p := range places[:3] {
		p.Region = fmt.Sprintf("region-%d", i)
		six = append(six, p, Member{Domain: p.Domain + "x", Region: p.Region})
	}
	f := &sumsMesh{simMesh: newSimMesh(seed, six, perDomain), c: qt.New(t), last: make(map[*simHost]PublishSums)}
	f.onSums = func(h *simHost, p PublishSums) { f.last[h] = p }
	f.onStep = func(step string, _ *simHost) {
		if step == "sums" || step == "totals" {
			f.frames++
		}
	}
	for _, h := range f.nodes {
		f.startHost(h)
	}
	f.advance(10 * time.Second)
	return f
}

func (f *sumsMesh) startHost(h *simHost) {
	f.start(h)
	f.deliver(h, CountersChanged{map[string][]uint64{"a/x": {1, uint64(slices.Index(f.nodes, h))}}})
}

// check checks that each live host has the sums over all live hosts for which part
// holds; nil stands for all hosts.
func (f *sumsMesh) check(what string, part func(*simHost) bool) {
	var nodes, sum uint64
	for i, h := range f.nodes {
		if h.alive && (part == nil || part(h)) {
			nodes++
			sum += uint64(i)
		}
	}
	for _, h := range f.nodes {
		if !h.alive || (part != nil && !part(h)) {
			continue
		}
		f.c.Check(f.last[h].Nodes, qt.Equals, int(nodes), qt.Commentf("%s: %s", what, h.cfg.Self.Host))
		f.c.Check(f.last[h].Sums["a/x"], qt.DeepEquals, []uint64{nodes, sum}, qt.Commentf("%s: %s", what, h.cfg.Self.Host))
	}
}

// TestSums guards against contributions that are lost, counted twice or kept, when
// hosts and roots are killed and when a partition begins and heals.
func TestSums(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := startSums(t, seed, 5)
			f.check("start", nil)
			killed := f.nodes[seed*7%30]
			for _, h := range f.nodes {
				if h.core.isRoot() && f.rng.IntN(2) == 0 {
					killed = h
				}
			}
			f.kill(killed)
			f.advance(15 * time.Second)
			f.check("killed", nil)
			f.startHost(killed)
			f.advance(10 * time.Second)
			f.check("restarted", nil)

			cut := f.nodes[0].cfg.Self.Region
			inside := func(h *simHost) bool { return h.cfg.Self.Region == cut }
			f.isolated[cut] = true
			f.advance(15 * time.Second)
			f.check("cut, inside", inside)
			f.check("cut, outside", func(h *simHost) bool { return !inside(h) })
			f.isolated[cut] = false
			f.advance(20 * time.Second)
			f.check("healed", nil)

			for _, h := range f.nodes {
				f.kill(h)
			}
			for _, h := range f.nodes {
				f.startHost(h)
			}
			f.advance(15 * time.Second)
			f.check("herd", nil)
		})
	}
}

// TestSumsDelay guards against sums that are too old to act on: at 60 hosts, of which
// each changes its contribution all the time, a change must be known at all hosts after
// 0.5 s in the mean.
func TestSumsDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSums(t, 1, 10)
		var total, longest time.Duration
		values := make(map[*simHost]uint64)
		const trials = 40
		for trial := range trials {
			h := f.nodes[f.rng.IntN(len(f.nodes))]
			begin := time.Now()
			f.deliver(h, CountersChanged{map[string][]uint64{"a/x": {1}, fmt.Sprintf("a/%d", trial): {1}}})
			known := func() bool {
				for _, h := range f.nodes {
					if f.last[h].Sums[fmt.Sprintf("a/%d", trial)] == nil {
						return false
					}
				}
				return true
			}
			for !known() && time.Since(begin) < 5*time.Second {
				f.advance(10 * time.Millisecond)
				if f.rng.IntN(3) == 0 {
					for _, other := range f.nodes {
						if other != h && f.rng.IntN(4) == 0 {
							values[other]++
							f.deliver(other, CountersChanged{map[string][]uint64{"a/x": {1, values[other]}}})
						}
					}
				}
			}
			took := time.Since(begin)
			total += took
			longest = max(longest, took)
			f.advance(time.Duration(f.rng.IntN(300)) * time.Millisecond)
		}
		t.Logf("60 hosts, all of them busy: %v in the mean, %v at most", total/trials, longest)
		f.c.Check(total/trials <= 500*time.Millisecond, qt.IsTrue)
		f.c.Check(longest <= time.Second, qt.IsTrue)
	})
}

// TestSumsSilent guards against frames where no node has counters, and after the last
// counter is removed.
func TestSumsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSums(t, 2, 3)
		for _, h := range f.nodes {
			f.deliver(h, CountersChanged{})
		}
		f.advance(removedCounterTTL + 10*time.Second)
		f.check("removed", func(*simHost) bool { return false })
		f.frames = 0
		f.advance(time.Minute)
		f.c.Check(f.frames, qt.Equals, 0)
		for _, h := range f.nodes {
			f.c.Check(f.last[h].Sums, qt.HasLen, 0)
		}
	})
}

// TestRetryMember guards against further dials of unreachable members in deployments that use
// neither the mesh-wide sums nor roll-outs.
func TestRetryMember(t *testing.T) {
	for _, test := range []struct {
		name  string
		use   func(*Core)
		tried bool
	}{
		{"neither", func(*Core) {}, false},
		{"own counters", func(c *Core) { c.onCountersChanged(vectors{"a/x": {1}}) }, true},
		{"totals of others", func(c *Core) { c.sums.totals = vectors{"a/x": {1}} }, true},
		{"roll-outs", func(c *Core) { c.cfg.Rollouts = true }, true},
		{"an order", func(c *Core) { c.rollouts.states = map[string]rollout.State{"s": {Service: "s", Order: 1}} }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			far, substitute := member("b"), member("c")
			far.Domain, substitute.Domain = "far", "far"
			core := New(Config{Self: member("a")}, rand.New(rand.NewPCG(1, 1)), now)
			core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: substitute}, Addr: substitute.PeerAddr})
			core.merge(1, far)
			core.dials[far.PeerAddr] = &dialState{failures: 5, nextAt: now.Add(time.Hour)}
			test.use(core)
			core.now = now.Add(2 * memberRetryDelay)
			core.maintainLinks()
			d := core.dials[far.PeerAddr]
			qt.Check(t, d != nil && !d.retriedAt.IsZero(), qt.Equals, test.tried)
		})
	}
}

// TestSumsFrames guards against frames that do not survive encoding, and against
// vectors without a bound.
func TestSumsFrames(t *testing.T) {
	c := qt.New(t)
	for _, f := range []Frame{
		Sums{Domain: "d", Counters: []Counter{{"a/x", []uint64{1, 2}, 3}, {Key: "a/y"}}, Full: true},
		Totals{Counters: []Counter{{Key: "v/x", Values: []uint64{1}}}},
	} {
		b, err := EncodeFrame(f)
		c.Assert(err, qt.IsNil)
		got, err := DecodeFrame(b)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, f)
	}
	b, err := EncodeFrame(Totals{Counters: []Counter{{Key: "a", Values: make([]uint64, maxCounterValues+1)}}})
	c.Assert(err, qt.IsNil)
	_, err = DecodeFrame(b)
	c.Check(err, qt.Equals, ErrFrame)
}
