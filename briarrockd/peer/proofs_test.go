package peer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/proof"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// raceEnabled is set if the tests run with the race detector.
var raceEnabled = false

// revoke is the limit on the age of proofs in the tests.
const revoke = 5 * time.Second

// encodeKeys returns a version whose only key is its own number: each version takes the
// previous one's key away.
func encodeKeys(c *qt.C, n int) ([]byte, snapshot.Hash) {
	s := sample(n)
	s.Workspaces = []snapshot.Workspace{{Name: "w", Keys: []snapshot.KeyHash{snapshot.HashKey(strconv.Itoa(n))}}}
	s.Inventory.Entries = len(s.Entries) + len(s.Workspaces)
	b, err := snapshot.Encode(s)
	c.Assert(err, qt.IsNil)
	return b, snapshot.Sum(b)
}

// proofMesh is a pollMesh of strict nodes. It checks continuously which keys each host
// accepts.
type proofMesh struct {
	*pollMesh
	newestProof map[*simHost]proof.Proof // of the current process
	process     map[*simHost]int
	acceptedAt  []time.Time // of the versions, from 1
	// late counts the checks at which a host accepted a key that had been taken away for
	// longer than revoke. unproven counts those at which a host refused all keys, oldest
	// is the greatest age of a proof, and checks counts all of them.
	late, unproven, checks int
	oldest                 time.Duration
	frames, bytes          int
}

func newProofMesh(c *qt.C, seed uint64, places []Member, perDomain int) *proofMesh {
	m := &proofMesh{
		pollMesh:    newPollMeshAt(c, seed, places, perDomain),
		newestProof: make(map[*simHost]proof.Proof), process: make(map[*simHost]int), acceptedAt: []time.Time{{}},
	}
	m.encode = encodeKeys
	m.onProof = func(h *simHost, p PublishProof) { m.newestProof[h], m.process[h] = p.Proof, h.processes }
	m.onProofFrame = func(_ *simHost, n int) { m.frames, m.bytes = m.frames+1, m.bytes+n }
	for _, h := range m.nodes {
		h.cfg.Strict, h.cfg.Revoke = true, revoke
	}
	m.check()
	return m
}

// removeKey commits a version without the previous one's key.
func (m *proofMesh) removeKey() {
	m.commitVersion()
	m.acceptedAt = append(m.acceptedAt, time.Now())
}

func (m *proofMesh) startAll() {
	m.removeKey()
	for _, h := range m.nodes {
		h.cfg.Bootstrap = true
		m.start(h)
		h.cfg.Bootstrap = false
	}
}

// check checks each running host, as its admission of a request does, every 50 ms.
func (m *proofMesh) check() {
	m.after(50*time.Millisecond, m.check)
	for _, h := range m.nodes {
		if !h.alive || h.paused || h.serving == 0 {
			continue
		}
		m.checks++
		p, ok := m.newestProof[h], m.process[h] == h.processes
		if !ok || !p.Valid(h.bootTime(), revoke) || h.serving < p.Version {
			m.unproven++
			continue
		}
		m.oldest = max(m.oldest, h.bootTime()-p.At)
		if h.serving < m.newest() && time.Since(m.acceptedAt[h.serving+1]) > revoke {
			m.late++
		}
	}
}

// pause freezes a host for a time. If it is suspended, its monotonic clock stands still.
func (m *proofMesh) pause(h *simHost, d time.Duration, suspended bool) {
	if !h.alive || h.paused {
		return
	}
	h.paused = true
	process := h.processes
	m.after(d, func() {
		if suspended {
			h.suspended += d // also if the process has ended
		}
		if h.processes == process && h.alive {
			m.resume(h)
		}
	})
}

// TestProofs plays the scripts of single faults. It guards against a host that accepts a
// key too late, and against one that refuses keys although it is in touch.
func TestProofs(t *testing.T) {
	datadriven.Walk(t, "testdata/proofs", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var m *proofMesh
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "start" {
					perDomain := 0
					d.ScanArgs(t, "per-domain", &perDomain)
					m = newProofMesh(qt.New(t), 1, places, perDomain)
				}
				return m.command(t, d)
			})
		})
	})
}

// command runs one command for the seconds given by "for". It returns how long hosts
// refused keys in that time, as a share, whether one accepted a key too late, and, as a
// share of revoke in steps of 0.2, how old a proof got. With "most", it returns the number
// of polls of the store if it is above that.
func (m *proofMesh) command(t *testing.T, d *datadriven.TestData) string {
	var seconds, maxPolls int
	hostName := ""
	if d.HasArg("for") {
		d.ScanArgs(t, "for", &seconds)
	}
	if d.HasArg("most") {
		d.ScanArgs(t, "most", &maxPolls)
	}
	if d.HasArg("host") {
		d.ScanArgs(t, "host", &hostName)
	}
	var hosts []*simHost
	for _, h := range m.nodes {
		if h.cfg.Self.Host == hostName || hostName == "" || (hostName == "polling" && m.hosts[h].watch.On) {
			hosts = append(hosts, h)
		}
	}
	m.late, m.unproven, m.checks, m.oldest, m.frames, m.polls = 0, 0, 0, 0, 0, 0
	for _, h := range hosts {
		switch d.Cmd {
		case "cut-store":
			h.storeCut = true
			if d.HasArg("hang") { // as a request that is never answered
				m.failAfter = 2500 * time.Millisecond
			}
		case "join-store":
			h.storeCut = false
		case "cut-links", "slow-links", "join-links":
			for _, l := range m.linksOf(h) {
				l.dropsFrames = d.Cmd == "cut-links"
				l.extraDelay = 0
				if d.Cmd == "slow-links" {
					l.extraDelay = 2 * time.Second
				}
			}
		case "freeze", "suspend":
			m.pause(h, 8*time.Second, d.Cmd == "suspend")
		case "restart":
			m.kill(h)
			m.start(h)
		}
	}
	switch d.Cmd {
	case "start":
		if d.HasArg("no-workspaces") {
			m.encode = encodeSample
		}
		for _, h := range m.nodes {
			h.cfg.Strict = !d.HasArg("not-strict")
		}
		m.startAll()
	case "remove-key":
		m.removeKey()
	}
	m.advance(time.Duration(seconds) * time.Second)
	out := fmt.Sprintf("unproven %.2f, proofs %t", float64(m.unproven)/float64(max(m.checks, 1)), m.frames > 0)
	for share := 0.4; share <= 1; share += 0.2 {
		if m.oldest < time.Duration(share*float64(revoke)) {
			out += fmt.Sprintf(", age below %.1f", share)
			break
		}
	}
	if d.HasArg("most") && m.polls > maxPolls {
		out += fmt.Sprintf(", %d polls", m.polls)
	}
	if m.late > 0 {
		out += ", KEY ACCEPTED LATE"
	}
	return out
}

// TestProofFrames checks what a Core sends: nothing to a peer that doesn't take proofs,
// whose link would be closed by a frame that it can't decode, and nothing while its
// version has no workspaces, unless a peer sends proofs.
func TestProofFrames(t *testing.T) {
	c := qt.New(t)
	countProofs := func(cmds []Cmd) map[LinkID]int {
		out := make(map[LinkID]int)
		for _, x := range cmds {
			if s, ok := x.(Send); ok && s.Frame.code() == codeProof {
				out[s.Link]++
			}
		}
		return out
	}
	for _, encode := range []func(c *qt.C, n int) ([]byte, snapshot.Hash){encodeSample, encodeKeys} {
		now := time.Unix(1000, 0)
		core := New(Config{Self: member("a"), DelegatePolling: true, Strict: true, Revoke: revoke}, rand.New(rand.NewPCG(1, 1)), now)
		core.SetBootTime(time.Hour)
		core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b")}, Addr: "b:1"})
		core.Step(now, LinkUp{Link: 2, Hello: Hello{Member: member("c"), Proofs: true}, Addr: "c:1"})
		b, hash := encode(c, 1)
		cmds := core.Step(now, Committed{Version: 1, Hash: hash, Content: b, Cursor: 10, At: now, Sent: time.Hour - time.Second})
		now, more := runTicks(core, now, confirmTimeout)
		sent := countProofs(append(cmds, more...))
		c.Check(sent[1], qt.Equals, 0)
		c.Check(sent[2] > 0, qt.Equals, core.proofs.enabled)
		c.Check(countCmds[PublishProof](append(cmds, more...)), qt.Equals, 1)
		cmds = core.Step(now, Received{2, Proof{Clock: 7}})
		c.Check(countProofs(cmds)[2], qt.Equals, 1)
		cmds = core.Step(now, Received{2, Proof{Clock: 6}})
		c.Check(logged(cmds, event.ProofRefused), qt.IsTrue)
	}
}

// TestProofEvents checks the log of a host that is suspended and runs out of proof.
func TestProofEvents(t *testing.T) {
	c := qt.New(t)
	now, boot := time.Unix(1000, 0), time.Hour
	core := New(Config{Self: member("a"), DelegatePolling: true, Strict: true, Revoke: revoke}, rand.New(rand.NewPCG(1, 1)), now)
	tick := func(monotonic, elapsed time.Duration) []Cmd {
		now, boot = now.Add(monotonic), boot+elapsed
		core.SetBootTime(boot)
		return core.Step(now, Tick{})
	}
	tick(TickInterval, TickInterval)
	b, hash := encodeKeys(c, 1)
	core.Step(now, Committed{Version: 1, Hash: hash, Content: b, Cursor: 10, At: now})
	c.Check(logged(tick(time.Second, time.Second), event.Unproven), qt.IsTrue)
	core.Step(now, Polled{Cursor: 10, At: now, Sent: boot})
	c.Check(logged(tick(time.Second, time.Second), event.Proven), qt.IsTrue)
	cmds := tick(TickInterval, 20*time.Second)
	c.Check(logged(cmds, event.Suspended), qt.IsTrue)
	c.Check(logged(cmds, event.Unproven), qt.IsTrue)
	cmds = tick(TickInterval, TickInterval)
	c.Check(logged(cmds, event.Suspended) || logged(cmds, event.Unproven), qt.IsFalse)
	core.Step(now, Polled{Cursor: 10, At: now, Sent: boot})
	c.Check(logged(tick(TickInterval, TickInterval), event.Proven), qt.IsTrue)
}

// TestCommittedRefused guards against a version that can't be read and yet raises the cursor,
// counts as a proof of the version before it, or as a poll that other nodes are told of.
func TestCommittedRefused(t *testing.T) {
	c := qt.New(t)
	core, now := largeDomainCore(c, 25)
	core.cfg.Strict, core.cfg.Revoke = true, revoke
	core.SetBootTime(time.Hour)
	b, hash := encodeKeys(c, 2)
	cmds := core.Step(now, Committed{Version: 2, Hash: hash, Content: b[:len(b)-1], Cursor: 20, At: now, Sent: time.Hour - time.Second})
	c.Check(logged(cmds, event.VersionRefused), qt.IsTrue)
	c.Check(cmds, qt.HasLen, 1)
	c.Check(core.watch.cursor, qt.Equals, uint64(10))
	c.Check(core.proofs.reported, qt.Not(qt.Equals), uint64(2))
}

// TestOverdueWithoutProof checks from when a node without any proof counts as overdue. The
// boot clock may be high when the first version with workspaces arrives: counted from its
// zero, the proof would be overdue at once.
func TestOverdueWithoutProof(t *testing.T) {
	c := qt.New(t)
	now, boot := time.Unix(1000, 0), time.Hour
	core := New(Config{Self: member("a"), DelegatePolling: true, Strict: true, Revoke: revoke}, rand.New(rand.NewPCG(1, 1)), now)
	tick := func() {
		now, boot = now.Add(TickInterval), boot+TickInterval
		core.SetBootTime(boot)
		core.Step(now, Tick{})
	}
	for n, encode := range []func(c *qt.C, n int) ([]byte, snapshot.Hash){encodeSample, encodeKeys} {
		for range 50 {
			tick()
		}
		c.Check(core.proofOverdue(0), qt.IsFalse)
		b, hash := encode(c, n+1)
		core.Step(now, Committed{Version: uint64(n + 1), Hash: hash, Content: b, Cursor: 10, At: now})
	}
	enabledAt := boot
	for !core.proofOverdue(0) {
		tick()
		c.Assert(boot-enabledAt < revoke, qt.IsTrue)
	}
	c.Check(boot-enabledAt >= core.overdueAge(), qt.IsTrue, qt.Commentf("overdue after %v", boot-enabledAt))
}

// TestStrictPollWait checks that only a strict node polls more often.
func TestStrictPollWait(t *testing.T) {
	c := qt.New(t)
	core := &Core{cfg: Config{Revoke: revoke}}
	c.Check(core.pollWait(longPollWait), qt.Equals, longPollWait)
	core.cfg.Strict = true
	c.Check(core.pollWait(longPollWait), qt.Equals, time.Second)
	c.Check(core.pollWait(shortPollWait), qt.Equals, time.Second)
}

// TestProofSeeds plays random faults in a small mesh: kills, restarts, freezes,
// suspensions, cut and slow links, and cuts from the store, while keys are removed. No host
// may accept a key later than revoke after its removal. PROOF_SEEDS sets the number of
// seeds; with the race detector, 1000 seeds take six minutes.
func TestProofSeeds(t *testing.T) {
	const chunks = 20
	seeds := 1000
	if testing.Short() || raceEnabled {
		seeds = 40
	}
	if v, err := strconv.Atoi(os.Getenv("PROOF_SEEDS")); err == nil {
		seeds = v
	}
	for chunk := range chunks {
		t.Run(strconv.Itoa(chunk), func(t *testing.T) {
			t.Parallel()
			for seed := chunk; seed < seeds; seed += chunks {
				synctest.Test(t, func(t *testing.T) {
					m := newProofMesh(qt.New(t), uint64(seed), places[1:], 2+3*(seed%2))
					m.playSeed()
					m.c.Check(m.late, qt.Equals, 0, qt.Commentf("seed %d", seed))
					m.c.Check(m.unproven, qt.Equals, 0, qt.Commentf("seed %d, at the end", seed))
				})
			}
		})
	}
}

// playSeed plays 20 s of faults, and then 10 s without any. The last 3 s of these count
// for unproven.
func (m *proofMesh) playSeed() {
	m.startAll()
	m.advance(6 * time.Second)
	m.earlyLook = true
	for range 20 {
		for range m.rng.IntN(3) {
			m.randomFault()
		}
		if m.rng.IntN(3) == 0 {
			m.removeKey()
		}
		m.advance(time.Second)
	}
	m.store.down, m.store.extraDelay, m.extraDelay = false, 0, 0
	clear(m.isolated)
	for _, h := range m.nodes {
		h.storeCut = false
		for _, l := range m.linksOf(h) {
			l.dropsFrames, l.extraDelay = false, 0
		}
		if !h.alive {
			m.start(h)
		}
	}
	m.advance(17 * time.Second)
	m.unproven = 0
	m.advance(3 * time.Second)
}

func (m *proofMesh) randomFault() {
	h := m.nodes[m.rng.IntN(len(m.nodes))]
	seconds := time.Duration(1+m.rng.IntN(12)) * time.Second
	switch m.rng.IntN(9) {
	case 0:
		m.kill(h)
		m.after(seconds/4, func() {
			if !h.alive {
				m.start(h)
			}
		})
	case 1, 2:
		m.pause(h, seconds, m.rng.IntN(2) == 0)
	case 3:
		h.storeCut = !h.storeCut
	case 4, 5:
		for _, l := range m.linksOf(h) {
			l.extraDelay = time.Duration(m.rng.Int64N(int64(3 * time.Second)))
		}
	case 6:
		for _, l := range m.linksOf(h) {
			l.dropsFrames = true
		}
	case 7:
		m.isolated[h.cfg.Self.Domain] = !m.isolated[h.cfg.Self.Domain]
	case 8:
		m.store.down = !m.store.down
		m.store.extraDelay = time.Duration(m.rng.Int64N(int64(2 * time.Second)))
	}
}

// maxPollsPerDomain bounds the polls of the store in a second, per failure domain: those of
// one polling node of a strict mesh.
const maxPollsPerDomain = pollsPerRevoke * int(time.Second) / int(revoke)

// TestProofCost guards against proofs that age at hosts in touch, and against a load
// that grows faster than the number of hosts: a version every two seconds at 60 hosts in
// four domains, two of them far from the store. PROOF_HOSTS=300 adds 300 hosts, which
// takes two minutes.
func TestProofCost(t *testing.T) {
	sizes := []int{15}
	if n, err := strconv.Atoi(os.Getenv("PROOF_HOSTS")); err == nil {
		sizes = append(sizes, n/4)
	}
	for _, perDomain := range sizes {
		t.Run(strconv.Itoa(4*perDomain), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := newProofMesh(qt.New(t), 1, places, perDomain)
				m.startAll()
				m.advance(12 * time.Second)
				const seconds = 20
				m.oldest, m.unproven, m.frames, m.bytes, m.polls = 0, 0, 0, 0, 0
				for range seconds / 2 {
					m.removeKey()
					m.advance(2 * time.Second)
				}
				perHost := float64(m.bytes) / seconds / float64(len(m.nodes))
				t.Logf("%d hosts: oldest proof %v, %.1f frames and %.0f bytes a second and host, %d polls a second",
					len(m.nodes), m.oldest, float64(m.frames)/seconds/float64(len(m.nodes)), perHost, m.polls/seconds)
				m.c.Check(m.unproven, qt.Equals, 0)
				m.c.Check(m.oldest < revoke*6/10, qt.IsTrue)
				m.c.Check(perHost < 500, qt.IsTrue)
				m.c.Check(m.polls <= maxPollsPerDomain*len(places)*seconds, qt.IsTrue, qt.Commentf("%d polls", m.polls))
			})
		})
	}
}
