package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

const (
	// reportWait is how long an entry holds a request while there is nothing urgent to report.
	reportWait = 200 * time.Millisecond
	// relayedAckWait replaces ackWait: an acknowledgement passes the scheduler and two calls.
	relayedAckWait = 300 * time.Millisecond
	// pollSetTimeout is how long after the last request an entry stops polling a group.
	pollSetTimeout = 1500 * time.Millisecond
)

// errNoPollSet rejects a request about a group of workers that this entry doesn't poll.
var errNoPollSet = &peer.RemoteError{Code: codeNoPollSet, Message: "these workers are not polled here"}

// pollSet polls a group of workers on behalf of the scheduler. Each worker has its own loop,
// as at the scheduler.
type pollSet struct {
	node   *Node
	id     uint64
	fence  uint64
	ctx    context.Context
	cancel context.CancelFunc
	// expiry ends the set when no request comes any more.
	expiry *time.Timer
	// reported is signalled when there is an urgent report.
	reported chan struct{}

	mu      sync.Mutex
	workers map[string]*setWorker
	reports []pollReport
	// seq is that of the last request, workersSeq that of the last one with workers, number
	// that of the last report.
	seq, workersSeq, number uint64
	// superseded is closed by the next request, which releases the one before.
	superseded chan struct{}
}

// setWorker is a worker of a pollSet. Its fields are guarded by the set's lock.
type setWorker struct {
	target Target
	// incarnation is the one for which the scheduler sent notAfter and acked; 0 if the scheduler is of
	// an earlier version, which doesn't say.
	incarnation int64
	notAfter    int64
	acked       int64
	// updatedSeq is the number of the request that set these values.
	updatedSeq uint64
	cancel     context.CancelFunc
	// updated is signalled when acked rises.
	updated chan struct{}
}

func newPollSet(n *Node, id, fence uint64) *pollSet {
	s := &pollSet{node: n, id: id, fence: fence, reported: make(chan struct{}, 1), workers: make(map[string]*setWorker), superseded: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.expiry = time.AfterFunc(pollSetTimeout, s.cancel)
	return s
}

// servePoll polls workers on behalf of the scheduler.
func (n *Node) servePoll(ctx context.Context, params json.RawMessage) (any, error) {
	var request pollRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	if n.followsNewer(request.Fence) {
		return nil, errNotScheduler
	}
	s := n.pollSetOf(request)
	if s == nil {
		return nil, errNoPollSet
	}
	s.apply(request)
	return pollReplies{Reports: s.collect(ctx)}, nil
}

// pollSetOf returns the set of a request. A new one, which comes with its workers, replaces
// the one before, which an earlier scheduler or an earlier group had.
func (n *Node) pollSetOf(request pollRequest) *pollSet {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.polls
	if s != nil && s.id == request.Set && s.fence == request.Fence && s.ctx.Err() == nil {
		return s
	}
	outdated := s != nil && (request.Fence < s.fence || (request.Fence == s.fence && request.Set <= s.id))
	if outdated || len(request.Workers) == 0 {
		return nil
	}
	if s != nil {
		s.cancel()
	}
	n.polls = newPollSet(n, request.Set, request.Fence)
	return n.polls
}

// apply applies what a request says that no later one has said. Requests may overtake each
// other.
func (s *pollSet) apply(request pollRequest) {
	s.expiry.Reset(pollSetTimeout + s.node.lag.allowance())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq = max(s.seq, request.Seq)
	close(s.superseded)
	s.superseded = make(chan struct{})
	if len(request.Workers) > 0 && request.Seq > s.workersSeq {
		s.workersSeq = request.Seq
		s.setWorkers(request.Workers)
	}
	for _, update := range request.Updates {
		s.update(request.Seq, update)
	}
}

// setWorkers starts and stops loops so that just these workers are polled. s.mu must be held.
func (s *pollSet) setWorkers(workers []polledWorker) {
	wanted := make(map[string]bool, len(workers))
	for _, w := range workers {
		wanted[w.ID] = true
		if known := s.workers[w.ID]; known != nil {
			known.setIncarnation(w.Incarnation)
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		added := &setWorker{target: w.target(), incarnation: w.Incarnation, cancel: cancel, updated: make(chan struct{}, 1)}
		s.workers[w.ID] = added
		go s.poll(ctx, added)
	}
	for id, w := range s.workers {
		if !wanted[id] {
			w.cancel()
			delete(s.workers, id)
		}
	}
}

// setIncarnation drops the lease of an earlier incarnation, which is on a clock of its own. The set's
// lock must be held.
func (w *setWorker) setIncarnation(incarnation int64) {
	if w.incarnation != incarnation {
		w.incarnation, w.notAfter = incarnation, 0
	}
}

func (s *pollSet) update(seq uint64, update pollUpdate) {
	w := s.workers[update.Worker]
	if w == nil || seq < w.updatedSeq {
		return
	}
	w.updatedSeq = seq
	w.notAfter = max(w.notAfter, update.NotAfter)
	if update.Acked != w.acked {
		w.acked = update.Acked
		signal(w.updated)
	}
}

// collect returns the reports, once there is an urgent one, the next request has come, or
// reportWait is over.
func (s *pollSet) collect(ctx context.Context) []pollReport {
	s.mu.Lock()
	superseded := s.superseded
	s.mu.Unlock()
	limit := time.NewTimer(reportWait)
	defer limit.Stop()
	select {
	case <-s.reported:
	case <-superseded:
	case <-limit.C:
	case <-ctx.Done():
		return nil
	}
	return s.takeReports()
}

func (s *pollSet) takeReports() []pollReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.reports
	s.reports = nil
	return reports
}

// poll polls a worker until ctx ends or the worker doesn't reply; then the scheduler polls
// it.
func (s *pollSet) poll(ctx context.Context, w *setWorker) {
	// replied is the incarnation that answered the last poll; 0 if there was none on this connection.
	replied := int64(0)
	for ctx.Err() == nil {
		call, seq := s.nextCall(w, replied)
		pollCtx, cancel := context.WithTimeout(ctx, call.Wait+pollTimeout+s.node.lag.allowance())
		reply, err := s.node.config.Workers.Poll(pollCtx, w.target, call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrNewConnection) {
			replied = 0
			continue
		}
		if err != nil {
			s.report(w, pollReport{Worker: w.target.ID, Seq: seq, Failed: true, Fenced: errors.Is(err, ErrFenced)})
			return
		}
		replied = reply.Listing.Incarnation
		s.report(w, reportOf(w.target.ID, seq, reply))
		if ends := reply.Listing.Ends; len(ends) > 0 {
			s.awaitAck(ctx, w, ends[len(ends)-1].Seq)
		}
	}
}

// nextCall returns the next poll of a worker whose incarnation replied has answered the last one (0
// if none has), and the number of the last request. What the scheduler said of another incarnation
// isn't sent.
func (s *pollSet) nextCall(w *setWorker, replied int64) (PollCall, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := PollCall{Fence: s.fence}
	if replied == 0 {
		return call, s.seq
	}
	call.Wait = pollWait
	if w.incarnation == replied || w.incarnation == 0 {
		call.NotAfter, call.Acked = w.notAfter, cell.Ack{Incarnation: replied, Number: w.acked}
	}
	return call, s.seq
}

// report adds a report of a worker that is still polled here.
func (s *pollSet) report(w *setWorker, report pollReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers[w.target.ID] != w {
		return
	}
	s.number++
	report.Number = s.number
	s.reports = append(s.reports, report)
	if report.urgent() {
		signal(s.reported)
	}
}

// awaitAck waits until the end with the given number may be acknowledged. A poll before
// would return the same ends at once.
func (s *pollSet) awaitAck(ctx context.Context, w *setWorker, end int64) {
	limit := time.NewTimer(relayedAckWait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		acked := w.acked
		s.mu.Unlock()
		if acked >= end {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-w.updated:
		}
	}
}
