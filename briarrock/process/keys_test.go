package process_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrock/command"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// Keys of the tests. No output, log or row of the store may contain "-secret".
const (
	eastKey    = "east-key-secret"
	eastNewKey = "east-new-key-secret"
	eastLast   = "east-last-key-secret"
	westKey    = "west-key-secret"
)

// keyFleet is a fleet whose outputs are collected and searched for keys.
type keyFleet struct {
	*fleet
	outputs strings.Builder
}

// do runs a command with a standard input, checks its exit code and returns its output.
func (f *keyFleet) do(want int, input string, args ...string) string {
	f.c.Helper()
	code, out := f.runInput(f.hosts[0], input, args...)
	f.c.Assert(code, qt.Equals, want, qt.Commentf("%v: %s", args, out))
	f.outputs.WriteString(out)
	return out
}

// write writes a file of the operator and returns its path.
func (f *keyFleet) write(name, content string) string {
	path := filepath.Join(f.dir, name)
	f.c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

// checkNoKeys checks that no plain key is in an output, a log or a row of the store, and
// that no hash is in a log or in an output other than that of text.
func (f *keyFleet) checkNoKeys() {
	f.c.Helper()
	f.c.Check(f.outputs.String(), qt.Not(qt.Contains), "-secret")
	srv := httptest.NewServer(f.store)
	defer srv.Close()
	store := platform.NewHTTP(srv.Client(), srv.URL, "")
	rows, err := store.List(context.Background(), platform.Scan{Limit: 1000})
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(len(rows) > 3, qt.IsTrue)
	for _, r := range rows {
		f.c.Check(string(r.Value), qt.Not(qt.Contains), "-secret", qt.Commentf("%s", r.Key))
		var a platform.Audit
		hash := snapshot.Hash{}
		if json.Unmarshal(r.Value, &a) == nil && a.Text != "" {
			hash, _ = snapshot.ParseHash(a.Text)
		}
		if !hash.IsZero() {
			b, err := platform.GetContent(context.Background(), store, hash)
			f.c.Assert(err, qt.IsNil)
			f.c.Check(string(b), qt.Not(qt.Contains), "-secret", qt.Commentf("text of %s", r.Key))
		}
	}
	for _, h := range f.hosts {
		f.c.Check(h.log.String(), qt.Not(qt.Contains), "-secret", qt.Commentf("%s", h.name))
	}
	for _, key := range []string{eastKey, eastNewKey, eastLast, westKey} {
		h := snapshot.HashKey(key)
		short := hex.EncodeToString(h[:4])
		f.c.Check(f.outputs.String(), qt.Not(qt.Contains), short)
		for _, x := range f.hosts {
			f.c.Check(x.log.String(), qt.Not(qt.Contains), short, qt.Commentf("%s", x.name))
		}
	}
}

const workspaceText = `mesh: lakeshore
services:
  - name: posting
    upstreams: 4
    routes:
      - {path: /journals, mode: once}
      - {path: /free, mode: repeatable, open: true}

workspaces:
  - name: east # the bureau
    keys:
      - east-key-secret
    rate: 50
    burst: 100
  - {name: west, keys: [west-key-secret], priority: urgent}
`

func newKeyFleet(c *qt.C) *keyFleet {
	f := &keyFleet{fleet: newFleet(c, 1)}
	f.waitReady()
	f.do(command.ExitDone, "", "apply", f.write("ws.yaml", workspaceText), "--yes", "--wait", "--timeout", "60s")
	return f
}

// TestApplyHashesKeys guards against a plain key that leaves the operator's machine:
// apply sends hashes, does not send a text with mistakes that may have keys, and a node
// rejects plain keys from any other client without repeating them.
func TestApplyHashesKeys(t *testing.T) {
	c := qt.New(t)
	f := newKeyFleet(c)
	_, stored := f.run(f.hosts[0], "text")
	h := snapshot.HashKey(eastKey)
	c.Check(stored, qt.Contains, "  - name: east # the bureau\n    keys:\n      - {hash: \""+hex.EncodeToString(h[:])+"\"}\n")
	c.Check(stored, qt.Not(qt.Contains), "-secret")

	out := f.do(command.ExitDone, "", "diff", f.write("ws.yaml", strings.Replace(workspaceText, "rate: 50", "rate: 60", 1)))
	c.Check(out, qt.Contains, "workspace east: Rate 50 → 60")

	bad := f.write("bad.yaml", strings.Replace(workspaceText, "rate: 50", "rate: -1", 1))
	for _, cmd := range []string{"apply", "diff", "check"} {
		out = f.do(command.ExitInvalid, "", cmd, bad)
		c.Check(out, qt.Contains, "bad.yaml:13:11:")
	}

	client := api.New(http.DefaultClient, "http://"+f.hosts[0].operator, "")
	res, err := client.Apply(context.Background(), api.Apply{Text: []byte(workspaceText), Head: true, Write: "plain-keys"})
	c.Assert(err, qt.IsNil)
	c.Check(res.Outcome, qt.Equals, api.Invalid)
	c.Assert(res.Mistakes, qt.HasLen, 2)
	c.Check([]int{res.Mistakes[0].Line, res.Mistakes[0].Column}, qt.DeepEquals, []int{12, 9})
	b, err := json.Marshal(res)
	c.Assert(err, qt.IsNil)
	f.outputs.Write(b)
	f.waitUntil("waiting for the row of the attempt", func() bool {
		return strings.Contains(f.do(command.ExitDone, "", "history"), "12:9: a plain key")
	})
	f.checkNoKeys()
}

// TestKeyCommands guards against edits of keys that change another workspace, overwrite a
// concurrent edit, have no row in the audit trail, or show a key.
func TestKeyCommands(t *testing.T) {
	c := qt.New(t)
	f := newKeyFleet(c)
	c.Check(f.do(command.ExitDone, "", "workspaces"), qt.Equals,
		"east: 1 key, 50 requests a second, burst 100, priority of the route\n"+
			"west: 1 key, no limit, priority urgent\nversion 1 has 2 workspaces\n")
	c.Check(f.do(command.ExitDone, "", "workspaces", "show", "west", "--json"), qt.JSONEquals,
		map[string]any{"version": 1, "name": "west", "keys": 1, "priority": "urgent"})
	f.do(command.ExitInvalid, "", "workspaces", "show", "south")
	f.do(command.ExitUsage, "", "keys")

	// A dry run changes nothing; an argument is not taken for a key.
	out := f.do(command.ExitDone, eastNewKey+"\n", "keys", "add", "east", "--dry-run")
	c.Check(out, qt.Contains, "~ workspace east: 1 key added\n")
	c.Check(out, qt.Contains, "nothing was applied")
	f.do(command.ExitUsage, "", "keys", "add", "east", eastNewKey)
	for _, bad := range []string{"", "\n", " " + eastNewKey, eastNewKey + "\n\n", strings.Repeat("x", 201)} {
		f.do(command.ExitInvalid, bad, "keys", "add", "east")
	}
	f.do(command.ExitInvalid, "", "keys", "add", "east", "--file", filepath.Join(f.dir, "missing"))

	out = f.do(command.ExitDone, "", "keys", "add", "east", "--file", f.write("k", eastNewKey+"\n"), "--write", "add-east-key", "--wait")
	c.Check(out, qt.Contains, "version 2 accepted (was 1)")
	out = f.do(command.ExitDone, eastNewKey, "keys", "add", "east", "--write", "add-east-key")
	c.Check(out, qt.Contains, "version 2 accepted")
	out = f.do(command.ExitDone, eastNewKey, "keys", "add", "east")
	c.Check(out, qt.Contains, "nothing to change")
	f.do(command.ExitInvalid, eastNewKey, "keys", "add", "west")
	f.do(command.ExitInvalid, westKey, "keys", "remove", "east")
	f.do(command.ExitInvalid, westKey, "keys", "remove", "south")

	// No target runs, so a request with a known key would be refused for that.
	const url = "http://posting/journals"
	out = f.do(command.ExitInvalid, eastNewKey+"\n", "explain", "POST", url, "--key-file", "-")
	c.Check(out, qt.Contains, "key: of workspace east\n")
	c.Check(out, qt.Contains, "it would be refused: empty")
	out = f.do(command.ExitInvalid, eastLast, "explain", "POST", url, "--key-file", "-")
	c.Check(out, qt.Contains, "key: version 2 does not know it; the route needs one\n")
	c.Check(out, qt.Contains, "it would be refused: workspace")
	out = f.do(command.ExitInvalid, "", "explain", "POST", url)
	c.Check(out, qt.Contains, "key: none is given; the route needs one\n")
	out = f.do(command.ExitInvalid, eastLast, "explain", "GET", "http://posting/free", "--key-file", "-")
	c.Check(out, qt.Contains, "key: version 2 does not know it; the route is open and needs none\n")
	f.do(command.ExitInvalid, " "+eastLast, "explain", "GET", url, "--key-file", "-")

	out = f.do(command.ExitDone, eastLast, "keys", "rotate", "east")
	c.Check(out, qt.Contains, "~ workspace east: 1 key added, 1 key removed\n")
	// The first key is the one that the rotation removed.
	f.do(command.ExitInvalid, eastKey, "keys", "remove", "east")
	f.do(command.ExitDone, eastNewKey, "keys", "remove", "east", "--write", "remove-east-key")
	f.do(command.ExitDone, eastNewKey, "keys", "remove", "east", "--write", "remove-east-key")
	f.do(command.ExitDone, eastLast, "keys", "remove", "east", "--note", "bureau closed")
	c.Check(f.do(command.ExitDone, "", "workspaces", "show", "east"), qt.Contains, "east: 0 keys")
	c.Check(f.do(command.ExitDone, "", "workspaces", "show", "west"), qt.Contains, "west: 1 key")

	// The text keeps its comments, and an edit of an old base conflicts.
	_, stored := f.run(f.hosts[0], "text")
	c.Check(stored, qt.Contains, "east # the bureau")
	out = f.do(command.ExitConflict, "", "apply", filepath.Join(f.dir, "ws.yaml"), "--base", "1", "--yes")
	c.Check(out, qt.Contains, "workspace east: 1 key added")

	out = f.do(command.ExitDone, "", "history")
	for _, note := range []string{"keys add east", "keys rotate east", "keys remove east", "bureau closed", "by "} {
		c.Check(out, qt.Contains, note)
	}
	f.checkNoKeys()
}

// TestKeyConflict guards against an edit of a key that overwrites another edit, which came
// in after the text was read.
func TestKeyConflict(t *testing.T) {
	c := qt.New(t)
	f := newKeyFleet(c)
	node := &url.URL{Scheme: "http", Host: f.hosts[0].operator}
	proxy := httputil.NewSingleHostReverseProxy(node)
	proxy.ModifyResponse = func(r *http.Response) error {
		if r.Request.URL.Path == api.PathText {
			f.do(command.ExitDone, eastNewKey, "keys", "add", "east")
		}
		return nil
	}
	srv := httptest.NewServer(proxy)
	defer srv.Close()
	h := &host{operator: srv.Listener.Addr().String()}
	code, out := f.runInput(h, eastLast, "keys", "add", "east")
	c.Check(code, qt.Equals, command.ExitConflict, qt.Commentf("%s", out))
	c.Check(out, qt.Contains, "~ workspace east: 1 key added")
	f.outputs.WriteString(out)
	c.Check(f.do(command.ExitDone, "", "workspaces", "show", "east"), qt.Contains, "east: 2 keys")
	f.checkNoKeys()
}
