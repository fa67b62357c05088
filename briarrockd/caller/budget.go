package caller

import "sync"

// The retry budget.
const (
	// tokensPerCall is what each first attempt pays in: one retry for ten calls.
	tokensPerCall = 0.1
	// maxTokens bounds what is saved up, so that a long quiet time does not pay for
	// a burst of retries.
	maxTokens = 10.0
	// maxServices bounds the table.
	maxServices = 8192
)

// Budget bounds retries to a share of the calls, service by service. While a
// whole service is down the attempts at it stay within 1.1 times the calls:
// retries would not help then, and would keep it down when it comes back.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
	maxTokens   float64
}

// NewBudget returns a budget that starts with a few retries in hand.
func NewBudget() *Budget { return &Budget{tokens: make(map[string]float64), maxTokens: maxTokens} }

// SetNodeShare bounds what is saved up to this node's part of what all nodes of the
// mesh may save together, so that all of them spending at once stay within it.
func (b *Budget) SetNodeShare(meshTokens float64, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxTokens = min(maxTokens, max(1, meshTokens/float64(max(nodes, 1))))
}

// addCall counts a first attempt.
func (b *Budget) addCall(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		if len(b.tokens) >= maxServices {
			clear(b.tokens)
		}
		tokens = 1
	}
	b.tokens[service] = min(b.maxTokens, tokens+tokensPerCall)
}

// takeRetry takes one takeRetry out of the budget; false if there is none.
func (b *Budget) takeRetry(service string) bool { return b.take(service, 1) }

// maxUsedForOptional is how much of the budget may be missing for a retry that can be done without:
// those of calls which are lost otherwise go first.
const maxUsedForOptional = 0.25

// takeOptional takes one retry that can be done without out of the budget, if that is nearly
// full.
func (b *Budget) takeOptional(service string) bool {
	b.mu.Lock()
	minTokens := b.maxTokens - maxUsedForOptional
	b.mu.Unlock()
	return b.take(service, max(1, minTokens))
}

func (b *Budget) take(service string, minTokens float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < minTokens {
		return false
	}
	b.tokens[service]--
	return true
}
