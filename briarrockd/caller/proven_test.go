package caller

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/snapshot"
)

// TestUnproven checks which calls a node serves while it can't prove that its version is
// the newest one. A key may then have been taken away, and one that it doesn't know may
// have been added, so that 401 would be false. Open routes are served, but not for the key's
// workspace.
func TestUnproven(t *testing.T) {
	c := qt.New(t)
	p, tr := newWorkspaceProxy(func(d *Deps) { d.Proven = func() bool { return false } })
	for _, key := range []string{eastKey, "north-key"} {
		w := callWithKeys(p, "http://desk.example/a", key)
		c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(w.Header().Get(kind.HeaderKind), qt.Equals, string(kind.Unproven))
		c.Check(w.Header().Get(kind.HeaderRan), qt.Equals, "no")
		ms, err := strconv.Atoi(w.Header().Get(kind.HeaderAfter))
		c.Assert(err, qt.IsNil)
		c.Check(ms >= 100 && ms <= 300, qt.IsTrue, qt.Commentf("%d ms", ms))
	}
	c.Check(tr.headers, qt.HasLen, 0)
	c.Check(callWithKeys(p, "http://desk.example/open", eastKey).Code, qt.Equals, http.StatusOK)
	c.Assert(tr.headers, qt.HasLen, 1)
	c.Check(tr.headers[0].Values(target.HeaderWorkspace), qt.HasLen, 0)
	c.Check(tr.headers[0].Get(target.HeaderPriority), qt.Equals, strconv.Itoa(int(snapshot.Normal)))
	c.Check(callWithKeys(p, "http://desk.example/a").Code, qt.Equals, http.StatusUnauthorized)
	c.Check(callWithKeys(p, "http://desk.example/open").Code, qt.Equals, http.StatusOK)
	c.Check(callWithKeys(p, "http://desk.example/open", "north-key").Code, qt.Equals, http.StatusOK)
}

// TestTableProven guards against a key that is looked up in an older table than the one that
// was proven: a version without the key comes into use while the call is admitted.
func TestTableProven(t *testing.T) {
	c := qt.New(t)
	var p *Proxy
	p, tr := newWorkspaceProxy(func(d *Deps) {
		d.Proven = func() bool {
			s := workspaceSnapshot()
			s.Workspaces = s.Workspaces[1:]
			p.SetTable(NewTable(2, s, members()))
			return true
		}
	})
	w := callWithKeys(p, "http://desk.example/a", eastKey)
	c.Check(w.Code, qt.Equals, http.StatusUnauthorized)
	c.Check(tr.headers, qt.HasLen, 0)
}

// TestKeyAtStart sends calls to a node without a configuration.
//
// An unknown version may know the key, so such a node must not answer 401 or 404. A call
// that waits for the configuration keeps its key. The first table may be behind: a call with
// a key that it lacks waits for the next one, which knows the key, and one without a key, or
// with a malformed one, is not held.
func TestKeyAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, tr := newWorkspaceProxy(nil)
		p.table.Store(nil)
		began := time.Now()
		w := callWithKeys(p, "http://desk.example/a", "north-key")
		c.Check(time.Since(began), qt.Equals, maxStartupWait)
		c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(w.Header().Get(kind.HeaderKind), qt.Equals, string(kind.Config))

		const newKey = "east-key-3"
		go func() {
			time.Sleep(100 * time.Millisecond)
			p.SetTable(NewTable(1, workspaceSnapshot(), nil))
			time.Sleep(100 * time.Millisecond)
			s := workspaceSnapshot()
			s.Workspaces[0].Keys = append(s.Workspaces[0].Keys, snapshot.HashKey(newKey))
			p.SetTable(NewTable(2, s, members()))
		}()
		began = time.Now()
		var wg sync.WaitGroup
		for _, x := range []struct {
			keys   []string
			status int
			took   time.Duration
		}{
			{[]string{eastKey}, http.StatusOK, 200 * time.Millisecond},
			{[]string{newKey}, http.StatusOK, 200 * time.Millisecond},
			{[]string{"north-key"}, http.StatusUnauthorized, 200 * time.Millisecond},
			{nil, http.StatusUnauthorized, 100 * time.Millisecond},
			{[]string{eastKey, eastKey}, http.StatusUnauthorized, 100 * time.Millisecond},
		} {
			wg.Go(func() {
				c.Check(callWithKeys(p, "http://desk.example/a", x.keys...).Code, qt.Equals, x.status, qt.Commentf("%q", x.keys))
				c.Check(time.Since(began), qt.Equals, x.took, qt.Commentf("%q", x.keys))
			})
		}
		wg.Wait()
		c.Assert(tr.headers, qt.HasLen, 2)
		for _, h := range tr.headers {
			c.Check(h.Get(target.HeaderWorkspace), qt.Equals, "east")
		}
	})
}

// TestProofAtStart guards against a 503 at a node that has just started and gets the proof of
// its version shortly after the version. Calls that need no key do not wait for it, and at a
// node that gets no proof no call waits for longer than for targets.
func TestProofAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var proven atomic.Bool
		p, _ := newWorkspaceProxy(func(d *Deps) { d.Proven = proven.Load })
		check := func(path string, status int, took time.Duration, keys ...string) {
			began := time.Now()
			c.Check(callWithKeys(p, "http://desk.example"+path, keys...).Code, qt.Equals, status, qt.Commentf("%s %q", path, keys))
			c.Check(time.Since(began), qt.Equals, took, qt.Commentf("%s %q", path, keys))
		}
		check("/a", http.StatusServiceUnavailable, maxStartupWait, eastKey)
		check("/a", http.StatusUnauthorized, 0)
		check("/open", http.StatusOK, 0, eastKey)
		go func() {
			time.Sleep(100 * time.Millisecond)
			proven.Store(true)
			p.NotifyProof()
		}()
		check("/a", http.StatusOK, 100*time.Millisecond, eastKey)
		proven.Store(false)
		time.Sleep(startupPeriod)
		check("/a", http.StatusServiceUnavailable, 0, eastKey)
	})
}
