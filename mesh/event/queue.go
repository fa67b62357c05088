package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
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
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue starts a queue of up to size lines before w. Close ends it.
func NewQueue(w io.Writer, size int) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, size), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for {
			select {
			case b := <-q.lines:
				q.put(b)
				continue
			default:
			}
			select {
			case b := <-q.lines:
				q.put(b)
			case <-q.stop:
				return
			}
		}
	}()
	return q
}

func (q *Queue) put(b []byte) {
	_, _ = q.w.Write(b) // there is nowhere to report it to
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.w, "{\"event\":%d,\"msg\":%q,\"lines\":%d}\n", LogDropped.id, LogDropped.name, n)
	}
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

// Close writes what waits, for within at most: the reader may have stopped for
// good. Lines that come later are left out.
func (q *Queue) Close(within time.Duration) {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(within):
	}
}
