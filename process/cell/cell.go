package cell

import (
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/evacuation"
	"github.com/kingcuplatch/kingcuplatch/process/health"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Grace periods and retry intervals.
const (
	// missingGrace is how long a worker that responds may be missing from the
	// directory. Directory entries expire while the table is unavailable and
	// reappear afterwards.
	missingGrace = 2 * time.Second
	// forgetWorkerAfter is how long a worker that left the directory is kept.
	forgetWorkerAfter = 30 * time.Second
	// unhealthyPause is how long a worker that replied "unhealthy" gets no new work.
	unhealthyPause = 500 * time.Millisecond
	// ticketMargin is the minimum time between sending a start and the expiry of its
	// ticket, the advisory service's permission to run the step on the worker.
	ticketMargin = 80 * time.Millisecond
)

// Settings configures a cell.
type Settings struct {
	// KeepEnded is how long the state of an ended job can be queried.
	KeepEnded time.Duration
	// MaxRowBytes is the size of the largest row that the table takes; 0 if unknown.
	MaxRowBytes int
	// MemoryBytes is the memory of the process; 0 if unknown.
	MemoryBytes int64
}

// Cell is the state of one cell. It is not safe for concurrent use.
type Cell struct {
	settings Settings
	catalog  *catalog.Catalog

	jobs map[string]*Job
	// live holds the jobs that haven't ended, and ended ones until their end is recorded
	// and none of their runs may still occupy capacity.
	live        []*Job
	workers     map[string]*Worker
	workerOrder []*Worker
	// byFree holds the same workers in the order of the last round, by free processors; nil
	// if workers were added or removed since.
	byFree []*Worker
	// usage is the amount that each team has running or planned.
	usage map[string]resource.Amount
	// runs is the number of runs of all workers; openings counts the calls of openDue.
	runs     int64
	openings uint64
	teams    map[string]*tokenBucket
	// shares holds how the teams stand to their shares of contended capacity.
	shares teamShares
	// lines holds the jobs that wait for their first placement, by class.
	lines lines
	// refused holds the first submission of each recently refused job.
	refused *refusedJobs
	// allowedShares is the estimated fraction of workers on which the advisory service
	// allows a step, by queue.
	allowedShares map[string]float64
	health        *health.Monitor
	// slowAdviceCalls and quickAdviceCalls count the advice requests in flight, which
	// adviceLimits bounds. A request is slow if its base duration is at least SlowAdvice.
	slowAdviceCalls, quickAdviceCalls int
	adviceLimits                      AdviceLimits
	starts                            *startLimiter
	// sharedUntil is until when workers with isolated tasks that run well take other work.
	sharedUntil time.Time
	// lastIsolation describes the tasks that the last round had to place apart; empty if none.
	lastIsolation string
	// riskyUntil is until when a queue's tasks are likely to crash their workers.
	riskyUntil map[string]time.Time
	// machineCrashes is when a worker last crashed, by its address, as far as no task that has
	// been given up was the cause.
	machineCrashes map[string]time.Time

	// asides holds the jobs that are set aside.
	asides []*Job

	// seq numbers the changes of jobs; markDirty increments it.
	seq uint64
	// dirty holds the changed jobs whose latest change is in no batch yet.
	dirty []*Job
	// batches holds the writes in flight.
	batches []*Batch
	actions Actions
	codec   rowCodec
	// tableUnavailableFor is how long the table has been unavailable for writes; 0 if it is
	// available.
	tableUnavailableFor time.Duration
	// decisionTime is how long a new job waits for the scheduler's own processor until its
	// first start.
	decisionTime time.Duration
	// tableSlow is set while writes to the table are slow.
	tableSlow bool
	// cordoned holds the workers that get no new work because their machines are about to
	// go down.
	cordoned map[string]bool
	// evacuation holds the failure domains that are being emptied.
	evacuation evacuation.Requests
	// rounds counts the calls of Plan.
	rounds uint64
	// plannedAt is when Plan was last called, lastCut why that round ended early.
	plannedAt time.Time
	lastCut   roundCut
	// waitersBefore is the memory of the last WaitReport, used again by the next.
	waitersBefore []waiter
	// explainedAt is when explain last looked for a waiting step.
	explainedAt time.Time
}

// New returns an empty cell.
func New(settings Settings, published *catalog.Catalog) *Cell {
	return &Cell{
		settings: settings, catalog: published,
		jobs: make(map[string]*Job), workers: make(map[string]*Worker),
		usage: make(map[string]resource.Amount), teams: make(map[string]*tokenBucket),
		allowedShares: make(map[string]float64), refused: newRefusedJobs(), lines: newLines(),
		health: health.New(), adviceLimits: AdviceLimits{Slow: 1, Quick: 2}, starts: newStartLimiter(),
		machineCrashes: make(map[string]time.Time), riskyUntil: make(map[string]time.Time),
	}
}

// SetCatalog replaces the operators' configuration, unless the known one is newer.
func (c *Cell) SetCatalog(published *catalog.Catalog) {
	if c.catalog == nil || published.Version >= c.catalog.Version {
		c.catalog = published
	}
}

// CatalogVersion returns the version of the operators' configuration, or 0 if it isn't known.
func (c *Cell) CatalogVersion() int64 {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.Version
}

// Actions is what the runtime has to carry out.
type Actions struct {
	Starts         []StartCommand
	Stops          []StopCommand
	Paces          []PaceCommand
	AdviceRequests []AdviceRequest
	// Notes are the events to log.
	Notes []Note
}

// StartCommand is a command to a worker to start a run.
type StartCommand struct {
	Worker string
	// Incarnation is that of the worker for which the start was decided.
	Incarnation int64
	RunKey
	Text       string
	Checkpoint string
	Ticket     string
	// TextHolder is the entry that received the job and may still have its Text; empty if it
	// isn't known.
	TextHolder string
}

// StopCommand is a command to a worker to stop a run.
type StopCommand struct {
	Worker string
	RunKey
}

// PaceCommand is a command to a worker to limit a run to a percentage of its full speed.
type PaceCommand struct {
	Worker string
	RunKey
	Percent int
}

// AdviceRequest is a request to the advisory service.
type AdviceRequest struct {
	Step    string
	Queue   string
	Workers []string
	// Estimate is the expected duration of the call, Decide the part of it that doesn't
	// depend on the number of workers.
	Estimate time.Duration
	Decide   time.Duration
	// claims holds what a gang may take of the workers once it has the reply.
	claims []claim
}

// TakeActions returns the actions accumulated since the last call.
func (c *Cell) TakeActions() Actions {
	a := c.actions
	c.actions = Actions{}
	return a
}

// note adds an event to log to the actions.
func (c *Cell) note(n Note) { c.actions.Notes = append(c.actions.Notes, n) }

// upstreamOf returns the upstream whose workers run the job's tasks: that of the
// queue in the current configuration or, if the queue was removed, the one that was
// recorded when the job was accepted.
func (c *Cell) upstreamOf(job *Job) string {
	if q := c.catalog.Queue(job.Queue); q != nil {
		return q.Upstream
	}
	return job.Upstream
}

// capOf returns the team's quota of running work, and whether it has one.
func (c *Cell) capOf(team string) (resource.Amount, bool) {
	t := c.catalog.Team(team)
	if t == nil || t.Cap.IsZero() {
		return resource.Amount{}, false
	}
	return t.Cap, true
}

// withinCap reports whether the team's usage plus need stays within its quota.
func (c *Cell) withinCap(team string, need resource.Amount) bool {
	limit, bounded := c.capOf(team)
	if !bounded {
		return true
	}
	next := c.usage[team].Add(need)
	return withinBound(next.MilliCPU, limit.MilliCPU) && withinBound(next.MemoryMB, limit.MemoryMB) &&
		withinBound(next.Accelerators, limit.Accelerators)
}

// withinBound reports whether value is at most bound; a bound of 0 means no limit.
func withinBound(value, bound int64) bool { return bound <= 0 || value <= bound }

func compareStrings(a, b string) int { return strings.Compare(a, b) }

// SetTableUnavailable sets for how long the table has been unavailable for writes; 0 means
// that it is available.
func (c *Cell) SetTableUnavailable(lasted time.Duration) { c.tableUnavailableFor = lasted }

// SetDecisionTime sets how long a new job waits for the scheduler's own processor until its
// first start.
func (c *Cell) SetDecisionTime(d time.Duration) { c.decisionTime = d }

// outageRetryDivisor divides the time that an outage has lasted to give the retry
// delay. The time so far is the only indication of how long the outage will last,
// and callers that retry every second exhaust their retries before a longer one ends.
const outageRetryDivisor = 2

// OutageRetryAfter returns the retry delay for calls refused during an outage that has
// lasted for the given time so far.
func OutageRetryAfter(lasted time.Duration) time.Duration {
	return retryAfter(lasted / outageRetryDivisor)
}

// Job returns the job with the given id.
func (c *Cell) Job(id string) (*Job, bool) {
	j, ok := c.jobs[id]
	return j, ok
}

// StateOf returns the recorded state of an accepted job, as shown to clients.
func (c *Cell) StateOf(id string) (state State, queue, team string, ok bool) {
	j := c.jobs[id]
	if j == nil || !j.accepted {
		return "", "", "", false
	}
	state = j.shown
	if !state.Ended() && j.started {
		state = Running
	}
	return state, j.Queue, j.Team, true
}

// Pending returns the number of the queue's accepted jobs without a started task.
func (c *Cell) Pending(queue string) int {
	n := 0
	for _, j := range c.live {
		if j.Queue == queue && j.accepted && !j.started && !j.outcome.Ended() {
			n++
		}
	}
	return n
}

// Counts returns the numbers of jobs, live jobs (see Cell.live), workers and runs in the
// cell.
func (c *Cell) Counts() (jobs, live, workers, runs int) {
	for _, w := range c.workers {
		runs += len(w.runs)
	}
	return len(c.jobs), len(c.live), len(c.workers), runs
}

// Tick runs the work that depends only on time: it tries jobs again that were set aside, opens
// due occurrences of repeated jobs, adjusts the pace of best-effort tasks, repeats stop commands, stops stalled runs and
// the remaining runs of completed gangs, marks ended jobs for deletion, and logs why the
// longest-waiting step cannot be placed.
func (c *Cell) Tick(now time.Time) {
	c.resumeAsides(now)
	c.openDue(now)
	for _, w := range c.workerOrder {
		c.tickWorker(now, w)
	}
	c.noteEmptied(now)
	c.forgetMachineCrashes(now)
	c.forgetRisks(now)
	c.retire(now)
	c.explain(now)
}

func (c *Cell) tickWorker(now time.Time, w *Worker) {
	defer c.excludeOnPanic(now, w)
	c.adjustBestEffortPace(now, w)
	for _, r := range sortedRuns(w) {
		if !r.stop.wanted && r.task.done && r.task.step.spec.Gang && now.Sub(r.plannedAt) > r.task.step.spec.Estimate+gangStopGrace && r.listedTooLong(now) {
			c.stopRun(now, r)
		}
		if r.stopDue(now) {
			c.sendStop(r)
		}
		c.checkProgress(now, r)
		r.endIsolation(now)
		c.reviewCrashes(now, r)
	}
}

// stopDue reports whether a stop command is to be sent again. Another one beside a command in
// progress would only add to the load that makes it late.
func (r *Run) stopDue(now time.Time) bool {
	if !r.stop.wanted || r.state == runPlanned || r.stop.inProgress || now.Before(r.stop.notBefore) {
		return false
	}
	return r.stop.answeredAt.IsZero() || r.lastListedAt.Sub(r.stop.answeredAt) > stopRepeatDelay
}

// stopRepeatDelay is how long after the reply to its stop command a run that is still listed is
// stopped again. It is beyond the time that a stop takes and that a list is on its way.
const stopRepeatDelay = 3 * time.Second

// gangStopGrace is how much longer than their step's estimate members of a completed gang
// may still appear in the worker's list of runs before they are stopped.
const gangStopGrace = 2 * time.Second

// listedTooLong reports whether the run still appears in the worker's list of runs, more
// than gangStopGrace after listedAt.
func (r *Run) listedTooLong(now time.Time) bool {
	return r.state == runListed && now.Sub(r.listedAt) > gangStopGrace
}

// retire marks ended jobs for deletion once Settings.KeepEnded has passed.
func (c *Cell) retire(now time.Time) {
	for id, j := range c.jobs {
		if j.shown.Ended() && j.liveRuns == 0 && !j.dirty && !j.inFlight && now.Sub(j.endedAt) > c.settings.KeepEnded {
			j.retired = true
			c.markDirty(c.jobs[id])
		}
	}
}
