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
	// runUnsure runs were ordered and the answer is lost.
	runUnsure
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
	// movedAt is when percent last changed; listedAt when the run was first listed.
	movedAt  time.Time
	listedAt time.Time
	// seenAt is when a list last showed the run; span is how long it took.
	seenAt time.Time
	span   time.Duration
	// tail is that of the last list; pace is the share of its speed at which a task
	// that fills works, in percent, and pacedAt when an order for another was sent.
	tail    time.Duration
	pace    int
	pacedAt time.Time
	// sampled is set once the run was used to judge its worker's speed.
	sampled bool

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
	// life is the born time of the life that listed last.
	life int64
	// silentSince is when calls began to go unanswered; zero if they don't.
	silentSince time.Time
	// lapsed is set once all leases there have surely run out.
	lapsed bool
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
	// pause keeps new work away from a worker that refused some.
	pause time.Time
	speed speedRecord
	// probe is set while a worker that was set aside may take one task.
	probe bool
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
	return w.adopted && w.silentSince.IsZero() && !w.Draining && len(w.unknownRuns) == 0 && !w.pause.After(now) &&
		(w.listed || now.Sub(w.missingSince) < missingGrace)
}

// Listing is a worker's answer to a look at it.
type Listing struct {
	// AskedAt is when the call was sent.
	AskedAt time.Time
	Born    int64
	Running []ListedRun
	Ends    []End
	// More is set if the worker holds back further ends.
	More bool
}

// ListedRun is a run that a worker lists.
type ListedRun struct {
	RunKey
	Saved   string
	Percent int
	// Tail is the tail of the response times of a task with a target.
	Tail time.Duration
}

// EndKind is how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	// EndDone is success.
	EndDone EndKind = "done"
	// EndFailed is a failure of the task or its worker.
	EndFailed EndKind = "failed"
	// EndStopped follows an order to stop.
	EndStopped EndKind = "stopped"
	// EndLapsed follows the end of the worker's lease.
	EndLapsed EndKind = "lapsed"
	// EndBroken follows the end of another member of the gang.
	EndBroken EndKind = "broken"
	// EndAlone follows a wait for the other members of the gang.
	EndAlone EndKind = "alone"
	// EndVanished is this scheduler's conclusion that a run is not there.
	EndVanished EndKind = "vanished"
)

// End is a run that ended, as a worker lists it.
type End struct {
	// Seq numbers the ends of one life of a worker.
	Seq int64
	RunKey
	Kind  EndKind
	Saved string
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
	c.refreshMonitor(now)
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
	if w == nil || w.lapsed {
		return
	}
	w.lapsed = true
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

// Listed takes in a worker's list: ends first, then what runs, then what is
// missing there and so never was or is gone.
func (c *Cell) Listed(now time.Time, id string, l Listing) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.noteAnswer(now, w, l.Born)
	for _, end := range l.Ends {
		c.takeEnd(now, w, end)
	}
	if w.lastEnd > w.acked {
		w.pendingAcks = append(w.pendingAcks, pendingAck{end: w.lastEnd, seq: c.seq})
		c.releaseAcks(w)
	}
	running := make(map[RunKey]bool, len(l.Running))
	clear(w.unknownRuns)
	for _, listed := range l.Running {
		running[listed.RunKey] = true
		c.seeRunning(now, w, listed)
	}
	if l.More {
		return
	}
	for _, r := range sortedRuns(w) {
		if !running[r.RunKey] && r.surelyMissing(l.AskedAt) {
			c.endRun(now, r, EndVanished, "")
		}
	}
}

// noteAnswer notes that the worker answers, and forgets what an earlier life said.
func (c *Cell) noteAnswer(now time.Time, w *Worker, born int64) {
	if !w.silentSince.IsZero() {
		c.note(Note{Kind: NoteWorkerBack, Worker: w.ID})
	}
	w.silentSince = time.Time{}
	w.lapsed = false
	if !w.adopted {
		w.adopted = true
		c.note(Note{Kind: NoteWorkerAdopted, Worker: w.ID, Runs: len(w.runs)})
	}
	if w.life == born {
		return
	}
	if w.life != 0 {
		c.note(Note{Kind: NoteWorkerReborn, Worker: w.ID, Runs: len(w.runs)})
		c.health.Reset(now, w.ID)
		w.probe = false
	}
	w.life = born
	w.lastEnd, w.acked, w.pendingAcks = 0, 0, nil
	w.speed = speedRecord{}
}

// surelyMissing reports whether a list asked for at askedAt that doesn't show r
// proves that r isn't there and never will be.
func (r *Run) surelyMissing(askedAt time.Time) bool {
	switch r.state {
	case runAdopted, runListed:
		return true
	case runStarted:
		return askedAt.After(r.answeredAt)
	default:
		return !r.stop.answeredAt.IsZero() && askedAt.After(r.stop.answeredAt)
	}
}

// seeRunning takes in one row of what runs.
func (c *Cell) seeRunning(now time.Time, w *Worker, listed ListedRun) {
	r := w.runs[listed.RunKey]
	if r == nil {
		w.unknownRuns[listed.RunKey] = now
		c.actions.Stops = append(c.actions.Stops, StopOrder{Worker: w.ID, RunKey: listed.RunKey})
		c.note(Note{Kind: NoteUnknownRun, Worker: w.ID, Task: listed.Task, Run: listed.Number})
		return
	}
	if r.state != runListed {
		r.state = runListed
		r.listedAt, r.movedAt = now, now
		r.task.step.occ.job.started = true
	}
	r.seenAt = now
	r.tail = listed.Tail
	if listed.Percent != r.percent {
		r.percent, r.movedAt = listed.Percent, now
	}
	if listed.Saved != "" {
		r.saved = listed.Saved
	}
}

// takeEnd takes in one end that w lists.
func (c *Cell) takeEnd(now time.Time, w *Worker, end End) {
	if end.Seq <= w.lastEnd {
		return
	}
	w.lastEnd = end.Seq
	if r := w.runs[end.RunKey]; r != nil {
		c.endRun(now, r, end.Kind, end.Saved)
		return
	}
	c.takeLateEnd(now, end)
}

// releaseAcks advances what may be acknowledged to w.
func (c *Cell) releaseAcks(w *Worker) {
	horizon := c.recordedUpTo()
	n := 0
	for ; n < len(w.pendingAcks) && w.pendingAcks[n].seq <= horizon; n++ {
		w.acked = w.pendingAcks[n].end
	}
	w.pendingAcks = w.pendingAcks[n:]
}

// Acked returns the number of the last end of a worker that may be acknowledged,
// and whether more wait for their records.
func (c *Cell) Acked(id string) (number int64, waiting bool) {
	w := c.workers[id]
	if w == nil {
		return 0, false
	}
	return w.acked, len(w.pendingAcks) > 0
}
