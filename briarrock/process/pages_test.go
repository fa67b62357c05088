package process_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrock/command"
)

// TestDocumentedCommands runs every command line of the operator documentation, in
// order, against a mesh of real processes. A documented command must succeed.
func TestDocumentedCommands(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	f.waitReady()
	for i, name := range []string{"key.txt", "next-key.txt"} {
		c.Assert(os.WriteFile(filepath.Join(f.dir, name), fmt.Appendf(nil, "documented-key-%d\n", i), 0o600), qt.IsNil)
	}
	root, err := filepath.Abs("../..")
	c.Assert(err, qt.IsNil)
	for _, page := range []string{"INSTALL.md", "OPERATING.md"} {
		b, err := os.ReadFile(filepath.Join(root, "docs", page))
		c.Assert(err, qt.IsNil)
		lines := regexp.MustCompile(`(?m)^\$ briarrock (.*)$`).FindAllStringSubmatch(string(b), -1)
		c.Assert(len(lines) > 3, qt.IsTrue)
		for _, m := range lines {
			args := splitArgs(m[1])
			for i, a := range args {
				switch {
				case strings.HasPrefix(a, "examples/"):
					args[i] = filepath.Join(root, a)
				case a == "mesh.yaml", strings.HasSuffix(a, "key.txt"):
					args[i] = filepath.Join(f.dir, a)
				}
			}
			code, out := f.run(f.hosts[0], args...)
			c.Check(out, qt.Not(qt.Contains), "documented-key")
			// explain fails because no target runs in this mesh; check that it
			// found the route.
			if args[0] == "explain" {
				c.Check(out, qt.Contains, "GET /ledgers", qt.Commentf("%s: %s", m[0], out))
				if strings.Contains(m[0], "--key-file") {
					c.Check(out, qt.Contains, "key: of workspace northside", qt.Commentf("%s: %s", m[0], out))
				}
				continue
			}
			c.Check(code, qt.Equals, command.ExitDone, qt.Commentf("%s: %s: %s", page, m[0], out))
		}
	}
}

// splitArgs splits a command line at spaces outside of quotes.
func splitArgs(s string) []string {
	var out []string
	for _, m := range regexp.MustCompile(`"([^"]*)"|(\S+)`).FindAllStringSubmatch(s, -1) {
		out = append(out, m[1]+m[2])
	}
	return out
}
