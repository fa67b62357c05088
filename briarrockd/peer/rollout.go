package peer

import (
	"maps"
	"slices"
	"time"

	"briarrock.example/briarrockd/rollout"
	"briarrock.example/mesh/codec"
)

const (
	// rolloutInterval is the interval at which open roll-outs are repeated on each link. A
	// node that hears nothing of them for longer counts itself as cut off.
	rolloutInterval = time.Second
	// maxRollouts is the maximum number of services with roll-outs.
	maxRollouts = 256
	// maxMeshSize bounds the number of members in a frame.
	maxMeshSize = 1 << 16
	// maxRolloutDuration bounds the time limit and the age of an order in a frame.
	maxRolloutDuration = 24 * time.Hour
	// codeRollout is the type code of Rollout; see codeHello.
	codeRollout byte = 18
)

// RolloutState is the state of a roll-out, see rollout.State. Age and Duration are in
// milliseconds; the age does not include the transit time of the frame.
type RolloutState struct {
	Service  string        `cbor:"1,keyasint"`
	Order    uint64        `cbor:"2,keyasint"`
	Target   string        `cbor:"3,keyasint"`
	Current  string        `cbor:"4,keyasint,omitempty"`
	Duration uint64        `cbor:"5,keyasint"`
	Age      uint64        `cbor:"6,keyasint"`
	Phase    rollout.Phase `cbor:"7,keyasint,omitempty"`
	Written  bool          `cbor:"8,keyasint,omitempty"`
	Members  int           `cbor:"9,keyasint,omitempty"`
}

// Rollout carries roll-outs that have changed, and at intervals those that are open.
type Rollout struct {
	States []RolloutState `cbor:"1,keyasint,omitempty"`
	// Confirmed is set if the sender knows all orders, and Whole if the frame has all that
	// it knows. A receiver of both knows all orders too.
	Confirmed bool `cbor:"2,keyasint,omitempty"`
	Whole     bool `cbor:"3,keyasint,omitempty"`
}

func (Rollout) code() byte { return codeRollout }

// rawRollout is a Rollout with states that are not decoded.
type rawRollout struct {
	States    []codec.Raw `cbor:"1,keyasint,omitempty"`
	Confirmed bool        `cbor:"2,keyasint,omitempty"`
	Whole     bool        `cbor:"3,keyasint,omitempty"`
}

func (f rawRollout) elements() []codec.Raw { return f.States }

// frame returns the frame with its valid states. Without the others it is not whole.
func (f rawRollout) frame(states []RolloutState) Rollout {
	return Rollout{States: states, Confirmed: f.Confirmed, Whole: f.Whole && len(states) == len(f.States)}
}

func (s *RolloutState) valid() bool {
	return s.Service != "" && max(len(s.Service), len(s.Target), len(s.Current)) <= maxNameSize && s.Order < maxRevision &&
		s.Phase <= rollout.Completed && s.Members >= 0 && s.Members <= maxMeshSize &&
		max(s.Duration, s.Age) <= uint64(maxRolloutDuration.Milliseconds())
}

// RolloutsChanged reports what this node knows of roll-outs from the platform, or has
// decided. Confirmed is set once it knows all orders.
type RolloutsChanged struct {
	States    []rollout.State
	Confirmed bool
}

// PublishRollouts publishes what peers have reported.
type PublishRollouts struct {
	States    []rollout.State
	Confirmed bool
}

func (RolloutsChanged) msg() {}
func (PublishRollouts) cmd() {}

// rollouts is a node's state of the distribution of roll-outs.
type rollouts struct {
	states     map[string]rollout.State
	confirmed  bool
	nextRepeat time.Time
}

// mergeRollout merges a state and returns the result. changed is set if this node has
// learned something that its peers may not know.
func (c *Core) mergeRollout(s rollout.State) (merged rollout.State, changed bool) {
	r := &c.rollouts
	old, ok := r.states[s.Service]
	if !ok {
		if len(r.states) >= maxRollouts {
			return s, false
		}
		if r.states == nil {
			r.states = make(map[string]rollout.State)
		}
		r.states[s.Service] = s
		return s, true
	}
	merged = rollout.Merge(old, s)
	r.states[s.Service] = merged
	return merged, merged.Supersedes(old)
}

func (c *Core) onRolloutsChanged(m RolloutsChanged) {
	var changed []rollout.State
	for _, s := range m.States {
		if merged, ok := c.mergeRollout(s); ok {
			changed = append(changed, merged)
		}
	}
	if m.Confirmed && !c.rollouts.confirmed {
		c.rollouts.confirmed = true
		c.floodRollouts(0, c.rolloutFrame(c.allRollouts(), true))
		return
	}
	if len(changed) > 0 {
		c.floodRollouts(0, c.rolloutFrame(changed, false))
	}
}

func (c *Core) onRollout(l *link, f Rollout) {
	var changed, all []rollout.State
	for i := range f.States {
		merged, ok := c.mergeRollout(f.States[i].state(c.now))
		all = append(all, merged)
		if ok {
			changed = append(changed, merged)
		}
	}
	confirmed := f.Confirmed && f.Whole && !c.rollouts.confirmed
	c.rollouts.confirmed = c.rollouts.confirmed || confirmed
	c.emit(PublishRollouts{States: all, Confirmed: c.rollouts.confirmed})
	switch {
	case confirmed:
		c.floodRollouts(l.id, c.rolloutFrame(c.allRollouts(), true))
	case len(changed) > 0:
		c.floodRollouts(l.id, c.rolloutFrame(changed, false))
	}
}

// floodRollouts sends a frame over all links but one, the lazy ones included: the end of a
// roll-out must arrive as soon as possible. A from of 0 excludes no link.
func (c *Core) floodRollouts(from LinkID, f Rollout) {
	for _, l := range c.sortedLinks() {
		if l.id != from && l.takesRollouts {
			c.send(l, f)
		}
	}
}

// sendRollouts sends all roll-outs to a new peer, or confirms that there are none. Nothing is
// sent in a deployment without roll-outs.
func (c *Core) sendRollouts(l *link) {
	if l.takesRollouts && ((c.cfg.Rollouts && c.rollouts.confirmed) || len(c.rollouts.states) > 0) {
		c.send(l, c.rolloutFrame(c.allRollouts(), true))
	}
}

// tickRollouts repeats the open roll-outs.
func (c *Core) tickRollouts() {
	r := &c.rollouts
	if len(r.states) == 0 || c.now.Before(r.nextRepeat) {
		return
	}
	r.nextRepeat = c.now.Add(rolloutInterval)
	open := slices.DeleteFunc(c.allRollouts(), func(s rollout.State) bool { return s.Phase.Ended() && s.Written })
	if len(open) > 0 {
		c.floodRollouts(0, c.rolloutFrame(open, false))
	}
}

func (c *Core) allRollouts() []rollout.State {
	out := make([]rollout.State, 0, len(c.rollouts.states))
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.states)) {
		out = append(out, c.rollouts.states[service])
	}
	return out
}

func (c *Core) rolloutFrame(states []rollout.State, whole bool) Rollout {
	f := Rollout{Confirmed: c.rollouts.confirmed, Whole: whole}
	for _, s := range states {
		f.States = append(f.States, RolloutState{
			Service: s.Service, Order: s.Order, Target: s.Target, Current: s.Current, Phase: s.Phase, Written: s.Written, Members: s.Members,
			Duration: uint64(s.Duration.Milliseconds()),
			Age:      uint64(min(max(c.now.Sub(s.StartedAt), 0), maxRolloutDuration).Milliseconds()),
		})
	}
	return f
}

func (s RolloutState) state(now time.Time) rollout.State {
	return rollout.State{
		Service: s.Service, Order: s.Order, Target: s.Target, Current: s.Current, Phase: s.Phase, Written: s.Written, Members: s.Members,
		Duration:  time.Duration(s.Duration) * time.Millisecond,
		StartedAt: now.Add(-time.Duration(s.Age) * time.Millisecond),
	}
}
