package peer

import (
	"fmt"
	"os"
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

// matrix is the file testdata/matrix.yaml.
type matrix struct {
	Paths  map[string][]string `yaml:"paths"`
	Faults []fault             `yaml:"faults"`
}

type fault struct {
	Name  string `yaml:"name"`
	Kind  string `yaml:"kind"`
	Nodes int    `yaml:"nodes"`
	For   int    `yaml:"for"`
}

// cell is one run: faults, each at its step of one path.
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

// cells makes every fault at every step of every path, and pairs of them. In
// each pair the second fault's step and the seed follow from the numbers of
// the two, so that the list is the same in every run.
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
	for _, one := range out[:n] {
		for j, f := range m.Faults {
			pair++
			if pair%everyPair != 0 {
				continue
			}
			steps := m.Paths[one.path]
			second := steps[(pair/everyPair+j)%len(steps)]
			out = append(out, cell{one.path, []fault{one.faults[0], f}, []string{one.steps[0], second}, uint64(n + pair)})
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

const perDomain = 3

// TestMatrix puts every fault of the brief at every step of applying,
// distributing, joining, restarting and leaving, singly and in pairs.
//
// What a caller would see of a failure here: an accepted change that goes away
// again on some proxy, or never reaches it; routes of a version that nobody
// accepted; a node that stays unknown to others. So after every event it is
// checked that no host goes back and none serves what was not accepted, and at
// the end, when all faults are over, that all hosts agree on the newest.
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
				if broken := runCell(t, cells[i]); len(broken) > 0 {
					t.Errorf("%s:\n  %s", cells[i], strings.Join(broken[:min(len(broken), 5)], "\n  "))
				}
			}
		})
	}
}

func runCell(t *testing.T, c cell) []string {
	t.Helper()
	var broken []string
	synctest.Test(t, func(*testing.T) {
		r := newRun(c)
		broken = r.runPath()
		if r.lostVersions > 0 {
			t.Logf("%s: forgotten by all, store unreachable", c)
		}
	})
	return broken
}

// run is one cell being played.
type run struct {
	*simMesh
	cell      cell
	injecting bool
	edits     int
}

func newRun(c cell) *run {
	r := &run{simMesh: newSimMesh(c.seed, places, perDomain), cell: c}
	pending := append([]string(nil), c.steps...)
	r.onStep = func(word string, x *simHost) {
		if !r.injecting {
			return
		}
		for i, step := range pending {
			if step == word {
				pending[i] = ""
				r.inject(c.faults[i], x)
			}
		}
	}
	return r
}

// The times of a run.
const (
	settleTime = 12 * time.Second // from the start to a mesh at rest
	faultTime  = 45 * time.Second // the longest fault and what follows it
)

func (r *run) runPath() []string {
	late := r.nodes[len(r.nodes)-1]
	for _, x := range r.nodes {
		if r.cell.path != "join" || x != late {
			r.start(x)
		}
	}
	r.advance(settleTime)
	r.editAt(r.nodes[0])
	r.advance(settleTime)
	r.injecting = true
	r.startPath(late)
	r.advance(faultTime)
	r.injecting = false
	// A last edit must reach everybody, and everybody must be the same.
	r.editAt(r.nodes[0])
	r.advance(faultTime)
	r.checkConverged()
	return r.violations
}

// startPath starts the path that the faults are put on.
func (r *run) startPath(late *simHost) {
	switch r.cell.path {
	case "apply", "distribute":
		r.editAt(r.nodes[1])
	case "join":
		r.start(late)
	case "restart":
		r.kill(late)
		r.after(500*time.Millisecond, func() { r.restart(late) })
	case "leave":
		late.leaving = true
		r.deliver(late, Leave{})
		r.after(2*time.Second, func() { r.kill(late) })
	}
}

func (r *run) restart(x *simHost) {
	if !x.alive && !x.leaving {
		r.start(x)
	}
}

// editAt lets an operator put the next version in at a host, trying again
// with the same id as long as the answer is not final.
func (r *run) editAt(x *simHost) {
	r.edits++
	s := sample(r.edits)
	id := fmt.Sprintf("write-%d", r.edits)
	var try func(n int)
	try = func(n int) {
		if !x.alive || n == 0 {
			return
		}
		base := uint64(len(r.store.versions))
		r.edit(x, s, base, id, func(f platform.Finish) {
			if f.Outcome == platform.Refused || f.Outcome == platform.Undecided {
				r.after(2*time.Second, func() { try(n - 1) })
			}
		})
	}
	const tries = 15
	try(tries)
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

// inject begins a fault at the host where its step was seen, and ends it
// after its time.
func (r *run) inject(f fault, x *simHost) {
	end := func(do func()) { r.after(time.Duration(f.For)*time.Second, do) }
	switch f.Kind {
	case "kill":
		r.killSome(x, f.Nodes, end)
	case "kill-domain":
		for _, y := range r.nodes {
			if y.cfg.Self.Domain == x.cfg.Self.Domain {
				r.killFor(y, end)
			}
		}
	case "pause":
		r.pauseFor(x, end)
	case "pause-bridge":
		for _, y := range r.nodes {
			if y.alive && y.core.isRoot() && y.cfg.Self.Domain == x.cfg.Self.Domain {
				r.pauseFor(y, end)
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
		r.cutFor(x.cfg.Self.Domain, end)
	case "cut-region":
		r.cutFor(x.cfg.Self.Region, end)
	case "silent":
		for _, w := range r.linksOf(x) {
			w.dropsFrames = true
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

func (r *run) killSome(x *simHost, n int, end func(func())) {
	r.killFor(x, end)
	for i := 1; i < n; i++ {
		r.killFor(r.nodes[(i*5+int(r.cell.seed))%len(r.nodes)], end)
	}
}

func (r *run) killFor(x *simHost, end func(func())) {
	if !x.alive {
		return
	}
	r.kill(x)
	end(func() { r.restart(x) })
}

func (r *run) pauseFor(x *simHost, end func(func())) {
	if !x.alive {
		return
	}
	process := x.processes
	x.paused = true
	end(func() {
		if x.processes == process {
			r.resume(x)
		}
	})
}

func (r *run) cutFor(name string, end func(func())) {
	r.isolated[name] = true
	end(func() { delete(r.isolated, name) })
}
