package policytrial

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// window is the period over which shares are compared.
const window = 10 * time.Second

// Waiting is the time from arrival to start, over all started items of one kind.
type Waiting struct {
	Kind     string
	P50, P99 time.Duration
	Started  int
}

// Result holds the measurements of a trial after its warm-up.
type Result struct {
	Waiting []Waiting
	// LargestShortfall and MeanShortfall are over teams that were backlogged during
	// a whole window. A shortfall is the fraction by which a team's usage was below
	// its weighted max-min share of all usage.
	LargestShortfall, MeanShortfall float64
	// Windows is the number of pairs of a team and a window in which the team was
	// backlogged throughout.
	Windows int
	// Used is the mean fraction of the fleet in use, in the most used dimension.
	Used float64
	// Refused counts items that were shed or expired, Failed those that ran on broken
	// workers.
	Refused, Failed int
	// SmallTeamsRefused counts refused items of all teams but the first.
	SmallTeamsRefused int
	// Goodput is the number of items per second that succeeded within their deadline.
	Goodput float64
}

// recorder is an Observer that computes a Result.
type recorder struct {
	trial                                 *Trial
	refused, smallRefused, failed, inTime int
	waits                                 map[string][]time.Duration
	// integrated is the time up to which each team's usage is included in used.
	integrated []time.Duration
	// used is the dominant share of each team, integrated over the current window, in
	// seconds.
	used []float64
	// backlogged states for each team whether it has been backlogged since the start of
	// the current window.
	backlogged []bool
	// samples counts the ticks of the current window, ticks those of all windows.
	samples   int
	shortfall []float64
	usedSum   float64
	ticks     int
}

// run runs a trial and returns its Result.
func run(setup Setup) Result {
	r := &recorder{waits: make(map[string][]time.Duration), integrated: make([]time.Duration, len(setup.Teams))}
	setup.Observer = r
	if setup.NewScheduler == nil {
		setup.NewScheduler = newCurrent
	}
	r.trial = New(setup)
	r.reset()
	r.trial.Run()
	return r.result()
}

func (r *recorder) reset() {
	r.used = make([]float64, len(r.trial.setup.Teams))
	r.backlogged = slices.Repeat([]bool{true}, len(r.used))
	r.samples = 0
}

func (r *recorder) measuring() bool { return r.trial.now >= r.trial.setup.Warmup }

func (r *recorder) Refused(items []*queue.Item) {
	if r.measuring() {
		r.refused += len(items)
		for _, it := range items {
			if it.Team != r.trial.setup.Teams[0].Name {
				r.smallRefused++
			}
		}
	}
}

func (r *recorder) Started(it *queue.Item) {
	if r.measuring() {
		r.waits[it.Kind] = append(r.waits[it.Kind], r.trial.clock().Sub(it.Enqueued))
	}
}

func (r *recorder) Finished(it *queue.Item, ok bool) {
	switch {
	case !r.measuring():
	case !ok:
		r.failed++
	case it.Deadline.IsZero() || !r.trial.clock().After(it.Deadline):
		r.inTime++
	}
}

// UsageChanging adds the team's usage since the last call to the current window.
func (r *recorder) UsageChanging(team int) {
	from := max(r.integrated[team], r.trial.setup.Warmup)
	if r.trial.now > from {
		share := r.trial.usage(r.trial.setup.Teams[team].Name).DominantShare(r.trial.total)
		r.used[team] += share * (r.trial.now - from).Seconds()
	}
	r.integrated[team] = r.trial.now
}

// Tick updates the window and checks which teams are backlogged.
func (r *recorder) Tick() {
	if !r.measuring() {
		return
	}
	var all resource.Amount
	for i, team := range r.trial.setup.Teams {
		usage := r.trial.usage(team.Name)
		all = all.Add(usage)
		r.UsageChanging(i)
		r.backlogged[i] = r.backlogged[i] && r.waiting(team.Name)
	}
	r.usedSum += all.DominantShare(r.trial.total)
	r.ticks++
	if r.samples++; r.samples == int(window/Tick) {
		r.recordShortfalls()
		r.reset()
	}
}

// waiting reports whether the team has items queued anywhere.
func (r *recorder) waiting(team string) bool {
	return slices.ContainsFunc(r.trial.entries, func(e *Entry) bool { return e.scheduler.Waiting(team) })
}

// recordShortfalls records the shortfall of every team that was backlogged.
func (r *recorder) recordShortfalls() {
	level := r.fairLevel()
	for i, team := range r.trial.setup.Teams {
		if r.backlogged[i] {
			r.shortfall = append(r.shortfall, max(0, 1-r.used[i]/(level*weight(team))))
		}
	}
}

// fairLevel returns the usage per weight that weighted max-min gives to backlogged
// teams, from the usage of these teams and of all teams above that level.
func (r *recorder) fairLevel() float64 {
	below := make([]bool, len(r.used))
	for {
		var used, weights float64
		for i, team := range r.trial.setup.Teams {
			if !below[i] {
				used += r.used[i]
				weights += weight(team)
			}
		}
		level, changed := used/weights, false
		for i, team := range r.trial.setup.Teams {
			if !below[i] && !r.backlogged[i] && r.used[i] < level*weight(team) {
				below[i], changed = true, true
			}
		}
		if !changed {
			return level
		}
	}
}

func weight(t Team) float64 { return float64(max(1, t.Weight)) }

func (r *recorder) result() Result {
	res := Result{
		Refused: r.refused, SmallTeamsRefused: r.smallRefused, Failed: r.failed, Windows: len(r.shortfall),
		Used:    r.usedSum / float64(r.ticks),
		Goodput: float64(r.inTime) / r.trial.setup.Duration.Seconds(),
	}
	for _, s := range r.shortfall {
		res.LargestShortfall = max(res.LargestShortfall, s)
		res.MeanShortfall += s / float64(len(r.shortfall))
	}
	for _, k := range r.trial.setup.Kinds {
		waits := r.waits[k.Name]
		if len(waits) == 0 {
			continue
		}
		slices.Sort(waits)
		res.Waiting = append(res.Waiting, Waiting{Kind: k.Name, Started: len(waits), P50: waits[len(waits)/2], P99: waits[len(waits)*99/100]})
	}
	return res
}

// row formats the result as the cells of a table row.
func (r Result) row() string {
	var waits []string
	for _, w := range r.Waiting {
		waits = append(waits, fmt.Sprintf("%s %s/%s (%d)", w.Kind, w.P50.Round(time.Millisecond), w.P99.Round(time.Millisecond), w.Started))
	}
	return fmt.Sprintf("%s | %.3f/%.4f (%d) | %.3f | %d | %d | %d | %.0f |",
		strings.Join(waits, ", "), r.LargestShortfall, r.MeanShortfall, r.Windows, r.Used, r.Refused, r.SmallTeamsRefused, r.Failed, r.Goodput)
}
