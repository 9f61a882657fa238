package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/burn"
	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/fleet"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// housekeepingEvery is the period of what is cheap and not urgent.
const housekeepingEvery = 250 * time.Millisecond

// listChanged takes in a reading of the instance list.
func (e *Entry) listChanged(_ *fleet.List, err error) {
	if err != nil {
		e.Log.Log(events.ListFailed, err)
	}
	e.wakeSync()
}

// wakeSync makes syncLoop run now.
func (e *Entry) wakeSync() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// syncLoop serves the workers of owned blocks whenever list or ownership change.
func (e *Entry) syncLoop() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.changed:
		}
		e.owner.Sync(e.ctx, e.workers())
		e.requests.Wake()
	}
}

// workers returns the region's workers on the list.
func (e *Entry) workers() []platform.Instance {
	var own []platform.Instance
	for _, w := range e.fleet.List().Workers {
		if w.Region == e.Region {
			own = append(own, w)
		}
	}
	e.markLeaving(own)
	return own
}

// housekeeping asks after lost requests, tells queues of the fleet and logs whether the
// entry admits.
func (e *Entry) housekeeping() {
	ticker := time.NewTicker(housekeepingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.owner.PollWorkers(e.places.Doubtful())
			e.health.step(now)
			e.shrinkTeams()
			e.configureQueues()
			e.noteAdmission(now)
		}
	}
}

// shrinkTeams checkpoints tasks of teams whose limit was lowered below what runs.
func (e *Entry) shrinkTeams() {
	for _, over := range e.allotments.Over() {
		if n := e.owner.Checkpoint(over.Team, over.Excess); n > 0 {
			e.Log.Log(events.TeamShrunk, over.Team, n)
		}
	}
}

func (e *Entry) noteAdmission(now time.Time) {
	admits := e.config.Admitting(now)
	if e.admitting.Swap(admits) == admits {
		return
	}
	if admits {
		e.Log.Log(events.AdmissionResumed)
	} else {
		e.Log.Log(events.AdmissionStopped)
	}
}

// configureQueues tells the queues how large the fleet is.
func (e *Entry) configureQueues() {
	list := e.fleet.List()
	e.requests.Each(func(upstream string, d *dispatch.Dispatcher) {
		d.Configure(func(q *queue.Queue, now time.Time) {
			q.SetTotal(now, list.Total(upstream))
		})
	})
}

// versionChanged takes in a new configuration.
func (e *Entry) versionChanged(s *version.Snapshot) {
	e.Log.Log(events.VersionInForce, s.Number)
	teams := queueTeams(s)
	e.requests.Each(func(_ string, d *dispatch.Dispatcher) {
		d.Configure(func(q *queue.Queue, now time.Time) { q.SetTeams(now, teams) })
	})
	e.allotments.Refresh()
	e.burn.SetObjectives(objectives(s))
}

func objectives(s *version.Snapshot) []burn.Objective {
	var all []burn.Objective
	for _, t := range s.Teams {
		for _, o := range t.Objectives {
			all = append(all, burn.Objective{Team: t.Name, Kind: o.Kind, Waiting: o.Waiting, Target: o.Target})
		}
	}
	return all
}

// observe takes in what became of a request.
func (e *Entry) observe(o dispatch.Observation) {
	e.burn.Record(time.Now(), o.Team, o.Kind, o.Waited, o.Outcome.Err == nil)
	e.metrics.request(o)
}

// state is what other entries are told.
func (e *Entry) state() exchange.State {
	return exchange.State{
		Usage:  e.book.TeamUsage(),
		Free:   e.freeByUpstream(),
		Tasks:  e.book.Free(),
		Queues: e.queueTotals(),

		Leaving: e.leavingWorkers(),
	}
}

// queueTotals returns what the queues let teams use, sorted by upstream.
func (e *Entry) queueTotals() []exchange.QueueTotals {
	var all []exchange.QueueTotals
	e.requests.Each(func(upstream string, d *dispatch.Dispatcher) {
		if totals := d.Totals(); len(totals) > 0 {
			all = append(all, exchange.QueueTotals{Upstream: upstream, Totals: totals})
		}
	})
	slices.SortFunc(all, func(a, b exchange.QueueTotals) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

// hearQueues tells the queues what a peer's queues let teams use.
func (e *Entry) hearQueues(p exchange.Peer) {
	if before, known := e.heardAs.Swap(p.Instance, p.Incarnation); known && before != p.Incarnation {
		e.forgetTotals(before.(string))
	}
	for _, totals := range p.State.Queues {
		e.requests.Dispatcher(totals.Upstream).Configure(func(q *queue.Queue, now time.Time) {
			q.SetPeerTotals(now, p.Incarnation, p.Number, totals.Totals)
		})
	}
}

// freeByUpstream sums what open workers have free. A stopping entry has nothing.
func (e *Entry) freeByUpstream() []exchange.Free {
	if e.stopping.Load() {
		return nil
	}
	var all []exchange.Free
	for upstream := range e.config.Current().Upstreams {
		view := e.book.Fleet(upstream)
		var sum resource.Amount
		for i := range view.Len() {
			if c := view.At(i); !c.Closed {
				sum = sum.Add(c.Free)
			}
		}
		if sum.Slots > 0 {
			all = append(all, exchange.Free{Upstream: upstream, Total: sum})
		}
	}
	sortFree(all)
	return all
}

// heard takes in a message of a peer.
func (e *Entry) heard(p exchange.Peer) {
	if !p.SaidAfter.IsZero() && !e.Omit.PeerNews {
		e.config.ObservePeer(p.Instance, p.Status, p.SaidAfter)
	}
	e.room.Heard(p)
	e.hearQueues(p)
	e.hearLeaving()
	e.requests.Wake()
}

// forgetTotals drops what a peer's queues let teams use.
func (e *Entry) forgetTotals(incarnation string) {
	e.requests.Each(func(_ string, d *dispatch.Dispatcher) {
		d.Configure(func(q *queue.Queue, now time.Time) { q.ForgetPeer(now, incarnation) })
	})
}

func (e *Entry) peerFailed(instance string, err error) {
	e.room.Forget(instance)
	if incarnation, known := e.heardAs.LoadAndDelete(instance); known {
		e.forgetTotals(incarnation.(string))
	}
	e.Log.Log(events.PeerFailed, instance, err)
}

// handOverRemembered gives the remembered request ids to all other entries before
// the blocks are released.
func (e *Entry) handOverRemembered(ctx context.Context) {
	if err := e.spread(ctx, e.requests.Remembered()); err != nil {
		e.Log.Log(events.OwnershipFailed, "hand over remembered requests", err)
	}
}

// spread has every other entry of the region remember the request ids.
func (e *Entry) spread(ctx context.Context, message json.RawMessage) error {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, m := range e.owners.Members() {
		if !m.Live || m.Instance == e.Instance || m.Region != e.Region {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := e.requests.Spread(ctx, m.Address, message); err != nil {
				mu.Lock()
				defer mu.Unlock()
				first = err
			}
		})
	}
	calls.Wait()
	return first
}

// shardIdle reports whether a key shard may move: nothing of it is in progress,
// and every other entry knows the ids that were handed over here.
func (e *Entry) shardIdle(shard string) bool {
	if e.requests.InProgress(func(key string) bool { return ownership.ShardOf(key) == shard }) {
		return false
	}
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	return e.spread(ctx, e.requests.Remembered()) == nil
}

// teamUsage adds the usage of this entry and its peers by team.
func (e *Entry) teamUsage() map[string]resource.Amount {
	sums := make(map[string]resource.Amount)
	for _, u := range e.fleetUsage() {
		sums[u.Team] = sums[u.Team].Add(u.Amount)
	}
	return sums
}
