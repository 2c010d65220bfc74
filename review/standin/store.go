package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store's tables, as on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store: linearizable tables with a feed. While it is down it answers nobody.
type store struct {
	begin time.Time

	mu      sync.Mutex
	version int64
	rows    map[[2]string]row
	history []row
	changed chan struct{}
	isDown  bool
}

func newStore() *store {
	return &store{begin: time.Now(), rows: map[[2]string]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator and the replicas do, and returns its version.
func (s *store) put(table, key string, value any) int64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: content, Ver: s.version})
	return s.version
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[[2]string{table, key}]; !ok {
		return
	}
	s.version++
	s.write(row{Table: table, Key: key, Ver: s.version, Tombstone: true})
}

func (s *store) write(r row) {
	s.history = append(s.history, r)
	if r.Tombstone {
		delete(s.rows, [2]string{r.Table, r.Key})
	} else {
		s.rows[[2]string{r.Table, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	return mux
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) answerRows(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	answerJSON(w, http.StatusOK, map[string]any{"rows": rows, "more_pages": more, "ver": s.version, "now_ms": time.Since(s.begin).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for key, value := range s.rows {
		if key[0] == q.Get("table") && key[1] >= q.Get("from") && (q.Get("to") == "" || key[1] < q.Get("to")) {
			found = append(found, value)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	s.answerRows(w, found, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	time.Sleep(2 * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				found = append(found, h)
			}
		}
		changed := s.changed
		if len(found) > 0 || wait == 0 {
			s.answerRows(w, found, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{tx.Put, tx.Remove} {
		for _, p := range list {
			if p.Table == "op" || p.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	for _, e := range tx.Expected {
		if s.rows[[2]string{e.Table, e.Key}].Ver != e.Ver {
			answerJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.version, "now_ms": time.Since(s.begin).Milliseconds()})
			return
		}
	}
	s.version++
	for _, p := range tx.Put {
		p.Ver = s.version
		s.write(p)
	}
	for _, p := range tx.Remove {
		p.Ver, p.Tombstone, p.Value = s.version, true, nil
		s.write(p)
	}
	answerJSON(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": time.Since(s.begin).Milliseconds()})
}

func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// newDoor serves one machine and returns the address for that.
func (s *store) newDoor(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	inner := s.handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.answer(inner, w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// answer answers a call, unless the store is down when the call comes or when its answer is ready.
func (s *store) answer(inner http.Handler, w http.ResponseWriter, r *http.Request) {
	held := &heldAnswer{header: http.Header{}}
	isLost := s.isAway()
	if !isLost {
		inner.ServeHTTP(held, r)
		isLost = s.isAway()
	}
	if isLost {
		// No answer ever comes on this connection; the caller gives up.
		select {
		case <-r.Context().Done():
		case <-time.After(30 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	if held.status != 0 {
		w.WriteHeader(held.status)
	}
	_, _ = w.Write(held.body)
}

// heldAnswer keeps an answer until it is known whether the store is up.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (h *heldAnswer) Header() http.Header { return h.header }

func (h *heldAnswer) WriteHeader(status int) { h.status = status }

func (h *heldAnswer) Write(p []byte) (int, error) {
	h.body = append(h.body, p...)
	return len(p), nil
}
