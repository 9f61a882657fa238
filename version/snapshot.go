package version

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Policy defines how the work of a kind is run.
type Policy string

// The policies of kinds of work.
const (
	// PolicyRequest is a single call that a worker of an upstream answers.
	PolicyRequest Policy = "request"
	// PolicyService runs until it is cancelled, and is restarted whenever it ends.
	PolicyService Policy = "service"
	// PolicyBatch runs each task to completion, in any order.
	PolicyBatch Policy = "batch"
	// PolicyAllAtOnce starts either all tasks together or none.
	PolicyAllAtOnce Policy = "all-at-once"
)

// Snapshot is a compiled version of the configuration. It is immutable. A new version
// replaces it completely, and numbers only increase.
type Snapshot struct {
	// Number is the version number from the table's head row, 0 for the empty configuration
	// before the first apply.
	Number    uint64
	Teams     map[string]*Team
	Kinds     map[string]*Kind
	Upstreams map[string]*Upstream
	// Keys maps the hexadecimal SHA-256 of a key to its record.
	Keys map[string]*Key
}

// Team is a client account with a share of the fleet and an upper limit.
type Team struct {
	Name string
	// Share is the weight of the team under full load, at least 1.
	Share int64
	// Limit is the maximum amount that the team may have running across the fleet. A
	// dimension without a limit is NoLimit.
	Limit resource.Amount
	// QueueLimit is the maximum number of the team's requests that wait at an entry.
	QueueLimit int
	// Objectives are the team's service level objectives.
	Objectives []Objective
}

// NoLimit is the value of a limit's dimension that the records do not set.
const NoLimit = int64(1) << 40

// Objective is a service level objective.
type Objective struct {
	// Kind is the name of the kind of work, "" for all kinds.
	Kind string
	// Waiting is the maximum waiting time for the target fraction of the work.
	Waiting time.Duration
	// Target is the fraction of the work that must be answered after waiting at most
	// Waiting, in (0, 1).
	Target float64
}

// Key authorizes its holder to act for a team.
type Key struct {
	ID   string
	Team string
}

// Kind is a kind of work.
type Kind struct {
	Name   string
	Policy Policy
	// Upstream is the service that answers; PolicyRequest only.
	Upstream string
	// Idempotent work may be sent more than once.
	Idempotent bool
	// Urgent work precedes all other work of its team and must start within the bound on
	// the waiting time of urgent work.
	Urgent bool
	// Deadline is the default and the maximum time of a request from admission to answer.
	Deadline time.Duration
	// Amount is the declared size of one task or request.
	Amount resource.Amount
	// RunTime is the declared run time of a task, 0 for services.
	RunTime time.Duration
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks int
	// Attempts is the maximum number of starts of a task or request.
	Attempts int
	// Teams lists the teams that may submit the work; empty means all.
	Teams []string
}

// Upstream is a service that workers provide.
type Upstream struct {
	Name string
	// RetryBudget is the ratio of retries to first attempts that is allowed, in [0, 1].
	RetryBudget float64
}

// Allows reports whether the team may submit work of this kind.
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
