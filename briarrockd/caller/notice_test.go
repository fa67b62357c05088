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

// Bounds of the users' platform on the requests that a target may get after it has
// reported a rate limit or that it is leaving.
const (
	noticeRateGrace    = 3 * time.Second
	noticeRateWindow   = 4 * time.Second
	noticeRateFactor   = 1.5
	noticeRateSlack    = 5 // requests in a window
	noticeNodeGrace    = 500 * time.Millisecond
	noticeLeavingGrace = 2500 * time.Millisecond
	// noticeMaxAttempts bounds the attempts at targets' nodes for a hundred calls.
	noticeMaxAttempts = 130
)

// run sends load requests per second for some seconds, while it applies the steps of a
// script. Each line of the script has the second, the action, the number of the target's
// host, and a value.
func (m *noticeMesh) run(c *qt.C, load, seconds int, script string) {
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
			m.hosts[n].apply(c, words[1], value)
		})
	}
	gap := float64(time.Second) / float64(load)
	for time.Since(began) < time.Duration(seconds)*time.Second {
		m.mu.Lock()
		pause, h := time.Duration(m.rng.ExpFloat64()*gap), m.hosts[m.rng.IntN(len(m.hosts))]
		m.mu.Unlock()
		time.Sleep(pause)
		m.wg.Go(h.sendRequest)
	}
	m.wg.Wait()
}

func (h *noticeHost) apply(c *qt.C, what, value string) {
	switch what {
	case "rate":
		h.mu.Lock()
		defer h.mu.Unlock()
		h.app.rate = strings.Trim(value, "-")
		if r, err := target.ParseRate(h.app.rate); err == nil || h.app.rate == "" {
			h.app.rates = append(h.app.rates, noticeRate{time.Now(), r})
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
		h.app = newNoticeTarget(h.app.startMillis + 10000)
		h.mu.Unlock()
		h.announce(1)
	case "frozen":
		d, err := time.ParseDuration(value)
		c.Assert(err, qt.IsNil)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.frozenUntil = time.Now().Add(d)
	default:
		c.Fatalf("unknown action %q in the script", what)
	}
}

// allowedRequests returns how many requests a target may get in the window that begins at
// from, and whether it reported a rate limit for all of the window.
func (a *noticeTarget) allowedRequests(from time.Time) (float64, bool) {
	maxRate, bounded := 0.0, false
	for i, x := range a.rates {
		ends := i+1 < len(a.rates) && !a.rates[i+1].at.After(from)
		if ends || x.at.After(from.Add(noticeRateWindow)) {
			continue
		}
		n, ok := x.rate.PerSecond()
		if !ok || x.at.After(from) && !bounded {
			return 0, false
		}
		maxRate, bounded = max(maxRate, n), true
	}
	return noticeRateFactor*maxRate*noticeRateWindow.Seconds() + noticeRateSlack, bounded
}

// overRate returns the highest number of requests by which a target exceeded the allowed
// ones in a window, counting those from entry nodes that had passed a rate on. It also
// returns the share of the allowed rates that the target got in total, from any node.
func (a *noticeTarget) overRate() (excess, used float64) {
	if len(a.rates) == 0 {
		return 0, 1
	}
	first := a.rates[0].at.Add(noticeRateGrace)
	got, allowance := 0, 0.0
	for i, x := range a.arrivals {
		limit, bounded := a.allowedRequests(x.at)
		if x.at.Before(first) || !bounded || a.arrivals[len(a.arrivals)-1].at.Sub(x.at) < noticeRateWindow {
			continue
		}
		n := 0
		for _, y := range a.arrivals[i:] {
			if y.at.Sub(x.at) >= noticeRateWindow {
				break
			}
			got++
			if at, ok := a.rateSeenAt[y.entry]; ok && y.at.Sub(at) >= noticeNodeGrace {
				n++
			}
		}
		excess = max(excess, float64(n)-limit)
		allowance += (limit - noticeRateSlack) / noticeRateFactor
	}
	if allowance == 0 {
		return excess, 1
	}
	return excess, float64(got) / allowance
}

// TestNamedRate guards against a target that gets more requests per second, summed over
// all nodes, than the rate limit in its responses. The limit must hold also while the
// target's own node is killed, frozen, or killed while it is frozen. It also guards against
// more attempts per call than noticeMaxAttempts, and against other targets that stay
// idle meanwhile.
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
			m := newNoticeMesh(hosts, targets)
			m.run(c, load, seconds, d.Input)
			m.close()
			share, attempts := float64(m.answered)/float64(m.calls), float64(m.attempts)/float64(m.calls)
			t.Logf("%.3f of %d calls served, %.2f attempts per call", share, m.calls, attempts)
			c.Check(share*100 >= float64(served), qt.IsTrue, qt.Commentf("%.3f of the calls are served", share))
			c.Check(attempts*100 <= noticeMaxAttempts, qt.IsTrue, qt.Commentf("%.2f attempts per call", attempts))
			c.Check(m.overSlots, qt.Equals, 0, qt.Commentf("runs in excess of a target's slots"))
			for _, h := range m.hosts[:targets] {
				excess, use := h.app.overRate()
				t.Logf("target %d: %d requests, at most %.0f in excess of those allowed in a window, %.2f of its rate used; served %.3f", h.n, len(h.app.arrivals), excess, use, share)
				c.Check(excess <= 0, qt.IsTrue, qt.Commentf("target %d got %.0f requests too many in a window", h.n, excess))
				c.Check(use*100 >= float64(used), qt.IsTrue, qt.Commentf("target %d got %.2f of its rate", h.n, use))
			}
		})
		return "ok\n"
	})
}

// requestsAfterLeaving counts the requests that were sent too long after their entry node
// had passed on that the target is leaving.
func (a *noticeTarget) requestsAfterLeaving() int {
	n := 0
	for _, x := range a.arrivals {
		if at, ok := a.leavingSeenAt[x.entry]; ok && x.sent.Sub(at) > noticeLeavingGrace {
			n++
		}
	}
	return n
}

// TestLeavingNotice guards against requests for a target that has reported in its
// responses that it is leaving. None may be sent after noticeLeavingGrace, even while its
// announcements still say that it is up, or after its node has been replaced. It also
// guards against a leaving report that is applied to the next process at the target's
// address.
func TestLeavingNotice(t *testing.T) {
	datadriven.RunTest(t, "testdata/leaving", func(t *testing.T, d *datadriven.TestData) string {
		c := qt.New(t)
		var hosts, load, seconds, served int
		d.ScanArgs(t, "hosts", &hosts)
		d.ScanArgs(t, "load", &load)
		d.ScanArgs(t, "for", &seconds)
		d.ScanArgs(t, "served", &served)
		synctest.Test(t, func(*testing.T) {
			m := newNoticeMesh(hosts, noticeDomains)
			old := m.hosts[0].app
			m.run(c, load, seconds, d.Input)
			m.close()
			share := float64(m.answered) / float64(m.calls)
			t.Logf("%d of %d requests were sent too late, served %.3f", old.requestsAfterLeaving(), len(old.arrivals), share)
			c.Check(old.requestsAfterLeaving(), qt.Equals, 0)
			c.Check(share*100 >= float64(served), qt.IsTrue, qt.Commentf("%.3f of the calls are served", share))
			if now := m.hosts[0].app; now != old {
				c.Check(len(now.arrivals) > 0, qt.IsTrue, qt.Commentf("the next process gets no requests"))
			}
		})
		return "ok\n"
	})
}
