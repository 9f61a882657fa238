package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/process/burn"
	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/fleet"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// confirmInterval is the time between two checks of the peers' configuration versions.
const confirmInterval = 50 * time.Millisecond

// The methods below implement operators.Views.

// Entries implements operators.Views.
func (e *Entry) Entries() []api.EntryView {
	peers := make(map[string]exchange.Peer)
	for _, p := range e.exchange.Peers(time.Hour) {
		peers[p.Instance] = p
	}
	var views []api.EntryView
	for _, m := range e.owners.Members() {
		view := api.EntryView{
			Instance: m.Instance, FailureDomain: m.FailureDomain, Address: m.Address,
			Live: m.Live, Blocks: m.Blocks, Witnesses: m.Witnesses, LastContactAgo: -1,
		}
		if m.Instance == e.Instance {
			e.addSelf(&view)
		} else if p, reachable := peers[m.Instance]; reachable {
			view.Version = p.Status.Number
			view.LastContactAgo = time.Since(p.LastContact)
			view.TableReadAge, view.TableReachable = p.Status.TableReadAge, p.Status.TableReachable
		}
		views = append(views, view)
	}
	return views
}

func (e *Entry) addSelf(view *api.EntryView) {
	status := e.status()
	view.Self = true
	view.LastContactAgo = 0
	view.Version = status.Number
	view.TableReadAge, view.TableReachable = status.TableReadAge, status.TableReachable
}

// Workers implements operators.Views.
func (e *Entry) Workers() []api.WorkerView {
	views := make([]api.WorkerView, 0)
	for _, w := range e.fleet.List().Workers {
		block := e.blockOf(w)
		_, owner, _ := e.owners.OwnerOf(block)
		view := api.WorkerView{
			Name: w.Name, Upstream: w.Upstream, FailureDomain: w.FailureDomain, Rack: w.Rack,
			Block: block, Owner: owner, State: "listed", Capacity: w.Capacity,
		}
		if w.Leaving {
			view.State = "leaving"
		}
		e.addOwned(&view)
		views = append(views, view)
	}
	return views
}

// addOwned adds the fields that only the owner of a worker has.
func (e *Entry) addOwned(view *api.WorkerView) {
	_, open, ok := e.capacity.Worker(view.Name)
	if !ok {
		return
	}
	used := view.Capacity
	for _, h := range e.capacity.Holdings(view.Name) {
		used = used.Sub(h.Amount)
	}
	view.Free = &used
	view.State = "closed"
	if open {
		view.State = "open"
	}
}

// Teams implements operators.Views.
func (e *Entry) Teams() []api.TeamView {
	usage := e.teamUsage()
	waiting := make(map[string]int)
	e.requests.Each(func(_ string, d *dispatch.Dispatcher) {
		for _, depth := range d.Depths() {
			waiting[depth.Team] += depth.Waiting
		}
	})
	views := make([]api.TeamView, 0)
	for name, t := range e.config.Current().Teams {
		views = append(views, api.TeamView{
			Team: name, Share: t.Share, Limit: t.Limit,
			Running: usage[name], Allotted: e.allotments.Allotted(name), Waiting: waiting[name],
		})
	}
	slices.SortFunc(views, func(a, b api.TeamView) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return views
}

// Jobs implements operators.Views.
func (e *Entry) Jobs(ctx context.Context, team string) ([]api.JobView, error) {
	return e.List(ctx, team)
}

// Burn implements operators.Views.
func (e *Entry) Burn() burn.Part {
	return burn.Part{Entry: e.Instance, Series: e.burn.Series(time.Now())}
}

// Confirm implements operators.Views.
func (e *Entry) Confirm(ctx context.Context, number uint64) (confirmed, unconfirmed []string) {
	for {
		confirmed, unconfirmed = e.confirmations(number)
		if len(unconfirmed) == 0 {
			return confirmed, nil
		}
		select {
		case <-ctx.Done():
			return confirmed, unconfirmed
		case <-time.After(confirmInterval):
		}
		e.exchange.Round(ctx)
	}
}

func (e *Entry) confirmations(number uint64) (confirmed, unconfirmed []string) {
	has := map[string]bool{e.Instance: e.config.Current().Number >= number}
	for _, p := range e.exchange.Peers(peerTimeout) {
		has[p.Instance] = p.Status.Number >= number
	}
	names := append(e.otherEntries(), e.Instance)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if has[name] {
			confirmed = append(confirmed, name)
		} else {
			unconfirmed = append(unconfirmed, name)
		}
	}
	return confirmed, unconfirmed
}

// Drain implements operators.Views.
func (e *Entry) Drain(ctx context.Context, name string, on bool) error {
	if _, ok := e.fleet.List().Worker(name); !ok {
		return &api.Error{Code: api.CodeNotFound, Field: "name", Message: "no such worker: " + name, Ran: api.NotRun}
	}
	_, err := e.Table.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: fleet.DrainPrefix + name, Value: []byte("{}"), Delete: !on}},
	})
	if errors.Is(err, platform.ErrUnavailable) {
		return &api.Error{Code: api.CodeUnavailable, Message: err.Error(), Ran: api.NotRun, RetryAfter: platformRetryAfter}
	}
	return err
}

// ReachablePeers returns the number of other entries with a recent message.
func (e *Entry) ReachablePeers() int { return len(e.exchange.Peers(peerTimeout)) }

// OpenWorkers returns the number of workers that this entry serves.
func (e *Entry) OpenWorkers() int { return e.capacity.Free().Workers }

// BlocksOwned returns the number of blocks that this entry owns.
func (e *Entry) BlocksOwned() int { return len(e.owners.Owned()) }
