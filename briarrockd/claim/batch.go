package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/platform"
)

// Bounds of batches.
const (
	// batchMost bounds the claims of one transaction.
	batchMost = 64
	// batchEvery is the least time between two transactions of a node. One is
	// under way at a time, so under load a batch holds whatever came in while
	// the last one was being written.
	batchEvery = 4 * time.Millisecond
	// maxLater is how long an outcome waits for claims to go along with.
	maxLater = 250 * time.Millisecond
	// readers bounds the reads that one failed batch does at a time.
	readers = 8
)

// pending is a claim that waits for its transaction.
type pending struct {
	write   platform.Write
	absent  []string
	id      string
	decided chan found
	// late is set for an outcome, which can wait and goes along with claims.
	late bool
}

// found is what became of a pending claim.
type found struct {
	ours bool
	row  row // the claim that was there before, if not ours
	// unsure is set when the table could not tell; maybe, when the claim may
	// yet take effect.
	unsure bool
	maybe  bool
}

// run gathers claims from a queue and sees to them, one batch at a time.
func (c *Claims) run(queue chan *pending, see func([]*pending)) {
	for {
		select {
		case <-c.done:
			return
		case p := <-queue:
			began := time.Now()
			see(gather(queue, p))
			if rest := batchEvery - time.Since(began); rest > 0 {
				time.Sleep(rest)
			}
		}
	}
}

// gather takes what waits, up to a full batch. Two claims with the same key
// never share a transaction: the second one waits for what becomes of the
// first.
func gather(queue chan *pending, first *pending) []*pending {
	batch := []*pending{first}
	keys := map[string]bool{first.write.Key: true}
	for len(batch) < batchMost {
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

// enqueue puts a claim in line; a full queue decides it as not made.
func enqueue(queue chan *pending, p *pending) {
	select {
	case queue <- p:
	default:
		p.decided <- found{unsure: true}
	}
}

// commitPaced commits a batch within this node's share of the platform. While
// it waits for its turn more claims come in, and so the next batch is larger.
func (c *Claims) commitPaced(batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if c.pace.Wait(ctx) != nil {
		decideAll(batch, found{unsure: true})
		return
	}
	c.commit(c.along(batch))
}

// along fills a batch up with outcomes that wait: they cost no transaction of
// their own then.
func (c *Claims) along(batch []*pending) []*pending {
	for len(batch) < batchMost {
		select {
		case p := <-c.later:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// flush commits outcomes that no claim came along for.
func (c *Claims) flush() {
	for {
		select {
		case <-c.done:
			return
		case p := <-c.later:
			time.Sleep(maxLater)
			c.commitPaced([]*pending{p})
		}
	}
}

func (c *Claims) commit(batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	c.batches.Inc()
	c.rows.Add(len(batch))
	err := c.store.Transact(ctx, transaction(batch))
	switch {
	case err == nil:
		decideAll(batch, found{ours: true})
	case errors.Is(err, platform.ErrUnavailable):
		decideAll(batch, found{unsure: true})
	default:
		c.resolveUnknown(ctx, batch, errors.Is(err, platform.ErrCondition))
	}
}

func transaction(batch []*pending) platform.Transaction {
	var t platform.Transaction
	for _, p := range batch {
		for _, key := range p.absent {
			t.Conditions = append(t.Conditions, platform.Condition{Key: key})
		}
		t.Writes = append(t.Writes, p.write)
	}
	return t
}

// resolveUnknown looks up each claim of a batch whose transaction did not succeed.
// After a failed condition those that have no earlier claim are tried again
// together, and if that fails too, one by one. After a lost answer only a row
// with the claim's own id proves that it took effect; a missing row proves
// nothing yet.
func (c *Claims) resolveUnknown(ctx context.Context, batch []*pending, condition bool) {
	missing := c.readAll(ctx, batch)
	if len(missing) == 0 {
		return
	}
	if !condition {
		decideAll(missing, found{unsure: true, maybe: true})
		return
	}
	err := c.store.Transact(ctx, transaction(missing))
	switch {
	case err == nil:
		decideAll(missing, found{ours: true})
	case errors.Is(err, platform.ErrUnavailable):
		decideAll(missing, found{unsure: true})
	default:
		for _, p := range missing {
			p.decided <- c.alone(ctx, p)
		}
	}
}

func decideAll(batch []*pending, f found) {
	for _, p := range batch {
		p.decided <- f
	}
}

// readAll decides the claims for which there is a row, and returns the others.
func (c *Claims) readAll(ctx context.Context, batch []*pending) []*pending {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var rest []*pending
	slots := make(chan struct{}, readers)
	for _, p := range batch {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			f, missing := c.read(ctx, p)
			if !missing {
				p.decided <- f
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

// alone tries one claim by itself.
func (c *Claims) alone(ctx context.Context, p *pending) found {
	err := c.store.Transact(ctx, transaction([]*pending{p}))
	switch {
	case err == nil:
		return found{ours: true}
	case errors.Is(err, platform.ErrUnavailable):
		return found{unsure: true}
	}
	f, missing := c.read(ctx, p)
	if missing {
		return found{unsure: true, maybe: true}
	}
	return f
}

// read looks for a claim in all the places where one can be.
func (c *Claims) read(ctx context.Context, p *pending) (found, bool) {
	for _, key := range p.absent {
		r, err := c.store.Get(ctx, key)
		if errors.Is(err, platform.ErrMissing) {
			continue
		}
		if err != nil {
			return found{unsure: true, maybe: true}, false
		}
		var held row
		if err := json.Unmarshal(r.Value, &held); err != nil {
			return found{unsure: true, maybe: true}, false
		}
		return found{ours: held.ID == p.id, row: held}, false
	}
	return found{}, true
}
