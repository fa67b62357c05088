package main

import (
	"fmt"
	"net/http"
	"time"

	"briarrock.example/review/internal/lab"
)

// Services of the small deployment, and the routes to them.
const (
	shelf = "shelfview"
	order = "orderdesk"

	shelfHost, shelfPath = "hulo84.example", "/leny950/"
	orderHost, orderPath = "jepu9.example", "/puka111/"
)

const config = `{"version":"00000007","routes":[
 {"name":"r-order","host":"jepu9.example","prefix":"/puka111/","routeType":"unsafe","timeout":"1200ms","targetLatency":"500ms","priority":1,"service":"orderdesk","maxAttempts":2},
 {"name":"r-shelf","host":"hulo84.example","prefix":"/leny950/","routeType":"safe","timeout":"1000ms","targetLatency":"400ms","priority":2,"service":"shelfview","maxAttempts":2}],
 "services":[{"name":"orderdesk","healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false},{"name":"shelfview","healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":8388608,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}`

// Time limits of the clients.
const (
	orderDeadline = 1200 * time.Millisecond
	shelfDeadline = 1000 * time.Millisecond
)

// deploy starts a machine with an upstream for each of the services, and waits until all of
// them serve.
func (e *env) deploy(services []string, change func(i int, u *lab.Upstream)) ([]*lab.Upstream, error) {
	e.Store.PutConfig(config)
	var upstreams []*lab.Upstream
	for _, s := range services {
		m := e.Add(s)
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	for i, m := range e.Machines {
		u := e.upstream(m, m.Service)
		if change != nil {
			change(i, u)
		}
		if err := u.Start(m.Control()); err != nil {
			return nil, err
		}
		upstreams = append(upstreams, u)
	}
	if err := e.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	return upstreams, e.awaitServing(20 * time.Second)
}

// upstream returns an upstream of a service on a machine.
func (e *env) upstream(m *lab.Machine, service string) *lab.Upstream {
	u := &lab.Upstream{
		ID: "i-" + lab.NewID()[:10], Service: service, Addr: m.App(), Slots: 6, Queue: 24, BodySize: 400,
		OnRun: e.runs.Add,
	}
	u.Work = func(*http.Request) time.Duration { return 120 * time.Millisecond }
	if service == order {
		u.Work = func(*http.Request) time.Duration { return 160 * time.Millisecond }
	}
	return u
}

// awaitServing waits until each node serves both routes.
func (e *env) awaitServing(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, m := range e.Machines {
		c := lab.NewClient(m)
		for {
			a := c.Send(http.MethodGet, shelfHost, shelfPath+"warm", nil, shelfDeadline)
			b := c.Send(http.MethodGet, orderHost, orderPath+"warm", nil, orderDeadline)
			if a.Status == http.StatusOK && b.Status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve: %d, %d", m.Name, a.Status, b.Status)
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.Close()
	}
	e.Record.Printf("all nodes serve")
	return nil
}
