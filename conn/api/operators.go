package api

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// File is one file of operators' records.
type File struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// ApplyRequest replaces all records with those of the files, as one change.
type ApplyRequest struct {
	// ChangeID makes the change idempotent: an ID is applied once.
	ChangeID string `json:"change_id"`
	// Base is the version that the change was made from; 0 accepts any.
	Base  uint64 `json:"base,omitempty"`
	Files []File `json:"files"`
}

// ApplyResult lists what a change did and the entries in which it is in force.
type ApplyResult struct {
	Version uint64 `json:"version"`
	// AlreadyApplied is set if the change ID had been accepted before.
	AlreadyApplied bool     `json:"already_applied,omitempty"`
	Changes        []string `json:"changes"`
	// Confirmed lists the entries that confirmed in time that the version is in force
	// there, Unconfirmed the others.
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// PlanResult lists what an apply would change.
type PlanResult struct {
	Base    uint64   `json:"base"`
	Changes []string `json:"changes"`
}

// RecordsView is the configuration in force as one canonical file.
type RecordsView struct {
	Version uint64 `json:"version"`
	Data    string `json:"data"`
}

// EntryView is the state of an entry as known to the answering entry.
type EntryView struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// Live is set if the entry's row in the table marks it as live.
	Live bool `json:"live"`
	// Self marks the answering entry.
	Self bool `json:"self,omitempty"`
	// Blocks is the number of blocks that the entry owns.
	Blocks int `json:"blocks"`
	// Witnesses lists the entries that confirm the entry's heartbeats.
	Witnesses []string `json:"guards,omitempty"`
	// Version is the configuration version in force there, 0 if unknown.
	Version uint64 `json:"version"`
	// LastContactAgo is the time since the last contact, negative if there was none.
	LastContactAgo time.Duration `json:"heard_ago_ns"`
	// TableReadAge is the time since its last successful read of the table's head row.
	TableReadAge   time.Duration `json:"store_age_ns"`
	TableReachable bool          `json:"store_reachable"`
}

// WorkerView is the state of a worker as known to its owner, or from the instance list.
type WorkerView struct {
	Name          string          `json:"name"`
	Upstream      string          `json:"upstream,omitempty"`
	FailureDomain string          `json:"failure_domain"`
	Rack          string          `json:"rack"`
	Block         string          `json:"block"`
	Owner         string          `json:"owner,omitempty"`
	State         string          `json:"state"`
	Capacity      resource.Amount `json:"capacity"`
	// Free is set only for workers that the answering entry owns.
	Free *resource.Amount `json:"free,omitempty"`
}

// TeamView is the state of a team, summed over the entries that are reachable.
type TeamView struct {
	Team  string `json:"team"`
	Share int64  `json:"share"`
	// Limit is the team's upper limit, Running the amount that its work uses in the fleet,
	// and Allotted the amount that it may use through the answering entry.
	Limit    resource.Amount `json:"limit"`
	Running  resource.Amount `json:"running"`
	Allotted resource.Amount `json:"held"`
	// Waiting is the number of requests waiting at the answering entry.
	Waiting int `json:"waiting"`
}
