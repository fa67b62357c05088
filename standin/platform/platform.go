// Package platform is a stand-in for the platform's storage service, for tests,
// the demo and benchmarks: an in-memory transactional table and object store
// over HTTP, with fault injection.
//
//	srv := platform.New()
//	go http.Serve(l, srv)
//	srv.Fault(platform.Faults{LoseResponses: 1}) // the next write takes effect without a response
//
// It does not persist data and is not for production.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	store "briarrock.example/mesh/platform"
)

const (
	maxBody   = 16 << 20 // bytes of a request body
	maxScan   = 1000     // rows of a list response
	headerTag = "ETag"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down rejects every request with status 503 and does not execute it.
	Down bool
	// Hang accepts requests without executing them or responding.
	Hang bool
	// Delay is the latency added before each request is executed.
	Delay time.Duration
	// LoseResponses is the number of upcoming writes that take effect and whose
	// connection is then closed without a response.
	LoseResponses int
	// SkipWrites is the number of upcoming writes that are exempt from
	// LoseResponses.
	SkipWrites int
}

// Counts are the numbers of requests received.
type Counts struct {
	Reads  int64
	Writes int64
}

// Server is the stand-in, created by New. It implements http.Handler.
type Server struct {
	http.Handler
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	tag     uint64 // the last tag assigned to a row
	faults  Faults
	counts  Counts
}

// New returns an empty platform without faults.
func New() *Server {
	s := &Server{rows: make(map[string]store.Row), objects: make(map[string][]byte)}
	r := chi.NewRouter()
	r.Use(s.injectFaults)
	r.Get("/table", s.list)
	r.Get("/table/*", s.get)
	r.Post("/transact", s.transact)
	r.Put("/object/*", s.putObject)
	r.Get("/object/*", s.getObject)
	s.Handler = r
	return s
}

// Fault replaces the injected faults; the zero value injects none.
func (s *Server) Fault(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of requests received so far, including those that
// a fault rejected.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// injectFaults is the middleware that applies the faults to every request.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		write := r.Method != http.MethodGet
		f, loseResponse := s.recordRequest(write)
		if f.Hang {
			<-r.Context().Done()
			return
		}
		sleep(r.Context(), f.Delay)
		if f.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if !loseResponse {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	})
}

// recordRequest counts a request and returns the faults that apply to it, and
// whether its response must be lost.
func (s *Server) recordRequest(write bool) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !write {
		s.counts.Reads++
		return s.faults, false
	}
	s.counts.Writes++
	if s.faults.SkipWrites > 0 {
		s.faults.SkipWrites--
		return s.faults, false
	}
	loseResponse := s.faults.LoseResponses > 0 && !s.faults.Down && !s.faults.Hang
	if loseResponse {
		s.faults.LoseResponses--
	}
	return s.faults, loseResponse
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return make(http.Header) }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

// wildcard returns the unescaped part of the path that the route's * matched.
func wildcard(r *http.Request) string {
	name, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil {
		return ""
	}
	return name
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.rows[wildcard(r)]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(headerTag, row.Tag)
	_, _ = w.Write(row.Value)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxScan {
		http.Error(w, "limit is out of range", http.StatusBadRequest)
		return
	}
	reverse := q.Get("reverse") == "true"
	rows := s.scan(q.Get("prefix"), q.Get("after"), reverse)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows[:min(limit, len(rows))])
}

// scan returns the rows whose keys have the prefix and come after the key after
// in scan order.
func (s *Server) scan(prefix, after string, reverse bool) []store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []store.Row{}
	for key, row := range s.rows {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if after != "" && (key == after || (key < after) != reverse) {
			continue
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return (rows[i].Key < rows[j].Key) != reverse })
	return rows
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var t store.Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[c.Key].Tag != c.Tag {
			http.Error(w, "condition on "+c.Key, http.StatusPreconditionFailed)
			return
		}
	}
	for _, x := range t.Writes {
		if x.Value == nil {
			delete(s.rows, x.Key)
			continue
		}
		s.tag++
		s.rows[x.Key] = store.Row{Key: x.Key, Value: x.Value, Tag: `"` + strconv.FormatUint(s.tag, 10) + `"`}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := wildcard(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; ok && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[name] = b
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b, ok := s.objects[wildcard(r)]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(b)
}
