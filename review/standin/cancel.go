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
	// lastingJobs are handed in, each with lastingTasks tasks that last. The first cancelledJobs are
	// cancelled at once: a share of 0.4.
	lastingJobs   = 50
	lastingTasks  = 20
	cancelledJobs = 20
	// goneWithin is contact_ms, cancel_ms and stop_ms: a task of a cancelled job has to be gone
	// after so much time without a disruption.
	goneWithin = 3000*time.Millisecond + 3000*time.Millisecond + 400*time.Millisecond
	// observed is how long the tasks are watched beyond that.
	observed = 15 * time.Second
)

// playCancel cancels many jobs at once, two of five, and kills the scheduler right after it has acknowledged
// the first ones. The next scheduler has to stop the tasks that are left.
func playCancel(ctx context.Context, s *site, trouble bool) ([]string, error) {
	s.configure(queue{maxAttempts: 3, stretch: 2, targetMS: 1000})
	if err := s.addWorkers(8, 32000); err != nil {
		return nil, err
	}
	if err := s.addEntries(ctx, 3); err != nil {
		return nil, err
	}
	for n := range lastingJobs {
		one := step{Count: lastingTasks, CPU: 200, MemMB: 64, EstimateMS: 1000, LongRunning: true}
		if status := s.submit(s.entries[n%3], jobID(n), one, 0); status != http.StatusOK {
			return nil, fmt.Errorf("job %d was answered %d", n, status)
		}
	}
	all := lastingJobs * lastingTasks
	if err := s.await(ctx, 30*time.Second, "all tasks run", func() bool { return len(s.allRuns()) == all }); err != nil {
		return nil, err
	}
	if err := pause(ctx, 3*time.Second); err != nil {
		return nil, err
	}
	leader := s.leader()
	acked := s.cancelAll(leader, trouble)
	if trouble {
		<-leader.done
		if err := pause(ctx, time.Second); err != nil {
			return nil, err
		}
		if err := leader.start(); err != nil {
			return nil, err
		}
	}
	if err := s.await(ctx, 10*time.Second, "an entry schedules", func() bool { l := s.leader(); return l != nil && l.ready() }); err != nil {
		return nil, err
	}
	if err := pause(ctx, goneWithin+observed); err != nil {
		return nil, err
	}
	var broken []string
	for _, run := range s.allRuns() {
		if at, ok := acked[jobOf(run)]; ok {
			_, state := s.state(s.entries[0], jobOf(run))
			broken = append(broken, fmt.Sprintf("UNASKED: %s runs %.1f s after the cancelling of its job, %s now, was acknowledged", run, time.Since(at).Seconds(), state))
		}
	}
	return broken, nil
}

// cancelAll cancels jobs at the same time, and kills the entry at the first acknowledgement
// if there is to be trouble. It returns when each job's cancelling was acknowledged.
func (s *site) cancelAll(e *entry, kill bool) map[string]time.Time {
	acked := make(map[string]time.Time)
	var mu sync.Mutex
	var once sync.Once
	var calls sync.WaitGroup
	for n := range cancelledJobs {
		calls.Go(func() {
			status, _ := s.call(e, http.MethodDelete, jobID(n), nil)
			if status != http.StatusOK {
				return
			}
			if kill {
				once.Do(func() { e.signal(syscall.SIGKILL) })
			}
			mu.Lock()
			defer mu.Unlock()
			acked[jobID(n)] = time.Now()
		})
	}
	calls.Wait()
	return acked
}

// allRuns returns what runs on the workers.
func (s *site) allRuns() []string {
	var all []string
	for _, w := range s.workers {
		all = append(all, w.running()...)
	}
	return all
}
