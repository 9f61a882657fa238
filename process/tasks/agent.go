package tasks

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/process/capacity"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// phase is the phase of an attempt as known to the owner.
type phase int

const (
	// starting: a start call is in flight.
	starting phase = iota
	// startUnknown: the outcome of the start call is unknown.
	startUnknown
	// running: the worker has confirmed the attempt as running.
	running
	// ended: the attempt has ended, but its coordinator has not recorded the end.
	ended
)

type attempt struct {
	team   string
	kind   string
	amount resource.Amount
	phase  phase
	event  Event
	// expectedEnd is the end of the attempt by its declared run time.
	expectedEnd time.Time
	// startedAt is when this owner started the attempt; zero for an attempt found on
	// the worker.
	startedAt time.Time
	// stop marks an attempt for stopping.
	stop bool
	// checkpointing marks an attempt for checkpointing.
	checkpointing bool
}

// agent manages the attempts on one worker.
type agent struct {
	owner  *Owner
	worker capacity.Worker
	client worker.Client
	wake   chan struct{}
	// replanned signals run to recompute its pause.
	replanned chan struct{}
	cancel    context.CancelFunc

	mu      sync.Mutex
	adopted bool
	// reconciled is set once the first report has been applied.
	reconciled bool
	closed     bool
	// renewalUncertain is set if the outcome of the last renewal is unknown. The
	// worker is then adopted again before the next renewal, since each renewal
	// with an unknown outcome would postpone leasesExpireAt.
	renewalUncertain bool
	// leasesExpireAt is when all leases granted by this or an earlier owner have
	// expired, margin included.
	leasesExpireAt time.Time
	attempts       map[worker.TaskRef]*attempt
	// lost are the attempts that were declared lost. They are stopped when the
	// worker becomes reachable.
	lost map[worker.TaskRef]bool
	// forget are the attempts whose statuses the worker may drop.
	forget []worker.TaskRef
}

func newAgent(o *Owner, w capacity.Worker) *agent {
	return &agent{
		owner:          o,
		worker:         w,
		client:         o.Dial(w.Instance),
		wake:           make(chan struct{}, 1),
		replanned:      make(chan struct{}, 1),
		leasesExpireAt: time.Now().Add(o.Lease + o.Margin),
		attempts:       make(map[worker.TaskRef]*attempt),
		lost:           make(map[worker.TaskRef]bool),
	}
}

func (a *agent) begin(ctx context.Context) {
	ctx, a.cancel = context.WithCancel(ctx)
	go a.run(ctx)
}

func (a *agent) end() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
}

// idle reports whether no attempts are on the worker. If the worker was not adopted,
// this is certain only once all leases have expired.
func (a *agent) idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.attempts) == 0 && (a.adopted || now.After(a.leasesExpireAt))
}

func (a *agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// replan makes run recompute its pause after an attempt was started.
func (a *agent) replan() {
	select {
	case a.replanned <- struct{}{}:
	default:
	}
}

func (a *agent) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wake:
		case <-a.replanned:
			timer.Reset(a.pause(time.Now()))
			continue
		}
		timer.Reset(a.step(ctx))
	}
}

// step makes one round of calls and returns the pause until the next round.
func (a *agent) step(ctx context.Context) time.Duration {
	err := a.syncWorker(ctx)
	a.declareLost(time.Now())
	if err != nil {
		return retryInterval
	}
	return a.pause(time.Now())
}

var errNoBlockLease = errors.New("lease on the worker's block not held")

// syncWorker renews the leases, applies the worker's report, and sends the worker the
// attempts to stop, to checkpoint and to forget.
func (a *agent) syncWorker(ctx context.Context) error {
	if !a.owner.holdsBlockLease(a.worker) {
		return errNoBlockLease
	}
	if err := a.renewLeases(ctx); err != nil {
		a.owner.Capacity.SetUnreachable(a.worker.Name, true)
		return err
	}
	a.owner.Capacity.SetUnreachable(a.worker.Name, false)
	if err := a.stopMarked(ctx); err != nil {
		return err
	}
	if err := a.checkpointMarked(ctx); err != nil {
		return err
	}
	return a.forgetRecorded(ctx)
}

func (a *agent) renewLeases(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.owner.CallTimeout)
	defer cancel()
	expected := a.settledAttempts()
	if !a.canRenew() {
		report, err := a.client.Adopt(ctx, a.worker.Epoch)
		if err != nil {
			return err
		}
		a.adopt(report)
	}
	report, err := a.client.Renew(ctx, a.worker.Epoch, a.owner.Lease)
	a.extendLeases(err)
	if err != nil {
		a.checkEpoch(err)
		return err
	}
	a.apply(report, expected)
	return nil
}

// checkEpoch arranges for the worker to be adopted again if err shows that it is at a
// lower epoch, as after a restart.
func (a *agent) checkEpoch(err error) {
	var refused *worker.RefusedError
	if !errors.As(err, &refused) || refused.Epoch >= a.worker.Epoch {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adopted = false
}

func (a *agent) canRenew() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.adopted && (!a.renewalUncertain || a.owner.unsafe.renewWhenUncertain)
}

// extendLeases records the end of a call that grants leases. The worker may have
// executed the call at any time until now.
func (a *agent) extendLeases(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewalUncertain = err != nil
	if errors.Is(err, worker.ErrNotSent) {
		return
	}
	a.leasesExpireAt = time.Now().Add(a.owner.Lease + a.owner.Margin)
}

// settledAttempts returns the attempts whose start call has returned. A report that
// is requested afterwards must contain those that are on the worker.
func (a *agent) settledAttempts() []worker.TaskRef {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refs []worker.TaskRef
	for ref, at := range a.attempts {
		if at.phase == startUnknown || at.phase == running {
			refs = append(refs, ref)
		}
	}
	return refs
}

// pause returns the time until the next renewal: a fraction of the lease, or less if
// an attempt is expected to end or was started recently, so that the end of a short
// attempt is detected within about its run time.
func (a *agent) pause(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner.Capacity.UntrackedRequests(a.worker.Name) > 0 {
		return minRenewalInterval
	}
	wait := a.owner.Lease / renewalsPerLease
	for _, at := range a.attempts {
		if at.phase == startUnknown {
			return minRenewalInterval
		}
		if at.phase != running {
			continue
		}
		if at.expectedEnd.After(now) {
			wait = min(wait, at.expectedEnd.Sub(now))
		}
		if !at.startedAt.IsZero() {
			wait = min(wait, max(now.Sub(at.startedAt), minRenewalAfterStart))
		}
	}
	return max(wait, minRenewalInterval)
}
