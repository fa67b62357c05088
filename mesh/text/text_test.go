package text_test

import (
	"fmt"
	"io/fs"
	"os"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/text"
)

// TestCompile runs the scripts in testdata. Each compiles a text and expects
// either its mistakes or the services and routes of its snapshot.
func TestCompile(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			s, err := text.Compile([]byte(d.Input))
			if err != nil {
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

// TestExamples checks that the example configurations compile without mistakes.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"quaywell", "lakeshore"} {
		src, err := fs.ReadFile(os.DirFS("../../examples"), name+"/mesh.yaml")
		c.Assert(err, qt.IsNil)
		s, err := text.Compile(src)
		c.Assert(err, qt.IsNil)
		c.Check(s.Services, qt.HasLen, 4)
	}
}

// FuzzCompile checks that every input either is rejected or compiles to a
// snapshot that can be encoded and opened.
func FuzzCompile(f *testing.F) {
	f.Add([]byte("mesh: a\nservices: []\n"))
	f.Add([]byte("mesh: a\nservices:\n  - {name: b, upstreams: 1, routes: [{path: /, mode: once}]}\n"))
	f.Add([]byte("services: &a [*a]\n"))
	f.Add([]byte("{: :"))
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
	})
}
