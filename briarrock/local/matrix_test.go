package local_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"briarrock.example/briarrock/local"
	"briarrock.example/mesh/kind"
	standinplatform "briarrock.example/standin/platform"
)

// callMatrix is the file testdata/calls.yaml.
type callMatrix struct {
	Steps  []string    `yaml:"steps"`
	Routes []callRoute `yaml:"routes"`
	Stores []string    `yaml:"stores"`
}

type callRoute struct {
	Name   string `yaml:"name"`
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	Key    bool   `yaml:"key"`
}

// callCell is one run: what each of the two targets does.
type callCell struct {
	first, second string
	route         callRoute
	store         string
}

func (c callCell) String() string {
	return strings.Join([]string{c.first, c.second, c.route.Name, c.store}, "/")
}

// cells puts each step beside a sound target, and beside itself and every
// other step; the store's faults go with the calls that use it.
func (m callMatrix) cells() []callCell {
	var out []callCell
	for i, a := range m.Steps {
		for j, b := range m.Steps {
			for _, r := range m.Routes {
				for k, s := range m.Stores {
					if s != "well" && !r.Key {
						continue
					}
					// Every pair on every route, each with one of the states
					// of the store; next to a sound target with all of them.
					if b != "whole" && r.Key && (i+j)%len(m.Stores) != k {
						continue
					}
					out = append(out, callCell{a, b, r, s})
				}
			}
		}
	}
	return out
}

const matrixText = `
mesh: test
services:
  - name: orderdesk
    upstreams: 2
    slots: 4
    connections: 20
    routes:
      - {path: /reads, methods: [GET], mode: repeatable, deadline: 150ms, retries: 2}
      - {path: /orders, methods: [POST], mode: once, deadline: 150ms, retries: 1}
`

// rawTarget is a target below the level of HTTP: it can break off anywhere.
type rawTarget struct {
	l    net.Listener
	addr string
	mu   sync.Mutex
	step string
	// reached and ran count the requests by id: of which any byte was read,
	// and which were run.
	reached, ran map[string]int
	stop         context.CancelFunc
}

func newRawTarget(c *qt.C, announce string) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	t := &rawTarget{l: l, addr: l.Addr().String(), step: "whole", reached: map[string]int{}, ran: map[string]int{}, stop: stop}
	go t.accept()
	go t.announce(ctx, announce)
	return t
}

func (t *rawTarget) close() {
	t.stop()
	_ = t.l.Close()
}

// announce tells the node of the target, often, so that a cell soon finds one
// again that the cell before made the node drop.
func (t *rawTarget) announce(ctx context.Context, addr string) {
	b, _ := json.Marshal(map[string]any{"service": "orderdesk", "addr": t.addr, "slots": 4, "connections": 20})
	for ctx.Err() == nil {
		if res, err := http.Post("http://"+addr+"/announce", "application/json", bytes.NewReader(b)); err == nil {
			_ = res.Body.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (t *rawTarget) set(step string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = step
}

func (t *rawTarget) now() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.step
}

func (t *rawTarget) note(m map[string]int, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m[id]++
}

func (t *rawTarget) count(id string) (reached, ran int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reached[id], t.ran[id]
}

func (t *rawTarget) accept() {
	for {
		conn, err := t.l.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

// serve reads requests and breaks off where the step says. "refuse" is close
// to it: the connection is reset before the request can have been read.
func (t *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s := t.now(); s == "refuse" || s == "accept" {
		if s == "refuse" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Id")
		t.note(t.reached, id)
		step := t.now()
		if step == "head" {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || step == "body" {
			return
		}
		t.note(t.ran, id)
		if !answerRaw(conn, step, id) {
			return
		}
	}
}

// answerRaw writes what the step has left of the answer, and tells whether
// the connection goes on.
func answerRaw(conn net.Conn, step, id string) bool {
	body := strings.Repeat(id+" ", 50)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	switch step {
	case "run":
		return false
	case "headcut":
		_, _ = io.WriteString(conn, head[:20])
		return false
	case "bodycut":
		_, _ = io.WriteString(conn, head+body[:len(body)/2])
		return false
	case "chunkcut":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body), body[:len(body)/2])
		return false
	case "garbage":
		_, _ = io.WriteString(conn, strings.Repeat("\x00\xffnot http\n", 10))
		return false
	case "twice":
		_, _ = io.WriteString(conn, head+body+head+strings.ReplaceAll(body, id, "nobody"))
		return true
	case "late":
		time.Sleep(300 * time.Millisecond)
	case "silent":
		_, _ = io.Copy(io.Discard, conn)
		return false
	case "shed":
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy")
		return true
	}
	_, err := io.WriteString(conn, head+body)
	return err == nil
}

// matrixMesh is a mesh of two nodes, each with a raw target.
type matrixMesh struct {
	*local.Mesh
	targets [2]*rawTarget
	n       int
}

func newMatrixMesh(c *qt.C) *matrixMesh {
	m, err := local.Start(local.Spec{Places: twoRegions[:2], PerDomain: 1})
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Close)
	out := &matrixMesh{Mesh: m}
	for i := range out.targets {
		out.targets[i] = newRawTarget(c, m.Nodes[i].Cfg.AnnounceAddr)
		c.Cleanup(out.targets[i].close)
	}
	putInForce(c, m, matrixText, 2)
	return out
}

// play runs one cell and returns what is wrong with it.
func (m *matrixMesh) play(cell callCell) []string {
	m.targets[0].set(cell.first)
	m.targets[1].set(cell.second)
	switch cell.store {
	case "down":
		m.Platform.Fault(standinplatform.Faults{Down: true})
	case "lossy":
		m.Platform.Fault(standinplatform.Faults{LoseResponses: 2})
	}
	var broken []string
	ids := make([]string, 0, 3)
	for entry := range 3 {
		m.n++
		id := fmt.Sprintf("id-%d", m.n)
		ids = append(ids, id)
		broken = append(broken, m.send(cell.route, id, entry%2)...)
		if cell.route.Key {
			// The caller sends it again through the other node.
			broken = append(broken, m.send(cell.route, id, (entry+1)%2)...)
		}
	}
	m.Platform.Fault(standinplatform.Faults{})
	m.targets[0].set("whole")
	m.targets[1].set("whole")
	for _, id := range ids {
		if cell.route.Key {
			broken = append(broken, m.send(cell.route, id, 0)...)
		}
		if _, ran := m.count(id); cell.route.Name != "repeatable" && ran > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, ran))
		}
	}
	return broken
}

func (m *matrixMesh) count(id string) (reached, ran int) {
	for _, t := range m.targets {
		a, b := t.count(id)
		reached, ran = reached+a, ran+b
	}
	return reached, ran
}

// send sends a request once and compares what its caller is told with what
// the targets did.
func (m *matrixMesh) send(r callRoute, id string, entry int) []string {
	headers := []string{"X-Id", id}
	if r.Key {
		headers = append(headers, "Idempotency-Key", id)
	}
	body := ""
	if r.Method == http.MethodPost {
		body = "ten pallets"
	}
	before, _ := m.count(id)
	a := call(m.Mesh, entry, r.Method, r.Path, body, headers...)
	after, ran := m.count(id)
	var broken []string
	wrong := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s: %s: ", id, a)+fmt.Sprintf(format, args...))
	}
	switch {
	case a.err != nil: // cut off: the caller knows that it knows nothing
	case a.status == http.StatusOK && a.body != strings.Repeat(id+" ", 50):
		wrong("passes for whole and is not")
	case a.status == http.StatusOK && ran == 0:
		wrong("was answered and never ran")
	case a.ran == "no" && after > before:
		wrong("is said not to have run, and reached a target")
	case a.ran == "" || (a.kind != kind.None && a.status < 400):
		wrong("does not say whether it ran")
	}
	return broken
}

// TestCallMatrix breaks calls off at every step.
//
// A caller must never be told "not run" of a request that reached a target,
// never get half of an answer or another's for a whole one, and an order must
// never run twice, however often it is sent and whatever the store does.
func TestCallMatrix(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile("testdata/calls.yaml")
	c.Assert(err, qt.IsNil)
	var m callMatrix
	c.Assert(yaml.Unmarshal(b, &m), qt.IsNil)
	cells := m.cells()
	t.Logf("%d cells", len(cells))
	const groups = 8
	for g := range groups {
		t.Run(fmt.Sprintf("group%d", g), func(t *testing.T) {
			t.Parallel()
			mesh := newMatrixMesh(qt.New(t))
			for i := g; i < len(cells); i += groups {
				if broken := mesh.play(cells[i]); len(broken) > 0 {
					t.Errorf("%s:\n  %s", cells[i], strings.Join(broken[:min(len(broken), 5)], "\n  "))
				}
			}
		})
	}
}
