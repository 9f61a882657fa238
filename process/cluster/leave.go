package cluster

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/events"
)

// LeaveLimits are how long after Leave a scheduler hands the cell over. They are fractions of
// the time after which the process is killed, each larger than the one before. With the zero
// value a scheduler hands over at once.
type LeaveLimits struct {
	// Min is how long the scheduler waits at least, to learn whether other entries leave too.
	Min time.Duration
	// Hold is how long the scheduler waits for a successor that is about as large as itself and
	// has restarted already, while other entries leave. After it any entry that stays will do.
	Hold time.Duration
	// Final is when the scheduler releases the lease in any case, also if no entry has accepted
	// it.
	Final time.Duration
}

// Fractions of a grace period. Releasing the lease and answering the calls that waited for the
// successor take the rest.
const (
	leaveMinFraction   = 0.3
	leaveHoldFraction  = 0.65
	leaveFinalFraction = 0.7
)

// LeaveLimitsWithin returns the limits of a process that is killed after the grace period.
func LeaveLimitsWithin(grace time.Duration) LeaveLimits {
	part := func(f float64) time.Duration { return time.Duration(f * float64(grace)) }
	return LeaveLimits{Min: part(leaveMinFraction), Hold: part(leaveHoldFraction), Final: part(leaveFinalFraction)}
}

// loadPatience is how long a leaving entry goes on reading the cell before it looks for a
// successor, which would have to read it anew.
const loadPatience = 600 * time.Millisecond

// leavePeriod is the interval between checks of a leaving scheduler for a successor.
const leavePeriod = 20 * time.Millisecond

// Leave marks the node as not ready and, if it schedules, hands the cell over within
// Timings.Leave. It returns when the node can schedule no more, or soon after ctx ends;
// until then, and after it, the node answers and forwards calls, so the caller goes on
// serving meanwhile. Leave may be called more than once.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	if !n.leaving {
		n.leaving, n.leavingSince = true, time.Now()
		n.memberList = memberList{}
		// The scheduler is to learn of it at once.
		n.suspected = true
	}
	n.mu.Unlock()
	bounded, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	// After ctx the lease is still to be released.
	defer context.AfterFunc(ctx, func() { time.AfterFunc(releaseTimeout, cancel) })()
	for bounded.Err() == nil && !n.leaveStep(ctx) {
		sleep(bounded, leavePeriod)
	}
}

// leaveStep hands the cell over if it is time to, and reports whether this entry can
// schedule no more.
func (n *Node) leaveStep(ctx context.Context) (left bool) {
	n.mu.Lock()
	r, loading, abandoned := n.leadership, n.loading, n.abandoned.now
	state := n.leaveStateLocked()
	n.mu.Unlock()
	scheduling := r != nil && !r.over()
	if !scheduling && loading == 0 {
		return n.acquiresNoMore()
	}
	if !scheduling && abandoned {
		return false
	}
	decision := state.decide()
	if ctx.Err() != nil {
		decision = handover{now: true, reason: "the time to leave has ended"}
	}
	if !decision.now {
		return false
	}
	if decision.successor != "" && !n.offerLease(ctx, decision.successor) {
		if !state.final() {
			return false
		}
		// Whoever reads the released lease first takes it.
		decision.successor = ""
	}
	if scheduling {
		n.log.Log(events.HandoverDecided, r.fence, decision.successor, decision.reason, state.now.Sub(state.since).String())
		n.handOver(context.WithoutCancel(ctx), r, decision.successor)
		return true
	}
	n.abandonLoad(decision)
	return false
}

// acquiresNoMore reports whether no attempt to acquire the lease is under way or to come, and
// no offer of it may be accepted any more.
func (n *Node) acquiresNoMore() bool {
	select {
	case <-n.leaseLock:
	default:
		return false
	}
	defer func() { n.leaseLock <- struct{}{} }()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil && !n.leadership.over() {
		return false
	}
	return !n.offer.open() && !n.config.Timings.Leave.mayAccept(time.Since(n.leavingSince))
}

// candidate is an entry that may take the cell over.
type candidate struct {
	Member
	// startedAt is when its process started; zero if not known.
	startedAt time.Time
	// leavingFor is how long it has been leaving, or 0 if it stays.
	leavingFor time.Duration
}

// leaveState is what a leaving scheduler knows when it looks for a successor.
type leaveState struct {
	now time.Time
	// since is when this entry began to leave; cores is its capacity.
	since  time.Time
	cores  float64
	limits LeaveLimits
	// loadingFor is how long the cell has been being read, or 0 once it has been.
	loadingFor time.Duration
	// othersLeave is set if other entries leave too.
	othersLeave bool
	// staying are the live entries that don't leave and can schedule, leaving those that
	// leave; the ones to prefer come first.
	staying, leaving []candidate
}

// handover is the decision whether to hand the cell over, and to which entry; successor is
// empty if there is none.
type handover struct {
	now       bool
	successor string
	reason    string
}

// decide decides whether to hand the cell over now. A single entry that leaves hands over
// soon to one that is about as large. When entries are restarted one after the other, whoever hasn't
// been restarted yet soon will be, and would hand over again: each handover interrupts
// scheduling for as long as it takes to read the cell. So a scheduler holds on until an
// entry that has started since it began to leave can take over, and is about as large, since
// a small one needs long to read the cell and falls behind. If all leave together, it holds
// on until the first ones are back.
func (s leaveState) decide() handover {
	held := s.now.Sub(s.since)
	if held < s.limits.Min {
		return handover{}
	}
	if s.loadingFor > 0 && s.loadingFor < loadPatience && !s.final() {
		return handover{}
	}
	// While the cell is read nobody schedules, so a small entry is better than none.
	if !s.othersLeave && len(s.staying) > 0 && (s.large(s.staying[0]) || s.loadingFor > 0) {
		return handover{now: true, successor: s.staying[0].Name, reason: "no other entry leaves"}
	}
	for _, c := range s.staying {
		if c.startedAt.After(s.since) && s.large(c) {
			return handover{now: true, successor: c.Name, reason: "the entry has been restarted"}
		}
	}
	if held >= s.limits.Hold {
		if c, ok := s.lastResort(); ok {
			return handover{now: true, successor: c.Name, reason: "no large entry has been restarted in time"}
		}
	}
	return handover{now: s.final(), reason: "no entry can take the lease"}
}

// final reports whether the lease is to be released in any case.
func (s leaveState) final() bool { return s.now.Sub(s.since) >= s.limits.Final }

// large reports whether an entry is about as large as this one.
func (s leaveState) large(c candidate) bool { return c.Cores*yieldFactor >= s.cores }

// lastResort returns the entry to prefer at the end of the hold: a large one that stays, a
// large one that leaves and can hold on for long enough, or any that stays.
func (s leaveState) lastResort() (candidate, bool) {
	if len(s.staying) > 0 && s.large(s.staying[0]) {
		return s.staying[0], true
	}
	for _, c := range s.leaving {
		if s.large(c) && s.limits.mayAccept(c.leavingFor) {
			return c, true
		}
	}
	if len(s.staying) > 0 {
		return s.staying[0], true
	}
	return candidate{}, false
}

// mayAccept reports whether an entry that has been leaving for so long may still take the
// cell over: it must be able to hold on until others have been restarted.
func (l LeaveLimits) mayAccept(leavingFor time.Duration) bool { return leavingFor <= l.Hold/2 }

// leaveStateLocked returns the state for decide. n.mu must be held.
func (n *Node) leaveStateLocked() leaveState {
	s := leaveState{now: time.Now(), since: n.leavingSince, cores: n.config.Cores, limits: n.config.Timings.Leave}
	if n.loading != 0 {
		s.loadingFor = max(1, time.Since(n.loadingSince))
	}
	// Shortly after the cell was acquired, few have sent heartbeats to this entry.
	for _, m := range n.view.members {
		s.othersLeave = s.othersLeave || (m.Leaving && m.Name != n.config.Name && time.Since(n.view.since) < memberTimeout)
	}
	for _, m := range n.standbys {
		if m.live() && m.Name != n.config.Name {
			s.othersLeave = s.othersLeave || m.Leaving
		}
	}
	s.staying, s.leaving = n.candidatesLocked()
	return s
}
