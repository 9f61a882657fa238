package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long an entry stands still.
	freezeTime = 4 * time.Second
	// freezes is how many times that happens at most, each freezePeriod.
	freezes      = 8
	freezePeriod = 11 * time.Second
	// lookTime is how long after the begin of the freeze a worker is chosen that crashes.
	lookTime = 1800 * time.Millisecond
)

// playLateStart freezes an entry that passes start commands on, and restarts, meanwhile, a worker
// under its id for which the entry has such a command. No task may run twice at the same time.
func playLateStart(ctx context.Context, s *site, trouble bool) ([]string, error) {
	s.configure(queue{maxAttempts: 5, stretch: 20, targetMS: 60000})
	if err := s.addWorkers(16, 32000); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	at := make(map[string]*worker)
	s.onStart = func(w *worker, r *taskRun) {
		mu.Lock()
		defer mu.Unlock()
		if other := at[r.task]; other != nil && other != w {
			broken = append(broken, fmt.Sprintf("TWICE: %s starts as run %d on %s while another run of it is on %s", r.task, r.number, w.id, other.id))
		}
		at[r.task] = w
	}
	s.onEnd = func(w *worker, r *taskRun, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if at[r.task] == w {
			delete(at, r.task)
		}
	}
	if err := s.addEntries(ctx, 3); err != nil {
		return nil, err
	}
	for n := range 40 {
		one := step{Count: 40, CPU: 4000, MemMB: 64, EstimateMS: 7000}
		if status := s.submit(s.entries[n%3], jobID(n), one, 7000); status != http.StatusOK {
			return nil, fmt.Errorf("job %d was answered %d", n, status)
		}
	}
	if err := pause(ctx, 6*time.Second); err != nil {
		return nil, err
	}
	for range freezes {
		began := time.Now()
		if trouble {
			if err := s.freezeAndRestart(ctx); err != nil {
				return nil, err
			}
		}
		if err := pause(ctx, freezePeriod-time.Since(began)); err != nil {
			return nil, err
		}
		mu.Lock()
		seen := len(broken) > 0
		mu.Unlock()
		if seen {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

// freezeAndRestart freezes an entry that doesn't schedule, and restarts a worker that has been told
// to stop a run which it doesn't know: the command to start it is on its way.
func (s *site) freezeAndRestart(ctx context.Context) error {
	leader := s.leader()
	var frozen *entry
	for _, e := range s.entries {
		if e != leader {
			frozen = e
		}
	}
	for _, w := range s.workers {
		w.mu.Lock()
		w.unknownStops = 0
		w.mu.Unlock()
	}
	frozen.signal(syscall.SIGSTOP)
	defer frozen.signal(syscall.SIGCONT)
	if err := pause(ctx, lookTime); err != nil {
		return err
	}
	chosen := s.workers[0]
	most := 0
	for _, w := range s.workers {
		w.mu.Lock()
		if w.unknownStops > most {
			chosen, most = w, w.unknownStops
		}
		w.mu.Unlock()
	}
	s.log.printf("%s was told to stop %d runs that it doesn't have", chosen.id, most)
	chosen.crash()
	if err := pause(ctx, downTime); err != nil {
		return err
	}
	if err := chosen.start(); err != nil {
		return err
	}
	return pause(ctx, freezeTime-lookTime-downTime)
}
