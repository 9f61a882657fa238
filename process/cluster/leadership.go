package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// Timings of a leadership.
const (
	// planPause gathers events that come close together into one plan; planRest
	// times what the last plan took is the least pause, so that planning leaves most
	// of the processor to the calls.
	planPause = 4 * time.Millisecond
	planRest  = 3
	// tickEvery is the period of what is due by time alone.
	tickEvery = 200 * time.Millisecond
	// orderTimeout bounds an order to a worker.
	orderTimeout = 600 * time.Millisecond
	// startWindow is how long an order to start may be under way.
	startWindow = 1500 * time.Millisecond
	// troubledAfter is how long writes may fail before new work is refused.
	troubledAfter = 250 * time.Millisecond
	// forgetUnwritten is how long a job may wait for its record to be tried.
	forgetUnwritten = 200 * time.Millisecond
	// unknownAfter is how long writes may fail before callers hear that the outcome of
	// one under way is unknown.
	unknownAfter = 500 * time.Millisecond
	// recordTimeout bounds how long a caller waits for a record.
	recordTimeout = 1500 * time.Millisecond
	// freshFor is how recent the table's answer must be to deny that a job exists.
	freshFor = 600 * time.Millisecond
	// extendWithoutTable is how long leases are extended without the table and
	// without every other entry's heartbeat: one that took over sends none.
	extendWithoutTable = 3 * time.Second
	// predecessorMargin is added to the bound of leases of an earlier scheduler.
	predecessorMargin = 500 * time.Millisecond
)

// leadership is the time in which this entry schedules a cell.
type leadership struct {
	node  *Node
	fence uint64
	// timings are those in force when the leadership began.
	timings Timings
	began   time.Time
	// ctx ends with the leadership.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	kick   chan struct{}
	record chan struct{}

	advisers *advisers

	mu      sync.Mutex
	cell    *cell.Cell
	workers map[string]*workerLoop

	storeMu sync.Mutex
	// storeAt is when the last successful call to the table was sent; failingSince
	// is zero while calls succeed.
	storeAt      time.Time
	failingSince time.Time
	// returned ends, by tableReturns, when the table answers again; then it is replaced.
	returned     context.Context
	tableReturns context.CancelFunc
	// lastWrite is how long the last write took; writes are the batches under way and
	// when each was sent first.
	lastWrite time.Duration
	writes    map[*cell.Batch]time.Time
}

// newLeadership loads the cell's rows; the lease row must be this entry's at version
// fence.
func newLeadership(ctx context.Context, n *Node, fence uint64, since time.Time) (*leadership, error) {
	rows, err := scanAll(ctx, n.config.Table)
	if err != nil {
		return nil, err
	}
	read := time.Now()
	loaded, err := cell.Load(cell.Settings{KeepEnded: n.timings().KeepEnded}, rows)
	if err != nil {
		return nil, err
	}
	loaded.SetCatalog(n.catalog())
	r := &leadership{
		node: n, fence: fence, timings: n.timings(), began: since, cell: loaded,
		kick: make(chan struct{}, 1), record: make(chan struct{}, 1),
		workers: make(map[string]*workerLoop), storeAt: read, writes: make(map[*cell.Batch]time.Time),
	}
	r.advisers = newAdvisers(r)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.returned, r.tableReturns = context.WithCancel(context.Background())
	return r, nil
}

// scanPage is the number of rows read at a time.
const scanPage = 500

func scanAll(ctx context.Context, table platform.Table) ([]platform.Row, error) {
	var all []platform.Row
	after := ""
	for {
		page, err := table.Scan(ctx, "", after, scanPage)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		after = page[len(page)-1].Key
	}
}

// run schedules until the leadership ends.
func (r *leadership) run() {
	for _, loop := range []func(){r.planLoop, r.recordLoop, r.tickLoop, r.probeLoop, r.followDirectory, r.upkeepLoop} {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			loop()
		}()
	}
	r.tasks.Wait()
}

// end ends the leadership; it doesn't wait.
func (r *leadership) end() { r.cancel() }

// over reports whether the leadership has ended.
func (r *leadership) over() bool { return r.ctx.Err() != nil }

// change runs f on the cell under its lock, carries out what follows from it and
// lets the loops look again.
func (r *leadership) change(f func(now time.Time, c *cell.Cell)) {
	r.mu.Lock()
	f(time.Now(), r.cell)
	actions := r.cell.Take()
	r.mu.Unlock()
	r.carryOut(actions)
	signal(r.kick)
	signal(r.record)
}

// signal wakes the loop that waits on c, if it isn't about to look anyway.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// carryOut starts what the cell decided.
func (r *leadership) carryOut(a cell.Actions) {
	for _, n := range a.Notes {
		r.node.logNote(n)
	}
	if r.over() {
		return
	}
	for _, order := range a.Starts {
		go r.sendStart(order)
	}
	for _, order := range a.Stops {
		go r.sendStop(order)
	}
	for _, order := range a.Paces {
		go r.sendPace(order)
	}
	for _, ask := range a.Asks {
		r.advisers.ask(ask)
	}
}

func (r *leadership) planLoop() {
	pause := planPause
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.kick:
		}
		sleep(r.ctx, pause)
		r.mu.Lock()
		began := time.Now()
		r.cell.Plan(began)
		actions := r.cell.Take()
		r.mu.Unlock()
		pause = max(planPause, planRest*time.Since(began))
		r.node.metrics.planTime.UpdateDuration(began)
		r.carryOut(actions)
		signal(r.record)
	}
}

func (r *leadership) tickLoop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		refusing := r.refusingFor()
		lanes := lanesOf(len(r.node.liveMembers()))
		r.change(func(now time.Time, c *cell.Cell) {
			c.Troubled(refusing)
			c.SetLanes(lanes)
			if refusing > 0 {
				c.Forget(now.Add(-forgetUnwritten))
			}
			c.Tick(now)
			r.lapseUnlisted(now, c)
			for _, id := range c.ForgetWorkers(now) {
				r.endWorker(id)
			}
		})
	}
}

// lapseUnlisted gives up runs recorded on workers that the directory didn't list
// since this leadership began, once no earlier scheduler's lease can hold there.
func (r *leadership) lapseUnlisted(now time.Time, c *cell.Cell) {
	if now.Before(r.predecessorsBound()) {
		return
	}
	for _, id := range c.Unlisted() {
		if r.workers[id] == nil {
			c.WorkerLapsed(now, id)
		}
	}
}

// followDirectory keeps a loop for every worker that the directory lists.
func (r *leadership) followDirectory() {
	r.node.config.Directory.Follow(r.ctx, func(list []cell.WorkerInfo) {
		r.change(func(now time.Time, c *cell.Cell) {
			c.SetWorkers(now, list)
			for _, info := range list {
				r.addWorker(info)
			}
		})
	})
}

func (r *leadership) setCatalog(published *catalog.Catalog) {
	r.change(func(_ time.Time, c *cell.Cell) { c.SetCatalog(published) })
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
