// Command brokenoff is case 4: a client sends a safe request behind another one on a kept
// connection. The upstream of the first one breaks off its answer. The second one, which a
// sound upstream has run, must get its answer. The first one is a safe request with a long
// answer, or an upload whose answer is short and has no length.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"briarrock.example/review/second/rig"
)

// The impairment: garble, on one of three upstreams of the first service, 2 of 100 answers.
// Each period has another upstream.
const (
	periods    = 3
	periodTime = 5500 * time.Millisecond
	pauseTime  = 1500 * time.Millisecond
	breakEvery = 50
	// allowedLost is the number of requests that the rule allows to be lost.
	allowedLost = 3
	minAnswered = 100

	clientsPerMachine = 2 // of each kind
	limit             = 2 * time.Second

	longAnswer  = 96 << 10
	shortAnswer = 5000
	uploadBytes = 100_000
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/platform", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "where to write the record")
	trouble := flag.Bool("trouble", true, "whether there is an impairment")
	size := flag.Int("size", longAnswer, "length of the answers to safe requests at the first service, in bytes")
	flag.Parse()
	rec, err := rig.NewRecord(*recordPath)
	if err != nil {
		fmt.Println(err)
		return rig.ExitFailed
	}
	defer rec.Close()
	m, err := rig.NewMesh(rec, *program)
	if err != nil {
		rec.Say("could not run: %v", err)
		return rig.ExitFailed
	}
	defer m.Close()
	c := &check{rec: rec, runs: make(map[string]string), unanswered: make(map[string]string)}
	if err := c.start(m, *size); err != nil {
		rec.Say("could not run: %v", err)
		return rig.ExitFailed
	}
	c.traffic(m, *trouble)
	return c.judge(*trouble)
}

type check struct {
	rec *rig.Record
	// garbles is the number of the upstream that breaks off answers, 0 for none.
	garbles atomic.Int32

	mu              sync.Mutex
	runs            map[string]string // id to upstream
	garbled         int               // answers of the upstreams that break off some, while they do
	broken          int
	pairs, answered int
	// unanswered has the paths of the first requests by the ids of the second ones whose
	// connection was closed without an answer.
	unanswered map[string]string
}

func (c *check) start(m *rig.Mesh, size int) error {
	routes := []rig.Route{
		{Name: "view", Host: "books.example", Prefix: "/view/", Type: "safe", Service: "ledger", Timeout: limit, Target: time.Second, Priority: 2},
		{Name: "upload", Host: "books.example", Prefix: "/upload/", Type: "upload", Service: "ledger", Timeout: limit, Target: time.Second, Priority: 1},
		{Name: "look", Host: "books.example", Prefix: "/look/", Type: "safe", Service: "posting", Timeout: limit, Target: time.Second, Priority: 2},
	}
	m.Configure(7, []string{"ledger", "posting"}, routes)
	for _, service := range []string{"ledger", "posting"} {
		m.Add("erie-a", service)
		m.Add("erie-b", service)
		m.Add("erie-a", service)
	}
	for i, x := range m.Machines {
		u := &rig.Upstream{ID: fmt.Sprintf("i-%d", i+1), Service: x.Service, Addr: x.App(), Control: x.Control(), Slots: 18, Work: 20 * time.Millisecond, Ran: c.ran}
		if x.Service == "posting" {
			u.Work = 60 * time.Millisecond
		} else {
			u.BreakOff = func() bool { return c.breaksOff(i + 1) }
			u.Unframed = func(r *http.Request) bool { return r.Method == http.MethodPost }
			u.Size = func(r *http.Request) int {
				if r.Method == http.MethodPost {
					return shortAnswer
				}
				return size
			}
		}
		if err := u.Start(c.rec); err != nil {
			return err
		}
	}
	return m.StartAll()
}

func (c *check) ran(u *rig.Upstream, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.Header.Get(rig.HeaderAttempt)] = u.ID
}

func (c *check) breaksOff(upstream int) bool {
	if int(c.garbles.Load()) != upstream {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.garbled++
	if c.garbled%breakEvery != 0 {
		return false
	}
	c.broken++
	return true
}

func (c *check) traffic(m *rig.Mesh, trouble bool) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	body := bytes.Repeat([]byte("receipt "), uploadBytes/8)
	for _, x := range m.Machines {
		for range clientsPerMachine {
			wg.Go(func() { c.client(x.Outbound(), rig.Request{Method: http.MethodGet, Path: "/view/1"}, stop) })
			wg.Go(func() {
				c.client(x.Outbound(), rig.Request{Method: http.MethodPost, Path: "/upload/1", Body: body}, stop)
			})
		}
	}
	time.Sleep(2 * time.Second)
	for i := range periods {
		if trouble {
			c.rec.Say("upstream i-%d breaks off answers", i+1)
			c.garbles.Store(int32(i + 1))
		}
		time.Sleep(periodTime)
		c.garbles.Store(0)
		c.rec.Say("end of the period")
		time.Sleep(pauseTime)
	}
	close(stop)
	wg.Wait()
}

// client sends pairs of requests on a kept connection, the first one like the given one.
func (c *check) client(addr string, first rig.Request, stop chan struct{}) {
	var conn *rig.Conn
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = rig.Dial(addr); err != nil {
				continue
			}
		}
		if !c.pair(conn, first) {
			conn.Close()
			conn = nil
		}
	}
}

// pair sends two requests, the second one behind the first. It returns false if the
// connection is closed.
func (c *check) pair(conn *rig.Conn, first rig.Request) bool {
	first.ID, first.Host, first.Limit = rig.NewID(), "books.example", limit
	second := rig.Request{ID: rig.NewID(), Method: http.MethodGet, Host: "books.example", Path: "/look/1", Limit: limit}
	sent := time.Now()
	c.rec.Printf("sent %s (%s) and behind it %s (%s)", first.ID, first.Path, second.ID, second.Path)
	if conn.Send(first, second) != nil {
		return false
	}
	a, closes := conn.Receive(first, sent)
	c.rec.Printf("answer to %s: %d, %d bytes, error %v", first.ID, a.Status, len(a.Body), a.Err)
	if closes && a.Err == nil {
		return false // it says that it closes: the second request counts as not read
	}
	b, closes := rig.Answer{Err: a.Err}, true
	if a.Err == nil {
		b, closes = conn.Receive(second, sent)
	}
	c.rec.Printf("answer to %s: %d, %d bytes, error %v", second.ID, b.Status, len(b.Body), b.Err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pairs++
	if b.Err == nil {
		c.answered++
	} else if time.Since(sent) < limit {
		c.unanswered[second.ID] = first.Path
	}
	return !closes
}

func (c *check) judge(trouble bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := 0
	behind := make(map[string]int)
	for id, first := range c.unanswered {
		if at := c.runs[id]; at != "" {
			lost++
			behind[first]++
			c.rec.Printf("lost: %s was run by the sound upstream %s, and its connection was closed without an answer; it was sent behind a request for %s", id, at, first)
		}
	}
	c.rec.Say("pairs %d, second request answered %d, answers broken off %d, second requests passed on to a sound upstream and not answered: %d (allowed: %d), of these behind safe requests %d, behind uploads %d", c.pairs, c.answered, c.broken, lost, allowedLost, behind["/view/1"], behind["/upload/1"])
	switch {
	case c.answered < minAnswered, trouble && c.broken == 0:
		return rig.ExitFailed
	case lost > allowedLost:
		c.rec.Say("LOST is broken")
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}
