package target

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/relay"
)

// breaking is a transport to a target whose answers break off halfway.
type breaking struct{ length int64 }

// RoundTrip implements http.RoundTripper.
func (b breaking) RoundTrip(req *http.Request) (*http.Response, error) {
	half := strings.NewReader(strings.Repeat("x", int(b.length/2)))
	return &http.Response{
		StatusCode: http.StatusOK, Header: make(http.Header), Request: req, ContentLength: b.length,
		Body: io.NopCloser(io.MultiReader(half, iotest.ErrReader(errors.New("broken")))),
	}, nil
}

// TestLongAnswerBreaksOff guards against an answer that is too long to be read whole,
// breaks off and ends its exchange as if it were complete.
func TestLongAnswerBreaksOff(t *testing.T) {
	c := qt.New(t)
	ts := newBodyHost(breaking{4 * relay.MaxBufferedResponse})
	defer ts.Close()
	defer func() { c.Check(recover(), qt.Equals, http.ErrAbortHandler) }()
	send(ts)
	c.Error("the exchange has ended as if the answer were complete")
}
