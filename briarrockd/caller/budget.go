package caller

import "sync"

const (
	// tokensPerCall is what each call adds to the retry budget of its service. A retry
	// takes one token, so there is one retry for ten calls.
	tokensPerCall = 0.1
	// maxTokens bounds the saved tokens, so that a long time without failures does not
	// allow a burst of retries.
	maxTokens = 10.0
	// maxServices bounds the table of budgets; a full table is cleared.
	maxServices = 8192
)

// Budget is the retry budget of each service: it limits retries to a share of the calls.
// While a whole service is down the attempts at it stay within 1.1 times the calls. More
// retries would not help then, and would overload the service again when it recovers.
type Budget struct {
	mu        sync.Mutex
	tokens    map[string]float64
	maxTokens float64
}

// NewBudget returns a budget that allows each service one retry at the start.
func NewBudget() *Budget { return &Budget{tokens: make(map[string]float64), maxTokens: maxTokens} }

// SetNodeShare limits the saved tokens to this node's part of meshTokens, the most that
// all nodes of the mesh may save in total. So all nodes together stay within meshTokens,
// even if they spend their budgets at once.
func (b *Budget) SetNodeShare(meshTokens float64, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxTokens = min(maxTokens, max(1, meshTokens/float64(max(nodes, 1))))
}

// addCall adds the tokens for a call's first attempt.
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

// takeRetry takes one retry from the budget; false if there is none.
func (b *Budget) takeRetry(service string) bool { return b.take(service, 1) }

// maxUsedForOptional is how far below its maximum the budget may be, in tokens, for an
// optional retry. The rest is reserved for retries of calls that are lost without one.
const maxUsedForOptional = 0.25

// takeOptional takes one optional retry from the budget; false unless the budget is
// nearly full.
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
