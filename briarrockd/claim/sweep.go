package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/platform"
)

// Limits of one sweep. It deletes at most sweepRows*sweepBatches claims.
const (
	sweepRows    = platform.MaxWrite
	sweepBatches = 20
	// sweepPause is the pause between two batches, so that a sweep takes a small
	// part of the platform's write rate.
	sweepPause = 500 * time.Millisecond
)

// Sweep deletes claims whose retention has ended and returns their number.
// Begin reads the claims of yesterday, today and tomorrow. Sweep keeps one more
// day, because the clocks of hosts can differ by hours.
func (c *Claims) Sweep(ctx context.Context, now time.Time) (int, error) {
	oldestKept := Prefix + day(now.UTC(), -RetentionDays-1) + "/"
	deleted := 0
	for range sweepBatches {
		rows, err := c.store.List(ctx, platform.Scan{Prefix: Prefix, Limit: sweepRows})
		if err != nil {
			return deleted, errors.Wrap(err, "claim: sweep: list claims")
		}
		var t platform.Transaction
		for _, r := range rows {
			if r.Key < oldestKept {
				t.Writes = append(t.Writes, platform.Write{Key: r.Key})
			}
		}
		if len(t.Writes) == 0 {
			return deleted, nil
		}
		if err := c.store.Transact(ctx, t); err != nil {
			return deleted, errors.Wrap(err, "claim: sweep: delete expired claims")
		}
		deleted += len(t.Writes)
		select {
		case <-ctx.Done():
			return deleted, nil
		case <-time.After(sweepPause):
		}
	}
	return deleted, nil
}
