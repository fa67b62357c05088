package target

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
)

// sendVersion sends a call for targets of a version; any if it is empty.
func sendVersion(x *Targets, version string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set(HeaderService, "posting")
	r.Header.Set(HeaderDeadline, "200")
	if version != "" {
		r.Header.Set(HeaderVersion, version)
	}
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	return w
}

// TestVersion guards against a call that runs at a target of another version than it is for,
// because the target was replaced, against an answer that hides that there is no target at all,
// and against durations of cold targets that are not marked.
func TestVersion(t *testing.T) {
	c := qt.New(t)
	ts := newTargets(newFixedResponse(http.StatusOK, http.Header{}))
	defer ts.Close()
	announce := func(version, state string) {
		ts.HandleAnnouncement(Announcement{Service: "posting", Addr: address, Slots: 1, State: state, Version: version})
	}
	announce("v1", StateUp)
	w := sendVersion(ts, "v1")
	c.Check(w.Code, qt.Equals, http.StatusOK)
	c.Check(w.Header().Get(HeaderTook), qt.Not(qt.Equals), "")
	c.Check(w.Header().Get(HeaderCold), qt.Equals, "")
	announce("v2", StateCold)
	w = sendVersion(ts, "v1")
	c.Check(kindOf(w), qt.Equals, kind.Empty)
	c.Check(w.Header().Get(kind.HeaderRan), qt.Equals, "no")
	w = sendVersion(ts, "v2")
	c.Check(w.Code, qt.Equals, http.StatusOK)
	c.Check(w.Header().Get(HeaderCold), qt.Equals, "yes")
	w = sendVersion(ts, "")
	c.Check(w.Code, qt.Equals, http.StatusOK)
	c.Check(w.Header().Get(HeaderTook), qt.Equals, "")
	none := New(Deps{
		OnChange: func([]peer.Target) {}, CrashCount: func(uint64) int { return 0 },
		Log: event.New(io.Discard, true, logrus.ErrorLevel, "h"), StallTimeout: time.Minute, AnnouncementTimeout: time.Hour,
	})
	defer none.Close()
	none.Configure(postingConfig)
	w = sendVersion(none, "v2")
	c.Check(kindOf(w), qt.Equals, kind.Drain)
	c.Check(w.Header().Get(kind.HeaderRan), qt.Equals, "no")
}

// TestVersionsGossiped guards against versions that are sent where there are no roll-outs, or
// are not sent once there are, or after a target has changed its version.
func TestVersionsGossiped(t *testing.T) {
	c := qt.New(t)
	var last []peer.Target
	enabled := false
	x := New(Deps{
		OnChange: func(list []peer.Target) { last = list }, CrashCount: func(uint64) int { return 0 },
		Log: event.New(io.Discard, true, logrus.ErrorLevel, "h"), StallTimeout: time.Minute, AnnouncementTimeout: time.Hour,
		Versions: func() bool { return enabled },
	})
	defer x.Close()
	x.Configure(postingConfig)
	announce := func(version string) {
		x.HandleAnnouncement(Announcement{Service: "posting", Addr: address, Slots: 1, State: StateUp, Version: version})
	}
	announce("v1")
	c.Check(last[0].Version, qt.Equals, "")
	enabled = true
	x.Refresh()
	c.Check(last[0].Version, qt.Equals, "v1")
	announce("v2")
	c.Check(last[0].Version, qt.Equals, "v2")
}
