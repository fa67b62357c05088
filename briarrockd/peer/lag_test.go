package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/event"
)

// loggedFields returns the fields of each line of an event among cmds.
func loggedFields(cmds []Cmd, e event.Event) []event.Fields {
	var out []event.Fields
	for _, x := range cmds {
		if l, ok := x.(Log); ok && l.Event == e {
			out = append(out, l.Fields)
		}
	}
	return out
}

// TestLagLogged guards against a late version whose delay can't be placed by the log of one
// host: a version that was named and not fetched, fetched in vain, or held and not served.
func TestLagLogged(t *testing.T) {
	c := qt.New(t)
	core, now := delegatingCore(c)
	b, hash := encodeSample(c, 1)
	core.Step(now, Committed{Version: 1, Hash: hash, Content: b, At: now})
	now, _ = runTicks(core, now, time.Second)

	next := fullContent(c, 2, 2)
	core.Step(now, Received{1, VersionNotice{2, next.Hash, true}})
	now, cmds := runTicks(core, now, 2*time.Second)
	lines := loggedFields(cmds, event.VersionBehind)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0]["newest"], qt.Equals, uint64(2))
	c.Check(lines[0]["fetching"], qt.Equals, uint64(2))
	c.Check(lines[0]["behind"], qt.Equals, behindLogDelay.Milliseconds())
	c.Check(lines[0]["polled"], qt.Equals, int64(2000))

	cmds = core.Step(now, Received{1, next})
	now, more := runTicks(core, now, time.Second)
	lines = loggedFields(append(cmds, more...), event.VersionInUse)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0]["from"], qt.Equals, "b")
	c.Check(lines[0]["behind"], qt.Equals, int64(2000))

	b, hash = encodeSample(c, 3)
	cmds = core.Step(now, Committed{Version: 3, Hash: hash, Content: b, At: now})
	_, more = runTicks(core, now, time.Second)
	lines = loggedFields(append(cmds, more...), event.VersionInUse)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0]["from"], qt.Equals, platformSource)
	c.Check(lines[0]["behind"], qt.Equals, int64(0))
}

// TestHistoryLogged guards against a late version whose delay can't be placed by the log: before
// it was named, before it was requested, or before the answer.
func TestHistoryLogged(t *testing.T) {
	c := qt.New(t)
	core, now := delegatingCore(c)
	b, hash := encodeSample(c, 1)
	core.Step(now, Committed{Version: 1, Hash: hash, Content: b, At: now})
	now, _ = runTicks(core, now, time.Second)

	// This node polls itself, so it requests the version from a peer after hedgeDelay.
	next := fullContent(c, 2, 2)
	core.Step(now, Received{1, VersionNotice{2, next.Hash, true}})
	now, cmds := runTicks(core, now, time.Second)
	cmds = append(cmds, core.Step(now, Received{1, next})...)
	_, more := runTicks(core, now, time.Second)
	lines := loggedFields(append(cmds, more...), event.VersionInUse)
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0]["by"], qt.Equals, "b")
	c.Check(lines[0]["fetched"], qt.Equals, hedgeDelay.Milliseconds())
	c.Check(lines[0]["arrived"], qt.Equals, int64(1000))
}
