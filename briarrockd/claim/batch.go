package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/platform"
)

// Limits and intervals of batches.
const (
	// maxBatch is the maximum number of writes of one transaction.
	maxBatch = 64
	// minBatchInterval is the minimum time between the starts of two batches of
	// a queue. Only one is in flight at a time, so under load a batch holds all
	// the claims that came in while the previous one was being written.
	minBatchInterval = 4 * time.Millisecond
	// maxOutcomeDelay is how long flushOutcomes waits for more outcomes before it
	// commits the one that it has taken.
	maxOutcomeDelay = 250 * time.Millisecond
	// maxParallelReads bounds the concurrent reads after one failed transaction.
	maxParallelReads = 8
)

// pendingWrite is a claim or an outcome that waits for its transaction.
type pendingWrite struct {
	write  platform.Write
	absent []string // keys that must have no row
	id     string   // the claim's id; empty for an outcome
	// result receives the result once.
	result chan writeResult
	// isOutcome is set for an outcome. Outcomes can wait, and are added to batches
	// of claims.
	isOutcome bool
}

// writeResult is the result of a pendingWrite.
type writeResult struct {
	applied bool
	row     row // the earlier claim, if not applied
	// undecided is set when the result is not known. mayApply is set as well if
	// the write may have taken effect or may still do so.
	undecided bool
	mayApply  bool
}

// runBatches takes batches from a queue and passes them to handle, one at a
// time, until Claims is closed.
func (c *Claims) runBatches(queue chan *pendingWrite, handle func([]*pendingWrite)) {
	for {
		select {
		case <-c.done:
			return
		case p := <-queue:
			startedAt := time.Now()
			handle(collectBatch(queue, p))
			if rest := minBatchInterval - time.Since(startedAt); rest > 0 {
				time.Sleep(rest)
			}
		}
	}
}

// collectBatch returns first and the writes that are in the queue, up to a full
// batch. Two claims with the same key never share a transaction: the second one
// goes back into the queue and waits for the result of the first.
func collectBatch(queue chan *pendingWrite, first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	keys := map[string]bool{first.write.Key: true}
	for len(batch) < maxBatch {
		select {
		case p := <-queue:
			if keys[p.write.Key] {
				enqueue(queue, p)
				return batch
			}
			keys[p.write.Key] = true
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// enqueue appends a write to a queue. If the queue is full, the write's result
// is undecided and nothing is written.
func enqueue(queue chan *pendingWrite, p *pendingWrite) {
	select {
	case queue <- p:
	default:
		p.result <- writeResult{undecided: true}
	}
}

// commitRateLimited commits a batch within this node's rate limit. More claims
// come in while it waits for the limit, which makes the next batch larger.
func (c *Claims) commitRateLimited(batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	if c.limiter.Wait(ctx) != nil {
		sendResult(batch, writeResult{undecided: true})
		return
	}
	c.commit(c.addOutcomes(batch))
}

// addOutcomes fills a batch with waiting outcomes, which then need no
// transaction of their own.
func (c *Claims) addOutcomes(batch []*pendingWrite) []*pendingWrite {
	for len(batch) < maxBatch {
		select {
		case p := <-c.outcomeQueue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// flushOutcomes commits outcomes also when there are no batches of claims. It
// takes one outcome, waits maxOutcomeDelay, and commits it together with those
// that are then in the queue.
func (c *Claims) flushOutcomes() {
	for {
		select {
		case <-c.done:
			return
		case p := <-c.outcomeQueue:
			time.Sleep(maxOutcomeDelay)
			c.commitRateLimited([]*pendingWrite{p})
		}
	}
}

func (c *Claims) commit(batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	c.transactions.Inc()
	c.rows.Add(len(batch))
	err := c.store.Transact(ctx, transaction(batch))
	switch {
	case err == nil:
		sendResult(batch, writeResult{applied: true})
	case errors.Is(err, platform.ErrUnavailable):
		sendResult(batch, writeResult{undecided: true})
	default:
		c.resolveFailed(ctx, batch, errors.Is(err, platform.ErrCondition))
	}
}

func transaction(batch []*pendingWrite) platform.Transaction {
	var t platform.Transaction
	for _, p := range batch {
		for _, key := range p.absent {
			t.Conditions = append(t.Conditions, platform.Condition{Key: key})
		}
		t.Writes = append(t.Writes, p.write)
	}
	return t
}

// resolveFailed reads the row of each write of a batch whose transaction did
// not succeed. After a failed condition the writes that have no earlier row are
// retried in one transaction, and if that fails too, one by one. After a lost
// answer only a row with the write's own id proves that the write took effect;
// a missing row proves nothing, because the transaction may still commit.
func (c *Claims) resolveFailed(ctx context.Context, batch []*pendingWrite, conditionFailed bool) {
	missing := c.readAll(ctx, batch)
	if len(missing) == 0 {
		return
	}
	if !conditionFailed {
		sendResult(missing, writeResult{undecided: true, mayApply: true})
		return
	}
	err := c.store.Transact(ctx, transaction(missing))
	switch {
	case err == nil:
		sendResult(missing, writeResult{applied: true})
	case errors.Is(err, platform.ErrUnavailable):
		sendResult(missing, writeResult{undecided: true})
	default:
		for _, p := range missing {
			p.result <- c.commitOne(ctx, p)
		}
	}
}

func sendResult(batch []*pendingWrite, res writeResult) {
	for _, p := range batch {
		p.result <- res
	}
}

// readAll sends the results of the writes for which a row was found or a read
// failed, and returns the others.
func (c *Claims) readAll(ctx context.Context, batch []*pendingWrite) []*pendingWrite {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var rest []*pendingWrite
	slots := make(chan struct{}, maxParallelReads)
	for _, p := range batch {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			res, missing := c.findRow(ctx, p)
			if !missing {
				p.result <- res
				return
			}
			mu.Lock()
			defer mu.Unlock()
			rest = append(rest, p)
		})
	}
	wg.Wait()
	return rest
}

// commitOne commits one write in a transaction of its own.
func (c *Claims) commitOne(ctx context.Context, p *pendingWrite) writeResult {
	err := c.store.Transact(ctx, transaction([]*pendingWrite{p}))
	switch {
	case err == nil:
		return writeResult{applied: true}
	case errors.Is(err, platform.ErrUnavailable):
		return writeResult{undecided: true}
	}
	res, missing := c.findRow(ctx, p)
	if missing {
		return writeResult{undecided: true, mayApply: true}
	}
	return res
}

// findRow reads all keys at which a claim can be. Its result is that of the
// first row found; it returns true if there is none.
func (c *Claims) findRow(ctx context.Context, p *pendingWrite) (writeResult, bool) {
	for _, key := range p.absent {
		r, err := c.store.Get(ctx, key)
		if errors.Is(err, platform.ErrMissing) {
			continue
		}
		if err != nil {
			return writeResult{undecided: true, mayApply: true}, false
		}
		var stored row
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			return writeResult{undecided: true, mayApply: true}, false
		}
		return writeResult{applied: stored.ID == p.id, row: stored}, false
	}
	return writeResult{}, true
}
