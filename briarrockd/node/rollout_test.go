package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/rollout"
	"briarrock.example/mesh/event"
)

// TestRecordStart guards against a roll-out whose time limit ends early or late at all nodes
// because the wall clock of one has jumped: the record's start is by that clock.
func TestRecordStart(t *testing.T) {
	c := qt.New(t)
	n := &Node{log: new(event.Log), rollouts: rollout.New(rollout.Config{Share: 0.1}, 1)}
	n.platform.Rollout.Share = 0.1
	var sent peer.RolloutsChanged
	h := newWatchHandle(n, func(m peer.Msg) { sent = m.(peer.RolloutsChanged) }, nil, n.log)
	began := time.Now()
	s := rollout.State{Service: "s", Order: 1, Target: "v2", Current: "v1", Duration: 12 * time.Second, StartedAt: began}
	h.ReportRollouts([]rollout.State{s}, false)
	s.StartedAt = began.Add(-time.Hour)
	h.ReportRollouts([]rollout.State{s}, true)
	c.Check(n.rollouts.States()[0].StartedAt, qt.Equals, began)
	c.Check(sent.States[0].StartedAt, qt.Equals, began)
	s.Order = 2
	h.ReportRollouts([]rollout.State{s}, true)
	c.Check(n.rollouts.States()[0].StartedAt, qt.Equals, s.StartedAt)
}
