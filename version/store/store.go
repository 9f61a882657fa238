// Package store holds the version of the configuration that is in force, and distributes
// new versions to all entries.
//
// # Storage
//
// The table's row config/head contains the number of the newest version and the name of its
// body, an immutable object named by the hash of its bytes. The transaction that updates
// the head also writes the row config/change/ID. A caller that got no reply reads this row
// to find the outcome.
//
// # Guarantees
//
// The number of the version in force of a Store never decreases. A change that Apply
// accepted is in the history exactly once, and known to a majority of the entries. A change
// that Apply refused is never in the history. Within Options.MaxStaleness after a change was
// accepted, each Store has it in force or does not admit work; see Admitting.
//
// # Distribution
//
// Run polls the head. Apply announces a change to the peers before it returns. Entries also
// exchange their PeerStatus, from which an entry that cannot reach the platform gets the
// number of a newer version. It then fetches the body from a peer.
package store

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// Defaults of Options.
const (
	DefaultPollEvery    = 500 * time.Millisecond
	DefaultMaxStaleness = 2 * time.Second
)

const (
	// announceTimeout is the timeout of one call of Options.Announce.
	announceTimeout = 500 * time.Millisecond
	// majorityTimeout is how long Apply waits until a change is known to a majority of the
	// entries.
	majorityTimeout = 3 * time.Second
)

// readTimeoutFraction is the timeout of a read or fetch as a fraction of
// Options.MaxStaleness. Two consecutive reads, of which the second one fails, must fit into
// that time.
const readTimeoutFraction = 0.4

// ErrNoPeer means that no peer returned the requested version.
var ErrNoPeer = errors.New("no peer has the version")

// Version is a version as entries send it to one another.
type Version struct {
	Number uint64 `json:"number"`
	// Object is the hexadecimal SHA-256 of Body.
	Object string `json:"object"`
	// Body is the result of records.Encode, compressed with gzip.
	Body []byte `json:"body"`
}

// Options configure a Store. Table and Objects are required.
type Options struct {
	Table   platform.Table
	Objects platform.Objects
	// Self is the name of this instance, for errors.
	Self string
	// PollEvery is the interval between the starts of two reads of the head.
	PollEvery time.Duration
	// MaxStaleness is how long the entry admits work without proof that its version is the
	// newest. The timeout of a read of the head is a fraction of it.
	MaxStaleness time.Duration
	// Peers returns the names of all other entries that may be running. It must return the
	// same set on all entries, and may omit an entry only if it is known to have ended.
	Peers func() []string
	// Announce notifies all peers of a change, on which they call Learn, until all have
	// confirmed or ctx is done. It returns the peers that confirmed.
	Announce func(ctx context.Context, number uint64) []string
	// FetchFromPeer returns the version in force of a peer. It should not be older than
	// number.
	FetchFromPeer func(ctx context.Context, instance string, number uint64) (Version, error)
	// OnVersion is called after each change of the version in force.
	OnVersion func(*version.Snapshot)
	// OnError is called with the error of each failed poll or fetch of Run.
	OnError func(error)
}

// Store holds the version in force of an entry. It is safe for concurrent use.
type Store struct {
	options Options
	current atomic.Pointer[loadedVersion]
	// admitUntil is the last moment at which Admitting returns true.
	admitUntil atomic.Pointer[time.Time]
	// wake signals Run to fetch a version from a peer.
	wake chan struct{}
	// fetches are the fetches in progress, by peer.
	fetches singleflight.Group

	mu        sync.Mutex
	freshness freshness

	// Tests set these to disable a safety mechanism and show what it prevents.
	acceptLower     bool
	skipReadBack    bool
	ignoreStaleness bool
	skipMajority    bool
}

// loadedVersion is a version in encoded and decoded form. It is immutable.
type loadedVersion struct {
	snapshot *version.Snapshot
	records  *records.Records
	version  Version
}

// New returns a Store with the empty version 0. It does not admit work until it has read a
// version from the table or a peer.
func New(options Options) *Store {
	if options.PollEvery <= 0 {
		options.PollEvery = DefaultPollEvery
	}
	if options.MaxStaleness <= 0 {
		options.MaxStaleness = DefaultMaxStaleness
	}
	s := &Store{options: options, wake: make(chan struct{}, 1)}
	s.current.Store(&loadedVersion{snapshot: emptySnapshot(), records: &records.Records{}})
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

// Current returns the version in force. It is never nil, and its number never decreases.
func (s *Store) Current() *version.Snapshot { return s.current.Load().snapshot }

// Records returns a copy of the records of the version in force.
func (s *Store) Records() *records.Records { return s.current.Load().records.Clone() }

// Latest returns the version in force in the form that is sent to peers. ok is false if it
// is still the empty version.
func (s *Store) Latest() (v Version, ok bool) {
	v = s.current.Load().version
	return v, v.Number > 0
}

// Admitting reports whether work may be admitted under the current version at the time now:
// no newer version can have been accepted more than MaxStaleness ago.
//
// It is true if this entry or a peer read the head within MaxStaleness and the version found
// is in force here. It is also true if this entry cannot read the head and a majority of the
// entries reported within MaxStaleness that they cannot read it either and have seen no
// newer version. It is false for an entry that can reach neither the table nor its peers.
func (s *Store) Admitting(now time.Time) bool {
	until := *s.admitUntil.Load()
	return !now.After(until) || (s.ignoreStaleness && !until.IsZero())
}

// Status describes the version in force of a Store and how recent it is.
type Status struct {
	// Number is the version in force, Known the highest number known to exist.
	Number, Known uint64
	// TableReadAt is when the last successful read of the head was sent, zero if there was
	// none. The number of the head was at most Known at that time.
	TableReadAt time.Time
	// TableReachable is set if the last read of the head succeeded in time.
	TableReachable bool
}

// Status returns the state of this Store.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Number:         s.Current().Number,
		Known:          s.freshness.known,
		TableReadAt:    s.freshness.readAt,
		TableReachable: s.freshness.reachable,
	}
}

// PeerStatus is a Status in the form that is sent to peers. It has ages instead of times,
// since the peers' clocks differ.
type PeerStatus struct {
	Number uint64 `json:"number"`
	Known  uint64 `json:"known"`
	// TableReadAge is the time since TableReadAt, negative if there was no successful read.
	TableReadAge   time.Duration `json:"store_age_ns"`
	TableReachable bool          `json:"store_reachable"`
}

// ForPeers returns the status for peers at the time now.
func (s Status) ForPeers(now time.Time) PeerStatus {
	age := time.Duration(-1)
	if !s.TableReadAt.IsZero() {
		age = max(now.Sub(s.TableReadAt), 0)
	}
	return PeerStatus{Number: s.Number, Known: s.Known, TableReadAge: age, TableReachable: s.TableReachable}
}

// ObservePeer records the status that a peer returned to a call. sent is when the call was
// sent. ObservePeer does not block: if the status shows a newer version, Run fetches it.
func (s *Store) ObservePeer(instance string, status PeerStatus, sent time.Time) {
	peers := s.peers()
	s.mu.Lock()
	s.freshness.observe(instance, status, sent)
	behind := s.freshness.known > s.Current().Number
	s.updateLocked(peers)
	s.mu.Unlock()
	if behind {
		s.wakeUp()
	}
}

// readTimeout is the timeout of a read of the head or a fetch of a body.
func (s *Store) readTimeout() time.Duration {
	return time.Duration(readTimeoutFraction * float64(s.options.MaxStaleness))
}

// learnNumber records that a version exists and signals Run to fetch it if it is newer than
// the one in force.
func (s *Store) learnNumber(number uint64) {
	s.mu.Lock()
	s.freshness.learn(number)
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

// peers returns a copy of the names of the other entries.
func (s *Store) peers() []string {
	if s.options.Peers == nil {
		return nil
	}
	return slices.Clone(s.options.Peers())
}

// adopt puts a version in force if it is newer than the current one.
func (s *Store) adopt(next *loadedVersion) {
	peers := s.peers()
	s.mu.Lock()
	newer := next.snapshot.Number > s.Current().Number || s.acceptLower
	if newer {
		s.current.Store(next)
	}
	s.freshness.learn(next.snapshot.Number)
	s.freshness.loaded = true
	s.updateLocked(peers)
	s.mu.Unlock()
	if newer && s.options.OnVersion != nil {
		s.options.OnVersion(next.snapshot)
	}
}

// updateLocked recomputes until when the entry may admit work. The caller holds s.mu.
func (s *Store) updateLocked(peers []string) {
	s.freshness.verify(s.Current().Number)
	until := s.freshness.admitUntil(s.Current().Number, peers, s.options.MaxStaleness)
	s.admitUntil.Store(&until)
}
