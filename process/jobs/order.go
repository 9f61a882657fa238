package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// QueuedJob is a job with pending tasks, as passed to an Order.
type QueuedJob struct {
	ID       string
	Team     string
	Urgent   bool
	Deadline time.Time
	Created  time.Time
	Amount   resource.Amount
	// Tasks is the number of tasks that may start, up to maxBatchTasks.
	Tasks int
}

// TeamShare is the share of the fleet that a team is entitled to and uses.
type TeamShare struct {
	// Share is the team's weight.
	Share int64
	// Used is the team's dominant share of the fleet, in [0, 1].
	Used float64
}

// Order returns the jobs in the order in which their tasks should start.
type Order func(waiting []QueuedJob, teams map[string]TeamShare, total resource.Amount) []QueuedJob

// ByShare sorts urgent jobs first. The other jobs of each team are sorted by their
// deadlines, and the teams are interleaved by ascending weighted dominant share that
// each will have reached when the job starts.
//
// Source: start-time fair queueing, Goyal, Vin and Cheng, SIGCOMM 1996, over the
// dominant shares of Ghodsi et al., NSDI 2011.
func ByShare(waiting []QueuedJob, teams map[string]TeamShare, total resource.Amount) []QueuedJob {
	type tagged struct {
		QueuedJob
		tag float64
	}
	sorted := slices.Clone(waiting)
	slices.SortFunc(sorted, byDeadline)
	reached := make(map[string]float64, len(teams))
	for name, team := range teams {
		reached[name] = team.Used
	}
	queue := make([]tagged, 0, len(sorted))
	for _, w := range sorted {
		weight := float64(max(1, teams[w.Team].Share))
		queue = append(queue, tagged{QueuedJob: w, tag: reached[w.Team] / weight})
		reached[w.Team] += w.Amount.Times(int64(w.Tasks)).DominantShare(total)
	}
	slices.SortStableFunc(queue, func(x, y tagged) int {
		if x.Urgent != y.Urgent {
			return compareBool(y.Urgent, x.Urgent)
		}
		return cmp.Compare(x.tag, y.tag)
	})
	for i := range queue {
		sorted[i] = queue[i].QueuedJob
	}
	return sorted
}

func byDeadline(x, y QueuedJob) int {
	if x.Urgent != y.Urgent {
		return compareBool(y.Urgent, x.Urgent)
	}
	if x.Deadline.IsZero() != y.Deadline.IsZero() {
		return compareBool(x.Deadline.IsZero(), y.Deadline.IsZero())
	}
	return cmp.Or(x.Deadline.Compare(y.Deadline), x.Created.Compare(y.Created), cmp.Compare(x.ID, y.ID))
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}
