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

// applyOmissions wraps the platform to disable the mechanisms in Omit.
func (c *Config) applyOmissions() {
	if c.Omit.Conditions || c.Omit.ReadBack || c.Omit.Leaving {
		c.Table = omittingTable{c.Table, c.Omit}
	}
	if c.Omit.Leaving {
		c.Instances = ignoreLeaving{c.Instances}
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

// ignoreLeaving lists all instances as not leaving.
type ignoreLeaving struct{ platform.Instances }

// List implements platform.Instances.
func (i ignoreLeaving) List(ctx context.Context) ([]platform.Instance, error) {
	list, err := i.Instances.List(ctx)
	for k := range list {
		list[k].Leaving = false
	}
	return list, err
}

// admission returns the configuration that admission depends on.
func (e *Entry) admission() callers.Config {
	if e.Omit.ConfigBound {
		return alwaysAdmitting{e.config}
	}
	return e.config
}

// alwaysAdmitting admits regardless of the configuration's age.
type alwaysAdmitting struct{ *store.Store }

// Admitting implements callers.Config.
func (alwaysAdmitting) Admitting(time.Time) bool { return true }

// requestRunner returns the implementation of callers.Requests, without the teams'
// isolation if that is omitted.
func (e *Entry) requestRunner() callers.Requests {
	if e.Omit.TeamIsolation {
		return singleTeam{e}
	}
	return e.callersRequests()
}

// callersJobs returns the implementation of callers.Jobs.
func (e *Entry) callersJobs() callers.Jobs {
	if e.Omit.TeamIsolation {
		return allTeamsJobs{e}
	}
	return e
}

// singleTeam runs all requests as those of one team.
type singleTeam struct{ e *Entry }

// Do implements callers.Requests.
func (s singleTeam) Do(ctx context.Context, r *attempt.Request) attempt.Outcome {
	r.Team = s.e.teams()[0]
	return s.e.requests.Do(ctx, r)
}

// teams returns the names of the teams, sorted.
func (e *Entry) teams() []string { return slices.Sorted(maps.Keys(e.config.Current().Teams)) }

// allTeamsJobs finds a job regardless of the caller's team.
type allTeamsJobs struct{ *Entry }

// Get implements callers.Jobs.
func (a allTeamsJobs) Get(ctx context.Context, _, id string) (api.JobView, error) {
	return a.find(func(team string) (api.JobView, error) { return a.Entry.Get(ctx, team, id) })
}

// Cancel implements callers.Jobs.
func (a allTeamsJobs) Cancel(ctx context.Context, _, id string) (api.JobView, error) {
	return a.find(func(team string) (api.JobView, error) { return a.Entry.Cancel(ctx, team, id) })
}

// find returns the first successful result over all teams.
func (a allTeamsJobs) find(call func(team string) (api.JobView, error)) (view api.JobView, err error) {
	for _, team := range a.teams() {
		if view, err = call(team); err == nil {
			return view, nil
		}
	}
	return view, err
}
