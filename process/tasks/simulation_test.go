package tasks

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testLease = 9 * time.Second

// fakeAllotments counts the amounts in use, without a limit.
type fakeAllotments struct {
	mu   sync.Mutex
	used int64
}

func (a *fakeAllotments) TryAcquire(_ string, amount resource.Amount) bool {
	a.ForceAcquire("", amount)
	return true
}

func (a *fakeAllotments) ForceAcquire(_ string, amount resource.Amount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used += amount.MilliCPU
}

func (a *fakeAllotments) Release(_ string, amount resource.Amount) {
	a.ForceAcquire("", amount.Times(-1))
}

func (a *fakeAllotments) sum() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// simulation is two owners, four workers (one per block) and a minimal coordinator
// that restarts a task only when its last attempt has ended or is absent.
type simulation struct {
	ctx       context.Context
	workers   []*fakeWorker
	instances []platform.Instance
	owners    map[string]*Owner
	teams     map[string]*fakeAllotments

	mu      sync.Mutex
	ownerOf map[string]string
	epochs  map[string]uint64
	// assumedEpochs holds, per owner, the blocks that it treats as its own and their
	// epochs, including blocks that it has lost without detecting it yet.
	assumedEpochs map[string]map[string]uint64
	tasks         map[string]*simTask
}

type simTask struct {
	attempt int
	at      Reservation
	// open is set while the last attempt may be running.
	open bool
	done bool
	// owner is the owner that has confirmed the attempt as running.
	owner string
}

// fakeOwners implements ownership.Owners for one entry.
type fakeOwners struct {
	*simulation
	name string
}

func (r fakeOwners) HoldsLease(block string) (ownership.Grant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ownership.Grant{Block: block, Epoch: r.epochs[block]}, r.ownerOf[block] == r.name
}

func (r fakeOwners) Owned() []ownership.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	var owned []ownership.Grant
	for block, epoch := range r.assumedEpochs[r.name] {
		owned = append(owned, ownership.Grant{Block: block, Epoch: epoch})
	}
	return owned
}

func (r fakeOwners) OwnerOf(block string) (address, instance string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return "", r.ownerOf[block], true
}

func newSimulation(ctx context.Context, opts unsafeOptions) *simulation {
	w := &simulation{
		ctx: ctx, owners: make(map[string]*Owner), teams: make(map[string]*fakeAllotments),
		ownerOf: make(map[string]string), epochs: make(map[string]uint64),
		assumedEpochs: map[string]map[string]uint64{"A": {}, "B": {}}, tasks: make(map[string]*simTask),
	}
	for i, owner := range []string{"A", "A", "B", "B"} {
		name := fmt.Sprintf("w%d", i)
		w.workers = append(w.workers, &fakeWorker{
			name: name, runs: make(map[worker.TaskRef]*fakeRun), partitioned: make(map[string]bool),
		})
		w.instances = append(w.instances, platform.Instance{
			Name: name, Role: platform.RoleWorker, Capacity: resource.Amount{MilliCPU: 2}, Connections: 64,
		})
		w.move(name, owner)
	}
	for _, name := range []string{"A", "B"} {
		w.teams[name] = &fakeAllotments{}
		o := NewOwner(Config{
			Owners: fakeOwners{w, name}, Capacity: capacity.NewTracker(), Allotments: w.teams[name], Coordinators: w,
			Choose: NewChooser().Choose,
			Dial: func(i platform.Instance) worker.Client {
				return &fakeClient{fakeWorker: w.workers[i.Name[1]-'0'], owner: name}
			},
			BlockOf: func(i platform.Instance) string { return i.Name },
			Lease:   testLease, Margin: 3 * time.Second, CallTimeout: 2 * time.Second,
		})
		o.unsafe = opts
		w.owners[name] = o
		go o.Run(ctx)
	}
	go w.repeat(200*time.Millisecond, w.tick)
	return w
}

func (w *simulation) repeat(d time.Duration, f func()) {
	for w.ctx.Err() == nil {
		f()
		time.Sleep(d)
	}
}

// move assigns a block to an owner under a new epoch.
func (w *simulation) move(block, owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epochs[block]++
	w.ownerOf[block] = owner
	w.assumedEpochs[owner][block] = w.epochs[block]
}

func (w *simulation) partition(i int, owners string, partitioned bool) {
	w.workers[i].mu.Lock()
	defer w.workers[i].mu.Unlock()
	for _, o := range owners {
		w.workers[i].partitioned[string(o)] = partitioned
	}
}

// tick is one round of the coordinator.
func (w *simulation) tick() {
	for _, o := range w.owners {
		o.Sync(w.ctx, w.instances)
	}
	w.mu.Lock()
	names := make([]string, 0, len(w.tasks))
	for name := range w.tasks {
		names = append(names, name)
	}
	w.mu.Unlock()
	for _, name := range names {
		w.advanceTask(name)
	}
}

func (w *simulation) advanceTask(name string) {
	w.mu.Lock()
	task := *w.tasks[name]
	owner := w.ownerOf[task.at.Block]
	w.mu.Unlock()
	if task.done || (task.open && task.owner == owner) {
		return
	}
	if task.open {
		reply := w.owners[owner].Status(w.ctx, AttemptsRequest{Attempts: []Located{task.at.Located}})
		w.applyOutcome(name, owner, reply.Outcomes[0])
		return
	}
	for _, owner := range []string{"A", "B"} {
		if r, ok := w.reserve(owner, name, task.attempt+1, testReservationTTL); ok {
			w.mu.Lock()
			w.tasks[name] = &simTask{attempt: r.Attempt, at: r, open: true}
			w.mu.Unlock()
			w.applyOutcome(name, owner, w.start(owner, r))
			return
		}
	}
}

const testReservationTTL = 5 * time.Second

var oneTask = resource.Amount{MilliCPU: 1}

func (w *simulation) reserve(owner, name string, attempt int, d time.Duration) (Reservation, bool) {
	reply := w.owners[owner].Reserve(w.ctx, ReserveRequest{
		Job: JobOf(name), Team: "t", Amount: oneTask, TTL: d, Refs: []worker.TaskRef{{Task: name, Attempt: attempt}},
	})
	if len(reply.Reservations) == 0 {
		return Reservation{}, false
	}
	return reply.Reservations[0], true
}

func (w *simulation) start(owner string, r Reservation) Outcome {
	return w.owners[owner].Start(w.ctx, StartRequest{Starts: []Start{{
		Worker: r.Worker, Epoch: r.Epoch, Task: worker.StartTask{
			Task: r.Task, Attempt: r.Attempt, Team: "t", Amount: oneTask, RunTime: 2 * time.Minute,
		},
	}}}).Outcomes[0]
}

func (w *simulation) applyOutcome(name, owner string, o Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.tasks[name]
	if !task.open || task.attempt != o.Ref.Attempt {
		return
	}
	switch o.State {
	case StateRunning:
		task.owner = owner
	case StateAbsent:
		task.open = false
	case StateEnded:
		task.end(o.Event.State)
	}
}

func (t *simTask) end(s worker.TaskState) { t.open, t.done = false, s == worker.TaskDone }

func (w *simulation) Report(_ context.Context, events []Event) (ReportReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var reply ReportReply
	for _, e := range events {
		reply.Recorded = append(reply.Recorded, e.TaskRef)
		if t := w.tasks[e.Task]; t != nil && t.open && t.attempt == e.Attempt && e.State.Final() {
			t.end(e.State)
		}
	}
	return reply, nil
}

// overlappingRuns returns the first task of which two attempts ran at the same time
// according to the workers' own records, or "".
func (w *simulation) overlappingRuns() (found string) {
	now := time.Now()
	var all []*fakeRun
	for _, f := range w.workers {
		f.mu.Lock()
		f.advance(now)
		for _, r := range f.history {
			run := *r
			if run.to.IsZero() {
				run.to = now
			}
			all = append(all, &run)
		}
		f.mu.Unlock()
	}
	for i, x := range all {
		for _, y := range all[:i] {
			if x.task.Task == y.task.Task && x.from.Before(y.to) && y.from.Before(x.to) {
				return fmt.Sprintf("%s: attempts %d and %d", x.task.Task, x.task.Attempt, y.task.Attempt)
			}
		}
	}
	return ""
}
