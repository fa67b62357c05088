package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"briarrock.example/briarrockd/rollout"
	"briarrock.example/mesh/event"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/platform"
)

// Rollouts is the part of a node that the API uses for roll-outs.
type Rollouts interface {
	// Rollouts returns what the node knows.
	Rollouts() []rollout.State
	// Order takes an order, or its withdrawal, and tells the mesh.
	Order(s rollout.State)
}

const (
	// maxRolloutName bounds the names in an order, in bytes.
	maxRolloutName = 128
	// minRolloutLimit and maxRolloutLimit bound the time limit of an order.
	minRolloutLimit = time.Second
	maxRolloutLimit = 24 * time.Hour
	// maxRolloutHistory is the number of orders that the history shows.
	maxRolloutHistory = 100
)

func rolloutView(s rollout.State, who string) api.Rollout {
	state := api.RolloutInProgress
	switch s.Phase {
	case rollout.Completed:
		state = api.RolloutCompleted
	case rollout.RolledBack:
		state = api.RolloutRolledBack
	}
	return api.Rollout{
		Service: s.Service, Order: s.Order, Target: s.Target, Current: s.Current, State: state, Phase: s.Phase.String(),
		Written: s.Written, StartedAt: s.StartedAt, Millis: s.Duration.Milliseconds(), Who: who,
	}
}

func (o *API) rollouts(w http.ResponseWriter, _ *http.Request) {
	out := api.Rollouts{Rollouts: []api.Rollout{}}
	for _, s := range o.deps.Rollouts.Rollouts() {
		out.Rollouts = append(out.Rollouts, rolloutView(s, ""))
	}
	reply(w, out)
}

func (o *API) rolloutHistory(w http.ResponseWriter, r *http.Request) {
	prefix := rollout.LogPrefix
	if service := r.URL.Query().Get("service"); service != "" {
		prefix += service + "/"
	}
	rows, err := o.deps.Store.List(r.Context(), platform.Scan{Prefix: prefix, Limit: maxRolloutHistory, Reverse: true})
	if err != nil {
		storeFailed(w, err)
		return
	}
	out := api.Rollouts{Rollouts: []api.Rollout{}}
	for _, row := range rows {
		var e rollout.LogEntry
		if json.Unmarshal(row.Value, &e) == nil {
			out.Rollouts = append(out.Rollouts, rolloutView(e.State, e.Who))
		}
	}
	reply(w, out)
}

// orderRollout takes an order. It is written before any node follows it, so that of two
// operators who order at the same time one is refused.
func (o *API) orderRollout(w http.ResponseWriter, r *http.Request) {
	var order api.RolloutOrder
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&order); err != nil {
		http.Error(w, "malformed request: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit := time.Duration(order.Millis) * time.Millisecond
	switch {
	case order.Service == "" || max(len(order.Service), len(order.Target)) > maxRolloutName:
		http.Error(w, "the service is missing, or a name is too long", http.StatusBadRequest)
		return
	case !order.Abort && (order.Target == "" || limit < minRolloutLimit || limit > maxRolloutLimit):
		http.Error(w, "a version and a time limit from 1s to 24h are needed", http.StatusBadRequest)
		return
	}
	known, found := o.knownRollout(order.Service)
	if order.Abort {
		if !found || known.Phase.Ended() {
			http.Error(w, "there is no open roll-out of "+order.Service, http.StatusNotFound)
			return
		}
		// The end is written like any other, by the node that writes statuses.
		known.Phase = rollout.RolledBack
		o.deps.Log.Emit(event.EditAccepted, event.Fields{event.Subject: order.Service, "who": operatorName(r), "rollout": "abort", "order": known.Order})
		o.deps.Rollouts.Order(known)
		reply(w, rolloutView(known, operatorName(r)))
		return
	}
	s := rollout.State{Service: order.Service, Target: order.Target, Duration: limit, StartedAt: time.Now()}
	if found {
		s.Order, s.Current = known.Order, known.InUse()
	}
	if err := o.writeOrder(r, &s); err != nil {
		o.orderFailed(w, err)
		return
	}
	o.deps.Log.Emit(event.EditAccepted, event.Fields{event.Subject: s.Service, "who": operatorName(r), "rollout": s.Target, "order": s.Order})
	o.deps.Rollouts.Order(s)
	reply(w, rolloutView(s, operatorName(r)))
}

func (o *API) knownRollout(service string) (rollout.State, bool) {
	for _, s := range o.deps.Rollouts.Rollouts() {
		if s.Service == service {
			return s, true
		}
	}
	return rollout.State{}, false
}

// writeOrder gives an order its number and writes it, if no other order comes first.
func (o *API) writeOrder(r *http.Request, s *rollout.State) error {
	key := rollout.RecordPrefix + s.Service
	row, err := o.deps.Store.Get(r.Context(), key)
	if err != nil && !errors.Is(err, platform.ErrMissing) {
		return errors.Wrap(err, "operator: read order")
	}
	if old, ok := rollout.ParseRecord(key, row.Value, time.Now()); ok && old.Order >= s.Order {
		s.Order, s.Current = old.Order, old.InUse()
	}
	s.Order++
	record, err := json.Marshal(s)
	if err != nil {
		return errors.WithStack(err)
	}
	entry, err := json.Marshal(rollout.LogEntry{State: *s, Who: operatorName(r)})
	if err != nil {
		return errors.WithStack(err)
	}
	err = o.deps.Store.Transact(r.Context(), platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Tag: row.Tag}},
		Writes:     []platform.Write{{Key: key, Value: record}, {Key: rollout.LogKey(s.Service, s.Order), Value: entry}},
	})
	return errors.Wrap(err, "operator: write order")
}

func (o *API) orderFailed(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrCondition):
		http.Error(w, "another order for this service came first; nothing changed", http.StatusConflict)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, "the platform's store is unavailable; nothing changed: "+err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, "not known whether the order was written; look with rollout history, and order again: "+err.Error(), http.StatusBadGateway)
	}
}
