// Package claim prevents requests that are not repeatable from running twice
// when their callers send them again with the same Idempotency-Key.
//
// Nodes have no durable storage, and failure domains can be partitioned from
// each other. When two nodes receive the same key, only the platform's table can
// decide between them. Before a node sends the request anywhere, it writes a
// claim, on the condition that the table has no claim for the key:
//
//	d := claims.Begin(ctx, claim.Request{Service: "orderdesk", Key: key, Fingerprint: fingerprint})
//	switch d.Verdict {
//	case claim.Run:            // this node runs it; call Finish or Release with d.Claim
//	case claim.Replay:         // it has run; d.Outcome is the stored response
//	case claim.OutcomeUnknown: // it was sent before; its response is not known or not stored
//	case claim.Conflict:       // the key was used for a different request
//	case claim.Undecided:      // the table could not decide; do not run it
//	}
//
// A claim does not expire while its request can still be in flight, and no
// other node takes it over, so a node that resumes after a pause cannot cause a
// second run. Claims of concurrent requests share a transaction: see batch.go.
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

// Limits and timeouts of claims.
const (
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// MaxBodyBytes is the size up to which a response body is stored for a replay.
	MaxBodyBytes = 16 << 10
	// RetentionDays is the number of whole days for which a key is remembered.
	RetentionDays = 1
	// decisionTimeout bounds the decision on one claim. It also bounds each step
	// of a batch: the wait for the rate limit, the commit and the forwarding.
	decisionTimeout = 3 * time.Second
	// finalWriteTimeout is the time after which Finish and Release stop retrying.
	finalWriteTimeout       = 30 * time.Second
	finalWriteRetryInterval = time.Second
)

// Verdict says what the node does with a request.
type Verdict int

// The verdicts; the package comment explains them.
const (
	Undecided Verdict = iota
	Run
	Replay
	OutcomeUnknown
	Conflict
)

// Request identifies a request and its idempotency key.
type Request struct {
	Service string
	// Workspace is the name of the caller's workspace, empty if it has none. The same key
	// of another workspace identifies another request.
	Workspace string
	Key       string
	// Fingerprint distinguishes requests: the same key with another fingerprint
	// is a different request.
	Fingerprint uint64
}

// Outcome is a response that is stored for a replay.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is set when the body was larger than MaxBodyBytes and is not
	// stored.
	BodyOmitted bool `json:"cut,omitempty"`
}

// row is the value of a claim in the table.
type row struct {
	ID          string   `json:"id"`
	Fingerprint uint64   `json:"print"`
	Host        string   `json:"host"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// Claim is a request that this node has claimed and may run.
type Claim struct {
	key string
	row row
}

// Decision is the result of Begin. Claim is set for Run, and Outcome for Replay.
type Decision struct {
	Verdict Verdict
	Claim   *Claim
	Outcome Outcome
}

// Deps are the dependencies of Claims.
type Deps struct {
	Store   platform.Store
	Log     *event.Log
	Host    string
	Metrics *metrics.Set
	// Forward, if set, sends claims to the node that commits those of its
	// failure domain: see forward.go.
	Forward Forward
}

// Claims reads and writes claims in the platform's table. New makes one.
type Claims struct {
	store   platform.Store
	log     *event.Log
	host    string
	forward Forward
	// forwardQueue holds writes to forward, commitQueue the claims that this
	// node commits itself, and outcomeQueue outcomes, which are added to batches
	// of claims.
	forwardQueue chan *pendingWrite
	commitQueue  chan *pendingWrite
	outcomeQueue chan *pendingWrite
	limiter      *rate.Limiter
	done         chan struct{}
	wg           sync.WaitGroup
	// finalWrites counts the unfinished writes of Finish and Release.
	finalWrites sync.WaitGroup

	transactions *metrics.Counter
	rows         *metrics.Counter
}

// queueSize is the capacity of each queue, in writes.
const queueSize = 4096

// New starts a Claims. Close stops it.
func New(d Deps) *Claims {
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	c := &Claims{
		store: d.Store, log: d.Log, host: d.Host, forward: d.Forward,
		forwardQueue: make(chan *pendingWrite, queueSize),
		commitQueue:  make(chan *pendingWrite, queueSize),
		outcomeQueue: make(chan *pendingWrite, queueSize),
		limiter:      rate.NewLimiter(TransactionsPerSecond, transactionBurst),
		done:         make(chan struct{}),
		transactions: d.Metrics.GetOrCreateCounter("briarrock_claim_transactions_total"),
		rows:         d.Metrics.GetOrCreateCounter("briarrock_claim_rows_total"),
	}
	c.wg.Go(func() { c.runBatches(c.commitQueue, c.commitRateLimited) })
	c.wg.Go(func() { c.runBatches(c.forwardQueue, c.forwardBatch) })
	c.wg.Go(c.flushOutcomes)
	return c
}

// TransactionsPerSecond is the rate limit for the claims of the whole mesh. It
// leaves a part of the several hundred writes a second that the platform can do
// to other uses.
const TransactionsPerSecond = 300

// transactionBurst is how many transactions a node may do at once after an idle
// period.
const transactionBurst = 20

// SetCommitters divides TransactionsPerSecond evenly among the n nodes that
// commit claims and applies one part as this node's rate limit.
func (c *Claims) SetCommitters(n int) {
	c.limiter.SetLimit(rate.Limit(TransactionsPerSecond) / rate.Limit(max(n, 1)))
}

// closeTimeout bounds how long Close waits for the final writes of claims before
// it stops their retries.
const closeTimeout = 3 * time.Second

// Close waits up to closeTimeout for the writes of Finish and Release, and stops
// the goroutines.
func (c *Claims) Close() {
	written := make(chan struct{})
	go func() {
		c.finalWrites.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(closeTimeout):
	}
	close(c.done)
	c.wg.Wait()
	<-written
}

// Begin decides whether this node may run a request, and claims it if so.
func (c *Claims) Begin(ctx context.Context, r Request) Decision {
	now := time.Now().UTC()
	cl := &Claim{
		key: rowKey(now, 0, r),
		row: row{ID: newID(), Fingerprint: r.Fingerprint, Host: c.host},
	}
	value, err := json.Marshal(cl.row)
	if err != nil {
		return Decision{}
	}
	p := &pendingWrite{
		write:  platform.Write{Key: cl.key, Value: value},
		absent: absentKeys(now, r),
		id:     cl.row.ID,
		result: make(chan writeResult, 1),
	}
	res, ok := c.submit(ctx, p)
	if !ok {
		c.release(cl, false)
		return Decision{}
	}
	return decide(cl, res, r.Fingerprint)
}

func decide(cl *Claim, res writeResult, fingerprint uint64) Decision {
	switch {
	case res.undecided:
		return Decision{}
	case res.applied:
		return Decision{Verdict: Run, Claim: cl}
	case res.row.Fingerprint != fingerprint:
		return Decision{Verdict: Conflict}
	case res.row.Outcome != nil && !res.row.Outcome.BodyOmitted:
		return Decision{Verdict: Replay, Outcome: *res.row.Outcome}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// localQueue returns the queue for a write that this node commits itself.
func (c *Claims) localQueue(p *pendingWrite) chan *pendingWrite {
	if p.isOutcome {
		return c.outcomeQueue
	}
	return c.commitQueue
}

// submit queues a write and waits for its result. It returns false if the
// result is not known and the write may have taken effect or may still do so.
func (c *Claims) submit(ctx context.Context, p *pendingWrite) (writeResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	queue := c.localQueue(p)
	if c.forward != nil {
		queue = c.forwardQueue
	}
	select {
	case queue <- p:
	default:
		return writeResult{undecided: true}, true // nothing was written
	}
	select {
	case res := <-p.result:
		return res, !res.undecided || !res.mayApply
	case <-ctx.Done():
		return writeResult{}, false
	case <-c.done:
		return writeResult{}, false
	}
}

// Finish stores a request's outcome for replays. It returns at once and writes
// in the background. If the write fails, a repeated request gets
// OutcomeUnknown, which is correct.
//
// The write has no condition, so that it can share a transaction with claims.
// This is safe, also if the write is done twice, because the row of a request
// that has run is never deleted by Release or taken over.
func (c *Claims) Finish(cl *Claim, o Outcome) {
	if len(o.Body) > MaxBodyBytes {
		o.Body, o.BodyOmitted = nil, true
	}
	finished := cl.row
	finished.Outcome = &o
	value, err := json.Marshal(finished)
	if err != nil {
		return
	}
	c.finalWrites.Go(func() {
		c.retryFinalWrite(cl, func(ctx context.Context) bool {
			res, ok := c.submit(ctx, &pendingWrite{
				write:     platform.Write{Key: cl.key, Value: value},
				result:    make(chan writeResult, 1),
				isOutcome: true,
			})
			return ok && res.applied
		})
	})
}

// Release deletes the claim of a request that provably did not run, so that its
// caller can use the key again. It returns at once and deletes in the background.
func (c *Claims) Release(cl *Claim) { c.release(cl, true) }

// release deletes a claim's row in the background. written says that the row is
// known to have been written. A missing row then means that it has been
// deleted. Otherwise a write whose answer was lost may still create the row, and
// the delete is retried.
func (c *Claims) release(cl *Claim, written bool) {
	c.finalWrites.Go(func() {
		c.retryFinalWrite(cl, func(ctx context.Context) bool { return c.deleteOwn(ctx, cl, written) })
	})
}

// retryFinalWrite calls write until it returns true, finalWriteTimeout passes, or
// Claims is closed.
func (c *Claims) retryFinalWrite(cl *Claim, write func(context.Context) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), finalWriteTimeout)
	defer cancel()
	for !write(ctx) {
		select {
		case <-ctx.Done():
			c.log.Emit(event.ClaimLost, event.Fields{event.Subject: cl.key})
			return
		case <-c.done:
			return
		case <-time.After(finalWriteRetryInterval):
		}
	}
}

// deleteOwn deletes the claim's row on the condition that it is still this
// claim's. It returns true if nothing is left to delete. The condition is needed
// when the answer to a delete is lost: without it, the retry could delete a claim
// that another node has made in the meantime, and the request would run twice.
func (c *Claims) deleteOwn(ctx context.Context, cl *Claim, written bool) bool {
	r, err := c.store.Get(ctx, cl.key)
	if errors.Is(err, platform.ErrMissing) {
		return written
	}
	if err != nil {
		return false
	}
	var stored row
	if json.Unmarshal(r.Value, &stored) != nil || stored.ID != cl.row.ID {
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

// Prefix is the prefix of the keys of all claims. The day follows it, so that
// old claims can be listed and deleted together.
const Prefix = "once/"

// day formats the UTC day that is offset days after now, as it appears in keys.
func day(now time.Time, offset int) string {
	return now.AddDate(0, 0, offset).Format("20060102")
}

func rowKey(now time.Time, dayOffset int, r Request) string {
	name := r.Service + "\x00" + r.Key
	if r.Workspace != "" {
		// The leading zero byte and the length make the name distinct from any other.
		name = fmt.Sprintf("\x00%d:%s%s", len(r.Workspace), r.Workspace, name)
	}
	sum := blake3.Sum256([]byte(name))
	return fmt.Sprintf("%s%s/%s", Prefix, day(now, dayOffset), hex.EncodeToString(sum[:16]))
}

// absentKeys returns the keys at which an earlier claim for the same request
// can be: those of today, yesterday and tomorrow. Tomorrow is included because
// the clocks of two hosts can be on different sides of midnight.
func absentKeys(now time.Time, r Request) []string {
	return []string{rowKey(now, 0, r), rowKey(now, -1, r), rowKey(now, 1, r)}
}

// Fingerprint returns a hash of a request that is never 0. start is the part of
// the body that the node has buffered, and length the request's Content-Length.
func Fingerprint(service, method, target string, length int64, start []byte) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00%s\x00%s\x00%d\x00", service, method, target, length)
	_, _ = d.Write(start)
	return max(d.Sum64(), 1)
}
