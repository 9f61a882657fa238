package policytrial

import (
	"math/rand/v2"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

// own is the project's scheduler.
type own struct {
	queue *queue.Queue
	index *placement.Index
	rand  *rand.Rand
}

// NewOwn returns the project's own decisions.
func NewOwn(config SchedulerConfig) Scheduler {
	return &own{
		queue: queue.New(queue.Config{Total: config.Total, Limit: config.QueueLimit, Teams: config.Teams}),
		index: placement.NewIndex(config.Workers),
		rand:  config.Rand,
	}
}

func (o *own) Push(now time.Time, it *queue.Item) []*queue.Item {
	shed, err := o.queue.Push(now, it)
	if err != nil {
		return append(shed, it)
	}
	return shed
}

func (o *own) Next(now time.Time) (*queue.Item, int) {
	worker := -1
	it := o.queue.Pop(now, func(it *queue.Item) bool {
		worker, _ = placement.Choose(askOf(it), o.index, o.rand)
		return worker >= 0
	})
	return it, worker
}

func askOf(it *queue.Item) placement.Ask {
	return placement.Ask{Amount: it.Amount, Policy: it.Value.(*Kind).Policy}
}

func (o *own) Started(now time.Time, it *queue.Item, worker int) {
	o.index.Take(worker, it.Amount)
	o.queue.Started(now, it.Charge())
}

func (o *own) Finished(now time.Time, it *queue.Item, worker int, _ bool) {
	o.index.Give(worker, it.Amount)
	o.queue.Finished(now, it.Charge())
}

func (o *own) Expire(now time.Time) []*queue.Item { return o.queue.Expire(now) }

func (o *own) Totals(now time.Time) []queue.TeamTotal { return o.queue.Totals(now) }

func (o *own) SetPeerTotals(now time.Time, peer string, version uint64, totals []queue.TeamTotal) {
	o.queue.SetPeerTotals(now, peer, version, totals)
}

func (o *own) SetClosed(worker int, closed bool) { o.index.SetClosed(worker, closed) }

func (o *own) Waiting(team string) bool { return o.queue.Waiting(team) > 0 }
