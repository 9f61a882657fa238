package cell

import "time"

const (
	// refusedRetention is how long the first submission of a refused job is kept.
	refusedRetention = 20 * time.Second
	// maxRefused bounds the number of refused jobs kept.
	maxRefused = 20000
)

// firstSubmission is when a job was first submitted, and whether it was beyond its
// team's guaranteed share then.
type firstSubmission struct {
	at        time.Time
	overShare bool
}

// refusedJobs keeps the first submission of each refused job. A retried job keeps its
// original submission time, since its user has been waiting since then, and counts
// towards its team's share only once.
type refusedJobs struct {
	first map[string]firstSubmission
	// order holds the ids in the order in which they were added, oldest first.
	order []refusedID
}

type refusedID struct {
	id string
	at time.Time
}

func newRefusedJobs() *refusedJobs { return &refusedJobs{first: make(map[string]firstSubmission)} }

// add stores the first submission of a refused job.
func (r *refusedJobs) add(now time.Time, id string, first firstSubmission) {
	if _, known := r.first[id]; !known {
		r.order = append(r.order, refusedID{id, now})
	}
	r.first[id] = first
	r.evictExpired(now)
}

// lookup returns the first submission of a job, or the zero value if it isn't stored.
func (r *refusedJobs) lookup(now time.Time, id string) firstSubmission {
	r.evictExpired(now)
	return r.first[id]
}

// evictExpired drops entries older than refusedRetention, and the oldest ones beyond
// maxRefused.
func (r *refusedJobs) evictExpired(now time.Time) {
	for len(r.order) > 0 && (len(r.order) > maxRefused || now.Sub(r.order[0].at) > refusedRetention) {
		delete(r.first, r.order[0].id)
		r.order = r.order[1:]
	}
}
