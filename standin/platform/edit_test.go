package platform_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	store "briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
	standinplatform "briarrock.example/standin/platform"
)

func start(c *qt.C) (*standinplatform.Server, store.Store) {
	p := standinplatform.New()
	srv := httptest.NewServer(p)
	c.Cleanup(srv.Close)
	return p, store.NewHTTP(srv.Client(), srv.URL, "")
}

func edit(write string, base uint64, content string) store.Edit {
	hash := snapshot.Sum([]byte(content)).String()
	return store.Edit{
		Audit: store.Audit{Base: base, Write: write, Who: write, Hash: hash, Text: hash},
		Text:  []byte(content), Snapshot: []byte(content),
	}
}

func auditRows(c *qt.C, st store.Store) []store.Audit {
	rows, err := st.List(context.Background(), store.AuditScan(0, 100))
	c.Assert(err, qt.IsNil)
	var out []store.Audit
	for _, r := range rows {
		var a store.Audit
		c.Assert(json.Unmarshal(r.Value, &a), qt.IsNil)
		out = append(out, a)
	}
	return out
}

// TestLostResponse closes the connection after the write took effect.
//
// The operator's node can't distinguish a lost write from a lost response. The
// edit must be accepted exactly once, with one audit row, and a retry with the
// same id must not create another version.
func TestLostResponse(t *testing.T) {
	c := qt.New(t)
	p, st := start(c)
	ctx := context.Background()
	// Two objects are written first; the transaction is the third write.
	p.Fault(standinplatform.Faults{LoseResponses: 1, SkipWrites: 2})
	result := store.Apply(ctx, st, edit("first", 0, "a"), store.Row{})
	c.Assert(result.Outcome, qt.Equals, store.Accepted)
	c.Assert(result.Audit.Version, qt.Equals, uint64(1))
	retry := store.Apply(ctx, st, edit("first", 1, "a"), store.Row{})
	c.Assert(retry.Outcome, qt.Equals, store.Accepted)
	c.Assert(retry.Audit.Version, qt.Equals, uint64(1))
	c.Assert(auditRows(c, st), qt.HasLen, 1)
}

// TestRace applies concurrent edits based on the same version: one is accepted,
// and each of the others reports a conflict that names the accepted edit.
func TestRace(t *testing.T) {
	c := qt.New(t)
	_, st := start(c)
	const racers = 8
	var results [racers]store.Finish
	var wg sync.WaitGroup
	for i := range racers {
		wg.Go(func() {
			name := string(rune('a' + i))
			results[i] = store.Apply(context.Background(), st, edit("racer-"+name, 0, name), store.Row{})
		})
	}
	wg.Wait()
	winners := 0
	rows := auditRows(c, st)
	c.Assert(rows, qt.HasLen, 1)
	for _, f := range results {
		if f.Outcome == store.Accepted {
			winners++
			continue
		}
		c.Check(f.Outcome, qt.Equals, store.Conflicted)
		c.Check(f.Audit.Write, qt.Equals, rows[0].Write)
	}
	c.Assert(winners, qt.Equals, 1)
}

// TestDown applies an edit while the store is unavailable: the edit must be
// refused and leave no audit row.
func TestDown(t *testing.T) {
	c := qt.New(t)
	p, st := start(c)
	p.Fault(standinplatform.Faults{Down: true})
	c.Assert(store.Apply(context.Background(), st, edit("first", 0, "a"), store.Row{}).Outcome, qt.Equals, store.Refused)
	p.Fault(standinplatform.Faults{})
	c.Assert(auditRows(c, st), qt.HasLen, 0)
}

// TestContent stores the same object twice and reads it back, and then reads an
// object that was never stored, which must give ErrMissing.
func TestContent(t *testing.T) {
	c := qt.New(t)
	_, st := start(c)
	ctx := context.Background()
	b := []byte("a snapshot")
	c.Assert(store.PutContent(ctx, st, b), qt.IsNil)
	c.Assert(store.PutContent(ctx, st, b), qt.IsNil)
	got, err := store.GetContent(ctx, st, snapshot.Sum(b))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, b)
	_, err = store.GetContent(ctx, st, snapshot.Sum([]byte("another")))
	c.Assert(err, qt.ErrorIs, store.ErrMissing)
}
