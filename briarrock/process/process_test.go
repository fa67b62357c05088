// Package process tests briarrock as it is run: real briarrockd processes, the
// command line, the stand-in platform, and faulty wires in between.
package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrock/command"
	"briarrock.example/briarrock/local"
	api "briarrock.example/mesh/operator"
	standinplatform "briarrock.example/standin/platform"
	"briarrock.example/standin/wire"
)

var program string

// TestMain builds the daemon once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "briarrock")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "briarrockd")
	out, err := exec.Command("go", "build", "-o", program, "briarrock.example/briarrockd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// patience only ends a test that would hang.
const testTimeout = 90 * time.Second

// host is a target host with its process.
type host struct {
	name, domain, region string
	caller, call, peer   string
	operator, announce   string
	settings             string
	cmd                  *exec.Cmd
	log                  *logBuffer
}

// logBuffer collects what a process logs while a test may read it.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what has been logged so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fleet is a platform and some hosts in two regions of two domains.
type fleet struct {
	c     *qt.C
	dir   string
	store *standinplatform.Server
	// wires stand before the peer address of each host, and before the store.
	wires     []*wire.Proxy
	storeWire *wire.Proxy
	hosts     []*host
}

// Ports for the processes: below those that the system gives to outgoing
// connections, one of which would otherwise sit on a host's port just when it
// is restarted, as a host's real ports are.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort atomic.Int64

// freeAddr finds a port that nobody listens at.
func freeAddr(c *qt.C) string {
	for {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
		c.Assert(nextPort.Load() < lastPort, qt.IsTrue, qt.Commentf("no port is free"))
	}
}

func newFleet(c *qt.C, perDomain int) *fleet {
	f := &fleet{c: c, dir: c.TempDir(), store: standinplatform.New()}
	srv := httptest.NewServer(f.store)
	c.Cleanup(srv.Close)
	var err error
	f.storeWire, err = wire.New("127.0.0.1:0", srv.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.storeWire.Close)
	for i := range perDomain {
		for _, d := range []string{"erie-a", "erie-b", "superior-a", "superior-b"} {
			f.addHost(i, d)
		}
	}
	c.Cleanup(f.killAll)
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

// addHost makes a host's settings. The others know its peer address by that
// of a wire, which is also what the process says of itself: it listens at
// another port behind it.
func (f *fleet) addHost(i int, domain string) {
	c := f.c
	region, _, _ := strings.Cut(domain, "-")
	h := &host{
		name: fmt.Sprintf("%s-%d", domain, i), domain: domain, region: region, log: new(logBuffer),
		caller: freeAddr(c), call: freeAddr(c), peer: freeAddr(c), operator: freeAddr(c), announce: freeAddr(c),
	}
	w, err := wire.New("127.0.0.1:0", h.peer)
	c.Assert(err, qt.IsNil)
	c.Cleanup(w.Close)
	f.wires = append(f.wires, w)
	f.hosts = append(f.hosts, h)
	var contacts []string
	for j := range min(len(f.hosts), 4) {
		contacts = append(contacts, f.wires[j].Addr())
	}
	h.settings = filepath.Join(f.dir, h.name+".yaml")
	text := fmt.Sprintf(`host: %s
domain: %s
region: %s
caller: %s
call: %s
peer: %s
announced: %s
operator: %s
announce: %s
contacts: [%s]
platform: {url: "http://%s", region: erie}
security: plain
stall: 5s
drain: 10s
log: {format: json, level: info}
`, h.name, h.domain, h.region, h.caller, h.call, h.peer, w.Addr(), h.operator, h.announce,
		strings.Join(contacts, ", "), f.storeWire.Addr())
	c.Assert(os.WriteFile(h.settings, []byte(text), 0o600), qt.IsNil)
}

func (f *fleet) start(h *host) {
	h.cmd = exec.Command(program, "--config", h.settings)
	h.cmd.Stderr = h.log
	f.c.Assert(h.cmd.Start(), qt.IsNil)
}

func (f *fleet) kill(h *host) {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

func (f *fleet) killAll() {
	for _, h := range f.hosts {
		f.kill(h)
	}
}

// run runs the command line against a host and returns its exit code and what
// it wrote.
func (f *fleet) run(h *host, args ...string) (int, string) {
	var out, errs bytes.Buffer
	args = append(args, "--node", "http://"+h.operator)
	code := command.Run(args, command.IO{In: strings.NewReader("no\n"), Out: &out, Err: &errs})
	return code, out.String() + errs.String()
}

// until waits for something that a command's output shows.
func (f *fleet) until(what string, ok func() bool) {
	f.c.Helper()
	f.c.Assert(local.WaitUntil(testTimeout, ok), qt.IsNil, qt.Commentf("%s", what))
}

// ready waits until every host answers operators and knows all the others.
func (f *fleet) ready() {
	last := ""
	err := local.WaitUntil(testTimeout, func() bool {
		for _, h := range f.hosts {
			s, err := f.status(h)
			if err != nil || !s.Whole || members(s) != len(f.hosts) {
				last = fmt.Sprintf("%s: %v %+v\n%s", h.name, err, s, h.log)
				return false
			}
		}
		return true
	})
	f.c.Assert(err, qt.IsNil, qt.Commentf("the hosts find each other: %s", last))
}

func members(s api.Status) int {
	n := 0
	for _, d := range s.Domains {
		n += d.Members
	}
	return n
}

func (f *fleet) status(h *host) (api.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return api.New(http.DefaultClient, "http://"+h.operator, "").Status(ctx)
}

// inForce waits until every host that runs serves a version.
func (f *fleet) inForce(version uint64) {
	f.until(fmt.Sprintf("version %d is in force", version), func() bool {
		for _, h := range f.hosts {
			s, err := f.status(h)
			if h.cmd != nil && (err != nil || s.Version < version) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) text(slots int) string {
	path := filepath.Join(f.dir, fmt.Sprintf("mesh-%d.yaml", slots))
	text := fmt.Sprintf("mesh: lakeshore\nservices:\n  - {name: posting, upstreams: 4, slots: %d, connections: 110, "+
		"routes: [{path: /journals, mode: once, deadline: 2s}, {path: /old, mode: repeatable}]}\n", slots)
	f.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// versionsInUse reads from a host's log which versions its processes served.
func versionsInUse(log string) []int {
	var out []int
	for _, line := range strings.Split(log, "\n") {
		var e struct {
			Event   int `json:"event"`
			Version int `json:"version"`
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == 201 {
			out = append(out, e.Version)
		}
	}
	return out
}

// neverBack checks that no process of the host served an older version than
// one before it.
func (h *host) neverBack(c *qt.C) {
	used := versionsInUse(h.log.String())
	for i := 1; i < len(used); i++ {
		c.Check(used[i] >= used[i-1], qt.IsTrue, qt.Commentf("%s served %v", h.name, used))
	}
}

// TestDay is an operator's day on real processes: apply, edit, conflict, an
// edit whose answer is lost, a host that is replaced, a graceful stop.
func TestDay(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	f.ready()
	one := f.hosts[0]

	code, out := f.run(one, "apply", f.text(20), "--yes", "--wait", "--timeout", "60s")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "in force everywhere")

	// A mistake changes nothing and names its place.
	bad := filepath.Join(f.dir, "bad.yaml")
	c.Assert(os.WriteFile(bad, []byte("mesh: lakeshore\nservices:\n  - {name: posting, upstreams: 0}\n"), 0o600), qt.IsNil)
	code, out = f.run(one, "apply", bad)
	c.Check(code, qt.Equals, command.ExitInvalid)
	c.Check(out, qt.Contains, "bad.yaml:3:32:")

	// Two operators begin from version 1; the second is shown the first.
	code, out = f.run(one, "apply", f.text(21), "--base", "1")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	code, out = f.run(f.hosts[3], "apply", f.text(22), "--base", "1")
	c.Check(code, qt.Equals, command.ExitConflict)
	c.Check(out, qt.Contains, "Slots 20 → 21")

	// The answer to the head's write is lost: accepted, once.
	f.store.Fault(standinplatform.Faults{LoseResponses: 1, SkipWrites: 2})
	code, out = f.run(f.hosts[2], "apply", f.text(23), "--base", "2", "--write", "lost-answer")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.store.Fault(standinplatform.Faults{})
	code, out = f.run(one, "apply", f.text(23), "--yes", "--write", "lost-answer")
	c.Check(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.inForce(3)

	// A text that names no base is asked about, and so is one that takes a
	// route away; "no" changes nothing.
	code, out = f.run(one, "apply", f.text(24))
	c.Check(code, qt.Equals, command.ExitRefused)
	c.Check(out, qt.Contains, "does not say which version it began from")
	gone := filepath.Join(f.dir, "gone.yaml")
	c.Assert(os.WriteFile(gone, []byte("mesh: lakeshore\nservices:\n  - {name: posting, upstreams: 4}\n"), 0o600), qt.IsNil)
	code, out = f.run(one, "apply", gone, "--base", "3")
	c.Check(code, qt.Equals, command.ExitRefused)
	c.Check(out, qt.Contains, "posting * /old")

	// The store is down: what is in force goes on, edits are refused.
	f.storeWire.Set(wire.Fault{Cut: true})
	code, out = f.run(one, "apply", f.text(24), "--yes")
	c.Check(code, qt.Equals, command.ExitRefused, qt.Commentf("%s", out))
	c.Check(out, qt.Contains, "nothing changed")
	// A host is replaced meanwhile: it serves what its peers hold.
	f.kill(f.hosts[1])
	f.start(f.hosts[1])
	f.inForce(3)
	f.storeWire.Set(wire.Fault{})

	f.until("the store is read again", func() bool {
		code, out = f.run(one, "revert", "1", "--wait")
		return code == command.ExitDone
	})
	code, out = f.run(one, "history")
	c.Check(code, qt.Equals, command.ExitDone)
	c.Check(out, qt.Contains, "revert to version 1")
	c.Check(strings.Count(out, "version 3 "), qt.Equals, 1, qt.Commentf("%s", out))

	for _, h := range f.hosts {
		c.Assert(h.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	}
	for _, h := range f.hosts {
		c.Check(h.cmd.Wait(), qt.IsNil, qt.Commentf("graceful stop of %s", h.name))
		h.cmd = nil
		h.neverBack(c)
	}
}

// TestHerd kills half of the hosts and restarts them at once, twice, cuts a
// domain off and heals it, and lets links go silent, with edits in between.
//
// An operator sees all of it as a status that is whole again without his
// help, on the newest version; and no host's log shows an older version after
// a newer one.
func TestHerd(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2)
	f.ready()
	code, out := f.run(f.hosts[0], "apply", f.text(20), "--yes", "--wait", "--timeout", "60s")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	for round := range 2 {
		for i, h := range f.hosts {
			if i%2 == round {
				f.kill(h)
			}
		}
		code, out = f.run(f.hosts[1-round], "apply", f.text(21+round), "--yes")
		c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
		for i, h := range f.hosts {
			if i%2 == round {
				f.start(h)
			}
		}
		f.inForce(uint64(2 + round))
	}
	f.ready()

	f.cut("superior-b", true)
	code, out = f.run(f.hosts[0], "apply", f.text(30), "--yes")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.cut("superior-b", false)
	f.inForce(4)

	for _, w := range f.wires {
		w.Set(wire.Fault{Blackhole: true})
	}
	code, out = f.run(f.hosts[2], "apply", f.text(31), "--yes", "--wait", "--timeout", "60s")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.ready()
	for _, h := range f.hosts {
		h.neverBack(c)
	}
}

// TestPaidLink puts one region behind a slow, narrow link: 20 ms each way and
// 30 Mbit/s, to its peers and to the store.
//
// An operator who edits there sees the same as anywhere: accepted, in force
// everywhere, and the other region's hosts have it too.
func TestPaidLink(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2)
	for i, h := range f.hosts {
		if h.region == "superior" {
			f.wires[i].Set(wire.Fault{Delay: 20 * time.Millisecond, Rate: 30e6 / 8})
		}
	}
	f.storeWire.Set(wire.Fault{Delay: 20 * time.Millisecond, Rate: 30e6 / 8})
	f.ready()
	for n, h := range []*host{f.hosts[0], f.hosts[2], f.hosts[7]} {
		code, out := f.run(h, "apply", f.text(20+n), "--yes", "--wait", "--timeout", "60s")
		c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
		f.inForce(uint64(n + 1))
	}
}

// cut cuts the peer addresses of a domain's hosts off, or heals them.
func (f *fleet) cut(domain string, on bool) {
	for i, h := range f.hosts {
		if h.domain == domain {
			f.wires[i].Set(wire.Fault{Cut: on})
		}
	}
}

// TestSettings starts the daemon with settings that are wrong: it says where,
// all at once, and exits with 2.
func TestSettings(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "bad.yaml")
	c.Assert(os.WriteFile(path, []byte("host: A\ndomain: erie-a\ncolour: blue\nstall: 1us\npeer: localhost:80\n"), 0o600), qt.IsNil)
	out, err := exec.Command(program, "--config", path).CombinedOutput()
	var exit *exec.ExitError
	c.Assert(err, qt.ErrorAs, &exit)
	c.Check(exit.ExitCode(), qt.Equals, 2)
	for _, place := range []string{":1:7:", ":3:1:", ":4:8:", ":5:7:", "needs the field \"platform\""} {
		c.Check(string(out), qt.Contains, place)
	}
	out, err = exec.Command(program).CombinedOutput()
	c.Assert(err, qt.ErrorAs, &exit)
	c.Check(exit.ExitCode(), qt.Equals, 2)
	c.Check(string(out), qt.Contains, "--config is missing")
}
