package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/rollout"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
)

// rolloutInterval is the interval at which a node decides about open roll-outs and sends
// its counters.
const rolloutInterval = 100 * time.Millisecond

// rolloutIdle is the interval at which a node looks for the first order.
const rolloutIdle = 500 * time.Millisecond

// currentDelay is how long the status of an order waits for the version in use to be known.
const currentDelay = time.Second

func (n *Node) newRollouts() *rollout.Registry {
	return rollout.New(rollout.Config{Share: n.platform.Rollout.Share, Slack: n.platform.Rollout.Slack}, rand.Uint64())
}

// usesVersions reports whether the versions of targets are of use to the mesh.
func (n *Node) usesVersions() bool {
	return n.platform.Rollout.Share > 0 || n.rollouts.Active()
}

// runRollouts decides about open roll-outs until the node closes.
func (n *Node) runRollouts() {
	for n.ctx.Err() == nil {
		pause := rolloutInterval
		if !n.rollouts.Active() {
			pause = rolloutIdle
		}
		platform.Pause(n.ctx, pause)
		now := time.Now()
		changes := n.rollouts.Step(now, n.fleet)
		n.setCounters(rollout.Prefix, n.rollouts.Counters(now))
		states := make([]rollout.State, 0, len(changes))
		for _, change := range changes {
			states = append(states, change.State)
			n.logRollout(change.State, &change.Verdict, "decided")
		}
		if len(states) > 0 {
			n.sendToCore(peer.RolloutsChanged{States: states})
		}
	}
}

// fleet returns the live targets of a service by version.
func (n *Node) fleet(service string) rollout.Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := rollout.Fleet{Versions: make(map[string]int), Targets: make(map[string]int), Members: len(n.members)}
	for i := range n.members {
		for _, t := range n.members[i].Targets {
			if t.Service == service && !t.Draining && n.members[i].State == peer.Alive {
				f.Versions[t.Version] += t.Slots
				f.Targets[t.Version]++
			}
		}
	}
	return f
}

// useRollouts takes roll-outs that peers have reported.
func (n *Node) useRollouts(p peer.PublishRollouts) {
	n.adoptRollouts(p.States, true)
	if p.Confirmed {
		n.rollouts.Confirm()
	}
}

// adoptRollouts takes states from peers or the platform.
func (n *Node) adoptRollouts(states []rollout.State, fromPeer bool) {
	now := time.Now()
	wasOpen := n.usesVersions()
	for _, s := range states {
		if n.rollouts.Adopt(now, s, fromPeer) {
			n.logRollout(s, nil, "learned")
		}
	}
	if !wasOpen && n.usesVersions() {
		// The Core may be waiting for this hook.
		go n.targets.Refresh()
	}
}

// rolloutSums takes the part of the mesh-wide sums that belongs to roll-outs.
func (n *Node) rolloutSums(p peer.PublishSums) {
	if n.rollouts.Active() {
		n.rollouts.SetSums(time.Now(), p.Sums, p.Nodes)
	}
}

// logRollout logs a phase of a roll-out. source says whether this node has decided or
// learned it; v is why.
func (n *Node) logRollout(s rollout.State, v *rollout.Verdict, source string) {
	e := event.RolloutPhase
	switch s.Phase {
	case rollout.RolledBack:
		e = event.RolledBack
	case rollout.Completed:
		e = event.RolloutCompleted
	}
	f := event.Fields{
		event.Subject: s.Service, "order": s.Order, "target": s.Target, "current": s.Current, "phase": s.Phase.String(),
		"age": time.Since(s.StartedAt).Milliseconds(), "limit": s.Duration.Milliseconds(), "source": source,
	}
	if v != nil && v.Cause != "" {
		f["cause"], f["route"], f["rate"], f["base"] = v.Cause, v.Route, v.Rate, v.BaseRate
	}
	n.log.Emit(e, f)
}

// ReportRollouts takes orders that the platform has, and what is written about them.
// confirmed is set if these are all.
func (h *WatchHandle) ReportRollouts(states []rollout.State, confirmed bool) {
	states = h.node.rollouts.KeepStart(states)
	h.node.adoptRollouts(states, false)
	if confirmed {
		h.node.rollouts.Confirm()
	}
	h.send(peer.RolloutsChanged{States: states, Confirmed: confirmed})
}

// AbortRollout ends the open roll-out of a service, because its order was withdrawn.
func (h *WatchHandle) AbortRollout(service string) {
	for _, s := range h.node.rollouts.States() {
		if s.Service == service && !s.Phase.Ended() {
			s.Phase = rollout.RolledBack
			h.ReportRollouts([]rollout.State{s}, false)
		}
	}
}

// Rollouts returns the roll-outs whose status is to be written, with the phase that it is
// to say: Observing while an order is open. It returns none while it is not this node's
// turn to poll the platform.
func (h *WatchHandle) Rollouts() []rollout.State {
	h.mu.Lock()
	on := h.turn.On
	h.mu.Unlock()
	if !on || !h.node.rollouts.Active() {
		return nil
	}
	return h.node.due()
}

// RolloutsEnabled reports whether the deployment has roll-outs.
func (h *WatchHandle) RolloutsEnabled() bool { return h.node.platform.Rollout.Share > 0 }

// RolloutOpen reports whether a roll-out has not ended.
func (h *WatchHandle) RolloutOpen() bool {
	return slices.ContainsFunc(h.node.rollouts.States(), func(s rollout.State) bool { return !s.Phase.Ended() })
}

// RolloutsConfirmed reports whether this node knows all orders, by the platform or by peers.
func (h *WatchHandle) RolloutsConfirmed() bool { return h.node.rollouts.Confirmed() }

// startRollouts starts what decides about roll-outs.
func (n *Node) startRollouts(store platform.Store) {
	n.wg.Go(n.runRollouts)
	if n.platform.Watch == nil {
		n.wg.Go(func() { n.writeRollouts(store) })
	}
	if run := n.platform.WriteRollouts; run != nil && n.platform.Rollout.Share > 0 {
		n.wg.Go(func() { run(n.ctx, n.watch) })
	}
}
