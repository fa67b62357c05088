// Command held is case 5: an upstream crashes once while it runs several requests for the
// same page, and comes back. The page is on a route that the operator has added. In steady
// state after that, the route must be served like the first one.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"briarrock.example/review/second/rig"
)

const (
	// crashTime is how long the upstream is down.
	crashTime = 4500 * time.Millisecond
	// settle is the time from the end of the crash until steady state: the upstream is
	// slow for some seconds after its start, and machines are in touch after contact.
	settle = 6 * time.Second
	steady = 15 * time.Second

	// One of addedUpstreams is less than a share of .14.
	addedUpstreams = 8
	machines       = 12

	trafficBefore = 4 * time.Second
	limit         = time.Second
	clients       = 4 // of each route, at each machine
	pause         = 100 * time.Millisecond
	// minRequests is the number of requests on the added route from which on the rule
	// applies; they must be served at least minShare as often as those on the first route.
	minRequests = 20
	minShare    = 0.25
)

const (
	firstRoute = "/view/"
	addedRoute = "/look/"
)

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/platform", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "where to write the record")
	trouble := flag.Bool("trouble", true, "whether the upstream crashes")
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
	c := &check{rec: rec, m: m, phase: "before", counts: make(map[string]*count)}
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

type count struct {
	sent, served, refused, other int
}

type check struct {
	rec       *rig.Record
	m         *rig.Mesh
	upstreams []*rig.Upstream

	mu     sync.Mutex
	phase  string
	counts map[string]*count // by phase and route
}

var services = []string{"ledger", "posting"}

func (c *check) routes(added bool) []rig.Route {
	routes := []rig.Route{{Name: "view", Host: "books.example", Prefix: firstRoute, Type: "safe", Service: "ledger", Timeout: limit, Target: 400 * time.Millisecond, Priority: 2}}
	if added {
		routes = append(routes, rig.Route{Name: "look", Host: "books.example", Prefix: addedRoute, Type: "safe", Service: "posting", Timeout: limit, Target: 400 * time.Millisecond, Priority: 2})
	}
	return routes
}

func (c *check) start() error {
	c.m.Configure(7, services, c.routes(false))
	for i := range machines {
		service := services[0]
		if i < addedUpstreams {
			service = services[1]
		}
		x := c.m.Add([]string{"erie-a", "erie-b"}[i%2], service)
		u := &rig.Upstream{ID: fmt.Sprintf("i-%d", i+1), Service: x.Service, Addr: x.App(), Control: x.Control(), Slots: 18, Work: 120 * time.Millisecond}
		if err := u.Start(c.rec); err != nil {
			return err
		}
		c.upstreams = append(c.upstreams, u)
	}
	return c.m.StartAll()
}

func (c *check) enter(phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
	c.rec.Printf("phase: %s", phase)
}

func (c *check) traffic(trouble bool) error {
	c.m.Configure(9, services, c.routes(true))
	c.rec.Say("a version adds the route %s", addedRoute)
	time.Sleep(rig.ConfigApply)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, x := range c.m.Machines {
		for range clients {
			wg.Go(func() { c.client(x, firstRoute, stop) })
			wg.Go(func() { c.client(x, addedRoute, stop) })
		}
	}
	defer wg.Wait()
	defer close(stop)
	time.Sleep(trafficBefore)
	c.enter("crash")
	if trouble {
		u := c.upstreams[0]
		for u.Running() < 2 {
			time.Sleep(time.Millisecond)
		}
		c.rec.Say("upstream %s of %s crashes", u.ID, u.Service)
		u.Close()
	}
	time.Sleep(crashTime)
	if trouble {
		u := c.upstreams[0]
		v := &rig.Upstream{ID: "i-back", Service: u.Service, Addr: u.Addr, Control: u.Control, Slots: u.Slots, Work: u.Work}
		if err := v.Start(c.rec); err != nil {
			return err
		}
		c.rec.Say("it is back as %s", v.ID)
	}
	time.Sleep(settle)
	c.enter("steady")
	time.Sleep(steady)
	c.enter("end")
	return nil
}

func (c *check) client(x *rig.Machine, prefix string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			c.request(x, prefix)
		}
	}
}

// request asks for the one page of a route.
func (c *check) request(x *rig.Machine, prefix string) {
	r := rig.Request{ID: rig.NewID(), Method: http.MethodGet, Host: "books.example", Path: prefix + "page", Limit: limit}
	conn, err := rig.Dial(x.Outbound())
	if err != nil {
		c.rec.Printf("%s: %v", r.ID, err)
		return
	}
	defer conn.Close()
	c.mu.Lock()
	n := c.counts[c.phase+" "+prefix]
	if n == nil {
		n = new(count)
		c.counts[c.phase+" "+prefix] = n
	}
	n.sent++
	c.mu.Unlock()
	sent := time.Now()
	c.rec.Printf("sent %s to %s (%s)", r.ID, x.Name, r.Path)
	if conn.Send(r) != nil {
		return
	}
	a, _ := conn.Receive(r, sent)
	c.rec.Printf("answer to %s: %d, error %v, after %v, Retry-After %q", r.ID, a.Status, a.Err, a.Took, a.Header.Get("Retry-After"))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.Whole(r.ID):
		n.served++
	case a.Status == http.StatusServiceUnavailable:
		n.refused++
	default:
		n.other++
	}
}

func (c *check) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := func(n *count) float64 { return float64(n.served) / float64(max(n.sent, 1)) }
	for _, phase := range []string{"before", "crash", "steady"} {
		for _, route := range []string{firstRoute, addedRoute} {
			n := c.counts[phase+" "+route]
			if n == nil {
				c.rec.Say("no requests in phase %s on %s", phase, route)
				return rig.ExitFailed
			}
			c.rec.Say("%-6s %s: %d requests, served %d, refused with 503 %d, else %d", phase, route, n.sent, n.served, n.refused, n.other)
		}
	}
	first, added := c.counts["steady "+firstRoute], c.counts["steady "+addedRoute]
	switch {
	case share(first) < 0.5 || added.sent < minRequests || share(c.counts["before "+addedRoute]) < 0.5:
		return rig.ExitFailed
	case share(added) < minShare*share(first):
		c.rec.Say("CONFIG is broken")
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}
