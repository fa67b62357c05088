package local_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrock/command"
	api "briarrock.example/mesh/operator"
	standintarget "briarrock.example/standin/target"
)

// TestRolloutCommand orders roll-outs by the command line in a mesh without an adapter. It
// guards against an order that only one node follows, an end that is not kept, an abort that
// does not stop requests, and a restarted node that takes part without knowing of the order.
func TestRolloutCommand(t *testing.T) {
	c := qt.New(t)
	m := startMesh(c, standintarget.Config{Slots: 20, Conns: 100})
	for i, n := range m.Nodes {
		n.Target.SetVersion([]string{"v1", "v2"}[i%2])
	}
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := command.Run(append(args, "--node", "http://"+m.Nodes[1].Cfg.OperatorAddr), command.IO{In: strings.NewReader(""), Out: &out, Err: &errs})
		return code, out.String() + errs.String()
	}
	completed := func(version int) (n int64) {
		for i := version - 1; i < len(m.Nodes); i += 2 {
			n += m.Nodes[i].Target.Completed()
		}
		return n
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan response, 1000)
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			// Node 3 is restarted.
			if res := sendCall(m, i%3, "GET", "/orders", ""); res.status != 200 && len(failed) < cap(failed) {
				failed <- res
			}
			time.Sleep(3 * time.Millisecond)
		}
	}()
	code, out := run("rollout", "start", "orderdesk")
	c.Check(code, qt.Equals, command.ExitUsage, qt.Commentf("%s", out))
	code, out = run("rollout", "abort", "orderdesk")
	c.Check(code, qt.Equals, command.ExitRefused, qt.Commentf("%s", out))

	code, out = run("rollout", "start", "orderdesk", "v2", "--limit", "6s")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	time.Sleep(time.Second)
	c.Assert(m.RestartNode(3), qt.IsNil)
	code, out = run("rollout", "status", "orderdesk", "--watch")
	c.Check(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	c.Check(out, qt.Contains, "completed")
	time.Sleep(500 * time.Millisecond)
	before := completed(1)
	time.Sleep(time.Second)
	c.Check(completed(1), qt.Equals, before)

	// Back to v1, and then aborted.
	code, out = run("rollout", "start", "orderdesk", "v1", "--limit", "1m")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	time.Sleep(2 * time.Second)
	c.Check(completed(1) > before, qt.IsTrue)
	code, out = run("rollout", "abort", "orderdesk")
	c.Assert(code, qt.Equals, command.ExitDone, qt.Commentf("%s", out))
	time.Sleep(500 * time.Millisecond)
	before = completed(1)
	time.Sleep(time.Second)
	c.Check(completed(1), qt.Equals, before)
	var history api.Rollouts
	var err error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		history, err = m.Operator(0).RolloutHistory(context.Background(), "orderdesk")
		c.Assert(err, qt.IsNil)
		if history.Rollouts[0].Written {
			break
		}
	}
	c.Assert(history.Rollouts, qt.HasLen, 2)
	c.Check(history.Rollouts[0].State, qt.Equals, api.RolloutRolledBack)
	c.Check(history.Rollouts[0].Who, qt.Equals, "local")
	c.Check(history.Rollouts[1].State, qt.Equals, api.RolloutCompleted)
	c.Check(history.Rollouts[1].Target, qt.Equals, "v2")
	cancel()
	for len(failed) > 0 {
		c.Errorf("a call failed: %s", <-failed)
	}
}
