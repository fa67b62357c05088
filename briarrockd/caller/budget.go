package caller

import "sync"

// The retry budget.
const (
	// perCall is what each first attempt pays in: one retry for ten calls.
	perCall = 0.1
	// most bounds what is saved up, so that a long quiet time does not pay for
	// a burst of retries.
	most = 10.0
	// maxServices bounds the table.
	maxServices = 8192
)

// Budget bounds retries to a share of the calls, service by service. While a
// whole service is down the attempts at it stay within 1.1 times the calls:
// retries would not help then, and would keep it down when it comes back.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
	most   float64
}

// NewBudget returns a budget that starts with a few retries in hand.
func NewBudget() *Budget { return &Budget{tokens: make(map[string]float64), most: most} }

// SetNodeShare bounds what is saved up to this node's part of what all nodes of the
// mesh may save together, so that all of them spending at once stay within it.
func (b *Budget) SetNodeShare(all float64, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = min(most, max(1, all/float64(max(nodes, 1))))
}

// call counts a first attempt.
func (b *Budget) call(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have, ok := b.tokens[service]
	if !ok {
		if len(b.tokens) >= maxServices {
			clear(b.tokens)
		}
		have = 1
	}
	b.tokens[service] = min(b.most, have+perCall)
}

// retry takes one retry out of the budget; false if there is none.
func (b *Budget) retry(service string) bool { return b.take(service, 1) }

// maxSpent is how much of the budget may be missing for a retry that can be done without:
// those of calls which are lost otherwise go first.
const maxSpent = 0.25

// spare takes one retry that can be done without out of the budget, if that is nearly
// full.
func (b *Budget) spare(service string) bool {
	b.mu.Lock()
	least := b.most - maxSpent
	b.mu.Unlock()
	return b.take(service, max(1, least))
}

func (b *Budget) take(service string, least float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < least {
		return false
	}
	b.tokens[service]--
	return true
}
