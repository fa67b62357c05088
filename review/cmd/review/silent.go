package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"briarrock.example/review/internal/lab"
)

func init() { cases["silent"] = testCase{run: runSilent} }

// Bounds of the small deployments.
const (
	configApply = 2500 * time.Millisecond
	contact     = 3 * time.Second
)

// changedConfig is the next version: the route to shelfview has another prefix.
func changedConfig(version, prefix string) string {
	return strings.Replace(strings.Replace(config, "00000007", version, 1), shelfPath, prefix, 1)
}

func runSilent(e *env) (int, error) {
	proxy, err := lab.NewProxy(strings.Replace(e.Store.Addr, ":8309", ":8310", 1), e.Store.Addr)
	if err != nil {
		return 0, err
	}
	defer proxy.Close()
	e.StoreAddr = proxy.Addr
	if _, err := e.deploy([]string{shelf, order, shelf, order}, nil); err != nil {
		return 0, err
	}
	if err := e.rollTerm(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	e.Record.Printf("open connections to the store: %v", proxy.Open())
	e.Store.PutConfig(changedConfig("00000009", "/middle1/"))
	e.Record.Printf("config   version 9 acknowledged")
	time.Sleep(2100 * time.Millisecond)
	silencedAt := time.Now()
	if e.trouble {
		e.Record.Printf("trouble  %d open connections to the store go silent", proxy.Silence())
	}
	time.Sleep(50 * time.Millisecond)
	e.Store.PutConfig(changedConfig("0000000b", "/newer22/"))
	ackedAt := time.Now()
	e.Record.Printf("config   version b acknowledged")
	type sent struct {
		lab.Answer
		machine *lab.Machine
		path    string
	}
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []sent
		stop    atomic.Bool
	)
	for _, m := range e.Machines {
		for _, path := range []string{"/middle1/x", "/newer22/x"} {
			wg.Go(func() {
				c := lab.NewClient(m)
				defer c.Close()
				for !stop.Load() {
					a := c.Send(http.MethodGet, shelfHost, path, nil, shelfDeadline)
					a.Log(e.Record, m, path)
					mu.Lock()
					answers = append(answers, sent{a, m, path})
					mu.Unlock()
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(9 * time.Second)
	stop.Store(true)
	wg.Wait()
	violations, last := 0, time.Duration(0)
	for _, a := range answers {
		old := a.path == "/middle1/x" && len(e.runs.Of(a.ID)) > 0 || a.path == "/newer22/x" && a.Status == http.StatusNotFound
		if !old {
			continue
		}
		last = max(last, a.SentAt.Sub(ackedAt))
		if a.SentAt.Sub(ackedAt) > configApply && a.SentAt.Sub(silencedAt) > contact {
			violations++
			e.Record.Printf("CONFIG   id=%s at %s %s status=%d, sent %d ms after the acknowledgement", a.ID, a.machine.Name, a.path, a.Status, a.SentAt.Sub(ackedAt).Milliseconds())
		}
	}
	if len(answers) == 0 {
		return 0, errors.New("no request was sent")
	}
	e.Record.Printf("the older version was last seen %d ms after the acknowledgement", last.Milliseconds())
	return violations, nil
}

// rollTerm stops and starts the machines in turn, one at a time.
func (e *env) rollTerm() error {
	const gap = 1300 * time.Millisecond
	for _, m := range e.Machines {
		e.Record.Printf("planned  SIGTERM to %s", m.Name)
		m.Signal(syscall.SIGTERM)
		select {
		case <-m.Exited():
		case <-time.After(6 * time.Second):
			m.Kill()
		}
		m.Bootstrap = false
		if err := m.Start(); err != nil {
			return err
		}
		e.Record.Printf("planned  %s started again", m.Name)
		time.Sleep(gap)
	}
	if err := e.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	return e.awaitServing(20 * time.Second)
}
