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

// Keys of rows beside the audit trail itself.
const (
	convergedPrefix = "converged/"
	attemptPrefix   = "attempt/"
)

// Bounds and times of the history.
const (
	maxPage      = 200
	attemptsShow = 20
	pollEvery    = 50 * time.Millisecond
	pollMost     = time.Second
	// watchFor is how long the accepting node looks out for the moment from
	// which on a version is in force everywhere.
	watchFor = 5 * time.Minute
)

// converged says when a version was in force everywhere.
type converged struct {
	Millis int64 `json:"millis"`
	Nodes  int   `json:"nodes"`
}

// versionKey appends a version in fixed width, so that keys sort by it.
func versionKey(prefix string, n uint64) string { return fmt.Sprintf("%s%020d", prefix, n) }

// watchConverge waits until a version is in force everywhere and keeps how
// long that took. It asks seldom after a while: a domain that is cut off may
// take long.
func (o *API) watchConverge(a platform.Audit) {
	ctx, cancel := context.WithTimeout(o.ctx, watchFor)
	defer cancel()
	began := time.Now()
	for pause := pollEvery; ; pause = min(pause*5/4, pollMost) {
		in, done, _ := o.statusNow(ctx).InForce(a.Version)
		if in {
			o.keepConverged(ctx, a.Version, converged{time.Since(began).Milliseconds(), done})
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (o *API) keepConverged(ctx context.Context, version uint64, c converged) {
	o.deps.Metrics.GetOrCreateHistogram("briarrock_converge_seconds").Update(float64(c.Millis) / 1000)
	o.keep(ctx, versionKey(convergedPrefix, version), c)
}

func (o *API) keepAttempt(a api.Attempt) {
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	o.keep(ctx, attemptPrefix+a.At.Format("20060102T150405.000000000")+"-"+a.Write, a)
}

// keep writes one row that nothing depends on; a failure is not worth more
// than what the log has already.
func (o *API) keep(ctx context.Context, key string, v any) {
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
	if err != nil || lerr != nil || limit < 1 || limit > maxPage {
		http.Error(w, "before must be a version, and limit from 1 to "+strconv.Itoa(maxPage), http.StatusBadRequest)
		return
	}
	h, err := o.page(r.Context(), before, limit)
	if err != nil {
		storeFailed(w, err)
		return
	}
	reply(w, h)
}

func (o *API) page(ctx context.Context, before uint64, limit int) (api.History, error) {
	var h api.History
	rows, err := o.deps.Store.List(ctx, platform.AuditScan(before, limit))
	if err != nil {
		return h, errors.Wrap(err, "operator: history")
	}
	for _, row := range rows {
		var e api.Entry
		if err := json.Unmarshal(row.Value, &e.Audit); err != nil {
			return h, errors.Wrap(err, "operator: history")
		}
		h.Entries = append(h.Entries, e)
	}
	if len(h.Entries) == limit && h.Entries[limit-1].Version > 1 {
		h.Next = h.Entries[limit-1].Version
	}
	if err := o.addConverged(ctx, h.Entries, before, limit); err != nil {
		return h, err
	}
	if before == 0 {
		h.Attempts, err = o.attempts(ctx)
	}
	return h, err
}

func (o *API) addConverged(ctx context.Context, entries []api.Entry, before uint64, limit int) error {
	scan := platform.Scan{Prefix: convergedPrefix, Limit: limit, Reverse: true}
	if before > 0 {
		scan.After = versionKey(convergedPrefix, before)
	}
	rows, err := o.deps.Store.List(ctx, scan)
	if err != nil {
		return errors.Wrap(err, "operator: history")
	}
	times := make(map[string]converged, len(rows))
	for _, row := range rows {
		var c converged
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
	rows, err := o.deps.Store.List(ctx, platform.Scan{Prefix: attemptPrefix, Limit: attemptsShow, Reverse: true})
	if err != nil {
		return nil, errors.Wrap(err, "operator: history")
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
