package cell

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// occRows is the progress of a job's occurrences. Those below next that aren't in rows are done; those
// from next on haven't begun.
//
// It is encoded as a list with a row for each occurrence from the first one on, if none is done and each
// has begun, as earlier versions do. Otherwise it is an object, which earlier versions can't decode: they
// would take one occurrence for another.
type occRows struct {
	next int
	rows []occRow
	// encoded holds the rows that aren't decoded yet; list is set if they are a list of all occurrences.
	encoded json.RawMessage
	list    bool
}

// occRow is the progress of an occurrence or, if Unbegun is above 0, that many occurrences that haven't begun.
type occRow struct {
	Index   int       `json:"i,omitempty"`
	Unbegun int       `json:"u,omitempty"`
	Steps   []stepRow `json:"s,omitempty"`
}

// wireOccRows is the encoding of occRows as an object, rawOccRows the same with rows that aren't decoded.
type wireOccRows struct {
	Next int      `json:"n"`
	Rows []occRow `json:"o,omitempty"`
}

type rawOccRows struct {
	Next int             `json:"n"`
	Rows json.RawMessage `json:"o"`
}

// occRows returns the progress of the job's occurrences.
func (j *Job) occRows() occRows {
	list := make([]occRow, 0, len(j.occurrences)+len(j.unopened))
	for _, s := range j.unopened {
		if s.recorded != nil {
			list = append(list, s.recorded.clone())
		} else {
			list = append(list, occRow{Index: s.from, Unbegun: s.to - s.from})
		}
	}
	for _, o := range j.occurrences {
		list = append(list, o.row())
	}
	slices.SortFunc(list, func(a, b occRow) int { return a.Index - b.Index })
	merged := occRows{next: j.total(), rows: list[:0]}
	for _, row := range list {
		if last := len(merged.rows) - 1; last >= 0 && row.Unbegun > 0 && merged.rows[last].Unbegun > 0 && merged.rows[last].end() == row.Index {
			merged.rows[last].Unbegun += row.Unbegun
			continue
		}
		merged.rows = append(merged.rows, row)
	}
	if last := len(merged.rows) - 1; last >= 0 && merged.rows[last].Unbegun > 0 && merged.rows[last].end() == merged.next {
		merged.next, merged.rows = merged.rows[last].Index, merged.rows[:last]
	}
	return merged
}

// end returns the index after the row's last occurrence.
func (r *occRow) end() int { return r.Index + max(1, r.Unbegun) }

// row returns the progress of the occurrence.
func (o *occurrence) row() occRow {
	row := occRow{Index: o.index}
	for _, s := range o.steps {
		row.Steps = append(row.Steps, s.row())
	}
	if !row.begun() {
		return occRow{Index: o.index, Unbegun: 1}
	}
	return row
}

// clone returns a copy that shares no list of tasks.
func (r *occRow) clone() occRow {
	row := *r
	row.Steps = slices.Clone(r.Steps)
	for i := range row.Steps {
		row.Steps[i].Tasks = slices.Clone(row.Steps[i].Tasks)
	}
	return row
}

// begun reports whether the occurrence has progress.
func (r *occRow) begun() bool {
	return slices.ContainsFunc(r.Steps, func(s stepRow) bool {
		return s.Done != "" || len(s.Failed) > 0 || s.Checkpoint != "" || len(s.Tasks) > 0 || len(s.GangCrashes) > 0
	})
}

// live reports whether a run of the occurrence may still go on.
func (r *occRow) live() bool {
	return slices.ContainsFunc(r.Steps, func(s stepRow) bool {
		return slices.ContainsFunc(s.Tasks, func(t taskRow) bool { return t.Worker != "" })
	})
}

// done reports whether all tasks of the occurrence are done and none may still run.
func (r *occRow) done(steps []StepSpec) bool {
	if len(r.Steps) < len(steps) || r.live() {
		return false
	}
	for i := range steps {
		if bytes.Count([]byte(r.Steps[i].Done), []byte{'1'}) < steps[i].Count {
			return false
		}
	}
	return true
}

// IsZero reports whether no occurrence has begun.
func (r occRows) IsZero() bool { return r.next == 0 && len(r.rows) == 0 && r.encoded == nil }

// listed reports whether each occurrence below next has a row.
func (r *occRows) listed() bool {
	return len(r.rows) == r.next && !slices.ContainsFunc(r.rows, func(row occRow) bool { return row.Unbegun > 0 })
}

// wire returns what is encoded; nil if no occurrence has begun.
func (r *occRows) wire() any {
	switch {
	case r.IsZero():
		return nil
	case r.listed():
		return r.rows
	default:
		return wireOccRows{Next: r.next, Rows: r.rows}
	}
}

// MarshalJSON implements json.Marshaler.
func (r occRows) MarshalJSON() ([]byte, error) { return json.Marshal(r.wire()) }

// UnmarshalJSON implements json.Unmarshaler. It leaves the rows encoded: there may be many, most of
// them done.
func (r *occRows) UnmarshalJSON(data []byte) error {
	if data[0] == '{' {
		var wire rawOccRows
		if err := json.Unmarshal(data, &wire); err != nil {
			return err
		}
		*r = occRows{next: wire.Next, encoded: wire.Rows}
		return nil
	}
	*r = occRows{encoded: slices.Clone(data), list: true}
	return r.each(func(occRow) error {
		r.next++
		return nil
	})
}

// each calls f with each row that is still encoded, in order.
func (r *occRows) each(f func(occRow) error) error {
	if len(r.encoded) == 0 || string(r.encoded) == "null" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(r.encoded))
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return fmt.Errorf("k: %v is no list of occurrences", token)
	}
	for i := 0; decoder.More(); i++ {
		var row occRow
		if err := decoder.Decode(&row); err != nil {
			return err
		}
		if r.list {
			row.Index, row.Unbegun = i, 0
		}
		if err := f(row); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if the rows can't be those of a job with the given number of occurrences.
func (r *occRows) check(total int) error {
	if r.next < 0 || r.next > total {
		return fmt.Errorf("k: %d occurrences of %d", r.next, total)
	}
	end := 0
	return r.each(func(row occRow) error {
		if row.Index < end || row.Unbegun < 0 || row.Index >= r.next || row.Unbegun > r.next-row.Index {
			return fmt.Errorf("k: occurrence %d is out of place", row.Index)
		}
		end = row.end()
		return nil
	})
}
