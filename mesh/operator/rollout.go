package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// Paths of the operator API for roll-outs.
const (
	PathRollout        = "/v1/rollout"         // POST a RolloutOrder, GET the Rollouts
	PathRolloutHistory = "/v1/rollout/history" // GET the Rollouts of one service
)

// RolloutOrder orders that a service's traffic moves to another version of its targets or,
// with Abort, that an open order ends.
type RolloutOrder struct {
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	// Millis is the time limit in milliseconds.
	Millis int64 `json:"millis,omitempty"`
	Abort  bool  `json:"abort,omitempty"`
}

// States of a roll-out.
const (
	RolloutInProgress = "in_progress"
	RolloutCompleted  = "completed"
	RolloutRolledBack = "rolled_back"
)

// Rollout is the state of one order, as one node knows it or the store has it.
type Rollout struct {
	Service string `json:"service"`
	// Order is the order's number; a higher one replaces those before.
	Order   uint64 `json:"order"`
	Target  string `json:"target"`
	Current string `json:"current,omitempty"`
	State   string `json:"state"`
	// Phase says how far an order in progress has come.
	Phase string `json:"phase"`
	// Written is set once the store has the end.
	Written   bool      `json:"written"`
	StartedAt time.Time `json:"startedAt"`
	Millis    int64     `json:"millis"`
	// Who has ordered it, in the history.
	Who string `json:"who,omitempty"`
}

// Rollouts is the answer to a request for roll-outs.
type Rollouts struct {
	Rollouts []Rollout `json:"rollouts"`
}

// OrderRollout sends an order and returns it as accepted.
func (c *Client) OrderRollout(ctx context.Context, o RolloutOrder) (Rollout, error) {
	var out Rollout
	err := c.do(ctx, http.MethodPost, PathRollout, o, &out)
	return out, err
}

// Rollouts returns the newest order of each service, as the node knows it.
func (c *Client) Rollouts(ctx context.Context) (Rollouts, error) {
	var out Rollouts
	err := c.do(ctx, http.MethodGet, PathRollout, nil, &out)
	return out, err
}

// RolloutHistory returns the orders of a service that the store has, newest first; those of
// all services if it is empty.
func (c *Client) RolloutHistory(ctx context.Context, service string) (Rollouts, error) {
	var out Rollouts
	err := c.do(ctx, http.MethodGet, PathRolloutHistory+"?"+url.Values{"service": {service}}.Encode(), nil, &out)
	return out, err
}
