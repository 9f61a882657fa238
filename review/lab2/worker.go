package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	stopTime   = 200 * time.Millisecond
	gangTime   = 3 * time.Second
	maxLease   = 10 * time.Second
	startup    = 300 * time.Millisecond
	worldTick  = 10 * time.Millisecond
	maxFinish  = 500
	saveTime   = time.Second
	saveLength = 16
)

// work is the meaning of a job's spec for the stand-ins of workers, which is the text of a job here.
type work struct {
	// MS is how long a task works; 0 for tasks that run until they are stopped.
	MS int `json:"ms,omitempty"`
	// SpreadMS is how much longer a task works at most.
	SpreadMS int `json:"spread,omitempty"`
	// Gang is the number of tasks that work only together; 0 or 1 for others.
	Gang int `json:"gang,omitempty"`
	// Save is set for tasks that save their progress.
	Save bool `json:"save,omitempty"`
}

// world is all machines with their workers. Its lock guards these too.
type world struct {
	record *record
	store  *store
	// service is the upstream's name.
	service string

	mu       sync.Mutex
	machines []*machine
	// ends holds the ends of runs in their order, starts the starts.
	ends   []runEnd
	starts []runStart
	closed bool
}

// runStart is a start of a run on a worker.
type runStart struct {
	at     time.Duration
	worker *worker
	task   string
	run    int
}

// runEnd is an end of a run.
type runEnd struct {
	at   time.Duration
	task string
	run  int
	how  string
}

// machine is a machine, which has one worker after the other.
type machine struct {
	world    *world
	name     string
	address  string
	zone     string
	kind     string
	rack     string
	cpu, mem int64
	// pool and state are as in the list of machines.
	state string
	// worker is nil while there is none; server serves it.
	worker *worker
	server *http.Server
	// dark is the last worker while the machine has no power; else it is nil.
	dark *worker
	// upkept are the waves for which the machine has begun its upkeep.
	upkept map[int64]bool
}

// worker is one life of a machine.
type worker struct {
	machine *machine
	id      string
	began   time.Time
	born    int64
	kind    string
	fence   uint64
	// notAfter is the end of the lease, on the worker's clock.
	notAfter int64
	runs     map[string]*run
	// over holds the highest run of each task that was stopped or has ended here.
	over     map[string]int
	finished []finishedRun
	lastEnd  int64
	ended    chan struct{}
	sequence int
	draining bool
	gone     bool
	// silent is closed when the machine answers again, or has a new worker; nil while it answers.
	silent chan struct{}
}

// run is a task at work.
type run struct {
	task    string
	number  int
	work    work
	began   time.Time
	stopAt  time.Time
	saved   string
	base    time.Duration
	savedAt time.Duration
}

type finishedRun struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

func newWorld(rec *record, s *store, service string) *world {
	w := &world{record: rec, store: s, service: service}
	go w.loop()
	return w
}

// add adds a machine with a worker.
func (w *world) add(name, address, zone, kind, rack string, cpu, mem int64) (*machine, error) {
	m := &machine{world: w, name: name, address: address, zone: zone, kind: kind, rack: rack, cpu: cpu, mem: mem, upkept: make(map[int64]bool)}
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m, m.start()
}

// start starts a worker on the machine, under a new id.
func (m *machine) start() error { return m.startAs(fmt.Sprintf("i-%010x", rand.Uint64N(1<<40))) }

// startAs starts a worker on the machine under an id.
func (m *machine) startAs(id string) error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	now := time.Now()
	k := &worker{
		machine: m, id: id, kind: m.kind, began: now, born: now.UnixMilli(), runs: make(map[string]*run), over: make(map[string]int), ended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kingcuplatch/run-start", k.start)
	mux.HandleFunc("POST /kingcuplatch/run-stop", k.stop)
	mux.HandleFunc("POST /kingcuplatch/hold", k.hold)
	mux.HandleFunc("POST /kingcuplatch/pace", k.pace)
	m.world.mu.Lock()
	m.worker, m.state = k, "up"
	m.server = &http.Server{Handler: mux}
	server := m.server
	m.world.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	m.world.record.write(m.name, "worker %s of kind %s starts at %s", id, m.kind, m.address)
	k.register()
	return nil
}

// crash ends the worker at once: what runs there is gone and nothing listens at its address.
func (m *machine) crash() *worker {
	m.world.mu.Lock()
	k, server := m.worker, m.server
	k.gone = true
	m.worker, m.state = nil, "down"
	m.world.noteGone(k)
	m.world.mu.Unlock()
	_ = server.Close()
	m.world.record.write(m.name, "worker %s ends without notice, with %d runs", k.id, len(k.runs))
	m.world.breakGangs(k)
	time.AfterFunc(3*heartbeat, func() { m.world.expire(k) })
	return k
}

// powerOff ends the worker and leaves the machine without power: it doesn't respond, and connections
// to it hang.
func (m *machine) powerOff(state string) {
	m.world.mu.Lock()
	k := m.worker
	k.gone, k.silent = true, make(chan struct{})
	m.worker, m.state = nil, state
	m.world.noteGone(k)
	m.world.mu.Unlock()
	m.world.record.write(m.name, "worker %s loses power, with %d runs", k.id, len(k.runs))
	m.world.breakGangs(k)
	m.dark = k
	time.AfterFunc(3*heartbeat, func() { m.world.expire(k) })
}

// powerOn starts a new worker after powerOff.
func (m *machine) powerOn() error {
	m.world.mu.Lock()
	if m.dark == nil || m.world.closed {
		m.world.mu.Unlock()
		return nil
	}
	close(m.dark.silent)
	m.dark = nil
	server := m.server
	m.world.mu.Unlock()
	_ = server.Close()
	return m.start()
}

// noteGone records the ends of runs whose worker has ended. w.mu must be held.
func (w *world) noteGone(k *worker) {
	for _, r := range k.runs {
		w.ends = append(w.ends, runEnd{w.record.since(), r.task, r.number, "gone"})
		w.record.write(k.id, "%s run %d is gone with its worker", r.task, r.number)
	}
}

// expire removes the row of a worker that is silent, unless another life has taken its id.
func (w *world) expire(k *worker) {
	w.mu.Lock()
	taken := slices.ContainsFunc(w.machines, func(m *machine) bool { return m.worker != nil && m.worker.id == k.id })
	w.mu.Unlock()
	if !taken {
		w.store.remove("servers", k.id)
	}
}

// register writes the worker's row.
func (k *worker) register() {
	w := k.machine.world
	w.mu.Lock()
	if k.gone || w.closed {
		w.mu.Unlock()
		return
	}
	k.sequence++
	state := "ready"
	if k.draining {
		state = "draining"
	}
	row := map[string]any{
		"service": w.service, "address": k.machine.address, "zone": k.machine.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": k.sequence, "born": k.born, "clock_ms": k.clockMS(),
		"capacity": map[string]int64{"cpu": k.machine.cpu, "mem_mb": k.machine.mem, "gpu": 0}, "labels": []string{k.kind, k.machine.rack},
	}
	w.mu.Unlock()
	w.store.write("servers", k.id, row)
	time.AfterFunc(heartbeat, k.register)
}

func (k *worker) clockMS() int64 { return time.Since(k.began).Milliseconds() }

// close ends all workers.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	servers := []*http.Server{}
	for _, m := range w.machines {
		servers = append(servers, m.server)
		if m.dark != nil {
			close(m.dark.silent)
			m.dark = nil
		}
	}
	w.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}

// loop lets tasks work.
func (w *world) loop() {
	for range time.Tick(worldTick) {
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, m := range w.machines {
			if m.worker != nil {
				m.worker.step(now)
			}
		}
		w.mu.Unlock()
	}
}

// step ends the runs that are due. The world's lock must be held.
func (k *worker) step(now time.Time) {
	lapsed := len(k.runs) > 0 && k.clockMS() > k.notAfter
	for _, r := range k.sortedRuns() {
		if k.runs[r.task] != r {
			continue
		}
		worked, together := k.machine.world.worked(now, r)
		r.save(worked)
		switch {
		case lapsed:
			k.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			k.end(r, "stopped")
		case r.work.Gang > 1 && !together && now.Sub(r.began) > gangTime:
			k.end(r, "alone")
		case r.work.MS > 0 && together && worked >= time.Duration(r.work.MS)*time.Millisecond:
			k.end(r, "done")
		}
	}
}

// save saves the progress of a task.
func (r *run) save(worked time.Duration) {
	if r.work.Save && worked-r.savedAt >= saveTime {
		r.savedAt = worked
		r.saved = fmt.Sprintf("%0*x", saveLength, worked.Milliseconds())
	}
}

func (k *worker) sortedRuns() []*run {
	var runs []*run
	for _, r := range k.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.task, b.task) })
	return runs
}

// worked returns how long a run has worked, and whether all tasks of its gang are there.
func (w *world) worked(now time.Time, r *run) (time.Duration, bool) {
	since, present := r.began, 1
	if r.work.Gang > 1 {
		since, present = time.Time{}, 0
		for _, other := range w.gang(r) {
			present++
			if other.run.began.After(since) {
				since = other.run.began
			}
		}
	}
	if present < max(1, r.work.Gang) {
		return 0, false
	}
	return r.base + now.Sub(since), true
}

// member is a run of a gang with its worker.
type member struct {
	worker *worker
	run    *run
}

// gang returns the runs that work with r.
func (w *world) gang(r *run) []member {
	step := r.task[:strings.LastIndex(r.task, ".")+1]
	var members []member
	for _, m := range w.machines {
		if m.worker == nil {
			continue
		}
		for _, other := range m.worker.runs {
			if strings.HasPrefix(other.task, step) && other.number == r.number {
				members = append(members, member{m.worker, other})
			}
		}
	}
	return members
}

// end ends a run, and with it the others of its gang. The world's lock must be held.
func (k *worker) end(r *run, how string) {
	w := k.machine.world
	k.drop(r, how)
	if r.work.Gang < 2 {
		return
	}
	if how != "done" {
		how = "broken"
	}
	for _, other := range w.gang(r) {
		other.worker.drop(other.run, how)
	}
}

// drop lists the end of a run.
func (k *worker) drop(r *run, how string) {
	w := k.machine.world
	delete(k.runs, r.task)
	k.over[r.task] = max(k.over[r.task], r.number)
	k.lastEnd++
	k.finished = append(k.finished, finishedRun{k.lastEnd, r.task, r.number, how, r.saved})
	close(k.ended)
	k.ended = make(chan struct{})
	w.ends = append(w.ends, runEnd{w.record.since(), r.task, r.number, how})
	w.record.write(k.id, "%s run %d ends: %s", r.task, r.number, how)
}

// breakGangs ends the other members of gangs whose worker has ended.
func (w *world) breakGangs(gone *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range gone.runs {
		if r.work.Gang > 1 {
			for _, other := range w.gang(r) {
				other.worker.drop(other.run, "broken")
			}
		}
	}
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	NotAfterMS   int64  `json:"not_after_ms"`
	Fence        uint64 `json:"fence"`
	Checkpoint   string `json:"checkpoint"`
	AckedThrough int64  `json:"acked_through"`
	WaitMS       int    `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

// admit reads an order, and answers it if it isn't for this worker or its fence is too low.
// Otherwise the world's lock is held when it returns.
func (k *worker) admit(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		k.answer(w, http.StatusBadRequest, map[string]any{"clock_ms": k.clockMS()})
		return o, false
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.id {
		k.answer(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": k.clockMS()})
		return o, false
	}
	k.machine.world.mu.Lock()
	if silent := k.silent; silent != nil {
		k.machine.world.mu.Unlock()
		<-silent
		panic(http.ErrAbortHandler)
	}
	if k.gone {
		k.machine.world.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < k.fence {
		k.machine.world.mu.Unlock()
		k.refuse(w, "fence")
		return o, false
	}
	k.fence = o.Fence
	return o, true
}

// answer answers, unless the machine doesn't respond any more.
func (k *worker) answer(w http.ResponseWriter, status int, body any) {
	k.machine.world.mu.Lock()
	silent, gone := k.silent, k.gone
	k.machine.world.mu.Unlock()
	if silent != nil {
		<-silent
	}
	if silent != nil || gone {
		panic(http.ErrAbortHandler)
	}
	answerJSON(w, status, body)
}

func (k *worker) refuse(w http.ResponseWriter, reason string) {
	k.answer(w, http.StatusConflict, map[string]any{"clock_ms": k.clockMS(), "reason": reason})
}

func (k *worker) extend(until int64) {
	until = min(until, k.clockMS()+maxLease.Milliseconds())
	k.notAfter = max(k.notAfter, until)
}

func (k *worker) start(w http.ResponseWriter, r *http.Request) {
	o, ok := k.admit(w, r)
	if !ok {
		return
	}
	world := k.machine.world
	present := k.runs[o.Task]
	reason := ""
	switch {
	case o.NotAfterMS <= k.clockMS():
		reason = "late"
	case present != nil && present.number == o.Run:
	case o.Run <= k.over[o.Task]:
		reason = "old"
	}
	if reason != "late" {
		k.extend(o.NotAfterMS)
	}
	if reason == "" && (present == nil || present.number != o.Run) {
		k.begin(o)
	}
	world.mu.Unlock()
	if reason != "" {
		world.record.write(k.id, "start of %s run %d is refused: %s", o.Task, o.Run, reason)
		k.refuse(w, reason)
		return
	}
	k.answer(w, http.StatusOK, map[string]any{"clock_ms": k.clockMS()})
}

// begin begins a run. The world's lock must be held.
func (k *worker) begin(o order) {
	world := k.machine.world
	var meaning work
	if err := json.Unmarshal([]byte(o.Spec), &meaning); err != nil {
		meaning = work{MS: 1000}
	}
	if meaning.SpreadMS > 0 {
		h := fnv.New32a()
		// Writing to a hash never fails.
		_, _ = h.Write([]byte(o.Task))
		meaning.MS += int(h.Sum32()) % meaning.SpreadMS
	}
	r := &run{task: o.Task, number: o.Run, work: meaning, began: time.Now(), saved: o.Checkpoint}
	if ms, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil {
		r.base = time.Duration(ms) * time.Millisecond
		r.savedAt = r.base
	}
	k.runs[o.Task] = r
	world.starts = append(world.starts, runStart{world.record.since(), k, o.Task, o.Run})
	world.record.write(k.id, "%s run %d starts on %s (kind %s), fence %d", o.Task, o.Run, k.machine.name, k.kind, o.Fence)
}

func (k *worker) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := k.admit(w, r)
	if !ok {
		return
	}
	k.over[o.Task] = max(k.over[o.Task], o.Run)
	if present := k.runs[o.Task]; present != nil && present.number <= o.Run && present.stopAt.IsZero() {
		present.stopAt = time.Now().Add(stopTime / 2)
	}
	k.machine.world.mu.Unlock()
	k.machine.world.record.write(k.id, "stop of %s run %d", o.Task, o.Run)
	k.answer(w, http.StatusOK, map[string]any{"clock_ms": k.clockMS()})
}

func (k *worker) pace(w http.ResponseWriter, r *http.Request) {
	if _, ok := k.admit(w, r); ok {
		k.machine.world.mu.Unlock()
		k.answer(w, http.StatusOK, map[string]any{"clock_ms": k.clockMS()})
	}
}

func (k *worker) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := k.admit(w, r)
	if !ok {
		return
	}
	if o.NotAfterMS > 0 {
		k.extend(o.NotAfterMS)
	}
	k.finished = slices.DeleteFunc(k.finished, func(f finishedRun) bool { return f.number <= o.AckedThrough })
	limit := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer limit.Stop()
	for len(k.finished) == 0 && o.WaitMS > 0 {
		ended := k.ended
		k.machine.world.mu.Unlock()
		timeout := false
		select {
		case <-ended:
		case <-limit.C:
			timeout = true
		case <-r.Context().Done():
			timeout = true
		}
		k.machine.world.mu.Lock()
		if timeout {
			break
		}
	}
	answer := k.lists(time.Now())
	k.machine.world.mu.Unlock()
	k.answer(w, http.StatusOK, answer)
}

// lists returns the lists of runs. The world's lock must be held.
func (k *worker) lists(now time.Time) map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range k.sortedRuns() {
		worked, _ := k.machine.world.worked(now, r)
		percent := 0
		switch {
		case r.work.MS > 0:
			percent = int(min(99, worked*100/(time.Duration(r.work.MS)*time.Millisecond)))
		case worked >= startup:
			percent = 100
		}
		running = append(running, []any{r.task, r.number, r.saved, percent, 0})
	}
	for _, f := range k.finished[:min(len(k.finished), maxFinish)] {
		finished = append(finished, []any{f.number, f.task, f.run, f.how, f.saved})
	}
	return map[string]any{"clock_ms": k.clockMS(), "born": k.born, "running": running, "finished": finished}
}
