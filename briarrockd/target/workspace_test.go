package target

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// headerTransport is a transport to a target that keeps the headers of the last request.
type headerTransport struct{ header http.Header }

// RoundTrip implements http.RoundTripper.
func (x *headerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	x.header = req.Header
	return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: http.NoBody, Request: req}, nil
}

// TestWorkspaceToTarget checks that a target gets the workspace's name from its node, and no
// key, whatever else the request contains.
func TestWorkspaceToTarget(t *testing.T) {
	c := qt.New(t)
	tr := &headerTransport{}
	ts := newTargets(tr)
	defer ts.Close()
	for _, workspace := range []string{"east", ""} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(HeaderService, "posting")
		r.Header.Set(HeaderDeadline, "200")
		r.Header.Set("Briarrock-Key", "east-key")
		r.Header.Set("Connection", HeaderWorkspace)
		if workspace != "" {
			r.Header.Set(HeaderWorkspace, workspace)
		}
		w := httptest.NewRecorder()
		ts.ServeHTTP(w, r)
		c.Check(w.Code, qt.Equals, http.StatusOK)
		c.Check(tr.header.Get(HeaderWorkspace), qt.Equals, workspace)
		c.Check(tr.header.Values("Briarrock-Key"), qt.HasLen, 0)
	}
}
