package lab

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// answerTime is how long the store takes for an answer, beside the wait of the feed.
const answerTime = 4 * time.Millisecond

// Store is a stand-in for the platform's store: rows, the feed of changes, and objects.
type Store struct {
	Addr string
	// Reject, if set, decides whether a call is answered with 503, which means that
	// nothing was done.
	Reject func(r *http.Request) bool

	l       net.Listener
	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]row
	objects map[string][]byte
	changed chan struct{}
	started time.Time
}

// NewStore starts a store.
func NewStore(addr string) (*Store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Addr: l.Addr().String(), l: l, rows: make(map[rowKey]row), objects: make(map[string][]byte),
		changed: make(chan struct{}), started: time.Now(),
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.l.Close() }

// PutConfig writes the operator's configuration.
func (s *Store) PutConfig(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: "op", Key: "config", Value: []byte(text)})
	s.notify()
}

// put stores a row at the current version. s.mu must be held.
func (s *Store) put(r row) {
	r.Ver = s.ver
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) now() string {
	return strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Reject != nil && s.Reject(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(answerTime)
	path := strings.TrimPrefix(r.URL.Path, "/briarrock/")
	switch {
	case path == "rows-tx" && r.Method == http.MethodPost:
		s.transact(w, r)
	case path == "rows-get":
		s.get(w, r)
	case path == "rows-feed":
		s.feed(w, r)
	case path == "rows-parts":
		s.parts(w, r)
	case strings.HasPrefix(path, "blob-"):
		s.blob(w, r, strings.TrimPrefix(path, "blob-"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected, Puts, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(tx.Puts, tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := []row{}, true
	for _, e := range tx.Expected {
		have, found := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if found && !have.Removed {
			current = append(current, have)
		}
		if (!found || have.Removed) != (e.Ver == 0) || (e.Ver != 0 && have.Ver != e.Ver) {
			ok = false
		}
	}
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now": s.now()})
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		s.put(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range tx.Remove {
		s.put(row{Table: p.Table, Part: p.Part, Key: p.Key, Removed: true})
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now": s.now()})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to, limit := q.Get("from"), q.Get("target"), 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !x.Removed && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	rows = rows[:min(len(rows), limit)]
	reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "now": s.now()})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for k, x := range s.rows {
			if k.table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now": s.now()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now": s.now()})
			return
		}
	}
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, parts := map[string]bool{}, []string{}
	for k, x := range s.rows {
		if k.table == q.Get("table") && !x.Removed && k.part > q.Get("after") && !seen[k.part] {
			seen[k.part] = true
			parts = append(parts, k.part)
		}
	}
	sort.Strings(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts, "hasMore": false, "ver": s.ver, "now": s.now()})
}

func (s *Store) blob(w http.ResponseWriter, r *http.Request, call string) {
	verb, id, _ := strings.Cut(call, "/")
	b, _ := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[id]
	switch verb {
	case "put":
		if found && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.objects[id] = b
	case "get":
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(old)
	case "drop":
		delete(s.objects, id)
	case "list":
		names := []string{}
		for n := range s.objects {
			if strings.HasPrefix(n, r.URL.Query().Get("prefix")) {
				names = append(names, n)
			}
		}
		sort.Strings(names)
		reply(w, http.StatusOK, map[string]any{"names": names, "hasMore": false})
	}
}
