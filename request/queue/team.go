package queue

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Team is the configuration of a team in the queue.
type Team struct {
	Name string
	// Weight is the team's share under full load, relative to other teams. A value
	// below 1 counts as 1.
	Weight int64
	// QueueLimit is the maximum number of waiting items of the team; 0 means that only
	// the queue's own limit applies.
	QueueLimit int
}

// Depth is the number of waiting items of a team.
type Depth struct {
	Team    string
	Waiting int
	// Urgent is the number of urgent items among them.
	Urgent int
}

// teamState holds the waiting items and the usage of a team.
type teamState struct {
	name       string
	weight     float64
	queueLimit int
	// configured is false for a team that is known only by its remaining usage or
	// items.
	configured bool

	// lanes holds the lanes that have items, in the order of their first items.
	lanes   []*lane
	byKey   map[laneKey]*lane
	queued  int
	urgent  int
	waiting resource.Amount

	own, ownUrgent resource.Amount
	// share is the dominant share of the running work, urgentShare that of its urgent
	// part. With peers, dominant is the dimension that the team uses most of in the
	// whole fleet, so that the shares of all queues add up to that of the fleet.
	share, urgentShare float64
	dominant           resource.Dimension
	// total is the usage up to charged.
	total Usage
	// peers is the number of peers that reported the team. peerRatio is the peers'
	// usage for each unit used here, and peerRecent their recent usage.
	peers      int
	peerRatio  float64
	peerRecent Usage
	// virtual is the team's virtual time at charged, in seconds of the whole fleet
	// divided by weight.
	virtual float64
	charged time.Time
}

func newTeamState(name string) *teamState {
	return &teamState{name: name, weight: 1, byKey: make(map[laneKey]*lane)}
}

// charge advances the team's usage and virtual time to now.
func (t *teamState) charge(now time.Time, total resource.Amount) {
	if now.After(t.charged) {
		elapsed := now.Sub(t.charged).Seconds()
		if !t.own.IsZero() {
			t.total.add(t.own, total, elapsed)
		}
		t.virtual += t.rate() * elapsed
		t.charged = now
	}
}

// rate returns the growth of the virtual time per second.
func (t *teamState) rate() float64 {
	return t.share * (1 + t.peerRatio) / t.weight
}

// updateShares recomputes the team's shares after its usage or the total capacity
// changed.
func (t *teamState) updateShares(total resource.Amount) {
	t.share = t.own.DominantShare(total)
	if t.peers > 0 {
		t.share = fractionOf(t.own, total, t.dominant)
	}
	t.urgentShare = t.ownUrgent.DominantShare(total)
}

// demand returns the dominant share of the team's running and waiting work in the whole
// fleet, divided by its weight. Waiting work at peers is estimated in proportion to
// their running work.
func (t *teamState) demand(total resource.Amount) float64 {
	return t.own.Add(t.waiting).DominantShare(total) * (1 + t.peerRatio) / t.weight
}

func (t *teamState) add(it *Item) {
	key := laneKey{kind: it.Kind, urgent: it.Urgent}
	l := t.byKey[key]
	if l == nil {
		l = newLane(key)
		t.byKey[key] = l
		t.lanes = append(t.lanes, l)
	}
	l.add(it)
	t.sortLanes()
	t.queued++
	t.waiting = t.waiting.Add(it.Amount)
	if it.Urgent {
		t.urgent++
	}
}

func (t *teamState) remove(it *Item) {
	l := t.byKey[laneKey{kind: it.Kind, urgent: it.Urgent}]
	l.remove(it)
	if l.first.Len() == 0 {
		delete(t.byKey, l.key)
		t.lanes = slices.DeleteFunc(t.lanes, func(other *lane) bool { return other == l })
	}
	t.sortLanes()
	t.queued--
	t.waiting = t.waiting.Sub(it.Amount)
	if it.Urgent {
		t.urgent--
	}
}

// sortLanes restores the order after one lane's first item changed.
func (t *teamState) sortLanes() {
	for i := 1; i < len(t.lanes); i++ {
		for j := i; j > 0 && before(t.lanes[j].first.top(), t.lanes[j-1].first.top()); j-- {
			t.lanes[j], t.lanes[j-1] = t.lanes[j-1], t.lanes[j]
		}
	}
}

// lastItem returns the item that would start last, or nil if none waits.
func (t *teamState) lastItem() *Item {
	var last *Item
	for _, l := range t.lanes {
		if it := l.last.top(); last == nil || before(last, it) {
			last = it
		}
	}
	return last
}

// idle reports whether the team is not configured and has neither waiting nor running
// work.
func (t *teamState) idle() bool {
	return !t.configured && t.queued == 0 && t.own.IsZero()
}

// fractionOf returns the fraction of total that amount takes in dimension d.
func fractionOf(amount, total resource.Amount, d resource.Dimension) float64 {
	whole := total.Vector()[d]
	if whole <= 0 {
		return 0
	}
	return float64(amount.Vector()[d]) / float64(whole)
}
