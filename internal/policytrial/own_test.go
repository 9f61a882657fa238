package policytrial

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/backfill"
	"github.com/kingcuplatch/kingcuplatch/process/health"
	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// current is the scheduler of the product: its queue, backfill, placement and health
// decisions.
type current struct {
	*backfill.Dispatcher
	health *health.Monitor
}

// newCurrent returns the current scheduler.
func newCurrent(config SchedulerConfig) Scheduler {
	q := queue.New(queue.Config{Total: config.Total, Limit: config.QueueLimit, Teams: config.Teams})
	policy := backfill.Policy{Ask: askOf}
	s := &current{Dispatcher: backfill.New(q, placement.NewIndex(config.Workers), policy, config.Rand), health: health.New()}
	var names []string
	for _, c := range config.Workers {
		names = append(names, c.Worker)
	}
	s.health.SetWorkers(time.Time{}, names)
	return s
}

func (s *current) Push(now time.Time, it *queue.Item) []*queue.Item {
	shed, err := s.Queue.Push(now, it)
	if err != nil {
		return append(shed, it)
	}
	return shed
}

func (s *current) Next(now time.Time) (*queue.Item, int) {
	start, _ := s.Dispatcher.Next(now)
	return start.Item, start.Worker
}

func askOf(it *queue.Item) placement.Ask {
	return placement.Ask{Amount: it.Amount, Policy: it.Value.(*Kind).Policy}
}

func (s *current) Started(now time.Time, it *queue.Item, worker int) {
	s.Index.Allocate(worker, it.Amount)
	s.Queue.Started(now, it.Charge())
}

func (s *current) Finished(now time.Time, it *queue.Item, worker int, ok bool) {
	s.Index.Release(worker, it.Amount)
	s.Queue.Finished(now, it.Charge())
	if s.health.Record(now, health.Outcome{Worker: s.Index.At(worker).Worker, Kind: it.Kind, Failed: !ok}) {
		s.Index.SetClosed(worker, true)
	}
}

func (s *current) Expire(now time.Time) []*queue.Item { return s.Queue.Expire(now) }

func (s *current) Totals(now time.Time) []queue.TeamTotal { return s.Queue.Totals(now) }

func (s *current) SetPeerTotals(now time.Time, peer string, version uint64, totals []queue.TeamTotal) {
	s.Queue.SetPeerTotals(now, peer, version, totals)
}

func (s *current) SetClosed(worker int, closed bool) { s.Index.SetClosed(worker, closed) }

func (s *current) Waiting(team string) bool { return s.Queue.Waiting(team) > 0 }
