package capacity

import (
	"cmp"
	"slices"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Len implements placement.Fleet over all workers.
func (t *Tracker) Len() int { return t.all.Len() }

// At implements placement.Fleet over all workers.
func (t *Tracker) At(i int) placement.Candidate { return t.all.At(i) }

// Fleet returns the workers that serve an upstream, as a live view.
func (t *Tracker) Fleet(upstream string) placement.Fleet { return t.upstream(upstream) }

func (t *Tracker) upstream(name string) *index {
	t.mu.RLock()
	x, ok := t.upstreams[name]
	t.mu.RUnlock()
	if ok {
		return x
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if x, ok = t.upstreams[name]; !ok {
		x = &index{position: func(l *ledger) *int { return &l.upstream }}
		t.upstreams[name] = x
	}
	return x
}

// TeamUsage returns what each team uses on the workers, sorted by team.
func (t *Tracker) TeamUsage() []TeamUsage {
	sums := make(map[string]resource.Amount)
	for i := range t.shards {
		t.shards[i].sumTeams(sums)
	}
	usage := make([]TeamUsage, 0, len(sums))
	for team, amount := range sums {
		usage = append(usage, TeamUsage{Team: team, Amount: amount})
	}
	slices.SortFunc(usage, func(x, y TeamUsage) int { return cmp.Compare(x.Team, y.Team) })
	return usage
}

func (s *shard) sumTeams(sums map[string]resource.Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for team, amount := range s.teams {
		sums[team] = sums[team].Add(amount)
	}
}

// Free sums up the free capacity of the workers that aren't closed, and the capacity of
// all workers.
func (t *Tracker) Free() Summary {
	sum := Summary{Generation: t.generation.Load()}
	for i := range t.shards {
		t.shards[i].sumFree(&sum)
	}
	return sum
}

func (s *shard) sumFree(sum *Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.ledgers {
		sum.LargestCapacity = sum.LargestCapacity.Max(l.worker.Capacity)
		sum.TotalCapacity = sum.TotalCapacity.Add(l.worker.Capacity)
		if l.closed() {
			continue
		}
		free := l.free()
		sum.Workers++
		sum.Total = sum.Total.Add(free)
		sum.Largest = sum.Largest.Max(free)
	}
}
