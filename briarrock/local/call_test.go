package local_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrock/local"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/kind"
	api "briarrock.example/mesh/operator"
	standinplatform "briarrock.example/standin/platform"
	standintarget "briarrock.example/standin/target"
	"briarrock.example/standin/wire"
)

const meshText = `
mesh: test
services:
  - name: orderdesk
    upstreams: 4
    slots: 2
    connections: 20
    queue: 8
    routes:
      - {path: /orders, methods: [POST], mode: once, deadline: 2s, retries: 1}
      - {path: /orders, methods: [GET], mode: repeatable, deadline: 2s, retries: 2}
      - {path: /files, methods: [PUT], mode: repeatable, deadline: 2s, retries: 0}
      - {path: /staff, methods: [GET], mode: repeatable, callers: [planner]}
`

var twoRegions = []local.Place{
	{Domain: "northgate", Region: "north-line"},
	{Domain: "millbank", Region: "north-line"},
	{Domain: "riverside", Region: "south-line"},
	{Domain: "harbour-cross", Region: "south-line"},
}

// patience is far above what any of these steps takes; it only ends a test
// that would hang.
const patience = 60 * time.Second

// start runs a mesh with one target in each domain and a version in force.
func start(c *qt.C, target standintarget.Config) *local.Mesh {
	if target.Slots == 0 {
		target.Slots, target.Conns = 2, 20
	}
	m, err := local.Start(local.Spec{
		Places: twoRegions, PerDomain: 1, Services: []string{"orderdesk"}, Target: target, StoreRegion: "north-line",
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Close)
	putInForce(c, m, meshText, 4)
	return m
}

// putInForce makes a text the first version and waits until every node serves
// it and knows so many targets.
func putInForce(c *qt.C, m *local.Mesh, text string, targets int) {
	c.Assert(m.Joined(patience), qt.IsNil)
	res, err := m.Operator(0).Apply(context.Background(), api.Apply{Text: []byte(text), Write: "test-text"})
	c.Assert(err, qt.IsNil)
	c.Assert(res.Outcome, qt.Equals, api.Accepted)
	c.Assert(m.InForce(1, patience), qt.IsNil)
	waitUpstreams(c, m, targets)
}

func waitUpstreams(c *qt.C, m *local.Mesh, n int) {
	c.Assert(local.Until(patience, func() bool {
		for _, x := range m.Nodes {
			if x.LiveTargets("orderdesk") != n {
				return false
			}
		}
		return true
	}), qt.IsNil)
}

// answer is what a caller got.
type answer struct {
	status int
	kind   kind.Kind
	ran    string
	head   http.Header
	body   string
	err    error
}

// call sends one request through node i.
func call(m *local.Mesh, i int, method, path, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+m.Nodes[i].Cfg.CallerAddr+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "orderdesk"
	for j := 0; j+1 < len(headers); j += 2 {
		req.Header.Add(headers[j], headers[j+1])
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return answer{
		res.StatusCode, kind.Kind(res.Header.Get(kind.HeaderKind)), res.Header.Get(kind.HeaderRan),
		res.Header, string(b), err,
	}
}

func (a answer) String() string {
	return fmt.Sprintf("%d %s ran=%s %q %v", a.status, string(a.kind), a.ran, a.body, a.err)
}

func runs(m *local.Mesh, id string) int {
	n := 0
	for _, x := range m.Nodes {
		n += x.Target.Runs(id)
	}
	return n
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{})
	for _, x := range []struct {
		method, path string
		headers      []string
		want         kind.Kind
	}{
		{"GET", "/nowhere", nil, kind.Route},
		{"DELETE", "/orders", nil, kind.Route},
		{"GET", "/staff", nil, kind.Caller},
		{"GET", "/staff", []string{"Briarrock-Caller", "kiosk"}, kind.Caller},
		{"GET", "/orders", []string{"Briarrock-Deadline", "soon"}, kind.Request},
		{"GET", "/orders", []string{"Briarrock-Deadline", "0"}, kind.Deadline},
		{"POST", "/orders", []string{"Idempotency-Key", strings.Repeat("k", 300)}, kind.Key},
		{"POST", "/orders", []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, kind.Key},
	} {
		a := call(m, 0, x.method, x.path, "", x.headers...)
		c.Check(a.kind, qt.Equals, x.want, qt.Commentf("%s %s: %s", x.method, x.path, a))
		c.Check(a.ran, qt.Equals, "no")
		c.Check(a.status, qt.Equals, x.want.Answer().Status)
	}
	a := call(m, 0, "GET", "/staff", "", "Briarrock-Caller", "planner")
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a))
	c.Check(a.ran, qt.Equals, "yes")
}

// TestStream sends a large body both ways through two nodes.
//
// A filing packet must arrive whole, piece by piece, and without being held
// in memory: its first bytes come back before its last ones are sent.
func TestStream(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{Echo: true})
	const size = 16 << 20
	r, w := io.Pipe()
	req, err := http.NewRequest(http.MethodPut, "http://"+m.Nodes[0].Cfg.CallerAddr+"/files/1", r)
	c.Assert(err, qt.IsNil)
	req.Host = "orderdesk"
	first := make(chan struct{})
	sent := sha256.New()
	go func() {
		piece := bytes.Repeat([]byte("journal "), 1<<10)
		for n := 0; n < size; n += len(piece) {
			_, _ = sent.Write(piece)
			_, _ = w.Write(piece)
			if n == 0 {
				<-first // no more until the first piece has come back
			}
		}
		_ = w.Close()
	}()
	res, err := http.DefaultTransport.RoundTrip(req)
	c.Assert(err, qt.IsNil)
	got := sha256.New()
	one := make([]byte, 1)
	_, err = io.ReadFull(res.Body, one)
	c.Assert(err, qt.IsNil)
	_, _ = got.Write(one)
	close(first)
	n, err := io.Copy(got, res.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(n+1, qt.Equals, int64(size))
	c.Assert(got.Sum(nil), qt.DeepEquals, sent.Sum(nil))
}

// TestStall begins an upload and a download that stop half-way.
//
// Neither may hold a slot of the target for good. The upload's caller is told
// that its fate is not known; the download's caller, who does not read, is cut
// off; and the slots are free again.
func TestStall(t *testing.T) {
	c := qt.New(t)
	m, err := local.Start(local.Spec{
		Places: twoRegions[:1], PerDomain: 1, Services: []string{"orderdesk"},
		Target: standintarget.Config{Slots: 2, Conns: 20, Echo: true}, Stall: 300 * time.Millisecond,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Close)
	putInForce(c, m, meshText, 1)
	free := func() bool { return m.Nodes[0].Target.Running() == 0 }

	r, w := io.Pipe()
	defer func() { _ = w.Close() }()
	go func() { _, _ = w.Write(make([]byte, 1000)) }() // and nothing more
	req, err := http.NewRequest(http.MethodPut, "http://"+m.Nodes[0].Cfg.CallerAddr+"/files/1", r)
	c.Assert(err, qt.IsNil)
	req.Host = "orderdesk"
	res, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		_, err = io.ReadAll(res.Body)
		c.Check(err != nil || res.StatusCode >= 400, qt.IsTrue, qt.Commentf("%d passes for whole", res.StatusCode))
	}
	c.Check(local.Until(patience, free), qt.IsNil)

	conn, err := net.Dial("tcp", m.Nodes[0].Cfg.CallerAddr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		_, _ = fmt.Fprintf(conn, "PUT /files/2 HTTP/1.1\r\nHost: orderdesk\r\nContent-Length: %d\r\n\r\n", 64<<20)
		for range 1 << 10 {
			if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}() // and never reads what comes back
	c.Check(local.Until(patience, func() bool { return !free() }), qt.IsNil)
	c.Check(local.Until(patience, free), qt.IsNil)
}

// TestSlots floods a mesh through all of its nodes: no target ever runs more
// than its slots, and whoever is refused is told at once that nothing ran.
func TestSlots(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{Slots: 2, Conns: 20, Work: 5 * time.Millisecond})
	var good, refused, other atomic.Int64
	var last atomic.Value // what the last other answer was
	last.Store("")
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for range 10 {
				a := call(m, i%len(m.Nodes), "GET", "/orders", "")
				switch {
				case a.status == http.StatusOK:
					good.Add(1)
				case a.kind == kind.Full && a.ran == "no" && a.head.Get("Retry-After") != "":
					refused.Add(1)
				default:
					other.Add(1)
					last.Store(fmt.Sprintf("%+v", a))
				}
			}
		})
	}
	wg.Wait()
	ran := int64(0)
	for _, n := range m.Nodes {
		c.Check(n.Target.PeakConcurrency() <= 2, qt.IsTrue, qt.Commentf("%d at once", n.Target.PeakConcurrency()))
		ran += n.Target.Completed()
	}
	c.Check(other.Load(), qt.Equals, int64(0), qt.Commentf("%s", last.Load()))
	c.Check(ran, qt.Equals, good.Load())
}

// TestLate gives a target less time than its work takes.
//
// The caller must not be told that the request did not run: the target had
// it. It is told so when its time is up, and the target is told to stop.
func TestLate(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{})
	a := call(m, 0, "POST", "/orders", "x", "Briarrock-Deadline", "100", standintarget.HeaderWork, "30s")
	c.Check(a.kind, qt.Equals, kind.Late, qt.Commentf("%s", a))
	c.Check(a.ran, qt.Equals, "unknown")
	c.Check(local.Until(patience, func() bool {
		for _, n := range m.Nodes {
			if n.Target.Running() > 0 {
				return false
			}
		}
		return true
	}), qt.IsNil)
}

// TestOnce sends the same order again and again through all nodes at once.
//
// It must run once. Whoever asks while it runs is told that its outcome is
// not known yet; whoever asks after it has run gets the first answer back.
func TestOnce(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{Work: 20 * time.Millisecond})
	for order := range 5 {
		id := fmt.Sprintf("order-%d", order)
		send := func(i int) answer {
			return call(m, i, "POST", "/orders", "ten pallets", "Idempotency-Key", id, standintarget.HeaderID, id)
		}
		var wg sync.WaitGroup
		var answers [8]answer
		for i := range answers {
			wg.Go(func() { answers[i] = send(i % len(m.Nodes)) })
		}
		wg.Wait()
		c.Check(runs(m, id), qt.Equals, 1)
		for _, a := range answers {
			whole := a.status == http.StatusOK && strings.Contains(a.body, "POST /orders 11")
			c.Check(whole || a.kind == kind.Repeat, qt.IsTrue, qt.Commentf("%s", a))
		}
		var again answer
		c.Check(local.Until(patience, func() bool { again = send(3); return again.status == http.StatusOK }), qt.IsNil)
		c.Check(again.head.Get("Briarrock-Replay"), qt.Equals, "yes")
		c.Check(again.body, qt.Contains, "POST /orders 11")
		c.Check(runs(m, id), qt.Equals, 1)
		other := call(m, 1, "POST", "/orders", "nine pallets", "Idempotency-Key", id)
		c.Check(other.kind, qt.Equals, kind.Conflict, qt.Commentf("%s", other))
	}
}

// TestOnceGathered sends orders in a domain that is large enough for its first
// node to gather the claims, and kills that node in between.
//
// Its loss must cost nothing but a moment: no order runs twice, and orders go
// on through the other nodes.
func TestOnceGathered(t *testing.T) {
	c := qt.New(t)
	m, err := local.Start(local.Spec{
		Places: twoRegions[:1], PerDomain: 9, Services: []string{"orderdesk"}, Target: standintarget.Config{Slots: 6, Conns: 20},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Close)
	putInForce(c, m, meshText, 9)
	root := -1
	for i, n := range m.Nodes {
		n.Peers().Ask(func(h *peer.Core) {
			if addr, _ := h.Committers(); addr == "" {
				root = i
			}
		})
	}
	c.Assert(root >= 0, qt.IsTrue)
	var wg sync.WaitGroup
	for i := range m.Nodes {
		if i == root {
			continue
		}
		wg.Go(func() {
			for k := range 6 {
				if i == (root+1)%len(m.Nodes) && k == 3 {
					m.Nodes[root].Kill()
				}
				id := fmt.Sprintf("gathered-%d-%d", i, k)
				err := local.Until(patience, func() bool {
					a := call(m, i, "POST", "/orders", "x", "Idempotency-Key", id, standintarget.HeaderID, id)
					return a.status == http.StatusOK || a.kind == kind.Repeat
				})
				c.Check(err, qt.IsNil, qt.Commentf("%s", id))
				c.Check(runs(m, id) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs(m, id)))
			}
		})
	}
	wg.Wait()
}

// TestOnceStore lets the store fail in each way while an order comes in.
//
// Where it can't be decided whether the key was used before, the order must
// not run, and its caller is told so and may send it again with the same key.
func TestOnceStore(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{})
	send := func(id string) answer {
		return call(m, 0, "POST", "/orders", "x", "Idempotency-Key", id, standintarget.HeaderID, id)
	}
	m.Platform.Fault(standinplatform.Faults{Down: true})
	a := send("down")
	c.Check(a.kind, qt.Equals, kind.Claim, qt.Commentf("%s", a))
	c.Check(a.ran, qt.Equals, "no")
	c.Check(runs(m, "down"), qt.Equals, 0)
	m.Platform.Fault(standinplatform.Faults{})
	c.Check(local.Until(patience, func() bool { return send("down").status == http.StatusOK }), qt.IsNil)
	c.Check(runs(m, "down"), qt.Equals, 1)

	// The claim takes effect and its answer is lost: it is looked up.
	m.Platform.Fault(standinplatform.Faults{LoseResponses: 1})
	a = send("lost")
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a))
	c.Check(runs(m, "lost"), qt.Equals, 1)

	// A request that is refused without running gives its key back.
	for _, n := range m.Nodes {
		n.Target.Drain()
		c.Assert(n.Target.AnnounceOnce(context.Background(), "http://"+n.Cfg.AnnounceAddr), qt.IsNil)
	}
	a = send("drained")
	c.Check(a.ran, qt.Equals, "no", qt.Commentf("%s", a))
}

// TestCrash sends a request that crashes each target that runs it.
//
// Its caller sends it again and again. After two crashes it is held back on
// every node, so that the other targets live, and others' calls go on.
func TestCrash(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{})
	crash := func(i int) answer {
		return call(m, i, "POST", "/orders", "poison", standintarget.HeaderCrash, "yes")
	}
	var last answer
	c.Assert(local.Until(patience, func() bool { last = crash(0); return last.kind == kind.Held }), qt.IsNil)
	c.Check(last.ran, qt.Equals, "no")
	for i := range m.Nodes {
		c.Check(local.Until(patience, func() bool { return crash(i).kind == kind.Held }), qt.IsNil)
	}
	waitUpstreams(c, m, 2)
	for i := range m.Nodes {
		a := call(m, i, "POST", "/orders", "fine")
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a))
	}
	s, err := m.Operator(2).Status(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(s.Held, qt.HasLen, 1)
}

// TestSilent lets the connections between two nodes go silent: nothing is
// reset, nothing arrives, and new ones work.
//
// The calls that wait on them must not wait for their deadline: pings find the
// silence, and what may be repeated is sent again on a new connection.
func TestSilent(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{})
	var wires []*wire.Proxy
	for _, n := range m.Nodes {
		p, err := wire.New("127.0.0.1:0", n.Cfg.CallAddr)
		c.Assert(err, qt.IsNil)
		c.Cleanup(p.Close)
		m.Via(n.Cfg.CallAddr, p.Addr())
		n.Peers() // the mesh goes on by its own links
		wires = append(wires, p)
	}
	for _, n := range m.Nodes {
		n.CloseIdle()
	}
	for i := range 20 {
		c.Assert(call(m, i%len(m.Nodes), "GET", "/orders", "").status, qt.Equals, http.StatusOK)
	}
	for _, p := range wires {
		p.Set(wire.Fault{Blackhole: true})
	}
	var good atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for range 200 {
				if a := call(m, i%len(m.Nodes), "GET", "/orders", ""); a.status == http.StatusOK {
					good.Add(1)
					return
				}
			}
		})
	}
	wg.Wait()
	c.Check(good.Load(), qt.Equals, int64(16))
}

// TestStop stops a node while calls go on through all the others.
//
// A planned stop must cut off nothing: every call is answered whole, by its
// target or, where that was the node's own, by another one.
func TestStop(t *testing.T) {
	c := qt.New(t)
	m := start(c, standintarget.Config{Work: 3 * time.Millisecond})
	var good atomic.Int64
	var bad sync.Map
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := call(m, i%3, "GET", "/orders", "")
				if a.status == http.StatusOK && a.err == nil {
					good.Add(1)
				} else {
					bad.Store(a.String(), true)
				}
			}
		})
	}
	c.Assert(local.Until(patience, func() bool { return good.Load() > 100 }), qt.IsNil)
	m.Nodes[3].Stop(context.Background())
	from := good.Load()
	c.Assert(local.Until(patience, func() bool { return good.Load() > from+100 }), qt.IsNil)
	cancel()
	wg.Wait()
	bad.Range(func(k, _ any) bool {
		c.Errorf("a call failed: %s", k)
		return true
	})
}
