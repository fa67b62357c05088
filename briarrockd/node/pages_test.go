package node_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/briarrockd/settings"
	"briarrock.example/mesh/strict"
)

// names returns the distinct matches of the first group of a pattern, sorted.
func names(pattern, text string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestMetricsPage checks that docs/METRICS.md lists exactly the metrics in the code.
func TestMetricsPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	var code strings.Builder
	for _, module := range []string{"..", "../../platform"} {
		c.Assert(filepath.WalkDir(module, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			b, err := os.ReadFile(path)
			code.Write(b)
			return err
		}), qt.IsNil)
	}
	c.Check(names("(?m)^\\| `(briarrock_[a-z_]+)`", string(page)), qt.DeepEquals,
		names("[\"`](briarrock_[a-z_]+)", code.String()))
}

// TestSettingsPage checks that docs/SETTINGS.md lists exactly the fields that the
// settings have. It takes them from the message about an unknown field.
func TestSettingsPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	_, err = settings.Parse([]byte("unheard-of: 1\n"))
	var mistakes strict.Mistakes
	c.Assert(err, qt.ErrorAs, &mistakes)
	_, list, ok := strings.Cut(mistakes[0].Text, "it has ")
	if !ok {
		_, list, ok = strings.Cut(err.Error(), "it has ")
	}
	c.Assert(ok, qt.IsTrue)
	list, _, _ = strings.Cut(list, "\n")
	fields := strings.Split(list, ", ")
	slices.Sort(fields)
	c.Check(names("(?m)^\\| `([a-z]+)` \\|", string(page)), qt.DeepEquals, fields)
	// The example on the page must be valid.
	_, example, _ := strings.Cut(string(page), "```yaml\n")
	example, _, _ = strings.Cut(example, "```")
	_, err = settings.Parse([]byte(example))
	c.Check(err, qt.IsNil)
}

// FuzzSettings checks that any input gives either valid settings or an error.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("host: a\nsecurity: plain\n"))
	f.Add([]byte("operators: [{name: a, sha256: zz}]\nlog: {level: loud}\n"))
	f.Add([]byte("- 1\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := settings.Parse(b)
		if err == nil && (s.Host == "" || s.Platform.URL == "") {
			t.Fatal("settings without a required field")
		}
	})
}
