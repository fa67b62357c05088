package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// NewID returns the id of a new client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request is one client attempt.
type Request struct {
	ID, Method, Host, Path string
	Body                   []byte
	Limit                  time.Duration // what the client says in Briarrock-Deadline-Ms
}

// Answer is what a client got for an attempt. Err is set if there is no complete answer.
type Answer struct {
	Status int
	Body   []byte
	Header http.Header
	Err    error
	Took   time.Duration
}

// Whole reports whether the answer is a success with the upstream's whole body.
func (a *Answer) Whole(id string) bool {
	return a.Err == nil && a.Status == http.StatusOK && a.Header.Get(HeaderAttempt) == id && bytes.Equal(a.Body, Body(id, len(a.Body))) && a.Header.Get(HeaderSignature) != ""
}

// Conn is a client's connection to the outbound address of its machine.
type Conn struct {
	nc net.Conn
	br *bufio.Reader
}

// Dial opens a connection.
func Dial(addr string) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{nc, bufio.NewReader(nc)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// Send sends requests one behind the other, without waiting for answers.
func (c *Conn) Send(requests ...Request) error {
	var b bytes.Buffer
	for _, r := range requests {
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, r.Host, HeaderAttempt, r.ID, HeaderDeadline, r.Limit.Milliseconds())
		if r.Method == http.MethodPost {
			fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
		}
		b.WriteString("\r\n")
		b.Write(r.Body)
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(requests[0].Limit))
	_, err := c.nc.Write(b.Bytes())
	return err
}

// Receive reads the answer to a request, which was sent at the given time, until its limit.
// closes is set if the connection carries no further answer.
func (c *Conn) Receive(r Request, sent time.Time) (a Answer, closes bool) {
	_ = c.nc.SetReadDeadline(sent.Add(r.Limit))
	defer func() { a.Took = time.Since(sent) }()
	res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}, true
	}
	b, err := io.ReadAll(res.Body)
	return Answer{Status: res.StatusCode, Body: b, Header: res.Header, Err: err}, err != nil || res.Close
}
