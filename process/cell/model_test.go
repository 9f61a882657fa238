package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

var (
	modelSeeds = flag.Int("model-seeds", 150, "how many seeds the model of a cell under faults plays")
	modelFirst = flag.Int("model-first", 1, "the first of them")
)

// Sizes of the model. It is played long enough after the last fault for every job
// to end.
const (
	modelWorkers = 10
	modelTraffic = 9 * time.Second
	modelFaults  = 11 * time.Second
	modelLength  = 80 * time.Second
)

// Random troubles, two to five at a time, over a small fleet with every kind of
// work: schedulers are replaced, the table is down, slow or loses answers, orders
// come late, workers crash, leave, are cut off, hang and fail. Every rule is held at
// every start, and in the end every accepted job has ended as it must.
func TestRandomTroubles(t *testing.T) {
	for seed := *modelFirst; seed < *modelFirst+*modelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playModel(t, uint64(seed))
		})
	}
}

func playModel(t *testing.T, seed uint64) {
	queues, kinds := fakeQueues()
	w := newSimulation(t, seed, modelWorkers, 3, queues, nil)
	m := &model{simulation: w, rand: rand.New(rand.NewPCG(seed, 11))}
	for i := range kinds {
		kinds[i].perS *= 0.12
	}
	kinds[0].count = 3
	w.varyJob, w.halfAllowed = m.shape, true
	w.play(kinds, modelTraffic, steady)
	m.cancelSome()
	for range 2 + m.rand.IntN(4) {
		m.trouble()
	}
	w.run(modelLength)
	m.check()
}

// model adds troubles to a simulation.
type model struct {
	*simulation
	rand *rand.Rand
	// unsound is set once workers fail tasks by their own fault, so that jobs may fail.
	unsound bool
}

// shape varies a job: more steps, checkpoints, bounds a worker, hopeless ones.
func (m *model) shape(j *fakeJob) {
	steps := &j.spec.Steps
	(*steps)[0].Checkpointing = m.rand.IntN(2) == 0
	if m.rand.IntN(3) == 0 {
		second := (*steps)[0]
		second.After = []int{0}
		if m.rand.IntN(4) == 0 {
			second.Gang, second.Count = !second.Gang, min(second.Count, 3)
		}
		*steps = append(*steps, second)
		j.times = append(j.times, j.times[0][:second.Count])
	}
	if m.rand.IntN(8) == 0 && !(*steps)[0].Gang {
		(*steps)[0].MaxPerWorker = 2
	}
	j.endless = m.rand.IntN(25) == 0
}

// at returns a moment in which troubles come.
func (m *model) at() time.Duration {
	return time.Duration(m.rand.Float64() * float64(modelFaults))
}

func (m *model) worker() *fakeWorker { return m.workers[m.order[m.rand.IntN(len(m.order))]] }

// length is how long a trouble lasts.
func (m *model) length() time.Duration {
	return time.Duration((0.5 + 6*m.rand.Float64()) * float64(time.Second))
}

// cancelSome lets clients cancel a few jobs.
func (m *model) cancelSome() {
	for range 4 {
		m.after(m.at(), func() {
			for _, id := range m.jobOrder {
				j := m.jobs[id]
				if j.accepted && j.done.IsZero() && j.cancelled.IsZero() && !j.cancelling {
					j.cancelling = true
					m.cancel(j)
					return
				}
			}
		})
	}
}

// cancel asks until the cancelling is answered, as clients do.
func (m *model) cancel(j *fakeJob) {
	answer := m.cell.Cancel(m.now, j.spec.ID, func(how Recorded) {
		if how == RecordedYes && j.cancelled.IsZero() {
			j.cancelled = m.now
		}
	})
	if answer == CancelDone {
		j.cancelled = m.now
	}
	m.applyActions()
	m.after(700*time.Millisecond, func() {
		if j.cancelled.IsZero() {
			m.cancel(j)
		}
	})
}

// trouble lets one trouble come.
func (m *model) trouble() {
	at, long := m.at(), m.length()
	f := m.worker()
	during := func(set func(on bool)) {
		m.after(at, func() { set(true) })
		m.after(at+long, func() { set(false) })
	}
	switch m.rand.IntN(13) {
	case 0:
		m.after(at, m.takeover)
	case 1:
		m.after(at, m.takeover)
		m.after(at+long/4, m.takeover)
	case 2:
		during(func(on bool) { m.tableDown = on })
	case 3:
		during(func(on bool) { m.tableDelay = map[bool]time.Duration{true: 300 * time.Millisecond}[on] })
	case 4:
		during(func(on bool) { m.lostReplies = map[bool]float64{true: 0.4}[on] })
	case 5:
		m.lateOrders(during)
	case 6:
		m.after(at, func() { m.crash(f.id, long) })
	case 7:
		m.after(at, func() { m.crash(f.id, 0) })
	case 8:
		m.after(at, func() { m.drain(f.id, 2*time.Second+long/3) })
	case 9:
		during(func(on bool) { f.partitioned = on })
	case 10:
		during(func(on bool) { f.hang = on })
	case 11:
		m.unsound = true
		during(func(on bool) { f.fails = on })
	case 12:
		during(func(on bool) { m.lostAdvice = map[bool]float64{true: 0.5}[on] })
	}
}

// lateOrders lets a part of the orders go unanswered and be carried out late.
func (m *model) lateOrders(during func(func(bool))) {
	during(func(on bool) {
		m.dropStart, m.lostStops = nil, 0
		if on {
			m.lostStops = 0.3
			m.dropStart = func(StartOrder) (bool, time.Duration) {
				return m.rand.IntN(5) == 0, time.Duration(m.rand.IntN(2500)) * time.Millisecond
			}
		}
	})
}

// check holds the end of the day to the rules.
func (m *model) check() {
	for _, id := range m.jobOrder {
		j := m.jobs[id]
		if !j.accepted {
			continue
		}
		state, _, _, ok := m.cell.StateOf(id)
		switch {
		case !ok:
			m.violate("LOST %s is not known", id)
		case state == Cancelled && !j.cancelling, state == Failed && !j.endless && !m.unsound, state == Completed && j.endless:
			m.violate("LOST %s is %s without cause", id, state)
		case !state.Ended():
			m.violate("LOST %s is %s in the end, %s", id, state, m.describe(id))
		case state == Completed:
			m.checkDone(j)
		}
	}
	for _, id := range m.order {
		if c := m.cell.workers[id]; c != nil && len(c.runs) > 0 {
			m.violate("%s holds %d runs in the end", id, len(c.runs))
		}
	}
	for team, used := range m.cell.usage {
		if used != (resource.Amount{}) {
			m.violate("team %s uses %+v in the end", team, used)
		}
	}
	assert.Equal(m.t, len(m.violations), 0, "%v", m.violations)
}

// checkDone holds a completed job to its tasks' ends.
func (m *model) checkDone(j *fakeJob) {
	for i, s := range j.spec.Steps {
		for n := range s.Count {
			if task := fmt.Sprintf("%s.0.%d.%d", j.spec.ID, i, n); !m.doneEver[task] {
				m.violate("MIXED %s is completed without %s", j.spec.ID, task)
			}
		}
	}
}

// describe tells why a job hasn't ended.
func (m *model) describe(id string) string {
	job := m.cell.jobs[id]
	for _, o := range job.occs {
		for _, s := range o.steps {
			if s.done < len(s.tasks) && s.ready() {
				return fmt.Sprintf("%s: %d of %d done, gang %t, %s", s.name(), s.done, len(s.tasks), s.spec.Gang, m.cell.whyWaits(m.now, s))
			}
		}
	}
	return fmt.Sprintf("%d live runs", job.live)
}
