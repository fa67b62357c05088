package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a writer that never blocks: lines wait in memory, and when a bounded
// number of them does, further ones are left out and counted.
//
// A log goes to a pipe, and whoever reads it may stop. Without the queue each
// request would then hang in a write, on a node that is well.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewQueue starts a queue of up to size lines before w. Close ends it.
func NewQueue(w io.Writer, size int) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, size), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := range q.lines {
			_, _ = q.w.Write(b) // there is nowhere to report it to
			if n := q.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(q.w, "{\"event\":%d,\"msg\":%q,\"lines\":%d}\n", LogDropped.id, LogDropped.name, n)
			}
		}
	}()
	return q
}

// Write implements io.Writer. It takes a copy of b.
func (q *Queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Close writes what waits, unless stop is closed before. Nothing may be
// written after it.
func (q *Queue) Close(stop <-chan struct{}) {
	q.once.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-stop:
	}
}
