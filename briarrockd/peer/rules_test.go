package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

func member(host string) Member {
	return Member{Host: host, Domain: "erie-a", Region: "erie", PeerAddr: host + ":1", CallAddr: host + ":2", Incarnation: 1}
}

// linkedCore is a Core with one link, to a peer of its domain.
func linkedCore(c *qt.C) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a")}, rand.New(rand.NewPCG(1, 1)), now)
	core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b")}, Addr: "b:1"})
	c.Assert(core.Links(), qt.Equals, 1)
	return core, now
}

func encodeSample(c *qt.C, n int) ([]byte, snapshot.Hash) {
	b, err := snapshot.Encode(sample(n))
	c.Assert(err, qt.IsNil)
	return b, snapshot.Sum(b)
}

func fullContent(c *qt.C, version uint64, n int) Content {
	b, hash := encodeSample(c, n)
	p, err := snapshot.Pack(nil, b)
	c.Assert(err, qt.IsNil)
	return Content{Version: version, Hash: hash, Packed: p}
}

func servedVersions(cmds []Cmd) []uint64 {
	var out []uint64
	for _, c := range cmds {
		if u, ok := c.(ServeVersion); ok {
			out = append(out, u.Version)
		}
	}
	return out
}

func logged(cmds []Cmd, e event.Event) bool {
	for _, c := range cmds {
		if l, ok := c.(Log); ok && l.Event.ID() == e.ID() {
			return true
		}
	}
	return false
}

// servingCore is a Core that serves version 5.
func servingCore(c *qt.C) (*Core, time.Time) {
	core, now := linkedCore(c)
	b, hash := encodeSample(c, 5)
	cmds := core.Step(now, Committed{Version: 5, Hash: hash, Content: b})
	now = now.Add(confirmTimeout)
	cmds = append(cmds, core.Step(now, Tick{})...)
	c.Assert(servedVersions(cmds), qt.DeepEquals, []uint64{5})
	return core, now
}

// TestOlder offers an older version in every way that one can come: as a
// notice, a push, an answer that was asked for, the head of a store that has
// lost its memory, and this node's own commit that took long.
//
// A proxy that took one would undo an accepted change. It goes on with what
// it has.
func TestOlder(t *testing.T) {
	c := qt.New(t)
	core, now := servingCore(c)
	old := fullContent(c, 4, 4)
	oldBytes, oldHash := encodeSample(c, 4)
	push := old
	push.Push = true
	for _, m := range []Msg{
		Received{1, VersionNotice{Version: 4, Hash: oldHash}},
		Received{1, old},
		Received{1, push},
		HeadRead{Version: 4, Hash: oldHash},
		ObjectRead{Hash: oldHash, Content: oldBytes},
		Committed{Version: 4, Hash: oldHash, Content: oldBytes},
	} {
		cmds := core.Step(now, m)
		cmds = append(cmds, core.Step(now.Add(time.Second), Tick{})...)
		now = now.Add(time.Second)
		c.Check(servedVersions(cmds), qt.HasLen, 0, qt.Commentf("%T", m))
		n, _ := core.Version()
		c.Check(n, qt.Equals, uint64(5), qt.Commentf("%T", m))
	}
}

// TestDamaged offers version 6 cut short, corrupted and with a wrong base: it
// is dropped whole, logged, and asked for again; the sound one is then used.
func TestDamaged(t *testing.T) {
	c := qt.New(t)
	core, now := servingCore(c)
	good := fullContent(c, 6, 6)
	core.Step(now, Received{1, VersionNotice{Version: 6, Hash: good.Hash}})
	short, flipped := good, good
	short.Packed = good.Packed[:len(good.Packed)-3]
	flipped.Packed = append([]byte(nil), good.Packed...)
	flipped.Packed[len(flipped.Packed)/2] ^= 0x40
	for _, bad := range []Content{short, flipped} {
		cmds := core.Step(now, Received{1, bad})
		c.Check(servedVersions(cmds), qt.HasLen, 0)
		c.Check(logged(cmds, event.VersionRefused), qt.IsTrue)
		n, _ := core.Version()
		c.Check(n, qt.Equals, uint64(5))
	}
	strange := good
	strange.Base = snapshot.Sum([]byte("unheard of"))
	c.Check(servedVersions(core.Step(now, Received{1, strange})), qt.HasLen, 0)
	c.Check(servedVersions(core.Step(now, Received{1, good})), qt.DeepEquals, []uint64{6})
}

// TestFalseNotice tells of a version that does not exist.
//
// The node asks for it in vain. It must not keep the node from the true next
// version, whose number is lower.
func TestFalseNotice(t *testing.T) {
	c := qt.New(t)
	core, now := servingCore(c)
	core.Step(now, Received{1, VersionNotice{Version: 900, Hash: snapshot.Sum([]byte("nothing"))}})
	for range 600 {
		now = now.Add(TickInterval)
		core.Step(now, Received{1, Heartbeat{Version: 5}})
		core.Step(now, Tick{})
	}
	good := fullContent(c, 6, 6)
	core.Step(now, Received{1, VersionNotice{Version: 6, Hash: good.Hash}})
	c.Check(servedVersions(core.Step(now, Received{1, good})), qt.DeepEquals, []uint64{6})
}

// TestRank orders records as every node must.
func TestRank(t *testing.T) {
	c := qt.New(t)
	order := []rank{
		{1, 0, Alive},
		{1, 0, Suspect},
		{1, 0, Dead},
		{1, 1, Alive},
		{1, 7, Suspect},
		{1, 2, Leaving},
		{1, 3, Leaving},
		{2, 0, Alive},
	}
	for i, a := range order {
		for j, b := range order {
			c.Check(a.supersedes(b), qt.Equals, i > j, qt.Commentf("%v above %v", a, b))
		}
	}
}

// TestClockBack starts a process whose host's clock has gone back: its peers
// remember a later incarnation, and it must go above that to be believed.
func TestClockBack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a")}, rand.New(rand.NewPCG(1, 1)), now)
	core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b"), KnownIncarnation: 900}, Addr: "b:1"})
	c.Check(core.self.Incarnation, qt.Equals, uint64(901))
	// Hearing of itself as of later still does the same.
	m := member("a")
	m.Incarnation = 2000
	core.Step(now, Received{1, Records{[]Member{m}}})
	c.Check(core.self.Incarnation, qt.Equals, uint64(2001))
}

// TestAlone is a node that reaches nobody: it never serves anything.
func TestAlone(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), Contacts: []string{"b:1"}}, rand.New(rand.NewPCG(1, 1)), now)
	for range 600 {
		now = now.Add(TickInterval)
		for _, cmd := range core.Step(now, Tick{}) {
			switch cmd := cmd.(type) {
			case Dial:
				core.Step(now, DialFailed{Addr: cmd.Addr, Refused: true})
			case ReadHead:
				core.Step(now, HeadRead{Err: errStoreDown})
			case ServeVersion:
				t.Fatal("serves something")
			}
		}
	}
	c.Check(core.Ready(), qt.IsFalse)
}

// TestContacts starts a node whose settings name hosts that are all replaced.
//
// It would stay by itself for good. After a while without any link it takes
// the addresses that the domains have left in the table.
func TestContacts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a"), Contacts: []string{"gone:1"}}, rand.New(rand.NewPCG(1, 1)), now)
	asked, dialed := 0, false
	for range 300 {
		now = now.Add(TickInterval)
		for _, cmd := range core.Step(now, Tick{}) {
			switch cmd := cmd.(type) {
			case Dial:
				dialed = dialed || cmd.Addr == "new:1"
				core.Step(now, DialFailed{Addr: cmd.Addr})
			case ReadContacts:
				asked++
				core.Step(now, ContactsRead{Addrs: []string{"new:1"}})
			}
		}
	}
	c.Check(dialed, qt.IsTrue)
	c.Check(asked <= 3, qt.IsTrue, qt.Commentf("asked %d times in 30 s", asked))

	core, now = linkedCore(c)
	var left []string
	for range 100 {
		now = now.Add(TickInterval)
		core.Step(now, Received{1, Heartbeat{}})
		for _, cmd := range core.Step(now, Tick{}) {
			if w, ok := cmd.(WriteContacts); ok {
				c.Check(left, qt.IsNil)
				left = w.Addrs
			}
		}
	}
	if core.isRoot() {
		c.Check(left, qt.HasLen, 2)
	} else {
		c.Check(left, qt.IsNil)
	}
}

// TestRestart restarts a host next to a peer that is behind.
//
// The host served version 5 before, keeps nothing, and the first peer that it
// meets holds version 4 and has never heard of it. While the store may still
// answer, the node must wait for it; only when it does not answer may it serve
// what its peers hold.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	for _, storeUp := range []bool{true, false} {
		now := time.Unix(1000, 0)
		core := New(Config{Self: member("a")}, rand.New(rand.NewPCG(1, 1)), now)
		old, next := fullContent(c, 4, 4), fullContent(c, 5, 5)
		var served []uint64
		step := func(m Msg) {
			served = append(served, servedVersions(core.Step(now, m))...)
		}
		step(Tick{})
		step(LinkUp{Link: 1, Hello: Hello{Member: member("b"), Version: 4, Hash: old.Hash}, Addr: "b:1"})
		step(Received{1, old})
		for range 20 {
			now = now.Add(TickInterval)
			step(Tick{})
		}
		c.Check(served, qt.HasLen, 0)
		if storeUp {
			step(HeadRead{Version: 5, Hash: next.Hash})
			step(Received{1, next})
		} else {
			step(HeadRead{Err: errStoreDown})
		}
		for range 20 {
			now = now.Add(TickInterval)
			step(Received{1, Heartbeat{Version: 4}})
			step(Tick{})
		}
		want := []uint64{4}
		if storeUp {
			want = []uint64{5}
		}
		c.Check(served, qt.DeepEquals, want)
	}
}

// TestForgetful restarts a host whose settings name no contact that knows
// anybody. It can't know that it should dial its neighbour; the neighbour must
// find it before declaring it dead.
func TestForgetful(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a")}, rand.New(rand.NewPCG(1, 1)), now)
	other := "b"
	for score(other) < score("a") {
		other += "b" // the neighbour comes after us, and so is the one to dial
	}
	core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member(other)}})
	c.Assert(core.isRoot(), qt.IsTrue)
	core.Step(now, LinkDown{1})
	dialed := time.Duration(0)
	for range 40 {
		now = now.Add(TickInterval)
		for _, cmd := range core.Step(now, Tick{}) {
			if d, ok := cmd.(Dial); ok && d.Addr == other+":1" && dialed == 0 {
				dialed = now.Sub(time.Unix(1000, 0))
			}
		}
	}
	c.Check(dialed > 0 && dialed < suspectDelay, qt.IsTrue, qt.Commentf("after %v", dialed))
}

// TestLostDomain loses a whole domain for good.
//
// Nobody is left in it to say that its members are dead. While it may only be
// cut off they are kept; after hours of silence they are forgotten, and one
// that comes back all the same is believed.
func TestLostDomain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a")}, rand.New(rand.NewPCG(1, 1)), now)
	far := member("z")
	far.Domain = "superior-a"
	core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: far}, Addr: "z:1"})
	core.Step(now, Received{1, Summary{Domain: "superior-a", Region: "superior", At: 1, Members: 1}})
	core.Step(now, LinkDown{1})
	now = now.Add(domainForgetAfter - time.Minute)
	core.Step(now, Tick{})
	c.Check(core.Members(), qt.Equals, 2)
	now = now.Add(2 * time.Minute)
	core.Step(now, Tick{})
	c.Check(core.Members(), qt.Equals, 1)
	far.Seq = 1
	core.Step(now, LinkUp{Link: 2, Hello: Hello{Member: far}})
	c.Check(core.Members(), qt.Equals, 2)
}

// TestFrames checks that each frame comes back as it was sent, and that
// nothing else passes for one.
func TestFrames(t *testing.T) {
	c := qt.New(t)
	for _, f := range []Frame{
		Hello{Member: member("a"), Version: 3},
		Heartbeat{Root: 1},
		Digests{},
		Listing{Domain: "a"},
		RecordRequest{},
		Records{[]Member{member("a")}},
		VersionNotice{Version: 9},
		Fetch{},
		Content{Packed: []byte("x")},
		Report{},
		Summary{Domain: "a"},
		CrashReport{Print: 4},
		FloorNotice{2},
		VersionAck{3},
	} {
		b, err := EncodeFrame(f)
		c.Assert(err, qt.IsNil)
		back, err := DecodeFrame(b)
		c.Assert(err, qt.IsNil)
		c.Check(back.code(), qt.Equals, f.code())
	}
	for _, b := range [][]byte{nil, {0}, {200}, {codeHeartbeat}, {codeHeartbeat, 0xff}, {codeRecords, 0xa1, 1, 0x81, 0xa0}} {
		_, err := DecodeFrame(b)
		c.Check(err, qt.Equals, ErrFrame)
	}
}

// FuzzFrame sends bytes as a peer could: they are a frame within its bounds,
// or an error, and a Core takes any frame without ending the process.
func FuzzFrame(f *testing.F) {
	for _, x := range []Frame{
		Hello{Member: member("a")},
		Heartbeat{Root: 1, Version: 4},
		Records{[]Member{member("c")}},
		Listing{Domain: "erie-a", Entries: []Entry{{"c", 1, 0, Dead}}},
		VersionNotice{Version: 9},
		Content{Version: 9, Packed: []byte{1}},
		Report{Counts: []VersionCount{{1, 2}}},
		Summary{Domain: "x", At: 5},
		CrashReport{Print: 1, Service: "s"},
		Fetch{Version: 5},
	} {
		b, err := EncodeFrame(x)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := DecodeFrame(b)
		if err != nil {
			return
		}
		core, now := linkedCore(qt.New(t))
		core.Step(now, Received{1, frame})
		core.Step(now.Add(time.Second), Tick{})
	})
}

// TestOtherHost has another host answer at the address of one that was replaced.
//
// The old one's record lives on for some seconds. Each link to its address comes
// up as one to the new host; if that counted as a success the address would be
// dialed at each tick, and each new link would replace the last one: nodes would
// do nothing else, and serve an old configuration meanwhile.
func TestOtherHost(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Self: member("a")}, rand.New(rand.NewPCG(1, 1)), now)
	old, fresh := member("old"), member("new")
	fresh.PeerAddr = old.PeerAddr
	core.Step(now, LinkUp{Link: 1, Hello: Hello{Member: member("b")}, Addr: "b:1"})
	core.Step(now, Received{1, Records{[]Member{old, fresh}}})
	dials, id := 0, LinkID(1)
	for range 30 {
		now = now.Add(TickInterval)
		for _, cmd := range core.Step(now, Tick{}) {
			if d, ok := cmd.(Dial); ok && d.Addr == old.PeerAddr {
				dials++
				id++
				core.Step(now, LinkUp{Link: id, Hello: Hello{Member: fresh}, Addr: old.PeerAddr})
			}
		}
	}
	c.Check(dials <= 2, qt.IsTrue, qt.Commentf("%d dials in three seconds", dials))
	c.Check(core.linkByHost["new"], qt.Not(qt.IsNil))
}

// TestHoldClear lets word of crashes and word that the request has run to its end
// go round a ring of five nodes at the same time, in many orders.
//
// The second follows the first closely: a node that has forgotten the crash hears
// of it again by the other way round. If it took that for news, the two would
// chase each other round the ring for good, at the full speed of every node, and
// calls and configurations would come late everywhere with no error to say why.
func TestHoldClear(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(300) {
		r := newRing(5)
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 3 {
			r.deliver(rng.IntN(5), Crashed{Print: 7, Service: "posting"})
			r.deliverFrames(rng, rng.IntN(8))
			r.deliver(rng.IntN(5), Crashed{Print: 7, Service: "posting", Clear: true})
			r.deliverFrames(rng, rng.IntN(8))
		}
		c.Assert(r.deliverFrames(rng, 1000) < 200, qt.IsTrue, qt.Commentf("seed %d goes on", seed))

		// A request that goes on crashing targets is held back all the same.
		for _, i := range []int{1, 3} {
			r.deliver(i, Crashed{Print: 7, Service: "posting"})
		}
		r.deliverFrames(rng, 1000)
		for _, core := range r.cores {
			c.Assert(core.crashes.heldRequests(), qt.HasLen, 1, qt.Commentf("seed %d", seed))
		}
	}
}

// ring is some Cores, each linked to the next and the last one, and the frames
// about crashes that are on their way.
type ring struct {
	now      time.Time
	cores    []*Core
	inFlight []ringFrame
}

// ringFrame is a frame on its way to a node over one of its two links.
type ringFrame struct {
	to   int
	link LinkID
	f    CrashReport
}

func newRing(n int) *ring {
	r := &ring{now: time.Unix(1000, 0)}
	name := func(i int) string { return string(rune('a' + (i+n)%n)) }
	for i := range n {
		core := New(Config{Self: member(name(i))}, rand.New(rand.NewPCG(uint64(i), 1)), r.now)
		for link, j := range []int{i + 1, i - 1} {
			core.Step(r.now, LinkUp{Link: LinkID(link + 1), Hello: Hello{Member: member(name(j))}, Addr: name(j) + ":1"})
		}
		r.cores = append(r.cores, core)
	}
	return r
}

// deliver gives a node a message and puts what it sends on the way.
func (r *ring) deliver(i int, m Msg) {
	n := len(r.cores)
	for _, x := range r.cores[i].Step(r.now, m) {
		s, _ := x.(Send)
		f, ok := s.Frame.(CrashReport)
		switch {
		case !ok:
		case s.Link == 1:
			r.inFlight = append(r.inFlight, ringFrame{(i + 1) % n, 2, f})
		default:
			r.inFlight = append(r.inFlight, ringFrame{(i + n - 1) % n, 1, f})
		}
	}
}

// deliverFrames delivers up to most frames, those of one link in their order, and returns
// how many there were.
func (r *ring) deliverFrames(rng *rand.Rand, most int) int {
	n := 0
	for ; n < most && len(r.inFlight) > 0; n++ {
		at := rng.IntN(len(r.inFlight))
		for i, x := range r.inFlight[:at] {
			if x.to == r.inFlight[at].to && x.link == r.inFlight[at].link {
				at = i
				break
			}
		}
		x := r.inFlight[at]
		r.inFlight = append(r.inFlight[:at], r.inFlight[at+1:]...)
		r.deliver(x.to, Received{x.link, x.f})
	}
	return n
}
