// Package process tests briarrock end to end: briarrockd processes, the command
// line, the stand-in platform, and fault-injecting proxies between them.
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

// daemonPath is the path of the briarrockd binary.
var daemonPath string

// TestMain builds briarrockd once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "briarrock")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonPath = filepath.Join(dir, "briarrockd")
	out, err := exec.Command("go", "build", "-o", daemonPath, "briarrock.example/briarrockd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// testTimeout ends a test that would hang.
const testTimeout = 90 * time.Second

// host is a host with its briarrockd process.
type host struct {
	name, domain, region string
	caller, call, peer   string    // addresses that the process listens at
	operator, announce   string    // likewise
	settings             string    // path of the settings file
	cmd                  *exec.Cmd // nil while the process is stopped
	log                  *logBuffer
}

// logBuffer collects a process's log for concurrent reading by a test.
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

// String returns the log written so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fleet is a stand-in platform and a number of hosts in two regions of two domains
// each.
type fleet struct {
	c     *qt.C
	dir   string
	store *standinplatform.Server
	// peerProxies forward to the peer address of each host, storeProxy to the
	// store.
	peerProxies []*wire.Proxy
	storeProxy  *wire.Proxy
	hosts       []*host
}

// Range of the processes' ports. It is below the ephemeral port range, as the ports
// of a deployment are. Otherwise an outgoing connection could occupy a host's port
// while its process restarts.
const (
	firstPort = 12000
	lastPort  = 30000
)

var nextPort atomic.Int64

// freeAddr returns a loopback address with a free port. The search starts at a port
// that depends on the process id, so that concurrent test runs rarely collide.
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

// newFleet starts a platform and perDomain hosts in each of four domains. Host i is
// in domain i modulo 4.
func newFleet(c *qt.C, perDomain int) *fleet {
	f := &fleet{c: c, dir: c.TempDir(), store: standinplatform.New()}
	srv := httptest.NewServer(f.store)
	c.Cleanup(srv.Close)
	var err error
	f.storeProxy, err = wire.New("127.0.0.1:0", srv.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.storeProxy.Close)
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

// addHost adds a host and writes its settings. The host announces the address of a
// proxy as its peer address, and listens at another port, to which the proxy
// forwards.
func (f *fleet) addHost(i int, domain string) {
	c := f.c
	region, _, _ := strings.Cut(domain, "-")
	h := &host{
		name: fmt.Sprintf("%s-%d", domain, i), domain: domain, region: region, log: new(logBuffer),
		caller: freeAddr(c), call: freeAddr(c), peer: freeAddr(c), operator: freeAddr(c), announce: freeAddr(c),
	}
	proxy, err := wire.New("127.0.0.1:0", h.peer)
	c.Assert(err, qt.IsNil)
	c.Cleanup(proxy.Close)
	f.peerProxies = append(f.peerProxies, proxy)
	f.hosts = append(f.hosts, h)
	var contacts []string
	for j := range min(len(f.hosts), 4) {
		contacts = append(contacts, f.peerProxies[j].Addr())
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
`, h.name, h.domain, h.region, h.caller, h.call, h.peer, proxy.Addr(), h.operator, h.announce,
		strings.Join(contacts, ", "), f.storeProxy.Addr())
	c.Assert(os.WriteFile(h.settings, []byte(text), 0o600), qt.IsNil)
}

func (f *fleet) start(h *host) {
	h.cmd = exec.Command(daemonPath, "--config", h.settings)
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

// run runs the command line against a host, with "no" as the input, and returns its
// exit code and output.
func (f *fleet) run(h *host, args ...string) (int, string) { return f.runInput(h, "no\n", args...) }

// runInput is run with another standard input than the answer "no".
func (f *fleet) runInput(h *host, input string, args ...string) (int, string) {
	var out, errs bytes.Buffer
	args = append(args, "--node", "http://"+h.operator)
	code := command.Run(args, command.IO{In: strings.NewReader(input), Out: &out, Err: &errs})
	return code, out.String() + errs.String()
}

// waitUntil waits until ok returns true, and fails the test after testTimeout.
func (f *fleet) waitUntil(what string, ok func() bool) {
	f.c.Helper()
	f.c.Assert(local.WaitUntil(testTimeout, ok), qt.IsNil, qt.Commentf("%s", what))
}

// waitReady waits until every host serves its operator API and its status lists all
// hosts.
func (f *fleet) waitReady() {
	lastStatus := ""
	err := local.WaitUntil(testTimeout, func() bool {
		for _, h := range f.hosts {
			s, err := f.status(h)
			if err != nil || !s.Complete || members(s) != len(f.hosts) {
				lastStatus = fmt.Sprintf("%s: %v %+v\n%s", h.name, err, s, h.log)
				return false
			}
		}
		return true
	})
	f.c.Assert(err, qt.IsNil, qt.Commentf("waiting for all hosts to join: %s", lastStatus))
}

// members returns the number of members in a status.
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

// waitInForce waits until every running host serves a version or a newer one.
func (f *fleet) waitInForce(version uint64) {
	f.waitUntil(fmt.Sprintf("waiting for version %d to be in force", version), func() bool {
		for _, h := range f.hosts {
			s, err := f.status(h)
			if h.cmd != nil && (err != nil || s.Version < version) {
				return false
			}
		}
		return true
	})
}

// text writes a text with the given number of slots and returns its path.
func (f *fleet) text(slots int) string {
	path := filepath.Join(f.dir, fmt.Sprintf("mesh-%d.yaml", slots))
	text := fmt.Sprintf("mesh: lakeshore\nservices:\n  - {name: posting, upstreams: 4, slots: %d, connections: 110, "+
		"routes: [{path: /journals, mode: once, deadline: 2s}, {path: /old, mode: repeatable}]}\n", slots)
	f.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// servedVersions returns the versions that a host served, in order, from its log.
// Event 201 is event.VersionInUse.
func servedVersions(log string) []int {
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

// checkNoDowngrade checks that the host never served an older version after a newer
// one, across all of its processes.
func (h *host) checkNoDowngrade(c *qt.C) {
	versions := servedVersions(h.log.String())
	for i := 1; i < len(versions); i++ {
		c.Check(versions[i] >= versions[i-1], qt.IsTrue, qt.Commentf("%s served %v", h.name, versions))
	}
}

// TestOperatorWorkflow runs an operator's commands against real processes: apply,
// an invalid text, a conflict, an edit whose response is lost, prompts, a store
// outage with a restarted host, revert, history, and a graceful stop.
func TestOperatorWorkflow(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	f.waitReady()
	first := f.hosts[0]

	code, out := f.run(first, "apply", f.text(20), "--yes", "--wait", "--timeout", "60s")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	c.Assert(out, qt.Contains, "in force everywhere")

	// An invalid text is rejected with the position of the mistake.
	invalid := filepath.Join(f.dir, "bad.yaml")
	c.Assert(os.WriteFile(invalid, []byte("mesh: lakeshore\nservices:\n  - {name: posting, upstreams: 0}\n"), 0o600), qt.IsNil)
	code, out = f.run(first, "apply", invalid)
	c.Check(code, qt.Equals, command.ExitInvalid)
	c.Check(out, qt.Contains, "bad.yaml:3:32:")

	// Two operators edit version 1; the second gets a conflict that shows the
	// change of the first.
	code, out = f.run(first, "apply", f.text(21), "--base", "1")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	code, out = f.run(f.hosts[3], "apply", f.text(22), "--base", "1")
	c.Check(code, qt.Equals, command.ExitConflict)
	c.Check(out, qt.Contains, "Slots 20 → 21")

	// The response to the write of the head is lost: the edit is accepted once.
	f.store.Fault(standinplatform.Faults{LoseResponses: 1, SkipWrites: 2})
	code, out = f.run(f.hosts[2], "apply", f.text(23), "--base", "2", "--write", "lost-answer")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.store.Fault(standinplatform.Faults{})
	code, out = f.run(first, "apply", f.text(23), "--yes", "--write", "lost-answer")
	c.Check(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.waitInForce(3)

	// A text without a base and a text that removes a route need confirmation;
	// the answer "no" changes nothing.
	code, out = f.run(first, "apply", f.text(24))
	c.Check(code, qt.Equals, command.ExitRefused)
	c.Check(out, qt.Contains, "does not say which version it began from")
	removal := filepath.Join(f.dir, "gone.yaml")
	c.Assert(os.WriteFile(removal, []byte("mesh: lakeshore\nservices:\n  - {name: posting, upstreams: 4}\n"), 0o600), qt.IsNil)
	code, out = f.run(first, "apply", removal, "--base", "3")
	c.Check(code, qt.Equals, command.ExitRefused)
	c.Check(out, qt.Contains, "posting * /old")

	// The store is down: edits are refused, and the version in force stays in
	// force.
	f.storeProxy.Set(wire.Fault{Cut: true})
	code, out = f.run(first, "apply", f.text(24), "--yes")
	c.Check(code, qt.Equals, command.ExitRefused, qt.Commentf("%s", out))
	c.Check(out, qt.Contains, "nothing changed")
	// A host that restarts meanwhile gets the version from its peers.
	f.kill(f.hosts[1])
	f.start(f.hosts[1])
	f.waitInForce(3)
	f.storeProxy.Set(wire.Fault{})

	f.waitUntil("waiting for the store to be available", func() bool {
		code, out = f.run(first, "revert", "1", "--wait")
		return code == command.ExitDone
	})
	code, out = f.run(first, "history")
	c.Check(code, qt.Equals, command.ExitDone)
	c.Check(out, qt.Contains, "revert to version 1")
	c.Check(strings.Count(out, "version 3 "), qt.Equals, 1, qt.Commentf("%s", out))

	for _, h := range f.hosts {
		c.Assert(h.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	}
	for _, h := range f.hosts {
		c.Check(h.cmd.Wait(), qt.IsNil, qt.Commentf("graceful stop of %s", h.name))
		h.cmd = nil
		h.checkNoDowngrade(c)
	}
}

// TestMassRestart kills half of the hosts and restarts them at once, twice,
// partitions a domain and heals the partition, and blackholes all open links, with
// edits in between.
//
// Without intervention the status must become complete again with the newest
// version, and no host's log may show an older version after a newer one.
func TestMassRestart(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2)
	f.waitReady()
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
		f.waitInForce(uint64(2 + round))
	}
	f.waitReady()

	f.setCut("superior-b", true)
	code, out = f.run(f.hosts[0], "apply", f.text(30), "--yes")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.setCut("superior-b", false)
	f.waitInForce(4)

	for _, proxy := range f.peerProxies {
		proxy.Set(wire.Fault{Blackhole: true})
	}
	code, out = f.run(f.hosts[2], "apply", f.text(31), "--yes", "--wait", "--timeout", "60s")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	f.waitReady()
	for _, h := range f.hosts {
		h.checkNoDowngrade(c)
	}
}

// TestSlowRegionLink puts the peer addresses of one region, and the store, behind
// links of 20 ms one-way delay and 30 Mbit/s.
//
// An edit must be accepted and get in force on all hosts, whichever region's host
// it is sent to.
func TestSlowRegionLink(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2)
	for i, h := range f.hosts {
		if h.region == "superior" {
			f.peerProxies[i].Set(wire.Fault{Delay: 20 * time.Millisecond, Rate: 30e6 / 8})
		}
	}
	f.storeProxy.Set(wire.Fault{Delay: 20 * time.Millisecond, Rate: 30e6 / 8})
	f.waitReady()
	for n, h := range []*host{f.hosts[0], f.hosts[2], f.hosts[7]} {
		code, out := f.run(h, "apply", f.text(20+n), "--yes", "--wait", "--timeout", "60s")
		c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
		f.waitInForce(uint64(n + 1))
	}
}

// setCut makes the proxies of a domain's peer addresses close all connections, or
// restores them.
func (f *fleet) setCut(domain string, on bool) {
	for i, h := range f.hosts {
		if h.domain == domain {
			f.peerProxies[i].Set(wire.Fault{Cut: on})
		}
	}
}

// TestSettings starts the daemon with invalid settings: it must report all mistakes
// with their positions and exit with code 2.
func TestSettings(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "bad.yaml")
	c.Assert(os.WriteFile(path, []byte("host: A\ndomain: erie-a\ncolour: blue\nstall: 1us\npeer: localhost:80\n"), 0o600), qt.IsNil)
	out, err := exec.Command(daemonPath, "--config", path).CombinedOutput()
	var exit *exec.ExitError
	c.Assert(err, qt.ErrorAs, &exit)
	c.Check(exit.ExitCode(), qt.Equals, 2)
	for _, place := range []string{":1:7:", ":3:1:", ":4:8:", ":5:7:", "needs the field \"platform\""} {
		c.Check(string(out), qt.Contains, place)
	}
	out, err = exec.Command(daemonPath).CombinedOutput()
	c.Assert(err, qt.ErrorAs, &exit)
	c.Check(exit.ExitCode(), qt.Equals, 2)
	c.Check(string(out), qt.Contains, "--config is missing")
}
