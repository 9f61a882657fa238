package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Behaviour of workers.
const (
	workerSlots = 8
	// startup is how long a lasting task takes until it is at work.
	startup = 200 * time.Millisecond
	// maxLease is hold_max_ms.
	maxLease = 10 * time.Second
	// maxListed is how many ends a worker lists at a time.
	maxListed = 500
)

// work is what the text of a job says about its tasks.
type work struct {
	// MS is how long a task works; 0 if it lasts.
	MS int `json:"ms"`
	// Fails is how many runs of a task fail, FailsAfterMS after their start.
	Fails        int `json:"fails,omitempty"`
	FailsAfterMS int `json:"fails_after_ms,omitempty"`
}

func (w work) text() string {
	text, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// worker is a machine with a worker at a fixed address. After a crash, its next life has another id.
type worker struct {
	lab     *lab
	name    string
	address string
	labels  []string
	cpu     int64

	mu   sync.Mutex
	life *life
}

// life is one life of a worker.
type life struct {
	worker   *worker
	id       string
	began    time.Time
	listener net.Listener
	server   *http.Server
	over     chan struct{}

	mu       sync.Mutex
	dead     bool
	sequence int
	fence    uint64
	until    time.Duration
	running  map[string]*run
	// highest is the highest run of each task that was stopped or has ended here.
	highest map[string]int
	ends    [][]any
	lastEnd int
	// ended is closed and replaced when a run ends.
	ended chan struct{}
}

// run is a run of a task on a worker.
type run struct {
	task   string
	number int
	work   work
	began  time.Time
}

// start begins a life.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	l := &life{
		worker: w, id: "i-" + randomHex(5), began: time.Now(), listener: listener, over: make(chan struct{}),
		running: make(map[string]*run), highest: make(map[string]int), ended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kingcuplatch/run-start", l.startRun)
	mux.HandleFunc("POST /kingcuplatch/run-stop", l.stopRun)
	mux.HandleFunc("POST /kingcuplatch/hold", l.hold)
	l.server = &http.Server{Handler: l.forThisLife(mux)}
	go func() { _ = l.server.Serve(listener) }()
	go l.watchLease()
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	w.lab.record("worker %s: begins as %s", w.name, l.id)
	w.beat()
	return nil
}

// current returns the present life.
func (w *worker) current() *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

// beat writes the worker's entry to the store.
func (w *worker) beat() {
	l := w.current()
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return
	}
	l.sequence++
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": "z1", "version": "v1", "slots": workerSlots, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0}, "labels": w.labels, "clock_ms": l.clock(), "sequence": l.sequence, "born": l.began.UnixMilli(),
	}
	l.mu.Unlock()
	w.lab.store.put("servers", l.id, entry)
}

// awaitBeat waits until the worker has written its entry once more.
func (w *worker) awaitBeat() {
	written := func() int {
		l := w.current()
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.sequence
	}
	for before := written(); written() == before; {
		time.Sleep(5 * time.Millisecond)
	}
}

// crash ends the life without notice: connections are reset, and nothing listens.
func (w *worker) crash() {
	l := w.current()
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		return
	}
	l.dead = true
	for _, r := range l.running {
		w.lab.runs.lost(r.task, r.number, l.id)
		w.lab.record("worker %s: %s run %d is lost in the crash", w.name, r.task, r.number)
	}
	l.running = make(map[string]*run)
	l.mu.Unlock()
	close(l.over)
	_ = l.server.Close()
	w.lab.record("worker %s: crashes as %s", w.name, l.id)
	id := l.id
	time.AfterFunc(3*heartbeat, func() {
		w.lab.store.drop("servers", id)
	})
}

// forThisLife refuses calls that are meant for another life.
func (l *life) forThisLife(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect-Instance") != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// order is the body of a call of the system.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	NotAfterMS int64  `json:"not_after_ms"`
	Fence      uint64 `json:"fence"`
	Acked      int    `json:"acked_through"`
	WaitMS     int    `json:"wait_ms"`
}

// read decodes an order and checks its fence. It returns false if the order was refused. On success l.mu
// is held.
func (l *life) read(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	l.mu.Lock()
	if l.dead {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < l.fence {
		l.refuse(w, "fence")
		l.mu.Unlock()
		return o, false
	}
	l.fence = o.Fence
	return o, true
}

func (l *life) refuse(w http.ResponseWriter, reason string) {
	sendJSON(w, http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason})
}

// extend extends the lease. l.mu must be held.
func (l *life) extend(notAfterMS int64) {
	now := time.Since(l.began)
	l.until = max(l.until, min(time.Duration(notAfterMS)*time.Millisecond, now+maxLease))
}

func (l *life) startRun(w http.ResponseWriter, r *http.Request) {
	o, ok := l.read(w, r)
	if !ok {
		return
	}
	defer l.mu.Unlock()
	key := runKey(o.Task, o.Run)
	if l.running[key] != nil {
		sendJSON(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
		return
	}
	if o.NotAfterMS <= l.clock() {
		l.refuse(w, "late")
		return
	}
	l.extend(o.NotAfterMS)
	if o.Run <= l.highest[o.Task] {
		l.refuse(w, "old")
		return
	}
	begun := &run{task: o.Task, number: o.Run, began: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &begun.work); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.running[key] = begun
	l.worker.lab.runs.begun(o.Task, o.Run, l.id)
	l.worker.lab.recordRun("worker %s: starts %s run %d", l.worker.name, o.Task, o.Run)
	switch {
	case o.Run <= begun.work.Fails:
		time.AfterFunc(time.Duration(begun.work.FailsAfterMS)*time.Millisecond, func() { l.end(key, "failed") })
	case begun.work.MS > 0:
		time.AfterFunc(time.Duration(begun.work.MS)*time.Millisecond, func() { l.end(key, "done") })
	}
	sendJSON(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func runKey(task string, number int) string { return task + "/" + strconv.Itoa(number) }

func (l *life) end(key, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endLocked(key, how)
}

func (l *life) endLocked(key, how string) {
	r := l.running[key]
	if r == nil || l.dead {
		return
	}
	delete(l.running, key)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, r.task, r.number, how, ""})
	l.worker.lab.runs.over(r.task, r.number, l.id, how)
	l.worker.lab.recordRun("worker %s: %s run %d ends %s", l.worker.name, r.task, r.number, how)
	close(l.ended)
	l.ended = make(chan struct{})
}

func (l *life) stopRun(w http.ResponseWriter, r *http.Request) {
	o, ok := l.read(w, r)
	if !ok {
		return
	}
	defer l.mu.Unlock()
	l.worker.lab.recordRun("worker %s: is told to stop %s run %d", l.worker.name, o.Task, o.Run)
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	l.endLocked(runKey(o.Task, o.Run), "stopped")
	sendJSON(w, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func (l *life) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := l.read(w, r)
	if !ok {
		return
	}
	l.lapse()
	l.extend(o.NotAfterMS)
	l.ends = slices.DeleteFunc(l.ends, func(e []any) bool { return e[0].(int) <= o.Acked })
	if ended := l.ended; len(l.ends) == 0 && o.WaitMS > 0 {
		l.mu.Unlock()
		select {
		case <-ended:
		case <-l.over:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	if l.dead {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, one := range l.running {
		running = append(running, []any{one.task, one.number, "", one.percent(), 0})
	}
	ends := l.ends[:min(len(l.ends), maxListed)]
	if ends == nil {
		ends = [][]any{}
	}
	sendJSON(w, http.StatusOK, map[string]any{"clock_ms": l.clock(), "born": l.began.UnixMilli(), "running": running, "finished": ends})
}

// percent returns the progress of a run; that of a lasting task is 100 once it is at work.
func (r *run) percent() int {
	whole := startup
	if r.work.MS > 0 {
		whole = time.Duration(r.work.MS) * time.Millisecond
	}
	return int(min(100, 100*time.Since(r.began)/whole))
}

// leaseCheck is the interval between checks of the lease.
const leaseCheck = 20 * time.Millisecond

// watchLease kills what runs when the lease has lapsed.
func (l *life) watchLease() {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-l.over:
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		l.lapse()
		l.mu.Unlock()
	}
}

// lapse ends all runs if the lease has lapsed. l.mu must be held.
func (l *life) lapse() {
	if time.Since(l.began) <= l.until {
		return
	}
	for key := range l.running {
		l.endLocked(key, "lapsed")
	}
}

// String names the worker in the record.
func (w *worker) String() string { return fmt.Sprintf("%s (%s)", w.name, w.current().id) }
