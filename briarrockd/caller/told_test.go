package caller

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/target"
)

// Bounds of the users' platform on what a target gets after it has told of itself.
const (
	toldContact = 3 * time.Second
	toldWindow  = 4 * time.Second
	toldFactor  = 1.5
	toldSlack   = 5
	toldKnown   = 500 * time.Millisecond
	toldDrain   = 2500 * time.Millisecond
	// toldAttempts is the most attempts at targets' nodes for a hundred calls.
	toldAttempts = 130
)

// play sends load requests a second for some seconds, while the steps of a script happen,
// one a line: the second, what, which target, and a value.
func (m *toldMesh) play(c *qt.C, load, seconds int, script string) {
	began := time.Now()
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		at, err := strconv.ParseFloat(words[0], 64)
		c.Assert(err, qt.IsNil)
		n, err := strconv.Atoi(words[2])
		c.Assert(err, qt.IsNil)
		value := ""
		if len(words) > 3 {
			value = words[3]
		}
		m.wg.Go(func() {
			time.Sleep(time.Duration(at * float64(time.Second)))
			m.hosts[n].happen(c, words[1], value)
		})
	}
	gap := float64(time.Second) / float64(load)
	for time.Since(began) < time.Duration(seconds)*time.Second {
		m.mu.Lock()
		pause, h := time.Duration(m.rng.ExpFloat64()*gap), m.hosts[m.rng.IntN(len(m.hosts))]
		m.mu.Unlock()
		time.Sleep(pause)
		m.wg.Go(h.ask)
	}
	m.wg.Wait()
}

func (h *toldHost) happen(c *qt.C, what, value string) {
	switch what {
	case "rate":
		h.mu.Lock()
		defer h.mu.Unlock()
		h.app.rate = strings.Trim(value, "-")
		if r, err := target.ParseRate(h.app.rate); err == nil || h.app.rate == "" {
			h.app.named = append(h.app.named, toldRate{time.Now(), r})
		}
	case "leaves":
		h.mu.Lock()
		defer h.mu.Unlock()
		h.app.leaving = true
	case "announced":
		h.announce(1000)
	case "killed":
		h.restart()
	case "replaced":
		h.mu.Lock()
		h.app = newToldApp(h.app.born + 10000)
		h.mu.Unlock()
		h.announce(1)
	case "frozen":
		d, err := time.ParseDuration(value)
		c.Assert(err, qt.IsNil)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.frozen = time.Now().Add(d)
	default:
		c.Fatalf("no step %q", what)
	}
}

// allowed is the most that a target may get in a window that begins at from, and whether
// it named a rate in all of it.
func (a *toldApp) allowed(from time.Time) (float64, bool) {
	most, bounded := 0.0, false
	for i, x := range a.named {
		ends := i+1 < len(a.named) && !a.named[i+1].at.After(from)
		if ends || x.at.After(from.Add(toldWindow)) {
			continue
		}
		n, ok := x.rate.PerSecond()
		if !ok || x.at.After(from) && !bounded {
			return 0, false
		}
		most, bounded = max(most, n), true
	}
	return toldFactor*most*toldWindow.Seconds() + toldSlack, bounded
}

// overRate is the most that a target got in some window beyond what its rates allowed,
// from entry nodes that had passed a rate on, and how much of the rates it got in all,
// from any node.
func (a *toldApp) overRate() (over, used float64) {
	if len(a.named) == 0 {
		return 0, 1
	}
	first := a.named[0].at.Add(toldContact)
	got, due := 0, 0.0
	for i, x := range a.arrived {
		most, bounded := a.allowed(x.at)
		if x.at.Before(first) || !bounded || a.arrived[len(a.arrived)-1].at.Sub(x.at) < toldWindow {
			continue
		}
		n := 0
		for _, y := range a.arrived[i:] {
			if y.at.Sub(x.at) >= toldWindow {
				break
			}
			got++
			if at, ok := a.ratedAt[y.entry]; ok && y.at.Sub(at) >= toldKnown {
				n++
			}
		}
		over = max(over, float64(n)-most)
		due += (most - toldSlack) / toldFactor
	}
	if due == 0 {
		return over, 1
	}
	return over, float64(got) / due
}

// TestNamedRate guards against a target that gets more requests a second than it names in
// its answers, summed over all nodes, also while its own node is killed or frozen, and
// against other targets that stay idle meanwhile.
func TestNamedRate(t *testing.T) {
	datadriven.RunTest(t, "testdata/rate", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		var hosts, targets, load, seconds, served, used int
		d.ScanArgs(t, "hosts", &hosts)
		d.ScanArgs(t, "targets", &targets)
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "for", &seconds)
		d.ScanArgs(t, "served", &served)
		d.ScanArgs(t, "used", &used)
		synctest.Test(t, func(*testing.T) {
			m := newToldMesh(hosts, targets)
			m.play(c, load, seconds, d.Input)
			m.close()
			share, asked := float64(m.answers)/float64(m.calls), float64(m.asked)/float64(m.calls)
			t.Logf("%.3f of %d calls served, %.2f attempts each", share, m.calls, asked)
			c.Check(share*100 >= float64(served), qt.IsTrue, qt.Commentf("%.3f of the calls are served", share))
			c.Check(asked*100 <= toldAttempts, qt.IsTrue, qt.Commentf("%.2f attempts a call", asked))
			c.Check(m.over, qt.Equals, 0, qt.Commentf("runs beyond a target's slots"))
			for _, h := range m.hosts[:targets] {
				over, use := h.app.overRate()
				t.Logf("target %d: %d requests, %.0f beyond the most allowed in a window, %.2f of its rate used; served %.3f", h.n, len(h.app.arrived), over, use, share)
				c.Check(over <= 0, qt.IsTrue, qt.Commentf("target %d got %.0f too many in a window", h.n, over))
				c.Check(use*100 >= float64(used), qt.IsTrue, qt.Commentf("target %d got %.2f of its rate", h.n, use))
			}
		})
		return "ok\n"
	})
}

// afterLeaving counts the requests that reached a target from nodes which had passed its
// leaving on too long before.
func (a *toldApp) afterLeaving() int {
	n := 0
	for _, x := range a.arrived {
		if at, ok := a.leavingAt[x.entry]; ok && x.sent.Sub(at) > toldDrain {
			n++
		}
	}
	return n
}

// TestSaidLeaving guards against requests for a target that has said in its answers that
// it leaves, also while its announcements still say that it is up and its node has been
// replaced since, and against a leaving that binds the next process at its address.
func TestSaidLeaving(t *testing.T) {
	datadriven.RunTest(t, "testdata/leaving", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		var hosts, load, seconds, served int
		d.ScanArgs(t, "hosts", &hosts)
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "for", &seconds)
		d.ScanArgs(t, "served", &served)
		synctest.Test(t, func(*testing.T) {
			m := newToldMesh(hosts, toldDomains)
			old := m.hosts[0].app
			m.play(c, load, seconds, d.Input)
			m.close()
			share := float64(m.answers) / float64(m.calls)
			t.Logf("%d of %d requests came too late, served %.3f", old.afterLeaving(), len(old.arrived), share)
			c.Check(old.afterLeaving(), qt.Equals, 0)
			c.Check(share*100 >= float64(served), qt.IsTrue, qt.Commentf("%.3f of the calls are served", share))
			if now := m.hosts[0].app; now != old {
				c.Check(len(now.arrived) > 0, qt.IsTrue, qt.Commentf("the next process gets nothing"))
			}
		})
		return "ok\n"
	})
}
