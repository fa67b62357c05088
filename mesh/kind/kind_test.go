package kind_test

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/kind"
)

// TestPage holds docs/ERRORS.md and the table together.
func TestPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/ERRORS.md")
	c.Assert(err, qt.IsNil)
	var rows []string
	for _, m := range regexp.MustCompile("(?m)^\\| `[a-z]+` \\| \\d+ \\| \\w+ \\| \\w+ \\|").FindAll(page, -1) {
		rows = append(rows, string(m))
	}
	var want []string
	for _, k := range kind.All() {
		a := k.Answer()
		again := map[bool]string{true: "yes", false: "no"}[a.Retryable]
		want = append(want, fmt.Sprintf("| `%s` | %d | %s | %s |", string(k), a.Status, a.Ran, again))
	}
	sort.Strings(rows)
	sort.Strings(want)
	c.Assert(rows, qt.DeepEquals, want)
}

// TestAgain checks what the table must never say: that a request which may
// have run may be sent again.
func TestAgain(t *testing.T) {
	c := qt.New(t)
	for _, k := range kind.All() {
		a := k.Answer()
		c.Check(a.Retryable && a.Ran != kind.RanNo, qt.IsFalse, qt.Commentf("%s", k))
		c.Check(a.Status >= 400, qt.IsTrue, qt.Commentf("%s", k))
	}
	c.Check(kind.Kind("unheard-of").Answer(), qt.Equals, kind.Internal.Answer())
	c.Check(kind.ParseRan("whatever"), qt.Equals, kind.RanUnknown)
}
