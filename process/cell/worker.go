package cell

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// WorkerInfo is what the directory says of a worker.
type WorkerInfo struct {
	ID            string
	Upstream      string
	Address       string
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      resource.Amount
	Draining      bool
	// Born is when this life of the worker began; it tells lives apart.
	Born int64
}

// RunKey names one run of a task.
type RunKey struct {
	Task   string
	Number int
}

// runState is how far a run has come.
type runState int

const (
	// runPlanned runs are being recorded.
	runPlanned runState = iota
	// runOrdered runs have been ordered; the answer isn't there.
	runOrdered
	// runOutcomeUnknown runs were ordered and the answer is lost.
	runOutcomeUnknown
	// runStarted runs were started, by the worker's answer.
	runStarted
	// runAdopted runs were recorded by an earlier scheduler.
	runAdopted
	// runListed runs were seen in the worker's list.
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
	// ticket and ticketUntil are for queues with advice.
	ticket      string
	ticketUntil time.Time
	plannedAt   time.Time
	// answeredAt is when the start was answered with success.
	answeredAt time.Time
	saved      string
	percent    int
	// progressAt is when percent last changed; listedAt when the run was first listed.
	progressAt  time.Time
	listedAt time.Time
	// seenAt is when a list last showed the run; span is how long it took.
	seenAt time.Time
	duration   time.Duration
	// tail is that of the last list; pace is the share of its speed at which a task
	// that fills works, in percent, and pacedAt when an order for another was sent.
	tail    time.Duration
	pace    int
	pacedAt time.Time
	// speedSampled is set once the run was used to judge its worker's speed.
	speedSampled bool

	stop stopState
}

// stopState is where the stop of a run stands.
type stopState struct {
	wanted     bool
	sentAt     time.Time
	answeredAt time.Time
}

// Worker is one worker, over all its lives.
type Worker struct {
	WorkerInfo
	// listed is whether the directory has it; missingSince when it left there.
	listed       bool
	missingSince time.Time
	// adopted is set once a list of this scheduler's fence was read.
	adopted bool
	// incarnation is the born time of the incarnation that listed last.
	incarnation int64
	// silentSince is when calls began to go unanswered; zero if they don't.
	silentSince time.Time
	// leaseExpired is set once all leases there have surely run out.
	leaseExpired bool
	used   resource.Amount
	// room is Capacity less used.
	room resource.Amount
	runs map[RunKey]*Run
	// unknownRuns are listed there and not known to this scheduler; their room isn't
	// known either, so nothing new is placed beside them.
	unknownRuns map[RunKey]time.Time
	// lastEnd is the highest number of an end taken in, acked that of the last
	// recorded; pendingAcks wait for their records.
	lastEnd     int64
	acked       int64
	pendingAcks []pendingAck
	// pausedUntil keeps new work away from a worker that refused some.
	pausedUntil time.Time
	speed speedRecord
	// probeDue is set while a worker that was set aside may take one task.
	probeDue bool
}

// pendingAck is an end that may be acknowledged once all changes up to seq are
// recorded.
type pendingAck struct {
	end int64
	seq uint64
}

// free returns the room that is left.
func (w *Worker) free() resource.Amount { return w.room }

// use takes room, or gives it back if amount is negative.
func (w *Worker) use(amount resource.Amount) {
	w.used = w.used.Add(amount)
	w.room = w.Capacity.Sub(w.used)
}

// usable reports whether new work may go to the worker.
func (w *Worker) usable(now time.Time) bool {
	return w.adopted && w.silentSince.IsZero() && !w.Draining && len(w.unknownRuns) == 0 && !w.pausedUntil.After(now) &&
		(w.listed || now.Sub(w.missingSince) < missingGrace)
}

// SetWorkers takes in the directory's list.
func (c *Cell) SetWorkers(now time.Time, list []WorkerInfo) {
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		seen[info.ID] = true
		w := c.workers[info.ID]
		if w == nil {
			w = &Worker{runs: make(map[RunKey]*Run), unknownRuns: make(map[RunKey]time.Time)}
			c.workers[info.ID] = w
			c.workerOrder = append(c.workerOrder, w)
		}
		if info.Draining && !w.Draining {
			c.note(Note{Kind: NoteWorkerDrains, Worker: info.ID})
		}
		w.WorkerInfo = info
		w.use(resource.Amount{})
		w.listed = true
	}
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

// ForgetWorkers drops workers that left the directory and hold nothing, and
// returns their ids.
func (c *Cell) ForgetWorkers(now time.Time) []string {
	var gone []string
	for id, w := range c.workers {
		if !w.listed && len(w.runs) == 0 && now.Sub(w.missingSince) > forgetAfter {
			gone = append(gone, id)
			delete(c.workers, id)
		}
	}
	if len(gone) > 0 {
		c.workerOrder = slices.DeleteFunc(c.workerOrder, func(w *Worker) bool { return c.workers[w.ID] != w })
	}
	return gone
}

// Unlisted returns the workers that hold runs and aren't in the directory.
func (c *Cell) Unlisted() []string {
	var ids []string
	for _, w := range c.workerOrder {
		if !w.listed && len(w.runs) > 0 {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// WorkerSilent notes that a worker doesn't answer.
func (c *Cell) WorkerSilent(now time.Time, id string) {
	w := c.workers[id]
	if w == nil || !w.silentSince.IsZero() {
		return
	}
	w.silentSince = now
	c.note(Note{Kind: NoteWorkerSilent, Worker: id, Runs: len(w.runs)})
}

// WorkerLapsed notes that every lease on a silent worker has surely run out.
func (c *Cell) WorkerLapsed(now time.Time, id string) {
	w := c.workers[id]
	if w == nil || w.leaseExpired {
		return
	}
	w.leaseExpired = true
	c.note(Note{Kind: NoteWorkerLapsed, Worker: id, Runs: len(w.runs)})
	for _, r := range sortedRuns(w) {
		c.endRun(now, r, EndVanished, "")
	}
}

// sortedRuns returns the runs of w in a fixed order.
func sortedRuns(w *Worker) []*Run {
	runs := make([]*Run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *Run) int {
		if a.Task != b.Task {
			return compareStrings(a.Task, b.Task)
		}
		return a.Number - b.Number
	})
	return runs
}
