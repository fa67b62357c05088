package main

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"briarrock.example/review/internal/lab"
)

func init() { cases["settings"] = testCase{run: runSettings} }

// Bounds of the small deployments.
const (
	reuseAfter  = 2 * time.Second
	configApply = 2500 * time.Millisecond
	contact     = 3 * time.Second
)

// runSettings replaces the upstream of one of eight machines by one of another service at
// the same address. The machine's settings file is changed first, and the node gets SIGHUP.
func runSettings(e *env) (int, error) {
	upstreams, err := e.deploy([]string{shelf, order, shelf, order, shelf, order, shelf, order}, nil)
	if err != nil {
		return 0, err
	}
	m := e.Machines[0]
	type sent struct {
		lab.Answer
		machine *lab.Machine
	}
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []sent
		stop    atomic.Bool
	)
	for _, from := range e.Machines {
		wg.Go(func() {
			c := lab.NewClient(from)
			defer c.Close()
			for !stop.Load() {
				a := c.Send(http.MethodGet, shelfHost, shelfPath+"look", nil, shelfDeadline)
				a.Log(e.Record, from, "look")
				b := c.Send(http.MethodPost, orderHost, orderPath+"order", []byte("one order"), orderDeadline)
				b.Log(e.Record, from, "order")
				mu.Lock()
				answers = append(answers, sent{a, from}, sent{b, from})
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	defer func() { stop.Store(true); wg.Wait() }()
	time.Sleep(3 * time.Second)
	changedAt := time.Now()
	if e.trouble {
		upstreams[0].Crash()
		e.Record.Printf("trouble  the upstream of %s (%s) ended for good", m.Name, m.Service)
		time.Sleep(reuseAfter + time.Second)
		m.Service = order
		if err := m.WriteSettings(); err != nil {
			return 0, err
		}
		m.Signal(syscall.SIGHUP)
		changedAt = time.Now()
		e.Record.Printf("trouble  the settings of %s now have service=%s; SIGHUP sent", m.Name, m.Service)
		time.Sleep(500 * time.Millisecond)
		u := e.upstream(m, order)
		if err := u.Start(m.Control()); err != nil {
			return 0, err
		}
		time.Sleep(configApply + contact)
		if u.Acked() != http.StatusOK {
			return 0, errors.New("the node does not acknowledge the new upstream")
		}
		e.Record.Printf("trouble  the node acknowledges the upstream %s of %s", u.ID, u.Service)
	} else {
		time.Sleep(configApply + contact)
	}
	time.Sleep(5 * time.Second)
	stop.Store(true)
	wg.Wait()
	violations, checked := 0, 0
	for _, a := range answers {
		if a.SentAt.Before(changedAt.Add(configApply + contact)) {
			continue
		}
		for _, r := range e.runs.Of(a.ID) {
			checked++
			if r.Caller != a.machine.Service {
				violations++
				e.Record.Printf("UNASKED  id=%s began at %s (%s) and ran with caller=%q", a.ID, a.machine.Name, a.machine.Service, r.Caller)
			}
		}
	}
	if checked == 0 {
		return 0, errors.New("no request ran")
	}
	e.Record.Printf("%d runs checked", checked)
	return violations, nil
}
