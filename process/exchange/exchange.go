// Package exchange shares between entries the state that their decisions need: the
// teams' usage, the free capacity and the configuration version of other entries.
//
// # Bounded fan-out
//
// The entries form a ring, ordered by the hashes of their names. Each entry calls its
// next Fanout entries once a period and gets their state in the answers, so that it
// receives the state of 2*Fanout entries whatever the size of the cluster. Up to
// 2*Fanout+1 entries, every entry receives the state of all others.
//
// # Messages
//
// A State is complete, owned by its sender and numbered; a receiver replaces the
// previous one. It is omitted while the receiver already has it, so that an idle fleet
// exchanges headers only.
//
// # Age of a message
//
// A message may have been delayed. An answer was created after its call was sent. A
// call echoes the time that the receiver put into its last answer, so it was created
// after that time; see Peer.CreatedAfter.
package exchange

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/version/store"
	"github.com/rotisserie/eris"
)

// Method is the peer method of the exchange.
const Method = "exchange.state"

// Options configures an Exchange.
type Options struct {
	Instance    string
	Incarnation string
	Address     string
	Caller      peer.Caller
	// Members returns the entries that may be called; this entry itself is skipped.
	Members func() []Member
	// State and Status return the current state of this entry.
	State  func() State
	Status func() store.PeerStatus
	// OnMessage is called after each message from a peer.
	OnMessage func(Peer)
	// OnFailure is called when a call to a peer fails.
	OnFailure func(instance string, err error)
	// Period is the time between the starts of two rounds.
	Period time.Duration
}

// Exchange holds the last state of the other entries. It is safe for concurrent use.
type Exchange struct {
	o Options

	// startedAt is the zero of the tokens in answers.
	startedAt time.Time

	mu    sync.Mutex
	peers map[string]*Peer
	// state is the encoded State with the given number, as of encodedAt.
	state     json.RawMessage
	encodedAt time.Time
	// number is the number of state. It starts at a random value, so that two
	// incarnations of this entry use different numbers.
	number uint64
}

// New returns an exchange without peers.
func New(o Options) *Exchange {
	return &Exchange{
		o:         o,
		startedAt: time.Now(),
		peers:     make(map[string]*Peer),
		number:    uint64(rand.Uint32()),
	}
}

// Handlers returns the peer methods.
func (e *Exchange) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{Method: e.receive}
}

// Run runs a round every period until ctx ends, and two rounds a period while this
// entry can't read the configuration's head: admission then depends on the peers'
// messages only, and a single lost message must not make them too old.
func (e *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		e.Round(ctx)
		period := e.o.Period
		if !e.o.Status().TableReachable {
			period /= 2
		}
		select {
		case <-ctx.Done():
		case <-time.After(period - time.Since(started)):
		}
	}
}

// Round calls the next Fanout entries on the ring once, concurrently.
func (e *Exchange) Round(ctx context.Context) {
	roundCtx, cancel := context.WithTimeout(ctx, max(e.o.Period, time.Second))
	defer cancel()
	var calls sync.WaitGroup
	for _, member := range successors(e.o.Instance, e.o.Members(), Fanout) {
		calls.Go(func() { e.call(roundCtx, member) })
	}
	calls.Wait()
}

// call sends this entry's message to a peer and applies the answer.
func (e *Exchange) call(ctx context.Context, member Member) {
	var answer message
	sent := time.Now()
	m := e.messageFor(member.Instance)
	err := e.o.Caller.Call(ctx, member.Address, Method, m, &answer)
	if err != nil {
		e.o.OnFailure(member.Instance, err)
		return
	}
	e.apply(answer, sent)
}

// receive applies a peer's message and returns this entry's.
func (e *Exchange) receive(_ context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, eris.Wrap(err, "decode exchange message")
	}
	var createdAfter time.Time
	if m.Echo > 0 {
		createdAfter = e.startedAt.Add(time.Duration(m.Echo))
	}
	e.apply(m, createdAfter)
	answer := e.messageFor(m.From)
	answer.Echo = 0
	answer.Token = int64(time.Since(e.startedAt))
	return answer, nil
}

// messageFor returns the message for a peer. It omits the state that the peer has.
func (e *Exchange) messageFor(instance string) message {
	status := e.o.Status()
	e.refreshState(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	m := message{From: e.o.Instance, Incarnation: e.o.Incarnation, Number: e.number}
	m.setStatus(status)
	p, known := e.peers[instance]
	if known {
		m.Have = p.Number
		m.Echo = p.token
	}
	if !known || p.acked != e.number {
		m.Address = e.o.Address
		m.State = e.state
	}
	return m
}

// refreshState encodes this entry's current state unless that was done less than half
// a period ago. The number of the state increases only if the state has changed.
func (e *Exchange) refreshState(now time.Time) {
	e.mu.Lock()
	recent := e.state != nil && now.Sub(e.encodedAt) < e.o.Period/2
	if !recent {
		e.encodedAt = now
	}
	e.mu.Unlock()
	if recent {
		return
	}
	state, err := encodeState(e.o.State())
	if err != nil {
		// Peers keep the last state until one can be encoded.
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !bytes.Equal(state, e.state) {
		e.number++
		e.state = state
	}
}

// apply replaces the stored state of the sender and calls OnMessage. A state that can't be
// decoded is ignored; the sender sends it again, since its number isn't confirmed.
func (e *Exchange) apply(m message, createdAfter time.Time) {
	e.mu.Lock()
	p, known := e.peers[m.From]
	if !known || p.Incarnation != m.Incarnation {
		p = &Peer{Instance: m.From, Incarnation: m.Incarnation}
		e.peers[m.From] = p
	}
	p.Status = m.status()
	p.LastContact = time.Now()
	p.CreatedAfter = createdAfter
	p.acked = m.Have
	if m.Token > 0 {
		p.token = m.Token
	}
	if state, err := decodeState(m.State); m.State != nil && err == nil && m.Number >= p.Number {
		p.Address = m.Address
		p.State = state
		p.Number = m.Number
	}
	updated := *p
	e.mu.Unlock()
	e.o.OnMessage(updated)
}

// Peers returns the entries with a message within the given time, sorted by instance.
func (e *Exchange) Peers(within time.Duration) []Peer {
	oldest := time.Now().Add(-within)
	e.mu.Lock()
	defer e.mu.Unlock()
	var peers []Peer
	for _, p := range e.peers {
		if p.LastContact.After(oldest) {
			peers = append(peers, *p)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	return peers
}
