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

// truncatedResponse is a transport to a target whose responses break off halfway.
type truncatedResponse struct{ length int64 }

// RoundTrip implements http.RoundTripper.
func (b truncatedResponse) RoundTrip(req *http.Request) (*http.Response, error) {
	half := strings.NewReader(strings.Repeat("x", int(b.length/2)))
	return &http.Response{
		StatusCode: http.StatusOK, Header: make(http.Header), Request: req, ContentLength: b.length,
		Body: io.NopCloser(io.MultiReader(half, iotest.ErrReader(errors.New("broken")))),
	}, nil
}

// TestLongAnswerBreaksOff guards against a truncated response that ends its exchange as if it
// were complete, when it is too long to be buffered.
func TestLongAnswerBreaksOff(t *testing.T) {
	c := qt.New(t)
	ts := newTargets(truncatedResponse{4 * relay.MaxBufferedResponse})
	defer ts.Close()
	defer func() { c.Check(recover(), qt.Equals, http.ErrAbortHandler) }()
	send(ts)
	c.Error("exchange ended as if the truncated response were complete")
}
