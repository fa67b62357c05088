package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/platform"
)

// Prefixes of the keys of rows that this package stores in addition to the audit
// trail, which package platform writes.
const (
	convergedPrefix = "converged/"
	attemptPrefix   = "attempt/"
)

const (
	// maxPageEntries is the maximum number of entries of one page of the history.
	maxPageEntries = 200
	// maxAttempts is the number of attempts that the first page shows.
	maxAttempts = 20
	// minPollInterval and maxPollInterval bound the interval at which the status
	// is polled for convergence.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// convergenceTimeout is how long the accepting node waits for a version to
	// be in force on all nodes.
	convergenceTimeout = 5 * time.Minute
)

// convergence is the stored record of a version's convergence.
type convergence struct {
	// Millis is the time from the version's acceptance until it was in force on
	// all nodes, in milliseconds.
	Millis int64 `json:"millis"`
	// Nodes is the number of nodes that used the version then.
	Nodes int `json:"nodes"`
}

// versionKey appends a version in a fixed width, so that keys sort by version.
func versionKey(prefix string, n uint64) string { return fmt.Sprintf("%s%020d", prefix, n) }

// recordConvergence waits until a version is in force on all nodes and stores how
// long that took. The poll interval grows, because a partitioned domain can take
// long.
func (o *API) recordConvergence(a platform.Audit) {
	ctx, cancel := context.WithTimeout(o.ctx, convergenceTimeout)
	defer cancel()
	startedAt := time.Now()
	for pause := minPollInterval; ; pause = min(pause*5/4, maxPollInterval) {
		inForce, nodes, _ := o.currentStatus(ctx).InForce(a.Version)
		if inForce {
			o.storeConvergence(ctx, a.Version, convergence{time.Since(startedAt).Milliseconds(), nodes})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (o *API) storeConvergence(ctx context.Context, version uint64, c convergence) {
	o.deps.Metrics.GetOrCreateHistogram("briarrock_converge_seconds").Update(float64(c.Millis) / 1000)
	o.storeRow(ctx, versionKey(convergedPrefix, version), c)
}

func (o *API) storeAttempt(a api.Attempt) {
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	o.storeRow(ctx, attemptPrefix+a.At.Format("20060102T150405.000000000")+"-"+a.Write, a)
}

// storeRow writes a row that nothing depends on. A failure is ignored, because
// the log has the attempt already, or the metrics have the convergence time.
func (o *API) storeRow(ctx context.Context, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	_ = o.deps.Store.Transact(ctx, platform.Transaction{Writes: []platform.Write{{Key: key, Value: b}}})
}

func (o *API) history(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	before, err := strconv.ParseUint(q.Get("before"), 10, 64)
	limit, lerr := strconv.Atoi(q.Get("limit"))
	if err != nil || lerr != nil || limit < 1 || limit > maxPageEntries {
		http.Error(w, "before must be a version number, and limit must be from 1 to "+strconv.Itoa(maxPageEntries), http.StatusBadRequest)
		return
	}
	h, err := o.page(r.Context(), before, limit)
	if err != nil {
		storeFailed(w, err)
		return
	}
	reply(w, h)
}

// page returns up to limit entries with versions below before, newest first. If
// before is 0, the page starts with the newest version and also has the latest
// attempts.
func (o *API) page(ctx context.Context, before uint64, limit int) (api.History, error) {
	var h api.History
	rows, err := o.deps.Store.List(ctx, platform.AuditScan(before, limit))
	if err != nil {
		return h, errors.Wrap(err, "operator: list audit rows")
	}
	for _, row := range rows {
		var e api.Entry
		if err := json.Unmarshal(row.Value, &e.Audit); err != nil {
			return h, errors.Wrap(err, "operator: decode audit row")
		}
		h.Entries = append(h.Entries, e)
	}
	if len(h.Entries) == limit && h.Entries[limit-1].Version > 1 {
		h.Next = h.Entries[limit-1].Version
	}
	if err := o.addConvergence(ctx, h.Entries, before, limit); err != nil {
		return h, err
	}
	if before == 0 {
		h.Attempts, err = o.attempts(ctx)
	}
	return h, err
}

// addConvergence fills in the convergence times of a page's entries.
func (o *API) addConvergence(ctx context.Context, entries []api.Entry, before uint64, limit int) error {
	scan := platform.Scan{Prefix: convergedPrefix, Limit: limit, Reverse: true}
	if before > 0 {
		scan.After = versionKey(convergedPrefix, before)
	}
	rows, err := o.deps.Store.List(ctx, scan)
	if err != nil {
		return errors.Wrap(err, "operator: list convergence times")
	}
	times := make(map[string]convergence, len(rows))
	for _, row := range rows {
		var c convergence
		if json.Unmarshal(row.Value, &c) == nil {
			times[strings.TrimPrefix(row.Key, convergedPrefix)] = c
		}
	}
	for i := range entries {
		c := times[versionKey("", entries[i].Version)]
		entries[i].Converged, entries[i].Nodes = c.Millis, c.Nodes
	}
	return nil
}

func (o *API) attempts(ctx context.Context) ([]api.Attempt, error) {
	rows, err := o.deps.Store.List(ctx, platform.Scan{Prefix: attemptPrefix, Limit: maxAttempts, Reverse: true})
	if err != nil {
		return nil, errors.Wrap(err, "operator: list attempts")
	}
	out := make([]api.Attempt, 0, len(rows))
	for _, row := range rows {
		var a api.Attempt
		if json.Unmarshal(row.Value, &a) == nil {
			out = append(out, a)
		}
	}
	return out, nil
}
