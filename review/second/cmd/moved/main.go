// Command moved is case 6: the upstream beside a node ends, and its address goes to an
// upstream of another service. The platform changes the settings file of the node and sends
// SIGHUP. The requests that begin on this machine must then bear the name of the service
// that the settings give.
package main

import (
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
	// reuseAfter is the time after the end of an upstream from which on its address is used
	// again, configApply the time that the rules give a node after SIGHUP.
	reuseAfter  = 2 * time.Second
	configApply = 2500 * time.Millisecond

	trafficBefore = 3 * time.Second
	trafficAfter  = 10 * time.Second
	limit         = time.Second
	minAnswered   = 100
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/platform", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "where to write the record")
	trouble := flag.Bool("trouble", true, "whether the settings change")
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
	c := &check{rec: rec, m: m, begins: make(map[string]string)}
	if err := c.start(); err != nil {
		rec.Say("could not run: %v", err)
		return rig.ExitFailed
	}
	if err := c.traffic(*trouble); err != nil {
		rec.Say("could not run: %v", err)
		return rig.ExitFailed
	}
	return c.judge()
}

type check struct {
	rec   *rig.Record
	m     *rig.Mesh
	first *rig.Upstream

	mu sync.Mutex
	// begins are the services of the machines on which requests began, by id; empty within
	// configApply after a change.
	begins                map[string]string
	changedAt             time.Time
	answered, wrong, runs int
	atMoved               int // runs at the upstream that has taken over the address
}

func (c *check) start() error {
	c.m.Configure(7, []string{"archive", "intake", "ledger", "posting"}, []rig.Route{
		{Name: "look", Host: "books.example", Prefix: "/look/", Type: "safe", Service: "posting", Timeout: limit, Target: 300 * time.Millisecond, Priority: 2},
		{Name: "read", Host: "books.example", Prefix: "/read/", Type: "safe", Service: "archive", Timeout: limit, Target: 300 * time.Millisecond, Priority: 2},
	})
	for i, service := range []string{"ledger", "posting", "posting", "archive", "ledger", "archive", "intake", "intake"} {
		x := c.m.Add([]string{"erie-a", "erie-b"}[i%2], service)
		u := &rig.Upstream{ID: fmt.Sprintf("i-%d", i+1), Service: service, Addr: x.App(), Control: x.Control(), Slots: 18, Work: 30 * time.Millisecond, Ran: c.ran}
		if err := u.Start(c.rec); err != nil {
			return err
		}
		if i == 0 {
			c.first = u
		}
	}
	return c.m.StartAll()
}

func (c *check) ran(u *rig.Upstream, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Header.Get(rig.HeaderAttempt)
	want := c.begins[id]
	if want == "" {
		return
	}
	c.runs++
	if u.ID == "i-moved" {
		c.atMoved++
	}
	if got := r.Header.Get(rig.HeaderCaller); got != want {
		c.wrong++
		c.rec.Printf("wrong: %s runs at %s with the caller service %q; it began on a machine of %q", id, u.ID, got, want)
	}
}

func (c *check) traffic(trouble bool) error {
	var wg sync.WaitGroup
	end := time.Now().Add(trafficBefore + reuseAfter + trafficAfter)
	for _, x := range c.m.Machines {
		for _, path := range []string{"/look/1", "/read/1"} {
			wg.Go(func() { c.client(x, path, end) })
		}
	}
	defer wg.Wait()
	time.Sleep(trafficBefore)
	if !trouble {
		return nil
	}
	moved := c.m.Machines[0]
	c.first.Deregister()
	c.first.Close()
	c.rec.Say("the upstream on %s has ended", moved.Name)
	time.Sleep(reuseAfter)
	c.mu.Lock()
	moved.Service, c.changedAt = "archive", time.Now()
	c.mu.Unlock()
	if err := moved.WriteSettings(false); err != nil {
		return err
	}
	moved.Signal(syscall.SIGHUP)
	c.rec.Say("the settings of %s say %q, SIGHUP sent", moved.Name, moved.Service)
	u := &rig.Upstream{ID: "i-moved", Service: "archive", Addr: moved.App(), Control: moved.Control(), Slots: 18, Work: 30 * time.Millisecond, Ran: c.ran}
	return u.Start(c.rec)
}

func (c *check) client(x *rig.Machine, path string, end time.Time) {
	for time.Now().Before(end) {
		c.request(x, path)
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *check) request(x *rig.Machine, path string) {
	r := rig.Request{ID: rig.NewID(), Method: http.MethodGet, Host: "books.example", Path: path, Limit: limit}
	c.mu.Lock()
	c.begins[r.ID] = x.Service
	if x == c.m.Machines[0] && !c.changedAt.IsZero() && time.Since(c.changedAt) < configApply {
		c.begins[r.ID] = ""
	}
	c.mu.Unlock()
	conn, err := rig.Dial(x.Outbound())
	if err != nil {
		c.rec.Printf("%s: %v", r.ID, err)
		return
	}
	defer conn.Close()
	sent := time.Now()
	c.rec.Printf("sent %s to %s (%s)", r.ID, x.Name, path)
	if conn.Send(r) != nil {
		return
	}
	a, _ := conn.Receive(r, sent)
	c.rec.Printf("answer to %s: %d, error %v, after %v", r.ID, a.Status, a.Err, a.Took)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Whole(r.ID) {
		c.answered++
	}
}

func (c *check) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rec.Say("answered with success %d, runs checked %d, of these at the upstream that took over the address %d, with another caller service than that of the machine %d", c.answered, c.runs, c.atMoved, c.wrong)
	switch {
	case c.answered < minAnswered:
		return rig.ExitFailed
	case c.wrong > 0:
		c.rec.Say("UNASKED is broken")
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}
