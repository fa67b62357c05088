package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

// carriersPer is how many freshness notices the carriers of two regions send in a second
// at most: four of them, one while a poll waits and one for each poll of two seconds. Each
// crosses a link once in each direction.
const carriersPer = 6

// Pauses of the fake watch loop after a poll that failed.
const (
	pollFails = 50 * time.Millisecond
	pollAgain = time.Second
)

// fedFabric is a fabric whose hosts poll the platform only when their Cores say so, as
// the platform's adapter does.
type fedFabric struct {
	*fabric
	c     *qt.C
	hosts map[*fake]*poller
	polls int
	// notices counts the freshness notices that were sent over links.
	notices int
}

// poller is the watch loop of a host's present process.
type poller struct {
	watch   Watch
	process int
	busy    bool
	told    uint64
}

func newFed(c *qt.C, seed uint64, perDomain int) *fedFabric {
	var eight []Member
	for _, p := range places {
		eight = append(eight, p, Member{Domain: p.Domain + "x", Region: p.Region})
	}
	f := &fedFabric{fabric: newFabric(seed, eight, perDomain), c: c, hosts: make(map[*fake]*poller)}
	f.watched = f.turn
	f.seen = func(word string, _ *fake) {
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

// turn takes a Core's decision on polling.
func (f *fedFabric) turn(x *fake, w Watch) {
	p := f.hosts[x]
	if p == nil || p.process != x.started {
		p = &poller{process: x.started}
		f.hosts[x] = p
	}
	p.watch = w
	f.poll(x, p)
}

func (f *fedFabric) poll(x *fake, p *poller) {
	if p.busy || !p.watch.On || !x.alive || p.process != x.started {
		return
	}
	p.busy = true
	f.polls++
	if !f.storeReachable(x) {
		f.in(pollFails, func() {
			f.tellProcess(x, p, PollFailed{})
			f.in(pollAgain, func() { f.next(x, p) })
		})
		return
	}
	delay := f.storeDelay(x)
	if f.newest() > p.told {
		f.in(delay, func() { f.found(x, p) })
		return
	}
	wait := p.watch.Wait
	f.in(delay+wait, func() {
		switch {
		case !f.storeReachable(x):
			f.tellProcess(x, p, PollFailed{})
			f.next(x, p)
		case f.newest() > p.told:
			f.found(x, p)
		default:
			f.tellProcess(x, p, Polled{Cursor: f.newest(), At: time.Now().Add(-delay), RTT: delay})
			f.next(x, p)
		}
	})
}

func (f *fedFabric) newest() uint64 { return uint64(len(f.store.versions)) }

func (f *fedFabric) found(x *fake, p *poller) {
	n := f.newest()
	b, hash := bytesOf(f.c, int(n))
	f.tellProcess(x, p, Committed{Version: n, Hash: hash, Content: b, Cursor: n, At: time.Now().Add(-f.storeDelay(x))})
	p.told = n
	f.next(x, p)
}

func (f *fedFabric) tellProcess(x *fake, p *poller, m Msg) {
	if x.alive && x.started == p.process {
		f.tell(x, m)
	}
}

func (f *fedFabric) next(x *fake, p *poller) {
	p.busy = false
	f.poll(x, p)
}

// change has the operator accept the next version. Open polls see it: the fake ends
// their wait by the next time that they are due.
func (f *fedFabric) change() {
	n := f.newest() + 1
	b, hash := bytesOf(f.c, int(n))
	f.store.versions[n], f.store.objects[hash] = hash, b
	f.seen("change", f.nodes[0])
}

// lagging counts the live hosts that don't serve the newest version.
func (f *fedFabric) lagging() int {
	n := 0
	for _, x := range f.nodes {
		if x.alive && x.serving != f.newest() {
			n++
		}
	}
	return n
}

// watching are the hosts whose Cores have them poll now.
func (f *fedFabric) watching() []*fake {
	var out []*fake
	for _, x := range f.nodes {
		if p := f.hosts[x]; x.alive && p != nil && p.process == x.started && p.watch.On {
			out = append(out, x)
		}
	}
	return out
}

// TestPolls guards against polls of the platform that grow with the hosts, and
// against a change that is missed once fewer of them poll.
func TestPolls(t *testing.T) {
	datadriven.Walk(t, "testdata/polls", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var f *fedFabric
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "start" {
					perDomain := 0
					d.ScanArgs(t, "per-domain", &perDomain)
					f = newFed(qt.New(t), 1, perDomain)
				}
				return f.command(t, d)
			})
			f.c.Check(f.broken, qt.HasLen, 0)
		})
	})
}

func (f *fedFabric) command(t *testing.T, d *datadriven.TestData) string {
	var span, most int
	if d.HasArg("for") {
		d.ScanArgs(t, "for", &span)
	}
	if d.HasArg("most") {
		d.ScanArgs(t, "most", &most)
	}
	before, notices := f.polls, f.notices
	switch d.Cmd {
	case "start":
		f.change()
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
		f.cutOff[domain] = d.Cmd == "cut"
	case "kill":
		for _, x := range f.watching() {
			f.kill(x)
		}
	case "change":
		f.change()
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
	f.run(time.Duration(span) * time.Second)
	switch {
	case d.HasArg("most") && f.polls-before > most:
		return fmt.Sprintf("%d polls", f.polls-before)
	case d.HasArg("notices") && f.notices-notices > carriersPer*span*len(f.links):
		return fmt.Sprintf("%d notices over %d links", f.notices-notices, len(f.links)/2)
	case d.HasArg("in-force") && f.lagging() > 0:
		return fmt.Sprintf("%d hosts lag", f.lagging())
	}
	return "ok"
}
