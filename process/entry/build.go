package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/jobs"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/requests"
	"github.com/kingcuplatch/kingcuplatch/process/tasks"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Timeouts and retention periods of an entry.
const (
	// callTimeout is the timeout of one call to a worker, an owner or the table.
	callTimeout = 2 * time.Second
	// leaseMargin is added to a task's lease before the lease counts as expired.
	leaseMargin = 3 * time.Second
	// jobRetention is how long the rows of ended jobs are kept.
	jobRetention = 24 * time.Hour
	// peerTimeout is how long a peer counts as reachable after its last message.
	peerTimeout = 5 * time.Second
)

func (e *Entry) newOwners() *ownership.Manager {
	return ownership.New(ownership.Options{
		Self: ownership.Member{
			Instance: e.Instance, Incarnation: e.Incarnation, Address: e.PeerAddress,
			FailureDomain: e.FailureDomain, Region: e.Region,
		},
		Table: e.Table, Peers: e.links,
		Blocks: e.blocks, Members: e.members,
		ShortTerm: e.Timings.QuickTerm, LongTerm: e.Timings.LongTerm, Heartbeat: e.Timings.Heartbeat,
		OnGain: e.blockGained, OnLoss: e.blockLost, OnTakeover: e.entryTakenOver, OnRejoin: e.rejoined, Idle: e.blockIdle,
		OnUnusableRow: func(key string, err error) { e.Log.Log(events.RowIgnored, "ownership", key, err) },
	})
}

// blocks returns the blocks of the region's workers.
func (e *Entry) blocks() []ownership.Block {
	seen := make(map[string]bool)
	var blocks []ownership.Block
	for _, w := range e.fleet.List().Workers {
		if w.Region != e.Region {
			continue
		}
		id := e.blockOf(w)
		if !seen[id] {
			seen[id] = true
			blocks = append(blocks, ownership.Block{ID: id, FailureDomain: w.FailureDomain})
		}
	}
	return blocks
}

func (e *Entry) blockOf(w platform.Instance) string {
	return ownership.WorkerBlock(w, e.PerRack)
}

// members returns the listed entries of the region.
func (e *Entry) members() []ownership.Member {
	var members []ownership.Member
	for _, i := range e.fleet.List().Entries {
		if i.Region == e.Region {
			members = append(members, ownership.Member{
				Instance: i.Name, Address: i.Address, FailureDomain: i.FailureDomain, Region: i.Region,
			})
		}
	}
	return members
}

func (e *Entry) newExchange() *exchange.Exchange {
	return exchange.New(exchange.Options{
		Instance: e.Instance, Incarnation: e.Incarnation, Address: e.PeerAddress, Caller: e.links,
		Members: e.exchangeMembers, State: e.state, Status: e.status,
		OnMessage: e.messageReceived, OnFailure: e.peerFailed, Period: e.Timings.Heartbeat,
	})
}

// exchangeMembers returns the listed entries of all regions.
func (e *Entry) exchangeMembers() []exchange.Member {
	var members []exchange.Member
	for _, i := range e.fleet.List().Entries {
		members = append(members, exchange.Member{Instance: i.Name, Address: i.Address})
	}
	return members
}

func (e *Entry) newPlacer() *requests.Placer {
	return requests.NewPlacer(requests.PlacerOptions{
		Capacity: e.capacity, Allotments: e.allotments, Owners: e.ownership(), Remote: e.peerCapacity, Caller: e.links,
		Client:   e.clients.get,
		OnResult: e.health.recordRequest,
	})
}

func (e *Entry) newRequests() *requests.Service {
	return requests.New(e.ctx, requests.Options{
		Instance: e.Instance, Ownership: e.ownership(), Caller: e.links,
		Snapshot: e.config.Current, Placer: e.placer,
		Budget:        e.newBudget,
		NewDispatcher: e.newDispatcher,
		CheckStart:    e.checkStart,
		OnUnknown: func(r *attempt.Request, outcome attempt.Outcome) {
			e.Log.Log(events.RequestOutcomeUnknown, r.ID, r.Team, outcome.Worker, outcome.Err)
		},
	})
}

func (e *Entry) newDispatcher(upstream string, finder dispatch.Finder, budget dispatch.Budget) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Queue: queue.Config{
			Total: e.fleet.List().Total(upstream), Limit: e.MaxQueue, Teams: queueTeams(e.config.Current()),
		},
		Finder: finder, Budget: budget, Observe: e.observeRequest,
	})
}

func queueTeams(s *version.Snapshot) []queue.Team {
	var teams []queue.Team
	for _, t := range s.Teams {
		teams = append(teams, queue.Team{Name: t.Name, Weight: t.Share, QueueLimit: t.QueueLimit})
	}
	return teams
}

// newJobs creates the owner and the coordinator of jobs, which call each other.
func (e *Entry) newJobs() {
	e.jobs = &jobs.Client{Directory: e.owners, Fleet: e, Caller: e.links}
	e.owner = tasks.NewOwner(tasks.Config{
		Owners: e.ownership(), Capacity: e.capacity, Allotments: e.allotments, Coordinators: e.jobs,
		Choose: tasks.NewChooser().Choose, Dial: e.clients.dial, BlockOf: e.blockOf,
		Lease: e.Timings.TaskLease, Margin: leaseMargin, CallTimeout: callTimeout,
		OnEnded: e.health.record,
	})
	e.coordinator = jobs.NewCoordinator(jobs.Config{
		Instance: e.Instance, Table: e.Table, Fence: e.owners.Fence, Directory: e.owners, Fleet: e,
		Workers:  &tasks.Client{Instance: e.Instance, Owner: e.owner, Caller: e.links},
		Snapshot: e.config.Current, Usage: e.fleetUsage,
		CallTimeout: callTimeout, Retention: jobRetention,
	})
	e.jobs.Coordinator = e.coordinator
}

// Owners implements jobs.Fleet.
func (e *Entry) Owners() []jobs.OwnerInfo {
	owners := []jobs.OwnerInfo{{
		Peer: tasks.Peer{Instance: e.Instance, Address: e.PeerAddress},
		Free: e.capacity.Free(),
	}}
	for _, p := range e.exchange.Peers(peerTimeout) {
		owners = append(owners, jobs.OwnerInfo{
			Peer: tasks.Peer{Instance: p.Instance, Address: p.Address},
			Free: p.State.Tasks,
		})
	}
	return owners
}

// fleetUsage returns the teams' usage at this entry and its peers.
func (e *Entry) fleetUsage() []capacity.TeamUsage {
	usage := e.capacity.TeamUsage()
	for _, p := range e.exchange.Peers(peerTimeout) {
		usage = append(usage, p.State.Usage...)
	}
	return usage
}

func (e *Entry) blockGained(g ownership.Grant) {
	e.Log.Log(events.BlockGained, g.Block, g.Epoch)
	e.metrics.countBlockChange("gained")
	if ownership.IsShard(g.Block) {
		e.shardIDs.add(g)
		e.loop(func() { e.loadShard(g.Block) })
	}
	e.requestSync()
}

// loadShard loads the jobs of a shard. It retries until the shard is lost.
func (e *Entry) loadShard(shard string) {
	for e.ctx.Err() == nil {
		err := e.coordinator.LoadShard(e.ctx, shard)
		if err == nil {
			return
		}
		if _, owned := e.owners.HoldsLease(shard); !owned && !e.ownsBlock(shard) {
			return
		}
		e.Log.Log(events.CoordinatorFailed, "load shard "+shard, err)
		e.sleep(e.Timings.Heartbeat)
	}
}

func (e *Entry) ownsBlock(block string) bool {
	for _, g := range e.owners.Owned() {
		if g.Block == block {
			return true
		}
	}
	return false
}

func (e *Entry) blockLost(block string) {
	e.Log.Log(events.BlockLost, block)
	e.metrics.countBlockChange("lost")
	if ownership.IsShard(block) {
		e.coordinator.DropShard(block)
	}
	e.requestSync()
}

// entryTakenOver imports the request ids that the witnesses of a dead entry returned, and
// replicates them to this entry's own witnesses.
func (e *Entry) entryTakenOver(dead ownership.Member, messages []json.RawMessage) {
	e.Log.Log(events.EntryTakenOver, dead.Instance, dead.Incarnation, len(messages))
	e.metrics.countTakeover()
	e.requests.Import(messages)
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	err := e.owners.Replicate(ctx, e.requests.DispatchedIDs())
	if err != nil && !errors.Is(err, ownership.ErrNoWitnesses) {
		e.Log.Log(events.OwnershipFailed, "replicate request ids after takeover", err)
	}
}

func (e *Entry) rejoined(self ownership.Member) {
	e.allotments.Rejoin(self.Incarnation)
	e.requestSync()
}

// blockIdle reports whether a block may move to another entry. For a shard, it first
// replicates the dispatched request ids to the other entries.
func (e *Entry) blockIdle(block string) bool {
	if ownership.IsShard(block) {
		return e.shardIdle(block)
	}
	return e.workersIdle(block)
}

func (e *Entry) workersIdle(block string) bool {
	for i := range e.capacity.Len() {
		name := e.capacity.At(i).Worker
		w, _, ok := e.capacity.Worker(name)
		if ok && w.Block == block && len(e.capacity.Holdings(name)) > 0 {
			return false
		}
	}
	return true
}

func (e *Entry) sleep(d time.Duration) {
	select {
	case <-e.ctx.Done():
	case <-time.After(d):
	}
}
