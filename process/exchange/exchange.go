// Package exchange spreads between entries what decisions need of the others:
// what teams have running there, what is free there, and which configuration is
// in force.
//
// # Bounded fan-out
//
// The entries stand on a ring in the order of the hashes of their names. Each
// calls its next Fanout entries once a period and learns theirs from the answer,
// so that it hears from twice Fanout entries whatever their number. Up to
// 2*Fanout+1 entries everybody hears everybody.
//
// # What is sent
//
// A State is whole, owned by its sender, and numbered; a receiver replaces what it
// had. It is left out while the receiver already has it, so that a quiet fleet
// exchanges headers only.
//
// # How old it is
//
// A message may have been long on its way. An answer was given after the call was
// sent. A call echoes the time that the receiver put into its last answer, and so
// was made after that; see Peer.SaidAfter.
package exchange

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// Method is the peer method of the exchange.
const Method = "exchange.state"

// Fanout is how many entries an entry calls each period.
const Fanout = 4

// Free is what the workers of an upstream at one entry have free.
type Free struct {
	Upstream string
	Total    resource.Amount
}

// QueueTotals is the teams' usage that the queue of an upstream has counted.
type QueueTotals struct {
	Upstream string
	Totals   []queue.TeamTotal
}

// State is what one entry tells of itself.
type State struct {
	// Usage is what teams have on the entry's workers.
	Usage []capacity.TeamUsage
	// Free is the room for requests, Tasks that for tasks on all workers.
	Free []Free
	// Queues is what the entry's queues have let teams use over their lives.
	Queues []QueueTotals
	Tasks  capacity.Summary
	// Leaving names the workers that the entry's fresh instance list shows as
	// leaving, for entries that can't read the list.
	Leaving []string
}

// Peer is what is known of another entry.
type Peer struct {
	Instance    string
	Incarnation string
	Address     string
	Status      store.PeerStatus
	State       State
	// HeardAt is when it was last heard.
	HeardAt time.Time
	// SaidAfter is a time of this entry's clock after which the peer said what it
	// said last; zero if nothing proves one.
	SaidAfter time.Time

	// Number is the number of State; a higher one of the same incarnation is newer.
	Number uint64
	// has is the number of this entry's State that the peer holds.
	has uint64
	// token is the peer's own time of its last answer; the next call echoes it.
	token int64
}

// Member is an entry that may be called.
type Member struct {
	Instance string
	Address  string
}

// Options are what an Exchange is made of.
type Options struct {
	Instance    string
	Incarnation string
	Address     string
	Caller      peer.Caller
	// Members returns the other entries.
	Members func() []Member
	// State and Status describe this entry now.
	State  func() State
	Status func() store.PeerStatus
	// Heard is called after each message from a peer.
	Heard func(Peer)
	// Failed is called when a peer can't be reached.
	Failed func(instance string, err error)
	// Period is the time between two rounds.
	Period time.Duration
}

// Exchange holds what is known of the other entries. It is safe for concurrent
// use.
type Exchange struct {
	o Options

	// began is the zero of the tokens in answers.
	began time.Time

	mu    sync.Mutex
	peers map[string]*Peer
	// state is the encoded State that number numbers, as of describedAt.
	state       json.RawMessage
	describedAt time.Time
	// number numbers state; it starts at a random one, so that numbers of two
	// incarnations differ.
	number uint64
}

// New returns an exchange that knows nobody.
func New(o Options) *Exchange {
	return &Exchange{
		o:      o,
		began:  time.Now(),
		peers:  make(map[string]*Peer),
		number: uint64(rand.Uint32()),
	}
}

// Handlers returns the peer methods.
func (e *Exchange) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{Method: e.receive}
}

// Run exchanges every period until ctx ends, and twice a period while this entry
// can't read the configuration's head: then peers' words are all it admits by, and
// one that is lost must not make them too old.
func (e *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		e.Round(ctx)
		period := e.o.Period
		if !e.o.Status().StoreReachable {
			period /= 2
		}
		select {
		case <-ctx.Done():
		case <-time.After(period - time.Since(began)):
		}
	}
}

// Round calls the next entries on the ring once, all at the same time.
func (e *Exchange) Round(ctx context.Context) {
	roundCtx, cancel := context.WithTimeout(ctx, max(e.o.Period, time.Second))
	defer cancel()
	var calls sync.WaitGroup
	for _, member := range successors(e.o.Instance, e.o.Members(), Fanout) {
		calls.Go(func() { e.call(roundCtx, member) })
	}
	calls.Wait()
}

func (e *Exchange) call(ctx context.Context, member Member) {
	var answer message
	sent := time.Now()
	m := e.messageFor(member.Instance)
	err := e.o.Caller.Call(ctx, member.Address, Method, m, &answer)
	if err != nil {
		e.o.Failed(member.Instance, err)
		return
	}
	e.take(answer, sent)
}

func (e *Exchange) receive(_ context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	var saidAfter time.Time
	if m.Echo > 0 {
		saidAfter = e.began.Add(time.Duration(m.Echo))
	}
	e.take(m, saidAfter)
	answer := e.messageFor(m.From)
	answer.Echo = 0
	answer.Token = int64(time.Since(e.began))
	return answer, nil
}

// messageFor describes this entry to a peer, without what the peer has.
func (e *Exchange) messageFor(instance string) message {
	status := e.o.Status()
	e.describe(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	m := message{From: e.o.Instance, Incarnation: e.o.Incarnation, Number: e.number}
	m.setStatus(status)
	p, known := e.peers[instance]
	if known {
		m.Have = p.Number
		m.Echo = p.token
	}
	if !known || p.has != e.number {
		m.Address = e.o.Address
		m.State = e.state
	}
	return m
}

// describe takes in this entry's present state, once for the messages of half a
// period.
func (e *Exchange) describe(now time.Time) {
	e.mu.Lock()
	recent := e.state != nil && now.Sub(e.describedAt) < e.o.Period/2
	if !recent {
		e.describedAt = now
	}
	e.mu.Unlock()
	if recent {
		return
	}
	state, err := encodeState(e.o.State())
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !bytes.Equal(state, e.state) {
		e.number++
		e.state = state
	}
}

// take replaces what is known of the sender.
func (e *Exchange) take(m message, saidAfter time.Time) {
	e.mu.Lock()
	p, known := e.peers[m.From]
	if !known || p.Incarnation != m.Incarnation {
		p = &Peer{Instance: m.From, Incarnation: m.Incarnation}
		e.peers[m.From] = p
	}
	p.Status = m.status()
	p.HeardAt = time.Now()
	p.SaidAfter = saidAfter
	p.has = m.Have
	if m.Token > 0 {
		p.token = m.Token
	}
	if state, err := decodeState(m.State); m.State != nil && err == nil && m.Number >= p.Number {
		p.Address = m.Address
		p.State = state
		p.Number = m.Number
	}
	heard := *p
	e.mu.Unlock()
	e.o.Heard(heard)
}

// Peers returns the entries heard within the given time, sorted by instance.
func (e *Exchange) Peers(within time.Duration) []Peer {
	oldest := time.Now().Add(-within)
	e.mu.Lock()
	defer e.mu.Unlock()
	var peers []Peer
	for _, p := range e.peers {
		if p.HeardAt.After(oldest) {
			peers = append(peers, *p)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	return peers
}

// successors returns the n members after self on the ring of hashes.
func successors(self string, members []Member, n int) []Member {
	own := ringPosition(self)
	others := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Instance == self })
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(ringPosition(a.Instance)-own, ringPosition(b.Instance)-own),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	return others[:min(n, len(others))]
}

// ringPosition places a name on the ring; differences wrap around.
func ringPosition(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads similar names over the ring.
//
// Source: the finalizer of MurmurHash3, Austin Appleby.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
