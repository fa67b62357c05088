package peer

import (
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// matrix is the content of testdata/matrix.yaml.
type matrix struct {
	Paths  map[string][]string `yaml:"paths"`
	Faults []fault             `yaml:"faults"`
}

type fault struct {
	Name  string `yaml:"name"`
	Kind  string `yaml:"kind"`
	Nodes int    `yaml:"nodes"` // hosts that a "kill" fault ends
	For   int    `yaml:"for"`   // duration in seconds
}

// cell is one run: a path with one or two faults, each injected at a step of the path.
type cell struct {
	path   string
	faults []fault
	steps  []string
	seed   uint64
}

func (c cell) String() string {
	parts := []string{c.path}
	for i, f := range c.faults {
		parts = append(parts, f.Name+"@"+c.steps[i])
	}
	return strings.Join(parts, "/") + fmt.Sprintf("/seed=%d", c.seed)
}

func readMatrix(c *qt.C) matrix {
	b, err := os.ReadFile("testdata/matrix.yaml")
	c.Assert(err, qt.IsNil)
	var m matrix
	c.Assert(yaml.Unmarshal(b, &m), qt.IsNil)
	return m
}

// cells returns a cell for each fault at each step of each path, followed by every
// everyPair-th pair of faults. In a pair, the second fault's step and the seed are
// derived from the indices of the two, so that the list is the same in every run.
func (m matrix) cells(everyPair int) []cell {
	var out []cell
	paths := make([]string, 0, len(m.Paths))
	for p := range m.Paths {
		paths = append(paths, p)
	}
	sort.Strings(paths)
	n := 0
	for _, p := range paths {
		for _, step := range m.Paths[p] {
			for _, f := range m.Faults {
				n++
				out = append(out, cell{p, []fault{f}, []string{step}, uint64(n)})
			}
		}
	}
	pair := 0
	for _, first := range out[:n] {
		for j, f := range m.Faults {
			pair++
			if pair%everyPair != 0 {
				continue
			}
			steps := m.Paths[first.path]
			second := steps[(pair/everyPair+j)%len(steps)]
			out = append(out, cell{first.path, []fault{first.faults[0], f}, []string{first.steps[0], second}, uint64(n + pair)})
		}
	}
	return out
}

var places = []Member{
	{Domain: "erie-a", Region: "erie"},
	{Domain: "erie-b", Region: "erie"},
	{Domain: "superior-a", Region: "superior"},
	{Domain: "superior-b", Region: "superior"},
}

const perDomain = 3 // hosts

// TestMatrix injects each fault of testdata/matrix.yaml at each step of applying,
// distributing, joining, restarting and leaving, singly and in pairs.
//
// It guards against an accepted change that is undone on some proxy or never reaches
// it, routes of a version that was never accepted, and a node that stays unknown to
// other nodes. After each event it checks that no host serves an older version than
// before or one that was not accepted. At the end, when all faults are over, it checks
// that all hosts serve the newest version and have the same member table.
//
// BRIARROCK_MATRIX=full runs every pair instead of every 13th.
func TestMatrix(t *testing.T) {
	c := qt.New(t)
	everyPair := 13
	if os.Getenv("BRIARROCK_MATRIX") == "full" {
		everyPair = 1
	}
	cells := readMatrix(c).cells(everyPair)
	t.Logf("%d cells", len(cells))
	const groups = 16
	for g := range groups {
		t.Run(fmt.Sprintf("group%02d", g), func(t *testing.T) {
			t.Parallel()
			for i := g; i < len(cells); i += groups {
				if violations := runCell(t, cells[i]); len(violations) > 0 {
					t.Errorf("%s:\n  %s", cells[i], strings.Join(violations[:min(len(violations), 5)], "\n  "))
				}
			}
		})
	}
}

// runCell runs a cell. Some steps occur only if the random choices of the hosts call for
// them; if no fault was injected, it runs the cell again with another seed.
func runCell(t *testing.T, c cell) []string {
	t.Helper()
	const (
		maxSeeds = 8
		seedStep = 1_000_000 // above the number of cells
	)
	for range maxSeeds {
		violations, injected := runSeed(t, c)
		if injected || len(violations) > 0 {
			return violations
		}
		c.seed += seedStep
	}
	return []string{"no step of the cell occurred, so that no fault was injected"}
}

// runSeed runs a cell once. It reports whether a fault was injected.
func runSeed(t *testing.T, c cell) (violations []string, injected bool) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		r := newRun(c)
		violations = r.runPath()
		injected = slices.Contains(r.pending, "")
		if r.lostVersions > 0 {
			t.Logf("%s: a served version was lost with all processes that held it while the store was unreachable", c)
		}
	})
	return violations, injected
}

// run is the execution of one cell.
type run struct {
	*simMesh
	cell      cell
	injecting bool
	// pending are the steps of the cell that have not occurred; those that have are empty.
	pending []string
	// leaveOnReport, if set, is a host that leaves while its next report is under way. The
	// path begins then. A node that is leaving already has no parent and sends no reports.
	leaveOnReport *simHost
	edits         int
}

func newRun(c cell) *run {
	r := &run{simMesh: newSimMesh(c.seed, places, perDomain), cell: c, pending: append([]string(nil), c.steps...)}
	r.onStep = func(word string, h *simHost) {
		if word == "report" && h == r.leaveOnReport {
			r.leaveOnReport = nil
			r.after(0, func() {
				r.injecting = true
				r.leave(h)
				r.onStep(word, h) // the report is still under way
			})
		}
		if !r.injecting {
			return
		}
		for i, step := range r.pending {
			if step == word {
				r.pending[i] = ""
				r.inject(c.faults[i], h)
			}
		}
	}
	return r
}

// Durations of the phases of a run.
const (
	settleTime = 12 * time.Second // from the start until the mesh has converged
	faultTime  = 45 * time.Second // the longest fault and the recovery from it
)

func (r *run) runPath() []string {
	late := r.nodes[len(r.nodes)-1]
	for _, h := range r.nodes {
		if r.cell.path != "join" || h != late {
			r.start(h)
		}
	}
	r.advance(settleTime)
	r.editAt(r.nodes[0])
	r.advance(settleTime)
	r.startPath(late)
	r.advance(faultTime)
	r.injecting = false
	// A last edit must reach all hosts, and all hosts must converge.
	r.editAt(r.nodes[0])
	r.advance(faultTime)
	r.checkConverged()
	return r.violations
}

// startPath starts the path at whose steps the faults are injected.
func (r *run) startPath(late *simHost) {
	r.injecting = r.cell.path != "leave-reporting"
	switch r.cell.path {
	case "apply", "distribute":
		r.editAt(r.nodes[1])
	case "join":
		r.start(late)
	case "restart":
		r.kill(late)
		r.after(500*time.Millisecond, func() { r.restart(late) })
	case "leave":
		r.leave(late)
	case "leave-reporting":
		r.leaveOnReport = late
		r.editAt(r.nodes[1])
	}
}

func (r *run) leave(h *simHost) {
	h.leaving = true
	r.deliver(h, Leave{})
	r.after(2*time.Second, func() { r.kill(h) })
}

func (r *run) restart(h *simHost) {
	if !h.alive && !h.leaving {
		r.start(h)
	}
}

// editAt submits the next version at a host. It retries with the same ID as long as the
// answer is not final.
func (r *run) editAt(h *simHost) {
	r.edits++
	s := sample(r.edits)
	id := fmt.Sprintf("write-%d", r.edits)
	var attempt func(n int)
	attempt = func(n int) {
		if !h.alive || n == 0 {
			return
		}
		base := uint64(len(r.store.versions))
		r.edit(h, s, base, id, func(f platform.Finish) {
			if f.Outcome == platform.Refused || f.Outcome == platform.Undecided {
				r.after(2*time.Second, func() { attempt(n - 1) })
			}
		})
	}
	const tries = 15
	attempt(tries)
}

func sample(n int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Mesh: "test"}
	for _, name := range []string{"archive", "intake", "ledger", "posting"} {
		s.Services = append(s.Services, snapshot.Service{
			Name: name, Upstreams: 4, Slots: 20, Conns: 110, Queue: n,
			Routes: []snapshot.Route{{Path: "/" + name, Deadline: time.Second}},
		})
	}
	s.Inventory = snapshot.NewInventory(s.Services)
	return s
}

// inject starts a fault at the host where the step occurred, and ends it after its
// duration.
func (r *run) inject(f fault, h *simHost) {
	end := func(do func()) { r.after(time.Duration(f.For)*time.Second, do) }
	switch f.Kind {
	case "kill":
		r.killSome(h, f.Nodes, end)
	case "kill-domain":
		for _, other := range r.nodes {
			if other.cfg.Self.Domain == h.cfg.Self.Domain {
				r.killFor(other, end)
			}
		}
	case "pause":
		r.pauseFor(h, end)
	case "pause-bridge":
		for _, other := range r.nodes {
			if other.alive && other.core.isRoot() && other.cfg.Self.Domain == h.cfg.Self.Domain {
				r.pauseFor(other, end)
			}
		}
	case "store-down":
		r.store.down = true
		end(func() { r.store.down = false })
	case "store-slow":
		r.store.extraDelay = 3 * time.Second
		end(func() { r.store.extraDelay = 0 })
	case "answer-lost":
		r.store.lostReplies = 3
		end(func() { r.store.lostReplies = 0 })
	case "cut-domain":
		r.cutFor(h.cfg.Self.Domain, end)
	case "cut-region":
		r.cutFor(h.cfg.Self.Region, end)
	case "silent":
		for _, l := range r.linksOf(h) {
			l.dropsFrames = true
		}
	case "jumble":
		r.extraDelay = 300 * time.Millisecond
		end(func() { r.extraDelay = 0 })
	case "garbage":
		r.corruptNext = 4
		end(func() { r.corruptNext = 0 })
	case "edit":
		r.editAt(r.nodes[2])
		r.editAt(r.nodes[3])
	}
}

func (r *run) killSome(h *simHost, n int, end func(func())) {
	r.killFor(h, end)
	for i := 1; i < n; i++ {
		r.killFor(r.nodes[(i*5+int(r.cell.seed))%len(r.nodes)], end)
	}
}

func (r *run) killFor(h *simHost, end func(func())) {
	if !h.alive {
		return
	}
	r.kill(h)
	end(func() { r.restart(h) })
}

func (r *run) pauseFor(h *simHost, end func(func())) {
	if !h.alive {
		return
	}
	process := h.processes
	h.paused = true
	end(func() {
		if h.processes == process {
			r.resume(h)
		}
	})
}

func (r *run) cutFor(name string, end func(func())) {
	r.isolated[name] = true
	end(func() { delete(r.isolated, name) })
}
