package queue

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
)

// dot names one addition: the count of its replica then.
type dot struct {
	Replica string `json:"r"`
	Count   uint64 `json:"c"`
}

// dottedSet is a set whose elements carry the dot of their addition, so that merging
// tells an element not yet seen from one removed without tombstones.
type dottedSet struct {
	Seen     map[string]uint64 `json:"seen"`
	Elements map[string]dot    `json:"elements"`
}

func newDottedSet() *dottedSet {
	return &dottedSet{Seen: make(map[string]uint64), Elements: make(map[string]dot)}
}

func (s *dottedSet) add(replica, element string) {
	s.Seen[replica]++
	s.Elements[element] = dot{replica, s.Seen[replica]}
}

// merge takes in the other set. known lists the elements that it speaks for: all of s
// for a whole state, the changed ones for a delta.
func (s *dottedSet) merge(other *dottedSet, known map[string]dot) {
	for element, d := range known {
		if _, kept := other.Elements[element]; !kept && d.Count <= other.Seen[d.Replica] {
			delete(s.Elements, element)
		}
	}
	for element, d := range other.Elements {
		if d.Count > s.Seen[d.Replica] {
			s.Elements[element] = d
		}
	}
	for replica, count := range other.Seen {
		s.Seen[replica] = max(s.Seen[replica], count)
	}
}

// ownerReport is what one owner says of its own work: changes since a version.
type ownerReport struct {
	Owner   string   `json:"owner"`
	Since   uint64   `json:"since"`
	Version uint64   `json:"version"`
	Started []string `json:"started"`
	Ended   []string `json:"ended"`
}

// ownerView is what is known of one owner's work.
type ownerView struct {
	version uint64
	running map[string]struct{}
}

// apply takes in the report, unless it is old or reports before it are missing.
func (v *ownerView) apply(r ownerReport) bool {
	if r.Version <= v.version || r.Since > v.version {
		return false
	}
	for _, task := range r.Started {
		v.running[task] = struct{}{}
	}
	for _, task := range r.Ended {
		delete(v.running, task)
	}
	v.version = r.Version
	return true
}

func size(b testing.TB, v any) float64 {
	data, err := json.Marshal(v)
	assert.NilError(b, err)
	return float64(len(data))
}

// exchangeTasks returns the names of an owner's running tasks.
func exchangeTasks(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("01JQ7Z8K4M3N5P6R7S8T9V0W1X/%d", i)
	}
	return names
}

// BenchmarkExchange compares, for one exchange from one of 9 entries at the size of
// 220,000 running tasks, 470 starts a second and 180 teams, reports of owners with
// dotted sets: bytes a message and the cost of taking it in.
func BenchmarkExchange(b *testing.B) {
	const running, changed, teams = 220_000 / 9, 470 / 9, 180
	tasks := exchangeTasks(running + changed)
	set := newDottedSet()
	view := ownerView{running: make(map[string]struct{})}
	for _, task := range tasks[:running] {
		set.add("10.0.0.1:7000", task)
		view.running[task] = struct{}{}
	}
	next := &dottedSet{Seen: maps.Clone(set.Seen), Elements: maps.Clone(set.Elements)}
	delta := newDottedSet()
	ended := make(map[string]dot)
	for i := range changed {
		ended[tasks[i]] = next.Elements[tasks[i]]
		delete(next.Elements, tasks[i])
		next.add("10.0.0.1:7000", tasks[running+i])
		delta.Elements[tasks[running+i]] = next.Elements[tasks[running+i]]
	}
	delta.Seen = next.Seen
	report := ownerReport{Owner: "10.0.0.1:7000", Version: 1, Started: tasks[running:], Ended: tasks[:changed]}

	b.Run("running/dotted set, whole", func(b *testing.B) {
		for range b.N {
			set.merge(next, set.Elements)
		}
		b.ReportMetric(size(b, next), "bytes")
	})
	b.Run("running/dotted set, delta", func(b *testing.B) {
		for range b.N {
			set.merge(delta, ended)
		}
		b.ReportMetric(size(b, delta)+size(b, ended), "bytes")
	})
	b.Run("running/owner report", func(b *testing.B) {
		for range b.N {
			view.version = 0
			view.apply(report)
		}
		b.ReportMetric(size(b, report), "bytes")
	})
	benchmarkTotals(b, teams)
}

// benchmarkTotals compares the ways for the usage of teams.
func benchmarkTotals(b *testing.B, teams int) {
	q := New(Config{Total: slot.Times(1000), Limit: 1})
	values, known := newDottedSet(), newDottedSet()
	for i := range teams {
		q.Started(start, Charge{Team: fmt.Sprint("team-", i), Amount: slot})
	}
	totals := q.Totals(at(1e9))
	for _, total := range totals {
		known.add("10.0.0.1:7000", total.Team+"=old")
	}
	values.Seen = maps.Clone(known.Seen)
	for _, total := range totals {
		values.add("10.0.0.1:7000", fmt.Sprint(total.Team, "=", total.Used))
	}
	b.Run("usage/dotted set, whole", func(b *testing.B) {
		for range b.N {
			known.merge(values, known.Elements)
		}
		b.ReportMetric(size(b, values), "bytes")
	})
	b.Run("usage/owner totals", func(b *testing.B) {
		for k := range b.N {
			q.SetPeerTotals(start, "peer", uint64(k+1), totals)
		}
		b.ReportMetric(size(b, totals), "bytes")
	})
}

// Both ways end in the same set.
func TestExchangeWaysAgree(t *testing.T) {
	set, other := newDottedSet(), newDottedSet()
	view := ownerView{running: map[string]struct{}{"a": {}}}
	set.add("x", "a")
	other.merge(set, other.Elements)
	other.add("x", "b")
	delete(other.Elements, "a")
	set.merge(other, set.Elements)
	assert.Assert(t, view.apply(ownerReport{Version: 1, Started: []string{"b"}, Ended: []string{"a"}}))
	assert.Assert(t, !view.apply(ownerReport{Version: 3, Since: 2}))
	assert.Assert(t, !view.apply(ownerReport{Version: 1, Ended: []string{"b"}}))
	assert.Equal(t, len(set.Elements), 1)
	for task := range view.running {
		assert.Equal(t, set.Elements[task], dot{"x", 2})
	}
}
