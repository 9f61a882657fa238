package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// upkeepTime is upkeep_s, and noticeTime is notice_ms.
	upkeepTime = 2 * time.Second
	noticeTime = 4500 * time.Millisecond
	// waveTime is the time that the operator gives a wave, waveCap how many machines may be down
	// at once.
	waveTime = 40 * time.Second
	waveCap  = 3
	// serving is the number of tasks of the service, of which mayMiss may be away.
	serving = 6
	mayMiss = 1
)

// machines stands in for the machine service. Each worker is a life of a machine.
type machines struct {
	site *site

	mu     sync.Mutex
	states map[string]string
	done   map[string]bool
	tasks  map[string]*taskState
	broken []string
}

// taskState says where a task of the service is at work, or since when it is away and whether an
// upkeep ended it.
type taskState struct {
	worker    *worker
	awaySince time.Time
	byUpkeep  bool
}

func newMachines(s *site) *machines {
	return &machines{site: s, states: make(map[string]string), done: make(map[string]bool), tasks: make(map[string]*taskState)}
}

func (m *machines) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcuplatch/machines", m.list)
	mux.HandleFunc("POST /kingcuplatch/machine-upkeep", m.upkeep)
	return mux
}

func machineOf(w *worker) string { return "m-" + w.address }

func (m *machines) list(rw http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []map[string]any
	for _, w := range m.site.workers {
		state := m.states[machineOf(w)]
		if state == "" {
			state = "up"
		}
		all = append(all, map[string]any{
			"machine": machineOf(w), "pool": serviceName, "state": state, "zone": "z1", "labels": w.labels,
			"capacity": map[string]int64{"cpu": w.capacity, "mem_mb": 65536, "gpu": 0}, "id": w.id,
		})
	}
	respond(rw, http.StatusOK, map[string]any{"machines": all, "next_token": nil})
}

func (m *machines) upkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(roundTrip)
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, w := range m.site.workers {
		if machineOf(w) != body.Machine {
			continue
		}
		switch {
		case m.done[body.Machine]:
		case m.states[body.Machine] != "":
			respond(rw, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		default:
			m.begin(i, w, r.Header.Get("Duty-Holder"))
		}
		rw.WriteHeader(http.StatusOK)
		return
	}
	rw.WriteHeader(http.StatusBadRequest)
}

// begin takes a machine down: all that runs there ends. A new worker joins after the upkeep. The
// lock of machines must be held.
func (m *machines) begin(i int, w *worker, holder string) {
	name := machineOf(w)
	m.site.log.printf("%s orders the upkeep of %s (worker %s)", holder, name, w.id)
	m.check(w)
	m.states[name], m.done[name] = "upkeep", true
	for _, t := range m.tasks {
		if t.worker == w {
			t.worker, t.awaySince, t.byUpkeep = nil, time.Now(), true
		}
	}
	go func() {
		w.crash()
		m.site.store.remove("servers", w.id)
		time.Sleep(upkeepTime)
		next := newWorker(m.site, w.id+"b", w.address, w.capacity, w.labels)
		m.mu.Lock()
		m.site.workers[i] = next
		m.states[name] = ""
		m.mu.Unlock()
		if err := next.start(); err != nil {
			m.site.log.printf("worker %s can't start: %v", next.id, err)
		}
	}()
}

// check checks AVAIL for an upkeep that ends what runs on a worker. The lock must be held.
func (m *machines) check(w *worker) {
	for task, t := range m.tasks {
		if t.worker != w {
			continue
		}
		away := 0
		for other, o := range m.tasks {
			if other != task && o.worker == nil && (o.byUpkeep || time.Since(o.awaySince) >= noticeTime) {
				away++
			}
		}
		// Of the tasks that the same order ends, all but the first are ended while the others are away.
		t.worker, t.awaySince, t.byUpkeep = nil, time.Now(), true
		if away >= mayMiss {
			m.broken = append(m.broken, fmt.Sprintf("AVAIL: the upkeep of %s ends %s, which is at work, while %d others of its step are away by such orders; may_miss is %d", machineOf(w), task, away, mayMiss))
		}
	}
}

// observe follows the tasks of the service.
func (m *machines) observe() {
	for _, w := range m.site.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			t := m.tasks[r.task]
			if t == nil {
				t = &taskState{awaySince: time.Now()}
				m.tasks[r.task] = t
			}
			if r.progress() == 100 && m.states[machineOf(w)] == "" && t.worker == nil {
				t.worker, t.byUpkeep = w, false
			}
		}
		w.mu.Unlock()
	}
}

// atWork returns the number of tasks that are at work.
func (m *machines) atWork() int {
	n := 0
	for _, t := range m.tasks {
		if t.worker != nil {
			n++
		}
	}
	return n
}

// playUpkeep has an operator request a wave over all machines, on which a service runs of whose
// tasks one may be away.
func playUpkeep(ctx context.Context, s *site, trouble bool) ([]string, error) {
	m := newMachines(s)
	at, err := s.serve(s.network+".3:0", m.handler())
	if err != nil {
		return nil, err
	}
	s.machinesAt = at
	s.configure(queue{maxAttempts: 3, stretch: 2, targetMS: 1000})
	if err := s.addWorkers(8, 32000); err != nil {
		return nil, err
	}
	if err := s.addEntries(ctx, 3); err != nil {
		return nil, err
	}
	one := step{Count: serving, CPU: 4000, MemMB: 512, EstimateMS: 1000, LongRunning: true, MayMiss: mayMiss, MaxPerWork: 1}
	if status := s.submit(s.entries[0], jobID(1), one, 0); status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	count := func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.observe()
		return m.atWork()
	}
	if err := s.await(ctx, 20*time.Second, "all tasks are at work", func() bool { return count() == serving }); err != nil {
		return nil, err
	}
	if err := pause(ctx, 5*time.Second); err != nil {
		return nil, err
	}
	wave := waveCap
	if !trouble {
		wave = 1
	}
	var names []string
	for _, w := range s.workers {
		names = append(names, machineOf(w))
	}
	s.log.printf("operator: wave 1 over %d machines within %v, at most %d at once", len(names), waveTime, wave)
	s.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": names, "duration_s": waveTime.Seconds(), "cap": wave})
	for until := time.Now().Add(waveTime + 15*time.Second); time.Now().Before(until); {
		count()
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return nil, err
		}
		if string(s.store.value("status", "", "wave/1")) == `{"state":"completed"}` {
			s.log.printf("the wave is said to be completed")
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.broken, nil
}
