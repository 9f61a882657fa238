package requests

import (
	"testing"

	"github.com/kingcuplatch/kingcuplatch/process/exchange"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
	"gotest.tools/v3/assert"
)

// Capacity at a peer is free again once a request there was answered. If it stays counted
// until the peer's next report, an entry without workers of its own starts no more than that
// capacity per report, however short its requests are, and the rest pass their deadlines.
func TestAnsweredRequestFreesCapacityAtThePeer(t *testing.T) {
	one := resource.Amount{Running: 1, Slots: 1}
	kind := &version.Kind{Name: "quote", Upstream: "bookings", Amount: one}
	peers := NewPeerCapacity()
	report := func(slots int64) {
		free := resource.Amount{Running: slots, Slots: slots}
		peers.Update(exchange.Peer{
			Instance: "b", Address: "b:1",
			State: exchange.State{Free: []exchange.Free{{Upstream: "bookings", Total: free}}},
		})
	}
	pick := func() *remoteReservation {
		address, instance, ok := peers.Pick("bookings", one)
		if !ok {
			return nil
		}
		return &remoteReservation{
			placer:  &Placer{o: PlacerOptions{Remote: peers}},
			address: address, instance: instance, upstream: kind.Upstream, amount: one,
		}
	}
	report(2)
	first, second := pick(), pick()
	assert.Assert(t, first != nil && second != nil && pick() == nil)

	first.Release(attempt.Outcome{Status: 200})
	third := pick()
	assert.Assert(t, third != nil && pick() == nil, "an answer frees what its request used, and no more")

	second.Release(attempt.Unknown("no reply"))
	assert.Assert(t, pick() == nil, "after an unknown outcome the request may still run")

	peers.Exhausted("b", "bookings")
	third.Release(attempt.Outcome{Status: 200})
	assert.Assert(t, pick() == nil, "a refusal holds until the next report")

	report(1)
	late := pick()
	assert.Assert(t, late != nil && pick() == nil)
	report(1)
	late.Release(attempt.Outcome{Status: 200})
	assert.Assert(t, pick() != nil && pick() == nil, "no more is free than the peer reported")
}
