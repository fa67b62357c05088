package claim

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"briarrock.example/mesh/codec"
	"briarrock.example/mesh/platform"
)

// In a large mesh each node has few claims, and a transaction of its own for
// each would be more than the platform does. There the nodes of a domain hand
// their claims to one of them, which commits all of the domain's together.
//
// That node decides nothing and is remembered by nobody: the claim's id is made
// by the node that will send the request, and the table tells whose it is. So
// any node may gather, two may at once, and if the one that was asked does not
// answer, the claim is as one whose answer the platform lost.

// ForwardedWrite is a claim that is handed on.
type ForwardedWrite struct {
	ID     string   `cbor:"1,keyasint"`
	Key    string   `cbor:"2,keyasint"`
	Value  []byte   `cbor:"3,keyasint"`
	Absent []string `cbor:"4,keyasint,omitempty"`
	// IsOutcome is set for an outcome. It is answered as soon as it is in line: if
	// the gathering node dies with it, a repeat is told that the outcome isn't
	// known, which is true.
	IsOutcome bool `cbor:"5,keyasint,omitempty"`
}

// ForwardedResult is what became of an Order.
type ForwardedResult struct {
	Applied   bool   `cbor:"1,keyasint,omitempty"`
	Row       []byte `cbor:"2,keyasint,omitempty"` // the row that was there, if not ours
	Undecided bool   `cbor:"3,keyasint,omitempty"`
	MayApply  bool   `cbor:"4,keyasint,omitempty"`
}

// Forward sends encoded orders to the node that gathers, and returns the
// encoded results. It returns ErrHere if this node is to commit by itself, and
// any other error if the orders may have been sent.
type Forward func(ctx context.Context, orders []byte) ([]byte, error)

// ErrCommitLocally says that claims are committed by this node itself.
var ErrCommitLocally = errors.New("claim: commit here")

// ErrMalformed says that bytes from a peer are no orders or results.
var ErrMalformed = errors.New("claim: malformed orders")

// handOn hands a batch to the node that gathers, or commits it here.
func (c *Claims) handOn(batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	results, err := c.ask(ctx, batch)
	switch {
	case errors.Is(err, ErrCommitLocally):
		for _, p := range batch {
			enqueue(c.queueOf(p), p)
		}
	case err != nil:
		decideAll(batch, found{unsure: true, maybe: true})
	default:
		for i, p := range batch {
			p.decided <- results[i].found()
		}
	}
}

func (c *Claims) ask(ctx context.Context, batch []*pending) ([]ForwardedResult, error) {
	orders := make([]ForwardedWrite, 0, len(batch))
	for _, p := range batch {
		orders = append(orders, ForwardedWrite{p.id, p.write.Key, p.write.Value, p.absent, p.late})
	}
	b, err := codec.Encode(orders)
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

func (r ForwardedResult) found() found {
	f := found{ours: r.Applied, unsure: r.Undecided, maybe: r.MayApply}
	if !r.Applied && !r.Undecided && json.Unmarshal(r.Row, &f.row) != nil {
		return found{unsure: true, maybe: true}
	}
	return f
}

// CommitForwarded commits orders of other nodes of the domain, together with this
// node's own, and returns the encoded results.
func (c *Claims) CommitForwarded(ctx context.Context, b []byte) ([]byte, error) {
	var orders []ForwardedWrite
	if err := codec.Decode(b, &orders); err != nil || len(orders) > batchMost {
		return nil, ErrMalformed
	}
	for _, o := range orders {
		if !o.valid() {
			return nil, ErrMalformed
		}
	}
	results := make([]ForwardedResult, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Go(func() { results[i] = c.serve(ctx, o) })
	}
	wg.Wait()
	return codec.Encode(results)
}

// valid bounds an order: whatever a peer asks for, it writes claims only.
func (o ForwardedWrite) valid() bool {
	ok := isClaim(o.Key) && len(o.Value) > 0 && len(o.Value) <= platform.MaxValue && len(o.Absent) <= maxAbsent
	for _, key := range o.Absent {
		ok = ok && isClaim(key)
	}
	return ok
}

// maxAbsent is the number of places where an earlier claim can be.
const maxAbsent = 3

func isClaim(key string) bool {
	return len(key) <= platform.MaxKey && len(key) > len(Prefix) && key[:len(Prefix)] == Prefix
}

func (c *Claims) serve(ctx context.Context, o ForwardedWrite) ForwardedResult {
	p := &pending{
		write: platform.Write{Key: o.Key, Value: o.Value}, absent: o.Absent, id: o.ID,
		decided: make(chan found, 1), late: o.IsOutcome,
	}
	enqueue(c.queueOf(p), p)
	if o.IsOutcome && len(p.decided) == 0 {
		return ForwardedResult{Applied: true}
	}
	select {
	case f := <-p.decided:
		r := ForwardedResult{Applied: f.ours, Undecided: f.unsure, MayApply: f.maybe}
		if !f.ours && !f.unsure {
			r.Row, _ = json.Marshal(f.row)
		}
		return r
	case <-ctx.Done():
		return ForwardedResult{Undecided: true, MayApply: true}
	case <-c.done:
		return ForwardedResult{Undecided: true, MayApply: true}
	}
}
