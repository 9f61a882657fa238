package cluster

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Timings of a leadership.
const (
	// planPause batches events that arrive close together into one plan. The pause is at
	// least planRestFactor times the duration of the last plan, which leaves most of the
	// processor to client calls.
	planPause      = 8 * time.Millisecond
	planRestFactor = 3
	// tickPeriod is the interval of time-driven work.
	tickPeriod = 200 * time.Millisecond
	// commandTimeout bounds a command to a worker.
	commandTimeout = 600 * time.Millisecond
	// startWindow is how long after it was sent a start command may still take effect.
	startWindow = 1500 * time.Millisecond
	// refuseWorkAfter is how long writes may fail before new work is refused.
	refuseWorkAfter = 250 * time.Millisecond
	// refuseUnrecordedAfter is how long a job may wait for the first attempt to write its
	// record while the table fails, before the job is refused.
	refuseUnrecordedAfter = 200 * time.Millisecond
	// outcomeUnknownAfter is how long writes may fail before callers are answered that the
	// outcome of a pending write is unknown.
	outcomeUnknownAfter = 500 * time.Millisecond
	// recordTimeout bounds how long a caller waits for a record.
	recordTimeout = 1500 * time.Millisecond
	// noJobMaxAge is the maximum age of the last table contact at which the scheduler may
	// answer that a job does not exist.
	noJobMaxAge = 600 * time.Millisecond
	// extendWithoutTable is how long after the last table contact worker leases are still
	// extended if not every other entry sends heartbeats. An entry that has taken over
	// sends none.
	extendWithoutTable = 3 * time.Second
	// predecessorMargin is added to the upper bound of worker leases granted by an earlier
	// scheduler.
	predecessorMargin = 500 * time.Millisecond
)

// leadership is the period in which this entry schedules a cell.
type leadership struct {
	node  *Node
	fence uint64
	// timings are the settings in force when the leadership began.
	timings Timings
	began   time.Time
	// ctx ends with the leadership.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// calls counts the calls in progress, and is closed by a handover. released is closed
	// when the handover is complete.
	calls    *callGate
	released chan struct{}

	planSignal   chan struct{}
	recordSignal chan struct{}

	advisers *advisers
	relays   *relays
	polls    *pollRelays
	// relayHealth is shared by relays and polls.
	relayHealth *relayHealth

	mu   sync.Mutex
	cell *cell.Cell
	// entryAwaits counts how often the workers' entries were found too old.
	entryAwaits int
	// failed is set once a decision has panicked; the cell is half changed then.
	failed  bool
	workers map[string]*workerLoop

	tableMu sync.Mutex
	// tableContact is when the last successful call to the table was sent. failingSince is
	// zero while calls succeed.
	tableContact time.Time
	// tableHeard is when the last answer of the table arrived. Under load that is long after
	// tableContact.
	tableHeard   time.Time
	failingSince time.Time
	// tableRecovered is cancelled, through signalTableRecovered, when the table becomes
	// available again, and is then replaced.
	tableRecovered       context.Context
	signalTableRecovered context.CancelFunc
	// lastWrite is the duration of the last write. writes maps the batches in flight to
	// the time of their first attempt.
	lastWrite time.Duration
	writes    map[*cell.Batch]time.Time
	// writesStopped is set by a handover: no further write is sent.
	writesStopped bool
}

// newLeadership loads the cell's rows. The caller must hold the lease row at version
// fence.
func newLeadership(ctx context.Context, n *Node, fence uint64, since time.Time) (*leadership, error) {
	loader := cell.NewLoader(cell.Settings{KeepEnded: n.timings().KeepEnded, MaxRowBytes: n.config.MaxRowBytes, MemoryBytes: n.config.MemoryBytes})
	err := scanAll(ctx, n.config.Table, func(page []platform.Row) {
		for i := range page {
			loader.Add(page[i : i+1])
			for _, note := range loader.TakeNotes() {
				n.logNote(note)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	read := time.Now()
	loaded := loader.Cell()
	loaded.SetEvacuated(read, n.evacuated())
	r := &leadership{
		node: n, fence: fence, timings: n.timings(), began: since, cell: loaded,
		planSignal: make(chan struct{}, 1), recordSignal: make(chan struct{}, 1),
		workers: make(map[string]*workerLoop), tableContact: read, tableHeard: read, writes: make(map[*cell.Batch]time.Time),
		calls: newCallGate(), released: make(chan struct{}),
	}
	r.advisers = newAdvisers(r)
	r.relayHealth = newRelayHealth()
	r.relays = newRelays(r)
	r.polls = newPollRelays(r)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.tableRecovered, r.signalTableRecovered = context.WithCancel(context.Background())
	return r, nil
}

// scanPage is the number of rows read per scan.
const scanPage = 500

// scanAll calls add with the rows of the table, a page at a time, in the order of their keys.
func scanAll(ctx context.Context, table platform.Table, add func([]platform.Row)) error {
	after := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		page, err := table.Scan(pageCtx, "", after, scanPage)
		cancel()
		if err != nil {
			return err
		}
		if len(page) == 0 {
			return nil
		}
		add(page)
		after = page[len(page)-1].Key
	}
}

// run schedules until the leadership ends. The caller has added one to goroutines, so that
// whoever waits for them can't miss the loops.
func (r *leadership) run() {
	for _, loop := range []func(){r.planLoop, r.recordLoop, r.tickLoop, r.probeLoop, r.followDirectory, r.upkeepLoop, r.loadLoop} {
		r.goroutines.Add(1)
		go func() {
			defer r.goroutines.Done()
			defer r.endOnPanic()
			loop()
		}()
	}
	r.goroutines.Done()
	r.goroutines.Wait()
}

// endOnPanic, when deferred, ends the leadership if a loop panics outside of a decision.
func (r *leadership) endOnPanic() {
	if cause := recover(); cause != nil {
		r.node.log.Log(events.SchedulerFailed, r.fence, fmt.Sprint(cause), string(debug.Stack()))
		r.end()
	}
}

// end ends the leadership without waiting for its goroutines.
func (r *leadership) end() { r.cancel() }

// over reports whether the leadership has ended.
func (r *leadership) over() bool { return r.ctx.Err() != nil }

// change applies f to the cell under its lock, starts the resulting actions and wakes the
// plan and record loops.
func (r *leadership) change(f func(now time.Time, c *cell.Cell)) {
	r.startActions(r.decide(f))
	signal(r.planSignal)
	signal(r.recordSignal)
}

// decide applies f to the cell under its lock. If f panics, the leadership ends, since its cell is
// half changed: the next one reads the rows. The process goes on as a standby: whatever ends it would
// end the next scheduler, too.
func (r *leadership) decide(f func(now time.Time, c *cell.Cell)) cell.Actions {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed {
		return cell.Actions{}
	}
	defer func() {
		if cause := recover(); cause != nil {
			r.failed = true
			r.node.log.Log(events.SchedulerFailed, r.fence, fmt.Sprint(cause), string(debug.Stack()))
			r.end()
		}
	}()
	f(time.Now(), r.cell)
	return r.cell.TakeActions()
}

// signal wakes the loop that waits on c, unless a wake-up is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// startActions logs the cell's notes and starts its actions.
func (r *leadership) startActions(a cell.Actions) {
	for _, n := range a.Notes {
		r.node.logNote(n)
	}
	if r.over() {
		return
	}
	r.relays.start(a.Starts)
	for _, command := range a.Stops {
		go r.sendStop(command)
	}
	for _, command := range a.Paces {
		go r.sendPace(command)
	}
	for _, request := range a.AdviceRequests {
		r.advisers.request(request)
	}
}

func (r *leadership) planLoop() {
	pause := planPause
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.planSignal:
		}
		sleep(r.ctx, pause)
		if r.calls.isClosed() {
			// The successor plans anew.
			continue
		}
		var began time.Time
		actions := r.decide(func(now time.Time, c *cell.Cell) {
			began = now
			c.Plan(now)
		})
		pause = max(planPause, planRestFactor*time.Since(began))
		r.node.metrics.planTime.UpdateDuration(began)
		r.startActions(actions)
		signal(r.recordSignal)
	}
}

func (r *leadership) tickLoop() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		refusing := r.refusingFor()
		limits := adviceLimits(len(r.node.liveMembers()))
		decisionTime := r.node.lag.decisionTime()
		compress := r.node.allInflate()
		evacuated := r.node.evacuated()
		r.change(func(now time.Time, c *cell.Cell) {
			c.SetTableUnavailable(refusing)
			c.SetAdviceLimits(limits)
			c.SetDecisionTime(decisionTime)
			c.SetCompression(compress)
			c.SetEvacuated(now, evacuated)
			if refusing > 0 {
				c.RefuseUnrecorded(now.Add(-refuseUnrecordedAfter))
			}
			c.Tick(now)
			r.expireUnlisted(now, c)
			for _, id := range c.ForgetWorkers(now) {
				r.endWorker(id)
			}
		})
	}
}

// expireUnlisted ends the runs recorded on workers that the directory has not listed since
// this leadership began, once every lease granted by an earlier scheduler has expired.
func (r *leadership) expireUnlisted(now time.Time, c *cell.Cell) {
	if now.Before(r.predecessorsBound()) {
		return
	}
	for _, id := range c.Unlisted() {
		if r.workers[id] == nil {
			c.WorkerLeaseExpired(now, id)
		}
	}
}

// followDirectory runs a poll loop for every worker that the directory lists.
// maxEntryAge is how long the table may be silent before the workers' entries are too old to start by.
const maxEntryAge = 2500 * time.Millisecond

// followDirectory follows the directory, anew after each outage of the table: a call in progress may
// have been lost with it.
func (r *leadership) followDirectory() {
	for !r.over() {
		r.tableMu.Lock()
		recovered := r.tableRecovered
		r.tableMu.Unlock()
		r.mu.Lock()
		awaits := r.entryAwaits
		r.mu.Unlock()
		ctx, cancel := context.WithCancel(r.ctx)
		stop := context.AfterFunc(recovered, cancel)
		r.node.config.Directory.Follow(ctx, func(list []cell.WorkerInfo) { r.setWorkers(awaits, list) })
		stop()
		cancel()
	}
}

// setWorkers replaces the list of workers. awaits is entryAwaits when the directory was first read for
// it: what was renewed before the entries were found too old doesn't count.
func (r *leadership) setWorkers(awaits int, list []cell.WorkerInfo) {
	r.change(func(now time.Time, c *cell.Cell) {
		for i := range list {
			list[i].Renewed = list[i].Renewed && awaits == r.entryAwaits
		}
		c.SetWorkers(now, list)
		for _, info := range list {
			r.addWorker(info)
		}
	})
}

// awaitEntries keeps new work from each worker until it has written its entry again.
func (r *leadership) awaitEntries() {
	r.change(func(_ time.Time, c *cell.Cell) {
		r.entryAwaits++
		c.AwaitEntries()
	})
}

func (r *leadership) setCatalog(published *catalog.Catalog) {
	r.change(func(_ time.Time, c *cell.Cell) { c.SetCatalog(published) })
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
