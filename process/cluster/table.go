package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// probeLoop reads the lease row while no writes confirm it, so that a replaced scheduler
// stops soon. While the table fails, probes overlap: each one starts after lostProbePeriod
// without waiting for the one before.
func (r *leadership) probeLoop() {
	for !r.over() {
		if r.tableFailingFor() > 0 {
			sleep(r.ctx, lostProbePeriod)
			r.goroutines.Go(func() { r.probe(lostProbeTimeout) })
			continue
		}
		sleep(r.ctx, probePeriod)
		if !r.over() && r.probeDue() {
			r.probe(tableTimeout)
		}
	}
}

// errReplaced means that another entry has written the lease row.
var errReplaced = errors.New("another entry has written the lease row")

// probe reads the lease row once and steps down if another entry has written it.
func (r *leadership) probe(timeout time.Duration) {
	// Failures are logged once, by tableFailed.
	_, _ = r.confirmLease(timeout)
}

// confirmLease reads the lease row, within a timeout, and returns when it sent that: no other entry
// had acquired the lease before. If one has, this entry steps down.
func (r *leadership) confirmLease(timeout time.Duration) (sent time.Time, err error) {
	sent = time.Now()
	row, ok, err := r.getWithin(leaseKey, timeout)
	switch {
	case err != nil:
		r.tableFailed(sent, err)
	case !ok || row.Version != r.fence:
		r.stepDown(errReplaced.Error())
		err = errReplaced
	}
	return sent, err
}

func (r *leadership) probeDue() bool {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	return time.Since(r.tableContact) >= probePeriod
}

// stepDown ends a leadership that another entry has taken over.
func (r *leadership) stepDown(reason string) {
	if r.over() {
		return
	}
	r.node.log.Log(events.SchedulerReplaced, r.fence, reason)
	r.end()
}

// tableAnswered records that the table answered a call sent at the given time.
func (r *leadership) tableAnswered(sent time.Time) {
	r.tableMu.Lock()
	r.tableHeard = time.Now()
	silent := r.tableHeard.Sub(r.tableContact)
	recovered := func() {}
	if sent.After(r.tableContact) {
		r.tableContact = sent
	}
	failing := r.failingSince
	r.failingSince = time.Time{}
	if !failing.IsZero() {
		recovered = r.signalTableRecovered
		r.tableRecovered, r.signalTableRecovered = context.WithCancel(context.Background())
	}
	r.tableMu.Unlock()
	if !failing.IsZero() && silent > maxEntryAge {
		r.awaitEntries()
	}
	recovered()
	if !failing.IsZero() {
		r.node.log.Log(events.TableRecovered, time.Since(failing).String())
	}
}

// tableFailed records that a call sent at the given time failed. It is ignored if a later
// call was answered.
func (r *leadership) tableFailed(sent time.Time, err error) {
	if r.over() {
		return
	}
	r.node.metrics.tableFailures.Inc()
	r.tableMu.Lock()
	if sent.Before(r.tableContact) {
		r.tableMu.Unlock()
		return
	}
	first := r.failingSince.IsZero()
	if first {
		r.failingSince = time.Now()
	}
	age := time.Since(r.tableContact)
	r.tableMu.Unlock()
	if first {
		r.node.log.Log(events.TableUnreachable, age.String(), err)
	}
}

// tableFailingFor returns how long calls to the table have failed, or 0 while they
// succeed.
func (r *leadership) tableFailingFor() time.Duration {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	if r.failingSince.IsZero() {
		return 0
	}
	return time.Since(r.failingSince)
}

// stallAfter is how long a write may go unanswered while the table is not known to be
// slow. If it is slow, the bound is stallFactor times the duration of the last write.
const (
	stallAfter  = 400 * time.Millisecond
	stallFactor = 3
)

// tableStalledFor returns how long the oldest write has gone unanswered if that exceeds
// the usual time, else 0.
func (r *leadership) tableStalledFor() time.Duration {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	var oldest time.Duration
	for _, began := range r.writes {
		oldest = max(oldest, time.Since(began))
	}
	if oldest <= max(stallAfter, stallFactor*r.lastWrite) {
		return 0
	}
	return oldest
}

// expectedRecordTime returns how long a new job will wait for its record while the table
// is slow: one write for itself after those of the waiting jobs. It returns 0 while the
// table is fast, and for a known job, since that may be recorded already.
func (r *leadership) expectedRecordTime(id string) time.Duration {
	r.tableMu.Lock()
	last := r.lastWrite
	r.tableMu.Unlock()
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

// refusingFor returns how long the table has failed or stalled, if that is long enough to
// refuse new work, else 0.
func (r *leadership) refusingFor() time.Duration {
	failing := r.tableFailingFor()
	if failing <= refuseWorkAfter {
		failing = 0
	}
	return max(failing, r.tableStalledFor())
}

// tableSilentFor returns how long ago the last answer of the table arrived.
func (r *leadership) tableSilentFor() time.Duration {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	return time.Since(r.tableHeard)
}

// tableAge returns how long ago the last call that the table answered was sent.
func (r *leadership) tableAge() time.Duration {
	r.tableMu.Lock()
	defer r.tableMu.Unlock()
	return time.Since(r.tableContact)
}
