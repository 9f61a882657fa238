package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// largeCores and smallCores are the sizes of entries in these tests.
	largeCores, smallCores = 0.8, 0.2
	// restartDelay is how long after its end a process starts again.
	restartDelay = 600 * time.Millisecond
	// processLife is the shortest time from SIGTERM to the end of a process, and killAfter
	// the longest.
	processLife = 2 * time.Second
	killAfter   = 6 * time.Second
	// pageTime is how long the table takes for a page of rows.
	pageTime = 150 * time.Millisecond
	// maxCallTime is how long a call may take around a planned restart while an entry can
	// schedule.
	maxCallTime = time.Second
)

// testLimits are the limits of entries that leave in these tests.
var testLimits = LeaveLimits{Min: 900 * time.Millisecond, Hold: 3300 * time.Millisecond, Final: 4300 * time.Millisecond}

// fleet is a simulation of entries of two sizes with callers.
type fleet struct {
	*simulation
	cores map[string]float64

	mu sync.Mutex
	// busy counts the calls in progress at an entry. A closed entry takes no further ones.
	busy   map[string]*sync.WaitGroup
	closed map[string]bool
	// results counts the answers; slowest is the longest call.
	results map[Result]int
	reasons map[string]int
	slowest time.Duration
	asked   int
	callers sync.WaitGroup
	stopped bool
}

// simulateFleet runs f with entries of the given sizes and a caller that submits a job each
// 40 ms at one of them in turn.
func simulateFleet(t *testing.T, large, small int, f func(w *fleet)) {
	simulate(t, 0, func(s *simulation) {
		w := &fleet{
			simulation: s, cores: make(map[string]float64), busy: make(map[string]*sync.WaitGroup), closed: make(map[string]bool),
			results: make(map[Result]int), reasons: make(map[string]int),
		}
		for i := range large + small {
			name := fmt.Sprintf("n%d", i)
			w.cores[name] = smallCores
			if i < large {
				w.cores[name] = largeCores
			}
			w.launch(name)
		}
		w.awaitLeader(2*time.Second, "")
		w.simulation.mu.Lock()
		w.scanTime = pageTime
		w.simulation.mu.Unlock()
		time.Sleep(2 * time.Second)
		f(w)
	})
}

func (w *fleet) launch(name string) {
	w.startSized(name, w.cores[name])
	w.simulation.mu.Lock()
	w.nodes[name].SetTimings(Timings{Lease: 4 * time.Second, KeepEnded: time.Minute, Leave: testLimits})
	w.refuse[name] = false
	w.simulation.mu.Unlock()
	w.mu.Lock()
	w.busy[name] = &sync.WaitGroup{}
	w.closed[name] = false
	w.mu.Unlock()
}

// loadingFence returns the fencing token of the leadership whose cell is being read, or 0.
func (n *Node) loadingFence() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loading
}

// node returns a live entry.
func (w *fleet) node(name string) *Node {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	return w.nodes[name]
}

// terminate makes an entry leave as at SIGTERM, and returns when its process has ended.
func (w *fleet) terminate(name string) {
	n := w.node(name)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), killAfter)
	defer cancel()
	n.Leave(ctx)
	time.Sleep(processLife - time.Since(began))
	if n.Schedules() || n.loadingFence() != 0 {
		w.t.Errorf("the process of %s ends while it holds the lease, %s after its SIGTERM", name, time.Since(began))
	}
	w.mu.Lock()
	busy := w.busy[name]
	w.closed[name] = true
	w.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		busy.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(killAfter - time.Since(began)):
	}
	w.kill(name)
}

// restart terminates an entry and starts it again.
func (w *fleet) restart(name string) {
	w.terminate(name)
	time.Sleep(restartDelay)
	w.launch(name)
}

// restartAll restarts the scheduler first and then all others, one each gap.
func (w *fleet) restartAll(gap time.Duration) *sync.WaitGroup {
	var done sync.WaitGroup
	first := w.awaitLeader(time.Second, "")
	order := []string{first}
	for i := range len(w.cores) {
		// Entries of all sizes are mixed.
		if name := fmt.Sprintf("n%d", (i*7+3)%len(w.cores)); name != first {
			order = append(order, name)
		}
	}
	for i, name := range order {
		done.Add(1)
		go func() {
			defer done.Done()
			time.Sleep(time.Duration(i) * gap)
			w.restart(name)
		}()
	}
	return &done
}

// pick returns the entry that the balancer sends the next call to: a ready one if there is
// one, else any that is up. It counts the call as in progress there.
func (w *fleet) pick(turn int) (*Node, *sync.WaitGroup) {
	w.simulation.mu.Lock()
	defer w.simulation.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	var name string
	for i := range len(w.cores) {
		candidate := fmt.Sprintf("n%d", (turn+i)%len(w.cores))
		n := w.nodes[candidate]
		if n == nil || w.closed[candidate] {
			continue
		}
		if name == "" || n.Ready() {
			name = candidate
		}
		if n.Ready() {
			break
		}
	}
	if name == "" {
		return nil, nil
	}
	w.busy[name].Add(1)
	w.asked++
	return w.nodes[name], w.busy[name]
}

// call submits jobs until stopCalls.
func (w *fleet) call(every time.Duration) {
	w.callers.Go(func() {
		for turn := 0; !w.callsStopped(); turn++ {
			time.Sleep(every)
			n, busy := w.pick(turn)
			if n == nil {
				continue
			}
			w.callers.Go(func() {
				defer busy.Done()
				w.submit(n, fmt.Sprintf("call%d", turn))
			})
		}
	})
}

func (w *fleet) callsStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

func (w *fleet) submit(n *Node, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	job := testJob(id, 1)
	job.Spec.Policy.Target = time.Hour
	began := time.Now()
	reply := n.Do(ctx, job)
	took := time.Since(began)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[reply.Result]++
	if reply.Result != ResultOK {
		w.reasons[reply.Reason]++
	}
	w.slowest = max(w.slowest, took)
}

// stopCalls ends the callers and waits for their answers.
func (w *fleet) stopCalls() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.callers.Wait()
}

// checkServed fails the test unless every call was answered with success in time.
func (w *fleet) checkServed() {
	w.t.Helper()
	w.stopCalls()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(w.t, w.results[ResultOK], w.asked, "%v %v, slowest %s", w.results, w.reasons, w.slowest)
	assert.Assert(w.t, w.slowest <= maxCallTime, "slowest %s", w.slowest)
}
