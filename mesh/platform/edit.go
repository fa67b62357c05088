package platform

import (
	"context"
	"time"
)

// Edit holds everything that is stored on the platform for one accepted edit.
type Edit struct {
	Audit    Audit
	Text     []byte
	Snapshot []byte
}

// rereadDelay is the pause before a write row is read again after an
// inconclusive read.
const rereadDelay = 200 * time.Millisecond

// Apply commits an edit. It first writes the edit's objects, and then makes the
// edit the head by executing the actions of a Commit. The objects are named by
// their content hash, so that repeated writes are harmless. The returned Finish holds
// the outcome and, after a conflict, the edit that was committed first. head is
// the head row if the caller has just read it; if head is the zero Row, Apply
// reads the row itself.
func Apply(ctx context.Context, st Store, e Edit, head Row) Finish {
	c := NewCommit(e.Audit)
	row, rowErr := Row{}, error(nil)
	rowRead := make(chan struct{})
	go func() {
		defer close(rowRead)
		row, rowErr = st.Get(ctx, WriteKey(e.Audit.Write))
	}()
	err := putContents(ctx, st, e.Text, e.Snapshot)
	<-rowRead
	if err != nil {
		return Finish{Outcome: Refused}
	}
	next := c.WriteRowRead(row, rowErr)
	if _, first := next.(ReadHead); first && head.Tag != "" {
		next = c.HeadRead(head, nil)
	}
	for {
		switch a := next.(type) {
		case ReadWriteRow:
			if a.Wait {
				Pause(ctx, rereadDelay)
			}
			next = c.WriteRowRead(st.Get(ctx, WriteKey(a.ID)))
		case ReadHead:
			next = c.HeadRead(st.Get(ctx, HeadKey))
		case Transact:
			next = c.Transacted(st.Transact(ctx, a.Transaction))
		case ReadAudit:
			next = c.AuditRead(st.Get(ctx, AuditKey(a.Version)))
		case Finish:
			return a
		}
	}
}

// putContents writes several objects concurrently. Sequential writes would cost
// a node in a region far from the store one round trip per object.
func putContents(ctx context.Context, st Store, contents ...[]byte) error {
	done := make(chan error, len(contents))
	for _, b := range contents {
		go func() { done <- PutContent(ctx, st, b) }()
	}
	var lastErr error
	for range contents {
		if err := <-done; err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// Pause sleeps for d or until ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
