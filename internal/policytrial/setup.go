package policytrial

import (
	"math/rand/v2"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// Kind is a kind of work.
type Kind struct {
	Name   string
	Policy version.Policy
	Urgent bool
	Amount resource.Amount
	// RunTime is the mean of the exponential run time; 0 runs until the trial ends.
	RunTime time.Duration
	// Deadline is the time from arrival to response, 0 for none.
	Deadline time.Duration
	// Portion is the relative frequency of the kind among arrivals.
	Portion float64
}

// Team is a team with the relative frequency of its arrivals.
type Team struct {
	queue.Team
	Portion float64
	// OneEntry sends all work of the team to the same entry.
	OneEntry bool
}

// Event is a change to the trial at a time.
type Event struct {
	At time.Duration
	Do func(*Trial)
}

// Setup describes one trial.
type Setup struct {
	Workers []placement.Candidate
	Teams   []Team
	Kinds   []Kind
	// Load is the rate of arrivals as a multiple of the fleet's capacity.
	Load float64
	// Entries is the number of entries. Each has a queue and an even part of the
	// workers.
	Entries int
	// Exchange is the interval at which entries exchange the usage of teams.
	Exchange time.Duration
	// QueueLimit is the largest number of items in an entry's queue.
	QueueLimit int
	// Backlog, unless 0, starts the trial with a full fleet and about this number of
	// items waiting at every entry.
	Backlog int
	// RunTimeError is the largest factor by which declared run times are wrong, up
	// or down; 0 and 1 leave them correct.
	RunTimeError float64
	// Warmup precedes Duration and is excluded from all measurements.
	Warmup, Duration time.Duration
	Events           []Event
	Seed             uint64
	// NewScheduler returns the scheduler of one entry.
	NewScheduler func(SchedulerConfig) Scheduler
	// Observer measures the trial. It may read the Trial that New returns.
	Observer Observer
}

// SchedulerConfig configures a Scheduler.
type SchedulerConfig struct {
	Workers []placement.Candidate
	// Total is the capacity of all entries together.
	Total      resource.Amount
	Teams      []queue.Team
	QueueLimit int
	Rand       *rand.Rand
}

// Scheduler makes the decisions of one entry. The Value of every item is its *Kind.
type Scheduler interface {
	// Push queues the item and returns the items that are refused.
	Push(now time.Time, it *queue.Item) []*queue.Item
	// Next removes an item that can start now and returns it with its worker, or nil.
	Next(now time.Time) (*queue.Item, int)
	Started(now time.Time, it *queue.Item, worker int)
	// Finished follows Started. ok reports whether the work succeeded.
	Finished(now time.Time, it *queue.Item, worker int, ok bool)
	Expire(now time.Time) []*queue.Item
	// Totals and SetPeerTotals exchange the usage of teams between entries.
	Totals(now time.Time) []queue.TeamTotal
	SetPeerTotals(now time.Time, peer string, version uint64, totals []queue.TeamTotal)
	SetClosed(worker int, closed bool)
	// Waiting reports whether the team has items queued.
	Waiting(team string) bool
}

// Observer is notified of the events of a trial.
type Observer interface {
	Refused(items []*queue.Item)
	Started(it *queue.Item)
	Finished(it *queue.Item, ok bool)
	// UsageChanging is called before the usage of a team changes. team is its index
	// in Setup.Teams.
	UsageChanging(team int)
	// Tick is called at each Tick of virtual time.
	Tick()
}

// capacity returns the total capacity of the workers.
func capacity(workers []placement.Candidate) resource.Amount {
	var total resource.Amount
	for _, c := range workers {
		total = total.Add(c.Capacity)
	}
	return total
}

// arrivalsPerSecond returns the rate of arrivals that gives Load.
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
