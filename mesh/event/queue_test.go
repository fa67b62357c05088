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

// stuck is a writer that nobody reads from until it is opened.
type stuck struct {
	mu   sync.Mutex
	open chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// TestFullPipe logs to a pipe whose reader has stopped.
//
// A request that logged would hang in its write. The lines wait in memory
// instead, a bounded number of them, the rest is counted, and when the reader
// goes on it is told how many are missing.
func TestFullPipe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &stuck{open: make(chan struct{})}
		q := event.NewQueue(w, 8)
		for i := range 100 {
			_, _ = fmt.Fprintf(q, "line %d\n", i)
		}
		synctest.Wait()
		close(w.open)
		q.Close(time.Minute)
		lines := strings.Split(strings.TrimSpace(w.got.String()), "\n")
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

// TestStoppedReader ends a process whose log nobody reads: it ends all the same.
func TestStoppedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuck{open: make(chan struct{})}
		q := event.NewQueue(w, 8)
		_, _ = q.Write([]byte("line"))
		began := time.Now()
		q.Close(time.Second)
		qt.New(t).Check(time.Since(began), qt.Equals, time.Second)
		_, _ = q.Write([]byte("late"))
		close(w.open)
	})
}

// TestCalls logs more calls than may be logged in a second: the odd ones have a
// bound of their own, and the next line tells how many were left out.
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
