package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// outageTime is how long the store gives no answer. killAt is when, in that time, all entries are
	// killed, and restartTime how long after it they are started again.
	outageTime  = 4500 * time.Millisecond
	killAt      = 1950 * time.Millisecond
	restartTime = 500 * time.Millisecond
	// settleTime is finish_s: when jobs are asked for after the outage.
	settleTime = 14 * time.Second
)

// playSilent restarts all entries while the store gives no answer. Afterwards accepted jobs must be
// known and go on.
func playSilent(ctx context.Context, s *site, trouble bool) ([]string, error) {
	s.configure(queue{maxAttempts: 5, stretch: 20, targetMS: 60000})
	if err := s.addWorkers(8, 32000); err != nil {
		return nil, err
	}
	if err := s.addEntries(ctx, 3); err != nil {
		return nil, err
	}
	// Half of the work has to wait at first.
	const jobs = 12
	for n := range jobs {
		one := step{Count: 10, CPU: 4000, MemMB: 64, EstimateMS: 4000}
		if status := s.submit(s.entries[n%3], jobID(n), one, 4000); status != http.StatusOK {
			return nil, fmt.Errorf("job %d was answered %d", n, status)
		}
	}
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	if trouble {
		s.store.setSilent(true)
		s.log.printf("the store gives no answer")
		if err := pause(ctx, killAt); err != nil {
			return nil, err
		}
		for _, e := range s.entries {
			e.signal(syscall.SIGKILL)
		}
		if err := pause(ctx, restartTime); err != nil {
			return nil, err
		}
		for _, e := range s.entries {
			<-e.done
			if err := e.start(); err != nil {
				return nil, err
			}
		}
		if err := pause(ctx, outageTime-killAt-restartTime); err != nil {
			return nil, err
		}
		s.store.setSilent(false)
		s.log.printf("the store answers")
	}
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	return s.unanswered(ctx, jobs)
}

// unanswered asks all entries for each job, for up to ten seconds, and returns the jobs of which
// none tells the state.
func (s *site) unanswered(ctx context.Context, jobs int) ([]string, error) {
	var broken []string
	for n := range jobs {
		known := false
		for range 3 {
			for _, e := range s.entries {
				status, _ := s.state(e, jobID(n))
				known = known || status == http.StatusOK
			}
			if known {
				break
			}
			if err := pause(ctx, time.Second); err != nil {
				return nil, err
			}
		}
		if !known {
			broken = append(broken, fmt.Sprintf("LOST: no entry answers about job %s, which was accepted", jobID(n)))
		}
	}
	return broken, nil
}
