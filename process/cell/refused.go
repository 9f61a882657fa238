package cell

import "time"

const (
	// rememberRefused is how long the first try of a refused job is remembered.
	rememberRefused = 20 * time.Second
	// maxRefused bounds the jobs remembered.
	maxRefused = 20000
)

// firstTry is when a job was handed in first, and whether it was beyond its team's
// weight then.
type firstTry struct {
	at      time.Time
	surplus bool
}

// refusedJobs remembers the first tries of refused jobs: a job that comes back is as
// old as it is, since its user has waited all the while, and counts for its team's
// weight once.
type refusedJobs struct {
	first map[string]firstTry
	// order holds the ids as they were remembered.
	order []refusedID
}

type refusedID struct {
	id string
	at time.Time
}

func newRefusedJobs() *refusedJobs { return &refusedJobs{first: make(map[string]firstTry)} }

// remember keeps the first try of a job that was refused.
func (r *refusedJobs) remember(now time.Time, id string, first firstTry) {
	if _, known := r.first[id]; !known {
		r.order = append(r.order, refusedID{id, now})
	}
	r.first[id] = first
	r.forgetOld(now)
}

// recall returns the first try of a job, the zero value if it isn't remembered.
func (r *refusedJobs) recall(now time.Time, id string) firstTry {
	r.forgetOld(now)
	return r.first[id]
}

func (r *refusedJobs) forgetOld(now time.Time) {
	for len(r.order) > 0 && (len(r.order) > maxRefused || now.Sub(r.order[0].at) > rememberRefused) {
		delete(r.first, r.order[0].id)
		r.order = r.order[1:]
	}
}
