// Package heap sets how often the runtime collects garbage.
//
// On a host that is mostly idle memory is what a node costs, so garbage is collected
// early. Under load a node allocates for each call, and on a fraction of a core frequent
// collections are time that calls wait for: the heap may then grow further before each.
package heap

import (
	"context"
	"runtime/debug"
	"time"
)

// Percentages of the live heap by which it may grow before the next collection.
const (
	least = 50
	most  = 100
)

const (
	// every is how often collections are counted.
	every = time.Second
	// busy is the number of collections in that time from which on the heap may grow
	// further, calm the one up to which they may be more frequent again.
	busy = 5
	calm = 1
)

// TuneGC adjusts the runtime's percentage to the load until ctx ends.
func TuneGC(ctx context.Context) {
	var stats debug.GCStats
	percent := least
	debug.SetGCPercent(percent)
	tick := time.NewTicker(every)
	defer tick.Stop()
	debug.ReadGCStats(&stats)
	last := stats.NumGC
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		debug.ReadGCStats(&stats)
		if next := adjust(percent, stats.NumGC-last); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
		last = stats.NumGC
	}
}

// adjust is the percentage after a second with n collections.
func adjust(percent int, n int64) int {
	switch {
	case n >= busy:
		return most
	case n <= calm:
		return least
	default:
		return percent
	}
}
