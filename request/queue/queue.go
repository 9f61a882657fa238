package queue

import (
	"container/heap"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Config is the configuration of a Queue.
type Config struct {
	// Total is the capacity that shares are relative to: that of the whole fleet.
	Total resource.Amount
	// Limit is the maximum number of waiting items of all teams together; at least 1.
	Limit int
	Teams []Team
}

// Queue holds the waiting items of all teams. The package comment describes the order
// in which they start.
type Queue struct {
	total resource.Amount
	limit int
	teams map[string]*teamState
	// order lists the teams in the order in which they were first seen, so that ties do
	// not depend on map order.
	order    []*teamState
	items    map[string]*Item
	peers    map[string]*peerState
	sequence uint64
	// virtual is the virtual time of the team started last.
	virtual float64
	// weights is the sum of the weights of the configured teams.
	weights   float64
	drainRate rateMeter
	// urgent is the number of urgent items waiting.
	urgent int
	// running is the number of charges started and not finished.
	running int64
	now     time.Time
	// classes holds the classes of the waiting items.
	classes map[classKey]*class
	// round is the current or last run of Pop.
	round round
	// ranking is scratch space of Pop.
	ranking ranking
	// expiry orders the items that have a deadline by startBy.
	expiry itemHeap
	// expired holds items that can no longer meet their deadline, until Expire returns
	// them.
	expired []*Item
}

// New returns an empty queue.
func New(config Config) *Queue {
	q := &Queue{
		total:   config.Total,
		limit:   max(1, config.Limit),
		teams:   make(map[string]*teamState),
		items:   make(map[string]*Item),
		peers:   make(map[string]*peerState),
		classes: make(map[classKey]*class),
		expiry: itemHeap{
			less:  func(a, b *Item) bool { return a.startBy.Before(b.startBy) },
			index: func(it *Item) *int { return &it.expiryIndex },
		},
	}
	q.SetTeams(time.Time{}, config.Teams)
	return q
}

// Push queues the item. The returned items were shed in its place: they have not run
// and will not run. The error is a *FullError if the new item itself was shed, a
// *LateError if its deadline cannot be met, or a *DuplicateError.
func (q *Queue) Push(now time.Time, it *Item) ([]*Item, error) {
	now = q.advance(now)
	if _, queued := q.items[it.ID]; queued {
		return nil, &DuplicateError{ID: it.ID}
	}
	q.sequence++
	it.prepare(q.sequence)
	if it.late(now) {
		return nil, &LateError{Team: it.Team, Deadline: it.Deadline}
	}
	t := q.team(it.Team)
	q.activate(now, t)
	q.enqueue(t, it)
	return q.shed(now, t, it)
}

// activate limits the credit of a team that had no waiting items to idleCredit.
func (q *Queue) activate(now time.Time, t *teamState) {
	t.charge(now, q.total)
	if t.queued == 0 {
		t.virtual = max(t.virtual, q.virtual-idleCredit.Seconds()*q.fairRate())
	}
}

// shed removes one item if a limit is exceeded after the item was added to team t.
func (q *Queue) shed(now time.Time, t *teamState, it *Item) ([]*Item, error) {
	var victim *Item
	teamLimit := t.queueLimit > 0 && t.queued > t.queueLimit
	switch {
	case teamLimit:
		victim = t.lastItem()
	case len(q.items) > q.limit:
		victim = q.mostOverShare().lastItem()
	default:
		return nil, nil
	}
	q.dequeue(victim)
	if victim != it {
		return []*Item{victim}, nil
	}
	full := &FullError{Team: t.name, Waiting: len(q.items), TeamLimit: teamLimit, RetryAfter: q.RetryAfter(now)}
	if teamLimit {
		full.Waiting = t.queued
	}
	return nil, full
}

// mostOverShare returns the team with waiting items whose demand exceeds its weighted
// share the most.
func (q *Queue) mostOverShare() *teamState {
	var worst *teamState
	var most float64
	for _, t := range q.order {
		if t.queued == 0 {
			continue
		}
		if demand := t.demand(q.total); worst == nil || demand > most {
			worst, most = t, demand
		}
	}
	return worst
}

// Remove removes the item and reports whether it was waiting.
func (q *Queue) Remove(id string) (*Item, bool) {
	it, queued := q.items[id]
	if queued {
		q.dequeue(it)
	}
	return it, queued
}

// CanStart reports whether this item, and not another one with its ID, is waiting and
// can still meet its deadline.
func (q *Queue) CanStart(now time.Time, it *Item) bool {
	return q.items[it.ID] == it && !it.late(q.advance(now))
}

// Lag returns how far the team's virtual time is behind the queue's, as the time in which
// virtual times advance as far when the whole fleet is shared by all teams. It is between
// zero and maxCredit.
func (q *Queue) Lag(now time.Time, team string) time.Duration {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	t.charge(q.advance(now), q.total)
	seconds := (q.virtual - t.virtual) / q.fairRate()
	return max(0, min(time.Duration(seconds*float64(time.Second)), maxCredit))
}

// PopItem removes a waiting item out of order, to start it now.
func (q *Queue) PopItem(now time.Time, it *Item) {
	q.dequeue(it)
	q.drainRate.count(q.advance(now))
}

func (q *Queue) enqueue(t *teamState, it *Item) {
	t.add(it)
	q.items[it.ID] = it
	q.addToClass(it)
	if it.Urgent {
		q.urgent++
	}
	if !it.startBy.IsZero() {
		heap.Push(&q.expiry, it)
	}
}

func (q *Queue) dequeue(it *Item) {
	delete(q.items, it.ID)
	q.teams[it.Team].remove(it)
	q.removeFromClass(it)
	if it.Urgent {
		q.urgent--
	}
	if !it.startBy.IsZero() {
		heap.Remove(&q.expiry, it.expiryIndex)
	}
}

// Expire removes and returns every item that can no longer meet its deadline. None of
// them has run.
func (q *Queue) Expire(now time.Time) []*Item {
	q.collectExpired(q.advance(now))
	expired := q.expired
	q.expired = nil
	return expired
}

// NextExpiry returns the time from which Expire will return an item, or false if no
// waiting item has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expired) > 0 {
		return q.now, true
	}
	it := q.expiry.top()
	if it == nil {
		return time.Time{}, false
	}
	return it.startBy.Add(1), true
}

// collectExpired moves late items to those that Expire returns.
func (q *Queue) collectExpired(now time.Time) {
	for it := q.expiry.top(); it != nil && it.late(now); it = q.expiry.top() {
		q.dequeue(it)
		q.expired = append(q.expired, it)
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Depths returns the queue depth of each team that has items waiting.
func (q *Queue) Depths() []Depth {
	var depths []Depth
	for _, t := range q.order {
		if n := t.queued; n > 0 {
			depths = append(depths, Depth{Team: t.name, Waiting: n, Urgent: t.urgent})
		}
	}
	return depths
}

// RetryAfter returns how long a refused caller should wait before retrying: the time
// in which the items waiting now start at the measured drain rate.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	rate := q.drainRate.perSecond(q.advance(now))
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(len(q.items)+1) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// advance returns now, or the latest time seen if that is later.
func (q *Queue) advance(now time.Time) time.Time {
	if now.After(q.now) {
		q.now = now
	}
	return q.now
}

// Waiting returns the number of waiting items of the team.
func (q *Queue) Waiting(team string) int {
	if t := q.teams[team]; t != nil {
		return t.queued
	}
	return 0
}
