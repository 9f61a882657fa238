package entry

import (
	"context"
	"encoding/json"

	"github.com/kingcuplatch/kingcuplatch/conn/callers"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/process/requests"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
)

// guards returns the ownership as requests and tasks see it.
func (e *Entry) guards() requests.Guards {
	var g requests.Guards = e.owners
	if e.Omit.Right {
		g = lastingRight{g}
	}
	if e.Omit.Replication {
		g = forgetfulGuards{g}
	}
	return g
}

// lastingRight holds the right to hold for as long as the block isn't known to be
// lost.
type lastingRight struct{ requests.Guards }

// MayHandOver implements ownership.Owners.
func (l lastingRight) MayHandOver(block string) (ownership.Grant, bool) {
	for _, g := range l.Owned() {
		if g.Block == block {
			return g, true
		}
	}
	return ownership.Grant{}, false
}

// forgetfulGuards remember nothing.
type forgetfulGuards struct{ requests.Guards }

// Replicate implements requests.Guards.
func (forgetfulGuards) Replicate(context.Context, json.RawMessage) error { return nil }

// callersRequests returns what runs the requests of callers.
func (e *Entry) callersRequests() callers.Requests {
	if e.Omit.Dedupe {
		return unnamed{e.requests}
	}
	return e.requests
}

// unnamed runs every request as if its caller had not named it.
type unnamed struct{ *requests.Service }

// Do implements callers.Requests.
func (u unnamed) Do(ctx context.Context, r *attempt.Request) attempt.Outcome {
	r.Named = false
	return u.Service.Do(ctx, r)
}
