package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"briarrock.example/review/internal/lab"
)

func init() { cases["stuck"] = testCase{run: runStuck} }

// shelfClients is the number of clients of shelfview.
const shelfClients = 8

// laterPath is the prefix of the route to orderdesk that is added later.
const laterPath = "/later33/"

// laterConfig is the first version with one more route to orderdesk.
func laterConfig() string {
	route := `{"name":"r-later","host":"jepu9.example","prefix":"/later33/","routeType":"unsafe","timeout":"1200ms","targetLatency":"500ms","priority":1,"service":"orderdesk","maxAttempts":2},`
	return strings.Replace(strings.Replace(config, "00000007", "00000009", 1), `"routes":[`, `"routes":[`+route, 1)
}

func runStuck(e *env) (int, error) {
	var proxies []*lab.Proxy
	defer func() {
		for _, p := range proxies {
			p.Close()
		}
	}()
	var proxyErr error
	_, err := e.deploy([]string{shelf, order, shelf, order, shelf, order, shelf, order}, func(_ int, u *lab.Upstream) {
		u.EarlyHeader = true
		u.Listen = strings.Replace(u.Addr, ":8301", ":8311", 1)
		p, err := lab.NewProxy(u.Addr, u.Listen)
		if err != nil {
			proxyErr = err
			return
		}
		proxies = append(proxies, p)
	})
	if err = errors.Join(err, proxyErr); err != nil {
		return 0, err
	}
	type sent struct {
		lab.Answer
		path string
	}
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []sent
		stop    atomic.Bool
		later   atomic.Bool
	)
	send := func(m *lab.Machine, c *lab.Client, method, host, path string, deadline time.Duration) {
		a := c.Send(method, host, path+"x", []byte("a request"), deadline)
		a.Log(e.Record, m, path)
		mu.Lock()
		answers = append(answers, sent{a, path})
		mu.Unlock()
		time.Sleep(a.Retry + time.Duration(rand.IntN(30))*time.Millisecond)
	}
	for i := range orderClients + shelfClients {
		m := e.Machines[i%len(e.Machines)]
		wg.Go(func() {
			c := lab.NewClient(m)
			defer c.Close()
			for !stop.Load() {
				switch {
				case i >= orderClients:
					send(m, c, http.MethodGet, shelfHost, shelfPath, shelfDeadline)
				case later.Load() && i%2 == 0:
					send(m, c, http.MethodPost, orderHost, laterPath, orderDeadline)
				default:
					send(m, c, http.MethodPost, orderHost, orderPath, orderDeadline)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if e.trouble {
		n := 0
		for _, p := range proxies {
			n += p.Silence()
		}
		e.Record.Printf("trouble  %d open connections to upstreams go silent", n)
	}
	time.Sleep(8 * time.Second)
	e.Store.PutConfig(laterConfig())
	e.Record.Printf("config   version 9 acknowledged: one more route")
	time.Sleep(configApply)
	later.Store(true)
	from := time.Now()
	time.Sleep(30 * time.Second)
	stop.Store(true)
	wg.Wait()
	type share struct{ n, served int }
	shares := map[string]*share{shelfPath: {}, orderPath: {}, laterPath: {}}
	for _, a := range answers {
		if a.SentAt.Before(from) {
			continue
		}
		s := shares[a.path]
		s.n++
		if a.Status == http.StatusOK {
			s.served++
		}
	}
	for path, s := range shares {
		e.Record.Printf("%s: %d of %d requests served", path, s.served, s.n)
	}
	time.Sleep(3 * time.Second)
	for _, m := range e.Machines {
		e.Record.Printf("%s (%s) without any request: %s", m.Name, m.Service, m.Metric("briarrock_target_running"))
	}
	if s := shares[laterPath]; s.n < 20 {
		return 0, errors.New("fewer than 20 requests on the later route")
	}
	first := shares[shelfPath].n + shares[orderPath].n
	served := shares[shelfPath].served + shares[orderPath].served
	if s := shares[laterPath]; 4*s.served*first < served*s.n {
		return s.n - s.served, nil
	}
	return 0, nil
}
