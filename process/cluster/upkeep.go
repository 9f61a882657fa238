package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/upkeep"
)

var (
	// ErrNoMachine means that the machine does not exist or no longer exists.
	ErrNoMachine = errors.New("no such machine")
	// ErrNotBegun means that the machine has not been taken down by this call, and won't be.
	ErrNotBegun = errors.New("the machine was not taken down")
)

// Machines is the platform's service for machine maintenance.
type Machines interface {
	// Waves returns the operators' requests as last read.
	Waves() []upkeep.Wave
	// List returns all machines; Runs and Needed are not set.
	List(ctx context.Context) ([]upkeep.Machine, error)
	// Begin takes a machine down for a wave. It is idempotent. After an error other than
	// ErrNoMachine and ErrNotBegun the machine may or may not go down.
	Begin(ctx context.Context, order UpkeepOrder) error
	// Report publishes to the operators whether a wave is running or completed.
	Report(ctx context.Context, wave int64, completed bool) error
}

const (
	// upkeepPeriod is the interval between passes over the waves.
	upkeepPeriod = 500 * time.Millisecond
	// machinesTimeout bounds a call about machines.
	machinesTimeout = 2 * time.Second
	// upkeepOutcomeAfter is how long after a call without a reply a machine may still go down. A
	// call is repeated each upkeepPeriod, so this matters only while its repetition has to wait.
	upkeepOutcomeAfter = 5 * time.Second
	// upkeepPrefix is the key prefix of the rows that hold the progress of a wave.
	upkeepPrefix = "u/"
)

// upkeepRow is the recorded progress of a wave.
type upkeepRow struct {
	// Done are the machines that have been taken down or do not exist.
	Done []string `json:"done"`
	// Reported is set once the wave has been reported as completed.
	Reported bool `json:"reported,omitempty"`
}

// waveState is the scheduler's state of a wave.
type waveState struct {
	progress *upkeep.Progress
	row      upkeepRow
	// running is set once this scheduler has reported the wave as running.
	running bool
}

// upkeepLoop runs the operators' waves. A new scheduler first waits for MachineLease after the
// last moment at which its predecessor may have sent commands for the same machines.
func (r *leadership) upkeepLoop() {
	if r.node.config.Machines == nil {
		return
	}
	sleep(r.ctx, orderWindow+r.timings.MachineLease)
	waves := make(map[int64]*waveState)
	for !r.over() {
		if err := r.upkeepOnce(waves); err != nil && !r.over() {
			r.node.log.Log(events.UpkeepFailed, err)
		}
		sleep(r.ctx, upkeepPeriod)
	}
}

// upkeepOnce makes one pass over the open waves.
func (r *leadership) upkeepOnce(waves map[int64]*waveState) error {
	open, err := r.openWaves(waves)
	cordon := make(map[string]bool)
	defer r.change(func(_ time.Time, c *cell.Cell) { c.SetCordon(cordon) })
	if err != nil || len(open) == 0 {
		return err
	}
	listedAt := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, machinesTimeout)
	list, err := r.node.config.Machines.List(ctx)
	cancel()
	if err != nil {
		return err
	}
	machines := make(map[string]upkeep.Machine, len(list))
	r.mu.Lock()
	for _, m := range list {
		load := r.cell.LoadOf(m.Worker)
		m.Runs, m.Needed = load.Runs, load.Needed
		machines[m.Name] = m
	}
	r.mu.Unlock()
	for _, wave := range open {
		// What has been ordered is compared with the time of the list, which doesn't show later orders.
		step := upkeep.Next(listedAt, wave, machines, waves[wave.Number].progress)
		for _, name := range step.Cordon {
			cordon[machines[name].Worker] = true
		}
		if err := r.runWave(wave, waves[wave.Number], step, machines, listedAt); err != nil {
			return err
		}
	}
	return nil
}

// openWaves returns the waves that have not been reported as completed. For new ones it
// reads the progress recorded by an earlier scheduler.
func (r *leadership) openWaves(waves map[int64]*waveState) ([]upkeep.Wave, error) {
	var open []upkeep.Wave
	for _, wave := range r.node.config.Machines.Waves() {
		state := waves[wave.Number]
		if state == nil {
			row, ok, err := r.get(upkeepKey(wave.Number))
			if err != nil {
				return nil, err
			}
			state = &waveState{}
			if ok {
				if err := json.Unmarshal(row.Value, &state.row); err != nil {
					return nil, err
				}
			}
			state.progress = upkeep.NewProgress(time.Now(), state.row.Done)
			waves[wave.Number] = state
		}
		if !state.row.Reported {
			open = append(open, wave)
		}
	}
	return open, nil
}

func upkeepKey(wave int64) string { return upkeepPrefix + strconv.FormatInt(wave, 10) }

// runWave reports the state of a wave and takes machines down, by a list of machines requested at
// listedAt. In machines, those that have been taken down are changed.
func (r *leadership) runWave(wave upkeep.Wave, state *waveState, step upkeep.Step, machines map[string]upkeep.Machine, listedAt time.Time) error {
	if !state.running || step.Completed {
		if err := r.reportWave(wave.Number, step.Completed); err != nil {
			return err
		}
		state.running = true
	}
	if step.Completed {
		state.row.Reported = true
		r.node.log.Log(events.WaveCompleted, wave.Number, len(wave.Machines))
		return r.saveWave(wave.Number, state)
	}
	for _, name := range step.Begin {
		if err := r.beginUpkeep(wave.Number, state, machines[name], listedAt); err != nil {
			return err
		}
		if state.progress.Done[name] {
			machines[name] = upkeep.Machine{Name: name, Worker: machines[name].Worker, Down: true}
		}
	}
	return nil
}

// reportWave reports the state of a wave, if this entry still holds the lease.
func (r *leadership) reportWave(wave int64, completed bool) error {
	if _, err := r.confirmLease(tableTimeout); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, machinesTimeout)
	defer cancel()
	return r.node.config.Machines.Report(ctx, wave, completed)
}

// saveWave records a wave's progress, on condition that this entry still holds the lease.
func (r *leadership) saveWave(wave int64, state *waveState) error {
	value, err := json.Marshal(state.row)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, machinesTimeout)
	defer cancel()
	_, err = r.node.config.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: leaseKey, Version: r.fence}},
		Writes:     []platform.Write{{Key: upkeepKey(wave), Value: value}},
	})
	return err
}
