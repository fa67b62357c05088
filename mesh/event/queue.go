package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Queue is a non-blocking writer. It buffers a bounded number of lines in
// memory for a goroutine that writes them to the underlying writer. When the
// buffer is full, further lines are dropped and counted.
//
// The log usually goes to a pipe, whose reader may stop reading. Without the
// queue every request of a healthy node would then block in a write.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue returns a Queue that buffers up to size lines for w. It starts a
// goroutine that runs until Close is called.
func NewQueue(w io.Writer, size int) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, size), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for {
			select {
			case b := <-q.lines:
				q.writeLine(b)
				continue
			default:
			}
			select {
			case b := <-q.lines:
				q.writeLine(b)
			case <-q.stop:
				return
			}
		}
	}()
	return q
}

func (q *Queue) writeLine(b []byte) {
	_, _ = q.w.Write(b) // an error of the log itself cannot be logged
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(q.w, "{\"event\":%d,\"msg\":%q,\"lines\":%d}\n", LogDropped.id, LogDropped.name, n)
	}
}

// Write implements io.Writer. It copies b and never returns an error.
func (q *Queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Close writes the buffered lines and stops the queue. It returns after timeout
// at the latest, since the reader may have stopped for good. Lines that are
// written after Close are dropped.
func (q *Queue) Close(timeout time.Duration) {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
