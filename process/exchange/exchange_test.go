package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// directCaller calls the handlers of exchanges in memory and counts bytes.
type directCaller struct {
	targets map[string]*Exchange
	bytes   int
	calls   int
}

func (c *directCaller) Call(ctx context.Context, address, _ string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := c.targets[address].receive(ctx, data)
	if err != nil {
		return err
	}
	back, err := json.Marshal(answer)
	c.bytes += len(data) + len(back)
	c.calls++
	if err != nil {
		return err
	}
	return json.Unmarshal(back, result)
}

func group(n int) ([]*Exchange, *directCaller, []State) {
	caller := &directCaller{targets: make(map[string]*Exchange)}
	states := make([]State, n)
	var members []Member
	var all []*Exchange
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		members = append(members, Member{Instance: name, Address: name})
		states[i] = State{Usage: []capacity.TeamUsage{{Team: "a", Amount: resource.Amount{Running: int64(i)}}}}
		e := New(Options{
			Instance: name, Incarnation: "1", Address: name, Caller: caller, Period: time.Second,
			Members: func() []Member { return members },
			State:   func() State { return states[i] },
			Status:  func() store.PeerStatus { return store.PeerStatus{Number: uint64(i)} },
			Heard:   func(Peer) {},
			Failed:  func(string, error) {},
		})
		caller.targets[name] = e
		all = append(all, e)
	}
	return all, caller, states
}

func round(all []*Exchange) {
	for _, e := range all {
		for _, member := range successors(e.o.Instance, e.o.Members(), Fanout) {
			e.call(context.Background(), member)
		}
	}
}

func TestNineEntriesHearEverybodyAndSendChangesOnly(t *testing.T) {
	all, caller, states := group(9)
	round(all)
	for _, e := range all {
		assert.Equal(t, len(e.Peers(time.Minute)), 8)
	}
	assert.Equal(t, caller.calls, 9*Fanout)
	round(all)
	caller.bytes = 0
	round(all)
	quiet := caller.bytes
	states[3].Usage[0].Amount.Running = 77
	caller.bytes = 0
	round(all)
	changed := caller.bytes
	assert.Assert(t, quiet < changed)
	for _, e := range all {
		if e.o.Instance != "entry-3" {
			assert.Equal(t, e.Peers(time.Minute)[indexOf(e, "entry-3")].State.Usage[0].Amount.Running, int64(77))
		}
	}
	t.Logf("bytes a round of 9 entries: quiet %d, one change %d", quiet, changed)
}

// Both the answer to a call and the next call of the peer say since when they
// hold; the first call of a peer does not.
func TestSaidAfter(t *testing.T) {
	all, _, _ := group(2)
	var said []time.Time
	all[0].o.Heard = func(p Peer) { said = append(said, p.SaidAfter) }
	began := time.Now()
	all[1].call(context.Background(), Member{Instance: "entry-0", Address: "entry-0"})
	all[1].call(context.Background(), Member{Instance: "entry-0", Address: "entry-0"})
	all[0].call(context.Background(), Member{Instance: "entry-1", Address: "entry-1"})
	assert.Equal(t, len(said), 3)
	assert.Assert(t, said[0].IsZero())
	assert.Assert(t, !said[1].Before(began) && said[1].Before(time.Now()))
	assert.Assert(t, !said[2].Before(began) && said[2].Before(time.Now()))
}

func indexOf(e *Exchange, instance string) int {
	for i, p := range e.Peers(time.Minute) {
		if p.Instance == instance {
			return i
		}
	}
	return -1
}

func TestFanoutIsBounded(t *testing.T) {
	all, caller, _ := group(100)
	round(all)
	assert.Equal(t, caller.calls, 100*Fanout)
	for _, e := range all {
		assert.Equal(t, len(e.Peers(time.Minute)), 2*Fanout)
	}
}

func TestRestartedPeerGetsTheWholeState(t *testing.T) {
	all, caller, _ := group(2)
	round(all)
	round(all)
	restarted := New(all[1].o)
	restarted.o.Incarnation = "2"
	caller.targets["entry-1"] = restarted
	all[0].call(context.Background(), Member{Instance: "entry-1", Address: "entry-1"})
	all[0].call(context.Background(), Member{Instance: "entry-1", Address: "entry-1"})
	peers := restarted.Peers(time.Minute)
	assert.Equal(t, len(peers), 1)
	assert.Equal(t, len(peers[0].State.Usage), 1)
}
