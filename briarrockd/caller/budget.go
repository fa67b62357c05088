package caller

import (
	"sync"
	"time"
)

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

// Where the nodes share one budget, the repeats of a service in any sharedWindow are at
// most maxRepeatShare of its requests plus a fixed number. What a node saves and what its
// calls add follow its own requests, so that the sum over the nodes keeps the limit.
const (
	sharedWindow   = 10 * time.Second
	maxRepeatShare = 0.2
	// maxSharedTokensPerCall is the most that a call which reached a target adds. Calls of
	// a repeated run count as repeats of the called service, so in a chain of two services
	// the limit holds only if each repeats half of it. Calls that no target got don't count
	// as requests.
	maxSharedTokensPerCall = 0.1
	// minSharedTokensPerCall is the least. A node with few calls may save a whole token,
	// which is more than its part of the fixed number, and makes up for it here.
	minSharedTokensPerCall = 0.02
	// nestedTokens is the part of these tokens that a nested call adds: the limit is a
	// share of the requests that callers send, and nested calls are not among them.
	nestedTokens = 0.6
	// savedShare is the part of that rest which a node saves. The other part is a margin
	// for repeats that come from repeated runs, and for fewer requests within the window.
	savedShare = 0.25
	// reservedCalls is for how many calls no optional retry is allowed after a nested
	// call found no token.
	reservedCalls = 20
)

// Budget is the retry budget of each service: it limits retries to a share of the calls.
// While a whole service is down the attempts at it stay within 1.1 times the calls, or 1.2
// times where the nodes share one budget. More retries would not help then, and would
// overload the service again when it recovers.
type Budget struct {
	mu       sync.Mutex
	services map[string]*serviceBudget
	// shared is set once the budget is a part of that of all nodes, and nodeTokens is
	// then this node's part of the fixed number of repeats.
	shared     bool
	nodeTokens float64
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	tokens, maxTokens float64
	// windowStart is when the current window started. current and previous count the
	// calls that reached a target in it and in the one before.
	windowStart       time.Time
	current, previous float64
	// reserved counts down the calls for which the tokens are reserved for nested calls.
	reserved int
}

// NewBudget returns a budget that allows each service one retry at the start.
func NewBudget() *Budget { return &Budget{services: make(map[string]*serviceBudget)} }

// SetNodeShare limits the saved tokens to this node's part of meshTokens, the most that
// all nodes of the mesh may save in total, and to a part of its requests. So all nodes
// together stay within the limit, even if they spend their budgets at once.
func (b *Budget) SetNodeShare(meshTokens float64, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shared, b.nodeTokens = true, meshTokens/float64(max(nodes, 1))
}

// service returns the budget of a service.
func (b *Budget) service(name string) *serviceBudget {
	s := b.services[name]
	if s == nil {
		if len(b.services) >= maxServices {
			clear(b.services)
		}
		s = &serviceBudget{tokens: 1, maxTokens: maxTokens}
		if b.shared {
			s.maxTokens = min(maxTokens, max(1, b.nodeTokens))
		}
		b.services[name] = s
	}
	return s
}

// addCall adds the tokens for a call, unless the budget is shared.
func (b *Budget) addCall(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.service(service); !b.shared {
		s.add(tokensPerCall)
	}
}

// addReached adds the tokens for a call that reached a target, if the budget is shared.
func (b *Budget) addReached(now time.Time, service string, nested bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.shared {
		return
	}
	s := b.service(service)
	calls := s.observeCall(now)
	perCall := min(maxSharedTokensPerCall, max(minSharedTokensPerCall, maxRepeatShare-max(0, 1-b.nodeTokens)/calls))
	s.maxTokens = min(maxTokens, max(1, b.nodeTokens+savedShare*(maxRepeatShare-perCall)*calls))
	if nested {
		perCall *= nestedTokens
	}
	s.add(perCall)
}

// observeCall counts a call, and returns the number of calls within sharedWindow.
func (s *serviceBudget) observeCall(now time.Time) float64 {
	age := now.Sub(s.windowStart)
	if age >= sharedWindow {
		s.previous, s.current = s.current, 0
		if age >= 2*sharedWindow {
			s.previous = 0
		}
		s.windowStart, age = now, 0
	}
	s.current++
	return s.current + s.previous*(1-age.Seconds()/sharedWindow.Seconds())
}

func (s *serviceBudget) add(n float64) {
	s.tokens = min(s.maxTokens, s.tokens+n)
	if s.reserved > 0 {
		s.reserved--
	}
}

// takeRetry takes one retry from the budget; false if there is none.
func (b *Budget) takeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services[service].take(1)
}

// takeNested takes one retry for a nested call from the budget. If there is none it
// returns false, and the next tokens are reserved for nested calls.
func (b *Budget) takeNested(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s.take(1) {
		return true
	}
	if s != nil {
		s.reserved = reservedCalls
	}
	return false
}

// maxUsedForOptional is how far below its maximum the budget may be, in tokens, for an
// optional retry. The rest is reserved for retries of calls that are lost without one.
const maxUsedForOptional = 0.25

// takeOptional takes one optional retry from the budget; false unless the budget is
// nearly full and no token is reserved for nested calls.
func (b *Budget) takeOptional(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	return s != nil && s.reserved == 0 && s.take(max(1, s.maxTokens-maxUsedForOptional))
}

// take takes a token if there are at least minTokens.
func (s *serviceBudget) take(minTokens float64) bool {
	if s == nil || s.tokens < minTokens {
		return false
	}
	s.tokens--
	return true
}
