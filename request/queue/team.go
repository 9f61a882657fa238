package queue

import (
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Team is what the queue has to know about a team.
type Team struct {
	Name string
	// Weight is the team's share when everything is full, relative to others.
	// Values below 1 count as 1.
	Weight int64
	// QueueLimit is how many items of the team may wait; 0 means only the
	// queue's own limit counts.
	QueueLimit int
}

// Depth is how many items a team has waiting.
type Depth struct {
	Team    string
	Waiting int
	// Urgent is how many of those are urgent.
	Urgent int
}

// teamState is a team's queue and account.
type teamState struct {
	name       string
	weight     float64
	queueLimit int
	// configured is false for teams that only have usage or items left.
	configured bool

	// lanes holds the lanes with items, in the order of their first items.
	lanes   []*lane
	byKey   map[laneKey]*lane
	queued  int
	urgent  int
	waiting resource.Amount

	own, ownUrgent resource.Amount
	// share is the dominant share of its running work, urgentShare that of the
	// urgent part. With peers, dominant is the dimension that the team uses most
	// of in the whole fleet, so that the shares of all queues add up to the
	// fleet's.
	share, urgentShare float64
	dominant           resource.Dimension
	// total is all usage until charged.
	total Usage
	// peers counts the peers that reported the team; peerRatio is what they use
	// for each unit used here, peerRecent what they used lately.
	peers      int
	peerRatio  float64
	peerRecent Usage
	// virtual is the team's virtual time at charged, in seconds of the whole
	// fleet over weight.
	virtual float64
	charged time.Time
}

func newTeamState(name string) *teamState {
	return &teamState{name: name, weight: 1, byKey: make(map[laneKey]*lane)}
}

// charge brings the team's virtual time up to now.
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

// rate is how fast the team's virtual time grows.
func (t *teamState) rate() float64 {
	return t.share * (1 + t.peerRatio) / t.weight
}

// measure recomputes the team's shares after usage or capacity changed.
func (t *teamState) measure(total resource.Amount) {
	t.share = t.own.DominantShare(total)
	if t.peers > 0 {
		t.share = fractionOf(t.own, total, t.dominant)
	}
	t.urgentShare = t.ownUrgent.DominantShare(total)
}

// demand is the dominant share of all that the team runs and wants in the whole fleet,
// over its weight. Peers are taken to have work of the team waiting in the proportion
// in which they run it.
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

// lastItem returns the item that would start last, nil if none waits.
func (t *teamState) lastItem() *Item {
	var last *Item
	for _, l := range t.lanes {
		if it := l.last.top(); last == nil || before(last, it) {
			last = it
		}
	}
	return last
}

// idle reports whether nothing is known or wanted of the team any more.
func (t *teamState) idle() bool {
	return !t.configured && t.queued == 0 && t.own.IsZero()
}

// fractionOf returns the fraction of total that amount takes in one dimension.
func fractionOf(amount, total resource.Amount, d resource.Dimension) float64 {
	whole := total.Vector()[d]
	if whole <= 0 {
		return 0
	}
	return float64(amount.Vector()[d]) / float64(whole)
}
