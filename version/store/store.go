// Package store keeps the version of the configuration that is in force.
//
// Where it lives. The table's row config/head holds the number of the newest
// version and the name of its body, an immutable object named by the hash of its
// bytes. The row config/change/ID is written by the transaction that moves the
// head, so that whoever lost the answer can read the outcome back.
//
// What holds. The version in force of a Store never goes back. A change that
// Apply called accepted is in the history exactly once, and most entries know of
// it; one that it called refused never is. Within Options.Bound of an accepted change, a Store either
// has it in force or doesn't admit; see Admitting.
//
// Who moves it. Run polls the head. Accepted changes are announced to peers
// before Apply returns, and peers that exchange their PeerStatus learn of a
// higher number even when the platform is out of reach for them; they then fetch
// the body from one another.
package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// Defaults of Options.
const (
	DefaultPollEvery = 500 * time.Millisecond
	DefaultBound     = 2 * time.Second
)

// announceTimeout bounds how long a change waits for one call of Announce,
// spreadTimeout how long until most entries know of it.
const (
	announceTimeout = 500 * time.Millisecond
	spreadTimeout   = 3 * time.Second
)

// readShare is the part of Options.Bound after which one read or fetch has
// failed. Two in a row, the second of which fails, must fit into the bound.
const readShare = 0.4

// ErrNoPeer says that no peer could give the version asked for.
var ErrNoPeer = errors.New("no peer has the version")

// Version is one version as entries hand it to one another.
type Version struct {
	Number uint64 `json:"number"`
	// Object is the hex SHA-256 of Body.
	Object string `json:"object"`
	// Body is what records.Encode returned, compressed by gzip.
	Body []byte `json:"body"`
}

// Options configure a Store. Table and Objects are required.
type Options struct {
	Table   platform.Table
	Objects platform.Objects
	// Self is the name of this instance, for errors.
	Self string
	// PollEvery is the time between the starts of two reads of the head.
	PollEvery time.Duration
	// Bound is how long the entry admits work without proof that its version is
	// the newest. A read of the head that takes longer than readShare of it has
	// failed.
	Bound time.Duration
	// Peers returns the names of all other entries that may be alive, the same
	// on all entries. One may be left out only when it is known to have ended.
	Peers func() []string
	// Announce tells all peers of a change and returns when they have been told
	// or ctx ends; they call Learn. It returns those who surely did.
	Announce func(ctx context.Context, number uint64) []string
	// FetchFromPeer asks the peer for its version in force, which is at least
	// number.
	FetchFromPeer func(ctx context.Context, instance string, number uint64) (Version, error)
	// OnVersion is called after each change of the version in force.
	OnVersion func(*version.Snapshot)
	// OnError is called with each failed poll or fetch of Run.
	OnError func(error)
}

// Store is the version in force of one entry. Its methods may be called by many
// goroutines.
type Store struct {
	options Options
	current atomic.Pointer[inForce]
	// admitUntil is the last moment at which Admitting holds.
	admitUntil atomic.Pointer[time.Time]
	// wake asks Run to fetch a version that a peer has.
	wake chan struct{}

	mu      sync.Mutex
	contact contact

	// Tests set these to show what each mechanism is for.
	acceptLower  bool
	skipReadBack bool
	ignoreBound  bool
	tellNobody   bool
}

// inForce is a version with all its forms. It is immutable.
type inForce struct {
	snapshot *version.Snapshot
	records  *records.Records
	version  Version
}

// New returns a Store with the empty version 0, which admits nothing until it
// has been in contact with the table or a peer.
func New(options Options) *Store {
	if options.PollEvery <= 0 {
		options.PollEvery = DefaultPollEvery
	}
	if options.Bound <= 0 {
		options.Bound = DefaultBound
	}
	s := &Store{options: options, wake: make(chan struct{}, 1)}
	s.current.Store(&inForce{snapshot: emptySnapshot(), records: &records.Records{}})
	s.admitUntil.Store(&time.Time{})
	return s
}

func emptySnapshot() *version.Snapshot {
	return &version.Snapshot{
		Teams:     map[string]*version.Team{},
		Kinds:     map[string]*version.Kind{},
		Upstreams: map[string]*version.Upstream{},
		Keys:      map[string]*version.Key{},
	}
}

// Current returns the version in force. It is never nil, and its number never
// falls.
func (s *Store) Current() *version.Snapshot { return s.current.Load().snapshot }

// Records returns a copy of the records of the version in force.
func (s *Store) Records() *records.Records { return s.current.Load().records.Clone() }

// Latest returns the version in force for a peer that asked for it. ok is false
// before there is one.
func (s *Store) Latest() (v Version, ok bool) {
	v = s.current.Load().version
	return v, v.Number > 0
}

// Admitting reports whether work may be admitted under the current version at
// `now`: no newer version can have been accepted longer than Bound ago. It
// holds if, within Bound, the head was read and is in force, or a peer read it
// and its version is in force here; or if the head can't be read here and most
// entries said within Bound that they can't read it either and know no newer
// version. It does not hold for an entry without contact to table and peers.
func (s *Store) Admitting(now time.Time) bool {
	until := *s.admitUntil.Load()
	return !now.After(until) || (s.ignoreBound && !until.IsZero())
}

// Status is what a Store knows about its own version.
type Status struct {
	// Number is the version in force, Known the highest known to exist.
	Number, Known uint64
	// StoreReadAt is when the last successful read of the head was sent; zero
	// if there was none. The head was at most Known then.
	StoreReadAt time.Time
	// StoreReachable tells whether the last read of the head succeeded in time.
	StoreReachable bool
}

// Status returns the state of this Store.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Number:         s.Current().Number,
		Known:          s.contact.known,
		StoreReadAt:    s.contact.readAt,
		StoreReachable: s.contact.reachable,
	}
}

// PeerStatus is a Status as it is sent to peers, whose clocks differ.
type PeerStatus struct {
	Number uint64 `json:"number"`
	Known  uint64 `json:"known"`
	// StoreAge is the time since StoreReadAt; negative if there was no read.
	StoreAge       time.Duration `json:"store_age_ns"`
	StoreReachable bool          `json:"store_reachable"`
}

// ForPeers returns the status as of now.
func (s Status) ForPeers(now time.Time) PeerStatus {
	age := time.Duration(-1)
	if !s.StoreReadAt.IsZero() {
		age = max(now.Sub(s.StoreReadAt), 0)
	}
	return PeerStatus{Number: s.Number, Known: s.Known, StoreAge: age, StoreReachable: s.StoreReachable}
}

// ObservePeer takes in what a peer answered to a call that was sent at `sent`.
// It doesn't block; a version that only the peer has is fetched by Run.
func (s *Store) ObservePeer(instance string, status PeerStatus, sent time.Time) {
	peers := s.peers()
	s.mu.Lock()
	s.contact.observe(instance, status, sent)
	behind := s.contact.known > s.Current().Number
	s.updateLocked(peers)
	s.mu.Unlock()
	if behind {
		s.wakeUp()
	}
}

// readTimeout bounds one read of the head or one fetch of a body.
func (s *Store) readTimeout() time.Duration {
	return time.Duration(readShare * float64(s.options.Bound))
}

// learnNumber notes that a number exists and has Run fetch it if it is new.
func (s *Store) learnNumber(number uint64) {
	s.mu.Lock()
	s.contact.learn(number)
	s.mu.Unlock()
	if number > s.Current().Number {
		s.wakeUp()
	}
}

func (s *Store) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Store) peers() []string {
	if s.options.Peers == nil {
		return nil
	}
	return slices.Clone(s.options.Peers())
}

// adopt puts a version in force unless it isn't newer than the current one.
func (s *Store) adopt(next *inForce) {
	peers := s.peers()
	s.mu.Lock()
	newer := next.snapshot.Number > s.Current().Number || s.acceptLower
	if newer {
		s.current.Store(next)
	}
	s.contact.learn(next.snapshot.Number)
	s.contact.loaded = true
	s.updateLocked(peers)
	s.mu.Unlock()
	if newer && s.options.OnVersion != nil {
		s.options.OnVersion(next.snapshot)
	}
}

// updateLocked computes anew until when the entry may admit. The caller holds
// s.mu.
func (s *Store) updateLocked(peers []string) {
	s.contact.verify(s.Current().Number)
	until := s.contact.admitUntil(s.Current().Number, peers, s.options.Bound)
	s.admitUntil.Store(&until)
}
