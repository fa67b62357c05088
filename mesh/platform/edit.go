package platform

import (
	"context"
	"time"
)

// Edit is everything that one accepted edit keeps on the platform.
type Edit struct {
	Audit    Audit
	Text     []byte
	Snapshot []byte
}

// rereadAfter is the pause before asking again what became of a write.
const rereadAfter = 200 * time.Millisecond

// Apply commits an edit: first its objects, which are named by their content
// and so may be written twice, then the head by Commit. The Finish tells how
// it ended and, after a conflict, whose edit came first. head is the head row
// if it has just been read; the zero Row stands for not read.
func Apply(ctx context.Context, st Store, e Edit, head Row) Finish {
	c := NewCommit(e.Audit)
	row, rowErr := Row{}, error(nil)
	read := make(chan struct{})
	go func() {
		defer close(read)
		row, rowErr = st.Get(ctx, WriteKey(e.Audit.Write))
	}()
	err := putAll(ctx, st, e.Text, e.Snapshot)
	<-read
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
				Pause(ctx, rereadAfter)
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

// putAll keeps several objects at a time: one after the other would cost a
// node far from the store a round trip each.
func putAll(ctx context.Context, st Store, contents ...[]byte) error {
	done := make(chan error, len(contents))
	for _, b := range contents {
		go func() { done <- PutContent(ctx, st, b) }()
	}
	var first error
	for range contents {
		if err := <-done; err != nil {
			first = err
		}
	}
	return first
}

// Pause waits for d, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
