package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswer is how long an answer of the store takes, storeTxn how long a transaction.
	storeAnswer = 4 * time.Millisecond
	storeTxn    = 5 * time.Millisecond
	// rowBytes bounds the value of a row.
	rowBytes = 65536
	// maxPage is the largest number of rows of an answer.
	maxPage = 500
)

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storeRow struct {
	rowName
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type condition struct {
	rowName
	Version uint64 `json:"ver"`
}

type transaction struct {
	Expect  []condition `json:"expect"`
	Puts    []storeRow  `json:"puts"`
	Deletes []rowName   `json:"deletes"`
}

type rowsAnswer struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has_more"`
	Version uint64     `json:"ver"`
	NowMS   int64      `json:"now_ms"`
}

// store is the platform's store.
type store struct {
	record *record
	began  time.Time
	server *http.Server
	// address is where it listens.
	address string
	// loseAnswer, unless it is nil, decides whether the answer to an applied transaction is lost. It
	// must be set before the entries start.
	loseAnswer func(transaction) bool
	// parts serializes the transactions of a part.
	parts sync.Mutex

	mu      sync.Mutex
	rows    map[rowName]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
}

func newStore(rec *record, address string) (*store, error) {
	s := &store{record: rec, began: time.Now(), address: address, rows: make(map[rowName]storeRow), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcuplatch/rows-get", s.get)
	mux.HandleFunc("GET /kingcuplatch/rows-feed", s.feed)
	mux.HandleFunc("POST /kingcuplatch/rows-tx", s.commit)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// write writes a row as an operator or a worker does.
func (s *store) write(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Puts: []storeRow{{rowName: rowName{Table: table, Key: key}, Value: encoded}}})
}

// remove removes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Deletes: []rowName{{Table: table, Key: key}}})
}

// value returns the value of a row in the unnamed part.
func (s *store) value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowName{Table: table, Key: key}]
	return row.Value, ok
}

// holder returns the name of the entry in the lease row of the cell, and the row's version.
func (s *store) holder() (string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, row := range s.rows {
		if name.Key != "lease" {
			continue
		}
		var lease struct {
			Holder string `json:"holder"`
		}
		if json.Unmarshal(row.Value, &lease) == nil {
			return lease.Holder, row.Version
		}
	}
	return "", 0
}

// apply applies a transaction. s.mu must be held.
func (s *store) apply(t transaction) {
	s.version++
	for _, put := range t.Puts {
		put.Version = s.version
		s.rows[put.rowName] = put
		s.history = append(s.history, put)
	}
	for _, name := range t.Deletes {
		if _, ok := s.rows[name]; !ok {
			continue
		}
		delete(s.rows, name)
		s.history = append(s.history, storeRow{rowName: name, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// conflicts returns the present rows of the conditions, and whether one isn't met. s.mu must be held.
func (s *store) conflicts(t transaction) ([]storeRow, bool) {
	var present []storeRow
	conflict := false
	for _, c := range t.Expect {
		row, ok := s.rows[c.rowName]
		if ok {
			present = append(present, row)
		}
		conflict = conflict || row.Version != c.Version
	}
	return present, conflict
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t transaction
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	if err == nil {
		err = checkTransaction(t)
	}
	if err != nil {
		s.record.write("store", "a transaction is refused (400): %v", err)
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	time.Sleep(storeAnswer / 2)
	s.parts.Lock()
	time.Sleep(storeTxn)
	s.mu.Lock()
	rows, conflict := s.conflicts(t)
	if !conflict {
		s.apply(t)
	}
	answer := rowsAnswer{Rows: rows, Version: s.version, NowMS: s.nowMS()}
	s.mu.Unlock()
	s.parts.Unlock()
	if !conflict && s.loseAnswer != nil && s.loseAnswer(t) {
		s.record.write("store", "a transaction is applied as version %d, its answer is lost", answer.Version)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeAnswer / 2)
	if conflict {
		answerJSON(w, http.StatusPreconditionFailed, answer)
		return
	}
	answerJSON(w, http.StatusOK, answer)
}

// checkTransaction checks the limits of a transaction.
func checkTransaction(t transaction) error {
	if n := len(t.Expect) + len(t.Puts) + len(t.Deletes); n > 100 {
		return fmt.Errorf("%d entries", n)
	}
	for _, put := range t.Puts {
		if len(put.Value) > rowBytes {
			return fmt.Errorf("row %s: %d bytes are more than row_bytes, %d", put.Key, len(put.Value), rowBytes)
		}
		if len(put.Key) > 200 || put.Table == "op" || put.Table == "servers" {
			return fmt.Errorf("row %s/%s", put.Table, put.Key)
		}
	}
	return nil
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPage || limit < 1 {
		limit = maxPage
	}
	time.Sleep(storeAnswer)
	s.mu.Lock()
	answer := rowsAnswer{Rows: []storeRow{}, Version: s.version, NowMS: s.nowMS()}
	for name, row := range s.rows {
		if name.Table != query.Get("table") || name.Part != query.Get("part") || name.Key < query.Get("from") {
			continue
		}
		if target := query.Get("target"); target != "" && name.Key >= target {
			continue
		}
		answer.Rows = append(answer.Rows, row)
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	answerJSON(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		answerJSON(w, http.StatusBadRequest, nil)
		return
	}
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		answer := rowsAnswer{Rows: s.changes(query.Get("table"), after), Version: s.version, NowMS: s.nowMS()}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 {
			time.Sleep(storeAnswer)
			answerJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			answerJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changes returns the changes of a table after a version. s.mu must be held.
func (s *store) changes(table string, after uint64) []storeRow {
	rows := []storeRow{}
	begin, _ := slices.BinarySearchFunc(s.history, after+1, func(row storeRow, version uint64) int {
		if row.Version < version {
			return -1
		}
		return 1
	})
	for _, row := range s.history[begin:] {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	return rows
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	// An error means that the caller has left.
	_, _ = w.Write(encoded)
}
