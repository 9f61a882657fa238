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

// simulation is the table, owners of one worker each, and the coordinator at entry e0.
type simulation struct {
	*tasks.Client
	table   *fakeTable
	runTime time.Duration
	// startDelay is the time that a worker needs to start a task.
	startDelay time.Duration
	// beforeStart is called before a start call is sent, afterStart after its
	// reply.
	beforeStart func()
	afterStart  func() error
	owners      map[string]*tasks.Owner
	workers     map[string]*fakeWorker
	stopOwner   map[string]context.CancelFunc
	// epoch is the latest epoch of any block.
	epoch uint64

	mu sync.Mutex
	// full makes owners refuse all reservations.
	full bool
	// lostStarts is how many start calls return an unknown outcome.
	lostStarts  int
	cancelled   map[string]bool
	violations  []string
	firstStart  map[string]time.Time
	lastStart   map[string]time.Time
	starts      int
	coordinator *Coordinator
}

// unlimited is an allotment without a limit.
type unlimited struct{}

func (unlimited) TryAcquire(string, resource.Amount) bool { return true }
func (unlimited) ForceAcquire(string, resource.Amount)    {}
func (unlimited) Release(string, resource.Amount)         {}

// blockLease is the lease of one entry on the block of its worker.
type blockLease ownership.Grant

func (l blockLease) HoldsLease(block string) (ownership.Grant, bool) {
	return ownership.Grant(l), block == l.Block
}

func (l blockLease) Owned() []ownership.Grant { return []ownership.Grant{ownership.Grant(l)} }

func (l blockLease) OwnerOf(string) (address, instance string, ok bool) { return "", "", false }

func newSimulation(ctx context.Context, owners, cpus int) *simulation {
	w := &simulation{
		table:      &fakeTable{rows: make(map[string]platform.Row)},
		runTime:    time.Second,
		startDelay: 20 * time.Millisecond,
		owners:     make(map[string]*tasks.Owner),
		stopOwner:  make(map[string]context.CancelFunc),
		workers:    make(map[string]*fakeWorker),
		cancelled:  make(map[string]bool),
		firstStart: make(map[string]time.Time),
		lastStart:  make(map[string]time.Time),
	}
	for i := range owners {
		w.addOwner(ctx, fmt.Sprintf("e%d", i), cpus)
	}
	w.Client = &tasks.Client{Caller: w}
	return w
}

// addOwner adds an owner or restarts the one of that name. Its worker is not
// restarted.
func (w *simulation) addOwner(ctx context.Context, name string, cpus int) {
	if stop := w.stopOwner[name]; stop != nil {
		stop()
	}
	ctx, w.stopOwner[name] = context.WithCancel(ctx)
	w.epoch++
	l := blockLease{Block: "block-" + name, Epoch: w.epoch}
	f := w.workers[name]
	if f == nil {
		f = &fakeWorker{sim: w, runs: make(map[worker.TaskRef]*fakeRun)}
	}
	o := tasks.NewOwner(tasks.Config{
		Owners: l, Capacity: capacity.NewTracker(), Allotments: unlimited{}, Coordinators: w, Choose: tasks.NewChooser().Choose,
		Dial:    func(platform.Instance) worker.Client { return f },
		BlockOf: func(platform.Instance) string { return l.Block },
		Lease:   9 * time.Second, Margin: 3 * time.Second, CallTimeout: 2 * time.Second,
	})
	w.locked(func() {
		w.workers[name] = f
		w.owners[name] = o
	})
	o.Sync(ctx, []platform.Instance{{
		Name: "worker-" + name, Role: platform.RoleWorker, Capacity: resource.Amount{MilliCPU: int64(cpus)},
	}})
	go o.Run(ctx)
}

// check records violations when an attempt starts.
func (w *simulation) check(s worker.StartTask) {
	job := tasks.JobOf(s.Task)
	if w.cancelled[job] {
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

func (w *simulation) Owners() []OwnerInfo {
	var owners map[string]*tasks.Owner
	w.locked(func() { owners = maps.Clone(w.owners) })
	var infos []OwnerInfo
	for name, o := range owners {
		infos = append(infos, OwnerInfo{Peer: tasks.Peer{Instance: name, Address: name}, Free: o.Capacity.Free()})
	}
	return infos
}

// OwnerOf returns the owner in the name of a worker's block. All shards are owned by
// e0.
func (w *simulation) OwnerOf(block string) (address, instance string, ok bool) {
	name, isWorker := strings.CutPrefix(block, "block-")
	if !isWorker {
		name = "e0"
	}
	return name, name, true
}

// Call passes a call to an entry, encoded as JSON.
func (w *simulation) Call(ctx context.Context, address, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	var o *tasks.Owner
	w.locked(func() { o = w.owners[address] })
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

func (w *simulation) current() (c *Coordinator) {
	w.locked(func() { c = w.coordinator })
	return c
}

func (w *simulation) Report(ctx context.Context, events []tasks.Event) (tasks.ReportReply, error) {
	return w.current().Report(ctx, events), nil
}

func (w *simulation) Reserve(ctx context.Context, to tasks.Peer, r tasks.ReserveRequest) (tasks.ReserveReply, error) {
	var full bool
	w.locked(func() { full = w.full })
	if full {
		return tasks.ReserveReply{Limit: tasks.LimitCapacity}, nil
	}
	return w.Client.Reserve(ctx, to, r)
}

func (w *simulation) Start(ctx context.Context, to tasks.Peer, r tasks.StartRequest) (tasks.Outcomes, error) {
	if w.beforeStart != nil {
		w.beforeStart()
	}
	reply, err := w.Client.Start(ctx, to, r)
	if w.afterStart != nil {
		err = w.afterStart()
	}
	w.locked(func() {
		if w.lostStarts > 0 {
			w.lostStarts--
			err = errNoReply
		}
	})
	return reply, err
}

// leaked returns the amount that is in use at all owners, in MilliCPU.
func (w *simulation) leaked() int64 {
	var sum int64
	for _, o := range w.owners {
		for _, u := range o.Capacity.TeamUsage() {
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

// takeOver starts a coordinator that takes over all shards by writing their fence rows.
func (w *simulation) takeOver(ctx context.Context, t *testing.T, opts unsafeOptions) *Coordinator {
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
	c := NewCoordinator(w.config(func(s string) (platform.Condition, bool) { return fences[s], true }))
	c.unsafe = opts
	for name := range fences {
		assert.NilError(t, c.LoadShard(ctx, name))
	}
	w.locked(func() { w.coordinator = c })
	go c.Run(ctx)
	return c
}

func (w *simulation) config(fence func(string) (platform.Condition, bool)) Config {
	return Config{
		Instance: "e0", Table: w.table, Directory: w, Fleet: w, Workers: w, Fence: fence,
		Snapshot:    func() *version.Snapshot { return testSnapshot },
		CallTimeout: 2 * time.Second, Retention: time.Hour,
	}
}

var errNoReply = fmt.Errorf("no reply: %w", peer.ErrUnknown)

// waitFor polls ok in virtual time until it returns true.
func waitFor(t *testing.T, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

func (w *simulation) ended(team, id string) func() bool {
	return func() bool {
		j, err := w.current().Get(context.Background(), team, id)
		return err == nil && j.Ended
	}
}

// endedOf counts the team's ended jobs.
func (w *simulation) endedOf(team string) int {
	n := 0
	for _, j := range w.current().List(context.Background(), team) {
		if j.Ended {
			n++
		}
	}
	return n
}

// locked runs f with the locks of the simulation and its table.
func (w *simulation) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	f()
}

func (w *simulation) commits() (n int) {
	w.locked(func() { n = w.table.commits })
	return n
}

func (w *simulation) violationList() (list []string) {
	w.locked(func() { list = slices.Clone(w.violations) })
	return list
}
