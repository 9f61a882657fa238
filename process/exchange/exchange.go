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
package exchange

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Method is the peer method of the exchange.
const Method = "exchange.state"

// Fanout is how many entries an entry calls each period.
const Fanout = 4

// TeamUsage is what a team has running at one entry's workers.
type TeamUsage struct {
	Team   string          `json:"team"`
	Amount resource.Amount `json:"amount"`
}

// Free is what an entry's workers have free, for one upstream or, with an empty
// name, for tasks on all its workers.
type Free struct {
	Upstream string          `json:"upstream,omitempty"`
	Total    resource.Amount `json:"total"`
	// Largest is the most that is free on one worker, in each dimension.
	Largest resource.Amount `json:"largest"`
}

// State is what one entry tells of itself.
type State struct {
	Usage []TeamUsage `json:"usage,omitempty"`
	Free  []Free      `json:"free,omitempty"`
}

// Status is the part of a message that is sent each time.
type Status struct {
	// Version is the number of the configuration in force.
	Version uint64 `json:"version"`
	// StoreAge is the time since the platform's head row was read.
	StoreAge time.Duration `json:"store_age_ns"`
	// StoreReachable reports whether the last reading succeeded.
	StoreReachable bool `json:"store_ok"`
}

// message is sent and answered.
type message struct {
	From        string `json:"from"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Status      Status `json:"status"`
	// Number numbers the sender's State; State is nil if the receiver has it.
	Number uint64 `json:"number"`
	State  *State `json:"state,omitempty"`
	// Have is the number of the receiver's State that the sender holds.
	Have uint64 `json:"have"`
	// HaveOf is the incarnation that Have belongs to.
	HaveOf string `json:"have_of,omitempty"`
}

// Peer is what is known of another entry.
type Peer struct {
	Instance    string
	Incarnation string
	Address     string
	Status      Status
	State       State
	// HeardAt is when it was last heard.
	HeardAt time.Time

	number uint64
	// has is the number of this entry's State that the peer holds.
	has uint64
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
	Status func() Status
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

	mu     sync.Mutex
	peers  map[string]*Peer
	state  State
	digest []byte
	number uint64
}

// New returns an exchange that knows nobody.
func New(o Options) *Exchange {
	return &Exchange{o: o, peers: make(map[string]*Peer)}
}

// Handlers returns the peer methods.
func (e *Exchange) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{Method: e.receive}
}

// Run exchanges every period until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(e.o.Period)
	defer ticker.Stop()
	for {
		e.Round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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
	err := e.o.Caller.Call(ctx, member.Address, Method, e.messageFor(member.Instance), &answer)
	if err != nil {
		if ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded {
			e.o.Failed(member.Instance, err)
		}
		return
	}
	e.take(answer)
}

func (e *Exchange) receive(_ context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	e.take(m)
	return e.messageFor(m.From), nil
}

// messageFor describes this entry to a peer, without what the peer has.
func (e *Exchange) messageFor(instance string) message {
	state := e.o.State()
	status := e.o.Status()
	digest, _ := json.Marshal(state)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.number == 0 || !slices.Equal(digest, e.digest) {
		e.number++
		e.digest = digest
		e.state = state
	}
	m := message{
		From: e.o.Instance, Incarnation: e.o.Incarnation, Address: e.o.Address,
		Status: status, Number: e.number,
	}
	p, known := e.peers[instance]
	if known {
		m.Have = p.number
		m.HaveOf = p.Incarnation
	}
	if !known || p.has != e.number {
		m.State = &e.state
	}
	return m
}

// take replaces what is known of the sender.
func (e *Exchange) take(m message) {
	e.mu.Lock()
	p, known := e.peers[m.From]
	if !known || p.Incarnation != m.Incarnation {
		p = &Peer{Instance: m.From, Incarnation: m.Incarnation}
		e.peers[m.From] = p
	}
	p.Address = m.Address
	p.Status = m.Status
	p.HeardAt = time.Now()
	if m.State != nil && m.Number >= p.number {
		p.State = *m.State
		p.number = m.Number
	}
	p.has = 0
	if m.HaveOf == e.o.Incarnation {
		p.has = m.Have
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
