package cell

import "time"

// adviceState holds the advice for a step: on which workers the advisory service allows
// it to run, with a ticket for each of them. Only queues whose policy has Advice need it.
type adviceState struct {
	// calls counts the calls in progress.
	calls int
	// byWorker holds the reply for each worker.
	byWorker map[*Worker]workerAdvice
	// allowed lists the workers that some reply allowed, in the order of the replies. A
	// worker stays listed when it restarts or when its ticket expires.
	allowed []*Worker
	// ticketsExpireAt is when the last ticket received expires.
	ticketsExpireAt time.Time
	retryAt         time.Time
	// exploreAt is when a gang may look again for workers on which no advice is known.
	exploreAt time.Time
	// searchWidth is how many times wider than a gang's first search for such workers the next one is; 0
	// before the first.
	searchWidth float64
}

// workerAdvice is the advisory service's reply for one incarnation of a worker. The reply for
// another incarnation, or for none, says nothing.
type workerAdvice struct {
	allowed     bool
	incarnation int64
	ticket      string
	until       time.Time
	// listed is set once the worker is in adviceState.allowed.
	listed bool
}

// Ticket is the permission to run a step on a worker.
type Ticket struct {
	Worker string
	Text   string
}

// setRefused records that a reply didn't allow w.
func (a *adviceState) setRefused(w *Worker) { a.set(w, workerAdvice{incarnation: w.incarnation}) }

// setAllowed records that a reply allowed w, with the ticket and its expiry.
func (a *adviceState) setAllowed(w *Worker, ticket string, until time.Time) {
	a.set(w, workerAdvice{allowed: true, incarnation: w.incarnation, ticket: ticket, until: until})
	a.ticketsExpireAt = until
}

// forget drops the reply for w, so that advice on it is requested again.
func (a *adviceState) forget(w *Worker) { a.set(w, workerAdvice{}) }

func (a *adviceState) set(w *Worker, reply workerAdvice) {
	if a.byWorker == nil {
		a.byWorker = make(map[*Worker]workerAdvice)
	}
	reply.listed = a.byWorker[w].listed
	if reply.allowed && !reply.listed {
		reply.listed = true
		a.allowed = append(a.allowed, w)
	}
	a.byWorker[w] = reply
}

// hasTicket reports whether the step holds a valid ticket for w or needs none.
func (c *Cell) hasTicket(now time.Time, s *step, w *Worker) bool {
	if s.occ.job.Policy.Advice == nil {
		return true
	}
	v, ok := s.advice.byWorker[w]
	return ok && v.allowed && v.incarnation == w.incarnation && v.until.After(now.Add(2*ticketMargin))
}

// validUntil returns until when the step holds a valid ticket for w; zero if it holds none.
func (a *adviceState) validUntil(w *Worker) time.Time {
	v, ok := a.byWorker[w]
	if !ok || !v.allowed || v.incarnation != w.incarnation {
		return time.Time{}
	}
	return v.until
}

// allows reports whether the step needs no advice or the service has allowed it to run
// on w, whether or not the ticket is still valid.
func (a *adviceState) allows(s *step, w *Worker) bool {
	if s.occ.job.Policy.Advice == nil {
		return true
	}
	v, ok := a.byWorker[w]
	return ok && v.allowed && v.incarnation == w.incarnation
}

// known reports whether the service has allowed or refused w for the step.
func (a *adviceState) known(w *Worker) bool {
	v, ok := a.byWorker[w]
	return ok && v.incarnation == w.incarnation
}

// refused reports whether the service refused w for the step.
func (a *adviceState) refused(w *Worker) bool {
	v, ok := a.byWorker[w]
	return ok && !v.allowed && v.incarnation == w.incarnation
}
