package platform_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
)

// TestCommit runs the scripts in testdata. Each passes a sequence of store
// results to a Commit and expects its actions. The scripts describe the failures
// that they cover.
func TestCommit(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c *platform.Commit
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var next platform.Action
			if d.Cmd == "begin" {
				var base uint64
				d.ScanArgs(t, "base", &base)
				c = platform.NewCommit(platform.Audit{Base: base, Write: "mine", Hash: hash})
				next = c.Begin()
			} else {
				next = step(t, c, d)
			}
			return describe(next)
		})
	})
}

var hash = snapshot.Sum([]byte("content")).String()

func step(t *testing.T, c *platform.Commit, d *datadriven.TestData) platform.Action {
	t.Helper()
	row, err := platform.Row{Tag: "tag"}, outcome(d)
	switch d.Cmd {
	case "write-row":
		row.Value = []byte(fmt.Sprintf(`{"version":%s,"hash":%q}`, arg(d, "version"), hash))
		return c.WriteRowRead(row, err)
	case "head":
		row.Value = []byte(fmt.Sprintf(`{"version":%s,"hash":%q,"write":"theirs"}`, arg(d, "version"), hash))
		if err != nil {
			row = platform.Row{}
		}
		return c.HeadRead(row, err)
	case "tried":
		return c.Transacted(err)
	case "audit":
		row.Value, _ = json.Marshal(platform.Audit{Version: 4, Who: "theirs", Write: "theirs"})
		return c.AuditRead(row, err)
	}
	t.Fatalf("no command %q", d.Cmd)
	return nil
}

func arg(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			return a.Vals[0]
		}
	}
	return "0"
}

func outcome(d *datadriven.TestData) error {
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "missing":
			return platform.ErrMissing
		case "unavailable":
			return platform.ErrUnavailable
		case "condition":
			return platform.ErrCondition
		case "unknown":
			return platform.ErrUnknown
		}
	}
	return nil
}

func describe(a platform.Action) string {
	switch a := a.(type) {
	case platform.ReadWriteRow:
		return strings.TrimSpace("read row of write " + a.ID + map[bool]string{true: " after a pause"}[a.Wait])
	case platform.ReadHead:
		return "read head"
	case platform.Transact:
		out := "transact"
		for _, c := range a.Transaction.Conditions {
			out += fmt.Sprintf("\n  if %s is %q", c.Key, c.Tag)
		}
		for _, w := range a.Transaction.Writes {
			out += "\n  write " + w.Key
		}
		return out
	case platform.ReadAudit:
		return "read audit row of " + strconv.FormatUint(a.Version, 10)
	case platform.Finish:
		names := map[platform.Outcome]string{
			platform.Accepted: "accepted", platform.Conflicted: "conflict",
			platform.Refused: "refused", platform.Undecided: "undecided",
		}
		return fmt.Sprintf("%s version=%d", names[a.Outcome], a.Audit.Version)
	}
	return "?"
}
