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

// phase is where an attempt is, as far as the owner knows.
type phase int

const (
	// starting attempts have a start call outstanding.
	starting phase = iota
	// unsure attempts had a start call whose outcome is unknown.
	startUnknown
	// running attempts were seen running.
	running
	// ended attempts wait for their keeper to record the end.
	ended
)

type attempt struct {
	team   string
	kind   string
	amount resource.Amount
	phase  phase
	event  Event
	// due is when the attempt should end by its declared run time.
	expectedEnd time.Time
	// began is when it was started here; zero for one found on the worker.
	startedAt time.Time
	// stop says that the attempt is to be stopped.
	stop bool
	// saving says that the attempt is to be checkpointed.
	checkpointing bool
}

// agent serves one worker.
type agent struct {
	owner  *Owner
	worker capacity.Worker
	client worker.Client
	wake   chan struct{}
	// fresh makes run work out its pause anew.
	replanned chan struct{}
	cancel    context.CancelFunc

	mu      sync.Mutex
	adopted bool
	// reconciled says that the first report was taken in.
	reconciled bool
	closed     bool
	// doubtful says that the outcome of the last renewal is unknown. The worker
	// is adopted again then before the next, since renewals of unknown outcome
	// would put off the moment at which the leases have surely ended.
	renewalUncertain bool
	// leasesEnd is when every lease that this or an earlier owner gave has
	// surely ended.
	leasesExpireAt time.Time
	attempts       map[worker.TaskRef]*attempt
	// lost attempts were given up; they are stopped when the worker answers.
	lost   map[worker.TaskRef]bool
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

// idle reports whether the worker holds nothing that this owner knows of.
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

// replan makes run look sooner because something was started.
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

// step makes one round of calls and returns the pause until the next.
func (a *agent) step(ctx context.Context) time.Duration {
	err := a.syncWorker(ctx)
	a.declareLost(time.Now())
	if err != nil {
		return retryInterval
	}
	return a.pause(time.Now())
}

var errNoBlockLease = errors.New("no right to the worker's block")

// contact brings what the owner knows up to the worker's own report, and tells
// the worker what to stop and to forget.
func (a *agent) syncWorker(ctx context.Context) error {
	if !a.owner.holdsBlockLease(a.worker) {
		return errNoBlockLease
	}
	if err := a.renewLeases(ctx); err != nil {
		a.owner.Book.SetSilent(a.worker.Name, true)
		return err
	}
	a.owner.Book.SetSilent(a.worker.Name, false)
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

// checkEpoch has a worker adopted again that has forgotten its epoch.
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

// extendLeases notes that a call that gives leases has ended just now, so that
// the worker may have acted on it up to now.
func (a *agent) extendLeases(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewalUncertain = err != nil
	if errors.Is(err, worker.ErrNotSent) {
		return
	}
	a.leasesExpireAt = time.Now().Add(a.owner.Lease + a.owner.Margin)
}

// settled returns the attempts whose start call has returned. A report asked
// for after this moment must name those that the worker knows.
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

// pause is a part of the lease, or less if an attempt is due to end or was started
// a short time ago: its end is then noticed within about its run time.
func (a *agent) pause(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner.Book.Strays(a.worker.Name) > 0 {
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
