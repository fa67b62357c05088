// Package claim keeps requests that may not be repeated from running twice,
// when their callers send them again with the same Idempotency-Key.
//
// Hosts keep nothing and failure domains can be cut off from each other, so
// the only place that can decide between two nodes that get the same key is
// the platform's table. A node writes a claim, on the condition that there is
// none, before it sends the request anywhere:
//
//	v := claims.Begin(ctx, claim.Request{Service: "orderdesk", Key: key, Print: print})
//	switch v.Verdict {
//	case claim.Run:      // ours to run; call Finish or Release on v.Claim
//	case claim.Replay:   // it has run: v.Outcome is the first answer
//	case claim.Repeat:   // it was sent before and its outcome isn't known
//	case claim.Conflict: // the key was used for another request
//	case claim.Unsure:   // the table can't be asked: not run
//	}
//
// A claim never expires while a request could still be under way, and nobody
// takes a claim over, so a holder that wakes from a pause can do no harm.
// Claims of many calls go out in one transaction: see batch.go.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/zeebo/blake3"
	"golang.org/x/time/rate"

	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
)

// Bounds of claims.
const (
	// MaxKeyBytes bounds an idempotency key, in bytes.
	MaxKeyBytes = 255
	// MaxBodyBytes bounds the part of an answer that is kept for a replay.
	MaxBodyBytes = 16 << 10
	// RetentionDays is for how many whole days a key is remembered.
	RetentionDays = 1
	// within bounds the decision on one claim.
	within = 3 * time.Second
	// finishWithin bounds the attempts to keep an outcome.
	finishWithin = 30 * time.Second
	finishEvery  = time.Second
)

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Run
	Replay
	OutcomeUnknown
	Conflict
)

// Request is one request with its key.
type Request struct {
	Service string
	Key     string
	// Fingerprint tells requests apart: the same key with another print is another
	// request.
	Fingerprint uint64
}

// Outcome is an answer that is kept for a replay.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is set when the body was larger than MaxBody and is not kept.
	BodyOmitted bool `json:"cut,omitempty"`
}

// row is the value of a claim in the table.
type row struct {
	ID      string   `json:"id"`
	Print   uint64   `json:"print"`
	Host    string   `json:"host"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Claim is a request that is this node's to run.
type Claim struct {
	key string
	row row
}

// Decision is the answer to Begin.
type Decision struct {
	Verdict Verdict
	Claim   *Claim
	Outcome Outcome
}

// Deps are what Claims needs from outside.
type Deps struct {
	Store   platform.Store
	Log     *event.Log
	Host    string
	Metrics *metrics.Set
	// Forward, if set, hands claims to the node that gathers those of its
	// domain: see gather.go.
	Forward Forward
}

// Claims is a node's way to the table of claims. New makes one.
type Claims struct {
	store   platform.Store
	log     *event.Log
	host    string
	forward Forward
	// in are claims that are handed on, direct those that this node commits.
	in     chan *pending
	direct chan *pending
	later  chan *pending // outcomes, which go along with claims
	pace   *rate.Limiter
	done   chan struct{}
	wg     sync.WaitGroup
	// ends are the writes that end claims and are still to be done.
	ends sync.WaitGroup

	batches *metrics.Counter
	rows    *metrics.Counter
}

// queueSize bounds the claims that wait for a transaction.
const queueSize = 4096

// New starts a Claims. Close stops it.
func New(d Deps) *Claims {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	c := &Claims{
		store: d.Store, log: d.Log, host: d.Host, forward: d.Forward,
		in:      make(chan *pending, queueSize),
		direct:  make(chan *pending, queueSize),
		later:   make(chan *pending, queueSize),
		pace:    rate.NewLimiter(TransactionsPerSecond, burst),
		done:    make(chan struct{}),
		batches: d.Metrics.GetOrCreateCounter("briarrock_claim_transactions_total"),
		rows:    d.Metrics.GetOrCreateCounter("briarrock_claim_rows_total"),
	}
	c.wg.Go(func() { c.run(c.direct, c.commitPaced) })
	c.wg.Go(func() { c.run(c.in, c.handOn) })
	c.wg.Go(c.flush)
	return c
}

// TransactionsPerSecond is the part of the platform's several hundred writes a
// second that the claims of the whole mesh may take.
const TransactionsPerSecond = 300

// burst is how many transactions a node may do at once after a quiet time.
const burst = 20

// SetCommitters sets this node's part of TransactionsPerSecond, as one of n nodes that
// commit claims.
func (c *Claims) SetCommitters(n int) {
	c.pace.SetLimit(rate.Limit(TransactionsPerSecond) / rate.Limit(max(n, 1)))
}

// closeWithin bounds the wait for outcomes that are still to be kept.
const closeWithin = 3 * time.Second

// Close waits a while for outcomes to be kept and stops the goroutines.
func (c *Claims) Close() {
	kept := make(chan struct{})
	go func() {
		c.ends.Wait()
		close(kept)
	}()
	select {
	case <-kept:
	case <-time.After(closeWithin):
	}
	close(c.done)
	c.wg.Wait()
	<-kept
}

// Begin decides on one request.
func (c *Claims) Begin(ctx context.Context, r Request) Decision {
	now := time.Now().UTC()
	cl := &Claim{
		key: rowKey(now, 0, r),
		row: row{ID: newID(), Print: r.Fingerprint, Host: c.host},
	}
	value, err := json.Marshal(cl.row)
	if err != nil {
		return Decision{}
	}
	p := &pending{
		write:   platform.Write{Key: cl.key, Value: value},
		absent:  absentKeys(now, r),
		id:      cl.row.ID,
		decided: make(chan found, 1),
	}
	f, ok := c.submit(ctx, p)
	if !ok {
		c.release(cl, false)
		return Decision{}
	}
	return decide(cl, f, r.Fingerprint)
}

func decide(cl *Claim, f found, mark uint64) Decision {
	switch {
	case f.unsure:
		return Decision{}
	case f.ours:
		return Decision{Verdict: Run, Claim: cl}
	case f.row.Print != mark:
		return Decision{Verdict: Conflict}
	case f.row.Outcome != nil && !f.row.Outcome.BodyOmitted:
		return Decision{Verdict: Replay, Outcome: *f.row.Outcome}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// queueOf is where a write waits for this node's own transactions.
func (c *Claims) queueOf(p *pending) chan *pending {
	if p.late {
		return c.later
	}
	return c.direct
}

// submit hands a write to the batches and waits for the answer.
func (c *Claims) submit(ctx context.Context, p *pending) (found, bool) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	queue := c.queueOf(p)
	if c.forward != nil {
		queue = c.in
	}
	select {
	case queue <- p:
	default:
		return found{unsure: true}, true // nothing was written
	}
	select {
	case f := <-p.decided:
		return f, !f.unsure || !f.maybe
	case <-ctx.Done():
		return found{}, false
	case <-c.done:
		return found{}, false
	}
}

// Finish keeps a request's outcome for replays. It returns at once: if the
// outcome can't be kept, a repeat is told that it isn't known, which is true.
//
// The write has no condition, so that it can share a transaction with other
// claims. That is safe, and stays safe when it is done twice, since the row
// of a request that has run is never deleted or taken over by anybody.
func (c *Claims) Finish(cl *Claim, o Outcome) {
	if len(o.Body) > MaxBodyBytes {
		o.Body, o.BodyOmitted = nil, true
	}
	done := cl.row
	done.Outcome = &o
	value, err := json.Marshal(done)
	if err != nil {
		return
	}
	c.ends.Go(func() {
		c.retryCommit(cl, func(ctx context.Context) bool {
			f, ok := c.submit(ctx, &pending{
				write:   platform.Write{Key: cl.key, Value: value},
				decided: make(chan found, 1),
				late:    true,
			})
			return ok && f.ours
		})
	})
}

// Release takes a claim back whose request provably did not run, so that its
// caller may use the key again.
func (c *Claims) Release(cl *Claim) { c.release(cl, true) }

// release deletes a claim's row. With there set the row is known to have been
// written, and so its absence means that it is deleted; without, a write whose
// answer was lost may still bring it.
func (c *Claims) release(cl *Claim, there bool) {
	c.ends.Go(func() {
		c.retryCommit(cl, func(ctx context.Context) bool { return c.deleteOwn(ctx, cl, there) })
	})
}

// retryCommit tries to write the end of a claim until it succeeds or time is up.
func (c *Claims) retryCommit(cl *Claim, try func(context.Context) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), finishWithin)
	defer cancel()
	for !try(ctx) {
		select {
		case <-ctx.Done():
			c.log.Emit(event.ClaimLost, event.Fields{event.Subject: cl.key})
			return
		case <-c.done:
			return
		case <-time.After(finishEvery):
		}
	}
}

// deleteOwn deletes the claim's row on the condition that it is still this
// claim's. Without the condition, a delete that is done a second time after
// its answer was lost could take away the claim that another node has made
// since, and the request would run twice.
func (c *Claims) deleteOwn(ctx context.Context, cl *Claim, there bool) bool {
	r, err := c.store.Get(ctx, cl.key)
	if errors.Is(err, platform.ErrMissing) {
		return there
	}
	if err != nil {
		return false
	}
	var held row
	if json.Unmarshal(r.Value, &held) != nil || held.ID != cl.row.ID {
		return true
	}
	err = c.store.Transact(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: cl.key, Tag: r.Tag}},
		Writes:     []platform.Write{{Key: cl.key}},
	})
	return err == nil
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Prefix begins the keys of all claims; the day follows, so that old ones can
// be listed and deleted together.
const Prefix = "once/"

// day names a day, off days after the one of now.
func day(now time.Time, off int) string {
	return now.AddDate(0, 0, off).Format("20060102")
}

func rowKey(now time.Time, off int, r Request) string {
	sum := blake3.Sum256([]byte(r.Service + "\x00" + r.Key))
	return fmt.Sprintf("%s%s/%s", Prefix, day(now, off), hex.EncodeToString(sum[:16]))
}

// absentKeys are where an earlier claim for the same request can be: today,
// yesterday, and tomorrow, since the clocks of two hosts may stand on
// different sides of midnight.
func absentKeys(now time.Time, r Request) []string {
	return []string{rowKey(now, 0, r), rowKey(now, -1, r), rowKey(now, 1, r)}
}

// Fingerprint is the fingerprint of a request.
func Fingerprint(service, method, target string, length int64, start []byte) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00%s\x00%s\x00%d\x00", service, method, target, length)
	_, _ = d.Write(start)
	return max(d.Sum64(), 1)
}
