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

// callMatrix is the content of testdata/calls.yaml: the steps at which a target
// fails, the routes, and the states of the store.
type callMatrix struct {
	Steps  []string    `yaml:"steps"`
	Routes []callRoute `yaml:"routes"`
	Stores []string    `yaml:"stores"`
}

type callRoute struct {
	Name   string `yaml:"name"`
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Key sends an idempotency key, for which the node uses the store.
	Key bool `yaml:"key"`
}

// callCell is one combination of the matrix: the step at which each of the two
// targets fails, the route, and the state of the store.
type callCell struct {
	first, second string
	route         callRoute
	store         string
}

func (c callCell) String() string {
	return strings.Join([]string{c.first, c.second, c.route.Name, c.store}, "/")
}

// cells returns the combinations to test: all pairs of steps on all routes. The
// store's faults are combined only with the routes that use the store.
func (m callMatrix) cells() []callCell {
	var out []callCell
	for i, a := range m.Steps {
		for j, b := range m.Steps {
			for _, r := range m.Routes {
				for k, s := range m.Stores {
					if s != "well" && !r.Key {
						continue
					}
					// With a key, a pair of steps is combined with all states of
					// the store if the second target is healthy ("whole"),
					// otherwise with one.
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

// rawTarget is a target that speaks HTTP over a raw TCP connection and can fail at
// any step of a request.
type rawTarget struct {
	l    net.Listener
	addr string
	mu   sync.Mutex
	step string
	// reached counts, by id, the requests whose head was read; ran counts those
	// whose body was read too, which count as run.
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

// announce announces the target to the node every 10 ms, so that a target that the
// node dropped in one cell is soon available to the next cell.
func (t *rawTarget) announce(ctx context.Context, addr string) {
	b, _ := json.Marshal(map[string]any{"service": "orderdesk", "addr": t.addr, "slots": 4, "connections": 20})
	for ctx.Err() == nil {
		if res, err := http.Post("http://"+addr+"/announce", "application/json", bytes.NewReader(b)); err == nil {
			_ = res.Body.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (t *rawTarget) setStep(step string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = step
}

func (t *rawTarget) currentStep() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.step
}

func (t *rawTarget) increment(m map[string]int, id string) {
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

// serve handles the requests of a connection and fails at the current step.
// "refuse" approximates a refused connection: it resets the connection before a
// request was read.
func (t *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s := t.currentStep(); s == "refuse" || s == "accept" {
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
		t.increment(t.reached, id)
		step := t.currentStep()
		if step == "head" {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || step == "body" {
			return
		}
		t.increment(t.ran, id)
		if !writeResponse(conn, step, id) {
			return
		}
	}
}

// writeResponse writes the part of the response that precedes the failing step,
// and reports whether the connection stays open.
func writeResponse(conn net.Conn, step, id string) bool {
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
	n       int // requests sent so far, for their ids
}

func newMatrixMesh(c *qt.C) *matrixMesh {
	m, err := local.Start(local.Spec{Locations: twoRegions[:2], NodesPerDomain: 1})
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Close)
	out := &matrixMesh{Mesh: m}
	for i := range out.targets {
		out.targets[i] = newRawTarget(c, m.Nodes[i].Cfg.AnnounceAddr)
		c.Cleanup(out.targets[i].close)
	}
	applyAndWait(c, m, matrixText, 2)
	return out
}

// runCell runs one cell and returns the violations found.
func (m *matrixMesh) runCell(cell callCell) []string {
	m.targets[0].setStep(cell.first)
	m.targets[1].setStep(cell.second)
	switch cell.store {
	case "down":
		m.Platform.Fault(standinplatform.Faults{Down: true})
	case "lossy":
		m.Platform.Fault(standinplatform.Faults{LoseResponses: 2})
	}
	var violations []string
	ids := make([]string, 0, 3)
	for round := range 3 {
		m.n++
		id := fmt.Sprintf("id-%d", m.n)
		ids = append(ids, id)
		violations = append(violations, m.sendOnce(cell.route, id, round%2)...)
		if cell.route.Key {
			// The caller retries through the other node.
			violations = append(violations, m.sendOnce(cell.route, id, (round+1)%2)...)
		}
	}
	m.Platform.Fault(standinplatform.Faults{})
	m.targets[0].setStep("whole")
	m.targets[1].setStep("whole")
	for _, id := range ids {
		if cell.route.Key {
			violations = append(violations, m.sendOnce(cell.route, id, 0)...)
		}
		if _, ran := m.count(id); cell.route.Name != "repeatable" && ran > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", id, ran))
		}
	}
	return violations
}

// count returns how many requests with an id both targets received and ran.
func (m *matrixMesh) count(id string) (reached, ran int) {
	for _, t := range m.targets {
		a, b := t.count(id)
		reached, ran = reached+a, ran+b
	}
	return reached, ran
}

// sendOnce sends a request once through a node. It compares the response with the
// requests that the targets received and ran, and returns the violations found.
func (m *matrixMesh) sendOnce(r callRoute, id string, node int) []string {
	headers := []string{"X-Id", id}
	if r.Key {
		headers = append(headers, "Idempotency-Key", id)
	}
	body := ""
	if r.Method == http.MethodPost {
		body = "ten pallets"
	}
	before, _ := m.count(id)
	a := sendCall(m.Mesh, node, r.Method, r.Path, body, headers...)
	after, ran := m.count(id)
	var violations []string
	report := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s: %s: ", id, a)+fmt.Sprintf(format, args...))
	}
	switch {
	case a.err != nil: // connection closed: the caller can't assume either outcome
	case a.status == http.StatusOK && a.body != strings.Repeat(id+" ", 50):
		report("status 200 with an incomplete or wrong body")
	case a.status == http.StatusOK && ran == 0:
		report("status 200 without having run")
	case a.ran == "no" && after > before:
		report("reported as not run, but reached a target")
	case a.ran == "" || (a.kind != kind.None && a.status < 400):
		report("does not report whether it ran")
	}
	return violations
}

// TestCallMatrix makes targets fail at every step of a request.
//
// A request that reached a target must never be reported as not run. A caller must
// never receive a truncated response, or the response of another request, as a
// complete one. An order must never run twice, however often it is sent and
// whichever fault the store has.
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
				if violations := mesh.runCell(cells[i]); len(violations) > 0 {
					t.Errorf("%s:\n  %s", cells[i], strings.Join(violations[:min(len(violations), 5)], "\n  "))
				}
			}
		})
	}
}
