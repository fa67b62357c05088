package target

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// headerTransport is a transport to a target that keeps the headers of the last request.
type headerTransport struct{ header http.Header }

// RoundTrip implements http.RoundTripper.
func (x *headerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	x.header = req.Header
	return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: http.NoBody, Request: req}, nil
}

// TestWorkspaceToTarget checks that a target gets the workspace's name from its node, and no
// key, whatever else the request contains.
func TestWorkspaceToTarget(t *testing.T) {
	c := qt.New(t)
	tr := &headerTransport{}
	ts := newTargets(tr)
	defer ts.Close()
	for _, workspace := range []string{"east", ""} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(HeaderService, "posting")
		r.Header.Set(HeaderDeadline, "200")
		r.Header.Set("Briarrock-Key", "east-key")
		r.Header.Set("Connection", HeaderWorkspace)
		if workspace != "" {
			r.Header.Set(HeaderWorkspace, workspace)
		}
		w := httptest.NewRecorder()
		ts.ServeHTTP(w, r)
		c.Check(w.Code, qt.Equals, http.StatusOK)
		c.Check(tr.header.Get(HeaderWorkspace), qt.Equals, workspace)
		c.Check(tr.header.Values("Briarrock-Key"), qt.HasLen, 0)
	}
}

// TestArrivalOfWorkspace checks what the gate is told of a call: its workspace, unless fair
// queueing is off, as on the users' platform.
func TestArrivalOfWorkspace(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		noFairQueueing            bool
		caller, workspace, inGate string
	}{
		{false, "posting", "", "posting"},
		{true, "posting", "", ""},
		{false, "posting", "east", "east"},
		{true, "posting", "east", ""},
	} {
		ts := &Targets{deps: Deps{NoFairQueueing: x.noFairQueueing}}
		a := ts.arrival(call{caller: x.caller, workspace: x.workspace}, 0)
		c.Check(a.Caller, qt.Equals, x.inGate)
		c.Check(a.Workspace, qt.Equals, x.inGate == "east")
	}
}

// gateScript sends calls to a gate with one slot and a queue of four, and records which calls
// start or are refused.
type gateScript struct {
	g       *Gate
	now     time.Time
	last    CallID
	log     []string
	names   map[CallID]string
	running []CallID
}

func newGateScript() *gateScript {
	return &gateScript{g: NewGate(Limits{Slots: 1, Queue: 4}), now: time.Unix(1000, 0), names: make(map[CallID]string)}
}

func (s *gateScript) step(m Msg) {
	for _, x := range s.g.Step(s.now, m) {
		switch x := x.(type) {
		case Start:
			s.log = append(s.log, s.names[x.ID])
			s.running = append(s.running, x.ID)
		case Refuse:
			s.log = append(s.log, s.names[x.ID]+" "+string(x.Kind))
		}
	}
}

// arrive sends calls of callers; a name that begins with w is that of a workspace.
func (s *gateScript) arrive(names ...string) {
	for _, name := range names {
		s.last++
		s.names[s.last] = name
		s.step(Arrival{
			ID: s.last, Caller: name, Workspace: strings.HasPrefix(name, "w"), Priority: snapshot.Normal, Deadline: s.now.Add(time.Minute),
		})
	}
}

// finish ends n calls, one each 10 ms.
func (s *gateScript) finish(n int) {
	for range n {
		s.now = s.now.Add(10 * time.Millisecond)
		id := s.running[0]
		s.running = s.running[1:]
		s.step(Completed{ID: id, Duration: 10 * time.Millisecond})
	}
}

// TestWorkspaceOrder checks the order of queued calls by workspace. The count of started calls
// must outlast an empty queue, since the queue is short under overload, and must fade, since
// what a workspace sent long ago says nothing about its share now.
func TestWorkspaceOrder(t *testing.T) {
	c := qt.New(t)
	s := newGateScript()
	s.arrive("w1", "w1", "w1", "w2")
	s.finish(4) // the queue is empty
	c.Check(s.log, qt.DeepEquals, []string{"w1", "w2", "w1", "w1"})
	s.log = nil
	s.arrive("w3", "w1", "w2", "w3")
	s.finish(4)
	c.Check(s.log, qt.DeepEquals, []string{"w3", "w2", "w3", "w1"})
	s.log = nil
	s.now = s.now.Add(10 * time.Second)
	s.arrive("w3", "w1", "w2") // w3 starts at once; w1 and w2 are nearly as good as new
	s.finish(3)
	c.Check(s.log, qt.DeepEquals, []string{"w3", "w2", "w1"})
}

// TestWorkspaceEviction checks that a full queue of one workspace's calls makes room for
// another's, by its last call, and that no workspace is refused by 429 for its share of the
// queue: that status is for allowances.
func TestWorkspaceEviction(t *testing.T) {
	c := qt.New(t)
	s := newGateScript()
	s.arrive("w1", "w1", "w1", "w1", "w1", "w2", "w1", "w3", "w2")
	c.Check(s.log, qt.DeepEquals, []string{"w1", "w1 full", "w1 full", "w1 full", "w1 full"})
	s.finish(5)
	c.Check(s.log[5:], qt.DeepEquals, []string{"w2", "w3", "w1", "w2"})
}

// TestWorkspaceEvictionOrder checks that of a workspace's calls with equal due times the one
// that was queued last makes room.
func TestWorkspaceEvictionOrder(t *testing.T) {
	c := qt.New(t)
	s := newGateScript()
	s.arrive("w1", "w1", "w1", "w1", "w1", "w2")
	first := s.last - 5 // the one that runs
	c.Check(s.log, qt.DeepEquals, []string{"w1", "w1 full"})
	for i := range s.g.queue {
		c.Check(s.g.queue[i].ID, qt.Not(qt.Equals), first+4)
	}
}

// TestWithoutWorkspace checks calls that have no workspace beside those of workspaces: they
// share one place in the order, so that they don't starve, and their order among each other and
// the limit of a caller's share are as in a gate without workspaces.
func TestWithoutWorkspace(t *testing.T) {
	c := qt.New(t)
	s := newGateScript()
	s.arrive("w1", "a", "w1", "b", "w2")
	s.finish(5)
	c.Check(s.log, qt.DeepEquals, []string{"w1", "a", "w2", "w1", "b"})
	s = newGateScript()
	s.arrive("w1", "", "", "w2", "")
	c.Check(s.log, qt.DeepEquals, []string{"w1"}, qt.Commentf("calls without names are no caller with a share"))
	s = newGateScript()
	s.arrive("a", "a", "a", "b", "a", "w1")
	c.Check(s.log, qt.DeepEquals, []string{"a", "a " + string(kind.Limit)})
}

// TestSharesBounded guards against memory that grows with every workspace that ever called.
func TestSharesBounded(t *testing.T) {
	c := qt.New(t)
	s := newGateScript()
	for i := range 5000 {
		s.now = s.now.Add(50 * time.Millisecond)
		s.arrive(fmt.Sprint("w", i))
		s.finish(1)
	}
	c.Check(len(s.g.shares.counts) <= 2*minPruneSize, qt.IsTrue, qt.Commentf("%d entries", len(s.g.shares.counts)))
}

// TestCallsAhead checks how many calls of a workspace's burst go before a call of another
// workspace, which is refused if these are too many. The burst loses its turn with each start,
// also with several in one step.
func TestCallsAhead(t *testing.T) {
	c := qt.New(t)
	s := newGateScript()
	s.step(Limits{Slots: 1, Queue: 20})
	s.arrive("w2")
	s.arrive("w1", "w1", "w1", "w1", "w1", "w1")
	call := s.g.newQueuedCall(Arrival{Caller: "w2", Workspace: true, Priority: snapshot.Normal, Deadline: s.now.Add(time.Minute)})
	c.Check(s.g.callsAhead(&call), qt.Equals, 2)
	s.arrive("w2", "w2")
	s.log = nil
	s.step(Limits{Slots: 5, Queue: 20})
	c.Check(s.log, qt.DeepEquals, []string{"w1", "w1", "w2", "w1"})
}
