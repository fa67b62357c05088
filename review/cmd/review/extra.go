package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarrock.example/review/internal/lab"
)

func init() { cases["extra"] = testCase{run: runExtra} }

// Doses of the faulty upstreams: half of the service's, three in a hundred answers, 5 s.
const (
	extraEvery    = 34 // every 34th answer of an upstream, less than 3 in 100
	extraFor      = 5 * time.Second
	extraDelay    = 40 * time.Millisecond
	orderClients  = 28
	afterTroubles = 2 * time.Second
)

// shedExample is an upstream's rejection as the examples of messages show it.
var shedExample = []byte("HTTP/1.1 503 Service Unavailable\r\nBriarrock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")

func runExtra(e *env) (int, error) {
	var faulty atomic.Bool
	_, err := e.deploy([]string{order, order, order, order, shelf, shelf, shelf, shelf}, func(i int, u *lab.Upstream) {
		if i >= 2 {
			return
		}
		var answered atomic.Int64
		u.After = func(req *http.Request, write func([]byte)) {
			if !faulty.Load() || answered.Add(1)%extraEvery != 0 {
				return
			}
			e.Record.Printf("extra    bytes %v after the answer to id=%s by=%s", extraDelay, req.Header.Get("Briarrock-Attempt-Id"), u.ID)
			time.AfterFunc(extraDelay, func() { write(shedExample) })
		}
	})
	if err != nil {
		return 0, err
	}
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []lab.Answer
		stop    atomic.Bool
	)
	body := bytes.Repeat([]byte("o"), 1200)
	for i := range orderClients {
		m := e.Machines[i%len(e.Machines)]
		wg.Go(func() {
			c := lab.NewClient(m)
			defer c.Close()
			for !stop.Load() {
				a := c.Send(http.MethodPost, orderHost, orderPath+"order", body, orderDeadline)
				a.Log(e.Record, m, "order")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(a.Retry + time.Duration(rand.IntN(20))*time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if e.trouble {
		faulty.Store(true)
		e.Record.Printf("trouble  two upstreams of %s send further bytes after answers", order)
	}
	time.Sleep(extraFor)
	faulty.Store(false)
	time.Sleep(afterTroubles)
	stop.Store(true)
	wg.Wait()
	twice, refused, served := 0, 0, 0
	for _, a := range answers {
		runs := e.runs.Of(a.ID)
		if a.Status == http.StatusOK {
			served++
		}
		if len(runs) > 1 {
			twice++
			e.Record.Printf("TWICE    id=%s ran %d times, status=%d", a.ID, len(runs), a.Status)
		}
		if (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) && len(runs) > 0 {
			refused++
			e.Record.Printf("REFUSED  id=%s was answered %d and ran at %s", a.ID, a.Status, runs[0].Instance)
		}
	}
	e.Record.Printf("%d orders, %d served; %d ran twice, %d were refused and ran", len(answers), served, twice, refused)
	return twice, nil
}
