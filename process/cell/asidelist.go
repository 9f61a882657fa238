package cell

import (
	"cmp"
	"slices"
	"time"
)

// SetAsideJob describes a job that is set aside.
type SetAsideJob struct {
	Job, Queue, Team string
	Reason           string
	// Since is when the job was set aside; zero if its rows can't be decoded and that hasn't been
	// reported yet.
	Since time.Time
	// ResumeAt is when the job is tried again; zero if it never is.
	ResumeAt time.Time
}

// SetAsideJobs returns the jobs that are set aside, the first ones first.
func (c *Cell) SetAsideJobs() []SetAsideJob {
	var list []SetAsideJob
	for _, job := range c.asides {
		if c.jobs[job.ID] == job && job.aside.active {
			list = append(list, SetAsideJob{
				Job: job.ID, Queue: job.Queue, Team: job.Team, Reason: job.aside.reason, Since: job.aside.since, ResumeAt: job.aside.resumeAt,
			})
		}
	}
	slices.SortFunc(list, func(a, b SetAsideJob) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Job, b.Job)) })
	return list
}
