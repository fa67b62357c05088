package target

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
)

// counting is a transport to a target that answers each request.
type counting struct{ requests int }

// RoundTrip implements http.RoundTripper.
func (s *counting) RoundTrip(req *http.Request) (*http.Response, error) {
	s.requests++
	b, err := io.ReadAll(req.Body)
	return &http.Response{
		StatusCode: http.StatusOK, Header: make(http.Header), Request: req,
		Body: io.NopCloser(strings.NewReader(string(b))), ContentLength: int64(len(b)),
	}, err
}

// lost is a body whose caller has gone.
type lost struct{}

// Read implements io.Reader.
func (lost) Read([]byte) (int, error) { return 0, errors.New("lost") }

// stuck is a body whose caller's node is cut off: nothing comes until it is closed.
type stuck struct{ closed chan struct{} }

// Read implements io.Reader.
func (s stuck) Read([]byte) (int, error) {
	<-s.closed
	return 0, errors.New("closed")
}

// Close implements io.Closer.
func (s stuck) Close() error {
	close(s.closed)
	return nil
}

// newBodyHost is a host with a target of one slot behind a transport.
func newBodyHost(tr http.RoundTripper) *Targets {
	x := New(Deps{
		OnChange: func([]peer.Target) {}, CrashCount: func(uint64) int { return 0 },
		Log: event.New(io.Discard, true, logrus.ErrorLevel, "h"), Stall: time.Minute, AnnouncementTimeout: time.Hour,
		WrapTransport: func(http.RoundTripper) http.RoundTripper { return tr },
	})
	x.Configure(posting)
	x.HandleAnnouncement(Announcement{Service: "posting", Addr: address, Slots: 1, State: StateUp})
	return x
}

// sendHeld sends a request whose body of five bytes has been held back.
func sendHeld(x *Targets, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = 5
	r.Header.Set(HeaderService, "posting")
	r.Header.Set(HeaderDeadline, "60000")
	r.Header.Set(http1.HeaderHeld, "yes")
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	return w
}

// TestBodyNeverComes guards against a slot that is kept for a caller's node which has
// been cut off after it was asked for the body.
func TestBodyNeverComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tr := new(counting)
		x := newBodyHost(tr)
		defer x.Close()
		began := time.Now()
		w := sendHeld(x, stuck{make(chan struct{})})
		c.Check(time.Since(began), qt.Equals, heldBodyWithin)
		c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, kind.RanNo)
		c.Check(sendHeld(x, strings.NewReader("order")).Body.String(), qt.Equals, "order")
		c.Check(tr.requests, qt.Equals, 1)
	})
}

// TestBodyFirst guards against a request that runs although its caller's node has been
// told that it has not: a body that was held back is there before anything is sent to
// the target.
func TestBodyFirst(t *testing.T) {
	c := qt.New(t)
	tr := new(counting)
	x := newBodyHost(tr)
	defer x.Close()
	for range 2 { // the slot is free again
		w := sendHeld(x, lost{})
		c.Check(tr.requests, qt.Equals, 0)
		c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, kind.RanNo)
	}
	w := sendHeld(x, strings.NewReader("order"))
	c.Check(tr.requests, qt.Equals, 1)
	c.Check(w.Body.String(), qt.Equals, "order")
}
