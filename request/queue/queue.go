package queue

import (
	"container/heap"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Config is what a Queue is built from.
type Config struct {
	// Total is the capacity that shares are fractions of: the whole fleet's.
	Total resource.Amount
	// Limit is how many items may wait, of all teams together; at least 1.
	Limit int
	Teams []Team
}

// Queue holds waiting items of all teams. The package comment states how it
// decides.
type Queue struct {
	total resource.Amount
	limit int
	teams map[string]*teamState
	// order lists the teams in the order they were first seen, so that ties do
	// not depend on map order.
	order    []*teamState
	items    map[string]*Item
	peers    map[string]*peerState
	sequence uint64
	// virtual is the virtual time of the team started last.
	virtual float64
	// weights is the sum of the weights of configured teams.
	weights float64
	drained rateMeter
	// urgent counts urgent items waiting.
	urgent int
	// running counts charges started and not finished.
	running int64
	now     time.Time
	// classes are those of the items that wait.
	classes map[classKey]*class
	turn    turn
	// ranking is scratch space of Pop.
	ranking ranking
	// expiry orders the items that have a deadline by when they must start.
	expiry itemHeap
	// expired were found late and wait for Expire.
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
			place: func(it *Item) *int { return &it.expiry },
		},
	}
	q.SetTeams(time.Time{}, config.Teams)
	return q
}

// Push queues the item. The items returned were shed to make room: each has not
// run and never will. The error is a *FullError when the newcomer was shed itself,
// a *LateError when its deadline can't be met, or a *DuplicateError.
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
	q.enter(now, t)
	q.add(t, it)
	return q.shed(now, t, it)
}

// enter brings a team without waiting items back into the order.
func (q *Queue) enter(now time.Time, t *teamState) {
	t.charge(now, q.total)
	if t.queued == 0 {
		t.virtual = max(t.virtual, q.virtual-idleCredit.Seconds()*q.fairRate())
	}
}

// shed removes what is over a limit after it joined team t.
func (q *Queue) shed(now time.Time, t *teamState, it *Item) ([]*Item, error) {
	var victim *Item
	teamLimit := t.queueLimit > 0 && t.queued > t.queueLimit
	switch {
	case teamLimit:
		victim = t.lastItem()
	case len(q.items) > q.limit:
		victim = q.furthestAbove().lastItem()
	default:
		return nil, nil
	}
	q.drop(victim)
	if victim != it {
		return []*Item{victim}, nil
	}
	full := &FullError{Team: t.name, Waiting: len(q.items), TeamLimit: teamLimit, RetryAfter: q.RetryAfter(now)}
	if teamLimit {
		full.Waiting = t.queued
	}
	return nil, full
}

// furthestAbove returns the team with waiting items whose demand is furthest
// above its weighted share.
func (q *Queue) furthestAbove() *teamState {
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

// Remove takes the item out and reports whether it was waiting.
func (q *Queue) Remove(id string) (*Item, bool) {
	it, queued := q.items[id]
	if queued {
		q.drop(it)
	}
	return it, queued
}

// Waits reports whether this very item waits and can still meet its deadline.
func (q *Queue) Waits(now time.Time, it *Item) bool {
	return q.items[it.ID] == it && !it.late(q.advance(now))
}

// Behind returns how far the team has fallen behind the others, as the time in which
// a fully shared fleet would make up for it; at most a bound, and at least zero.
func (q *Queue) Behind(now time.Time, team string) time.Duration {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	t.charge(q.advance(now), q.total)
	seconds := (q.virtual - t.virtual) / q.fairRate()
	return max(0, min(time.Duration(seconds*float64(time.Second)), maxCredit))
}

// Take takes a waiting item out of turn, to start it now.
func (q *Queue) Take(now time.Time, it *Item) {
	q.drop(it)
	q.drained.count(q.advance(now))
}

func (q *Queue) add(t *teamState, it *Item) {
	t.add(it)
	q.items[it.ID] = it
	q.join(it)
	if it.Urgent {
		q.urgent++
	}
	if !it.startBy.IsZero() {
		heap.Push(&q.expiry, it)
	}
}

func (q *Queue) drop(it *Item) {
	delete(q.items, it.ID)
	q.teams[it.Team].remove(it)
	q.leave(it)
	if it.Urgent {
		q.urgent--
	}
	if !it.startBy.IsZero() {
		heap.Remove(&q.expiry, it.expiry)
	}
}

// Expire takes out every item that can't meet its deadline any more. None of
// them has run.
func (q *Queue) Expire(now time.Time) []*Item {
	q.collectLate(q.advance(now))
	expired := q.expired
	q.expired = nil
	return expired
}

// NextExpiry returns when Expire will next have something to return, and false
// if nothing that waits has a deadline.
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

// collectLate moves late items to those that Expire returns.
func (q *Queue) collectLate(now time.Time) {
	for it := q.expiry.top(); it != nil && it.late(now); it = q.expiry.top() {
		q.drop(it)
		q.expired = append(q.expired, it)
	}
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.items) }

// Depths returns the teams that have items waiting.
func (q *Queue) Depths() []Depth {
	var depths []Depth
	for _, t := range q.order {
		if n := t.queued; n > 0 {
			depths = append(depths, Depth{Team: t.name, Waiting: n, Urgent: t.urgent})
		}
	}
	return depths
}

// RetryAfter returns when a refused caller should come back: the time that the
// items waiting now take at the measured drain rate.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	rate := q.drained.perSecond(q.advance(now))
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

// Waiting returns how many items of the team wait.
func (q *Queue) Waiting(team string) int {
	if t := q.teams[team]; t != nil {
		return t.queued
	}
	return 0
}
