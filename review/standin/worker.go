package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of workers, as the pages give them for a small deployment.
const (
	// roundTrip is what a request spends on links (0.5 ms one way).
	roundTrip = time.Millisecond
	// longestLease is hold_max_ms.
	longestLease = 10 * time.Second
	// stopTime is how long a run works on after a stop command; stop_ms bounds it.
	stopTime = 50 * time.Millisecond
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 300 * time.Millisecond
	// registerPeriod is heartbeat_ms.
	registerPeriod = 1500 * time.Millisecond
)

// work is what a job's text says about each of its tasks. The stand-in's clients write it.
type work struct {
	// MS is how long a task works; a task that lasts has none.
	MS  int64 `json:"ms,omitempty"`
	CPU int64 `json:"cpu"`
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task    string
	number  int
	work    work
	startAt time.Time
	// pace is the share of its full speed at which the run works, in percent.
	pace  int
	ended bool
}

// finished is a row of the list of ends.
type finished struct {
	number int64
	task   string
	run    int
	how    string
}

// worker stands in for a worker over all its lives.
type worker struct {
	site    *site
	id      string
	address string
	labels  []string
	// tail returns the tail latency of the tasks that serve, in milliseconds; nil if there are none.
	tail func(w *worker) int64

	mu        sync.Mutex
	capacity  int64
	born      time.Time
	fence     uint64
	leaseEnd  time.Time
	runs      map[string]*taskRun
	ends      []finished
	lastEnd   int64
	highest   map[string]int
	endSignal chan struct{}
	sequence  int
	draining  bool
	server    *http.Server
	listener  net.Listener
	stopLife  chan struct{}
	// lives is closed and replaced when a life begins.
	lives chan struct{}
	// unknownStops counts the stop commands for runs that weren't there.
	unknownStops int
}

func newWorker(s *site, id, address string, capacity int64, labels []string) *worker {
	return &worker{site: s, id: id, address: address, capacity: capacity, labels: labels, lives: make(chan struct{})}
}

// start begins a life of the worker: it registers, and then serves.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born = time.Now()
	w.fence, w.lastEnd, w.ends = 0, 0, nil
	w.leaseEnd = time.Time{}
	w.runs, w.highest = make(map[string]*taskRun), make(map[string]int)
	w.endSignal, w.stopLife = make(chan struct{}), make(chan struct{})
	w.sequence, w.draining = 0, false
	close(w.lives)
	w.lives = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kingcuplatch/run-start", w.command(w.born, w.runStart))
	mux.HandleFunc("POST /kingcuplatch/run-stop", w.command(w.born, w.runStop))
	mux.HandleFunc("POST /kingcuplatch/pace", w.command(w.born, w.setPace))
	mux.HandleFunc("POST /kingcuplatch/hold", w.command(w.born, w.hold))
	w.server, w.listener = &http.Server{Handler: mux}, listener
	server, life, born := w.server, w.stopLife, w.born
	w.mu.Unlock()
	w.register()
	w.site.log.printf("worker %s starts, capacity %d", w.id, w.capacity)
	go func() { _ = server.Serve(listener) }()
	go w.live(life, born)
	return nil
}

// crash ends a life of the worker: nothing runs there any more, and its connections are closed.
func (w *worker) crash() {
	server := w.end("crashes")
	_ = server.Close()
}

// goDark ends a life of the worker like a loss of power: calls in progress are never answered, and
// later ones get no answer until it starts again, and then a reset.
func (w *worker) goDark() { w.end("goes dark") }

// end ends a life of the worker and returns its server.
func (w *worker) end(how string) *http.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stopLife)
	w.site.log.printf("worker %s %s with %d runs", w.id, how, len(w.runs))
	for _, r := range w.runs {
		r.ended = true
		w.site.ended(w, r, "lost")
	}
	w.runs = make(map[string]*taskRun)
	w.born = time.Time{}
	return w.server
}

// startAfterDark begins a life after goDark.
func (w *worker) startAfterDark() error {
	w.mu.Lock()
	listener := w.listener
	w.mu.Unlock()
	_ = listener.Close()
	return w.start()
}

// live registers the worker periodically and lets its lease end.
func (w *worker) live(life chan struct{}, born time.Time) {
	beat := time.NewTicker(registerPeriod)
	lease := time.NewTicker(20 * time.Millisecond)
	defer beat.Stop()
	defer lease.Stop()
	for {
		select {
		case <-life:
			return
		case <-beat.C:
			w.register()
		case <-lease.C:
			w.mu.Lock()
			if w.born == born && !w.leaseEnd.IsZero() && time.Now().After(w.leaseEnd) {
				for _, r := range w.runs {
					w.endRun(r, "lapsed")
				}
			}
			w.mu.Unlock()
		}
	}
}

// register writes the worker's row.
func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": "z1", "version": "1", "slots": 8, "state": state,
		"sequence": w.sequence, "born": w.born.UnixMilli(), "labels": w.labels,
		"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": 65536, "gpu": 0},
	}
	w.mu.Unlock()
	w.site.store.put("servers", w.id, entry)
}

// order is the body of a command.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	NotAfter int64  `json:"not_after_ms"`
	Fence    uint64 `json:"fence"`
	Percent  int    `json:"percent"`
	Acked    int64  `json:"acked_through"`
	Wait     int64  `json:"wait_ms"`
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// refuse responds that a command was refused. The worker's lock must be held.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	respond(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.born.UnixMilli()})
}

// command decodes a command, checks for whom and by whom it is, and carries it out.
func (w *worker) command(born time.Time, do func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(roundTrip)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born {
			w.resetByNextLife(r)
		}
		if o.Fence < w.fence {
			w.refuse(rw, "fence")
			return
		}
		w.fence = o.Fence
		do(rw, r, o)
	}
}

// resetByNextLife ends a call that has come after the life it was meant for: there is no answer
// while the worker is dark, and a reset once it has started again. The worker's lock must be held.
func (w *worker) resetByNextLife(r *http.Request) {
	if w.born.IsZero() {
		lives := w.lives
		w.mu.Unlock()
		select {
		case <-lives:
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	panic(http.ErrAbortHandler)
}

// staySilent ends a call that had come when the life ended: nothing is sent on its connection any
// more, so the caller hears nothing until it closes it. The worker's lock must be held.
func (w *worker) staySilent(r *http.Request) {
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
	panic(http.ErrAbortHandler)
}

// extend takes a lease. The worker's lock must be held.
func (w *worker) extend(notAfter int64) {
	if notAfter <= 0 {
		return
	}
	end := w.born.Add(time.Duration(notAfter) * time.Millisecond)
	if longest := time.Now().Add(longestLease); end.After(longest) {
		end = longest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) runStart(rw http.ResponseWriter, _ *http.Request, o order) {
	var what work
	if err := json.Unmarshal([]byte(o.Spec), &what); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	current := w.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
	case o.Run <= w.highest[o.Task]:
		w.extend(o.NotAfter)
		w.refuse(rw, "old")
		return
	case o.NotAfter < w.clock():
		w.refuse(rw, "late")
		return
	default:
		w.extend(o.NotAfter)
		r := &taskRun{task: o.Task, number: o.Run, work: what, startAt: time.Now(), pace: 100}
		w.runs[o.Task] = r
		w.site.started(w, r, o.Spec)
		if what.MS > 0 {
			time.AfterFunc(time.Duration(what.MS)*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.endRun(r, "done")
			})
		}
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

// endRun ends a run and lists its end. The worker's lock must be held.
func (w *worker) endRun(r *taskRun, how string) {
	if r.ended || w.runs[r.task] != r {
		return
	}
	r.ended = true
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, finished{w.lastEnd, r.task, r.number, how})
	w.site.ended(w, r, how)
	close(w.endSignal)
	w.endSignal = make(chan struct{})
}

func (w *worker) runStop(rw http.ResponseWriter, _ *http.Request, o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.site.log.printf("worker %s is told to stop %s run %d", w.id, o.Task, o.Run)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(r, "stopped")
		})
	} else {
		w.unknownStops++
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) setPace(rw http.ResponseWriter, _ *http.Request, o order) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.site.log.printf("worker %s: %s paced to %d", w.id, o.Task, o.Percent)
		time.AfterFunc(paceTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			r.pace = o.Percent
		})
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

// paceTime is pace_ms.
const paceTime = 100 * time.Millisecond

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.NotAfter)
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > o.Acked {
			kept = append(kept, e)
		} else {
			w.site.noted(w, e)
		}
	}
	w.ends = kept
	deadline := time.After(time.Duration(o.Wait) * time.Millisecond)
	born := w.born
	for waiting := o.Wait > 0; waiting && len(w.ends) == 0; {
		signal := w.endSignal
		w.mu.Unlock()
		select {
		case <-signal:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.born != born {
		w.staySilent(r)
	}
	running, ends := [][]any{}, [][]any{}
	for _, one := range w.runs {
		load := one.work.CPU
		if one.work.MS == 0 && w.tail != nil {
			load = w.tail(w)
		}
		running = append(running, []any{one.task, one.number, "", one.progress(), load})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": ends})
}

// progress returns the share of its work that a run has done, in percent. A task that lasts is at
// work when it is 100.
func (r *taskRun) progress() int {
	took := time.Since(r.startAt)
	if r.work.MS == 0 {
		if took >= startupTime {
			return 100
		}
		return int(100 * took / startupTime)
	}
	return min(99, int(100*took.Milliseconds()/r.work.MS))
}

// used returns the processors in use by the runs on the worker. The worker's lock must be held.
func (w *worker) used() int64 {
	var sum int64
	for _, r := range w.runs {
		sum += r.work.CPU
	}
	return sum
}

// running returns the runs on the worker, as text.
func (w *worker) running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, r := range w.runs {
		list = append(list, fmt.Sprintf("%s run %d", r.task, r.number))
	}
	return list
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
