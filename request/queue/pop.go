package queue

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

const (
	// minLookahead and maxLookahead bound the running time that work is charged
	// for in advance.
	minLookahead = 200 * time.Millisecond
	maxLookahead = time.Minute
	// idleCredit is how far a team may lie behind when it has work again, in
	// time at the rate of a fully shared fleet.
	idleCredit = 500 * time.Millisecond
	// maxCredit and maxDebt bound how far a team's virtual time may lie behind
	// and ahead of the queue's, in time at the rate of a fully shared fleet.
	maxCredit = 2 * time.Second
	maxDebt   = 10 * time.Second
)

// Pop takes out the item that starts next, nil if there is none. It asks admit
// about the first item of one team and kind after the other, in order, until admit
// returns true; a nil admit admits everything. admit must not call the queue. The
// caller reports the start with Started before the next Pop.
func (q *Queue) Pop(now time.Time, admit func(*Item) bool) *Item {
	return q.PopWhere(now, func(it *Item) Answer {
		if admit == nil || admit(it) {
			return Admit
		}
		return Refuse
	})
}

// PopWhere is Pop with an answer that can also speak for all items of the same kind
// and amount, which makes a turn that starts nothing cheap.
func (q *Queue) PopWhere(now time.Time, ask func(*Item) Answer) *Item {
	now = q.advance(now)
	q.collectLate(now)
	q.turn = turn{number: q.turn.number + 1}
	it := q.firstUrgent(now, ask)
	if it == nil {
		it = q.firstOfAll(now, ask)
		if it == nil {
			return nil
		}
		q.virtual = q.teams[it.Team].virtual
	}
	q.drop(it)
	q.drained.count(now)
	return it
}

// firstUrgent returns the first urgent item of teams within their bound.
func (q *Queue) firstUrgent(now time.Time, ask func(*Item) Answer) *Item {
	if q.urgent == 0 {
		return nil
	}
	q.rank(now, func(t *teamState) bool { return t.urgent > 0 && q.urgentWithinShare(t) })
	return q.firstAdmitted(ask, func(it *Item) bool { return it.Urgent })
}

// firstOfAll returns the first item in the order between teams.
func (q *Queue) firstOfAll(now time.Time, ask func(*Item) Answer) *Item {
	if q.exhausted() {
		return nil
	}
	q.rank(now, func(t *teamState) bool { return t.queued > 0 })
	return q.firstAdmitted(ask, func(*Item) bool { return true })
}

// firstAdmitted asks about the first items of the ranked teams, in order.
func (q *Queue) firstAdmitted(ask func(*Item) Answer, takesPart func(*Item) bool) *Item {
	for t := q.ranking.next(); t != nil && !q.exhausted(); t = q.ranking.next() {
		for _, l := range t.lanes {
			if it := l.first.top(); takesPart(it) && q.admits(it, ask) {
				return it
			}
		}
	}
	return nil
}

// rank fills the ranking with the teams that take part.
func (q *Queue) rank(now time.Time, takesPart func(*teamState) bool) {
	q.ranking.entries = q.ranking.entries[:0]
	ahead, fairRate := q.lookahead(now).Seconds(), q.fairRate()
	for i, t := range q.order {
		if !takesPart(t) {
			continue
		}
		t.charge(now, q.total)
		q.bound(t, fairRate)
		tag := t.virtual + t.rate()*ahead
		q.ranking.entries = append(q.ranking.entries, ranked{team: t, tag: tag, order: i})
	}
	q.ranking.prepare()
}

// lookahead is the running time that work in progress is charged for in advance, so
// that starts made at the same instant count against each other, and long work
// counts before it has run for long. It is the mean run time by Little's law
// (Little, "A Proof for the Queuing Formula L = λW", Operations Research 1961).
func (q *Queue) lookahead(now time.Time) time.Duration {
	rate := q.drained.perSecond(now)
	if float64(q.running) >= rate*maxLookahead.Seconds() {
		return maxLookahead
	}
	mean := time.Duration(float64(q.running) / rate * float64(time.Second))
	return max(mean, minLookahead)
}

// bound keeps the team's virtual time near the queue's.
func (q *Queue) bound(t *teamState, fairRate float64) {
	t.virtual = max(t.virtual, q.virtual-maxCredit.Seconds()*fairRate)
	t.virtual = min(t.virtual, q.virtual+maxDebt.Seconds()*fairRate)
}

// fairRate is how far virtual times move in a second when the whole fleet is shared by
// all teams.
func (q *Queue) fairRate() float64 { return 1 / max(q.weights, 1) }

// urgentWithinShare reports whether the team's running urgent work, with what peers
// are taken to run of it, is within its weighted share. The first urgent item always is.
func (q *Queue) urgentWithinShare(t *teamState) bool {
	return t.urgentShare*(1+t.peerRatio) < t.weight/max(q.weights, t.weight)
}

// Started reports that work of the team runs, whether it came from this queue or
// not.
func (q *Queue) Started(now time.Time, c Charge) {
	q.change(q.advance(now), c, 1)
}

// Finished reports that work charged before runs no more.
func (q *Queue) Finished(now time.Time, c Charge) {
	q.change(q.advance(now), c, -1)
}

func (q *Queue) change(now time.Time, c Charge, sign int64) {
	t := q.team(c.Team)
	t.charge(now, q.total)
	q.running += sign
	t.own = t.own.Add(c.Amount.Times(sign))
	if c.Urgent {
		t.ownUrgent = t.ownUrgent.Add(c.Amount.Times(sign))
	}
	t.measure(q.total)
}

// SetTeams replaces weights and queue limits. Items of teams that are gone stay
// queued, with weight 1.
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
	q.measure()
}

// SetTotal replaces the capacity that shares are fractions of.
func (q *Queue) SetTotal(now time.Time, total resource.Amount) {
	now = q.advance(now)
	for _, t := range q.order {
		t.charge(now, q.total)
	}
	q.total = total
	q.measure()
}

// measure recomputes every team's rate and forgets the teams that are idle.
func (q *Queue) measure() {
	q.order = slices.DeleteFunc(q.order, func(t *teamState) bool {
		if t.idle() {
			delete(q.teams, t.name)
			return true
		}
		t.measure(q.total)
		return false
	})
}

// team returns the team's state, made when it is first seen.
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
