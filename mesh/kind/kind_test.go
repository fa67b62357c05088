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

// TestPage checks that the table in docs/ERRORS.md lists exactly the kinds of
// this package, with the same status, Ran and Retryable.
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
		retryable := map[bool]string{true: "yes", false: "no"}[a.Retryable]
		want = append(want, fmt.Sprintf("| `%s` | %d | %s | %s |", string(k), a.Status, a.Ran, retryable))
	}
	sort.Strings(rows)
	sort.Strings(want)
	c.Assert(rows, qt.DeepEquals, want)
}

// TestRetryable checks that no kind allows a retry of a request that a target
// may have executed.
func TestRetryable(t *testing.T) {
	c := qt.New(t)
	for _, k := range kind.All() {
		a := k.Answer()
		c.Check(a.Retryable && a.Ran != kind.RanNo, qt.IsFalse, qt.Commentf("%s", k))
		c.Check(a.Status >= 400, qt.IsTrue, qt.Commentf("%s", k))
	}
	c.Check(kind.Kind("unheard-of").Answer(), qt.Equals, kind.Internal.Answer())
	c.Check(kind.ParseRan("whatever"), qt.Equals, kind.RanUnknown)
}
