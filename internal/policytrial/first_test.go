package policytrial

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// first is the order of the project's first version: one list a team, the team with
// the least usage over time next, half a second charged in advance, nobody passes the
// first item of a team, no holds.
type first struct {
	index   *placement.Index
	rand    *rand.Rand
	total   resource.Amount
	limit   int
	queued  int
	virtual float64
	teams   []*firstTeam
	byName  map[string]*firstTeam
}

type firstTeam struct {
	weight, virtual, tag float64
	charged              time.Time
	own                  resource.Amount
	items                []*queue.Item
}

func newFirst(c SchedulerConfig) Scheduler {
	f := &first{index: placement.NewIndex(c.Workers), rand: c.Rand, total: c.Total, limit: c.QueueLimit, byName: make(map[string]*firstTeam)}
	for _, team := range c.Teams {
		t := &firstTeam{weight: float64(team.Weight)}
		f.teams = append(f.teams, t)
		f.byName[team.Name] = t
	}
	return f
}

func (f *first) charge(t *firstTeam, now time.Time) float64 {
	rate := t.own.DominantShare(f.total) / t.weight
	if now.After(t.charged) {
		t.virtual += rate * now.Sub(t.charged).Seconds()
		t.charged = now
	}
	return rate
}

// order compares items of one team by when they must start.
func order(a, b *queue.Item) int {
	rank := func(it *queue.Item) time.Time {
		if it.Deadline.IsZero() {
			return it.Enqueued.Add(time.Minute)
		}
		return it.Deadline.Add(-it.RunTime)
	}
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return rank(a).Compare(rank(b))
}

func (f *first) Push(now time.Time, it *queue.Item) []*queue.Item {
	t := f.byName[it.Team]
	f.charge(t, now)
	if len(t.items) == 0 {
		t.virtual = max(t.virtual, f.virtual)
	}
	at, _ := slices.BinarySearchFunc(t.items, it, order)
	t.items = slices.Insert(t.items, at, it)
	f.queued++
	if f.queued <= f.limit {
		return nil
	}
	worst := slices.MaxFunc(f.teams, func(a, b *firstTeam) int { return cmpFloat(f.demand(a), f.demand(b)) })
	f.queued--
	last := len(worst.items) - 1
	shed := worst.items[last]
	worst.items = worst.items[:last]
	return []*queue.Item{shed}
}

func (f *first) demand(t *firstTeam) float64 {
	sum := t.own
	for _, it := range t.items {
		sum = sum.Add(it.Amount)
	}
	return sum.DominantShare(f.total) / t.weight
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (f *first) Next(now time.Time) (*queue.Item, int) {
	var ranked []*firstTeam
	for _, t := range f.teams {
		if rate := f.charge(t, now); len(t.items) > 0 {
			t.tag = t.virtual + rate/2
			if t.items[0].Urgent {
				t.tag -= 1e6
			}
			ranked = append(ranked, t)
		}
	}
	slices.SortStableFunc(ranked, func(a, b *firstTeam) int { return cmpFloat(a.tag, b.tag) })
	for _, t := range ranked {
		it := t.items[0]
		if worker, _ := placement.Choose(askOf(it), f.index, f.rand); worker >= 0 {
			t.items = t.items[1:]
			f.queued--
			f.virtual = max(f.virtual, t.virtual)
			return it, worker
		}
	}
	return nil, -1
}

func (f *first) change(now time.Time, it *queue.Item, sign int64) {
	t := f.byName[it.Team]
	f.charge(t, now)
	t.own = t.own.Add(it.Amount.Times(sign))
}

func (f *first) Started(now time.Time, it *queue.Item, worker int) {
	f.index.Allocate(worker, it.Amount)
	f.change(now, it, 1)
}

func (f *first) Finished(now time.Time, it *queue.Item, worker int, _ bool) {
	f.index.Release(worker, it.Amount)
	f.change(now, it, -1)
}

func (f *first) Expire(now time.Time) []*queue.Item {
	var expired []*queue.Item
	for _, t := range f.teams {
		t.items = slices.DeleteFunc(t.items, func(it *queue.Item) bool {
			late := !it.Deadline.IsZero() && it.Deadline.Add(-it.RunTime).Before(now)
			if late {
				f.queued--
				expired = append(expired, it)
			}
			return late
		})
	}
	return expired
}

func (f *first) Totals(time.Time) []queue.TeamTotal { return nil }

func (f *first) SetPeerTotals(time.Time, string, uint64, []queue.TeamTotal) {}

func (f *first) SetClosed(worker int, closed bool) { f.index.SetClosed(worker, closed) }

func (f *first) Waiting(team string) bool { return len(f.byName[team].items) > 0 }
