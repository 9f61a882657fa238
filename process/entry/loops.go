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

// housekeepingInterval is the period of housekeeping, whose steps are cheap and not urgent.
const housekeepingInterval = 250 * time.Millisecond

// listChanged is called after each refresh of the instance list.
func (e *Entry) listChanged(_ *fleet.List, err error) {
	if err != nil {
		e.Log.Log(events.ListFailed, err)
	}
	e.requestSync()
}

// requestSync wakes syncLoop.
func (e *Entry) requestSync() {
	select {
	case e.syncRequested <- struct{}{}:
	default:
	}
}

// syncLoop updates the owner's workers whenever the list or the ownership changes.
func (e *Entry) syncLoop() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.syncRequested:
		}
		e.owner.Sync(e.ctx, e.workers())
		e.requests.Wake()
	}
}

// workers returns the listed workers of the region.
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

// housekeeping polls the workers of requests with unknown outcome, probes quarantined
// workers, updates the queues and logs changes of admission.
func (e *Entry) housekeeping() {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.owner.PollWorkers(e.placer.UncertainWorkers())
			e.health.probeDue(now)
			e.checkpointOverLimit()
			e.configureQueues()
			e.logAdmission(now)
		}
	}
}

// checkpointOverLimit checkpoints tasks of teams whose limit was lowered below their
// usage.
func (e *Entry) checkpointOverLimit() {
	for _, over := range e.allotments.OverLimits() {
		if n := e.owner.Checkpoint(over.Team, over.Excess); n > 0 {
			e.Log.Log(events.TeamOverLimit, over.Team, n)
		}
	}
}

func (e *Entry) logAdmission(now time.Time) {
	admits := e.config.Admitting(now)
	if e.loggedAdmitting.Swap(admits) == admits {
		return
	}
	if admits {
		e.Log.Log(events.AdmissionResumed)
	} else {
		e.Log.Log(events.AdmissionStopped)
	}
}

// configureQueues updates the fleet's capacity in the queues.
func (e *Entry) configureQueues() {
	list := e.fleet.List()
	e.requests.Each(func(upstream string, d *dispatch.Dispatcher) {
		d.Configure(func(q *queue.Queue, now time.Time) {
			q.SetTotal(now, list.Total(upstream))
		})
	})
}

// versionChanged applies a new configuration version.
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

// observeRequest records a finished request in error budgets and metrics.
func (e *Entry) observeRequest(o dispatch.Observation) {
	e.burn.Record(time.Now(), o.Team, o.Kind, o.Waited, o.Outcome.Err == nil)
	e.metrics.countRequest(o)
}

// state returns the state that is sent to other entries.
func (e *Entry) state() exchange.State {
	return exchange.State{
		Usage:  e.capacity.TeamUsage(),
		Free:   e.freeByUpstream(),
		Tasks:  e.capacity.Free(),
		Queues: e.queueTotals(),

		Leaving: e.leavingWorkers(),
	}
}

// queueTotals returns the teams' usage counted by the queues, sorted by upstream.
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

// applyPeerQueues updates a peer's usage in the queues. The usage of an earlier
// incarnation of the peer is dropped.
func (e *Entry) applyPeerQueues(p exchange.Peer) {
	if before, known := e.peerIncarnations.Swap(p.Instance, p.Incarnation); known && before != p.Incarnation {
		e.forgetPeerTotals(before.(string))
	}
	for _, totals := range p.State.Queues {
		e.requests.Dispatcher(totals.Upstream).Configure(func(q *queue.Queue, now time.Time) {
			q.SetPeerTotals(now, p.Incarnation, p.Number, totals.Totals)
		})
	}
}

// freeByUpstream returns the free capacity of open workers. A stopping entry reports
// none.
func (e *Entry) freeByUpstream() []exchange.Free {
	if e.stopping.Load() {
		return nil
	}
	var all []exchange.Free
	for upstream := range e.config.Current().Upstreams {
		view := e.capacity.Fleet(upstream)
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

// messageReceived handles a message from a peer.
func (e *Entry) messageReceived(p exchange.Peer) {
	if !p.CreatedAfter.IsZero() && !e.Omit.PeerUpdates {
		e.config.ObservePeer(p.Instance, p.Status, p.CreatedAfter)
	}
	e.peerCapacity.Update(p)
	e.applyPeerQueues(p)
	e.syncLeaving()
	e.requests.Wake()
}

// forgetPeerTotals drops the usage of a peer's incarnation from the queues.
func (e *Entry) forgetPeerTotals(incarnation string) {
	e.requests.Each(func(_ string, d *dispatch.Dispatcher) {
		d.Configure(func(q *queue.Queue, now time.Time) { q.ForgetPeer(now, incarnation) })
	})
}

func (e *Entry) peerFailed(instance string, err error) {
	e.peerCapacity.Forget(instance)
	if incarnation, known := e.peerIncarnations.LoadAndDelete(instance); known {
		e.forgetPeerTotals(incarnation.(string))
	}
	e.Log.Log(events.PeerFailed, instance, err)
}

// replicateToPeers sends the request ids to every other live entry of the region.
func (e *Entry) replicateToPeers(ctx context.Context, message json.RawMessage) error {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var failure error
	for _, m := range e.owners.Members() {
		if !m.Live || m.Instance == e.Instance || m.Region != e.Region {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := e.requests.ReplicateTo(ctx, m.Address, message); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failure = err
			}
		})
	}
	calls.Wait()
	return failure
}

// shardIdle reports whether a key shard may move: none of its requests is in progress,
// and the request ids dispatched here were replicated to every other entry.
func (e *Entry) shardIdle(shard string) bool {
	if e.requests.InProgress(func(key string) bool { return ownership.ShardOf(key) == shard }) {
		return false
	}
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	return e.replicateToPeers(ctx, e.requests.DispatchedIDs()) == nil
}

// teamUsage sums the usage at this entry and its peers by team.
func (e *Entry) teamUsage() map[string]resource.Amount {
	sums := make(map[string]resource.Amount)
	for _, u := range e.fleetUsage() {
		sums[u.Team] = sums[u.Team].Add(u.Amount)
	}
	return sums
}
