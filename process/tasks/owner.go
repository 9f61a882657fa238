package tasks

import (
	"context"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Allotments accounts for this entry's part of the teams' upper limits.
type Allotments interface {
	// TryAcquire counts amount and returns true if the team's allotment covers it.
	TryAcquire(team string, amount resource.Amount) bool
	// ForceAcquire counts an amount that is in use already, even beyond the allotment.
	ForceAcquire(team string, amount resource.Amount)
	// Release subtracts an amount counted by TryAcquire or ForceAcquire.
	Release(team string, amount resource.Amount)
}

// Coordinators delivers events to the coordinators of their jobs.
type Coordinators interface {
	Report(ctx context.Context, events []Event) (ReportReply, error)
}

// PlacementRequest describes tasks that need workers.
type PlacementRequest struct {
	Team   string
	Kind   string
	Policy version.Policy
	Amount resource.Amount
	Count  int
}

// ChooseFunc returns at most request.Count names of workers in fleet, one per
// task. A worker may occur more than once.
type ChooseFunc func(fleet placement.Fleet, request PlacementRequest) []string

// Config holds the dependencies and timeouts of an Owner. All fields except OnEnded
// are required.
type Config struct {
	Owners       ownership.Owners
	Capacity     *capacity.Tracker
	Allotments   Allotments
	Coordinators Coordinators
	Choose       ChooseFunc
	// Dial returns a client of the worker. It does no I/O.
	Dial func(platform.Instance) worker.Client
	// BlockOf returns the block of a worker.
	BlockOf func(platform.Instance) string
	// Lease is the duration for which a task runs without renewal.
	Lease time.Duration
	// Margin is how long after the end of a lease the owner treats it as expired. It
	// must exceed CallTimeout, since a call may take effect on the worker until it
	// times out.
	Margin time.Duration
	// CallTimeout bounds each call to a worker or a coordinator.
	CallTimeout time.Duration
	// OnEnded is called when an attempt completes or fails by itself. It must not
	// call the Owner. It may be nil.
	OnEnded func(workerName, kind string, failed bool)
}

// Owner runs tasks on the workers of the blocks that this entry owns.
type Owner struct {
	Config
	unsafe unsafeOptions
	holds  holdTable
	outbox outbox

	mu     sync.Mutex
	agents map[string]*agent
}

// unsafeOptions disable safety steps of the protocol. Only tests set them, to show
// that the tests detect the fault that a step prevents.
type unsafeOptions struct {
	// assumeNotStarted treats a start with an unknown outcome as not executed.
	assumeNotStarted bool
	// declareLostEarly declares attempts lost before their leases have expired.
	declareLostEarly bool
	// absentWithReservation returns StateAbsent without dropping the reservation.
	absentWithReservation bool
	// renewWhenUncertain renews the leases of an unreachable worker without
	// adopting it again first.
	renewWhenUncertain bool
	// skipLeaseCheck acts without checking the lease on the block.
	skipLeaseCheck bool
}

// NewOwner returns an Owner without workers.
func NewOwner(c Config) *Owner {
	if c.OnEnded == nil {
		c.OnEnded = func(string, string, bool) {}
	}
	o := &Owner{Config: c, agents: make(map[string]*agent)}
	o.holds.workers = make(map[string]workerHold)
	o.outbox.events = make(map[Located]Event)
	o.outbox.wake = make(chan struct{}, 1)
	return o
}

// Run delivers events and frees expired reservations until ctx ends. Workers are
// served after Sync has listed them.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	go o.deliver(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.expire(time.Now())
		}
	}
}

func (o *Owner) expire(now time.Time) {
	for _, held := range o.Capacity.Expire(now) {
		if isTaskHolding(held.ID) {
			o.Allotments.Release(held.Team, held.Amount)
		}
	}
	o.holds.expire(now)
}

// Sync starts an agent for each listed worker of an owned block and stops the
// agents of blocks that are no longer owned at the agent's epoch. The agents run
// until ctx ends at the latest. A worker that is no longer listed is marked as
// leaving and kept until it holds no tasks or requests.
func (o *Owner) Sync(ctx context.Context, instances []platform.Instance) {
	epochs := make(map[string]uint64)
	for _, grant := range o.Owners.Owned() {
		epochs[grant.Block] = grant.Epoch
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, a := range o.agents {
		if epoch, owned := epochs[a.worker.Block]; !owned || epoch != a.worker.Epoch {
			o.dropAgent(name, a)
		}
	}
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Role != platform.RoleWorker {
			continue
		}
		listed[instance.Name] = true
		block := o.BlockOf(instance)
		if epoch, owned := epochs[block]; owned {
			o.ensureAgent(ctx, capacity.Worker{Instance: instance, Block: block, Epoch: epoch})
		}
	}
	for name, a := range o.agents {
		if !listed[name] {
			o.handleUnlisted(name, a)
		}
	}
}

func (o *Owner) ensureAgent(ctx context.Context, w capacity.Worker) {
	if a, ok := o.agents[w.Name]; ok && a.worker.Address == w.Address {
		o.Capacity.SetLeaving(w.Name, w.Leaving)
		return
	} else if ok {
		o.dropAgent(w.Name, a)
	}
	o.Capacity.AddWorker(w)
	a := newAgent(o, w)
	o.agents[w.Name] = a
	a.begin(ctx)
}

func (o *Owner) handleUnlisted(name string, a *agent) {
	o.Capacity.SetLeaving(name, true)
	if a.idle(time.Now()) && len(o.Capacity.Holdings(name)) == 0 {
		o.dropAgent(name, a)
	}
}

// dropAgent stops an agent. Its connections and allotments are released after
// Lease and Margin, so that requests in flight can complete.
func (o *Owner) dropAgent(name string, a *agent) {
	delete(o.agents, name)
	a.end()
	held := o.Capacity.RemoveWorker(name)
	time.AfterFunc(o.Lease+o.Margin, func() {
		a.client.Close()
		o.releaseAllotments(held)
	})
	o.outbox.dropWorker(name)
}

// releaseAllotments returns what tasks use of their teams' allotments. It is called
// when the next owner has counted the tasks or their leases have expired.
func (o *Owner) releaseAllotments(held []capacity.Holding) {
	for _, h := range held {
		if isTaskHolding(h.ID) {
			o.Allotments.Release(h.Team, h.Amount)
		}
	}
}

// PollWorkers polls the named workers now.
func (o *Owner) PollWorkers(workers []string) {
	for _, name := range workers {
		if a := o.agent(name); a != nil {
			a.wakeUp()
		}
	}
}

func (o *Owner) agent(name string) *agent {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agents[name]
}

// holdsBlockLease reports whether the entry holds the lease on the worker's block
// at the worker's epoch now.
func (o *Owner) holdsBlockLease(w capacity.Worker) bool {
	if o.unsafe.skipLeaseCheck {
		return true
	}
	grant, ok := o.Owners.HoldsLease(w.Block)
	return ok && grant.Epoch == w.Epoch
}
