package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// txTime is how long a transaction of the store takes (tx_ms).
const txTime = 5 * time.Millisecond

// row is a row of the store as its responses show it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowName identifies a row.
type rowName struct{ table, part, key string }

// store stands in for the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowName]row
	changes []row
	version uint64
	changed chan struct{}
	// silent is set while calls get no answer.
	silent bool
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowName]row), changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kingcuplatch/rows-tx", s.transact)
	mux.HandleFunc("GET /kingcuplatch/rows-get", s.get)
	mux.HandleFunc("GET /kingcuplatch/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			// The call is lost; its sender hears nothing on this connection.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notify()
}

// write applies one change. The store's lock must be held.
func (s *store) write(r row) {
	r.Version = s.version
	name := rowName{r.Table, r.Part, r.Key}
	if r.Deleted {
		if _, ok := s.rows[name]; !ok {
			return
		}
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.changes = append(s.changes, r)
}

// notify wakes those who wait for changes. The store's lock must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row for the operator or a worker.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: encoded})
	s.notify()
}

// remove deletes a row for a worker that has left.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Deleted: true})
	s.notify()
}

// value returns the value of a row; nil if there is none.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowName{table, part, key}].Value
}

type transaction struct {
	Expect  []row `json:"expect"`
	Puts    []row `json:"puts"`
	Deletes []row `json:"deletes"`
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more,omitempty"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	respond(w, status, rowsReply{Rows: rows, HasMore: more, Version: s.version, Now: time.Since(s.began).Milliseconds()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, p := range append(txn.Puts, txn.Deletes...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	hold := true
	for _, e := range txn.Expect {
		found, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, found)
		}
		hold = hold && found.Version == e.Version
	}
	if !hold {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range txn.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range txn.Deletes {
		s.write(row{Table: d.Table, Part: d.Part, Key: d.Key, Deleted: true})
	}
	s.notify()
	s.reply(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for name, one := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("target") == "" || name.key < q.Get("target")) {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.reply(w, http.StatusOK, found, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.silent {
			s.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		rows := s.since(q.Get("table"), after)
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a table after a version. The store's lock must be held.
func (s *store) since(table string, after uint64) []row {
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after })
	var rows []row
	for _, one := range s.changes[first:] {
		if one.Table == table {
			rows = append(rows, one)
		}
	}
	return rows
}

// respond writes a JSON response.
func respond(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
