package entry

import (
	"fmt"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/allotment"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// orphanMargin is added to the longest run time of orphaned work before the allotments
// of an ended incarnation are freed.
const orphanMargin = 30 * time.Second

func (e *Entry) newAllotments() *allotment.Ledger {
	return allotment.New(allotment.Options{
		Incarnation: e.Incarnation, Table: e.allotmentTable(), Limits: e.teamLimits,
		Ended: e.owners.Ended, FreeEndedAfter: e.orphanLifetime,
		Entries:   func() int { return len(e.fleet.List().Entries) },
		AfterStep: func() { e.requests.Wake() },
	})
}

func (e *Entry) allotmentTable() platform.Table {
	if e.Omit.AllotmentTable != nil {
		return e.Omit.AllotmentTable
	}
	return e.Table
}

func (e *Entry) teamLimits() []allotment.TeamLimit {
	teams := e.config.Current().Teams
	limits := make([]allotment.TeamLimit, 0, len(teams))
	for _, t := range teams {
		limits = append(limits, allotment.TeamLimit{Team: t.Name, Limit: t.Limit})
	}
	return limits
}

// orphanLifetime returns how long work of an ended entry may continue without an owner:
// tasks until their lease expires, requests until their deadline.
func (e *Entry) orphanLifetime() time.Duration {
	longest := e.Timings.TaskLease + leaseMargin
	for _, kind := range e.config.Current().Kinds {
		if kind.Policy == version.PolicyRequest {
			longest = max(longest, kind.Deadline)
		}
	}
	return longest + orphanMargin
}

// NewIncarnation returns a new incarnation name for the process on an instance. Names of
// later incarnations sort after those of earlier ones.
func NewIncarnation(instance string) string {
	return fmt.Sprintf("%s.%013x", instance, time.Now().UnixMilli())
}
