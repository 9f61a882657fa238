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

// ApplyRequest replaces all records by those of the files, as one change.
type ApplyRequest struct {
	// ChangeID makes the change idempotent; the same id is applied once.
	ChangeID string `json:"change_id"`
	// Base is the version the change was made from; 0 accepts any.
	Base  uint64 `json:"base,omitempty"`
	Files []File `json:"files"`
}

// ApplyResult tells what a change did and where it is in force.
type ApplyResult struct {
	Version uint64 `json:"version"`
	// AlreadyApplied is set when the change id had been accepted before.
	AlreadyApplied bool     `json:"already_applied,omitempty"`
	Changes        []string `json:"changes"`
	// Confirmed and Unconfirmed name the entries that said, or did not say in
	// time, that the version is in force there.
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// PlanResult tells what an apply would change.
type PlanResult struct {
	Base    uint64   `json:"base"`
	Changes []string `json:"changes"`
}

// RecordsView is the configuration in force as one canonical file.
type RecordsView struct {
	Version uint64 `json:"version"`
	Data    string `json:"data"`
}

// EntryView is an entry as another entry sees it.
type EntryView struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// Live says whether its row in the table is live.
	Live bool `json:"live"`
	// Self marks the entry that answers.
	Self   bool     `json:"self,omitempty"`
	Blocks int      `json:"blocks"`
	Guards []string `json:"guards,omitempty"`
	// Version is the configuration in force there, 0 if not heard of.
	Version uint64 `json:"version"`
	// HeardAgo is the time since it was heard; negative if never.
	HeardAgo time.Duration `json:"heard_ago_ns"`
	// StoreAge is the time since it read the platform's head row.
	StoreAge       time.Duration `json:"store_age_ns"`
	StoreReachable bool          `json:"store_reachable"`
}

// WorkerView is a worker as its owner, or the instance list, knows it.
type WorkerView struct {
	Name          string          `json:"name"`
	Upstream      string          `json:"upstream,omitempty"`
	FailureDomain string          `json:"failure_domain"`
	Rack          string          `json:"rack"`
	Block         string          `json:"block"`
	Owner         string          `json:"owner,omitempty"`
	State         string          `json:"state"`
	Capacity      resource.Amount `json:"capacity"`
	// Free is known for the workers of the answering entry only.
	Free *resource.Amount `json:"free,omitempty"`
}

// TeamView is a team across the entries that were heard.
type TeamView struct {
	Team  string `json:"team"`
	Share int64  `json:"share"`
	// Limit, Running and Held: the upper limit, what runs in the fleet, and what
	// this entry may have running.
	Limit   resource.Amount `json:"limit"`
	Running resource.Amount `json:"running"`
	Held    resource.Amount `json:"held"`
	// Waiting counts requests waiting at this entry.
	Waiting int `json:"waiting"`
}
