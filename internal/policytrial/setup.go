package policytrial

import (
	"math/rand/v2"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Kind is a kind of work that arrives.
type Kind struct {
	Name   string
	Policy version.Policy
	Urgent bool
	Amount resource.Amount
	// RunTime is the mean of the exponential run time; 0 runs for ever.
	RunTime time.Duration
	// Deadline is the time from arrival to answer, 0 for none.
	Deadline time.Duration
	// Portion is the part of arrivals that are of this kind.
	Portion float64
}

// Team is a team and its part of all arrivals.
type Team struct {
	queue.Team
	Portion float64
	// OneEntry has all work of the team come to the same entry.
	OneEntry bool
}

// Event changes the trial at a time.
type Event struct {
	At time.Duration
	Do func(*Trial)
}

// Setup describes one trial.
type Setup struct {
	Workers []placement.Candidate
	Teams   []Team
	Kinds   []Kind
	// Load is arrivals as a multiple of what the fleet can run.
	Load float64
	// Entries is how many queues own an even part of the workers each.
	Entries int
	// Exchange is how often entries tell each other the usage of teams.
	Exchange time.Duration
	// QueueLimit is how many items an entry keeps waiting.
	QueueLimit int
	// Backlog, unless 0, starts the trial with a full fleet and about so many
	// items waiting at every entry.
	Backlog int
	// WrongBy is the factor by which declared run times are off, up or down; 0
	// and 1 leave them right.
	WrongBy float64
	// Warmup is left out of all figures; Duration follows it.
	Warmup, Duration time.Duration
	Events           []Event
	Seed             uint64
	// NewScheduler makes the decisions of one entry.
	NewScheduler func(SchedulerConfig) Scheduler
	// Observer measures; it may look at the trial that New returns.
	Observer Observer
}

// SchedulerConfig is what a Scheduler is made from.
type SchedulerConfig struct {
	Workers []placement.Candidate
	// Total is the capacity of all entries together.
	Total      resource.Amount
	Teams      []queue.Team
	QueueLimit int
	Rand       *rand.Rand
}

// Scheduler decides for one entry. The Value of every item is its *Kind.
type Scheduler interface {
	// Push queues the item; the items returned are refused.
	Push(now time.Time, it *queue.Item) []*queue.Item
	// Next takes out an item that starts now, and picks its worker.
	Next(now time.Time) (*queue.Item, int)
	Started(now time.Time, it *queue.Item, worker int)
	// Finished follows Started; ok tells whether the work succeeded.
	Finished(now time.Time, it *queue.Item, worker int, ok bool)
	Expire(now time.Time) []*queue.Item
	// Totals and SetPeerTotals exchange the usage of teams between entries.
	Totals(now time.Time) []queue.TeamTotal
	SetPeerTotals(now time.Time, peer string, version uint64, totals []queue.TeamTotal)
	SetClosed(worker int, closed bool)
	// Waiting reports whether the team has items queued.
	Waiting(team string) bool
}

// Observer sees what happens in a trial.
type Observer interface {
	Refused(items []*queue.Item)
	Started(it *queue.Item)
	Finished(it *queue.Item, ok bool)
	// Uses is called before the usage of the team, by its place in Setup.Teams,
	// changes.
	Uses(team int)
	// Tick is called each Tick of virtual time.
	Tick()
}

// capacity is the sum over the workers.
func capacity(workers []placement.Candidate) resource.Amount {
	var total resource.Amount
	for _, c := range workers {
		total = total.Add(c.Capacity)
	}
	return total
}

// arrivalsPerSecond is the rate of arrivals that makes the load.
func (s *Setup) arrivalsPerSecond() float64 {
	var cost [resource.Dimensions]float64
	for _, k := range s.Kinds {
		for d, n := range k.Amount.Vector() {
			cost[d] += k.Portion * float64(n) * k.RunTime.Seconds()
		}
	}
	var most float64
	for d, n := range capacity(s.Workers).Vector() {
		if n > 0 {
			most = max(most, cost[d]/float64(n))
		}
	}
	return s.Load / most
}
