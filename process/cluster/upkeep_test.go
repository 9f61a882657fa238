package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/upkeep"
)

// simUpkeep is how long an upkeep takes in these tests.
const simUpkeep = 2 * time.Second

// simMachines is a service with a machine for each worker of a simulation. It checks each order
// against the tasks of a service that are at work.
type simMachines struct {
	w     *simulation
	waves []upkeep.Wave
	// total is the number of the service's tasks, of which mayMiss may be away.
	total, mayMiss int
	// lose is how many orders are carried out without a reply. killAt is the order, counted from 1, after
	// which its holder is killed before it has the reply; 0 for none.
	lose, killAt int
	down         map[string]bool
	// begun counts the orders that were carried out, by machine, and killed is the holder.
	begun  map[string]int
	killed string
	// completed is set once a wave has been reported as completed; broken are the orders that
	// ended too many tasks, most the largest number of machines that were down at once.
	completed bool
	broken    []string
	most      int
}

func (m *simMachines) Waves() []upkeep.Wave {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.waves
}

func (m *simMachines) List(ctx context.Context) ([]upkeep.Machine, error) {
	sleep(ctx, 5*time.Millisecond)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	var list []upkeep.Machine
	for i := range len(m.w.workers) {
		id := fmt.Sprintf("w%d", i)
		list = append(list, upkeep.Machine{Name: id, Worker: id, Up: !m.down[id], Down: m.down[id]})
	}
	return list, ctx.Err()
}

func (m *simMachines) Begin(ctx context.Context, order UpkeepOrder) error {
	sleep(ctx, 5*time.Millisecond)
	m.w.mu.Lock()
	lost := m.lose > 0
	m.lose = max(0, m.lose-1)
	if m.begun[order.Machine] == 0 {
		m.begin(order.Machine)
	}
	m.killAt--
	killed := m.killAt == 0
	if killed {
		m.killed = order.Holder
	}
	m.w.mu.Unlock()
	if killed {
		m.w.kill(order.Holder)
	}
	if lost || killed {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// begin takes a machine down, whose worker doesn't respond until it is back. The simulation's
// lock must be held.
func (m *simMachines) begin(machine string) {
	k := m.w.workers[machine]
	here := k.atWork()
	away := m.total - m.atWork()
	if here > 0 && away+here > m.mayMiss {
		m.broken = append(m.broken, fmt.Sprintf("%s: %d at work there, %d away", machine, here, away))
	}
	clear(k.running)
	m.down[machine] = true
	if m.begun == nil {
		m.begun = make(map[string]int)
	}
	m.begun[machine]++
	m.most = max(m.most, len(m.down))
	for name := range m.w.nodes {
		k.unreachableFrom[name] = true
	}
	time.AfterFunc(simUpkeep, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		delete(m.down, machine)
		clear(k.unreachableFrom)
	})
}

// atWork returns the number of tasks that are at work. The simulation's lock must be held.
func (m *simMachines) atWork() int {
	n := 0
	for _, k := range m.w.workers {
		n += k.atWork()
	}
	return n
}

func (k *worker) atWork() int {
	n := 0
	for _, began := range k.running {
		if k.percent(began) == 100 {
			n++
		}
	}
	return n
}

func (m *simMachines) Report(_ context.Context, _ int64, completed bool) error {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.completed = m.completed || completed
	return nil
}

// One task of a service may be missing, and the wave of upkeep that takes down the machines on
// which its tasks run allows three machines at once. Each order must count as missing what
// earlier ones have ended: orders of the same pass, of the pass before, whose worker is only
// silent yet, and orders without a reply. The wave must still complete.
func TestUpkeepCountsWhatItsOrdersTookDown(t *testing.T) {
	for lose := range 4 {
		simulate(t, 0, func(w *simulation) {
			w.addWorkers(6)
			for _, k := range w.workers {
				k.taskDuration, k.startup = time.Hour, time.Second
			}
			m := &simMachines{w: w, total: 4, mayMiss: 1, lose: lose, down: make(map[string]bool)}
			w.machines = m
			w.start("n0")
			w.awaitLeader(3*time.Second, "")
			service := testJob("service", m.total)
			service.Spec.Steps[0].LongRunning, service.Spec.Steps[0].MaxUnavailable, service.Spec.Steps[0].MaxPerWorker = true, m.mayMiss, 1
			assert.Equal(t, w.node("n0").Do(context.Background(), service).Result, ResultOK)
			time.Sleep(4 * time.Second)
			w.set(func() {
				assert.Equal(t, m.atWork(), m.total)
				m.waves = []upkeep.Wave{{Number: 1, Machines: []string{"w0", "w1", "w2", "w3", "w4", "w5"}, Within: 20 * time.Second, MaxDown: 3}}
			})
			time.Sleep(90 * time.Second)
			w.set(func() {
				assert.Equal(t, len(m.broken), 0, "%v", m.broken)
				assert.Assert(t, m.completed, "the wave hasn't completed")
				assert.Assert(t, m.most <= 3, "%d down at once", m.most)
				for _, k := range w.workers {
					clear(k.running)
				}
			})
			w.node("n0").Do(context.Background(), Call{Op: OpCancel, Queue: "q", Team: "crew", ID: "service"})
		})
	}
}

// A scheduler is killed after it has ordered the upkeep of a machine, before it has the reply and has
// recorded that. Its successor must give the machines that are left their upkeep, within the bounds
// of the wave and of a service there, and report the wave as completed only then.
func TestTakeoverWithinAWave(t *testing.T) {
	for killAt := 1; killAt <= 6; killAt++ {
		for _, tasks := range []int{0, 4} {
			simulate(t, 0, func(w *simulation) { playTakeoverWithinAWave(w, killAt, tasks) })
		}
	}
}

func playTakeoverWithinAWave(w *simulation, killAt, tasks int) {
	w.addWorkers(6)
	for _, k := range w.workers {
		k.taskDuration, k.startup = time.Hour, time.Second
	}
	m := &simMachines{w: w, total: tasks, mayMiss: 1, killAt: killAt, down: make(map[string]bool)}
	w.machines = m
	for i := range 3 {
		w.start(fmt.Sprintf("n%d", i))
	}
	w.awaitLeader(3*time.Second, "")
	if tasks > 0 {
		service := testJob("service", tasks)
		service.Spec.Steps[0].LongRunning, service.Spec.Steps[0].MaxUnavailable, service.Spec.Steps[0].MaxPerWorker = true, m.mayMiss, 1
		assert.Equal(w.t, w.node("n0").Do(context.Background(), service).Result, ResultOK)
	}
	time.Sleep(4 * time.Second)
	wave := upkeep.Wave{Number: 1, Machines: []string{"w0", "w1", "w2", "w3", "w4", "w5"}, Within: 20 * time.Second, MaxDown: 2}
	w.set(func() { m.waves = []upkeep.Wave{wave} })
	for began := time.Now(); time.Since(began) < 90*time.Second; time.Sleep(10 * time.Millisecond) {
		w.set(func() {
			assert.Assert(w.t, !m.completed || len(m.begun) == len(wave.Machines), "completed after %v", m.begun)
		})
	}
	w.set(func() {
		assert.Assert(w.t, m.killed != "", "no scheduler was killed")
		assert.Equal(w.t, len(m.broken), 0, "%v", m.broken)
		assert.Assert(w.t, m.completed, "the wave hasn't completed: %v", m.begun)
		assert.Assert(w.t, m.most <= wave.MaxDown, "%d down at once", m.most)
		for _, k := range w.workers {
			clear(k.running)
		}
	})
	w.other(m.killed).Do(context.Background(), Call{Op: OpCancel, Queue: "q", Team: "crew", ID: "service"})
}
