package text_test

import (
	"encoding/hex"
	"fmt"
	"io/fs"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"go.yaml.in/yaml/v3"

	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/text"
)

// TestCompile runs the scripts in testdata. Each compiles a text and expects
// either its mistakes or the resources of its snapshot. The command "hashed"
// compiles a text that must not have plain keys, "hashkeys" replaces them, and
// "add", "remove" and "rotate" edit a workspace's keys. No
// output may contain "-secret", which plain keys in the scripts end with.
func TestCompile(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "hashkeys" {
				out, err := text.HashKeys([]byte(d.Input))
				if err != nil {
					return err.Error()
				}
				return string(out)
			}
			if edit := edits[d.Cmd]; edit != nil {
				var workspace, key string
				d.ScanArgs(t, "workspace", &workspace)
				d.ScanArgs(t, "key", &key)
				out, err := edit([]byte(d.Input), workspace, snapshot.HashKey(key))
				if err != nil {
					return err.Error()
				}
				return string(out)
			}
			compile := text.Compile
			if d.Cmd == "hashed" {
				compile = text.CompileHashed
			}
			s, err := compile([]byte(d.Input))
			if err != nil {
				if strings.Contains(err.Error(), "-secret") {
					t.Errorf("%s: a mistake contains a key: %v", d.Pos, err)
				}
				return err.Error()
			}
			out := ""
			for _, c := range snapshot.Diff(nil, s) {
				out += c.String() + "\n"
			}
			return out
		})
	})
}

var edits = map[string]func([]byte, string, snapshot.KeyHash) ([]byte, error){
	"add": text.AddKey, "remove": text.RemoveKey, "rotate": text.RotateKey,
}

// TestExamples checks that the example configurations compile without mistakes.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"quaywell/mesh", "lakeshore/mesh", "lakeshore/workspaces"} {
		src, err := fs.ReadFile(os.DirFS("../../examples"), name+".yaml")
		c.Assert(err, qt.IsNil)
		s, err := text.Compile(src)
		c.Assert(err, qt.IsNil)
		c.Check(s.Services, qt.HasLen, 4)
	}
}

// FuzzCompile checks that every input either is rejected or compiles to a
// snapshot that can be encoded and opened, in which every key is written in the
// text, plain or as a hash, and that HashKeys keeps the snapshot.
func FuzzCompile(f *testing.F) {
	f.Add([]byte("mesh: a\nservices: []\n"))
	f.Add([]byte("mesh: a\nservices:\n  - {name: b, upstreams: 1, routes: [{path: /, mode: once}]}\n"))
	f.Add([]byte("services: &a [*a]\n"))
	f.Add([]byte("{: :"))
	const head = "mesh: a\nservices: [{name: b, upstreams: 1}]\nworkspaces:\n"
	f.Add([]byte(head + "  - {name: c, keys: [k, 'l', \"m\", {hash: 00112233445566778899aabbccddeeff}], rate: 1, burst: 2}\n"))
	f.Add([]byte(head + "  - name: c\n    keys:\n      - k # é\n      - |\n        l\n      - \"m\n        n\"\n  - {name: d, priority: bulk}\n"))
	f.Add([]byte(head + "  - {name: c, keys: [&x k, *x, ~, !!binary aGk=, !t v, 0x10, {hash: 1}]}\n"))
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := text.Compile(src)
		if err != nil {
			return
		}
		b, err := snapshot.Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := snapshot.Open(b, snapshot.Sum(b)); err != nil {
			t.Fatal(fmt.Errorf("Open rejects a compiled snapshot: %w", err))
		}
		checkKeys(t, src, s)
		hashed, err := text.HashKeys(src)
		if err != nil {
			return
		}
		if again, err := text.CompileHashed(hashed); err != nil || !reflect.DeepEqual(again, s) {
			t.Fatalf("HashKeys changed the snapshot: %v\n%s", err, hashed)
		}
	})
}

// checkKeys checks that every key of a snapshot is the hash of a scalar of the
// text, or is written in it in hexadecimal.
func checkKeys(t *testing.T, src []byte, s *snapshot.Snapshot) {
	if len(s.Workspaces) == 0 {
		return
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(src, &doc); err != nil {
		t.Fatal(err)
	}
	known := make(map[string]bool)
	var visit func(n *yaml.Node)
	visit = func(n *yaml.Node) {
		if n.Kind == yaml.ScalarNode {
			h := snapshot.HashKey(n.Value)
			known[hex.EncodeToString(h[:])], known[strings.ToLower(n.Value)] = true, true
		}
		for _, x := range n.Content {
			visit(x)
		}
	}
	visit(&doc)
	for _, w := range s.Workspaces {
		for _, k := range w.Keys {
			if !known[hex.EncodeToString(k[:])] {
				t.Fatalf("workspace %q has a key that is not in the text", w.Name)
			}
		}
	}
}

// TestHashManyKeys guards against a time quadratic in the number of keys on one line:
// 10,000 keys took 48 s, and take 0.3 s when the text is read once.
func TestHashManyKeys(t *testing.T) {
	c := qt.New(t)
	const limit = 10 * time.Second
	keys := make([]string, 10000)
	for i := range keys {
		keys[i] = fmt.Sprintf("long-long-key-number-%06d", i)
	}
	src := "mesh: a\nservices: [{name: b, upstreams: 1}]\nworkspaces: [{name: w, keys: [" + strings.Join(keys, ", ") + "]}]\n"
	start := time.Now()
	hashed, err := text.HashKeys([]byte(src))
	c.Assert(err, qt.IsNil)
	c.Check(time.Since(start) < limit, qt.IsTrue)
	c.Check(string(hashed), qt.Not(qt.Contains), "long-key")
}

// FuzzKeys checks that edits of keys don't panic on any text that compiles, that an added
// key is the only change, and that its removal restores the snapshot.
func FuzzKeys(f *testing.F) {
	const head = "mesh: a\nservices: [{name: b, upstreams: 1}]\nworkspaces:\n"
	f.Add([]byte(head + "  - {name: c, keys: [{hash: 00112233445566778899aabbccddeeff}], rate: 1}\n"))
	f.Add([]byte(head + "  - name: c\n    keys:\n    - hash: 00112233445566778899aabbccddeeff\n    - {hash: 10112233445566778899AABBCCDDEEFF} # é\n"))
	f.Add([]byte(head + "  - {name: c, keys: [ ]}\n  - name: d"))
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := text.CompileHashed(src)
		if err != nil {
			return
		}
		h := snapshot.HashKey("a key that no input has")
		for _, w := range s.Workspaces {
			_, _ = text.RotateKey(src, w.Name, h)
			added, err := text.AddKey(src, w.Name, h)
			if err != nil {
				continue
			}
			with, err := text.CompileHashed(added)
			if err != nil {
				t.Fatal(err)
			}
			changes := snapshot.Diff(s, with)
			if len(changes) != 1 || changes[0].String() != "~ workspace "+w.Name+": 1 key added" {
				t.Fatalf("AddKey changed %v", changes)
			}
			removed, err := text.RemoveKey(added, w.Name, h)
			if err != nil {
				t.Fatal(err)
			}
			if again, err := text.CompileHashed(removed); err != nil || !reflect.DeepEqual(again, s) {
				t.Fatalf("RemoveKey did not restore the snapshot: %v\n%s", err, removed)
			}
		}
	})
}
