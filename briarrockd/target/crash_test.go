package target

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/snapshot"
)

// crashingTarget is a transport to a target that crashes once it has a number of requests.
type crashingTarget struct{ requests sync.WaitGroup }

// RoundTrip implements http.RoundTripper.
func (x *crashingTarget) RoundTrip(req *http.Request) (*http.Response, error) {
	x.requests.Done()
	x.requests.Wait()
	return truncatedResponse{length: 10}.RoundTrip(req)
}

// TestCrashID guards against one crash that the requests in flight report as several, and
// against crashes of two processes that are reported as one.
func TestCrashID(t *testing.T) {
	c := qt.New(t)
	const requests = 3
	var mu sync.Mutex
	reports := make(map[uint64]int) // by the ID of the crash
	tr := new(crashingTarget)
	x := New(Deps{
		OnChange: func([]peer.Target) {}, CrashCount: func(uint64) int { return 0 },
		OnCrash: func(m peer.Crashed) {
			mu.Lock()
			defer mu.Unlock()
			reports[m.ID]++
		},
		Log: event.New(io.Discard, true, logrus.ErrorLevel, "h"), StallTimeout: time.Minute, AnnouncementTimeout: time.Hour,
		WrapTransport: func(http.RoundTripper) http.RoundTripper { return tr },
	})
	defer x.Close()
	x.Configure(&snapshot.Snapshot{Services: []snapshot.Service{{Name: "posting", Slots: requests, Queue: snapshot.QueueBySlots}}})
	// Nobody listens at the address after the crash.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	for start := range 2 {
		x.HandleAnnouncement(Announcement{Service: "posting", Addr: l.Addr().String(), Slots: requests, State: StateUp, StartMillis: int64(start + 1)})
		tr.requests.Add(requests)
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() {
				r := httptest.NewRequest(http.MethodGet, "/", nil)
				r.Header.Set(HeaderService, "posting")
				r.Header.Set(HeaderDeadline, "60000")
				r.Header.Set(HeaderFingerprint, strconv.FormatUint(7, 16))
				w := httptest.NewRecorder()
				x.ServeHTTP(w, r)
				c.Check(w.Code, qt.Equals, http.StatusBadGateway)
			})
		}
		wg.Wait()
	}
	c.Check(reports, qt.HasLen, 2)
	for _, n := range reports {
		c.Check(n, qt.Equals, requests)
	}
}
