package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// crashedFor is how long a worker that crashes is down.
	crashedFor = time.Second
	// crashes is how many workers crash, one after the other, each calmTime after the service is
	// at work again.
	crashes  = 2
	calmTime = 8 * time.Second
	// serviceTasks is the number of tasks of the service.
	serviceTasks = 3
)

// playCrashes lets workers crash, one after the other, on which a task of a service runs. A service
// goes on until it is cancelled, so its job must not be shown as failed.
func playCrashes(ctx context.Context, s *site, trouble bool) ([]string, error) {
	s.configure(queue{maxAttempts: 3, stretch: 2, targetMS: 1000})
	if err := s.addWorkers(8, 32000); err != nil {
		return nil, err
	}
	failedEnds := 0
	s.onEnd = func(_ *worker, _ *taskRun, how string) {
		if how == "failed" {
			failedEnds++
		}
	}
	if err := s.addEntries(ctx, 3); err != nil {
		return nil, err
	}
	one := step{Count: serviceTasks, CPU: 8000, MemMB: 512, EstimateMS: 1000, LongRunning: true, MaxPerWork: 1}
	id := jobID(1)
	if status := s.submit(s.entries[0], id, one, 0); status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered %d", status)
	}
	const watched = ".0.0.0"
	for range crashes {
		err := s.await(ctx, 20*time.Second, "the service is at work", func() bool { return len(s.allRuns()) == serviceTasks })
		if err != nil {
			break
		}
		if err := pause(ctx, calmTime); err != nil {
			return nil, err
		}
		w := s.workerOf(id + watched)
		if w == nil || !trouble {
			continue
		}
		w.crash()
		if err := pause(ctx, crashedFor); err != nil {
			return nil, err
		}
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	if err := pause(ctx, calmTime); err != nil {
		return nil, err
	}
	status, state := s.state(s.entries[1], id)
	running := len(s.allRuns())
	s.log.printf("the job is answered %d %s, %d of %d tasks run, %d ends were failed", status, state, running, serviceTasks, failedEnds)
	if status == http.StatusOK && state == "failed" && failedEnds == 0 {
		return []string{fmt.Sprintf("LOST: job %s, which lasts until it is cancelled, is shown as failed after %d crashes of single workers and no end `failed`; %d of %d tasks run", id, crashes, running, serviceTasks)}, nil
	}
	return nil, nil
}

// workerOf returns the worker that runs a task; nil if there is none.
func (s *site) workerOf(task string) *worker {
	for _, w := range s.workers {
		w.mu.Lock()
		r := w.runs[task]
		w.mu.Unlock()
		if r != nil {
			return w
		}
	}
	return nil
}
