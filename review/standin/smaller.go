package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// fullCapacity and smallCapacity are those of a worker's lives, in thousandths of a core.
	fullCapacity  = 32000
	smallCapacity = 8000
	// restarts is how many times a worker comes back smaller; the next one does restartPeriod
	// later. downTime is how long a worker is down.
	restarts      = 36
	restartPeriod = 1500 * time.Millisecond
	downTime      = 400 * time.Millisecond
)

// playSmaller restarts workers one after the other under their ids, some with less capacity and
// some with full, while more work waits than fits. No start may bring a worker over its capacity.
func playSmaller(ctx context.Context, s *site, trouble bool) ([]string, error) {
	s.configure(queue{maxAttempts: 5, stretch: 20, targetMS: 60000})
	if err := s.addWorkers(48, fullCapacity); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	s.onStart = func(w *worker, r *taskRun) {
		if used := w.used(); used > w.capacity {
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("LIMIT: the start of %s on %s brings it to %d of %d, %.3f s into its life", r.task, w.id, used, w.capacity, time.Since(w.born).Seconds()))
		}
	}
	if err := s.addEntries(ctx, 3); err != nil {
		return nil, err
	}
	// Each task needs an eighth of a worker, and more of them wait than fit.
	for n := range 80 {
		one := step{Count: 60, CPU: 4000, MemMB: 64, EstimateMS: 8000}
		if status := s.submit(s.entries[n%3], jobID(n), one, 8000); status != http.StatusOK {
			return nil, fmt.Errorf("job %d was answered %d", n, status)
		}
	}
	if err := pause(ctx, 10*time.Second); err != nil {
		return nil, err
	}
	for n := range restarts {
		if trouble {
			if err := s.restartAs(ctx, s.workers[n%len(s.workers)], smallCapacity); err != nil {
				return nil, err
			}
			// Another one comes back with its full capacity.
			if err := s.restartAs(ctx, s.workers[(n+len(s.workers)/2)%len(s.workers)], fullCapacity); err != nil {
				return nil, err
			}
		}
		if err := pause(ctx, restartPeriod); err != nil {
			return nil, err
		}
	}
	s.forgetStarts()
	return broken, nil
}

// restartAs crashes a worker and starts it again under its id, with a capacity.
func (s *site) restartAs(ctx context.Context, w *worker, capacity int64) error {
	w.crash()
	if err := pause(ctx, downTime); err != nil {
		return err
	}
	w.mu.Lock()
	w.capacity = capacity
	w.mu.Unlock()
	return w.start()
}

// forgetStarts ends the checks of starts.
func (s *site) forgetStarts() {
	for _, w := range s.workers {
		w.mu.Lock()
		defer w.mu.Unlock()
	}
	s.onStart = nil
}
