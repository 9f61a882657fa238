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

// answerTime is how long the store takes for a call.
const answerTime = 4 * time.Millisecond

// maxRowsPerAnswer is the largest number of rows in one answer.
const maxRowsPerAnswer = 500

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	began    time.Time
	rowBytes int

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	// changes is the whole history. changed is closed and replaced with each change.
	changes []row
	changed chan struct{}
}

func newStore(address string, rowBytes int) (*store, error) {
	s := &store{began: time.Now(), rowBytes: rowBytes, rows: make(map[string]row), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kingcuplatch/rows-tx", s.transact)
	mux.HandleFunc("GET /kingcuplatch/rows-get", s.get)
	mux.HandleFunc("GET /kingcuplatch/rows-feed", s.feed)
	go serve(listener, mux)
	return s, nil
}

func rowName(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row on behalf of the operator, a worker or another writer.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: encoded, Version: s.version})
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Version: s.version, Deleted: true})
}

// write applies a change. s.mu must be held.
func (s *store) write(r row) {
	name := rowName(r.Table, r.Part, r.Key)
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// transaction is the body of rows-tx.
type transaction struct {
	Expect  []row `json:"expect"`
	Puts    []row `json:"puts"`
	Deletes []row `json:"deletes"`
}

// maxEntries is the largest number of entries of a transaction.
const maxEntries = 100

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Puts)+len(t.Deletes) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range t.Puts {
		if len(put.Value) > s.rowBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if put.Table == "op" || put.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []row{}
	for _, e := range t.Expect {
		have := s.rows[rowName(e.Table, e.Part, e.Key)]
		holds = holds && have.Version == e.Version
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, put := range t.Puts {
		put.Version = s.version
		s.write(put)
	}
	for _, gone := range t.Deletes {
		gone.Version, gone.Deleted = s.version, true
		s.write(gone)
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

// answer sends a body with the store's version and clock. s.mu must be held.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now_ms"] = s.version, time.Since(s.began).Milliseconds()
	sendJSON(w, status, body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerAnswer {
		limit = maxRowsPerAnswer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Part == q.Get("part") && one.Key >= q.Get("from") && (q.Get("target") == "" || one.Key < q.Get("target")) {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "has_more": len(found) > limit})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(answerTime)
	for waiting := true; ; {
		s.mu.Lock()
		rows, changed := s.changedSince(q.Get("table"), after), s.changed
		if len(rows) > 0 || !waiting {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// changedSince returns the changes of a table after a version. s.mu must be held.
func (s *store) changedSince(table string, after uint64) []row {
	from, _ := slices.BinarySearchFunc(s.changes, after+1, func(r row, version uint64) int {
		if r.Version >= version {
			return 1
		}
		return -1
	})
	rows := []row{}
	for _, r := range s.changes[from:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}

// sendJSON sends a body. A write error means that the peer has gone.
func sendJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serve serves until the listener is closed.
func serve(listener net.Listener, handler http.Handler) { _ = http.Serve(listener, handler) }
