// Package heap adjusts how often the Go runtime collects garbage.
//
// On a mostly idle host a node's main cost is its memory, so garbage is collected early.
// Under load a node allocates for each call, and on a fraction of a core frequent
// collections delay calls, so the heap may grow further before each collection.
package heap

import (
	"context"
	"runtime/debug"
	"time"
)

// Percentages of the live heap by which it may grow before the next collection (GOGC).
const (
	lowPercent  = 50
	highPercent = 100
)

const (
	// interval is the period over which collections are counted.
	interval = time.Second
	// busyCollections is the number of collections in an interval from which on the heap
	// may grow by highPercent, and calmCollections the number up to which it is limited
	// to lowPercent again.
	busyCollections = 5
	calmCollections = 1
)

// TuneGC adjusts the runtime's GC percentage to the load until ctx ends.
func TuneGC(ctx context.Context) {
	var stats debug.GCStats
	percent := lowPercent
	debug.SetGCPercent(percent)
	tick := time.NewTicker(interval)
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
		if next := nextPercent(percent, stats.NumGC-last); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
		last = stats.NumGC
	}
}

// nextPercent returns the percentage after an interval with n collections.
func nextPercent(percent int, n int64) int {
	switch {
	case n >= busyCollections:
		return highPercent
	case n <= calmCollections:
		return lowPercent
	default:
		return percent
	}
}
