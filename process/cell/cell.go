package cell

import (
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/health"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Timings of decisions.
const (
	// missingGrace is how long a worker that answers may be missing from the
	// directory: entries lapse while the store is away and come back.
	missingGrace = 2 * time.Second
	// forgetAfter is how long a worker that left the directory is remembered.
	forgetAfter = 30 * time.Second
	// stopRepeat is the pause before an unanswered order to stop is sent again.
	stopRepeat = 400 * time.Millisecond
	// refusedPause keeps new work from a worker that answered "unhealthy".
	refusedPause = 500 * time.Millisecond
	// ticketMargin is kept between sending a start and the end of its ticket.
	ticketMargin = 80 * time.Millisecond
)

// Settings of a cell.
type Settings struct {
	// KeepEnded is how long the state of an ended job can be asked for.
	KeepEnded time.Duration
}

// Cell is the state of one cell. It is not safe for concurrent use.
type Cell struct {
	settings Settings
	catalog  *catalog.Catalog

	jobs        map[string]*Job
	live        []*Job
	workers     map[string]*Worker
	workerOrder []*Worker
	// usage is what each team has running or planned.
	usage map[string]resource.Amount
	teams map[string]*bucket
	// drains measure the placements of surplus work, by queue.
	drains map[string]*drain
	// refused are the first tries of jobs that were refused lately.
	refused *refusedJobs
	shares  map[string]float64
	health  *health.Monitor
	// slowAsks and quickAsks are the calls for advice under way, within lanes.
	slowAsks, quickAsks int
	adviceLimits        AdviceLimits

	seq     uint64
	dirty   []*Job
	batches []*Batch
	actions Actions
	// troubled is for how long the table has taken no writes.
	troubled time.Duration
	// slowTable is set while writes take long.
	slowTable bool
	// cordon are the workers that get no new work since their machines go down.
	cordon map[string]bool
	// explainedAt is when the last note on what waits was made.
	explainedAt time.Time
}

// New returns an empty cell.
func New(settings Settings, published *catalog.Catalog) *Cell {
	return &Cell{
		settings: settings, catalog: published,
		jobs: make(map[string]*Job), workers: make(map[string]*Worker),
		usage: make(map[string]resource.Amount), teams: make(map[string]*bucket),
		shares: make(map[string]float64), refused: newRefusedJobs(), drains: make(map[string]*drain),
		health: health.New(), adviceLimits: AdviceLimits{Slow: 1, Quick: 2},
	}
}

// SetCatalog replaces the operators' configuration.
func (c *Cell) SetCatalog(published *catalog.Catalog) { c.catalog = published }

// Actions is what the shell has to do.
type Actions struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Asks   []Ask
	Notes  []Note
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Worker string
	RunKey
	Text       string
	Checkpoint string
	Ticket     string
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Worker string
	RunKey
}

// PaceOrder tells a worker to let a run work at a share of its speed, in percent.
type PaceOrder struct {
	Worker string
	RunKey
	Percent int
}

// Ask is a question to the advisory service.
type Ask struct {
	Step    string
	Queue   string
	Workers []string
	// Takes is how long the service needs for the answer, Decide the part of it that
	// doesn't depend on the number of workers.
	Takes  time.Duration
	Decide time.Duration
}

// Take returns the actions since the last call.
func (c *Cell) Take() Actions {
	a := c.actions
	c.actions = Actions{}
	return a
}

func (c *Cell) note(n Note) { c.actions.Notes = append(c.actions.Notes, n) }

// upstreamOf returns the service whose workers run the job's tasks now.
func (c *Cell) upstreamOf(job *Job) string {
	if q := c.catalog.Queue(job.Queue); q != nil {
		return q.Upstream
	}
	return job.Upstream
}

// capOf returns what the team may have running, and whether there is a bound.
func (c *Cell) capOf(team string) (resource.Amount, bool) {
	t := c.catalog.Team(team)
	if t == nil || t.Cap.IsZero() {
		return resource.Amount{}, false
	}
	return t.Cap, true
}

// withinCap reports whether the team may run more by need.
func (c *Cell) withinCap(team string, need resource.Amount) bool {
	limit, bounded := c.capOf(team)
	if !bounded {
		return true
	}
	next := c.usage[team].Add(need)
	return withinBound(next.MilliCPU, limit.MilliCPU) && withinBound(next.MemoryMB, limit.MemoryMB) &&
		withinBound(next.Accelerators, limit.Accelerators)
}

// withinBound reports whether value is at most bound; a bound of 0 is none.
func withinBound(value, bound int64) bool { return bound <= 0 || value <= bound }

func compareStrings(a, b string) int { return strings.Compare(a, b) }

// Troubled tells the cell for how long the table has taken no writes; 0 is that it
// takes them.
func (c *Cell) Troubled(since time.Duration) { c.troubled = since }

// outagePart is the part of the time that an outage has lasted after which callers are
// to come back: nothing tells more of how long it will last, and callers that come
// back each second have used up their tries before the end of a longer one.
const outagePart = 2

// OutageWait is when to come back after a refusal during an outage.
func OutageWait(lasted time.Duration) time.Duration { return retryAfter(lasted / outagePart) }

// Job returns a known job.
func (c *Cell) Job(id string) (*Job, bool) {
	j, ok := c.jobs[id]
	return j, ok
}

// StateOf returns what callers may know of an accepted job.
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

// Pending counts the queue's accepted jobs of which no task has started.
func (c *Cell) Pending(queue string) int {
	n := 0
	for _, j := range c.live {
		if j.Queue == queue && j.accepted && !j.started && !j.outcome.Ended() {
			n++
		}
	}
	return n
}

// Counts returns how many jobs, live jobs, workers and runs the cell knows.
func (c *Cell) Counts() (jobs, live, workers, runs int) {
	for _, w := range c.workers {
		runs += len(w.runs)
	}
	return len(c.jobs), len(c.live), len(c.workers), runs
}

// Tick does what is due by time alone: occurrences, stops to repeat, stuck runs,
// ended jobs to forget.
func (c *Cell) Tick(now time.Time) {
	for _, job := range c.live {
		if !job.outcome.Ended() && job.Repeat > 0 && job.accepted {
			c.openDue(now, job)
		}
	}
	for _, w := range c.workerOrder {
		c.tickWorker(now, w)
	}
	c.retire(now)
	c.explain(now)
}

func (c *Cell) openDue(now time.Time, job *Job) {
	before := len(job.occs)
	job.openOccurrences(now)
	if len(job.occs) > before {
		c.touch(job)
	}
}

func (c *Cell) tickWorker(now time.Time, w *Worker) {
	c.paceFilling(now, w)
	for _, r := range sortedRuns(w) {
		if r.task.done && r.task.step.spec.Gang && now.Sub(r.plannedAt) > r.task.step.spec.Estimate+gangLeftover && r.listedLong(now) {
			c.stopRun(now, r)
		}
		if r.stop.wanted && r.state != runPlanned && r.stop.answeredAt.IsZero() && now.Sub(r.stop.sentAt) >= stopRepeat {
			c.sendStop(now, r)
		}
		c.checkProgress(now, r)
	}
}

// gangLeftover is how long members of a gang that is done may still be listed.
const gangLeftover = 2 * time.Second

func (r *Run) listedLong(now time.Time) bool {
	return r.state == runListed && now.Sub(r.listedAt) > gangLeftover
}

// retire drops ended jobs after the time for which they can be asked for.
func (c *Cell) retire(now time.Time) {
	for id, j := range c.jobs {
		if j.shown.Ended() && j.live == 0 && !j.dirty && !j.inFlight && now.Sub(j.endedAt) > c.settings.KeepEnded {
			j.retired = true
			c.touch(c.jobs[id])
		}
	}
}
