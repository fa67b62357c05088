package caller

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/snapshot"
)

// TestExplainKey guards against an explanation of a key that differs from what happens to
// a request with it, and against a key or its hash in an explanation.
func TestExplainKey(t *testing.T) {
	hash := func(key string) string {
		h := snapshot.HashKey(key)
		return hex.EncodeToString(h[:])
	}
	for _, x := range []struct {
		name      string
		path      string
		key       string // empty: none
		unproven  bool
		kind      kind.Kind
		state     api.KeyState
		workspace string
		priority  snapshot.Priority
	}{
		{name: "no key", path: "/a", kind: kind.Workspace, state: api.KeyMissing, priority: snapshot.Normal},
		{name: "unknown", path: "/a", key: "other", kind: kind.Workspace, state: api.KeyUnknown, priority: snapshot.Normal},
		{name: "known", path: "/a", key: eastNewKey, state: api.KeyKnown, workspace: "east", priority: snapshot.Urgent},
		{name: "own priority", path: "/a", key: westKey, state: api.KeyKnown, workspace: "west", priority: snapshot.Normal},
		{name: "open, no key", path: "/open", state: api.KeyMissing, priority: snapshot.Normal},
		{name: "open, unknown", path: "/open", key: "other", state: api.KeyUnknown, priority: snapshot.Normal},
		{name: "open, known", path: "/open", key: eastKey, state: api.KeyKnown, workspace: "east", priority: snapshot.Urgent},
		{name: "unproven, known", path: "/a", key: eastKey, unproven: true, kind: kind.Unproven, state: api.KeyKnown, workspace: "east", priority: snapshot.Urgent},
		{name: "unproven, unknown", path: "/a", key: "other", unproven: true, kind: kind.Unproven, state: api.KeyUnknown, priority: snapshot.Normal},
		{name: "unproven, open", path: "/open", key: "other", unproven: true, state: api.KeyUnknown, priority: snapshot.Normal},
		{name: "unproven, none", path: "/a", unproven: true, kind: kind.Workspace, state: api.KeyMissing, priority: snapshot.Normal},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			p, _ := newWorkspaceProxy(func(d *Deps) { d.Proven = func() bool { return !x.unproven } })
			req := api.Request{Method: http.MethodGet, URL: "http://orderdesk" + x.path}
			var keys []string
			if x.key != "" {
				keys, req.KeyHash = []string{x.key}, hash(x.key)
			}
			e := p.Explain(req)
			c.Check(e.Kind, qt.Equals, string(x.kind))
			c.Check(e.Key, qt.Equals, x.state)
			c.Check(e.Workspace, qt.Equals, x.workspace)
			c.Check(e.Priority, qt.Equals, x.priority.String())
			c.Check(e.Open, qt.Equals, x.path == "/open")

			w := callWithKeys(p, req.URL, keys...)
			c.Check(w.Header().Get("Briarrock-Kind"), qt.Equals, e.Kind)

			b, err := json.Marshal(e)
			c.Assert(err, qt.IsNil)
			if x.key != "" {
				c.Check(string(b), qt.Not(qt.Contains), x.key)
				c.Check(string(b), qt.Not(qt.Contains), hash(x.key))
			}
		})
	}
	c := qt.New(t)
	p, _ := newWorkspaceProxy(nil)
	c.Check(p.Explain(api.Request{URL: "http://orderdesk/a", KeyHash: "00"}).Key, qt.Equals, api.KeyMalformed)
	// Whose key it is does not depend on a matching service.
	c.Check(p.Explain(api.Request{URL: "http://none/a", KeyHash: hash(westKey)}).Workspace, qt.Equals, "west")
	s := workspaceSnapshot()
	s.Workspaces = nil
	p.SetTable(NewTable(2, s, members()))
	e := p.Explain(api.Request{URL: "http://orderdesk/a", KeyHash: hash(westKey)})
	c.Check([]string{e.Kind, string(e.Key)}, qt.DeepEquals, []string{"", ""})
}
