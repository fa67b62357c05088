package event_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"briarrock.example/mesh/event"
)

// blockedWriter is a writer whose Write blocks until unblock is closed, as a
// pipe does while its reader has stopped.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

// TestFullPipe logs to a pipe whose reader has stopped. Without the queue a
// request would block in the write of its log line.
//
// The test checks that writes do not block, that a bounded number of lines is
// buffered, and that the number of dropped lines is logged once the reader
// resumes.
func TestFullPipe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &blockedWriter{unblock: make(chan struct{})}
		q := event.NewQueue(w, 8)
		for i := range 100 {
			_, _ = fmt.Fprintf(q, "line %d\n", i)
		}
		synctest.Wait()
		close(w.unblock)
		q.Close(time.Minute)
		lines := strings.Split(strings.TrimSpace(w.written.String()), "\n")
		missing := 0
		for _, l := range lines {
			if strings.Contains(l, "logdropped") {
				_, n, _ := strings.Cut(l, `"lines":`)
				_, err := fmt.Sscanf(n, "%d}", &missing)
				c.Assert(err, qt.IsNil)
			}
		}
		c.Check(missing > 0, qt.IsTrue)
		c.Check(len(lines)-1+missing, qt.Equals, 100)
	})
}

// TestStoppedReader checks that Close returns after its timeout when the log's
// reader has stopped for good, so that the process can exit.
func TestStoppedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{unblock: make(chan struct{})}
		q := event.NewQueue(w, 8)
		_, _ = q.Write([]byte("line"))
		began := time.Now()
		q.Close(time.Second)
		qt.New(t).Check(time.Since(began), qt.Equals, time.Second)
		_, _ = q.Write([]byte("late"))
		close(w.unblock)
	})
}

// TestCalls logs more calls per second than the limits allow. It checks that
// routine and unusual calls have separate limits and that the next line reports
// how many lines were omitted.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		log := event.New(&out, true, logrus.InfoLevel, "erie-a-1")
		time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
		for range 1000 {
			log.Call(event.CallAnswered, nil, true)
			log.Call(event.CallGivenUp, nil, false)
		}
		c.Check(strings.Count(out.String(), "answered"), qt.Equals, 10)
		c.Check(strings.Count(out.String(), "givenup"), qt.Equals, 100)
		out.Reset()
		time.Sleep(time.Second)
		log.Call(event.CallGivenUp, nil, false)
		c.Check(out.String(), qt.Contains, `"skipped":900`)
	})
}
