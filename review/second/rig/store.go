package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// Store is a stand-in for the platform's metadata store.
type Store struct {
	Addr  string
	start time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]row
	log     []row
	changed chan struct{}
	srv     *http.Server
}

// StartStore starts a store at addr.
func StartStore(addr string) (*Store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: addr, start: time.Now(), ver: 100, rows: make(map[rowKey]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /briarrock/rows-get", s.get)
	mux.HandleFunc("GET /briarrock/rows-feed", s.feed)
	mux.HandleFunc("POST /briarrock/rows-tx", s.transact)
	s.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.srv.Close() }

// Put writes a row as the operator does. The return is the acknowledgement.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.notify()
}

func (s *Store) set(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(w http.ResponseWriter, status int, v map[string]any) {
	v["now"] = strconv.FormatInt(time.Since(s.start).Milliseconds(), 10) + "ms"
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

const maxRows = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxRows)
	}
	s.mu.Lock()
	rows := []row{}
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": more, "ver": ver})
}

const maxFeedWait = 30 * time.Second

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	for {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.log {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	held := true
	for _, e := range tx.Expected {
		x := s.rows[rowKey{e.Table, e.Part, e.Key}]
		held = held && x.Ver == e.Ver
		if x.Ver > 0 {
			current = append(current, x)
		}
	}
	if !held {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver})
		return
	}
	for _, p := range append(tx.Puts, tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver = s.ver
		s.set(p)
	}
	for _, p := range tx.Remove {
		p.Ver, p.Removed, p.Value = s.ver, true, nil
		s.set(p)
	}
	s.notify()
	s.reply(w, http.StatusOK, map[string]any{"ver": s.ver})
}
