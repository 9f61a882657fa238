package jobs

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/version"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fakeTable keeps rows in memory. before is asked ahead of each commit.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	commits int
	before  func(platform.Txn)
	down    bool
	// loseAnswers is how many commits take effect and are answered as unknown.
	loseAnswers int
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Row{}, false, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	return row, ok, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(x, y platform.Row) int { return strings.Compare(x.Key, y.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	f.mu.Lock()
	before := f.before
	f.mu.Unlock()
	if before != nil {
		before(txn)
	}
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if f.down {
		return 0, platform.ErrUnavailable
	}
	for _, c := range txn.Conditions {
		if have := f.rows[c.Key].Version; have != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: have}
		}
	}
	f.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.version, Value: w.Value}
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return 0, platform.ErrUnknown
	}
	return f.version, nil
}

// fakeOwner is an entry with one worker. started attempts that have a
// reservation run for the run time of the world.
type fakeOwner struct {
	reserved map[worker.TaskRef]time.Time
	starting map[worker.TaskRef]bool
	running  map[worker.TaskRef]bool
	ended    map[worker.TaskRef]tasks.Event
	capacity int
}

func (o *fakeOwner) used() int {
	return len(o.reserved) + len(o.starting) + len(o.running) + len(o.ended)
}

// world is everything around keepers. It checks that no task runs twice and
// that none starts after its job's cancellation was acknowledged.
type world struct {
	table   *fakeTable
	runTime time.Duration
	// startDelay is how long a worker takes to start a task.
	startDelay time.Duration
	// full has owners refuse all reservations.
	full bool
	// beforeStart is asked when a start call arrives, afterStart when it is
	// about to be answered.
	beforeStart func()
	afterStart  func() error

	mu         sync.Mutex
	owners     map[string]*fakeOwner
	acked      map[string]bool
	violations []string
	firstStart map[string]time.Time
	lastStart  map[string]time.Time
	starts     int
	keeper     *Keeper
	ctx        context.Context
}

func newWorld(owners, capacity int) *world {
	w := &world{
		table:      &fakeTable{rows: make(map[string]platform.Row)},
		runTime:    time.Second,
		startDelay: 20 * time.Millisecond,
		owners:     make(map[string]*fakeOwner),
		acked:      make(map[string]bool),
		firstStart: make(map[string]time.Time),
		lastStart:  make(map[string]time.Time),
	}
	for i := range owners {
		w.owners[fmt.Sprintf("e%d", i)] = &fakeOwner{
			reserved: make(map[worker.TaskRef]time.Time),
			starting: make(map[worker.TaskRef]bool),
			running:  make(map[worker.TaskRef]bool),
			ended:    make(map[worker.TaskRef]tasks.Event),
			capacity: capacity,
		}
	}
	return w
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) Owners() []OwnerInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	var infos []OwnerInfo
	for name, o := range w.owners {
		all := resource.Amount{Running: 1 << 40, MilliCPU: int64(o.capacity)}
		free := resource.Amount{Running: 1 << 40, MilliCPU: int64(o.capacity - o.used())}
		infos = append(infos, OwnerInfo{Peer: tasks.Peer{Instance: name}, Free: capacity.Summary{
			Workers: 1, Total: free, Largest: free, LargestCapacity: all, TotalCapacity: all,
		}})
	}
	return infos
}

// OwnerOf takes the block of a worker for the name of its owner.
func (w *world) OwnerOf(block string) (address, instance string, ok bool) {
	return "", strings.TrimPrefix(block, "block-"), true
}

func (w *world) Reserve(_ context.Context, to tasks.Peer, r tasks.ReserveRequest) (tasks.ReserveReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.owners[to.Instance]
	for ref, until := range o.reserved {
		if time.Now().After(until) {
			delete(o.reserved, ref)
		}
	}
	var reply tasks.ReserveReply
	for _, ref := range r.Refs {
		if w.full || o.used() >= o.capacity {
			reply.Limit = tasks.LimitCapacity
			break
		}
		o.reserved[ref] = time.Now().Add(r.For)
		reply.Reservations = append(reply.Reservations, tasks.Reservation{
			Located: tasks.Located{TaskRef: ref, Worker: "worker-" + to.Instance}, Block: "block-" + to.Instance, Epoch: 1,
		})
	}
	return reply, nil
}

func (w *world) Start(_ context.Context, to tasks.Peer, r tasks.StartRequest) (tasks.Outcomes, error) {
	if w.beforeStart != nil {
		w.beforeStart()
	}
	o := w.owners[to.Instance]
	var reply tasks.Outcomes
	for _, s := range r.Starts {
		reply.Outcomes = append(reply.Outcomes, w.claim(o, s.Ref()))
	}
	w.mu.Lock()
	delay := w.startDelay
	w.mu.Unlock()
	time.Sleep(delay)
	for _, s := range r.Starts {
		w.run(o, s.Ref())
	}
	if w.afterStart != nil {
		return reply, w.afterStart()
	}
	return reply, nil
}

func (w *world) claim(o *fakeOwner, ref worker.TaskRef) tasks.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, ok := o.reserved[ref]
	delete(o.reserved, ref)
	if !ok || time.Now().After(until) {
		return tasks.Outcome{Ref: ref, State: tasks.StateAbsent}
	}
	o.starting[ref] = true
	return tasks.Outcome{Ref: ref, State: tasks.StateRunning}
}

func (w *world) run(o *fakeOwner, ref worker.TaskRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !o.starting[ref] {
		return
	}
	job := tasks.JobOf(ref.Task)
	if w.acked[job] {
		w.violate("%s started after its cancellation was acknowledged", ref.Task)
	}
	for name, other := range w.owners {
		for running := range other.running {
			if running.Task == ref.Task {
				w.violate("%s runs twice: attempt %d at %s", ref.Task, running.Attempt, name)
			}
		}
	}
	delete(o.starting, ref)
	o.running[ref] = true
	w.starts++
	if w.firstStart[job].IsZero() {
		w.firstStart[job] = time.Now()
	}
	w.lastStart[job] = time.Now()
	if w.runTime > 0 {
		go func() {
			time.Sleep(w.runTime)
			w.end(o, ref, worker.TaskDone)
		}()
	}
}

// end ends an attempt and reports it until the keeper has recorded it.
func (w *world) end(o *fakeOwner, ref worker.TaskRef, state worker.TaskState) {
	w.mu.Lock()
	if !o.running[ref] {
		w.mu.Unlock()
		return
	}
	delete(o.running, ref)
	event := tasks.Event{Located: tasks.Located{TaskRef: ref}, State: state}
	o.ended[ref] = event
	ctx := w.ctx
	w.mu.Unlock()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, 5*time.Second)
		w.mu.Lock()
		keeper := w.keeper
		w.mu.Unlock()
		reply := keeper.Report(call, []tasks.Event{event})
		cancel()
		if len(reply.Recorded) == 1 {
			w.mu.Lock()
			delete(o.ended, ref)
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
}

func (w *world) Cancel(_ context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error) {
	o := w.owners[to.Instance]
	for _, at := range r.Attempts {
		go w.end(o, at.TaskRef, worker.TaskStopped)
	}
	return w.Status(context.Background(), to, r)
}

func (w *world) Status(_ context.Context, to tasks.Peer, r tasks.AttemptsRequest) (tasks.Outcomes, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.owners[to.Instance]
	var reply tasks.Outcomes
	for _, at := range r.Attempts {
		outcome := tasks.Outcome{Ref: at.TaskRef, State: tasks.StateAbsent}
		if event, ended := o.ended[at.TaskRef]; ended {
			outcome = tasks.Outcome{Ref: at.TaskRef, State: tasks.StateEnded, Event: &event}
		} else if o.running[at.TaskRef] {
			outcome.State = tasks.StateRunning
		} else if o.starting[at.TaskRef] {
			outcome.State = tasks.StateUnknown
		}
		delete(o.reserved, at.TaskRef)
		reply.Outcomes = append(reply.Outcomes, outcome)
	}
	return reply, nil
}

func (w *world) Release(_ context.Context, to tasks.Peer, r tasks.AttemptsRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range r.Attempts {
		delete(w.owners[to.Instance].reserved, at.TaskRef)
	}
	return nil
}

// leaked counts what the owners still hold.
func (w *world) leaked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, o := range w.owners {
		sum += o.used()
	}
	return sum
}

var testSnapshot = &version.Snapshot{
	Number: 1,
	Teams: map[string]*version.Team{
		"a": {Name: "a", Share: 1, Limit: resource.Amount{Running: version.NoLimit, MilliCPU: version.NoLimit}},
		"b": {Name: "b", Share: 3, Limit: resource.Amount{Running: version.NoLimit, MilliCPU: version.NoLimit}},
	},
	Kinds: map[string]*version.Kind{
		"batch": {Name: "batch", Policy: version.PolicyBatch, Amount: resource.Amount{MilliCPU: 1}, Attempts: 3},
		"gang":  {Name: "gang", Policy: version.PolicyAllAtOnce, Amount: resource.Amount{MilliCPU: 1}, Attempts: 3},
	},
}

// takeOver starts a keeper that takes all shards by writing their fence rows.
func (w *world) takeOver(ctx context.Context, t *testing.T, p policy) *Keeper {
	t.Helper()
	fences := make(map[string]platform.Condition)
	for _, name := range ownership.Shards() {
		row, _, _ := w.table.Get(ctx, "block/"+name)
		txn := platform.Txn{
			Conditions: []platform.Condition{{Key: "block/" + name, Version: row.Version}},
			Writes:     []platform.Write{{Key: "block/" + name, Value: []byte("owner")}},
		}
		v, err := w.table.Commit(ctx, txn)
		assert.NilError(t, err)
		fences[name] = platform.Condition{Key: "block/" + name, Version: v}
	}
	k := NewKeeper(Config{
		Instance: "e0", Table: w.table, Directory: w, Fleet: w, Workers: w,
		Fence:       func(s string) (platform.Condition, bool) { return fences[s], true },
		Snapshot:    func() *version.Snapshot { return testSnapshot },
		CallTimeout: 2 * time.Second, Retention: time.Hour,
	})
	k.policy = p
	for name := range fences {
		assert.NilError(t, k.Gain(ctx, name))
	}
	w.do(func() { w.keeper, w.ctx = k, ctx })
	go k.Run(ctx)
	return k
}

var errLost = fmt.Errorf("lost: %w", peer.ErrUnknown)

// waitFor polls in virtual time.
func waitFor(t *testing.T, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

func (w *world) ended(team, id string) func() bool {
	return func() bool {
		j, err := w.keeper.Get(context.Background(), team, id)
		return err == nil && j.Ended
	}
}

// endedOf counts the team's ended jobs.
func (w *world) endedOf(team string) int {
	n := 0
	for _, j := range w.keeper.List(context.Background(), team) {
		if j.Ended {
			n++
		}
	}
	return n
}

// do changes the world while nothing looks at it.
func (w *world) do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	f()
}

func (w *world) commits() (n int) {
	w.do(func() { n = w.table.commits })
	return n
}

func (w *world) violated() (list []string) {
	w.do(func() { list = slices.Clone(w.violations) })
	return list
}
