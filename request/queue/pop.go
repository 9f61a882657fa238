package queue

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// minLookahead and maxLookahead bound the run time that is charged in advance.
	minLookahead = 200 * time.Millisecond
	maxLookahead = time.Minute
	// idleCredit is how far the virtual time of a team that becomes active may lag
	// behind that of the queue, in seconds at the rate of a fully shared fleet.
	idleCredit = 500 * time.Millisecond
	// maxCredit and maxDebt bound how far a team's virtual time may lag behind and run
	// ahead of that of the queue, in seconds at the rate of a fully shared fleet.
	maxCredit = 2 * time.Second
	maxDebt   = 10 * time.Second
)

// Pop removes and returns the item that starts next, or nil if there is none. It calls
// admit with the first item of each team and kind, in order, until admit returns true.
// A nil admit admits every item. admit must not call the queue. The caller must call
// Started for the returned item before the next Pop.
func (q *Queue) Pop(now time.Time, admit func(*Item) bool) *Item {
	return q.PopWhere(now, func(it *Item) Decision {
		if admit == nil || admit(it) {
			return Admit
		}
		return Skip
	})
}

// PopWhere is like Pop, but decide can also reject all items of the same kind and
// amount, which keeps the cost of a round low if nothing can start.
func (q *Queue) PopWhere(now time.Time, decide func(*Item) Decision) *Item {
	now = q.advance(now)
	q.collectExpired(now)
	q.round = round{number: q.round.number + 1}
	it := q.firstUrgent(now, decide)
	if it == nil {
		it = q.firstByShare(now, decide)
		if it == nil {
			return nil
		}
		q.virtual = q.teams[it.Team].virtual
	}
	q.dequeue(it)
	q.drainRate.count(now)
	return it
}

// firstUrgent returns the first admitted urgent item of the teams whose urgent work is
// within their share.
func (q *Queue) firstUrgent(now time.Time, decide func(*Item) Decision) *Item {
	if q.urgent == 0 {
		return nil
	}
	q.rank(now, func(t *teamState) bool { return t.urgent > 0 && q.urgentWithinShare(t) })
	return q.firstAdmitted(decide, func(it *Item) bool { return it.Urgent })
}

// firstByShare returns the first admitted item in the order of the teams' virtual times.
func (q *Queue) firstByShare(now time.Time, decide func(*Item) Decision) *Item {
	if q.exhausted() {
		return nil
	}
	q.rank(now, func(t *teamState) bool { return t.queued > 0 })
	return q.firstAdmitted(decide, func(*Item) bool { return true })
}

// firstAdmitted offers the first item of each lane of the ranked teams, if it is
// eligible, and returns the first that is admitted.
func (q *Queue) firstAdmitted(decide func(*Item) Decision, eligible func(*Item) bool) *Item {
	for t := q.ranking.next(); t != nil && !q.exhausted(); t = q.ranking.next() {
		for _, l := range t.lanes {
			if it := l.first.top(); eligible(it) && q.admits(it, decide) {
				return it
			}
		}
	}
	return nil
}

// rank fills the ranking with the eligible teams.
func (q *Queue) rank(now time.Time, eligible func(*teamState) bool) {
	q.ranking.entries = q.ranking.entries[:0]
	ahead, fairRate := q.lookahead(now).Seconds(), q.fairRate()
	for i, t := range q.order {
		if !eligible(t) {
			continue
		}
		t.charge(now, q.total)
		q.clampVirtual(t, fairRate)
		tag := t.virtual + t.rate()*ahead
		q.ranking.entries = append(q.ranking.entries, ranked{team: t, tag: tag, order: i})
	}
	q.ranking.prepare()
}

// lookahead returns the run time that is charged in advance for work in progress, so
// that starts at the same instant count against each other and long work counts before
// it has run for long. It is the mean run time by Little's law (Little, "A Proof for
// the Queuing Formula L = λW", Operations Research 1961).
func (q *Queue) lookahead(now time.Time) time.Duration {
	rate := q.drainRate.perSecond(now)
	if float64(q.running) >= rate*maxLookahead.Seconds() {
		return maxLookahead
	}
	mean := time.Duration(float64(q.running) / rate * float64(time.Second))
	return max(mean, minLookahead)
}

// clampVirtual keeps the team's virtual time within maxCredit and maxDebt of the
// queue's.
func (q *Queue) clampVirtual(t *teamState, fairRate float64) {
	t.virtual = max(t.virtual, q.virtual-maxCredit.Seconds()*fairRate)
	t.virtual = min(t.virtual, q.virtual+maxDebt.Seconds()*fairRate)
}

// fairRate returns how far virtual times advance per second when the whole fleet is
// shared by all teams.
func (q *Queue) fairRate() float64 { return 1 / max(q.weights, 1) }

// urgentWithinShare reports whether the team's running urgent work, including the
// estimate for its peers, is within its weighted share. It is always true while no
// urgent item of the team runs.
func (q *Queue) urgentWithinShare(t *teamState) bool {
	return t.urgentShare*(1+t.peerRatio) < t.weight/max(q.weights, t.weight)
}

// Started records that work of the team has started, whether or not it came from this
// queue.
func (q *Queue) Started(now time.Time, c Charge) {
	q.adjustUsage(q.advance(now), c, 1)
}

// Finished records that work charged by Started has ended.
func (q *Queue) Finished(now time.Time, c Charge) {
	q.adjustUsage(q.advance(now), c, -1)
}

func (q *Queue) adjustUsage(now time.Time, c Charge, sign int64) {
	t := q.team(c.Team)
	t.charge(now, q.total)
	q.running += sign
	t.own = t.own.Add(c.Amount.Times(sign))
	if c.Urgent {
		t.ownUrgent = t.ownUrgent.Add(c.Amount.Times(sign))
	}
	t.updateShares(q.total)
}

// SetTeams replaces weights and queue limits. Items of teams that are no longer
// configured stay queued, with weight 1.
func (q *Queue) SetTeams(now time.Time, teams []Team) {
	now = q.advance(now)
	for _, t := range q.order {
		t.charge(now, q.total)
		t.weight, t.queueLimit, t.configured = 1, 0, false
	}
	q.weights = 0
	for _, config := range teams {
		t := q.team(config.Name)
		t.weight = float64(max(1, config.Weight))
		t.queueLimit = config.QueueLimit
		t.configured = true
		q.weights += t.weight
	}
	q.updateTeams()
}

// SetTotal replaces the capacity that shares are relative to.
func (q *Queue) SetTotal(now time.Time, total resource.Amount) {
	now = q.advance(now)
	for _, t := range q.order {
		t.charge(now, q.total)
	}
	q.total = total
	q.updateTeams()
}

// updateTeams recomputes the shares of every team and removes idle teams.
func (q *Queue) updateTeams() {
	q.order = slices.DeleteFunc(q.order, func(t *teamState) bool {
		if t.idle() {
			delete(q.teams, t.name)
			return true
		}
		t.updateShares(q.total)
		return false
	})
}

// team returns the state of the team and creates it if there is none.
func (q *Queue) team(name string) *teamState {
	t := q.teams[name]
	if t == nil {
		t = newTeamState(name)
		t.charged = q.now
		q.teams[name] = t
		q.order = append(q.order, t)
	}
	return t
}
