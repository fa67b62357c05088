package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/http1"
	"briarrock.example/mesh/kind"
)

// TestCanceledAtStart guards against a call whose caller has disconnected that reaches its
// target since the gate starts it in the same moment. It must report that it did not run, and
// free its slot. A call that may run at most once is not cancelled later.
func TestCanceledAtStart(t *testing.T) {
	for _, once := range []string{"", "yes"} {
		c := qt.New(t)
		tr := new(echoTransport)
		x := newTargets(tr)
		defer x.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 100 { // a select between the start and the end of the context is random
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("order")).WithContext(ctx)
			r.Header.Set(HeaderService, "posting")
			r.Header.Set(HeaderDeadline, "60000")
			r.Header.Set(HeaderAtMostOnce, once)
			w := httptest.NewRecorder()
			x.ServeHTTP(w, r)
			c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, kind.RanNo)
		}
		c.Check(tr.requests, qt.Equals, 0)
		c.Check(sendHeld(x, strings.NewReader("order")).Body.String(), qt.Equals, "order")
	}
}

// TestCanceledWithBody guards against a call whose caller disconnects while its withheld body
// is read, and that reaches its target nevertheless.
func TestCanceledWithBody(t *testing.T) {
	c := qt.New(t)
	tr := new(echoTransport)
	x := newTargets(tr)
	defer x.Close()
	ctx, cancel := context.WithCancel(context.Background())
	r := httptest.NewRequest(http.MethodPost, "/", cancelingBody{strings.NewReader("order"), cancel}).WithContext(ctx)
	r.ContentLength = 5
	r.Header.Set(HeaderService, "posting")
	r.Header.Set(HeaderDeadline, "60000")
	r.Header.Set(HeaderAtMostOnce, "yes")
	r.Header.Set(http1.HeaderHeld, "yes")
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	c.Check(kind.ParseRan(w.Header().Get(kind.HeaderRan)), qt.Equals, kind.RanNo)
	c.Check(tr.requests, qt.Equals, 0)
	c.Check(sendHeld(x, strings.NewReader("order")).Body.String(), qt.Equals, "order")
}

// cancelingBody is a body whose sender disconnects after it was read.
type cancelingBody struct {
	r      *strings.Reader
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b cancelingBody) Read(p []byte) (int, error) {
	defer b.cancel()
	return b.r.Read(p)
}
