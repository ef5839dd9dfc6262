package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: rows, transactions and the feed of changes, as on the page PROTOCOL.md.
type store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
}

type rowID struct{ table, part, key string }

type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion,omitempty"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, rows: map[rowID]row{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s.handler()}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// endpoint is the store as one machine sees it. While it is silent, no call of that machine is answered, also none that it has sent
// before; a connection on which an answer was lost delivers nothing further.
type endpoint struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	silenced chan struct{} // closed while the store is silent
	wait     string        // of the last poll for changes, in milliseconds
}

func (s *store) newEndpoint() (*endpoint, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{listener: listener, silenced: make(chan struct{})}
	inner := s.handler()
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		silenced := e.silenced
		if wait := r.URL.Query().Get("waitMs"); wait != "" {
			e.wait = wait
		}
		e.mu.Unlock()
		answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
		done := make(chan struct{})
		go func() {
			inner.ServeHTTP(answer, r)
			close(done)
		}()
		select {
		case <-done:
		case <-silenced:
		}
		select {
		case <-silenced: // lost for good
			<-r.Context().Done()
			return
		default:
		}
		for name, values := range answer.header {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes())
	})}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// silence starts or ends a span in which the store does not answer.
func (e *endpoint) silence(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if on {
		close(e.silenced)
	} else {
		e.silenced = make(chan struct{})
	}
}

// pollWait returns the time for which the last poll for changes waits, in milliseconds.
func (e *endpoint) pollWait() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wait
}

// heldAnswer is an answer that is not sent yet.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Header() http.Header         { return h.header }
func (h *heldAnswer) WriteHeader(status int)      { h.status = status }
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value})
	s.wake()
}

// keys returns the number of rows of a table.
func (s *store) keys(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id := range s.rows {
		if id.table == table {
			n++
		}
	}
	return n
}

func (s *store) write(r row) {
	r.RowVersion = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ ExpectedRev, Writes, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectedRev {
		if s.rows[rowID{e.Table, e.Part, e.Key}].RowVersion != e.RowVersion {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, written := range t.Writes {
		s.write(written)
	}
	for _, removed := range t.Remove {
		removed.Tombstone = true
		s.write(removed)
	}
	s.wake()
	s.answer(w, nil, s.version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	s.answer(w, found, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.RowVersion > after {
				rows = append(rows, x)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, rows, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	body := map[string]any{"rowVersion": version, "nowS": float64(time.Now().UnixMilli()) / 1000}
	if rows != nil {
		body["rows"], body["hasMore"] = rows, false
	}
	_ = json.NewEncoder(w).Encode(body)
}
