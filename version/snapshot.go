package version

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Policy is how the tasks of a kind of work are run.
type Policy string

// The policies of kinds of work.
const (
	// PolicyRequest is answered by an upstream's worker.
	PolicyRequest Policy = "request"
	// PolicyService runs until it is cancelled and is restarted when it ends.
	PolicyService Policy = "service"
	// PolicyBatch runs its tasks in any order to their end.
	PolicyBatch Policy = "batch"
	// PolicyAllAtOnce starts all tasks together or none.
	PolicyAllAtOnce Policy = "all-at-once"
)

// Snapshot is one compiled configuration. It is immutable: it is replaced whole
// and never by one with a lower number.
type Snapshot struct {
	// Number is the version number in the table's head row; 0 is the empty
	// configuration before the first apply.
	Number    uint64
	Teams     map[string]*Team
	Kinds     map[string]*Kind
	Upstreams map[string]*Upstream
	// Keys maps the hex SHA-256 of a key to its record.
	Keys map[string]*Key
}

// Team is a customer with a share and an upper limit.
type Team struct {
	Name string
	// Share is the weight of the team when everything is full; at least 1.
	Share int64
	// Limit is the most the team may have running across the fleet. A
	// dimension without limit holds NoLimit.
	Limit resource.Amount
	// QueueLimit is how many requests of the team an entry keeps waiting.
	QueueLimit int
	// Objectives are the team's service levels, by kind name ("" for all).
	Objectives []Objective
}

// NoLimit is the value of a limit's dimension that the records leave out.
const NoLimit = int64(1) << 40

// Objective is a service level.
type Objective struct {
	Kind string
	// Waiting is the bound on waiting time for the target fraction.
	Waiting time.Duration
	// Target is the fraction of work to be answered within Waiting, in (0, 1).
	Target float64
}

// Key is the right of its holder to act for a team.
type Key struct {
	ID   string
	Team string
}

// Kind is a kind of work.
type Kind struct {
	Name   string
	Policy Policy
	// Upstream names the service that answers; PolicyRequest only.
	Upstream string
	// Idempotent work may be sent twice.
	Idempotent bool
	// Urgent work goes before all other work of its team and starts within the
	// urgent bound.
	Urgent bool
	// Deadline is the default and longest time a request may take from admission
	// to answer.
	Deadline time.Duration
	// Amount is the declared size of one task or request.
	Amount resource.Amount
	// RunTime is the declared run time of a task; 0 for services.
	RunTime time.Duration
	// MaxTasks is the most tasks a job of the kind may have.
	MaxTasks int
	// Attempts is how often a task may be started.
	Attempts int
	// Teams lists who may hand it in; empty means all.
	Teams []string
}

// Upstream is a named service and the workers that carry it.
type Upstream struct {
	Name string
	// RetryBudget is the share of first attempts that may be retried, in [0, 1].
	RetryBudget float64
}

// Allows reports whether the team may hand in work of this kind.
func (k *Kind) Allows(team string) bool {
	if len(k.Teams) == 0 {
		return true
	}
	for _, name := range k.Teams {
		if name == team {
			return true
		}
	}
	return false
}
