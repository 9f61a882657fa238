// Package health finds workers that fail what they start, sets them aside, and
// returns them once probes succeed.
//
// # Who is set aside
//
// A broken worker that fails at once looks idle and draws ever more work. Its failures
// are compared with what its peers make of the same kinds of work: each outcome adds
// one failure or none, less the mean failure rate of that kind over the other workers.
// So work that fails everywhere blames no worker. A worker is set aside once that
// excess is large both in number and as a part of its outcomes. Old outcomes fade, with
// a half-life. At most a third of the workers is set aside at any time: when more seem
// broken, the cause is more likely elsewhere.
//
// # Probes
//
// A worker set aside is sent one unit of idempotent work at a time, after a wait that
// doubles with each failed probe. After enough successes in a row it is returned with a
// clean record.
//
// Decisions depend on the calls made so far and the time passed in only. A Monitor is
// not safe for concurrent use; callers keep one under a lock.
package health

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is how long an outcome takes to count half.
	halfLife = 30 * time.Second
	// maxOutcomes is how many outcomes of a worker count at most, so that a long good
	// record does not hide that the worker broke.
	maxOutcomes = 16
	// minExcess is how many failures above its peers' a worker may have.
	minExcess = 3
	// minExcessRate is the part of its outcomes that the excess must be.
	minExcessRate = 0.5
	// maxAsideDivisor bounds the workers set aside to one in so many.
	maxAsideDivisor = 3
	// firstProbeAfter and maxProbeAfter bound the wait before a probe.
	firstProbeAfter = 5 * time.Second
	maxProbeAfter   = 5 * time.Minute
	// probesToReturn is how many probes must succeed in a row.
	probesToReturn = 2
)

// Outcome is how a piece of work ended on a worker. Work that was cancelled or given
// up by its owner is no outcome.
type Outcome struct {
	Worker string
	Kind   string
	Failed bool
}

// counts are faded numbers of outcomes.
type counts struct{ all, failed float64 }

func (c counts) rate() float64 {
	if c.all == 0 {
		return 0
	}
	return c.failed / c.all
}

// kindRates sums the failure rates of all workers for one kind.
type kindRates struct {
	sum     float64
	workers int
}

// workerState is the record of one worker.
type workerState struct {
	kinds map[string]counts
	faded time.Time
	aside bool
	// probeAt is when the next probe is due, probing whether one is out.
	probeAt   time.Time
	probing   bool
	wait      time.Duration
	succeeded int
}

// Monitor keeps the records of all workers.
type Monitor struct {
	workers map[string]*workerState
	kinds   map[string]kindRates
	aside   int
}

// New returns a monitor that knows no worker.
func New() *Monitor {
	return &Monitor{workers: make(map[string]*workerState), kinds: make(map[string]kindRates)}
}

// SetWorkers replaces the list of workers. Those that stay keep their records.
func (m *Monitor) SetWorkers(now time.Time, names []string) {
	keep := make(map[string]bool, len(names))
	for _, name := range names {
		keep[name] = true
		if m.workers[name] == nil {
			m.workers[name] = &workerState{kinds: make(map[string]counts), faded: now}
		}
	}
	for name, w := range m.workers {
		if keep[name] {
			continue
		}
		m.forget(w)
		if w.aside {
			m.aside--
		}
		delete(m.workers, name)
	}
}

// Record takes in an outcome of ordinary work and reports whether the worker is set
// aside because of it. Outcomes of unknown workers are passed over.
func (m *Monitor) Record(now time.Time, o Outcome) bool {
	w := m.workers[o.Worker]
	if w == nil || w.aside {
		return false
	}
	w.fade(now)
	c := w.kinds[o.Kind]
	before, seen := c.rate(), c.all > 0
	c.all++
	if o.Failed {
		c.failed++
	}
	w.kinds[o.Kind] = c
	m.addRate(o.Kind, c.rate()-before, !seen)
	if !o.Failed || !m.exceeds(w) || (m.aside+1)*maxAsideDivisor > len(m.workers) {
		return false
	}
	m.setAside(now, w)
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

// exceeds reports whether the worker fails clearly more than its peers.
func (m *Monitor) exceeds(w *workerState) bool {
	var all, excess float64
	for kind, c := range w.kinds {
		all += c.all
		excess += c.failed - c.all*m.peerRate(kind, c)
	}
	return excess >= minExcess && excess >= minExcessRate*all
}

// peerRate is the mean failure rate of the kind over the other workers, 0 if no other
// worker ran it.
func (m *Monitor) peerRate(kind string, own counts) float64 {
	k := m.kinds[kind]
	if k.workers <= 1 {
		return 0
	}
	return min(max(0, k.sum-own.rate())/float64(k.workers-1), 1)
}

func (m *Monitor) setAside(now time.Time, w *workerState) {
	m.forget(w)
	m.aside++
	w.aside, w.wait, w.succeeded = true, firstProbeAfter, 0
	w.probeAt = now.Add(w.wait)
}

// forget takes the worker's record out of the rates of its kinds.
func (m *Monitor) forget(w *workerState) {
	for kind, c := range w.kinds {
		k := m.kinds[kind]
		k.sum -= c.rate()
		k.workers--
		m.kinds[kind] = k
	}
	clear(w.kinds)
}

// Aside reports whether the worker is set aside.
func (m *Monitor) Aside(worker string) bool {
	w := m.workers[worker]
	return w != nil && w.aside
}

// Probes returns the workers, in order of name, that are due for one unit of
// idempotent work each. Every one must be followed by Probed or ProbeLost.
func (m *Monitor) Probes(now time.Time) []string {
	var due []string
	for name, w := range m.workers {
		if w.aside && !w.probing && !w.probeAt.After(now) {
			w.probing = true
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Probed takes in how a probe ended and reports whether the worker is returned.
func (m *Monitor) Probed(now time.Time, worker string, failed bool) bool {
	w := m.workers[worker]
	if w == nil || !w.aside {
		return false
	}
	w.probing = false
	if failed {
		w.succeeded = 0
		w.wait = min(2*w.wait, maxProbeAfter)
		w.probeAt = now.Add(w.wait)
		return false
	}
	w.succeeded++
	w.probeAt = now
	if w.succeeded < probesToReturn {
		return false
	}
	w.aside = false
	w.faded = now
	m.aside--
	return true
}

// ProbeLost takes in that a probe ended without telling anything of its worker. The
// worker is due for another one.
func (m *Monitor) ProbeLost(worker string) {
	if w := m.workers[worker]; w != nil {
		w.probing = false
	}
}

// Reset drops the record of a worker that is a new one under its former name.
func (m *Monitor) Reset(now time.Time, worker string) {
	w := m.workers[worker]
	if w == nil {
		return
	}
	m.forget(w)
	if w.aside {
		m.aside--
	}
	m.workers[worker] = &workerState{kinds: make(map[string]counts), faded: now}
}

// fade lets old outcomes count less. It changes no rate.
func (w *workerState) fade(now time.Time) {
	factor := 1.0
	if now.After(w.faded) {
		factor = math.Exp2(-now.Sub(w.faded).Seconds() / halfLife.Seconds())
		w.faded = now
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
