package claim

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"briarrock.example/mesh/codec"
	"briarrock.example/mesh/platform"
)

// In a large mesh each node has few claims, and one transaction per node would
// exceed the platform's write rate. The nodes of a failure domain therefore
// forward their claims to one of them, which commits them together.
//
// The committing node decides nothing and keeps no state about claims: the node
// that will send the request makes the claim's id, and the row in the table
// says whose claim it is. So any node can commit, and two can at the same time.
// If the committing node does not answer, the claim is treated like one whose
// answer from the platform was lost.

// ForwardedWrite is a claim or an outcome that another node is to commit.
type ForwardedWrite struct {
	ID     string   `cbor:"1,keyasint"`
	Key    string   `cbor:"2,keyasint"`
	Value  []byte   `cbor:"3,keyasint"`
	Absent []string `cbor:"4,keyasint,omitempty"` // keys that must have no row
	// IsOutcome is set for an outcome. An outcome is acknowledged as soon as it
	// is queued. If the committing node dies before it commits, a repeated request
	// gets OutcomeUnknown, which is correct.
	IsOutcome bool `cbor:"5,keyasint,omitempty"`
}

// ForwardedResult is the result of a ForwardedWrite.
type ForwardedResult struct {
	Applied bool   `cbor:"1,keyasint,omitempty"`
	Row     []byte `cbor:"2,keyasint,omitempty"` // the earlier row, if not applied
	// Undecided is set when the result is not known. MayApply is set as well if
	// the write may have taken effect or may still do so.
	Undecided bool `cbor:"3,keyasint,omitempty"`
	MayApply  bool `cbor:"4,keyasint,omitempty"`
}

// Forward sends encoded writes to the committing node and returns the encoded
// results. It returns ErrCommitLocally if this node is to commit them itself,
// and any other error if the writes may have been sent.
type Forward func(ctx context.Context, writes []byte) ([]byte, error)

// ErrCommitLocally reports that this node commits its claims itself.
var ErrCommitLocally = errors.New("claim: this node commits its claims itself")

// ErrMalformed reports bytes from a peer that are not valid writes or results.
var ErrMalformed = errors.New("claim: malformed forwarded writes or results")

// forwardBatch sends a batch to the committing node, or queues it for this node's
// own transactions.
func (c *Claims) forwardBatch(batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	results, err := c.forwardWrites(ctx, batch)
	switch {
	case errors.Is(err, ErrCommitLocally):
		for _, p := range batch {
			enqueue(c.localQueue(p), p)
		}
	case err != nil:
		sendResult(batch, writeResult{undecided: true, mayApply: true})
	default:
		for i, p := range batch {
			p.result <- results[i].writeResult()
		}
	}
}

func (c *Claims) forwardWrites(ctx context.Context, batch []*pendingWrite) ([]ForwardedResult, error) {
	writes := make([]ForwardedWrite, 0, len(batch))
	for _, p := range batch {
		writes = append(writes, ForwardedWrite{p.id, p.write.Key, p.write.Value, p.absent, p.isOutcome})
	}
	b, err := codec.Encode(writes)
	if err != nil {
		return nil, ErrCommitLocally
	}
	answer, err := c.forward(ctx, b)
	if err != nil {
		return nil, err
	}
	var results []ForwardedResult
	if err := codec.Decode(answer, &results); err != nil || len(results) != len(batch) {
		return nil, ErrMalformed
	}
	return results, nil
}

func (r ForwardedResult) writeResult() writeResult {
	res := writeResult{applied: r.Applied, undecided: r.Undecided, mayApply: r.MayApply}
	if !r.Applied && !r.Undecided && json.Unmarshal(r.Row, &res.row) != nil {
		return writeResult{undecided: true, mayApply: true}
	}
	return res
}

// CommitForwarded commits encoded writes of other nodes of the domain, together
// with this node's own, and returns the encoded results.
func (c *Claims) CommitForwarded(ctx context.Context, b []byte) ([]byte, error) {
	var writes []ForwardedWrite
	if err := codec.Decode(b, &writes); err != nil || len(writes) > maxBatch {
		return nil, ErrMalformed
	}
	for _, w := range writes {
		if !w.valid() {
			return nil, ErrMalformed
		}
	}
	results := make([]ForwardedResult, len(writes))
	var wg sync.WaitGroup
	for i, w := range writes {
		wg.Go(func() { results[i] = c.commitOneForwarded(ctx, w) })
	}
	wg.Wait()
	return codec.Encode(results)
}

// valid reports whether the write is within bounds and touches only keys of
// claims, so that a peer can write nothing else through this node.
func (w ForwardedWrite) valid() bool {
	ok := isClaimKey(w.Key) && len(w.Value) > 0 && len(w.Value) <= platform.MaxValue && len(w.Absent) <= maxAbsent
	for _, key := range w.Absent {
		ok = ok && isClaimKey(key)
	}
	return ok
}

// maxAbsent is the number of keys at which an earlier claim can be.
const maxAbsent = 3

func isClaimKey(key string) bool {
	return len(key) <= platform.MaxKey && len(key) > len(Prefix) && key[:len(Prefix)] == Prefix
}

func (c *Claims) commitOneForwarded(ctx context.Context, w ForwardedWrite) ForwardedResult {
	p := &pendingWrite{
		write: platform.Write{Key: w.Key, Value: w.Value}, absent: w.Absent, id: w.ID,
		result: make(chan writeResult, 1), isOutcome: w.IsOutcome,
	}
	enqueue(c.localQueue(p), p)
	if w.IsOutcome && len(p.result) == 0 {
		return ForwardedResult{Applied: true}
	}
	select {
	case res := <-p.result:
		r := ForwardedResult{Applied: res.applied, Undecided: res.undecided, MayApply: res.mayApply}
		if !res.applied && !res.undecided {
			r.Row, _ = json.Marshal(res.row)
		}
		return r
	case <-ctx.Done():
		return ForwardedResult{Undecided: true, MayApply: true}
	case <-c.done:
		return ForwardedResult{Undecided: true, MayApply: true}
	}
}
