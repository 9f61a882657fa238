package policytrial

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// baseline is a reference scheduler with lists of items in arrival order: one list for
// all teams, or one list per team, served round robin.
type baseline struct {
	byTeam  bool
	place   func(b *baseline, amount resource.Amount) int
	workers []placement.Candidate
	rand    *rand.Rand
	limit   int
	queued  int
	lists   [][]*queue.Item
	listOf  map[string]int
	teams   map[string]int
	next    int
}

// newFirstCome returns a scheduler that serves first come, first served, on a random
// worker that fits.
func newFirstCome(c SchedulerConfig) Scheduler { return newBaseline(c, false, randomWorker) }

// newRoundRobin returns a scheduler that serves teams round robin, on the least loaded
// worker.
func newRoundRobin(c SchedulerConfig) Scheduler { return newBaseline(c, true, leastLoaded) }

func newBaseline(c SchedulerConfig, byTeam bool, place func(*baseline, resource.Amount) int) Scheduler {
	b := &baseline{byTeam: byTeam, place: place, workers: slices.Clone(c.Workers), rand: c.Rand, limit: c.QueueLimit}
	b.listOf, b.teams = make(map[string]int), make(map[string]int)
	b.lists = make([][]*queue.Item, 1)
	if byTeam {
		b.lists = make([][]*queue.Item, len(c.Teams))
		for i, team := range c.Teams {
			b.listOf[team.Name] = i
		}
	}
	return b
}

func randomWorker(b *baseline, amount resource.Amount) int {
	first := b.rand.IntN(len(b.workers))
	for k := range b.workers {
		if i := (first + k) % len(b.workers); !b.workers[i].Closed && amount.Fits(b.workers[i].Free) {
			return i
		}
	}
	return -1
}

func leastLoaded(b *baseline, amount resource.Amount) int {
	best, lowest := -1, 0.0
	for i := range b.workers {
		w := &b.workers[i]
		if w.Closed || !amount.Fits(w.Free) {
			continue
		}
		if load := w.Capacity.Sub(w.Free).DominantShare(w.Capacity); best < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

func (b *baseline) Push(_ time.Time, it *queue.Item) []*queue.Item {
	if b.queued >= b.limit {
		return []*queue.Item{it}
	}
	b.queued++
	b.teams[it.Team]++
	list := &b.lists[b.listOf[it.Team]]
	*list = append(*list, it)
	return nil
}

func (b *baseline) Next(time.Time) (*queue.Item, int) {
	var failed []resource.Amount
	for range b.lists {
		list := &b.lists[b.next]
		b.next = (b.next + 1) % len(b.lists)
		if len(*list) == 0 || slices.Contains(failed, (*list)[0].Amount) {
			continue
		}
		it := (*list)[0]
		if worker := b.place(b, it.Amount); worker >= 0 {
			*list = (*list)[1:]
			b.removed(it)
			return it, worker
		}
		failed = append(failed, it.Amount)
	}
	return nil, -1
}

func (b *baseline) removed(it *queue.Item) {
	b.queued--
	b.teams[it.Team]--
}

func (b *baseline) Started(_ time.Time, it *queue.Item, worker int) {
	b.workers[worker].Free = b.workers[worker].Free.Sub(it.Amount)
}

func (b *baseline) Finished(_ time.Time, it *queue.Item, worker int, _ bool) {
	b.workers[worker].Free = b.workers[worker].Free.Add(it.Amount)
}

func (b *baseline) Expire(now time.Time) []*queue.Item {
	var expired []*queue.Item
	for i := range b.lists {
		b.lists[i] = slices.DeleteFunc(b.lists[i], func(it *queue.Item) bool {
			expire := !it.Deadline.IsZero() && it.Deadline.Before(now)
			if expire {
				b.removed(it)
				expired = append(expired, it)
			}
			return expire
		})
	}
	return expired
}

func (b *baseline) Totals(time.Time) []queue.TeamTotal { return nil }

func (b *baseline) SetPeerTotals(time.Time, string, uint64, []queue.TeamTotal) {}

func (b *baseline) SetClosed(worker int, closed bool) { b.workers[worker].Closed = closed }

func (b *baseline) Waiting(team string) bool { return b.teams[team] > 0 }
