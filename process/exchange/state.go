package exchange

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// Free is the free capacity of an upstream's workers owned by one entry.
type Free struct {
	Upstream string
	Total    resource.Amount
}

// QueueTotals holds the teams' usage as counted by the queue of an upstream.
type QueueTotals struct {
	Upstream string
	Totals   []queue.TeamTotal
}

// State is the state that one entry reports of itself.
type State struct {
	// Usage is the teams' usage of the entry's workers.
	Usage []capacity.TeamUsage
	// Free is the free capacity for requests, by upstream.
	Free []Free
	// Queues holds the teams' usage counted by the entry's queues since they were
	// created.
	Queues []QueueTotals
	// Tasks is the free capacity for tasks on all of the entry's workers.
	Tasks capacity.Summary
	// Leaving names the workers that are leaving according to the entry's recent
	// instance list, for entries that can't read the list.
	Leaving []string
}

// Peer is the last state received from another entry.
type Peer struct {
	Instance    string
	Incarnation string
	Address     string
	Status      store.PeerStatus
	State       State
	// LastContact is when the last message was received.
	LastContact time.Time
	// CreatedAfter is a time of this entry's clock after which the peer created its
	// last message. It is zero if no such time is known.
	CreatedAfter time.Time

	// Number is the number of State. Within an incarnation, a State with a higher
	// number is newer.
	Number uint64
	// acked is the number of this entry's State that the peer has.
	acked uint64
	// token is the time of the peer's last answer by the peer's clock. The next call
	// echoes it.
	token int64
}

// Member is an entry that may be called.
type Member struct {
	Instance string
	Address  string
}
