package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// directCaller calls the handlers of exchanges in memory and counts calls and bytes.
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
			Members:   func() []Member { return members },
			State:     func() State { return states[i] },
			Status:    func() store.PeerStatus { return store.PeerStatus{Number: uint64(i)} },
			OnMessage: func(Peer) {},
			OnFailure: func(string, error) {},
		})
		caller.targets[name] = e
		all = append(all, e)
	}
	return all, caller, states
}

// round runs one period of all entries: each encodes its state again and calls its
// successors.
func round(all []*Exchange) {
	for _, e := range all {
		e.encodedAt = time.Time{}
	}
	for _, e := range all {
		for _, member := range successors(e.o.Instance, e.o.Members(), Fanout) {
			e.call(context.Background(), member)
		}
	}
}

// Nine entries, the most that the fan-out covers, receive each other's state in one
// round. After that, a round without a change sends less than one with a change.
func TestNineEntriesReachAllPeersAndSendOnlyChanges(t *testing.T) {
	all, caller, states := group(9)
	round(all)
	for _, e := range all {
		assert.Equal(t, len(e.Peers(time.Minute)), 8)
	}
	assert.Equal(t, caller.calls, 9*Fanout)
	round(all)
	caller.bytes = 0
	round(all)
	unchanged := caller.bytes
	states[3].Usage[0].Amount.Running = 77
	caller.bytes = 0
	round(all)
	changed := caller.bytes
	assert.Assert(t, unchanged < changed)
	for _, e := range all {
		if e.o.Instance != "entry-3" {
			assert.Equal(t, e.Peers(time.Minute)[indexOf(e, "entry-3")].State.Usage[0].Amount.Running, int64(77))
		}
	}
	t.Logf("bytes per round of 9 entries: %d unchanged, %d with one change", unchanged, changed)
}

// The age of an answer is known from its call, and the age of a call from the echoed
// token. The first call of a peer has no token, so that its age is unknown.
func TestCreatedAfter(t *testing.T) {
	all, _, _ := group(2)
	var createdAfter []time.Time
	all[0].o.OnMessage = func(p Peer) { createdAfter = append(createdAfter, p.CreatedAfter) }
	began := time.Now()
	all[1].call(context.Background(), Member{Instance: "entry-0", Address: "entry-0"})
	all[1].call(context.Background(), Member{Instance: "entry-0", Address: "entry-0"})
	all[0].call(context.Background(), Member{Instance: "entry-1", Address: "entry-1"})
	assert.Equal(t, len(createdAfter), 3)
	assert.Assert(t, createdAfter[0].IsZero())
	assert.Assert(t, !createdAfter[1].Before(began) && createdAfter[1].Before(time.Now()))
	assert.Assert(t, !createdAfter[2].Before(began) && createdAfter[2].Before(time.Now()))
}

// lossyCaller fails every third call of each pair of entries and delays all calls.
type lossyCaller struct {
	*directCaller
	mu    sync.Mutex
	calls map[string]int
}

func (c *lossyCaller) Call(ctx context.Context, address, method string, params, result any) error {
	time.Sleep(10 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	pair := params.(message).From + address
	c.calls[pair]++
	if c.calls[pair]%3 == 0 {
		return errors.New("lost")
	}
	return c.directCaller.Call(ctx, address, method, params, result)
}

// While no entry can read the store, admission depends on the age of the peers'
// messages. Even if every third call is lost, the oldest message has to stay below the
// bound of admission. With a reachable store, rounds are half as frequent and the bound
// is exceeded.
func TestMessagesStayRecentWhileStoreIsUnreachable(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, reachable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			all, direct, _ := group(9)
			caller := &lossyCaller{directCaller: direct, calls: make(map[string]int)}
			var mu sync.Mutex
			var running sync.WaitGroup
			createdAfter := make(map[string]time.Time)
			for _, e := range all {
				e.o.Caller = caller
				e.o.Status = func() store.PeerStatus { return store.PeerStatus{TableReachable: reachable} }
				e.o.OnMessage = func(p Peer) {
					mu.Lock()
					defer mu.Unlock()
					createdAfter[e.o.Instance+p.Instance] = p.CreatedAfter
				}
				running.Go(func() { e.Run(ctx) })
			}
			time.Sleep(10 * time.Second)
			var oldest time.Duration
			for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				mu.Lock()
				assert.Check(t, len(createdAfter) == 9*8)
				for _, at := range createdAfter {
					oldest = max(oldest, time.Since(at))
				}
				mu.Unlock()
			}
			cancel()
			running.Wait()
			t.Logf("store reachable %t: oldest message %v", reachable, oldest)
			assert.Equal(t, oldest < bound, !reachable, "a period is too long, half a period is short enough")
		})
	}
}

func indexOf(e *Exchange, instance string) int {
	for i, p := range e.Peers(time.Minute) {
		if p.Instance == instance {
			return i
		}
	}
	return -1
}

// The number of calls per entry must not grow with the number of entries.
func TestFanoutIsBounded(t *testing.T) {
	all, caller, _ := group(100)
	round(all)
	assert.Equal(t, caller.calls, 100*Fanout)
	for _, e := range all {
		assert.Equal(t, len(e.Peers(time.Minute)), 2*Fanout)
	}
}

// A restarted peer has lost the states that it had received. The other entry has to
// send its whole state again instead of omitting it as already known.
func TestRestartedPeerGetsWholeState(t *testing.T) {
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
