package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/mesh/platform"
)

// Bounds of one sweep.
const (
	sweepRows    = platform.MaxWrite
	sweepBatches = 20
	// sweepPause is left between two batches, so that a sweep takes a small
	// part of the platform's writes.
	sweepPause = 500 * time.Millisecond
)

// Sweep deletes the claims of days that are no longer asked for and returns
// how many. Claims of yesterday, today and tomorrow are looked at by Begin;
// one more day is left, so that hosts' clocks can differ by hours.
func (c *Claims) Sweep(ctx context.Context, now time.Time) (int, error) {
	oldest := Prefix + day(now.UTC(), -RetentionDays-1) + "/"
	swept := 0
	for range sweepBatches {
		rows, err := c.store.List(ctx, platform.Scan{Prefix: Prefix, Limit: sweepRows})
		if err != nil {
			return swept, errors.Wrap(err, "claim: sweep")
		}
		var t platform.Transaction
		for _, r := range rows {
			if r.Key < oldest {
				t.Writes = append(t.Writes, platform.Write{Key: r.Key})
			}
		}
		if len(t.Writes) == 0 {
			return swept, nil
		}
		if err := c.store.Transact(ctx, t); err != nil {
			return swept, errors.Wrap(err, "claim: sweep")
		}
		swept += len(t.Writes)
		select {
		case <-ctx.Done():
			return swept, nil
		case <-time.After(sweepPause):
		}
	}
	return swept, nil
}
