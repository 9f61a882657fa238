package entry

import (
	"context"
	"encoding/json"

	"github.com/kingcuplatch/kingcuplatch/conn/callers"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/requests"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
)

// ownership returns the ownership manager for requests and tasks, without the mechanisms
// in Omit.
func (e *Entry) ownership() requests.Ownership {
	var o requests.Ownership = e.owners
	if e.Omit.LeaseCheck {
		o = uncheckedLease{o}
	}
	o = withIDs{o, e.shardIDs}
	if e.Omit.Replication {
		o = noReplication{o}
	}
	return o
}

// uncheckedLease treats a lease as held until the loss of its block is known.
type uncheckedLease struct{ requests.Ownership }

// HoldsLease implements ownership.Owners.
func (l uncheckedLease) HoldsLease(block string) (ownership.Grant, bool) {
	for _, g := range l.Owned() {
		if g.Block == block {
			return g, true
		}
	}
	return ownership.Grant{}, false
}

// noReplication replicates nothing.
type noReplication struct{ requests.Ownership }

// Replicate implements requests.Ownership.
func (noReplication) Replicate(context.Context, json.RawMessage) error { return nil }

// callersRequests returns the implementation of callers.Requests.
func (e *Entry) callersRequests() callers.Requests {
	if e.Omit.Dedupe {
		return ignoreIDs{e.requests}
	}
	return e.requests
}

// ignoreIDs runs every request as if the caller had not chosen its id.
type ignoreIDs struct{ *requests.Service }

// Do implements callers.Requests.
func (i ignoreIDs) Do(ctx context.Context, r *attempt.Request) attempt.Outcome {
	r.Named = false
	return i.Service.Do(ctx, r)
}
