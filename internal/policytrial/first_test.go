package policytrial

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// firstVersion is the queue order of the project's first version: one list per team. The
// next team is the one with the least weighted usage over time, with half a second
// charged in advance. No item of a team overtakes the team's first one, and there are no
// reservations.
type firstVersion struct {
	index  *placement.Index
	rand   *rand.Rand
	total  resource.Amount
	limit  int
	queued int
	// virtualTime is the largest virtual time that a team had when one of its items started.
	// A team that was idle continues from it.
	virtualTime float64
	teams       []*firstVersionTeam
	byName      map[string]*firstVersionTeam
}

type firstVersionTeam struct {
	// virtualTime is the team's weighted usage over time until charged, in seconds of the
	// whole fleet. tag is virtualTime with the charge in advance; the lowest tag is next.
	weight, virtualTime, tag float64
	charged                  time.Time
	// own is what the team's running items occupy.
	own   resource.Amount
	items []*queue.Item
}

func newFirstVersion(c SchedulerConfig) Scheduler {
	f := &firstVersion{index: placement.NewIndex(c.Workers), rand: c.Rand, total: c.Total, limit: c.QueueLimit, byName: make(map[string]*firstVersionTeam)}
	for _, team := range c.Teams {
		t := &firstVersionTeam{weight: float64(team.Weight)}
		f.teams = append(f.teams, t)
		f.byName[team.Name] = t
	}
	return f
}

func (f *firstVersion) chargeUsage(t *firstVersionTeam, now time.Time) float64 {
	rate := t.own.DominantShare(f.total) / t.weight
	if now.After(t.charged) {
		t.virtualTime += rate * now.Sub(t.charged).Seconds()
		t.charged = now
	}
	return rate
}

// compareItems orders items of one team: urgent ones first, then by the latest start that
// meets the deadline.
func compareItems(a, b *queue.Item) int {
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

func (f *firstVersion) Push(now time.Time, it *queue.Item) []*queue.Item {
	t := f.byName[it.Team]
	f.chargeUsage(t, now)
	if len(t.items) == 0 {
		t.virtualTime = max(t.virtualTime, f.virtualTime)
	}
	at, _ := slices.BinarySearchFunc(t.items, it, compareItems)
	t.items = slices.Insert(t.items, at, it)
	f.queued++
	if f.queued <= f.limit {
		return nil
	}
	largest := slices.MaxFunc(f.teams, func(a, b *firstVersionTeam) int { return compareFloats(f.demand(a), f.demand(b)) })
	f.queued--
	last := len(largest.items) - 1
	shed := largest.items[last]
	largest.items = largest.items[:last]
	return []*queue.Item{shed}
}

func (f *firstVersion) demand(t *firstVersionTeam) float64 {
	sum := t.own
	for _, it := range t.items {
		sum = sum.Add(it.Amount)
	}
	return sum.DominantShare(f.total) / t.weight
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (f *firstVersion) Next(now time.Time) (*queue.Item, int) {
	var ranked []*firstVersionTeam
	for _, t := range f.teams {
		if rate := f.chargeUsage(t, now); len(t.items) > 0 {
			t.tag = t.virtualTime + rate/2
			if t.items[0].Urgent {
				t.tag -= 1e6
			}
			ranked = append(ranked, t)
		}
	}
	slices.SortStableFunc(ranked, func(a, b *firstVersionTeam) int { return compareFloats(a.tag, b.tag) })
	for _, t := range ranked {
		it := t.items[0]
		if worker, _ := placement.Choose(askOf(it), f.index, f.rand); worker >= 0 {
			t.items = t.items[1:]
			f.queued--
			f.virtualTime = max(f.virtualTime, t.virtualTime)
			return it, worker
		}
	}
	return nil, -1
}

func (f *firstVersion) changeUsage(now time.Time, it *queue.Item, sign int64) {
	t := f.byName[it.Team]
	f.chargeUsage(t, now)
	t.own = t.own.Add(it.Amount.Times(sign))
}

func (f *firstVersion) Started(now time.Time, it *queue.Item, worker int) {
	f.index.Allocate(worker, it.Amount)
	f.changeUsage(now, it, 1)
}

func (f *firstVersion) Finished(now time.Time, it *queue.Item, worker int, _ bool) {
	f.index.Release(worker, it.Amount)
	f.changeUsage(now, it, -1)
}

func (f *firstVersion) Expire(now time.Time) []*queue.Item {
	var expired []*queue.Item
	for _, t := range f.teams {
		t.items = slices.DeleteFunc(t.items, func(it *queue.Item) bool {
			expire := !it.Deadline.IsZero() && it.Deadline.Add(-it.RunTime).Before(now)
			if expire {
				f.queued--
				expired = append(expired, it)
			}
			return expire
		})
	}
	return expired
}

func (f *firstVersion) Totals(time.Time) []queue.TeamTotal { return nil }

func (f *firstVersion) SetPeerTotals(time.Time, string, uint64, []queue.TeamTotal) {}

func (f *firstVersion) SetClosed(worker int, closed bool) { f.index.SetClosed(worker, closed) }

func (f *firstVersion) Waiting(team string) bool { return len(f.byName[team].items) > 0 }
