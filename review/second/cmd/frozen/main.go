// Command frozen is case 6: the machine beside one of two upstreams freezes. Uploads that
// other machines, which are in touch, pass on to it must be answered by the timeout of
// their route.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"briarrock.example/review/second/rig"
)

const (
	// freezeTime is how long the machine stands still.
	freezeTime = 4 * time.Second
	// timeout is that of the route, limit how long the clients wait.
	timeout = time.Second
	limit   = 3 * time.Second
	// answerSlack is the time after the timeout by which there must be an answer.
	answerSlack = 500 * time.Millisecond
	// minLate is the number of requests without an answer by then that breaks the rule, if
	// they are more than a quarter of those that last longer than the timeout.
	minLate = 8

	uploadBytes     = 100_000
	uploadsPerS     = 16 // at each machine
	trafficBefore   = 3 * time.Second
	trafficAfter    = 4 * time.Second
	minAnswered     = 50
	machinesInTouch = 8
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/platform", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "where to write the record")
	trouble := flag.Bool("trouble", true, "whether there is an impairment")
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
	if err := start(m); err != nil {
		rec.Say("could not run: %v", err)
		return rig.ExitFailed
	}
	c := &check{rec: rec}
	c.traffic(m, *trouble)
	return c.judge()
}

func start(m *rig.Mesh) error {
	m.Configure(7, []string{"archive", "intake", "ledger", "posting", "profile"}, []rig.Route{
		{Name: "upload", Host: "books.example", Prefix: "/upload/", Type: "upload", Service: "intake", Timeout: timeout, Target: 400 * time.Millisecond, Priority: 1},
	})
	for _, service := range []string{"archive", "ledger", "posting", "profile", "intake"} { // intake last
		m.Add("erie-a", service)
		m.Add("erie-b", service)
	}
	for i, x := range m.Machines {
		u := &rig.Upstream{ID: fmt.Sprintf("i-%d", i+1), Service: x.Service, Addr: x.App(), Control: x.Control(), Slots: 18, Work: 70 * time.Millisecond}
		if err := u.Start(m.Rec); err != nil {
			return err
		}
	}
	return m.StartAll()
}

type check struct {
	rec *rig.Record

	mu                                 sync.Mutex
	sent, answered, longer, unanswered int
}

func (c *check) traffic(m *rig.Mesh, trouble bool) {
	var wg sync.WaitGroup
	body := bytes.Repeat([]byte("receipt "), uploadBytes/8)
	end := time.Now().Add(trafficBefore + freezeTime + trafficAfter)
	for _, x := range m.Machines[:machinesInTouch] {
		wg.Go(func() {
			for time.Now().Before(end) {
				wg.Go(func() { c.upload(x, body) })
				time.Sleep(time.Second / uploadsPerS)
			}
		})
	}
	time.Sleep(trafficBefore)
	frozen := m.Machines[machinesInTouch]
	if trouble {
		c.rec.Say("%s freezes", frozen.Name)
		frozen.Signal(syscall.SIGSTOP)
	}
	time.Sleep(freezeTime)
	if trouble {
		frozen.Signal(syscall.SIGCONT)
		c.rec.Say("%s wakes", frozen.Name)
	}
	wg.Wait()
}

func (c *check) upload(x *rig.Machine, body []byte) {
	r := rig.Request{ID: rig.NewID(), Method: http.MethodPost, Host: "books.example", Path: "/upload/1", Body: body, Limit: limit}
	conn, err := rig.Dial(x.Outbound())
	if err != nil {
		c.rec.Printf("%s: %v", r.ID, err)
		return
	}
	defer conn.Close()
	began := time.Now()
	if err := conn.Send(r); err != nil {
		c.rec.Printf("%s at %s: %v", r.ID, x.Name, err)
		return
	}
	sent := time.Now()
	c.rec.Printf("sent %s to %s, in %v", r.ID, x.Name, sent.Sub(began))
	a, _ := conn.Receive(r, sent)
	c.rec.Printf("answer to %s: %d, error %v, after %v", r.ID, a.Status, a.Err, a.Took)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if a.Whole(r.ID) {
		c.answered++
	}
	if a.Took > timeout {
		c.longer++
	}
	if a.Took > timeout+answerSlack {
		c.unanswered++
	}
}

func (c *check) judge() int {
	c.rec.Say("uploads %d, answered with success %d, not answered by the route's timeout %d, of these not answered half a second later either %d", c.sent, c.answered, c.longer, c.unanswered)
	switch {
	case c.answered < minAnswered:
		return rig.ExitFailed
	case c.unanswered >= minLate && c.unanswered*4 > c.longer:
		c.rec.Say("CONFIG is broken")
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}
