package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
)

// maxNoticesPerSecond bounds the poll notices that the gateway nodes of two regions
// originate in a second: each of the four sends one while its poll waits, and one per
// poll of two seconds. Each notice crosses a link once in each direction.
const maxNoticesPerSecond = 6

// The times of the fake poll loop: until a poll fails, and from then to the next poll.
const (
	failedPollTime = 50 * time.Millisecond
	pollRetryDelay = time.Second
)

// pollMesh is a simMesh with delegated polling: a poll loop on each host polls the
// platform as its Core's Watch commands direct, as the platform's adapter does.
type pollMesh struct {
	*simMesh
	c     *qt.C
	hosts map[*simHost]*poller
	polls int
	// notices counts the poll notices that were sent over links.
	notices int
	// encode returns the content of a version.
	encode func(c *qt.C, n int) ([]byte, snapshot.Hash)
	// earlyLook makes the store look for a version long before it answers.
	earlyLook bool
	// failAfter is the time until a poll fails.
	failAfter time.Duration
}

// poller is the poll loop of a host's current process.
type poller struct {
	watch     Watch
	process   int
	polling   bool
	delivered uint64
	rtt       time.Duration // of the last poll
}

func newPollMesh(c *qt.C, seed uint64, perDomain int) *pollMesh {
	var eight []Member
	for _, p := range places {
		eight = append(eight, p, Member{Domain: p.Domain + "x", Region: p.Region})
	}
	return newPollMeshAt(c, seed, eight, perDomain)
}

func newPollMeshAt(c *qt.C, seed uint64, places []Member, perDomain int) *pollMesh {
	f := &pollMesh{simMesh: newSimMesh(seed, places, perDomain), c: c, hosts: make(map[*simHost]*poller), encode: encodeSample, failAfter: failedPollTime}
	f.onWatch = f.setWatch
	f.onStep = func(word string, _ *simHost) {
		if word == "fresh" {
			f.notices++
		}
	}
	for _, x := range f.nodes {
		x.cfg.DelegatePolling = true
		x.cfg.StoreRegion = places[0].Region
	}
	return f
}

// setWatch applies a Watch command of a host's Core.
func (f *pollMesh) setWatch(x *simHost, w Watch) {
	p := f.hosts[x]
	if p == nil || p.process != x.processes {
		p = &poller{process: x.processes}
		f.hosts[x] = p
	}
	p.watch = w
	f.poll(x, p)
}

// poll starts a poll of the platform unless one is open or the Core directs none.
func (f *pollMesh) poll(x *simHost, p *poller) {
	if p.polling || !p.watch.On || !x.alive || p.process != x.processes {
		return
	}
	p.polling = true
	f.polls++
	if !f.storeReachable(x) {
		f.after(f.failAfter, func() {
			f.deliverTo(x, p, PollFailed{})
			f.after(pollRetryDelay, func() { f.pollNext(x, p) })
		})
		return
	}
	sent := x.bootTime()
	delay := f.storeDelay(x)
	if n := f.newest(); n > p.delivered {
		f.after(delay, func() { f.deliverVersion(x, p, n, sent) })
		return
	}
	wait := p.watch.Wait
	if p.watch.Paced {
		wait = max(wait-p.rtt, 0)
	}
	p.rtt = delay
	looked := uint64(0)
	if f.earlyLook {
		f.after(time.Duration(f.rng.Int64N(int64(delay+wait))), func() { looked = f.newest() })
	}
	f.after(delay+wait, func() {
		if !f.earlyLook {
			looked = f.newest()
		}
		switch {
		case !f.storeReachable(x):
			f.after(f.failAfter-failedPollTime, func() {
				f.deliverTo(x, p, PollFailed{})
				f.pollNext(x, p)
			})
		case looked > p.delivered:
			f.deliverVersion(x, p, looked, sent)
		default:
			f.deliverTo(x, p, Polled{Cursor: looked, At: time.Now().Add(-delay), RTT: delay, Sent: sent})
			f.pollNext(x, p)
		}
	})
}

func (f *pollMesh) newest() uint64 { return uint64(len(f.store.versions)) }

func (f *pollMesh) deliverVersion(x *simHost, p *poller, n uint64, sent time.Duration) {
	b, hash := f.encode(f.c, int(n))
	f.deliverTo(x, p, Committed{Version: n, Hash: hash, Content: b, Cursor: n, At: time.Now().Add(-f.storeDelay(x)), Sent: sent})
	p.delivered = n
	f.pollNext(x, p)
}

func (f *pollMesh) deliverTo(x *simHost, p *poller, m Msg) {
	if x.alive && x.processes == p.process {
		f.deliver(x, m)
	}
}

func (f *pollMesh) pollNext(x *simHost, p *poller) {
	f.whenAwake(x, p.process, func() {
		p.polling = false
		f.poll(x, p)
	})
}

// commitVersion commits the next version to the store. A poll that is waiting returns it
// at the end of its wait.
func (f *pollMesh) commitVersion() {
	n := f.newest() + 1
	b, hash := f.encode(f.c, int(n))
	f.store.versions[n], f.store.objects[hash] = hash, b
	f.onStep("change", f.nodes[0])
}

// countLagging counts the live hosts that don't serve the newest version.
func (f *pollMesh) countLagging() int {
	n := 0
	for _, x := range f.nodes {
		if x.alive && x.serving != f.newest() {
			n++
		}
	}
	return n
}

// pollingHosts returns the live hosts whose Cores currently direct them to poll.
func (f *pollMesh) pollingHosts() []*simHost {
	var out []*simHost
	for _, x := range f.nodes {
		if p := f.hosts[x]; x.alive && p != nil && p.process == x.processes && p.watch.On {
			out = append(out, x)
		}
	}
	return out
}

// TestPolls guards against a number of polls that grows with the number of hosts, and
// against changes that are missed because only some hosts poll.
func TestPolls(t *testing.T) {
	datadriven.Walk(t, "testdata/polls", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var f *pollMesh
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "start" {
					perDomain := 0
					d.ScanArgs(t, "per-domain", &perDomain)
					f = newPollMesh(qt.New(t), 1, perDomain)
				}
				return f.command(t, d)
			})
			f.c.Check(f.violations, qt.HasLen, 0)
		})
	})
}

// command runs one command of a script for the seconds given by "for". It returns "ok",
// or what exceeds the bounds that the command's arguments set.
func (f *pollMesh) command(t *testing.T, d *datadriven.TestData) string {
	var seconds, maxPolls int
	if d.HasArg("for") {
		d.ScanArgs(t, "for", &seconds)
	}
	if d.HasArg("most") {
		d.ScanArgs(t, "most", &maxPolls)
	}
	pollsBefore, noticesBefore := f.polls, f.notices
	switch d.Cmd {
	case "start":
		f.commitVersion()
		for _, x := range f.nodes {
			x.cfg.Bootstrap = true
			f.start(x)
			x.cfg.Bootstrap = false
		}
	case "down":
		f.store.down = true
	case "up":
		f.store.down = false
	case "cut", "heal":
		domain := ""
		d.ScanArgs(t, "domain", &domain)
		f.isolated[domain] = d.Cmd == "cut"
	case "kill":
		for _, x := range f.pollingHosts() {
			f.kill(x)
		}
	case "change":
		f.commitVersion()
	case "herd":
		for _, x := range f.nodes {
			f.kill(x)
		}
		for _, x := range f.nodes {
			f.start(x)
		}
	case "restart":
		for _, x := range f.nodes {
			if !x.alive {
				f.start(x)
			}
		}
	}
	f.advance(time.Duration(seconds) * time.Second)
	switch {
	case d.HasArg("most") && f.polls-pollsBefore > maxPolls:
		return fmt.Sprintf("%d polls", f.polls-pollsBefore)
	case d.HasArg("notices") && f.notices-noticesBefore > maxNoticesPerSecond*seconds*len(f.links):
		return fmt.Sprintf("%d notices over %d links", f.notices-noticesBefore, len(f.links)/2)
	case d.HasArg("in-force") && f.countLagging() > 0:
		return fmt.Sprintf("%d hosts lag", f.countLagging())
	}
	return "ok"
}
