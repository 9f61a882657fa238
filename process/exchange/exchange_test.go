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

// round is one period of all: everybody looks at its state anew and calls its
// successors.
func round(all []*Exchange) {
	for _, e := range all {
		e.describedAt = time.Time{}
	}
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

// lossyCaller loses every third call of each pair, and takes time for the others.
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

// While no entry can read the store, what each has heard of each other one stays
// below the bound of admission, though every third call is lost.
func TestWordsStayFreshWhileTheStoreIsDown(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, reachable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			all, direct, _ := group(9)
			caller := &lossyCaller{directCaller: direct, calls: make(map[string]int)}
			var mu sync.Mutex
			var running sync.WaitGroup
			said := make(map[string]time.Time)
			for _, e := range all {
				e.o.Caller = caller
				e.o.Status = func() store.PeerStatus { return store.PeerStatus{StoreReachable: reachable} }
				e.o.Heard = func(p Peer) {
					mu.Lock()
					defer mu.Unlock()
					said[e.o.Instance+p.Instance] = p.SaidAfter
				}
				running.Go(func() { e.Run(ctx) })
			}
			time.Sleep(10 * time.Second)
			var oldest time.Duration
			for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				mu.Lock()
				assert.Check(t, len(said) == 9*8)
				for _, at := range said {
					oldest = max(oldest, time.Since(at))
				}
				mu.Unlock()
			}
			cancel()
			running.Wait()
			t.Logf("store reachable %t: oldest word %v", reachable, oldest)
			assert.Equal(t, oldest < bound, !reachable, "one period is not enough, half of it is")
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
