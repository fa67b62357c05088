package caller

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"briarrock.example/briarrockd/claim"
	"briarrock.example/briarrockd/target"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/kind"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// headerRecorder is a transport that keeps the headers of the requests, and answers by
// scriptedTransport.
type headerRecorder struct {
	scriptedTransport
	headers []http.Header
}

// RoundTrip implements http.RoundTripper.
func (h *headerRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	h.mu.Lock()
	h.headers = append(h.headers, req.Header)
	h.mu.Unlock()
	return h.scriptedTransport.RoundTrip(req)
}

// countingAllowance is an Allowance that refuses workspaces without tokens.
type countingAllowance struct {
	mu     sync.Mutex
	tokens map[string]int
	taken  int
}

// Take implements Allowance.
func (a *countingAllowance) Take(workspace string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens[workspace] == 0 {
		return 70 * time.Millisecond, false
	}
	a.tokens[workspace]--
	a.taken++
	return 0, true
}

// Return implements Allowance.
func (a *countingAllowance) Return(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens[workspace]++
}

const (
	eastKey    = "east-key-1"
	eastNewKey = "east-key-2"
	westKey    = "west-key"
)

// workspaceSnapshot has the workspaces east, with two keys and a priority, west, and idle,
// which has lost its last key. Routes are reached by an entry and by service name; those
// below /open are open.
func workspaceSnapshot() *snapshot.Snapshot {
	urgent := snapshot.Urgent
	destinations := []snapshot.Destination{{Service: "orderdesk", Weight: 1}}
	route := snapshot.Route{Path: "/", Deadline: time.Second, Priority: snapshot.Normal}
	open := route
	open.Path, open.Open = "/open", true
	once := route
	once.Path, once.Mode = "/once", snapshot.Once
	return &snapshot.Snapshot{
		Services: []snapshot.Service{{Name: "orderdesk", Slots: 6, Routes: []snapshot.Route{route, open, once}}},
		Entries: []snapshot.Entry{
			{Name: "all", Host: "desk.example", Route: route, Destinations: destinations},
			{Name: "open", Host: "desk.example", Route: open, Destinations: destinations},
		},
		Workspaces: []snapshot.Workspace{
			{Name: "east", Keys: []snapshot.KeyHash{snapshot.HashKey(eastKey), snapshot.HashKey(eastNewKey)}, Priority: &urgent},
			{Name: "west", Keys: []snapshot.KeyHash{snapshot.HashKey(westKey)}},
			{Name: "idle"},
		},
	}
}

// newWorkspaceProxy returns a Proxy with the table of workspaceSnapshot. Each attempt is
// answered with 200.
func newWorkspaceProxy(adapt func(*Deps)) (*Proxy, *headerRecorder) {
	tr := &headerRecorder{}
	for range 100 {
		tr.results = append(tr.results, scriptedResult{status: http.StatusOK})
	}
	d := Deps{
		Balancer: NewBalancer("northgate", "north-line", 1), Budget: NewBudget(), Transport: tr, Scheme: "http",
		CrashCount:   func(uint64) int { return 0 },
		Authenticate: func(http.Header) (string, bool) { return "", true },
		StallTimeout: time.Minute,
	}
	if adapt != nil {
		adapt(&d)
	}
	p := New(d)
	p.SetTable(NewTable(1, workspaceSnapshot(), members()))
	return p, tr
}

// callWithKeys sends a request with the given keys, and a workspace that its caller claims.
func callWithKeys(p *Proxy, url string, keys ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, url, nil)
	r.Header.Set(target.HeaderWorkspace, "forged")
	if len(keys) > 0 {
		r.Header[HeaderWorkspaceKey] = keys
	}
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// TestWorkspaceKeys checks which requests run, and with which workspace and priority.
//
// It guards against routes that run without a valid key, against a workspace that a caller
// sets itself, and against keys that leave the entry node.
func TestWorkspaceKeys(t *testing.T) {
	const none = "none"
	tooLong := strings.Repeat("k", snapshot.MaxKeyBytes+1)
	for _, x := range []struct {
		name      string
		path      string
		keys      []string
		workspace string // empty if the request is refused
		priority  snapshot.Priority
	}{
		{"no key", "/a", nil, "", 0},
		{"empty key", "/a", []string{""}, "", 0},
		{"two keys", "/a", []string{eastKey, eastKey}, "", 0},
		{"joined keys", "/a", []string{eastKey + ", " + eastKey}, "", 0},
		{"too long", "/a", []string{tooLong}, "", 0},
		{"unknown", "/a", []string{"north-key"}, "", 0},
		{"another case", "/a", []string{strings.ToUpper(eastKey)}, "", 0},
		{"old key", "/a", []string{eastKey}, "east", snapshot.Urgent},
		{"new key", "/a", []string{eastNewKey}, "east", snapshot.Urgent},
		{"no priority of its own", "/a", []string{westKey}, "west", snapshot.Normal},
		{"open, no key", "/open", nil, none, snapshot.Normal},
		{"open, valid key", "/open/x", []string{eastKey}, "east", snapshot.Urgent},
		{"open, unknown key", "/open", []string{"north-key"}, none, snapshot.Normal},
		{"open, two keys", "/open", []string{eastKey, westKey}, none, snapshot.Normal},
		{"open, too long", "/open", []string{tooLong}, none, snapshot.Normal},
	} {
		for _, host := range []string{"desk.example", "orderdesk"} {
			t.Run(x.name+" at "+host, func(t *testing.T) {
				c := qt.New(t)
				p, tr := newWorkspaceProxy(nil)
				w := callWithKeys(p, "http://"+host+x.path, x.keys...)
				if x.workspace == "" {
					c.Check(w.Code, qt.Equals, http.StatusUnauthorized)
					c.Check(w.Header().Get(kind.HeaderKind), qt.Equals, string(kind.Workspace))
					c.Check(w.Header().Get(kind.HeaderRan), qt.Equals, "no")
					c.Check(w.Header().Get("Retry-After"), qt.Equals, "")
					c.Check(tr.headers, qt.HasLen, 0)
					return
				}
				c.Check(w.Code, qt.Equals, http.StatusOK)
				c.Assert(tr.headers, qt.HasLen, 1)
				h := tr.headers[0]
				want := []string{x.workspace}
				if x.workspace == none {
					want = nil
				}
				c.Check(h.Values(target.HeaderWorkspace), qt.DeepEquals, want)
				c.Check(h.Values(HeaderWorkspaceKey), qt.HasLen, 0)
				c.Check(h.Get(target.HeaderPriority), qt.Equals, strconv.Itoa(int(x.priority)))
				for _, key := range x.keys {
					c.Check(key != "" && strings.Contains(fmt.Sprint(h), key), qt.IsFalse)
				}
			})
		}
	}
}

// TestNoWorkspaces checks that a configuration without workspaces requires no key, and
// that neither a key nor a workspace that a caller sends is passed on.
func TestNoWorkspaces(t *testing.T) {
	c := qt.New(t)
	p, tr := newWorkspaceProxy(func(d *Deps) { d.Proven = func() bool { return false } })
	s := workspaceSnapshot()
	s.Workspaces = nil
	p.SetTable(NewTable(2, s, members()))
	for _, keys := range [][]string{nil, {eastKey}, {"", ""}} {
		c.Check(callWithKeys(p, "http://desk.example/a", keys...).Code, qt.Equals, http.StatusOK)
	}
	for _, h := range tr.headers {
		c.Check(h.Values(HeaderWorkspaceKey), qt.HasLen, 0)
		c.Check(h.Values(target.HeaderWorkspace), qt.HasLen, 0)
	}
}

// TestKeysOfTable checks that a new version takes effect with the next request, and that
// tables of one version share the map of keys. Copying it for each change of a member would
// allocate a megabyte for 10,000 keys.
func TestKeysOfTable(t *testing.T) {
	c := qt.New(t)
	p, _ := newWorkspaceProxy(nil)
	before := p.Table()
	after := before.WithMembers(nil)
	c.Check(after.routing == before.routing, qt.IsTrue)
	s := workspaceSnapshot()
	s.Workspaces[0].Keys = s.Workspaces[0].Keys[1:]
	p.SetTable(NewTable(2, s, members()))
	c.Check(callWithKeys(p, "http://desk.example/a", eastKey).Code, qt.Equals, http.StatusUnauthorized)
	c.Check(callWithKeys(p, "http://desk.example/a", eastNewKey).Code, qt.Equals, http.StatusOK)
	s.Workspaces = []snapshot.Workspace{{Name: "idle"}}
	p.SetTable(NewTable(3, s, members()))
	c.Check(callWithKeys(p, "http://desk.example/a", eastNewKey).Code, qt.Equals, http.StatusUnauthorized)
}

// TestKeysNotLogged guards against keys in log lines, also in those of refused calls. The
// lines must say why a call was refused for its key.
func TestKeysNotLogged(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	p, _ := newWorkspaceProxy(func(d *Deps) { d.Log = event.New(&out, true, logrus.DebugLevel, "erie-a-1") })
	const unknown = "north-key"
	for _, keys := range [][]string{{eastKey}, {unknown}, {westKey, westKey}, nil} {
		callWithKeys(p, "http://desk.example/a", keys...)
	}
	for _, key := range []string{eastKey, westKey, unknown} {
		c.Check(out.String(), qt.Not(qt.Contains), key)
	}
	for _, field := range []string{`"workspace":"east"`, `"key":"unknown"`, `"key":"malformed"`, `"key":"missing"`, `"event":521`} {
		c.Check(out.String(), qt.Contains, field)
	}
	var page bytes.Buffer
	p.deps.Metrics.WritePrometheus(&page)
	for _, line := range []string{
		`briarrock_keys_refused_total{reason="unknown"} 1`, `briarrock_keys_refused_total{reason="malformed"} 1`,
		`briarrock_keys_refused_total{reason="missing"} 1`, "briarrock_workspaces 3", "briarrock_workspace_keys 3",
	} {
		c.Check(page.String(), qt.Contains, line)
	}
	c.Check(page.String(), qt.Not(qt.Contains), "-key")
}

// TestWorkspacesLogged checks that each version with workspaces, and the first one without
// them, is logged once with the keys that it has added and removed. That leads from a 401 to
// the version that took the key away.
func TestWorkspacesLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		p := New(Deps{Balancer: NewBalancer("a", "b", 1), Log: event.New(&out, true, logrus.InfoLevel, "erie-a-1")})
		s := workspaceSnapshot()
		changed := workspaceSnapshot()
		changed.Workspaces[0].Keys = []snapshot.KeyHash{snapshot.HashKey("x"), snapshot.HashKey("y"), snapshot.HashKey(eastKey)}
		none := workspaceSnapshot()
		none.Workspaces = nil
		for _, x := range []struct {
			table *Table
			want  string
		}{
			{NewTable(1, none, nil), ""},
			{NewTable(2, s, nil), `"added":3,"event":520,"host":"erie-a-1","keys":3,"level":"info","msg":"workspaces","removed":0`},
			{NewTable(3, changed, nil), `"added":2,"event":520,"host":"erie-a-1","keys":4,"level":"info","msg":"workspaces","removed":1`},
			{nil, ""}, // the same version with other members
			{NewTable(4, none, nil), `"added":0,"event":520,"host":"erie-a-1","keys":0,"level":"info","msg":"workspaces","removed":4`},
			{NewTable(5, none, nil), ""},
		} {
			out.Reset()
			if x.table == nil {
				x.table = p.Table().WithMembers(members())
			}
			p.SetTable(x.table)
			c.Check(out.String() == "", qt.Equals, x.want == "")
			c.Check(out.String(), qt.Contains, x.want)
			time.Sleep(time.Second) // repeats within a second are not logged
		}
	})
}

// TestUnproven checks which calls a node serves while it can't prove that its version is
// the newest one. A key may then have been taken away, and one that it doesn't know may
// have been added, so that 401 would be false.
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
	c.Check(callWithKeys(p, "http://desk.example/open", eastKey).Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(tr.headers, qt.HasLen, 0)
	c.Check(callWithKeys(p, "http://desk.example/a").Code, qt.Equals, http.StatusUnauthorized)
	c.Check(callWithKeys(p, "http://desk.example/open").Code, qt.Equals, http.StatusOK)
	c.Check(callWithKeys(p, "http://desk.example/open", "north-key").Code, qt.Equals, http.StatusOK)
}

// TestNestedWithoutKey checks calls that a target of this host makes while it runs a
// request: they carry no key, run on open routes, and keep their priority, also if they
// carry the key of a workspace with a lower one.
func TestNestedWithoutKey(t *testing.T) {
	c := qt.New(t)
	p, tr := newWorkspaceProxy(func(d *Deps) {
		d.IsRunning = func(string) bool { return true }
		d.Proven = func() bool { return true }
	})
	for _, keys := range [][]string{nil, {eastKey}} {
		r := httptest.NewRequest(http.MethodGet, "http://desk.example/open", nil)
		r.Header.Set(target.HeaderTrace, "outer.1")
		r.Header[HeaderWorkspaceKey] = keys
		if keys == nil {
			delete(r.Header, HeaderWorkspaceKey)
		}
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		c.Check(w.Code, qt.Equals, http.StatusOK)
	}
	for _, h := range tr.headers {
		c.Check(h.Get(target.HeaderPriority), qt.Equals, strconv.Itoa(int(snapshot.MaxPriority)))
	}
	c.Check(tr.headers[0].Values(target.HeaderWorkspace), qt.HasLen, 0)
}

// TestKeyAtStart sends calls to a node without a configuration.
//
// An unknown version may know the key, so such a node must not answer 401 or 404. A call
// that waits for the configuration keeps its key, and one that its key can't admit isn't
// held until the service has targets.
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

		go func() {
			time.Sleep(100 * time.Millisecond)
			p.SetTable(NewTable(1, workspaceSnapshot(), nil))
			time.Sleep(100 * time.Millisecond)
			p.SetTable(NewTable(1, workspaceSnapshot(), members()))
		}()
		began = time.Now()
		var wg sync.WaitGroup
		wg.Go(func() {
			c.Check(callWithKeys(p, "http://desk.example/a", eastKey).Code, qt.Equals, http.StatusOK)
			c.Check(time.Since(began), qt.Equals, 200*time.Millisecond)
		})
		wg.Go(func() {
			c.Check(callWithKeys(p, "http://desk.example/a", "north-key").Code, qt.Equals, http.StatusUnauthorized)
			c.Check(time.Since(began), qt.Equals, 100*time.Millisecond)
		})
		wg.Wait()
		c.Assert(tr.headers, qt.HasLen, 1)
		c.Check(tr.headers[0].Get(target.HeaderWorkspace), qt.Equals, "east")
	})
}

// TestAllowance checks when calls take a token of their workspace's allowance, and which
// return it: only calls that did not run, and each one token, however many attempts were
// made. A token that is returned twice would let a workspace exceed its allowance.
func TestAllowance(t *testing.T) {
	full := scriptedResult{kind: kind.Full, ran: kind.RanNo}
	for name, x := range map[string]struct {
		url     string
		keys    []string
		members bool
		tokens  int
		results []scriptedResult
		status  int
		taken   int
		left    int
	}{
		"answered":            {"/a", []string{eastKey}, true, 2, []scriptedResult{{status: 200}}, 200, 1, 1},
		"failure of a target": {"/a", []string{eastKey}, true, 2, []scriptedResult{{status: 500}}, 500, 1, 1},
		"may have run":        {"/a", []string{eastKey}, true, 2, []scriptedResult{{err: errBroken}}, 502, 1, 1},
		"retried by the node": {"/a", []string{eastKey}, true, 2, []scriptedResult{{err: errRefused}, {status: 200}}, 200, 1, 1},
		"refused by all":      {"/a", []string{eastKey}, true, 2, []scriptedResult{full, full, full, full, full}, 503, 1, 2},
		"without targets":     {"/a", []string{eastKey}, false, 2, nil, 503, 1, 2},
		"used up":             {"/a", []string{eastKey}, true, 0, nil, 429, 0, 0},
		"no key":              {"/a", nil, true, 2, nil, 401, 0, 2},
		"open without a key":  {"/open", nil, true, 0, []scriptedResult{{status: 200}}, 200, 0, 0},
		"open with a key":     {"/open", []string{eastKey}, true, 2, []scriptedResult{{status: 200}}, 200, 1, 1},
		"open and used up":    {"/open", []string{eastKey}, true, 0, nil, 429, 0, 0},
		"malformed deadline":  {"/a?bad", []string{eastKey}, true, 2, nil, 400, 0, 2},
		"open, unknown key":   {"/open", []string{"north-key"}, true, 0, []scriptedResult{{status: 200}}, 200, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := &countingAllowance{tokens: map[string]int{"east": x.tokens}}
				p, tr := newWorkspaceProxy(func(d *Deps) { d.Allowance = a })
				tr.results = x.results
				s := workspaceSnapshot()
				for i := range s.Entries {
					s.Entries[i].Route.Retries = 1
				}
				ms := members()
				if !x.members {
					ms = nil
				}
				p.SetTable(NewTable(2, s, ms))
				time.Sleep(startupPeriod)
				r := httptest.NewRequest(http.MethodGet, "http://desk.example"+x.url, nil)
				if x.keys != nil {
					r.Header[HeaderWorkspaceKey] = x.keys
				}
				if x.status == http.StatusBadRequest {
					r.Header.Set(target.HeaderDeadline, "soon")
				}
				w := httptest.NewRecorder()
				p.ServeHTTP(w, r)
				c.Check(w.Code, qt.Equals, x.status)
				c.Check(a.taken, qt.Equals, x.taken)
				c.Check(a.tokens["east"], qt.Equals, x.left)
				if w.Code == http.StatusTooManyRequests {
					c.Check(w.Header().Get(kind.HeaderKind), qt.Equals, string(kind.Allowance))
					c.Check(w.Header().Get(kind.HeaderAfter), qt.Equals, "70")
					c.Check(tr.headers, qt.HasLen, 0)
				}
			})
		})
	}
}

// onceStore is a store in memory for claims.
type onceStore struct {
	platform.Store
	mu   sync.Mutex
	rows map[string][]byte
}

// Get implements platform.Store.
func (s *onceStore) Get(_ context.Context, key string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.rows[key]; ok {
		return platform.Row{Key: key, Value: v, Tag: "1"}, nil
	}
	return platform.Row{}, platform.ErrMissing
}

// Transact implements platform.Store.
func (s *onceStore) Transact(_ context.Context, t platform.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if _, ok := s.rows[c.Key]; ok {
			return platform.ErrCondition
		}
	}
	for _, w := range t.Writes {
		s.rows[w.Key] = w.Value
	}
	return nil
}

// TestReplayByWorkspace guards against a workspace that gets the recorded response of
// another one by its idempotency key. A replay and a conflict run nothing and return their
// token once. Neither the key nor the workspace's name is in the rows.
func TestReplayByWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &onceStore{rows: make(map[string][]byte)}
		claims := claim.New(claim.Deps{Store: store, Host: "erie-a-0"})
		defer claims.Close()
		a := &countingAllowance{tokens: map[string]int{"east": 10, "west": 10}}
		p, tr := newWorkspaceProxy(func(d *Deps) { d.Claims, d.Allowance = claims, a })
		send := func(key, query string) *httptest.ResponseRecorder {
			r := httptest.NewRequest(http.MethodPost, "http://orderdesk/once"+query, nil)
			r.Header.Set(HeaderWorkspaceKey, key)
			r.Header.Set(HeaderKey, "order-1")
			w := httptest.NewRecorder()
			p.ServeHTTP(w, r)
			time.Sleep(time.Second) // until the outcome is stored
			return w
		}
		for i, x := range []struct {
			key    string
			replay string
			ran    int
		}{{eastKey, "", 1}, {westKey, "", 2}, {eastNewKey, "yes", 2}, {westKey, "yes", 2}} {
			w := send(x.key, "")
			c.Check(w.Code, qt.Equals, http.StatusOK)
			c.Check(w.Header().Get(HeaderReplay), qt.Equals, x.replay, qt.Commentf("request %d", i))
			c.Check(tr.headers, qt.HasLen, x.ran)
		}
		c.Check(send(eastKey, "?another").Code, qt.Equals, http.StatusUnprocessableEntity)
		c.Check(a.tokens, qt.DeepEquals, map[string]int{"east": 9, "west": 9})
		for key, value := range store.rows {
			for _, secret := range []string{eastKey, eastNewKey, westKey, "east", "west"} {
				c.Check(strings.Contains(key+string(value), secret), qt.IsFalse)
			}
		}
	})
}

// FuzzCallerKey sends arbitrary values of the header with the key: a request gets a workspace
// only by exactly one value that is one of its keys, and neither the key nor a workspace that
// it claims stays in its headers.
func FuzzCallerKey(f *testing.F) {
	f.Add(eastKey, "", false)
	f.Add(westKey, westKey, true)
	f.Add(strings.Repeat("k", snapshot.MaxKeyBytes+1), "\x00", true)
	f.Add(" "+eastKey, "east-key-1,", false)
	t := NewTable(1, workspaceSnapshot(), nil)
	f.Fuzz(func(tt *testing.T, first, second string, both bool) {
		h := http.Header{HeaderWorkspaceKey: {first}, target.HeaderWorkspace: {second}}
		if both {
			h.Add(HeaderWorkspaceKey, second)
		}
		w, state := t.workspace(takeKey(h))
		want := map[string]string{eastKey: "east", eastNewKey: "east", westKey: "west"}[first]
		if both {
			want = ""
		}
		if got := (&call{workspace: w}).workspaceName(); got != want || (state == keyPresent) != (want != "") {
			tt.Fatalf("keys %q, %q: workspace %q, want %q", first, second, got, want)
		}
		if len(h) > 0 {
			tt.Fatalf("headers %v", h)
		}
	})
}
