package lab

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	ID        string
	Status    int // 0 if the connection ended without an answer
	Signature string
	EchoedID  string
	Body      []byte
	Err       error
	Retry     time.Duration // of Retry-After
	SentAt    time.Time
	Took      time.Duration
}

// Client sends requests to one node and keeps its connections open.
type Client struct {
	addr string
	http *http.Client
}

// NewClient returns a client of a machine's node.
func NewClient(m *Machine) *Client {
	dial := &net.Dialer{Timeout: time.Second}
	return &Client{addr: m.Outbound(), http: &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, MaxIdleConnsPerHost: 1000, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}}
}

// Send sends one attempt. headers are further headers.
func (c *Client) Send(method, host, path string, body []byte, deadline time.Duration, headers ...string) Answer {
	a := Answer{ID: NewID(), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.GetBody = nil // the client decides itself what is sent again
	req.Host = host
	req.Header["Briarrock-Attempt-Id"] = []string{a.ID}
	req.Header.Set("Briarrock-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := c.http.Do(req)
	if err == nil {
		a.Status, a.Signature, a.EchoedID = res.StatusCode, res.Header.Get("Briarrock-Response-Signature"), res.Header.Get("Briarrock-Attempt-Id")
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			a.Retry = time.Duration(s * float64(time.Second))
		}
		a.Body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	a.Err, a.Took = err, time.Since(a.SentAt)
	return a
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Runs counts how often each request ran.
type Runs struct {
	mu   sync.Mutex
	rec  *Record
	byID map[string][]Run
}

// NewRuns returns an empty count that writes each run to the record.
func NewRuns(rec *Record) *Runs { return &Runs{rec: rec, byID: make(map[string][]Run)} }

// Add counts a run.
func (r *Runs) Add(x Run) {
	r.rec.Printf("run      id=%s by=%s (%s) caller=%q %s %s", x.ID, x.Instance, x.Service, x.Caller, x.Method, x.Path)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[x.ID] = append(r.byID[x.ID], x)
}

// Of returns the runs of a request.
func (r *Runs) Of(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.byID[id]...)
}

// Log writes an answer to the record.
func (a Answer) Log(rec *Record, m *Machine, what string) {
	end := ""
	if a.Err != nil {
		end = " err=" + strings.ReplaceAll(a.Err.Error(), "\n", " ")
	}
	rec.Printf("answered id=%s at=%s %s status=%d signature=%q ms=%d%s", a.ID, m.Name, what, a.Status, a.Signature, a.Took.Milliseconds(), end)
}
