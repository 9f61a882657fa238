// Package burn measures how fast teams use up their error budgets.
//
// An objective says that a fraction Target of a team's work is to be answered
// within a waiting time. Work that was refused, failed, or waited longer is bad;
// the budget is the fraction 1-Target that may be bad. The burn rate of a window
// is the bad fraction over the budget: at rate 1 the budget lasts exactly its
// period.
//
// An alert needs two windows above the same threshold, a long one so that it is
// worth acting on and a short one so that it ends soon after the fault does.
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

// The ring of a Recorder.
const (
	// Bucket is the width of one bucket.
	Bucket = time.Minute
	// Kept is how far back a Recorder counts.
	Kept = 6 * time.Hour

	buckets = int(Kept / Bucket)
)

// Objective is one service level of a team.
type Objective struct {
	Team string `json:"team"`
	// Kind is a kind of work, or empty for all kinds.
	Kind    string        `json:"kind,omitempty"`
	Waiting time.Duration `json:"waiting_ns"`
	Target  float64       `json:"target"`
}

// Count is an amount of work and how much of it was bad.
type Count struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
}

// Add returns the sum.
func (c Count) Add(other Count) Count {
	return Count{Total: c.Total + other.Total, Bad: c.Bad + other.Bad}
}

// Rate returns the burn rate of the count for a target; 0 without work.
func (c Count) Rate(target float64) float64 {
	if c.Total == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Series is what one entry counted for an objective.
type Series struct {
	Objective
	// Windows are the counts of Windows, in their order.
	Windows []Count `json:"windows"`
	// History holds a count for each of the last HistoryPoints spans, oldest
	// first.
	History []Count `json:"history"`
}

// Windows are the spans that rates are taken over.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, Kept}

// History is split into spans of HistorySpan.
const (
	HistorySpan   = 10 * time.Minute
	HistoryPoints = int(Kept / HistorySpan)
)

// Recorder counts work for the objectives in force. It is safe for concurrent
// use; objectives are in a map under one lock, taken once per ended request.
type Recorder struct {
	mu     sync.Mutex
	series map[Objective]*ring
	byTeam map[string][]Objective
}

// ring holds the counts of the last buckets; a slot is valid for one minute only.
type ring struct {
	counts [buckets]Count
	minute [buckets]int64
}

// NewRecorder returns a recorder without objectives.
func NewRecorder() *Recorder {
	return &Recorder{series: make(map[Objective]*ring), byTeam: make(map[string][]Objective)}
}

// SetObjectives replaces the objectives; counts of those that stay are kept.
func (r *Recorder) SetObjectives(objectives []Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.series
	r.series = make(map[Objective]*ring, len(objectives))
	r.byTeam = make(map[string][]Objective)
	for _, o := range objectives {
		kept := before[o]
		if kept == nil {
			kept = &ring{}
		}
		r.series[o] = kept
		r.byTeam[o.Team] = append(r.byTeam[o.Team], o)
	}
}

// Record counts one piece of work that ended, answered or not.
func (r *Recorder) Record(now time.Time, team, kind string, waited time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.byTeam[team] {
		if o.Kind != "" && o.Kind != kind {
			continue
		}
		r.series[o].add(now, answered && waited <= o.Waiting)
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
	all := make([]Series, 0, len(r.series))
	for o, counts := range r.series {
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
