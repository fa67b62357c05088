package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Headers of clients and upstreams.
const (
	HeaderAttempt   = "Briarrock-Attempt-Id"
	HeaderDeadline  = "Briarrock-Deadline-Ms"
	HeaderExpected  = "Briarrock-Expected-Instance"
	HeaderSignature = "Briarrock-Response-Signature"
	HeaderCaller    = "Briarrock-Caller-Service"
)

// Upstream is a stand-in for one lifetime of an upstream.
type Upstream struct {
	ID      string
	Service string
	Addr    string
	// Control is where it sends its status reports.
	Control string
	Slots   int
	// Work is the time that a request takes.
	Work time.Duration
	// Size returns the length of the answer to a request.
	Size func(r *http.Request) int
	// Unframed reports whether the answer to a request has no length and ends with its
	// connection.
	Unframed func(r *http.Request) bool
	// BreakOff reports whether the upstream breaks off its answer to a request.
	BreakOff func() bool
	// Ran is called when the upstream begins to work on a request.
	Ran func(u *Upstream, r *http.Request)

	rec   *Record
	born  int64
	seq   atomic.Int64
	slots chan struct{}
	srv   *http.Server
	stop  context.CancelFunc
}

// Start starts the upstream and its status reports.
func (u *Upstream) Start(rec *Record) error {
	l, err := net.Listen("tcp", u.Addr)
	if err != nil {
		return err
	}
	u.rec, u.born, u.slots = rec, time.Now().UnixMilli(), make(chan struct{}, u.Slots)
	ctx, stop := context.WithCancel(context.Background())
	u.stop = stop
	u.srv = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = u.srv.Serve(l) }()
	go u.report(ctx)
	return nil
}

// Running returns the number of requests that the upstream works on.
func (u *Upstream) Running() int { return len(u.slots) }

// Close ends the upstream at once.
func (u *Upstream) Close() {
	u.stop()
	_ = u.srv.Close()
}

var controlClient = &http.Client{Timeout: time.Second}

// Report sends one status report, and returns whether it was acknowledged.
func (u *Upstream) Report(state string) bool {
	b, _ := json.Marshal(map[string]any{
		"service": u.Service, "address": u.Addr, "zone": "erie-a", "version": "v1", "slots": u.Slots, "state": state,
		"warmupLeft": "0ms", "sequence": u.seq.Add(1), "born": u.born,
	})
	return u.post("instances.heartbeat", b)
}

// Deregister tells that the upstream leaves, and returns whether that was acknowledged.
func (u *Upstream) Deregister() bool { return u.post("instances.deregister", nil) }

func (u *Upstream) post(call string, body []byte) bool {
	res, err := controlClient.Post("http://"+u.Control+"/briarrock/rpc?call="+call+"&of="+u.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

func (u *Upstream) report(ctx context.Context) {
	for ctx.Err() == nil {
		u.Report("ready")
		select {
		case <-ctx.Done():
		case <-time.After(Heartbeat):
		}
	}
}

// Body returns the whole answer to a request with this id, and Signature its signature.
func Body(id string, size int) []byte {
	r := rand.New(rand.NewPCG(hashOf([]byte(id)), 1))
	b := make([]byte, size)
	for i := range b {
		b[i] = byte('a' + r.IntN(26))
	}
	return b
}

// Signature returns the signature of an upstream's answer.
func Signature(id string, body []byte) string {
	return fmt.Sprintf("%s.%x", id, hashOf(body))
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Briarrock-Instance-Id", u.ID)
		return
	}
	id := r.Header.Get(HeaderAttempt)
	w.Header().Set(HeaderAttempt, id)
	if x := r.Header.Get(HeaderExpected); x != "" && x != u.ID {
		w.Header().Set("Briarrock-Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, err := strconv.Atoi(r.Header.Get(HeaderDeadline))
	if err != nil {
		left = 60000
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	select {
	case u.slots <- struct{}{}:
	case <-deadline.C:
		w.Header().Set("Briarrock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	u.rec.Printf("run %s at %s (%s) from %q", id, u.ID, u.Service, r.Header.Get(HeaderCaller))
	if u.Ran != nil {
		u.Ran(u, r)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-time.After(u.Work):
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	size := 400
	if u.Size != nil {
		size = u.Size(r)
	}
	body := Body(id, size)
	w.Header().Set(HeaderSignature, Signature(id, body))
	if u.Unframed != nil && u.Unframed(r) {
		w.Header().Set("Transfer-Encoding", "identity") // no length and no chunks
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Header().Set("Keep-Alive", "timeout=10")
	}
	if u.BreakOff != nil && u.BreakOff() {
		u.rec.Printf("breaks off %s at %s", id, u.ID)
		u.breakOff(w, body[:size/2])
		return
	}
	_, _ = w.Write(body)
}

// breakOff sends the beginning of an answer and resets the connection.
func (u *Upstream) breakOff(w http.ResponseWriter, beginning []byte) {
	const onTheWay = 5 * time.Millisecond
	_, _ = w.Write(beginning)
	ctl := http.NewResponseController(w)
	_ = ctl.Flush()
	time.Sleep(onTheWay)
	conn, _, err := ctl.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
