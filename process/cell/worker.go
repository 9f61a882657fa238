package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// WorkerInfo is a worker's entry in the directory.
type WorkerInfo struct {
	ID            string
	Upstream      string
	Address       string
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      resource.Amount
	Draining      bool
	// Incarnation identifies this incarnation of the worker by the time of its start.
	Incarnation int64
	// Renewed is set if the worker has written its entry since the directory was first read.
	Renewed bool
	// ColdUntil is until when the worker expects to be slow after its start; zero if it doesn't.
	ColdUntil time.Time
}

// RunKey identifies one run of a task.
type RunKey struct {
	Task   string
	Number int
}

// runState is the state of a run.
type runState int

const (
	// runPlanned runs are being recorded.
	runPlanned runState = iota
	// runStarting runs have a start command in progress.
	runStarting
	// runOutcomeUnknown runs had a start command without a reply.
	runOutcomeUnknown
	// runStarted runs have a start command that the worker confirmed.
	runStarted
	// runAdopted runs were recorded by an earlier scheduler.
	runAdopted
	// runListed runs have appeared in a reply of the worker.
	runListed
)

// Run is one run of a task on a worker.
type Run struct {
	RunKey
	task   *task
	worker *Worker
	need   resource.Amount
	team   string
	state  runState
	// incarnation is that of the worker for which the run was planned; a later one may be of another
	// kind.
	incarnation int64
	// ticket and ticketUntil are set for queues with advice.
	ticket      string
	ticketUntil time.Time
	plannedAt   time.Time
	// sentAt is when the start command was sent, answeredAt when the worker confirmed it.
	sentAt     time.Time
	answeredAt time.Time
	checkpoint string
	percent    int
	// progressAt is when percent last changed; listedAt is when the run was first listed, and
	// firstPercent its progress then.
	progressAt   time.Time
	listedAt     time.Time
	firstPercent int
	// lastListedAt is when a reply last included the run; duration is how long it took.
	lastListedAt time.Time
	duration     time.Duration
	// tailLatency is that of the last reply; pace is the share of its full speed at which
	// a best-effort task works, in percent; pacedAt is when a command for another pace
	// was last sent.
	tailLatency time.Duration
	pace        int
	pacedAt     time.Time
	// speedSampled is set once the run has been used to estimate its worker's speed.
	speedSampled bool
	// isolated is set if the run was placed apart from others (isolate.go).
	isolated bool

	stop stopState
}

// age returns how long ago the run was planned; 0 if an earlier scheduler planned it.
func (r *Run) age(now time.Time) time.Duration {
	if r.plannedAt.IsZero() {
		return 0
	}
	return now.Sub(r.plannedAt)
}

// stopState is the state of the stop command of a run.
type stopState struct {
	wanted bool
	// wantedAt is since when.
	wantedAt time.Time
	// notBefore is when the command is to be sent; zero if at once.
	notBefore time.Time
	// inProgress is set while a command has been sent and its outcome isn't known.
	inProgress bool
	answeredAt time.Time
}

// Worker is one worker, over all its incarnations.
type Worker struct {
	WorkerInfo
	// listed is set while the directory contains the worker; missingSince is when it was
	// removed from there.
	listed       bool
	missingSince time.Time
	// adopted is set once this scheduler has received a reply from the worker under its
	// own fencing token.
	adopted bool
	// incarnation is that of the last reply.
	incarnation int64
	// entryAwaited is set until the worker has written its entry again: the one before is from before
	// an outage of the directory, and capacity may have shrunk since.
	entryAwaited bool
	// unreachableSince is when calls began to fail; zero if they succeed.
	unreachableSince time.Time
	// lossSign is the strongest sign seen since then that the worker's process has ended;
	// exposed holds the runs that were there then.
	lossSign LossSign
	exposed  []exposure
	// interruptedUntil is until when an upkeep may end what runs on the worker; zero once a list
	// requested later has shown the outcome.
	interruptedUntil time.Time
	// leaseExpired is set once every lease on the worker has expired.
	leaseExpired bool
	used         resource.Amount
	// largest is the largest capacity that this incarnation has had.
	largest resource.Amount
	// freeCapacity is Capacity less used.
	freeCapacity resource.Amount
	runs         map[RunKey]*Run
	// runList holds the same runs in no particular order.
	runList []*Run
	// unknownRuns are running on the worker but unknown to this scheduler. Their resource
	// needs are unknown too, so the worker gets no new work until they are gone.
	unknownRuns map[RunKey]time.Time
	// lastEnd is the highest number of an end that was handled, acked that of the last
	// one recorded; pendingAcks are waiting to be recorded.
	lastEnd     int64
	acked       int64
	pendingAcks []pendingAck
	// startFailedUntil is until when the worker comes after others since a start failed; zero once one
	// has succeeded.
	startFailedUntil time.Time
	// pausedUntil keeps new work from a worker that reported itself unhealthy.
	pausedUntil time.Time
	speed       speedRecord
	// probeDue is set while a quarantined worker may take one task.
	probeDue bool
	// readyIn is the number of the last round in which the worker accepted new work.
	readyIn  uint64
	reserved reservation
	kept     kept
	// isolatedRuns counts the runs of isolated tasks; until vacatedUntil the worker is kept free
	// for such tasks of the step vacatedFor.
	isolatedRuns int
	vacatedUntil time.Time
	vacatedFor   *step
	// claimed is the capacity that gangs may take here once their calls for advice in progress
	// are answered.
	claimed  resource.Amount
	forecast runForecast
}

// pendingAck is an end that may be acknowledged once all changes up to seq are recorded.
type pendingAck struct {
	end int64
	seq uint64
	// job is the one to which the end belongs, or nil.
	job *Job
	// held is set while the end can't be recorded: its job is set aside, or its handling panicked.
	held bool
}

// free returns the free capacity.
func (w *Worker) free() resource.Amount { return w.freeCapacity }

// overCapacity reports whether the runs on w, planned ones included, need more than its present
// capacity.
func (w *Worker) overCapacity() bool {
	return w.freeCapacity.MilliCPU < 0 || w.freeCapacity.MemoryMB < 0 || w.freeCapacity.Accelerators < 0
}

// addUsed adds amount to the used capacity; a negative amount releases it.
func (w *Worker) addUsed(amount resource.Amount) {
	w.forecast = runForecast{}
	w.used = w.used.Add(amount)
	w.freeCapacity = w.Capacity.Sub(w.used)
}

// capacityKnown reports whether the directory's entry is that of the incarnation which replied last.
// An incarnation may have less capacity than the one before, and is of another age, kind or state.
// An entry that names no incarnation counts for any, one from before an outage for none.
func (w *Worker) capacityKnown() bool {
	return !w.entryAwaited && (w.Incarnation == 0 || w.incarnation == w.Incarnation)
}

// usable reports whether new work may be placed on the worker, regardless of its health.
func (w *Worker) usable(now time.Time) bool {
	return w.adopted && w.unreachableSince.IsZero() && w.capacityKnown() && !w.Draining && len(w.unknownRuns) == 0 && !w.pausedUntil.After(now) &&
		(w.listed || now.Sub(w.missingSince) < missingGrace)
}

// SetWorkers replaces the directory's list of workers.
func (c *Cell) SetWorkers(now time.Time, list []WorkerInfo) {
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		seen[info.ID] = true
		w := c.workers[info.ID]
		if w == nil {
			w = &Worker{runs: make(map[RunKey]*Run), unknownRuns: make(map[RunKey]time.Time)}
			c.workers[info.ID] = w
			c.workerOrder = append(c.workerOrder, w)
			c.byFree = nil
		}
		if info.Draining && !w.Draining {
			c.note(Note{Kind: NoteWorkerDraining, Worker: info.ID})
		}
		info.ColdUntil = limitCold(now, info.ColdUntil)
		w.setInfo(info)
		w.entryAwaited = w.entryAwaited && !info.Renewed
		w.addUsed(resource.Amount{})
		w.listed = true
	}
	c.confirmReplaced(now)
	for _, w := range c.workers {
		if w.listed && !seen[w.ID] {
			w.listed = false
			w.missingSince = now
			c.note(Note{Kind: NoteWorkerMissing, Worker: w.ID})
		}
	}
	slices.SortFunc(c.workerOrder, func(a, b *Worker) int { return compareStrings(a.ID, b.ID) })
	c.updateHealthMonitor(now)
}

// AwaitEntries keeps new work from each worker until the directory, read anew, shows that the worker
// has written its entry again.
func (c *Cell) AwaitEntries() {
	for _, w := range c.workerOrder {
		w.entryAwaited = true
	}
}

// confirmReplaced records that unreachable workers have ended at whose addresses the directory lists
// later incarnations.
func (c *Cell) confirmReplaced(now time.Time) {
	var lost []*Worker
	for _, w := range c.workerOrder {
		if !w.unreachableSince.IsZero() && w.lossSign < LossReplaced && w.Address != "" {
			lost = append(lost, w)
		}
	}
	if len(lost) == 0 {
		return
	}
	newest := make(map[string]*Worker, len(c.workerOrder))
	for _, w := range c.workerOrder {
		if n := newest[w.Address]; w.listed && (n == nil || w.Incarnation > n.Incarnation) {
			newest[w.Address] = w
		}
	}
	for _, w := range lost {
		if n := newest[w.Address]; n != nil && n != w && n.Incarnation > w.Incarnation {
			c.workerReplaced(now, w)
		}
	}
}

// workerReplaced records that another incarnation responds in place of an unreachable worker.
func (c *Cell) workerReplaced(now time.Time, w *Worker) {
	c.recordLossSign(now, w, LossReplaced)
	c.loseRuns(now, w)
}

// setInfo replaces the worker's directory entry.
func (w *Worker) setInfo(info WorkerInfo) {
	if info.Incarnation != w.Incarnation {
		w.largest = resource.Amount{}
	}
	w.largest = w.largest.Max(info.Capacity)
	w.WorkerInfo = info
}

// ForgetWorkers drops workers that have left the directory and have no runs, and returns
// their ids.
func (c *Cell) ForgetWorkers(now time.Time) []string {
	var gone []string
	for id, w := range c.workers {
		if !w.listed && len(w.runs) == 0 && now.Sub(w.missingSince) > forgetWorkerAfter {
			gone = append(gone, id)
			delete(c.workers, id)
		}
	}
	if len(gone) > 0 {
		c.workerOrder = slices.DeleteFunc(c.workerOrder, func(w *Worker) bool { return c.workers[w.ID] != w })
		c.byFree = nil
	}
	return gone
}

// Unlisted returns the ids of the workers that have runs and aren't in the directory.
func (c *Cell) Unlisted() []string {
	var ids []string
	for _, w := range c.workerOrder {
		if !w.listed && len(w.runs) > 0 {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// WorkerUnreachable records that a poll of a worker failed with the given error. sign is what
// that shows.
func (c *Cell) WorkerUnreachable(now time.Time, id string, sign LossSign, err error) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
		w.exposed = w.exposures(now)
		c.note(Note{Kind: NoteWorkerUnreachable, Worker: id, Runs: len(w.runs), Error: err})
	}
	if sign == LossReplaced {
		c.workerReplaced(now, w)
		return
	}
	c.recordLossSign(now, w, sign)
}

// WorkerLeaseExpired ends the runs of an unreachable worker on which every lease has
// expired.
func (c *Cell) WorkerLeaseExpired(now time.Time, id string) {
	w := c.workers[id]
	if w == nil || w.leaseExpired {
		return
	}
	w.leaseExpired = true
	c.note(Note{Kind: NoteWorkerLeaseExpired, Worker: id, Runs: len(w.runs)})
	c.loseRuns(now, w)
}

// loseRuns ends all runs of a worker on which nothing can be running any more.
func (c *Cell) loseRuns(now time.Time, w *Worker) {
	kind := EndVanished
	if w.lossSign > LossSilent {
		kind = EndCrashed
	}
	for _, r := range sortedRuns(w) {
		c.endRun(now, r, kind, "")
	}
	if kind == EndVanished && !c.goesDown(w) {
		w.keepLosses()
	}
}
