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

// memory is a table that fails as it is told.
type memory struct {
	platform.Store
	mu    sync.Mutex
	rows  map[string]platform.Row
	tag   int
	tries int
	// fail is what a transaction answers, done whether it takes effect.
	fail error
	done bool
	deaf bool // reads fail
}

func newMemory() *memory { return &memory{rows: make(map[string]platform.Row)} }

func (m *memory) Get(_ context.Context, key string) (platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.deaf {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := m.rows[key]
	if !ok {
		return row, platform.ErrMissing
	}
	return row, nil
}

func (m *memory) List(_ context.Context, s platform.Scan) ([]platform.Row, error) {
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

func (m *memory) Transact(_ context.Context, t platform.Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tries++
	fail, done := m.fail, m.done
	if fail != nil && !done {
		return fail
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
	return fail
}

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memory) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rows)
}

// bubble runs a test on a paused clock with two nodes' claims on one table.
func bubble(t *testing.T, f func(c *qt.C, m *memory, a, b *Claims)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		a, b := New(Deps{Store: m, Host: "erie-a-0"}), New(Deps{Store: m, Host: "superior-a-0"})
		f(qt.New(t), m, a, b)
		a.Close()
		b.Close()
	})
}

var order = Request{Service: "orderdesk", Key: "k1", Fingerprint: 7}

// TestDuplicates sends one order through two nodes, before and after it ran.
func TestDuplicates(t *testing.T) {
	bubble(t, func(c *qt.C, _ *memory, a, b *Claims) {
		first := a.Begin(context.Background(), order)
		c.Assert(first.Verdict, qt.Equals, Run)
		c.Check(b.Begin(context.Background(), order).Verdict, qt.Equals, OutcomeUnknown)
		other := order
		other.Fingerprint = 8
		c.Check(b.Begin(context.Background(), other).Verdict, qt.Equals, Conflict)
		a.Finish(first.Claim, Outcome{Status: 201, Body: []byte("done")})
		time.Sleep(time.Second)
		again := b.Begin(context.Background(), order)
		c.Check(again.Verdict, qt.Equals, Replay)
		c.Check(again.Outcome.Status, qt.Equals, 201)
	})
}

// TestMidnight sends an order again just after midnight, through a host whose
// clock is on the other side of it. It must not run twice.
func TestMidnight(t *testing.T) {
	bubble(t, func(c *qt.C, _ *memory, a, b *Claims) {
		now := time.Now().UTC()
		time.Sleep(time.Until(now.Truncate(24 * time.Hour).Add(24*time.Hour - time.Second)))
		c.Assert(a.Begin(context.Background(), order).Verdict, qt.Equals, Run)
		time.Sleep(2 * time.Second)
		c.Check(b.Begin(context.Background(), order).Verdict, qt.Equals, OutcomeUnknown)
		time.Sleep(23 * time.Hour)
		c.Check(b.Begin(context.Background(), order).Verdict, qt.Equals, OutcomeUnknown)
	})
}

// TestLost loses the answer to a claim, in each of the two ways.
//
// If it took effect, it is found by its id and the order runs, once. If not,
// the order must not run, and what may yet appear is taken back, so that its
// caller can send it again with the same key.
func TestLost(t *testing.T) {
	bubble(t, func(c *qt.C, m *memory, a, b *Claims) {
		m.set(func() { m.fail, m.done = platform.ErrUnknown, true })
		c.Check(a.Begin(context.Background(), order).Verdict, qt.Equals, Run)
		m.set(func() { m.fail = nil })
		c.Check(b.Begin(context.Background(), order).Verdict, qt.Equals, OutcomeUnknown)
	})
	bubble(t, func(c *qt.C, m *memory, a, b *Claims) {
		m.set(func() { m.fail, m.done, m.deaf = platform.ErrUnknown, true, true })
		c.Check(a.Begin(context.Background(), order).Verdict, qt.Equals, Undecided)
		c.Check(m.count(), qt.Equals, 1)
		m.set(func() { m.fail, m.deaf = nil, false })
		time.Sleep(time.Minute)
		c.Check(m.count(), qt.Equals, 0)
		c.Check(b.Begin(context.Background(), order).Verdict, qt.Equals, Run)
	})
	bubble(t, func(c *qt.C, m *memory, a, _ *Claims) {
		m.set(func() { m.fail, m.done = platform.ErrUnavailable, false })
		c.Check(a.Begin(context.Background(), order).Verdict, qt.Equals, Undecided)
	})
}

// TestRelease gives a key back whose request did not run. Its answer is lost
// and it is tried again, when another node has the key already: that node's
// claim must stay, or the order would run twice.
func TestRelease(t *testing.T) {
	bubble(t, func(c *qt.C, m *memory, a, b *Claims) {
		first := a.Begin(context.Background(), order)
		c.Assert(first.Verdict, qt.Equals, Run)
		m.set(func() { m.fail, m.done = platform.ErrUnknown, true })
		a.Release(first.Claim)
		synctest.Wait()
		m.set(func() { m.fail = nil })
		c.Assert(b.Begin(context.Background(), order).Verdict, qt.Equals, Run)
		time.Sleep(time.Minute)
		c.Check(m.count(), qt.Equals, 1)
		c.Check(a.Begin(context.Background(), order).Verdict, qt.Equals, OutcomeUnknown)
	})
}

// TestBatch sends many orders at once: a few transactions carry them.
func TestBatch(t *testing.T) {
	bubble(t, func(c *qt.C, m *memory, a, _ *Claims) {
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				d := a.Begin(context.Background(), Request{Service: "orderdesk", Key: fmt.Sprintf("k-%d", i)})
				c.Check(d.Verdict, qt.Equals, Run)
			})
		}
		wg.Wait()
		c.Check(m.tries <= 3, qt.IsTrue, qt.Commentf("%d transactions", m.tries))
	})
}

// TestSpoiled sends an order that was sent before among many others: it must
// not spoil the rest of its transaction.
func TestSpoiled(t *testing.T) {
	bubble(t, func(c *qt.C, _ *memory, a, b *Claims) {
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

// TestGather hands the claims of one node on to another one, which fails in
// each way that it can.
//
// It may be gone before it was asked, or its answer may be lost. In the first
// case the node commits by itself; in the second the order must not run, and
// its key is given back.
func TestGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newMemory()
		root := New(Deps{Store: m, Host: "erie-a-0"})
		var fail error
		lose := false
		a := New(Deps{Store: m, Host: "erie-a-1", Forward: func(ctx context.Context, b []byte) ([]byte, error) {
			if fail != nil {
				return nil, fail
			}
			out, err := root.CommitForwarded(ctx, b)
			if lose {
				return nil, context.DeadlineExceeded
			}
			return out, err
		}})
		begin := func(key string) Verdict {
			return a.Begin(context.Background(), Request{Service: "orderdesk", Key: key, Fingerprint: 7}).Verdict
		}
		c.Check(begin("k1"), qt.Equals, Run)
		c.Check(begin("k1"), qt.Equals, OutcomeUnknown)
		fail = ErrCommitLocally
		c.Check(begin("k2"), qt.Equals, Run)
		fail = nil
		lose = true
		c.Check(begin("k3"), qt.Equals, Undecided)
		lose = false
		time.Sleep(time.Minute)
		c.Check(begin("k3"), qt.Equals, Run)
		// A peer writes claims by this way and nothing else.
		for _, o := range []ForwardedWrite{
			{ID: "x", Key: "head", Value: []byte("{}")},
			{ID: "x", Key: Prefix + "20260101/a", Value: []byte("{}"), Absent: []string{"head"}},
			{ID: "x", Key: Prefix + "20260101/a"},
		} {
			b, err := codec.Encode([]ForwardedWrite{o})
			c.Assert(err, qt.IsNil)
			_, err = root.CommitForwarded(context.Background(), b)
			c.Check(err, qt.Equals, ErrMalformed)
		}
		a.Close()
		root.Close()
	})
}

// TestSweep deletes claims of days that nobody asks for any more, and no others.
func TestSweep(t *testing.T) {
	bubble(t, func(c *qt.C, m *memory, a, _ *Claims) {
		for day := range 5 {
			r := order
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
