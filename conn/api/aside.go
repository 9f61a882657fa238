package api

import "time"

// SetAsidePath is the path of the jobs that are set aside, at an entry's metrics port.
const SetAsidePath = "/v1/jobs/set-aside"

// SetAsideView is what an entry on the users' platform knows of jobs that are set aside.
type SetAsideView struct {
	// Schedules is set at the entry that schedules; others know of no jobs.
	Schedules bool              `json:"schedules"`
	Jobs      []SetAsideJobView `json:"jobs"`
}

// SetAsideJobView is a job of which nothing is handled.
type SetAsideJobView struct {
	Job    string `json:"job"`
	Queue  string `json:"queue,omitempty"`
	Team   string `json:"team,omitempty"`
	Reason string `json:"reason"`
	// Since is when it was set aside; zero if that isn't known.
	Since time.Time `json:"since,omitzero"`
	// RetryAt is when it is tried again; zero if it never is, because its rows can't be decoded.
	RetryAt time.Time `json:"retry_at,omitzero"`
}
