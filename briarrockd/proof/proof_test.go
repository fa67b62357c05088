package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

// limit is the limit on the age of proofs in the tests.
const limit = 5 * time.Second

// scriptHost is a host of a script. Its clock is ahead of the script's time by offset.
type scriptHost struct {
	offset time.Duration
	state  State
	links  map[string]*Link // by the peer's name
}

// script runs the commands of one file. The times in its commands are in milliseconds of
// one clock that no host knows, so that a proof's true age is known.
type script struct {
	hosts  map[string]*scriptHost
	frames map[string]Frame
}

// TestProof guards against a proof that counts as newer than it is: after delays, a
// freeze or a suspension, with late answers and malformed frames.
func TestProof(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{hosts: make(map[string]*scriptHost), frames: make(map[string]Frame)}
		datadriven.RunTest(t, path, s.command)
	})
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	text := func(key string) (v string) {
		if d.HasArg(key) {
			d.ScanArgs(t, key, &v)
		}
		return v
	}
	number := func(key string) (v uint64) {
		if d.HasArg(key) {
			d.ScanArgs(t, key, &v)
		}
		return v
	}
	ms := func(key string) time.Duration { return fromMillis(number(key)) }
	h := s.hosts[text("host")]
	switch d.Cmd {
	case "start": // a new process; its links are new too
		h = &scriptHost{offset: ms("offset"), links: make(map[string]*Link)}
		s.hosts[text("host")] = h
		h.state.Use(number("version"))
		return "ok"
	case "relink":
		delete(h.links, text("peer"))
		delete(s.hosts[text("peer")].links, text("host"))
		return "ok"
	case "use":
		h.state.Use(number("version"))
	case "read": // of the store: sent, and answered at a later time
		h.state.Add(h.offset+ms("answered"), Proof{number("version"), h.offset + ms("sent")})
	case "send":
		p, _ := h.state.Current()
		s.frames[text("frame")] = h.link(text("peer")).Frame(h.offset+ms("at"), p)
		return "ok"
	case "forge":
		f := s.frames[text("frame")]
		for key, field := range map[string]*uint64{"age": &f.Age, "clock": &f.Clock, "echo": &f.Echo, "held": &f.Held, "newer": &f.Version} {
			if d.HasArg(key) {
				d.ScanArgs(t, key, field)
			}
		}
		s.frames[text("frame")] = f
		return "ok"
	case "receive":
		p, ok, err := h.link(text("peer")).Receive(h.offset+ms("at"), s.frames[text("frame")])
		if err != nil {
			return err.Error()
		}
		if ok {
			h.state.Add(h.offset+ms("at"), p)
		}
	case "check":
		p, ok := h.state.Current()
		now := h.offset + ms("at")
		if !ok {
			return "no proof"
		}
		return fmt.Sprintf("age %d ms, proven %t", (now - p.At).Milliseconds(), p.Valid(now, limit))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	p, ok := h.state.Current()
	if !ok {
		return "no proof"
	}
	return fmt.Sprintf("version %d at %d", p.Version, (p.At - h.offset).Milliseconds())
}

func (h *scriptHost) link(peer string) *Link {
	if h.links[peer] == nil {
		h.links[peer] = &Link{}
	}
	return h.links[peer]
}

// FuzzReceive checks that no frame gives a proof of the future, or one that is newer
// than the echo and the age in the frame allow.
func FuzzReceive(f *testing.F) {
	f.Add(uint64(1), uint64(1), uint64(1), uint64(5001), uint64(10), int64(6000))
	f.Add(uint64(1), uint64(1)<<63, uint64(1)<<63, ^uint64(0), ^uint64(0), int64(6000))
	f.Add(uint64(1), uint64(1), uint64(1), uint64(0), ^uint64(0), int64(6000))
	f.Fuzz(func(t *testing.T, version, age, clock, echo, held uint64, at int64) {
		c := qt.New(t)
		const sent = 5 * time.Second
		now := max(fromMillis(uint64(at)%maxMillis), sent)
		var l Link
		l.Frame(sent, Proof{})
		p, ok, err := l.Receive(now, Frame{version, age, clock, echo, held})
		if !ok || err != nil {
			return
		}
		c.Check(p.At < now, qt.IsTrue)
		c.Check(p.At <= sent+fromMillis(held)-fromMillis(age), qt.IsTrue)
	})
}

// TestDue guards against a flood of frames, and against a proof that is not passed on.
func TestDue(t *testing.T) {
	c := qt.New(t)
	const now = 100 * time.Second
	var l Link
	c.Check(l.Due(now, Proof{}, limit, false), qt.IsTrue, qt.Commentf("the first frame has this host's clock"))
	l.Frame(now, Proof{})
	c.Check(l.Due(now+time.Second, Proof{1, now}, limit, false), qt.IsFalse, qt.Commentf("the peer could not use the proof"))
	_, _, err := l.Receive(now+time.Second, Frame{Clock: 1})
	c.Assert(err, qt.IsNil)
	c.Check(l.Due(now+time.Second, Proof{1, now}, limit, false), qt.IsTrue, qt.Commentf("the first echo"))
	l.Frame(now+time.Second, Proof{1, now})
	for _, x := range []struct {
		after, newer time.Duration
		slow, due    bool
	}{
		{0, 499 * time.Millisecond, false, false},
		{0, 500 * time.Millisecond, false, true},
		{0, 500 * time.Millisecond, true, false},
		{500 * time.Millisecond, time.Millisecond, false, true},
		{500 * time.Millisecond, time.Millisecond, true, false},
		{time.Second, time.Millisecond, true, true},
		{2499 * time.Millisecond, 0, false, false},
		{2500 * time.Millisecond, 0, false, true},
	} {
		c.Check(l.Due(now+time.Second+x.after, Proof{1, now + x.newer}, limit, x.slow), qt.Equals, x.due, qt.Commentf("%+v", x))
	}
}
