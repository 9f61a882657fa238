package policytrial

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/backfill"
	"github.com/kingcuplatch/kingcuplatch/process/health"
	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// own is the project's scheduler.
type own struct {
	*backfill.Dispatcher
	health *health.Monitor
}

// newOwn returns the project's own decisions.
func newOwn(config SchedulerConfig) Scheduler {
	q := queue.New(queue.Config{Total: config.Total, Limit: config.QueueLimit, Teams: config.Teams})
	policy := backfill.Policy{Ask: askOf}
	o := &own{Dispatcher: backfill.New(q, placement.NewIndex(config.Workers), policy, config.Rand), health: health.New()}
	var names []string
	for _, c := range config.Workers {
		names = append(names, c.Worker)
	}
	o.health.SetWorkers(time.Time{}, names)
	return o
}

func (o *own) Push(now time.Time, it *queue.Item) []*queue.Item {
	shed, err := o.Queue.Push(now, it)
	if err != nil {
		return append(shed, it)
	}
	return shed
}

func (o *own) Next(now time.Time) (*queue.Item, int) {
	start, _ := o.Dispatcher.Next(now)
	return start.Item, start.Worker
}

func askOf(it *queue.Item) placement.Ask {
	return placement.Ask{Amount: it.Amount, Policy: it.Value.(*Kind).Policy}
}

func (o *own) Started(now time.Time, it *queue.Item, worker int) {
	o.Index.Allocate(worker, it.Amount)
	o.Queue.Started(now, it.Charge())
}

func (o *own) Finished(now time.Time, it *queue.Item, worker int, ok bool) {
	o.Index.Release(worker, it.Amount)
	o.Queue.Finished(now, it.Charge())
	if o.health.Record(now, health.Outcome{Worker: o.Index.At(worker).Worker, Kind: it.Kind, Failed: !ok}) {
		o.Index.SetClosed(worker, true)
	}
}

func (o *own) Expire(now time.Time) []*queue.Item { return o.Queue.Expire(now) }

func (o *own) Totals(now time.Time) []queue.TeamTotal { return o.Queue.Totals(now) }

func (o *own) SetPeerTotals(now time.Time, peer string, version uint64, totals []queue.TeamTotal) {
	o.Queue.SetPeerTotals(now, peer, version, totals)
}

func (o *own) SetClosed(worker int, closed bool) { o.Index.SetClosed(worker, closed) }

func (o *own) Waiting(team string) bool { return o.Queue.Waiting(team) > 0 }
