// Package health detects workers on which work fails, quarantines them, and releases
// them once probes succeed.
//
// # Quarantine
//
// A broken worker on which work fails immediately looks idle and attracts more work. Its
// failures are compared with those of its peers for the same kinds of work: each
// outcome adds one failure or none, minus the mean failure rate of that kind over the
// other workers. Work that fails everywhere is therefore not attributed to any worker.
// A worker is quarantined once this excess is large both in number and as a fraction of
// its outcomes. Outcomes decay with a half-life. At most a third of the workers are
// quarantined at any time: if more appear to be broken, the cause is more likely
// elsewhere.
//
// # Probes
//
// A quarantined worker is sent one unit of idempotent work at a time, after a backoff
// that doubles with each failed probe. After enough consecutive successes it is
// released with an empty record.
//
// Decisions depend only on the calls made so far and the time passed in. A Monitor is
// not safe for concurrent use: callers guard it with a lock.
package health

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which an outcome has half its weight.
	halfLife = 30 * time.Second
	// maxOutcomes limits the total weight of the outcomes of a worker, so that a long
	// good record does not mask a failure of the worker.
	maxOutcomes = 16
	// minExcess is the number of failures in excess of the peers at which a worker may
	// be quarantined.
	minExcess = 3
	// minExcessRate is the excess as a fraction of the outcomes at which a worker may
	// be quarantined.
	minExcessRate = 0.5
	// maxQuarantinedDivisor limits quarantine to one in this many workers.
	maxQuarantinedDivisor = 3
	// firstProbeAfter and maxProbeAfter bound the backoff before a probe.
	firstProbeAfter = 5 * time.Second
	maxProbeAfter   = 5 * time.Minute
	// probesToRelease is the number of consecutive probes that must succeed.
	probesToRelease = 2
)

// Outcome is the result of work on a worker. Work that was cancelled or abandoned by
// its owner has no outcome.
type Outcome struct {
	Worker string
	Kind   string
	Failed bool
}

// counts holds decayed numbers of outcomes.
type counts struct{ all, failed float64 }

func (c counts) rate() float64 {
	if c.all == 0 {
		return 0
	}
	return c.failed / c.all
}

// kindRates is the sum of the failure rates of all workers for one kind.
type kindRates struct {
	sum     float64
	workers int
}

// workerState is the record of one worker.
type workerState struct {
	kinds       map[string]counts
	decayedAt   time.Time
	quarantined bool
	// probeAt is when the next probe is due. probing is set while a probe is in
	// progress.
	probeAt   time.Time
	probing   bool
	backoff   time.Duration
	successes int
}

// Monitor holds the records of all workers.
type Monitor struct {
	workers     map[string]*workerState
	kinds       map[string]kindRates
	quarantined int
}

// New returns a Monitor without workers.
func New() *Monitor {
	return &Monitor{workers: make(map[string]*workerState), kinds: make(map[string]kindRates)}
}

// SetWorkers replaces the list of workers. Workers that remain keep their records.
func (m *Monitor) SetWorkers(now time.Time, names []string) {
	keep := make(map[string]bool, len(names))
	for _, name := range names {
		keep[name] = true
		if m.workers[name] == nil {
			m.workers[name] = &workerState{kinds: make(map[string]counts), decayedAt: now}
		}
	}
	for name, w := range m.workers {
		if keep[name] {
			continue
		}
		m.removeRates(w)
		if w.quarantined {
			m.quarantined--
		}
		delete(m.workers, name)
	}
}

// Record records an outcome of ordinary work and reports whether the worker is
// quarantined because of it. Outcomes of unknown workers are ignored.
func (m *Monitor) Record(now time.Time, o Outcome) bool {
	w := m.workers[o.Worker]
	if w == nil || w.quarantined {
		return false
	}
	w.decay(now)
	c := w.kinds[o.Kind]
	before, seen := c.rate(), c.all > 0
	c.all++
	if o.Failed {
		c.failed++
	}
	w.kinds[o.Kind] = c
	m.addRate(o.Kind, c.rate()-before, !seen)
	if !o.Failed || !m.exceedsPeers(w) || (m.quarantined+1)*maxQuarantinedDivisor > len(m.workers) {
		return false
	}
	m.quarantine(now, w)
	return true
}

func (m *Monitor) addRate(kind string, change float64, isNew bool) {
	k := m.kinds[kind]
	k.sum += change
	if isNew {
		k.workers++
	}
	m.kinds[kind] = k
}

// exceedsPeers reports whether the worker's failures exceed those of its peers by both
// thresholds.
func (m *Monitor) exceedsPeers(w *workerState) bool {
	var all, excess float64
	for kind, c := range w.kinds {
		all += c.all
		excess += c.failed - c.all*m.peerRate(kind, c)
	}
	return excess >= minExcess && excess >= minExcessRate*all
}

// peerRate returns the mean failure rate of the kind over the other workers, or 0 if no
// other worker ran it.
func (m *Monitor) peerRate(kind string, own counts) float64 {
	k := m.kinds[kind]
	if k.workers <= 1 {
		return 0
	}
	return min(max(0, k.sum-own.rate())/float64(k.workers-1), 1)
}

func (m *Monitor) quarantine(now time.Time, w *workerState) {
	m.removeRates(w)
	m.quarantined++
	w.quarantined, w.backoff, w.successes = true, firstProbeAfter, 0
	w.probeAt = now.Add(w.backoff)
}

// removeRates clears the worker's record and removes it from the rates of its kinds.
func (m *Monitor) removeRates(w *workerState) {
	for kind, c := range w.kinds {
		k := m.kinds[kind]
		k.sum -= c.rate()
		k.workers--
		m.kinds[kind] = k
	}
	clear(w.kinds)
}

// Quarantined reports whether the worker is quarantined.
func (m *Monitor) Quarantined(worker string) bool {
	if m.quarantined == 0 {
		return false
	}
	w := m.workers[worker]
	return w != nil && w.quarantined
}

// DueProbes returns the workers that are due for one unit of idempotent work each,
// sorted by name. Each must be followed by a call to RecordProbe or AbortProbe.
func (m *Monitor) DueProbes(now time.Time) []string {
	if m.quarantined == 0 {
		return nil
	}
	var due []string
	for name, w := range m.workers {
		if w.quarantined && !w.probing && !w.probeAt.After(now) {
			w.probing = true
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbe records the result of a probe and reports whether the worker is released.
func (m *Monitor) RecordProbe(now time.Time, worker string, failed bool) bool {
	w := m.workers[worker]
	if w == nil || !w.quarantined {
		return false
	}
	w.probing = false
	if failed {
		w.successes = 0
		w.backoff = min(2*w.backoff, maxProbeAfter)
		w.probeAt = now.Add(w.backoff)
		return false
	}
	w.successes++
	w.probeAt = now
	if w.successes < probesToRelease {
		return false
	}
	w.quarantined = false
	w.decayedAt = now
	m.quarantined--
	return true
}

// AbortProbe records that a probe ended without a result for its worker. The worker is
// due for another probe.
func (m *Monitor) AbortProbe(worker string) {
	if w := m.workers[worker]; w != nil {
		w.probing = false
	}
}

// Reset drops the record of a worker that was replaced by a new one with the same name.
func (m *Monitor) Reset(now time.Time, worker string) {
	w := m.workers[worker]
	if w == nil {
		return
	}
	m.removeRates(w)
	if w.quarantined {
		m.quarantined--
	}
	m.workers[worker] = &workerState{kinds: make(map[string]counts), decayedAt: now}
}

// decay reduces the weight of old outcomes. It changes no rate.
func (w *workerState) decay(now time.Time) {
	factor := 1.0
	if now.After(w.decayedAt) {
		factor = math.Exp2(-now.Sub(w.decayedAt).Seconds() / halfLife.Seconds())
		w.decayedAt = now
	}
	var all float64
	for _, c := range w.kinds {
		all += c.all
	}
	factor = min(factor, maxOutcomes/(all+1))
	for kind, c := range w.kinds {
		w.kinds[kind] = counts{all: c.all * factor, failed: c.failed * factor}
	}
}
