// Package burn measures how fast teams use up their error budgets.
//
// An objective requires that a fraction Target of a team's work is answered within
// a waiting time. Work that was refused, failed or waited longer is bad; the budget
// is the fraction 1-Target that may be bad. The burn rate of a window is the bad
// fraction divided by the budget: at rate 1 the budget lasts exactly its period.
//
// An alert fires while two windows are above the same threshold: a long one, so that
// short spikes don't fire it, and a short one, so that it clears soon after the fault
// ends.
//
// Source: Beyer et al., "The Site Reliability Workbook", chapter 5, multiwindow,
// multi-burn-rate alerts.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// The ring buffer of a Recorder.
const (
	// Bucket is the width of one bucket.
	Bucket = time.Minute
	// Retention is how far back a Recorder counts.
	Retention = 6 * time.Hour

	buckets = int(Retention / Bucket)
)

// Objective is one service level of a team.
type Objective struct {
	Team string `json:"team"`
	// Kind is a kind of work, or empty for all kinds.
	Kind string `json:"kind,omitempty"`
	// Waiting is the longest waiting time of good work.
	Waiting time.Duration `json:"waiting_ns"`
	Target  float64       `json:"target"`
}

// Count is a number of requests and how many of them were bad.
type Count struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
}

// Add returns the sum.
func (c Count) Add(other Count) Count {
	return Count{Total: c.Total + other.Total, Bad: c.Bad + other.Bad}
}

// Rate returns the burn rate of the count for a target. It is 0 without work, and for a
// target that leaves no budget.
func (c Count) Rate(target float64) float64 {
	if c.Total == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Series holds the counts of one entry for an objective.
type Series struct {
	Objective
	// Windows holds a count for each span of the variable Windows, in its order.
	Windows []Count `json:"windows"`
	// History holds a count for each of the last HistoryPoints spans of
	// HistorySpan, oldest first.
	History []Count `json:"history"`
}

// Windows are the spans over which burn rates are computed.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, Retention}

// The resolution of Series.History.
const (
	HistorySpan   = 10 * time.Minute
	HistoryPoints = int(Retention / HistorySpan)
)

// Recorder counts work for the current objectives. It is safe for concurrent use.
// One lock is enough, since it is taken only once per finished request.
type Recorder struct {
	mu     sync.Mutex
	rings  map[Objective]*ring
	byTeam map[string][]Objective
}

// ring holds the counts of the last buckets. A slot holds the count of the minute in
// minute and is reset when it is reused.
type ring struct {
	counts [buckets]Count
	minute [buckets]int64
}

// NewRecorder returns a recorder without objectives.
func NewRecorder() *Recorder {
	return &Recorder{rings: make(map[Objective]*ring), byTeam: make(map[string][]Objective)}
}

// SetObjectives replaces the objectives. Objectives that stay keep their counts.
func (r *Recorder) SetObjectives(objectives []Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.rings
	r.rings = make(map[Objective]*ring, len(objectives))
	r.byTeam = make(map[string][]Objective)
	for _, o := range objectives {
		kept := before[o]
		if kept == nil {
			kept = &ring{}
		}
		r.rings[o] = kept
		r.byTeam[o.Team] = append(r.byTeam[o.Team], o)
	}
}

// Record counts one finished request, answered or not.
func (r *Recorder) Record(now time.Time, team, kind string, waited time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.byTeam[team] {
		if o.Kind != "" && o.Kind != kind {
			continue
		}
		r.rings[o].add(now, answered && waited <= o.Waiting)
	}
}

func (r *ring) add(now time.Time, good bool) {
	minute := now.Unix() / int64(Bucket/time.Second)
	slot := int(minute % int64(buckets))
	if r.minute[slot] != minute {
		r.minute[slot] = minute
		r.counts[slot] = Count{}
	}
	r.counts[slot].Total++
	if !good {
		r.counts[slot].Bad++
	}
}

// sum returns the count of the minutes [from, to).
func (r *ring) sum(from, to int64) Count {
	var total Count
	for minute := max(from, to-int64(buckets)); minute < to; minute++ {
		slot := int(minute % int64(buckets))
		if minute >= 0 && r.minute[slot] == minute {
			total = total.Add(r.counts[slot])
		}
	}
	return total
}

// Series returns the counts of all objectives, sorted by team and kind.
func (r *Recorder) Series(now time.Time) []Series {
	end := now.Unix()/int64(Bucket/time.Second) + 1
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Series, 0, len(r.rings))
	for o, counts := range r.rings {
		all = append(all, seriesOf(o, counts, end))
	}
	slices.SortFunc(all, func(a, b Series) int { return compareObjectives(a.Objective, b.Objective) })
	return all
}

func seriesOf(o Objective, counts *ring, end int64) Series {
	s := Series{Objective: o}
	for _, window := range Windows {
		s.Windows = append(s.Windows, counts.sum(end-int64(window/Bucket), end))
	}
	span := int64(HistorySpan / Bucket)
	for i := range int64(HistoryPoints) {
		from := end - (int64(HistoryPoints)-i)*span
		s.History = append(s.History, counts.sum(from, from+span))
	}
	return s
}

func compareObjectives(a, b Objective) int {
	return cmp.Or(
		cmp.Compare(a.Team, b.Team), cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Waiting, b.Waiting), cmp.Compare(a.Target, b.Target),
	)
}
