// Package dedupe keeps a request id from running twice.
//
// Every named request has one home entry, the owner of its key shard. The home's
// Table holds a Flight per id from its admission until RetainFor after its end.
// The same id with the same content joins the flight or gets its outcome; with
// other content it is refused.
//
// Before a non-idempotent request is handed over, its id is replicated to the
// home's guards. An entry that takes over the shard imports these ids, and
// answers a repeated one with "outcome unknown" instead of running it.
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

// Bounds of a Table.
const (
	// RetainFor is how long an id is remembered after its end.
	RetainFor = 2 * time.Minute
	// MaxIDs is the most ids a table remembers.
	MaxIDs = 200_000
	// MaxKeptBody is the largest answer in bytes that is kept for a repeated id.
	MaxKeptBody = 4 << 10

	shardCount = 16
	// sweepEvery is the number of begins on a shard between two sweeps.
	sweepEvery = 256
)

// Table holds the flights whose home is this entry. It is safe for concurrent
// use: flights are in shards by id, each under its own lock.
type Table struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	flights map[string]*Flight
	begins  int
}

// Flight is one id in progress or remembered.
type Flight struct {
	key     string
	content [sha256.Size]byte
	shard   *shard
	done    chan struct{}
	abandon context.CancelFunc

	// The fields below are guarded by shard.mu.
	waiters    int
	handedOver bool
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

// Begin finds or opens the flight of a request. If first is true the caller must
// run the request under the returned context and call Finish; the context ends
// when all waiters left before the hand-over. Otherwise the caller waits. A
// non-nil refusal means neither.
func (t *Table) Begin(r *attempt.Request, now time.Time) (f *Flight, ctx context.Context, first bool, refusal *api.Error) {
	content := fingerprint(r)
	s := &t.shards[maphash.String(t.seed, r.Key())%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweepSometimes(now)
	if known, ok := s.flights[r.Key()]; ok && !known.forgotten(now) {
		refusal = known.refuse(content)
		if refusal == nil {
			known.waiters++
		}
		return known, nil, false, refusal
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
		done: make(chan struct{}), abandon: cancel, waiters: 1,
	}
	s.flights[f.key] = f
	return f, ctx, true, nil
}

// Import marks ids as handed over by a predecessor.
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

// Keys returns the ids that were handed over and aren't forgotten, for a
// successor.
func (t *Table) Keys(now time.Time) []string {
	var keys []string
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, f := range s.flights {
			if (f.handedOver || f.imported) && !f.forgotten(now) {
				keys = append(keys, key)
			}
		}
		s.mu.Unlock()
	}
	return keys
}

// InProgress reports whether a flight whose key matches hasn't ended.
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

// Wait returns the outcome, or false if ctx ended first.
func (f *Flight) Wait(ctx context.Context) (attempt.Outcome, bool) {
	defer f.leave()
	select {
	case <-f.done:
		return f.outcome, true
	case <-ctx.Done():
		return attempt.Outcome{}, false
	}
}

// HandOver notes that the request is about to be handed over. It returns false
// if all waiters have left; the request must not be handed over then.
func (f *Flight) HandOver() bool {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	if f.waiters == 0 {
		return false
	}
	f.handedOver = true
	return true
}

// Finish sets the outcome. An id that surely did not run is forgotten, so that
// it may come again.
func (f *Flight) Finish(outcome attempt.Outcome, now time.Time) {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	f.outcome = outcome
	f.ended = now
	if outcome.WasNotRun() {
		delete(f.shard.flights, f.key)
	}
	close(f.done)
	f.abandon()
}

// leave counts a waiter out; the last one before the hand-over abandons the run.
func (f *Flight) leave() {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	f.waiters--
	if f.waiters == 0 && !f.handedOver && f.abandon != nil {
		f.abandon()
	}
}

// refuse returns why a repeated id can't join; the shard's lock is held.
func (f *Flight) refuse(content [sha256.Size]byte) *api.Error {
	if f.imported {
		return nil
	}
	if f.content != content {
		return &api.Error{
			Code: api.CodeConflict, Field: "request_id", Ran: api.NotRun,
			Message: "the id was used for other content",
		}
	}
	if f.ended.IsZero() && f.waiters == 0 && !f.handedOver {
		return &api.Error{
			Code: api.CodeConflict, Field: "request_id", Ran: api.NotRun,
			Message: "the id is being withdrawn", RetryAfter: time.Second,
		}
	}
	return nil
}

// forgotten reports whether the id may run anew; the shard's lock is held.
func (f *Flight) forgotten(now time.Time) bool {
	return !f.ended.IsZero() && now.Sub(f.ended) > RetainFor
}

// sweepSometimes drops forgotten ids and large bodies; s.mu is held.
func (s *shard) sweepSometimes(now time.Time) {
	s.begins++
	if s.begins%sweepEvery != 0 {
		return
	}
	for key, f := range s.flights {
		if f.forgotten(now) {
			delete(s.flights, key)
			continue
		}
		f.dropLargeBody()
	}
}

// dropLargeBody bounds what an ended flight keeps; the shard's lock is held.
func (f *Flight) dropLargeBody() {
	if f.ended.IsZero() || f.waiters > 0 || len(f.outcome.Body) <= MaxKeptBody {
		return
	}
	f.outcome = attempt.Outcome{Err: &api.Error{
		Code: api.CodeUnknown, Ran: api.RanUnknown,
		Message: "the id was answered; the answer is too large to be kept",
	}}
}

func fingerprint(r *attempt.Request) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(r.Kind))
	h.Write([]byte{0})
	h.Write(r.Body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}
