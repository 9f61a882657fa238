package jobs

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
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

// world is the table, owners of one worker each, and the keeper at entry e0.
type world struct {
	*tasks.Client
	table   *fakeTable
	runTime time.Duration
	// startDelay is how long a worker takes to start a task.
	startDelay time.Duration
	// beforeStart is asked when a start call is sent, afterStart when it was
	// answered.
	beforeStart func()
	afterStart  func() error
	owners      map[string]*tasks.Owner
	workers     map[string]*fakeWorker
	stops       map[string]context.CancelFunc
	// epoch is the last that a block was owned under.
	epoch uint64

	mu sync.Mutex
	// full has owners refuse all reservations.
	full bool
	// loseStarts is how many start calls are answered as unknown.
	loseStarts int
	acked      map[string]bool
	violations []string
	firstStart map[string]time.Time
	lastStart  map[string]time.Time
	starts     int
	keeper     *Keeper
}

// unlimited is a team's allotment without bound.
type unlimited struct{}

func (unlimited) Take(string, resource.Amount) bool { return true }
func (unlimited) Force(string, resource.Amount)     {}
func (unlimited) Give(string, resource.Amount)      {}

// entry is the right of one entry to the block of its worker.
type entry ownership.Grant

func (e entry) MayHandOver(block string) (ownership.Grant, bool) {
	return ownership.Grant(e), block == e.Block
}

func (e entry) Owned() []ownership.Grant { return []ownership.Grant{ownership.Grant(e)} }

func (e entry) OwnerOf(string) (address, instance string, ok bool) { return "", "", false }

func newWorld(ctx context.Context, owners, cpus int) *world {
	w := &world{
		table:      &fakeTable{rows: make(map[string]platform.Row)},
		runTime:    time.Second,
		startDelay: 20 * time.Millisecond,
		owners:     make(map[string]*tasks.Owner),
		stops:      make(map[string]context.CancelFunc),
		workers:    make(map[string]*fakeWorker),
		acked:      make(map[string]bool),
		firstStart: make(map[string]time.Time),
		lastStart:  make(map[string]time.Time),
	}
	for i := range owners {
		w.addOwner(ctx, fmt.Sprintf("e%d", i), cpus)
	}
	w.Client = &tasks.Client{Caller: w}
	return w
}

// addOwner adds an owner, or stops the one of that name and starts it anew; the
// worker stays.
func (w *world) addOwner(ctx context.Context, name string, cpus int) {
	if stop := w.stops[name]; stop != nil {
		stop()
	}
	ctx, w.stops[name] = context.WithCancel(ctx)
	w.epoch++
	e := entry{Block: "block-" + name, Epoch: w.epoch}
	f := w.workers[name]
	if f == nil {
		f = &fakeWorker{world: w, runs: make(map[worker.TaskRef]*fakeRun)}
	}
	o := tasks.NewOwner(tasks.Config{
		Owners: e, Book: capacity.NewBook(), Allotments: unlimited{}, Keepers: w, Choose: tasks.NewChooser().Choose,
		Dial:    func(platform.Instance) worker.Client { return f },
		BlockOf: func(platform.Instance) string { return e.Block },
		Lease:   9 * time.Second, Margin: 3 * time.Second, CallTimeout: 2 * time.Second,
	})
	w.do(func() {
		w.workers[name] = f
		w.owners[name] = o
	})
	o.Sync(ctx, []platform.Instance{{
		Name: "worker-" + name, Role: platform.RoleWorker, Capacity: resource.Amount{MilliCPU: int64(cpus)},
	}})
	go o.Run(ctx)
}

// check notes what must not happen when an attempt starts.
func (w *world) check(s worker.StartTask) {
	job := tasks.JobOf(s.Task)
	if w.acked[job] {
		w.violations = append(w.violations, s.Task+" started after its cancellation was acknowledged")
	}
	for _, f := range w.workers {
		f.advance()
		for ref, r := range f.runs {
			if ref.Task == s.Task && r.state == worker.TaskRunning {
				w.violations = append(w.violations, fmt.Sprintf("%s runs twice: attempts %d and %d", s.Task, ref.Attempt, s.Attempt))
			}
		}
	}
	w.starts++
	if w.firstStart[job].IsZero() {
		w.firstStart[job] = time.Now()
	}
	w.lastStart[job] = time.Now()
}

func (w *world) Owners() []OwnerInfo {
	var owners map[string]*tasks.Owner
	w.do(func() { owners = maps.Clone(w.owners) })
	var infos []OwnerInfo
	for name, o := range owners {
		infos = append(infos, OwnerInfo{Peer: tasks.Peer{Instance: name, Address: name}, Free: o.Book.Free()})
	}
	return infos
}

// OwnerOf takes the block of a worker for the name of its owner; all shards are
// kept at e0.
func (w *world) OwnerOf(block string) (address, instance string, ok bool) {
	name, isWorker := strings.CutPrefix(block, "block-")
	if !isWorker {
		name = "e0"
	}
	return name, name, true
}

// Call carries a call to an entry as JSON.
func (w *world) Call(ctx context.Context, address, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	var o *tasks.Owner
	w.do(func() { o = w.owners[address] })
	handler := o.Handlers()[method]
	if handler == nil {
		handler = w.current().Handlers()[method]
	}
	reply, err := handler(ctx, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (w *world) current() (k *Keeper) {
	w.do(func() { k = w.keeper })
	return k
}

func (w *world) Report(ctx context.Context, events []tasks.Event) (tasks.ReportReply, error) {
	return w.current().Report(ctx, events), nil
}

func (w *world) Reserve(ctx context.Context, to tasks.Peer, r tasks.ReserveRequest) (tasks.ReserveReply, error) {
	var full bool
	w.do(func() { full = w.full })
	if full {
		return tasks.ReserveReply{Limit: tasks.LimitCapacity}, nil
	}
	return w.Client.Reserve(ctx, to, r)
}

func (w *world) Start(ctx context.Context, to tasks.Peer, r tasks.StartRequest) (tasks.Outcomes, error) {
	if w.beforeStart != nil {
		w.beforeStart()
	}
	reply, err := w.Client.Start(ctx, to, r)
	if w.afterStart != nil {
		err = w.afterStart()
	}
	w.do(func() {
		if w.loseStarts > 0 {
			w.loseStarts--
			err = errLost
		}
	})
	return reply, err
}

// leaked counts what the owners still hold.
func (w *world) leaked() int64 {
	var sum int64
	for _, o := range w.owners {
		for _, u := range o.Book.TeamUsage() {
			sum += u.Amount.MilliCPU
		}
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
		"batch": {Name: "batch", Policy: version.PolicyBatch, Amount: resource.Amount{MilliCPU: 1}, Attempts: 3, RunTime: time.Second},
		"gang":  {Name: "gang", Policy: version.PolicyAllAtOnce, Amount: resource.Amount{MilliCPU: 1}, Attempts: 3, RunTime: time.Second},
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
	k := NewKeeper(w.config(func(s string) (platform.Condition, bool) { return fences[s], true }))
	k.policy = p
	for name := range fences {
		assert.NilError(t, k.Gain(ctx, name))
	}
	w.do(func() { w.keeper = k })
	go k.Run(ctx)
	return k
}

func (w *world) config(fence func(string) (platform.Condition, bool)) Config {
	return Config{
		Instance: "e0", Table: w.table, Directory: w, Fleet: w, Workers: w, Fence: fence,
		Snapshot:    func() *version.Snapshot { return testSnapshot },
		CallTimeout: 2 * time.Second, Retention: time.Hour,
	}
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
		j, err := w.current().Get(context.Background(), team, id)
		return err == nil && j.Ended
	}
}

// endedOf counts the team's ended jobs.
func (w *world) endedOf(team string) int {
	n := 0
	for _, j := range w.current().List(context.Background(), team) {
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
