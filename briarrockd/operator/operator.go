// Package operator is a node's HTTP API for operators. On any node an operator
// can apply an edit, read the configuration in force, its history and the status
// of the mesh, and have the routing of a request explained.
//
//	o := operator.New(operator.Deps{Store: store, Peers: transport, …})
//	http.Serve(listener, o)
//
// The message types are in package mesh/operator, which clients share. The node
// that receives an edit compiles it here and commits it with platform.Apply.
package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"briarrock.example/briarrockd/peer"
	"briarrock.example/mesh/event"
	api "briarrock.example/mesh/operator"
	"briarrock.example/mesh/platform"
	"briarrock.example/mesh/snapshot"
	"briarrock.example/mesh/strict"
	"briarrock.example/mesh/text"
)

// Peers is the part of peer.Transport that the API uses.
type Peers interface {
	Status(ctx context.Context) peer.Status
	Post(m peer.Msg) bool
	Content(hash snapshot.Hash) ([]byte, bool)
}

// Deps are the dependencies of an API.
type Deps struct {
	Host    string
	Store   platform.Store
	Peers   Peers
	Log     *event.Log
	Metrics *metrics.Set
	// Identify returns the operator's name by certificate or token. A request
	// for which it returns an error is rejected.
	Identify func(tls *tls.ConnectionState, token string) (string, error)
	// Explain returns how a request would be routed.
	Explain func(r api.Request) api.Explain
	// Rollouts are the node's roll-outs.
	Rollouts Rollouts
	// Ready reports whether the node is ready for callers.
	Ready func() bool
}

// API is the operators' API of one node; it is an http.Handler.
type API struct {
	http.Handler
	deps   Deps
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// maxRequestBytes is the maximum size of a request: a text in base64 and some
// fields.
const maxRequestBytes = 2 * text.MaxBytes

// New returns an API. Close stops its background work.
func New(d Deps) *API {
	ctx, cancel := context.WithCancel(context.Background())
	o := &API{deps: d, ctx: ctx, cancel: cancel}
	r := chi.NewRouter()
	r.Get("/metrics", o.metrics)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "alive\n") })
	r.Get("/readyz", o.ready)
	r.Group(func(r chi.Router) {
		r.Use(o.authenticate)
		r.Post(api.PathApply, o.apply)
		r.Get(api.PathText, o.text)
		r.Get(api.PathHistory, o.history)
		r.Get(api.PathStatus, o.status)
		r.Get(api.PathExplain, o.explain)
		r.Get(api.PathRollout, o.rollouts)
		r.Post(api.PathRollout, o.orderRollout)
		r.Get(api.PathRolloutHistory, o.rolloutHistory)
	})
	o.Handler = r
	return o
}

// Close stops the background work and waits for its end.
func (o *API) Close() {
	o.cancel()
	o.wg.Wait()
}

func (o *API) metrics(w http.ResponseWriter, _ *http.Request) {
	o.deps.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (o *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !o.deps.Ready() {
		http.Error(w, "not ready: no configuration yet, or shutting down", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// operatorNameKey is the context key of the authenticated operator's name.
type operatorNameKey struct{}

func (o *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, err := o.deps.Identify(r.TLS, token)
		if err != nil {
			o.deps.Metrics.GetOrCreateCounter("briarrock_operators_refused_total").Inc()
			o.deps.Log.Emit(event.OperatorRefused, event.Fields{event.Subject: r.RemoteAddr, "error": err.Error()})
			http.Error(w, "no valid operator token or certificate", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}

func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (o *API) status(w http.ResponseWriter, r *http.Request) {
	reply(w, o.currentStatus(r.Context()))
}

func (o *API) currentStatus(ctx context.Context) api.Status {
	s := o.deps.Peers.Status(ctx)
	out := api.Status{Host: o.deps.Host, Version: s.Version, Hash: s.Hash, Complete: s.Complete, HeadAgeMillis: s.HeadAgeMillis}
	for _, d := range s.Domains {
		status := api.Domain{
			Domain: d.Domain, Region: d.Region, Members: d.Members,
			Laggards: d.Laggards, SilentMillis: d.SilentMillis,
		}
		for _, c := range d.Counts {
			status.Counts = append(status.Counts, api.Count{Version: c.Version, Nodes: c.Nodes})
		}
		out.Domains = append(out.Domains, status)
	}
	for _, h := range s.Held {
		out.Held = append(out.Held, api.Held{
			Fingerprint: strconv.FormatUint(h.Print, 16), Service: h.Service, Crashes: h.Crashes,
		})
	}
	return out
}

func (o *API) explain(w http.ResponseWriter, r *http.Request) {
	reply(w, o.deps.Explain(api.ParseRequest(r.URL.Query())))
}

func (o *API) text(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version must be a number", http.StatusBadRequest)
		return
	}
	v, err := o.readText(r.Context(), n)
	if err != nil {
		storeFailed(w, err)
		return
	}
	reply(w, v)
}

func storeFailed(w http.ResponseWriter, err error) {
	if errors.Is(err, platform.ErrMissing) {
		http.Error(w, "no such version", http.StatusNotFound)
		return
	}
	http.Error(w, "the platform's store is unavailable: "+err.Error(), http.StatusServiceUnavailable)
}

// readText reads the text of version n, or of the head if n is 0.
func (o *API) readText(ctx context.Context, n uint64) (api.Version, error) {
	var hash string
	if n == 0 {
		_, head, err := o.head(ctx)
		if err != nil || head.Version == 0 {
			return api.Version{}, err
		}
		n, hash = head.Version, head.Text
	} else {
		row, err := o.deps.Store.Get(ctx, platform.AuditKey(n))
		if err != nil {
			return api.Version{}, errors.Wrap(err, "operator: read audit row")
		}
		var a platform.Audit
		if err := json.Unmarshal(row.Value, &a); err != nil {
			return api.Version{}, errors.Wrap(err, "operator: decode audit row")
		}
		hash = a.Text
	}
	b, err := o.object(ctx, hash)
	return api.Version{Version: n, Text: b}, err
}

// object reads an object by its hash, from this node's memory if it is there.
func (o *API) object(ctx context.Context, hash string) ([]byte, error) {
	h, err := snapshot.ParseHash(hash)
	if err != nil {
		return nil, errors.Wrap(err, "operator: parse hash")
	}
	if b, ok := o.deps.Peers.Content(h); ok {
		return b, nil
	}
	return platform.GetContent(ctx, o.deps.Store, h) //nolint:wrapcheck // errors of package platform are returned unchanged
}

// head reads the head's row and parses it. Both are zero if there is no version
// yet.
func (o *API) head(ctx context.Context) (platform.Row, platform.Head, error) {
	row, err := o.deps.Store.Get(ctx, platform.HeadKey)
	if errors.Is(err, platform.ErrMissing) {
		return platform.Row{}, platform.Head{}, nil
	}
	if err != nil {
		return row, platform.Head{}, errors.Wrap(err, "operator: read head")
	}
	head, _, err := platform.ParseHead(row.Value)
	return row, head, errors.Wrap(err, "operator: parse head")
}

// compile compiles a text, and returns the snapshot and its encoding. The text is
// stored and shown to operators, so it must not have plain keys.
func compile(b []byte) (*snapshot.Snapshot, []byte, strict.Mistakes) {
	s, err := text.CompileHashed(b)
	var mistakes strict.Mistakes
	if errors.As(err, &mistakes) {
		return nil, nil, mistakes
	}
	if err == nil {
		var enc []byte
		if enc, err = snapshot.Encode(s); err == nil {
			return s, enc, nil
		}
	}
	return nil, nil, strict.Mistakes{{Text: err.Error()}}
}

// storeTimeout bounds the accesses to the store for one edit or attempt.
const storeTimeout = 15 * time.Second
