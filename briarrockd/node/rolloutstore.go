package node

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/briarrockd/rollout"
	"briarrock.example/mesh/event"
	"briarrock.example/mesh/platform"
)

// rolloutStoreInterval is the interval at which ends of roll-outs are written that are due,
// and at which a write that failed is repeated.
const rolloutStoreInterval = 500 * time.Millisecond

// Rollouts implements operator.Rollouts.
func (n *Node) Rollouts() []rollout.State { return n.rollouts.States() }

// Order implements operator.Rollouts.
func (n *Node) Order(s rollout.State) {
	states := n.rollouts.KeepStart([]rollout.State{s})
	n.adoptRollouts(states, false)
	n.sendToCore(peer.RolloutsChanged{States: states})
}

// due returns the roll-outs whose status is to be written, with the phase that it is to say:
// Observing while an order is open.
func (n *Node) due() []rollout.State {
	now := time.Now()
	var out []rollout.State
	for _, s := range n.rollouts.States() {
		switch {
		case s.Written:
			continue
		case s.Phase.Ended():
		case n.rollouts.Completable(now, s.Service, s.Order, n.fleet(s.Service)):
			s.Phase = rollout.Completed
		case s.Current == "" && now.Sub(s.StartedAt) < currentDelay:
			continue
		default:
			s.Phase = rollout.Observing
		}
		out = append(out, s)
	}
	return out
}

// writeRollouts writes the ends of roll-outs to the store while this node is the one that
// does the mesh's small periodic work, until the node closes. It is used where no adapter
// does that.
func (n *Node) writeRollouts(store platform.Store) {
	for n.ctx.Err() == nil {
		platform.Pause(n.ctx, rolloutStoreInterval)
		if !n.rollouts.Active() {
			continue
		}
		leads := false
		n.peers.WithCore(func(c *peer.Core) { leads = c.IsLeader() })
		if !leads {
			continue
		}
		for _, s := range n.due() {
			if !s.Phase.Ended() {
				continue // the order itself is in the store
			}
			if err := n.writeRollout(store, s); err != nil && n.ctx.Err() == nil {
				n.log.Emit(event.RolloutUnwritten, event.Fields{event.Subject: s.Service, "order": s.Order, "state": s.Phase.String(), "error": err.Error()})
			}
		}
	}
}

// writeRollout makes one attempt to write the end of a roll-out, unless another node has
// written one: then that is adopted. A write without an answer is read back by the next
// attempt.
func (n *Node) writeRollout(store platform.Store, s rollout.State) error {
	key := rollout.RecordPrefix + s.Service
	row, err := store.Get(n.ctx, key)
	if err != nil && !errors.Is(err, platform.ErrMissing) {
		return errors.WithStack(err)
	}
	if known, ok := rollout.ParseRecord(key, row.Value, time.Now()); ok {
		if known.Order > s.Order || (known.Order == s.Order && known.Phase.Ended()) {
			n.Order(known)
			return nil
		}
	}
	s.Written = true
	logKey := rollout.LogKey(s.Service, s.Order)
	var entry rollout.LogEntry
	if logRow, err := store.Get(n.ctx, logKey); err == nil {
		_ = json.Unmarshal(logRow.Value, &entry) // a malformed entry is replaced
	}
	entry.State = s
	record, err := json.Marshal(s)
	if err != nil {
		return errors.WithStack(err)
	}
	logged, err := json.Marshal(entry)
	if err != nil {
		return errors.WithStack(err)
	}
	err = store.Transact(n.ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Tag: row.Tag}},
		Writes:     []platform.Write{{Key: key, Value: record}, {Key: logKey, Value: logged}},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	n.log.Emit(event.RolloutWritten, event.Fields{event.Subject: s.Service, "order": s.Order, "target": s.Target, "state": s.Phase.String()})
	n.Order(s)
	return nil
}
