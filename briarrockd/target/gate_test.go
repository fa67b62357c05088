package target

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// TestGate runs the scripts in testdata: arrivals and completions of calls at a gate, and its
// decisions. Times are milliseconds from the start of a script.
func TestGate(t *testing.T) {
	var g *Gate
	start := time.Unix(0, 0)
	now := start
	datadriven.RunTest(t, "testdata/gate", func(t *testing.T, d *datadriven.TestData) string {
		if d.HasArg("at") {
			var ms int
			d.ScanArgs(t, "at", &ms)
			now = start.Add(time.Duration(ms) * time.Millisecond)
		}
		if d.Cmd == "gate" {
			now = start
			g = NewGate(scanLimits(t, d))
			return ""
		}
		return describeAll(g.Step(now, scanMsg(t, d, start))) +
			fmt.Sprintf("running %d, queued %d, allowed %d\n", g.Running(), g.Queued(), g.ConcurrencyLimit())
	})
}

func scanLimits(t *testing.T, d *datadriven.TestData) Limits {
	t.Helper()
	var l Limits
	d.ScanArgs(t, "slots", &l.Slots)
	d.ScanArgs(t, "queue", &l.Queue)
	return l
}

func scanMsg(t *testing.T, d *datadriven.TestData, start time.Time) Msg {
	t.Helper()
	var id, ms int
	if d.HasArg("id") {
		d.ScanArgs(t, "id", &id)
	}
	switch d.Cmd {
	case "arrive":
		a := Arrival{ID: CallID(id), Priority: snapshot.Normal}
		d.ScanArgs(t, "deadline", &ms)
		a.Deadline = start.Add(time.Duration(ms) * time.Millisecond)
		d.MaybeScanArgs(t, "caller", &a.Caller)
		d.MaybeScanArgs(t, "route", &a.Route)
		if d.HasArg("aim") {
			d.ScanArgs(t, "aim", &ms)
			a.Aim = start.Add(time.Duration(ms) * time.Millisecond)
		}
		if d.HasArg("urgent") {
			a.Priority = snapshot.Urgent
		}
		a.CrossRegion = d.HasArg("far")
		if d.HasArg("bulk") {
			a.Priority = snapshot.Bulk
		}
		return a
	case "gone":
		return Canceled{CallID(id)}
	case "ended":
		if d.HasArg("took") {
			d.ScanArgs(t, "took", &ms)
		}
		var route string
		d.MaybeScanArgs(t, "route", &route)
		return Completed{ID: CallID(id), Route: route, Duration: time.Duration(ms) * time.Millisecond, Shed: d.HasArg("shed"), Failed: d.HasArg("failed")}
	case "drain":
		return Drain{On: true}
	case "rate":
		var text string
		d.MaybeScanArgs(t, "of", &text)
		r, err := ParseRate(text)
		if text != "" {
			qt.Assert(t, err, qt.IsNil)
		}
		return Throttle{r}
	case "tick":
		return Tick{}
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return nil
}

func describeAll(cmds []Cmd) string {
	var b strings.Builder
	for _, c := range cmds {
		switch c := c.(type) {
		case Start:
			fmt.Fprintf(&b, "start %d\n", c.ID)
		case Refuse:
			fmt.Fprintf(&b, "refuse %d %s after %d\n", c.ID, string(c.Kind), c.RetryAfterSeconds)
			if c.Kind == kind.Rate {
				fmt.Fprintf(&b, "worth asking again in %v\n", c.RetryAfter.Round(time.Millisecond))
			}
		}
	}
	return b.String()
}

// TestMain fixes the seed of the property tests so that results are reproducible; -rapid.seed=0
// draws a new one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestGateProperties sends random sequences of messages to a gate. It guards against more
// running calls than slots, and against a call that is neither started nor refused and hangs
// until its deadline. Each call must be decided exactly once.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		queue := rapid.IntRange(0, 8).Draw(t, "queue")
		g := NewGate(Limits{Slots: slots, Queue: queue})
		now := time.Unix(0, 0)
		waiting, running := map[CallID]bool{}, map[CallID]bool{}
		next := CallID(0)
		handle := func(cmds []Cmd) {
			for _, c := range cmds {
				switch c := c.(type) {
				case Start:
					if !waiting[c.ID] {
						t.Fatalf("call %d was started but not queued", c.ID)
					}
					delete(waiting, c.ID)
					running[c.ID] = true
				case Refuse:
					if !waiting[c.ID] {
						t.Fatalf("call %d was refused but not queued", c.ID)
					}
					delete(waiting, c.ID)
				}
			}
			if len(running) > slots {
				t.Fatalf("%d calls run in %d slots", len(running), slots)
			}
			if g.Running() != len(running) || g.Queued() != len(waiting) || len(waiting) > queue {
				t.Fatalf("gate has %d running and %d queued, want %d and %d", g.Running(), g.Queued(), len(running), len(waiting))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				next++
				waiting[next] = true
				handle(g.Step(now, Arrival{
					ID:        next,
					Caller:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
					Workspace: rapid.Bool().Draw(t, "workspace"),
					Priority:  snapshot.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Deadline:  now.Add(time.Duration(rapid.IntRange(-5, 100).Draw(t, "deadline")) * time.Millisecond),
				}))
			case 3:
				if id, ok := lowestID(running); ok {
					delete(running, id)
					handle(g.Step(now, Completed{ID: id, Duration: time.Millisecond, Shed: rapid.Bool().Draw(t, "shed")}))
				}
			case 4:
				if id, ok := lowestID(waiting); ok {
					delete(waiting, id)
					handle(g.Step(now, Canceled{id}))
				}
			case 5:
				handle(g.Step(now, Tick{}))
			case 6:
				handle(g.Step(now, Throttle{rapid.SampledFrom([]Rate{{}, NewRate(0), NewRate(5), NewRate(1000)}).Draw(t, "rate")}))
			}
		}
		// In the end all queued calls are started or refused.
		for len(running) > 0 {
			id, _ := lowestID(running)
			delete(running, id)
			handle(g.Step(now.Add(time.Second), Completed{ID: id, Duration: time.Millisecond}))
		}
		for at := g.NextTick(); !at.IsZero(); at = g.NextTick() {
			handle(g.Step(at, Tick{}))
			for len(running) > 0 {
				id, _ := lowestID(running)
				delete(running, id)
				handle(g.Step(at, Completed{ID: id, Duration: time.Millisecond}))
			}
		}
		if len(waiting) > 0 {
			t.Fatalf("%d calls were never decided", len(waiting))
		}
	})
}

func lowestID(m map[CallID]bool) (CallID, bool) {
	best, ok := CallID(0), false
	for id := range m {
		if !ok || id < best {
			best, ok = id, true
		}
	}
	return best, ok
}

func TestAnnouncement(t *testing.T) {
	c := qt.New(t)
	good := Announcement{Service: "posting", Addr: "10.0.0.7:80", Slots: 20, Connections: 110}
	c.Check(good.validate("10.0.0.7:999"), qt.Equals, "")
	// Whoever reaches the announce address must not be able to redirect a service's calls to
	// another host.
	c.Check(good.validate("10.0.0.8:999"), qt.Not(qt.Equals), "")
	for _, invalidate := range []func(*Announcement){
		func(a *Announcement) { a.Addr = "posting:80" },
		func(a *Announcement) { a.Addr = "10.0.0.7" },
		func(a *Announcement) { a.Service = "" },
		func(a *Announcement) { a.Slots = 0 },
		func(a *Announcement) { a.Slots = maxSlots + 1 },
		func(a *Announcement) { a.Connections = -1 },
		func(a *Announcement) { a.State = "well" },
	} {
		a := good
		invalidate(&a)
		c.Check(a.validate("10.0.0.7:999"), qt.Not(qt.Equals), "")
	}
}
