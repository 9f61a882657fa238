// Package requests routes admitted requests to workers anywhere in the fleet.
//
// # Routing
//
// A named request (its caller chose the id) first goes to its home, the owner of the
// id's key shard, which joins it with an earlier request of the same id. Any other
// request has its home at the entry that received it. The home queues the request and
// reserves capacity for it: on a worker of its own, or at a peer that reported free
// capacity. A peer either starts the request at once or refuses it as not run. A request
// therefore crosses at most two entries before its worker, and at most one if the home
// has free capacity.
//
// # At most once
//
// Before a named non-idempotent request is dispatched, its id is replicated to the
// home's witnesses, and the lease of the shard is checked again after that. An entry
// that takes the shard over imports these ids before it serves the shard. From then on,
// a request without a reply is reported as unknown and never sent again.
package requests

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/dispatch"
	"github.com/kingcuplatch/kingcuplatch/process/ownership"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/request/dedupe"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// retryAfter is how long a caller should wait before a retry while ownership changes.
const retryAfter = time.Second

// Ownership is the part of the ownership manager that requests need. It also replicates
// request ids outside this process.
type Ownership interface {
	ownership.Owners
	// RefreshBlock reads the owner of the block from the table.
	RefreshBlock(ctx context.Context, block string)
	// Replicate returns nil once every witness has stored the message.
	Replicate(ctx context.Context, message json.RawMessage) error
}

// Options configures a Service.
type Options struct {
	Instance  string
	Ownership Ownership
	Caller    peer.Caller
	// Snapshot returns the current configuration.
	Snapshot func() *version.Snapshot
	Placer   *Placer
	// Budget returns the retry budget of an upstream.
	Budget func(upstream string) dispatch.Budget
	// NewDispatcher returns a new dispatcher for an upstream.
	NewDispatcher func(upstream string, finder dispatch.Finder, budget dispatch.Budget) *dispatch.Dispatcher
	// CheckStart returns an error if an admitted request may no longer start: its key
	// was revoked, or this entry can no longer tell whether it was.
	CheckStart func(r *attempt.Request) *api.Error
	// OnUnknown is called for each request with an unknown outcome.
	OnUnknown func(r *attempt.Request, outcome attempt.Outcome)
}

// Service runs requests. It is safe for concurrent use.
type Service struct {
	o Options
	// flights holds the named requests whose home is this entry.
	flights *dedupe.Table
	// forwarded admits the requests that other entries send to this one.
	forwarded *gate
	// replicator sends the ids of requests to the witnesses before their dispatch.
	replicator *dedupe.Replicator
	// ctx ends the dispatchers.
	ctx context.Context

	mu sync.Mutex
	// dispatchers holds the dispatchers, by upstream.
	dispatchers map[string]*dispatch.Dispatcher

	// ending ends when the requests in progress are to be answered with what is known.
	ending context.Context
	end    context.CancelFunc
}

// New returns a service whose dispatchers run until ctx ends.
func New(ctx context.Context, o Options) *Service {
	s := &Service{
		o:           o,
		flights:     dedupe.NewTable(),
		forwarded:   newGate(),
		dispatchers: make(map[string]*dispatch.Dispatcher),
		ctx:         ctx,
	}
	s.replicator = dedupe.NewReplicator(s.replicate)
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// run dispatches the request to a worker and returns its outcome.
func (s *Service) run(ctx context.Context, r *attempt.Request, kind *version.Kind, prepare func(context.Context) error) attempt.Outcome {
	outcome := s.Dispatcher(kind.Upstream).Do(ctx, r, kind, func(ctx context.Context) error {
		if refusal := s.o.CheckStart(r); refusal != nil {
			return refusal
		}
		return prepare(ctx)
	})
	if outcome.Err != nil && outcome.Err.Ran == api.RanUnknown {
		s.o.OnUnknown(r, outcome)
	}
	return outcome
}

// kind returns the request's kind of work, and a refusal if there is none of that name
// that takes requests.
func (s *Service) kind(r *attempt.Request) (*version.Kind, *attempt.Outcome) {
	kind, ok := s.o.Snapshot().Kinds[r.Kind]
	if !ok || kind.Policy != version.PolicyRequest {
		refusal := attempt.NotRun(api.CodeNotFound, "no such kind of work: "+r.Kind, retryAfter)
		return nil, &refusal
	}
	return kind, nil
}

// Dispatcher returns the upstream's dispatcher. It is created on first use.
func (s *Service) Dispatcher(upstream string) *dispatch.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.dispatchers[upstream]
	if !ok {
		d = s.o.NewDispatcher(upstream, s.o.Placer, s.o.Budget(upstream))
		s.dispatchers[upstream] = d
		go d.Run(s.ctx)
	}
	return d
}

// Each calls f for every dispatcher.
func (s *Service) Each(f func(upstream string, d *dispatch.Dispatcher)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for upstream, d := range s.dispatchers {
		f(upstream, d)
	}
}

// Wake makes all dispatchers try to start requests again.
func (s *Service) Wake() {
	s.Each(func(_ string, d *dispatch.Dispatcher) { d.Wake() })
}

// InProgress reports whether a request whose key matches is in progress here.
func (s *Service) InProgress(matches func(key string) bool) bool {
	return s.flights.InProgress(matches)
}
