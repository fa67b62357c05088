package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"briarrock.example/mesh/codec"
	"briarrock.example/mesh/platform"
)

// memoryStore is a store in memory with injected faults.
type memoryStore struct {
	platform.Store
	mu           sync.Mutex
	rows         map[string]platform.Row
	tag          int
	transactions int
	// transactErr, if set, is the error of each transaction. Its writes take
	// effect nevertheless if applyFailed is set.
	transactErr error
	applyFailed bool
	failReads   bool
}

func newMemoryStore() *memoryStore { return &memoryStore{rows: make(map[string]platform.Row)} }

func (m *memoryStore) Get(_ context.Context, key string) (platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failReads {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := m.rows[key]
	if !ok {
		return row, platform.ErrMissing
	}
	return row, nil
}

func (m *memoryStore) List(_ context.Context, s platform.Scan) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []platform.Row
	for _, r := range m.rows {
		if len(out) < s.Limit {
			out = append(out, r)
		}
	}
	return out, nil
}

func (m *memoryStore) Transact(_ context.Context, t platform.Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transactions++
	err, apply := m.transactErr, m.applyFailed
	if err != nil && !apply {
		return err
	}
	for _, c := range t.Conditions {
		if m.rows[c.Key].Tag != c.Tag {
			return platform.ErrCondition
		}
	}
	for _, w := range t.Writes {
		m.tag++
		if w.Value == nil {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Tag: fmt.Sprint(m.tag)}
	}
	return err
}

func (m *memoryStore) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memoryStore) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}

// testClaims runs f in a synctest bubble with the Claims of two nodes that share
// a table.
func testClaims(t *testing.T, f func(c *qt.C, m *memoryStore, a, b *Claims)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		a, b := New(Deps{Store: m, Host: "erie-a-0"}), New(Deps{Store: m, Host: "superior-a-0"})
		f(qt.New(t), m, a, b)
		a.Close()
		b.Close()
	})
}

var testRequest = Request{Service: "orderdesk", Key: "k1", Fingerprint: 7}

// TestDuplicates sends one request through two nodes, before and after it has run.
func TestDuplicates(t *testing.T) {
	testClaims(t, func(c *qt.C, _ *memoryStore, a, b *Claims) {
		first := a.Begin(context.Background(), testRequest)
		c.Assert(first.Verdict, qt.Equals, Run)
		c.Check(b.Begin(context.Background(), testRequest).Verdict, qt.Equals, OutcomeUnknown)
		other := testRequest
		other.Fingerprint = 8
		c.Check(b.Begin(context.Background(), other).Verdict, qt.Equals, Conflict)
		a.Finish(first.Claim, Outcome{Status: 201, Body: []byte("done")})
		time.Sleep(time.Second)
		again := b.Begin(context.Background(), testRequest)
		c.Check(again.Verdict, qt.Equals, Replay)
		c.Check(again.Outcome.Status, qt.Equals, 201)
	})
}

// TestWorkspaceOfClaim repeats a request whose workspace has changed since the first time.
// It must not run again, and must not get the response to another workspace.
func TestWorkspaceOfClaim(t *testing.T) {
	workspaces := []string{"", "east", "west"}
	for _, first := range workspaces {
		for _, second := range workspaces {
			testClaims(t, func(c *qt.C, _ *memoryStore, a, b *Claims) {
				r := testRequest
				r.Workspace = first
				d := a.Begin(context.Background(), r)
				c.Assert(d.Verdict, qt.Equals, Run)
				a.Finish(d.Claim, Outcome{Status: 201})
				time.Sleep(time.Second)
				r.Workspace = second
				want := Conflict
				if first == second {
					want = Replay
				}
				c.Check(b.Begin(context.Background(), r).Verdict, qt.Equals, want, qt.Commentf("%q, then %q", first, second))
			})
		}
	}
}

// TestMidnight sends a request just before midnight, just after it, and 23 hours
// later. It must not run twice although the day in the key changes.
func TestMidnight(t *testing.T) {
	testClaims(t, func(c *qt.C, _ *memoryStore, a, b *Claims) {
		now := time.Now().UTC()
		time.Sleep(time.Until(now.Truncate(24 * time.Hour).Add(24*time.Hour - time.Second)))
		c.Assert(a.Begin(context.Background(), testRequest).Verdict, qt.Equals, Run)
		time.Sleep(2 * time.Second)
		c.Check(b.Begin(context.Background(), testRequest).Verdict, qt.Equals, OutcomeUnknown)
		time.Sleep(23 * time.Hour)
		c.Check(b.Begin(context.Background(), testRequest).Verdict, qt.Equals, OutcomeUnknown)
	})
}

// TestLostAnswer loses the answer to the transaction that writes a claim.
//
// If the row can be read, the claim is recognized by its id and the request
// runs, once. If reads fail too, the request must not run, and the claim is
// deleted later, so that its caller can use the key again. A transaction that
// certainly was not done leaves the request undecided.
func TestLostAnswer(t *testing.T) {
	testClaims(t, func(c *qt.C, m *memoryStore, a, b *Claims) {
		m.set(func() { m.transactErr, m.applyFailed = platform.ErrUnknown, true })
		c.Check(a.Begin(context.Background(), testRequest).Verdict, qt.Equals, Run)
		m.set(func() { m.transactErr = nil })
		c.Check(b.Begin(context.Background(), testRequest).Verdict, qt.Equals, OutcomeUnknown)
	})
	testClaims(t, func(c *qt.C, m *memoryStore, a, b *Claims) {
		m.set(func() { m.transactErr, m.applyFailed, m.failReads = platform.ErrUnknown, true, true })
		c.Check(a.Begin(context.Background(), testRequest).Verdict, qt.Equals, Undecided)
		c.Check(m.count(), qt.Equals, 1)
		m.set(func() { m.transactErr, m.failReads = nil, false })
		time.Sleep(time.Minute)
		c.Check(m.count(), qt.Equals, 0)
		c.Check(b.Begin(context.Background(), testRequest).Verdict, qt.Equals, Run)
	})
	testClaims(t, func(c *qt.C, m *memoryStore, a, _ *Claims) {
		m.set(func() { m.transactErr, m.applyFailed = platform.ErrUnavailable, false })
		c.Check(a.Begin(context.Background(), testRequest).Verdict, qt.Equals, Undecided)
	})
}

// TestRelease releases the claim of a request that did not run. The answer to
// the delete is lost, and another node claims the key before the delete is
// retried. That node's claim must stay, or the request would run twice.
func TestRelease(t *testing.T) {
	testClaims(t, func(c *qt.C, m *memoryStore, a, b *Claims) {
		first := a.Begin(context.Background(), testRequest)
		c.Assert(first.Verdict, qt.Equals, Run)
		m.set(func() { m.transactErr, m.applyFailed = platform.ErrUnknown, true })
		a.Release(first.Claim)
		synctest.Wait()
		m.set(func() { m.transactErr = nil })
		c.Assert(b.Begin(context.Background(), testRequest).Verdict, qt.Equals, Run)
		time.Sleep(time.Minute)
		c.Check(m.count(), qt.Equals, 1)
		c.Check(a.Begin(context.Background(), testRequest).Verdict, qt.Equals, OutcomeUnknown)
	})
}

// TestBatch checks that the claims of concurrent requests share transactions.
func TestBatch(t *testing.T) {
	testClaims(t, func(c *qt.C, m *memoryStore, a, _ *Claims) {
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				d := a.Begin(context.Background(), Request{Service: "orderdesk", Key: fmt.Sprintf("k-%d", i)})
				c.Check(d.Verdict, qt.Equals, Run)
			})
		}
		wg.Wait()
		c.Check(m.transactions <= 3, qt.IsTrue, qt.Commentf("%d transactions", m.transactions))
	})
}

// TestDuplicateInBatch sends a request that was sent before together with many
// others. Its failed condition must not fail the others of its transaction.
func TestDuplicateInBatch(t *testing.T) {
	testClaims(t, func(c *qt.C, _ *memoryStore, a, b *Claims) {
		c.Assert(b.Begin(context.Background(), Request{Service: "orderdesk", Key: "k-7"}).Verdict, qt.Equals, Run)
		var wg sync.WaitGroup
		var verdicts [40]Verdict
		for i := range verdicts {
			wg.Go(func() {
				verdicts[i] = a.Begin(context.Background(), Request{Service: "orderdesk", Key: fmt.Sprintf("k-%d", i)}).Verdict
			})
		}
		wg.Wait()
		for i, v := range verdicts {
			want := Run
			if i == 7 {
				want = OutcomeUnknown
			}
			c.Check(v, qt.Equals, want, qt.Commentf("%d", i))
		}
	})
}

// TestForward forwards the claims of one node to a committing node.
//
// If the claims can't be sent, the node commits them itself. If the answer is
// lost, the request must not run, and its claim is released.
func TestForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newMemoryStore()
		committer := New(Deps{Store: m, Host: "erie-a-0"})
		var forwardErr error
		loseAnswer := false
		a := New(Deps{Store: m, Host: "erie-a-1", Forward: func(ctx context.Context, b []byte) ([]byte, error) {
			if forwardErr != nil {
				return nil, forwardErr
			}
			out, err := committer.CommitForwarded(ctx, b)
			if loseAnswer {
				return nil, context.DeadlineExceeded
			}
			return out, err
		}})
		begin := func(key string) Verdict {
			return a.Begin(context.Background(), Request{Service: "orderdesk", Key: key, Fingerprint: 7}).Verdict
		}
		c.Check(begin("k1"), qt.Equals, Run)
		c.Check(begin("k1"), qt.Equals, OutcomeUnknown)
		forwardErr = ErrCommitLocally
		c.Check(begin("k2"), qt.Equals, Run)
		forwardErr = nil
		loseAnswer = true
		c.Check(begin("k3"), qt.Equals, Undecided)
		loseAnswer = false
		time.Sleep(time.Minute)
		c.Check(begin("k3"), qt.Equals, Run)
		// A peer can write claims through another node, and nothing else.
		for _, w := range []ForwardedWrite{
			{ID: "x", Key: "head", Value: []byte("{}")},
			{ID: "x", Key: Prefix + "20260101/a", Value: []byte("{}"), Absent: []string{"head"}},
			{ID: "x", Key: Prefix + "20260101/a"},
		} {
			b, err := codec.Encode([]ForwardedWrite{w})
			c.Assert(err, qt.IsNil)
			_, err = committer.CommitForwarded(context.Background(), b)
			c.Check(err, qt.Equals, ErrMalformed)
		}
		a.Close()
		committer.Close()
	})
}

// TestSweep checks that Sweep deletes the claims whose retention has ended, and
// no others.
func TestSweep(t *testing.T) {
	testClaims(t, func(c *qt.C, m *memoryStore, a, _ *Claims) {
		for day := range 5 {
			r := testRequest
			r.Key = fmt.Sprintf("day-%d", day)
			c.Assert(a.Begin(context.Background(), r).Verdict, qt.Equals, Run)
			time.Sleep(24 * time.Hour)
		}
		n, err := a.Sweep(context.Background(), time.Now())
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, 3)
		c.Check(m.count(), qt.Equals, 2)
	})
}
