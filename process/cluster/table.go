package cluster

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// probeLoop looks at the lease row while nothing is written, so that a scheduler
// that was replaced learns it soon, and while the table doesn't answer, one look
// beside the other.
func (r *leadership) probeLoop() {
	for !r.over() {
		if r.storeFailing() > 0 {
			sleep(r.ctx, lostProbeEvery)
			r.tasks.Go(func() { r.probe(lostProbeTimeout) })
			continue
		}
		sleep(r.ctx, probeEvery)
		if !r.over() && r.probeDue() {
			r.probe(tableTimeout)
		}
	}
}

// probe looks at the lease row.
func (r *leadership) probe(timeout time.Duration) {
	sent := time.Now()
	row, ok, err := r.getWithin(leaseKey, timeout)
	switch {
	case err != nil:
		r.storeFailed(sent, err)
	case !ok || row.Version != r.fence:
		r.stepDown("the lease row was taken over")
	}
}

func (r *leadership) probeDue() bool {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	return time.Since(r.storeAt) >= probeEvery
}

// stepDown ends a leadership that another entry has taken over.
func (r *leadership) stepDown(reason string) {
	if r.over() {
		return
	}
	r.node.log.Log(events.SchedulerReplaced, r.fence, reason)
	r.end()
}

// storeAnswered takes in that a call sent at a time was answered.
func (r *leadership) storeAnswered(sent time.Time) {
	r.storeMu.Lock()
	if sent.After(r.storeAt) {
		r.storeAt = sent
	}
	failing := r.failingSince
	r.failingSince = time.Time{}
	if !failing.IsZero() {
		r.tableReturns()
		r.returned, r.tableReturns = context.WithCancel(context.Background())
	}
	r.storeMu.Unlock()
	if !failing.IsZero() {
		r.node.log.Log(events.TableBack, time.Since(failing).String())
	}
}

// storeFailed takes in that a call sent at a time failed. It tells nothing if a later one
// was answered.
func (r *leadership) storeFailed(sent time.Time, err error) {
	if r.over() {
		return
	}
	r.node.metrics.tableFailures.Inc()
	r.storeMu.Lock()
	if sent.Before(r.storeAt) {
		r.storeMu.Unlock()
		return
	}
	first := r.failingSince.IsZero()
	if first {
		r.failingSince = time.Now()
	}
	age := time.Since(r.storeAt)
	r.storeMu.Unlock()
	if first {
		r.node.log.Log(events.TableLost, age.String(), err)
	}
}

// storeFailing is for how long calls to the table have failed; 0 while they succeed.
func (r *leadership) storeFailing() time.Duration {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	if r.failingSince.IsZero() {
		return 0
	}
	return time.Since(r.failingSince)
}

// hangAfter is how long a write may be without answer while the table isn't known as
// slow; hangFactor times the last write's time is the bound when it is.
const (
	hangAfter  = 400 * time.Millisecond
	hangFactor = 3
)

// storeHanging is for how long a write has been without answer, if that is longer than
// usual; else 0.
func (r *leadership) storeHanging() time.Duration {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	var oldest time.Duration
	for _, began := range r.writes {
		oldest = max(oldest, time.Since(began))
	}
	if oldest <= max(hangAfter, hangFactor*r.lastWrite) {
		return 0
	}
	return oldest
}

// expectedRecord is how long a new job waits for its record while the table is slow: a
// write of its own after those of the jobs that wait; 0 while the table is quick, and
// for a job that is known, since it may be recorded already.
func (r *leadership) expectedRecord(id string) time.Duration {
	r.storeMu.Lock()
	last := r.lastWrite
	r.storeMu.Unlock()
	if last <= slowWrite {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.cell.Job(id); known {
		return 0
	}
	return last * time.Duration(1+r.cell.BatchesWaiting())
}

// refusingFor is for how long the table has failed or not answered, so that new work is
// to be refused; 0 if it does so for a moment only.
func (r *leadership) refusingFor() time.Duration {
	failing := r.storeFailing()
	if failing <= troubledAfter {
		failing = 0
	}
	return max(failing, r.storeHanging())
}

// storeAge is how long ago the last call that the table answered was sent.
func (r *leadership) storeAge() time.Duration {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	return time.Since(r.storeAt)
}
