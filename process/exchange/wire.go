package exchange

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// usageUnitsPerSecond is the resolution at which usage over time is sent: a unit is the
// usage of the whole fleet for a ten-thousandth of a second.
const usageUnitsPerSecond = 10_000

// wireState is the encoding of a State. It separates names from numbers, since JSON
// keys would otherwise be most of it.
type wireState struct {
	Usage   table            `json:"u,omitzero"`
	Free    table            `json:"f,omitzero"`
	Queues  []wireQueue      `json:"q,omitempty"`
	Tasks   capacity.Summary `json:"t,omitzero"`
	Leaving []string         `json:"l,omitempty"`
}

// wireQueue is the encoding of a QueueTotals.
type wireQueue struct {
	Upstream string `json:"u"`
	Totals   table  `json:"t"`
}

// table holds a vector for each name, in the order of the dimensions.
type table struct {
	Names  []string `json:"n"`
	Values []int64  `json:"v"`
}

// IsZero reports whether the table has no rows.
func (t table) IsZero() bool { return len(t.Names) == 0 }

type vector = [resource.Dimensions]int64

func (t *table) add(name string, values vector) {
	t.Names = append(t.Names, name)
	t.Values = append(t.Values, values[:]...)
}

// row returns the vector of the i-th name.
func (t *table) row(i int) vector {
	var values vector
	copy(values[:], t.Values[i*len(values):])
	return values
}

// check returns an error unless there is one full vector per name.
func (t *table) check() error {
	if len(t.Values) != len(t.Names)*int(resource.Dimensions) {
		return fmt.Errorf("%d numbers for %d names", len(t.Values), len(t.Names))
	}
	return nil
}

// encodeState returns the encoding of a State.
func encodeState(s State) (json.RawMessage, error) {
	w := wireState{Tasks: s.Tasks, Leaving: s.Leaving}
	for _, u := range s.Usage {
		w.Usage.add(u.Team, u.Amount.Vector())
	}
	for _, f := range s.Free {
		w.Free.add(f.Upstream, f.Total.Vector())
	}
	for _, q := range s.Queues {
		w.Queues = append(w.Queues, wireQueue{Upstream: q.Upstream, Totals: totalsTable(q.Totals)})
	}
	return json.Marshal(w)
}

func totalsTable(totals []queue.TeamTotal) table {
	var t table
	for _, total := range totals {
		var values vector
		for d, used := range total.Used {
			values[d] = int64(math.Floor(used * usageUnitsPerSecond))
		}
		t.add(total.Team, values)
	}
	return t
}

// decodeState is the inverse of encodeState, with usage rounded down.
func decodeState(data json.RawMessage) (State, error) {
	var w wireState
	if err := json.Unmarshal(data, &w); err != nil {
		return State{}, err
	}
	if err := errors.Join(w.Usage.check(), w.Free.check()); err != nil {
		return State{}, err
	}
	s := State{Tasks: w.Tasks, Leaving: w.Leaving}
	for i, name := range w.Usage.Names {
		s.Usage = append(s.Usage, capacity.TeamUsage{Team: name, Amount: resource.FromVector(w.Usage.row(i))})
	}
	for i, name := range w.Free.Names {
		s.Free = append(s.Free, Free{Upstream: name, Total: resource.FromVector(w.Free.row(i))})
	}
	for _, q := range w.Queues {
		if err := q.Totals.check(); err != nil {
			return State{}, err
		}
		s.Queues = append(s.Queues, QueueTotals{Upstream: q.Upstream, Totals: totalsOf(q.Totals)})
	}
	return s, nil
}

func totalsOf(t table) []queue.TeamTotal {
	totals := make([]queue.TeamTotal, 0, len(t.Names))
	for i, name := range t.Names {
		total := queue.TeamTotal{Team: name}
		for d, value := range t.row(i) {
			total.Used[d] = float64(value) / usageUnitsPerSecond
		}
		totals = append(totals, total)
	}
	return totals
}
