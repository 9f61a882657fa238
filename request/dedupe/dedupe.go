// Package dedupe prevents a request ID from running twice.
//
// Every named request has one home entry, the owner of the shard that its key falls in.
// The home's Table holds a Flight per ID from admission until RetainFor after its end.
// A request that repeats an ID with the same content joins the flight or gets its
// outcome. With other content it is refused.
//
// Before a non-idempotent request is dispatched, its ID is replicated to the home's
// witnesses. An entry that takes over the shard imports these IDs and answers a
// repeated one with "outcome unknown" instead of running it.
package dedupe

import (
	"context"
	"crypto/sha256"
	"hash/maphash"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
)

// Limits of a Table.
const (
	// RetainFor is how long an ID is retained after its request ended.
	RetainFor = 2 * time.Minute
	// MaxIDs is the maximum number of IDs in a table.
	MaxIDs = 200_000
	// MaxRetainedBody is the size in bytes of the largest answer that is retained for a
	// repeated ID.
	MaxRetainedBody = 4 << 10

	// shardCount is the number of shards of a table.
	shardCount = 16
	// sweepEvery is the number of Begin calls on a shard between two sweeps.
	sweepEvery = 256
)

// Table holds the flights whose home is this entry. It is safe for concurrent use:
// flights are sharded by ID, and each shard has its own lock.
type Table struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu         sync.Mutex
	flights    map[string]*Flight
	beginCount int
}

// Flight is the state of one ID, in progress or ended.
type Flight struct {
	key     string
	content [sha256.Size]byte
	shard   *shard
	done    chan struct{}
	cancel  context.CancelFunc

	// The fields below are guarded by shard.mu.
	waiters    int
	dispatched bool
	ended      time.Time
	outcome    attempt.Outcome
	imported   bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].flights = make(map[string]*Flight)
	}
	return t
}

// Begin returns the flight of a request and creates it if there is none. If first is
// true, the caller must run the request under the returned context and call Finish. The
// context is cancelled when all waiters have left before the request is dispatched. If
// first is false, the caller waits for the outcome. If refusal is not nil, the caller
// does neither.
func (t *Table) Begin(r *attempt.Request, now time.Time) (f *Flight, ctx context.Context, first bool, refusal *api.Error) {
	content := fingerprint(r)
	s := &t.shards[maphash.String(t.seed, r.Key())%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maybeSweep(now)
	if existing, ok := s.flights[r.Key()]; ok && !existing.expired(now) {
		refusal = existing.refusal(content)
		if refusal == nil {
			existing.waiters++
		}
		return existing, nil, false, refusal
	}
	if len(s.flights) >= MaxIDs/shardCount {
		return nil, nil, false, &api.Error{
			Code: api.CodeOverloaded, Message: "too many request ids are remembered",
			Ran: api.NotRun, RetryAfter: RetainFor / 4,
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f = &Flight{
		key: r.Key(), content: content, shard: s,
		done: make(chan struct{}), cancel: cancel, waiters: 1,
	}
	s.flights[f.key] = f
	return f, ctx, true, nil
}

// Import records IDs that the previous owner of the shard dispatched. Their outcome is
// unknown.
func (t *Table) Import(keys []string, now time.Time) {
	for _, key := range keys {
		s := &t.shards[maphash.String(t.seed, key)%shardCount]
		s.mu.Lock()
		if _, ok := s.flights[key]; !ok {
			f := &Flight{key: key, shard: s, done: make(chan struct{}), ended: now, imported: true}
			f.outcome = attempt.Unknown("the id was handed over by an entry that has since failed")
			close(f.done)
			s.flights[key] = f
		}
		s.mu.Unlock()
	}
}

// Keys returns the IDs that were dispatched and have not expired, for the next owner of
// the shard.
func (t *Table) Keys(now time.Time) []string {
	var keys []string
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, f := range s.flights {
			if (f.dispatched || f.imported) && !f.expired(now) {
				keys = append(keys, key)
			}
		}
		s.mu.Unlock()
	}
	return keys
}

// InProgress reports whether any flight whose key matches has not ended.
func (t *Table) InProgress(matches func(key string) bool) bool {
	for i := range t.shards {
		if t.shards[i].inProgress(matches) {
			return true
		}
	}
	return false
}

func (s *shard) inProgress(matches func(key string) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, f := range s.flights {
		if f.ended.IsZero() && matches(key) {
			return true
		}
	}
	return false
}

// Wait waits for the outcome and returns it. It returns false if ctx ended first.
func (f *Flight) Wait(ctx context.Context) (attempt.Outcome, bool) {
	defer f.removeWaiter()
	select {
	case <-f.done:
		return f.outcome, true
	case <-ctx.Done():
		return attempt.Outcome{}, false
	}
}

// MarkDispatched records that the request is about to be dispatched. It returns false if
// all waiters have left, in which case the request must not be dispatched.
func (f *Flight) MarkDispatched() bool {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	if f.waiters == 0 {
		return false
	}
	f.dispatched = true
	return true
}

// Finish sets the outcome. The ID of a request that is known not to have run is
// removed, so that the caller may use it again.
func (f *Flight) Finish(outcome attempt.Outcome, now time.Time) {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	f.outcome = outcome
	f.ended = now
	if outcome.WasNotRun() {
		delete(f.shard.flights, f.key)
	}
	close(f.done)
	f.cancel()
}

// removeWaiter removes one waiter. If it was the last one and the request has not been
// dispatched, the run is cancelled.
func (f *Flight) removeWaiter() {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	f.waiters--
	if f.waiters == 0 && !f.dispatched && f.cancel != nil {
		f.cancel()
	}
}

// refusal returns why a repeated ID cannot join the flight, or nil if it can. The shard
// lock must be held.
func (f *Flight) refusal(content [sha256.Size]byte) *api.Error {
	if f.imported {
		return nil
	}
	if f.content != content {
		return &api.Error{
			Code: api.CodeConflict, Field: "request_id", Ran: api.NotRun,
			Message: "the id was used for other content",
		}
	}
	if f.ended.IsZero() && f.waiters == 0 && !f.dispatched {
		return &api.Error{
			Code: api.CodeConflict, Field: "request_id", Ran: api.NotRun,
			Message: "the id is being withdrawn", RetryAfter: time.Second,
		}
	}
	return nil
}

// expired reports whether the ID may run again. The shard lock must be held.
func (f *Flight) expired(now time.Time) bool {
	return !f.ended.IsZero() && now.Sub(f.ended) > RetainFor
}

// maybeSweep drops expired IDs and large bodies once every sweepEvery calls. The lock
// s.mu must be held.
func (s *shard) maybeSweep(now time.Time) {
	s.beginCount++
	if s.beginCount%sweepEvery != 0 {
		return
	}
	for key, f := range s.flights {
		if f.expired(now) {
			delete(s.flights, key)
			continue
		}
		f.dropLargeBody()
	}
}

// dropLargeBody replaces a retained answer larger than MaxRetainedBody by an error. The
// shard lock must be held.
func (f *Flight) dropLargeBody() {
	if f.ended.IsZero() || f.waiters > 0 || len(f.outcome.Body) <= MaxRetainedBody {
		return
	}
	f.outcome = attempt.Outcome{Err: &api.Error{
		Code: api.CodeUnknown, Ran: api.RanUnknown,
		Message: "the id was answered; the answer is too large to be kept",
	}}
}

// fingerprint returns a hash of the kind and body, by which repeated requests are
// compared.
func fingerprint(r *attempt.Request) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(r.Kind))
	h.Write([]byte{0})
	h.Write(r.Body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}
