package target

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// Parameters of the load on one gate: workspaces whose demand follows Zipf's law, of which one
// sends several times its usual demand.
const (
	fairWorkspaces = 72
	fairExponent   = 1.2
	fairSlots      = 18
	fairWork       = 100 * time.Millisecond // mean; durations vary by half of it
	fairAim        = 400 * time.Millisecond
	fairDeadline   = time.Second
	fairDuration   = 30 * time.Second
	// fairExcess is the factor by which one workspace exceeds its usual demand.
	fairExcess = 9
)

// fairLoad is a load: the rank of the workspace in excess, -1 for none, the usual demand of all
// in relation to the capacity, and the calls' aim, 0 if they only have a deadline.
type fairLoad struct {
	excessive int
	usual     float64
	aim       time.Duration
}

// run simulates the load. It returns for each workspace the calls that were answered in time,
// relative to its fair share of the capacity, and the utilization of the slots. Unless workspaces
// is set the gate does not know them.
func (x fairLoad) run(seed uint64, workspaces bool) ([]float64, float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	g := NewGate(Limits{Slots: fairSlots, Queue: 2 * fairSlots})
	weights, sum := make([]float64, fairWorkspaces), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -fairExponent)
		sum += weights[i]
	}
	capacity := fairSlots * float64(time.Second/fairWork)
	type event struct {
		at        time.Time
		workspace int
		call      CallID // 0 for an arrival
	}
	var events []event
	start := time.Unix(1000, 0)
	end := start.Add(fairDuration)
	push := func(e event) {
		i, _ := slices.BinarySearchFunc(events, e, func(a, b event) int { return b.at.Compare(a.at) })
		events = slices.Insert(events, i, e)
	}
	demand := make([]float64, fairWorkspaces) // calls a second
	nextArrival := func(after time.Time, w int) {
		at := after.Add(time.Duration(rng.ExpFloat64() / demand[w] * float64(time.Second)))
		if at.Before(end) {
			push(event{at: at, workspace: w})
		}
	}
	sent, inTime := make([]int, fairWorkspaces), make([]int, fairWorkspaces)
	for w := range demand {
		demand[w] = x.usual * capacity * weights[w] / sum
		if w == x.excessive {
			demand[w] *= fairExcess
		}
		nextArrival(start, w)
	}
	type run struct {
		workspace int
		arrivedAt time.Time
		startedAt time.Time
	}
	calls := make(map[CallID]run)
	busy := time.Duration(0)
	handle := func(now time.Time, cmds []Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case Start:
				r := calls[c.ID]
				r.startedAt = now
				calls[c.ID] = r
				took := time.Duration((0.5 + rng.Float64()) * float64(fairWork))
				busy += took
				if now.Add(took).Before(r.arrivedAt.Add(cmp.Or(x.aim, fairDeadline))) {
					inTime[r.workspace]++
				}
				push(event{at: now.Add(took), workspace: r.workspace, call: c.ID})
			case Refuse:
				delete(calls, c.ID)
			}
		}
	}
	last := CallID(0)
	for len(events) > 0 {
		e := events[len(events)-1]
		events = events[:len(events)-1]
		for at := g.NextTick(); !at.IsZero() && at.Before(e.at); at = g.NextTick() {
			handle(at, g.Step(at, Tick{}))
		}
		if e.call != 0 {
			took := e.at.Sub(calls[e.call].startedAt)
			delete(calls, e.call)
			handle(e.at, g.Step(e.at, Completed{ID: e.call, Route: "read", Duration: took}))
			continue
		}
		last++
		sent[e.workspace]++
		calls[last] = run{workspace: e.workspace, arrivedAt: e.at}
		a := Arrival{ID: last, Route: "read", Priority: snapshot.Normal, Deadline: e.at.Add(fairDeadline)}
		if x.aim > 0 {
			a.Aim = e.at.Add(x.aim)
		}
		if workspaces {
			a.Caller, a.Workspace = strconv.Itoa(e.workspace), true
		}
		handle(e.at, g.Step(e.at, a))
		nextArrival(e.at, e.workspace)
	}
	shares := make([]float64, fairWorkspaces)
	for w, n := range fairEntitlements(sent, capacity*fairDuration.Seconds()) {
		shares[w] = float64(inTime[w]) / max(n, 1)
	}
	return shares, float64(busy) / float64(fairSlots*fairDuration)
}

// fairEntitlements divides the capacity evenly among the workspaces; what one doesn't need is
// divided among the others.
func fairEntitlements(sent []int, capacity float64) []float64 {
	order := make([]int, len(sent))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return sent[a] - sent[b] })
	out := make([]float64, len(sent))
	for i, w := range order {
		out[w] = min(float64(sent[w]), capacity/float64(len(order)-i))
		capacity -= out[w]
	}
	return out
}

// leastServed returns the mean of the smallest tenth of shares, and the smallest.
func leastServed(shares []float64) (tenth, worst float64) {
	sorted := slices.Sorted(slices.Values(shares))
	n := len(sorted) / 10
	for _, x := range sorted[:n] {
		tenth += x / float64(n)
	}
	return tenth, sorted[0]
}

// fairTally is the result of several runs: the means of what leastServed returns, of the
// excessive workspace's calls relative to its fair share, and of the utilization.
type fairTally struct{ tenth, worst, excessive, busy float64 }

func fairMeans(x fairLoad, workspaces bool) fairTally {
	const runs = 3
	var out fairTally
	for seed := range uint64(runs) {
		shares, busy := x.run(seed, workspaces)
		tenth, worst := leastServed(shares)
		out.tenth += tenth / runs
		out.worst += worst / runs
		out.busy += busy / runs
		if x.excessive >= 0 {
			out.excessive += shares[x.excessive] / runs
		}
	}
	return out
}

// TestFairWorkspaces sends the calls of 72 workspaces, whose demand follows Zipf's law, to one
// gate with 18 slots. One of them sends nine times its usual demand, or all together send half
// as much again as the target can run.
//
// It guards against a workspace that takes the shares of others by sending more: without
// workspaces the least-served tenth of them got 0.15 of their shares in the first load. All get
// their shares but those whose demand is close to the share: they have no calls queued at some
// moments, and the others' calls take the slots. The slots stay in use.
func TestFairWorkspaces(t *testing.T) {
	for name, x := range map[string]struct {
		load  fairLoad
		least fairTally // lower bounds, but excessive: an upper one
	}{
		"largest in excess": {fairLoad{excessive: 0, usual: 0.85, aim: fairAim}, fairTally{0.98, 0.95, 1.03, 0.98}},
		"third in excess":   {fairLoad{excessive: 2, usual: 0.85, aim: fairAim}, fairTally{0.95, 0.80, 1.05, 0.97}},
		"small in excess":   {fairLoad{excessive: 10, usual: 0.85, aim: fairAim}, fairTally{0.96, 0.87, 1.05, 0.92}},
		"shortage, excess":  {fairLoad{excessive: 2, usual: 1.5, aim: fairAim}, fairTally{0.92, 0.72, 1.05, 0.98}},
		"shortage":          {fairLoad{excessive: -1, usual: 1.5, aim: fairAim}, fairTally{0.89, 0.63, 0, 0.98}},
		"no aims":           {fairLoad{excessive: 0, usual: 0.85}, fairTally{0.98, 0.95, 1.05, 0.98}},
		"no aims, shortage": {fairLoad{excessive: 2, usual: 1.5}, fairTally{0.95, 0.80, 1.10, 0.98}},
		"no shortage":       {fairLoad{excessive: -1, usual: 0.85, aim: fairAim}, fairTally{0.99, 0.99, 0, 0.82}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, before := fairMeans(x.load, true), fairMeans(x.load, false)
			t.Logf("by workspace %.3f, without %.3f", got, before)
			c.Check(got.tenth >= x.least.tenth, qt.IsTrue)
			c.Check(got.worst >= x.least.worst, qt.IsTrue)
			c.Check(got.excessive <= x.least.excessive, qt.IsTrue)
			c.Check(got.busy >= x.least.busy, qt.IsTrue)
			c.Check(got.tenth >= before.tenth-0.005, qt.IsTrue)
		})
	}
}
