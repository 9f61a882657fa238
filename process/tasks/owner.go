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

// Allotments is this entry's part of the teams' upper limits.
type Allotments interface {
	// Take takes amount if the team's allotment has room for it.
	Take(team string, amount resource.Amount) bool
	// Force counts amount that runs already, whether or not there is room.
	Force(team string, amount resource.Amount)
	// Give returns what was taken or forced.
	Give(team string, amount resource.Amount)
}

// Keepers passes events to the keepers of their jobs.
type Keepers interface {
	Report(ctx context.Context, events []Event) (ReportReply, error)
}

// Want is what a placement is asked for.
type PlacementRequest struct {
	Team   string
	Kind   string
	Policy version.Policy
	Amount resource.Amount
	Count  int
}

// Choose returns at most want.Count worker names out of fleet, one a task; a
// worker may occur more than once.
type ChooseFunc func(fleet placement.Fleet, want PlacementRequest) []string

// Config is what an Owner works with. All fields but Ended are required.
type Config struct {
	Owners     ownership.Owners
	Book       *capacity.Book
	Allotments Allotments
	Keepers    Keepers
	Choose     ChooseFunc
	// Dial returns a client of the worker; it does no I/O.
	Dial func(platform.Instance) worker.Client
	// BlockOf returns the block of a worker.
	BlockOf func(platform.Instance) string
	// Lease is how long a task runs without renewal.
	Lease time.Duration
	// Margin is added to a lease before it is held to have ended. It must exceed
	// CallTimeout, since a call may act on the worker until it is given up.
	Margin time.Duration
	// CallTimeout bounds each call to a worker or a keeper.
	CallTimeout time.Duration
	// Ended is told how an attempt ended by itself; it must not call the Owner. Nil
	// stands for nothing.
	Ended func(workerName, kind string, failed bool)
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

// policy leaves out parts of the protocol, for tests that must see it fail.
type unsafeOptions struct {
	// assumeNotStarted takes an unknown start outcome for a refusal.
	assumeNotStarted bool
	// loseEarly declares attempts lost before their lease has ended.
	declareLostEarly bool
	// absentWithReservation answers absent without dropping the reservation.
	absentWithReservation bool
	// renewInDoubt goes on renewing leases of a worker that does not answer.
	renewWhenUncertain bool
	// skipRight starts without asking for the right to the block.
	skipLeaseCheck bool
}

// NewOwner returns an Owner without workers.
func NewOwner(c Config) *Owner {
	if c.Ended == nil {
		c.Ended = func(string, string, bool) {}
	}
	o := &Owner{Config: c, agents: make(map[string]*agent)}
	o.holds.workers = make(map[string]workerHold)
	o.outbox.events = make(map[Located]Event)
	o.outbox.wake = make(chan struct{}, 1)
	return o
}

// Run passes on events and frees expired reservations until ctx ends. Sync must
// be called for workers to be served.
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
	for _, held := range o.Book.Expire(now) {
		if isTaskHolding(held.ID) {
			o.Allotments.Give(held.Team, held.Amount)
		}
	}
	o.holds.expire(now)
}

// Sync starts an agent for each listed worker of an owned block and ends the
// agents of blocks that are no longer owned at their epoch. ctx bounds the
// lives of the agents. A worker that has left the list is kept, as leaving,
// while it holds anything.
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
		o.Book.SetLeaving(w.Name, w.Leaving)
		return
	} else if ok {
		o.dropAgent(w.Name, a)
	}
	o.Book.Open(w)
	a := newAgent(o, w)
	o.agents[w.Name] = a
	a.begin(ctx)
}

func (o *Owner) handleUnlisted(name string, a *agent) {
	o.Book.SetLeaving(name, true)
	if a.idle(time.Now()) && len(o.Book.Holdings(name)) == 0 {
		o.dropAgent(name, a)
	}
}

// drop ends an agent. Requests in flight keep their connections for a while.
func (o *Owner) dropAgent(name string, a *agent) {
	delete(o.agents, name)
	a.end()
	held := o.Book.Close(name)
	time.AfterFunc(o.Lease+o.Margin, func() {
		a.client.Close()
		o.releaseAllotments(held)
	})
	o.outbox.dropWorker(name)
}

// give returns what tasks took of their teams' allotments. It is called once the
// next owner must have counted them or their leases have ended.
func (o *Owner) releaseAllotments(held []capacity.Holding) {
	for _, h := range held {
		if isTaskHolding(h.ID) {
			o.Allotments.Give(h.Team, h.Amount)
		}
	}
}

// Ask has the named workers asked for a report now.
func (o *Owner) Ask(workers []string) {
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

// right reports whether the entry may act for the worker at this moment.
func (o *Owner) holdsBlockLease(w capacity.Worker) bool {
	if o.unsafe.skipLeaseCheck {
		return true
	}
	grant, ok := o.Owners.MayHandOver(w.Block)
	return ok && grant.Epoch == w.Epoch
}
