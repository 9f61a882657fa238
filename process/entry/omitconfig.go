package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/callers"
	"github.com/kingcuplatch/kingcuplatch/process/fleet"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// leaveOut wraps the platform where Omit asks for it.
func (c *Config) leaveOut() {
	if c.Omit.Conditions || c.Omit.ReadBack || c.Omit.Leaving {
		c.Table = omittingTable{c.Table, c.Omit}
	}
	if c.Omit.Leaving {
		c.Instances = neverLeaving{c.Instances}
	}
}

// omittingTable is a table without some of its guarantees.
type omittingTable struct {
	platform.Table
	omit Omissions
}

// Commit implements platform.Table.
func (t omittingTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if t.omit.Conditions && slices.ContainsFunc(txn.Writes, func(w platform.Write) bool { return w.Key == store.HeadKey }) {
		txn.Conditions = nil
	}
	version, err := t.Table.Commit(ctx, txn)
	if t.omit.ReadBack && errors.Is(err, platform.ErrUnknown) {
		err = platform.ErrUnavailable
	}
	return version, err
}

// Scan implements platform.Table.
func (t omittingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.omit.Leaving && prefix == fleet.DrainPrefix {
		return nil, nil
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

// neverLeaving lists instances as if none left.
type neverLeaving struct{ platform.Instances }

// List implements platform.Instances.
func (n neverLeaving) List(ctx context.Context) ([]platform.Instance, error) {
	list, err := n.Instances.List(ctx)
	for i := range list {
		list[i].Leaving = false
	}
	return list, err
}

// admission is the configuration that callers are admitted by.
func (e *Entry) admission() callers.Config {
	if e.Omit.ConfigBound {
		return alwaysAdmitting{e.config}
	}
	return e.config
}

// alwaysAdmitting admits however old the configuration is.
type alwaysAdmitting struct{ *store.Store }

// Admitting implements callers.Config.
func (alwaysAdmitting) Admitting(time.Time) bool { return true }

// runner runs callers' requests.
func (e *Entry) runner() callers.Requests {
	if e.Omit.TeamOfWork {
		return oneTeam{e}
	}
	return e.callersRequests()
}

// jobsOfCallers keeps callers' jobs.
func (e *Entry) jobsOfCallers() callers.Jobs {
	if e.Omit.TeamOfWork {
		return anyTeamsJobs{e}
	}
	return e
}

// oneTeam runs all requests as those of one team.
type oneTeam struct{ e *Entry }

// Do implements callers.Requests.
func (o oneTeam) Do(ctx context.Context, r *attempt.Request) attempt.Outcome {
	r.Team = o.e.teams()[0]
	return o.e.requests.Do(ctx, r)
}

// teams returns the teams' names in order.
func (e *Entry) teams() []string { return slices.Sorted(maps.Keys(e.config.Current().Teams)) }

// anyTeamsJobs finds a job whatever team the caller is of.
type anyTeamsJobs struct{ *Entry }

// Get implements callers.Jobs.
func (a anyTeamsJobs) Get(ctx context.Context, _, id string) (api.JobView, error) {
	return a.find(func(team string) (api.JobView, error) { return a.Entry.Get(ctx, team, id) })
}

// Cancel implements callers.Jobs.
func (a anyTeamsJobs) Cancel(ctx context.Context, _, id string) (api.JobView, error) {
	return a.find(func(team string) (api.JobView, error) { return a.Entry.Cancel(ctx, team, id) })
}

// find returns the first answer that isn't an error.
func (a anyTeamsJobs) find(call func(team string) (api.JobView, error)) (view api.JobView, err error) {
	for _, team := range a.teams() {
		if view, err = call(team); err == nil {
			return view, nil
		}
	}
	return view, err
}
