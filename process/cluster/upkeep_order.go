package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/upkeep"
)

const (
	// orderWindow is how long after the lease was confirmed an order for a machine may be sent. It
	// allows for a slow table; a successor gives no orders for that much longer.
	orderWindow = time.Second
	// maxListAge is how long after the list of machines was requested an order may be based on it.
	// It isn't shorter than a call may take: a slow service must not stop the waves.
	maxListAge = machinesTimeout + upkeepPeriod
)

// UpkeepOrder is the order to take a machine down for a wave.
type UpkeepOrder struct {
	Machine string
	Wave    int64
	// Holder is the entry that is the leader, Fence the fencing token of its lease.
	Holder string
	Fence  uint64
	// SendBefore is when the order must have been sent; later it fails with ErrNotBegun. The
	// process may have been paused, and another entry may have given orders meanwhile.
	SendBefore time.Time
}

// beginUpkeep takes a machine down and records it, unless its tasks have become needed since the
// wave's step was decided: earlier orders may have ended others. listedAt is when the list of
// machines was requested on which the step is based.
func (r *leadership) beginUpkeep(wave int64, state *waveState, m upkeep.Machine, listedAt time.Time) error {
	confirmedAt, err := r.confirmLease(tableTimeout)
	if err != nil {
		return err
	}
	sendBefore := confirmedAt.Add(orderWindow)
	if limit := listedAt.Add(maxListAge); limit.Before(sendBefore) {
		sendBefore = limit
	}
	if time.Now().After(sendBefore) {
		return eris.Wrap(ErrNotBegun, "the lease or the list of machines was read too long ago")
	}
	before, due := r.interrupt(m.Worker, sendBefore)
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, machinesTimeout)
	defer cancel()
	err = r.node.config.Machines.Begin(ctx, UpkeepOrder{
		Machine: m.Name, Wave: wave, Holder: r.node.config.Name, Fence: r.fence, SendBefore: sendBefore,
	})
	state.progress.BegunAt[m.Name] = time.Now()
	switch {
	case errors.Is(err, ErrNotBegun), errors.Is(err, ErrNoMachine):
		r.setInterrupted(m.Worker, before)
	case err != nil:
		// The machine may be down: it is considered down for a while, and Begin is then repeated.
		r.setInterrupted(m.Worker, time.Now().Add(upkeepOutcomeAfter))
	default:
		r.setInterrupted(m.Worker, time.Now())
	}
	if err != nil && !errors.Is(err, ErrNoMachine) {
		return err
	}
	state.progress.Done[m.Name] = true
	state.row.Done = append(state.row.Done, m.Name)
	r.node.log.Log(events.UpkeepStarted, m.Name, wave)
	return r.saveWave(wave, state)
}

// interrupt decides whether a worker's machine may be taken down now, by what earlier orders have
// ended and what is known to run, and by the time until which that may be sent. If so, what runs on
// the worker counts as unavailable from now on; before is the value for setInterrupted that undoes
// it.
func (r *leadership) interrupt(worker string, sendBefore time.Time) (before time.Time, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.over() || now.After(sendBefore) || r.cell.LoadOf(worker).Needed {
		return time.Time{}, false
	}
	return r.cell.SetInterrupted(worker, now.Add(machinesTimeout+upkeepOutcomeAfter)), true
}

func (r *leadership) setInterrupted(worker string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cell.SetInterrupted(worker, until)
}
