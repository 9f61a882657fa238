package cluster

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/events"
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

// The scheduler leaves while the standby that would act first is leaving too. The lease
// must go to another large entry: whichever entry read the lease row first took it,
// whatever its size.
func TestReleasedLeaseGoesToLargest(t *testing.T) {
	for large := 3; large <= 5; large++ {
		simulateFleet(t, large, 24, func(w *fleet) {
			for range 4 {
				leader := w.awaitLeader(2*time.Second, "")
				first := "n0"
				if leader == first {
					first = "n1"
				}
				go w.restart(first)
				time.Sleep(500 * time.Millisecond)
				w.restart(leader)
				next := w.awaitLeader(time.Second, "")
				assert.Equal(t, w.cores[next], largeCores, next)
				time.Sleep(7 * time.Second)
			}
		})
	}
}

// All entries are restarted one after the other, the scheduler first. A successor that is
// about to be restarted itself, or that is too small, costs callers a handover each.
func TestRollingRestartServesCalls(t *testing.T) {
	for _, gap := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 4 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			simulateFleet(t, 4, 14, func(w *fleet) {
				w.call(40 * time.Millisecond)
				w.restartAll(gap).Wait()
				time.Sleep(2 * time.Second)
				w.checkServed()
				assert.Equal(t, w.cores[w.awaitLeader(time.Second, "")], largeCores)
			})
		})
	}
}

// All entries are told to stop within two seconds, so that the first ones are back only
// when the last ones have left. Nobody may schedule in between for long.
func TestAllEntriesLeaveAtOnce(t *testing.T) {
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			simulateFleet(t, 4, 14, func(w *fleet) {
				w.call(40 * time.Millisecond)
				w.restartAll(gap).Wait()
				time.Sleep(2 * time.Second)
				w.checkServed()
			})
		})
	}
}

// A second round of restarts begins while the first one is under way, as when two
// operators roll out changes.
func TestOverlappingRestarts(t *testing.T) {
	simulateFleet(t, 4, 14, func(w *fleet) {
		w.call(40 * time.Millisecond)
		first := w.restartAll(200 * time.Millisecond)
		first.Wait()
		second := w.restartAll(100 * time.Millisecond)
		second.Wait()
		time.Sleep(2 * time.Second)
		w.checkServed()
	})
}

// The scheduler is the only large entry. It hands over to a small one rather than keep the
// lease until it is killed.
func TestLeavingSchedulerWithSmallStandbys(t *testing.T) {
	simulateFleet(t, 1, 5, func(w *fleet) {
		w.call(40 * time.Millisecond)
		w.restart("n0")
		w.checkServed()
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, w.leaders(), []string{"n0"})
	})
}

// SIGTERM arrives while the entry reads the cell, which takes longer than its process may
// live. Somebody must schedule soon: the entry must not keep the lease and read on until
// its process ends.
func TestSIGTERMWhileReadingCell(t *testing.T) {
	for _, scan := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		t.Run(scan.String(), func(t *testing.T) {
			simulateFleet(t, 2, 6, func(w *fleet) {
				leader := w.awaitLeader(time.Second, "")
				next := "n0"
				if leader == next {
					next = "n1"
				}
				w.simulation.mu.Lock()
				w.scanTime = scan
				w.simulation.mu.Unlock()
				w.kill(leader)
				for w.node(next).loadingFence() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(50 * time.Millisecond)
				w.simulation.mu.Lock()
				w.scanTime = 0
				w.simulation.mu.Unlock()
				began := time.Now()
				go w.terminate(next)
				w.awaitLeader(testLimits.Min+time.Second, "")
				time.Sleep(killAfter - time.Since(began))
				assert.Equal(t, len(w.leaders()), 1)
				w.awaitServed(time.Second)
			})
		})
	}
}

// Calls are in flight, on a table that takes a while, when the scheduler hands over. Each
// must be answered with its outcome: it isn't lost work, since the lease is held until the
// writes have ended.
func TestCallsInFlightAtHandover(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			simulateFleet(t, 2, 6, func(w *fleet) {
				w.simulation.mu.Lock()
				w.tableDelay = delay
				w.simulation.mu.Unlock()
				w.call(20 * time.Millisecond)
				time.Sleep(500 * time.Millisecond)
				w.restart(w.awaitLeader(time.Second, ""))
				w.stopCalls()
				assert.Equal(t, w.results[ResultUnknown], 0, "%v", w.reasons)
				// The release, the lease row and two pages of rows take six calls to the table.
				if 6*delay+2*pageTime < maxCallTime {
					assert.Equal(t, w.results[ResultOK], w.asked, "%v %v", w.results, w.reasons)
				}
				assert.Assert(t, w.slowest <= maxCallTime+handoverDrain+6*delay, "slowest %s", w.slowest)
			})
		})
	}
}

// A second SIGTERM, or a call of Leave beside the first one, must not end the process's
// part in the handover or repeat it.
func TestLeaveTwice(t *testing.T) {
	simulateFleet(t, 2, 6, func(w *fleet) {
		w.call(40 * time.Millisecond)
		leader := w.awaitLeader(time.Second, "")
		n := w.node(leader)
		ctx, cancel := context.WithTimeout(context.Background(), killAfter)
		defer cancel()
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				time.Sleep(time.Duration(i) * 300 * time.Millisecond)
				n.Leave(ctx)
				assert.Check(t, !n.Schedules())
			})
		}
		both.Wait()
		w.terminate(leader)
		w.checkServed()
	})
}

// The successor is told to stop while the scheduler hands over to it. The lease must not
// go to a small entry instead, which would need seconds to read the cell.
func TestSuccessorLeavesDuringHandover(t *testing.T) {
	for delay := time.Duration(0); delay < 150*time.Millisecond; delay += 10 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			simulateFleet(t, 3, 8, func(w *fleet) {
				w.simulation.mu.Lock()
				w.tableDelay = 30 * time.Millisecond
				w.simulation.mu.Unlock()
				leader := w.awaitLeader(time.Second, "")
				var others sync.WaitGroup
				for name, cores := range w.cores {
					if name != leader && cores == largeCores {
						others.Go(func() {
							time.Sleep(testLimits.Min + delay)
							w.restart(name)
						})
					}
				}
				w.call(20 * time.Millisecond)
				others.Go(func() { w.restart(leader) })
				small := 0
				for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(20 * time.Millisecond) {
					for _, name := range w.leaders() {
						if w.cores[name] == smallCores {
							small++
						}
					}
				}
				others.Wait()
				assert.Equal(t, small, 0)
				w.checkServed()
			})
		})
	}
}

// The scheduler is lost just after the other large entry has been restarted. The small
// ones, whose lists say that it leaves, must not go first.
func TestSmallEntryWaitsForRestartedOne(t *testing.T) {
	for delay := time.Duration(0); delay < 300*time.Millisecond; delay += 20 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			simulateFleet(t, 2, 8, func(w *fleet) {
				leader, other := w.awaitLeader(time.Second, ""), "n1"
				if leader == other {
					other = "n0"
				}
				w.restart(other)
				time.Sleep(delay)
				w.kill(leader)
				assert.Equal(t, w.awaitLeader(2*time.Second, leader), other)
			})
		})
	}
}

// All large entries are lost at once. A small one takes over, somewhat later.
func TestSmallEntryTakesOverFromLargeOnes(t *testing.T) {
	simulateFleet(t, 2, 8, func(w *fleet) {
		w.kill("n0")
		w.kill("n1")
		w.awaitLeader(unreachableAfterRefusal+smallDelay+time.Second, "")
	})
}

// The entry to which the lease is offered refuses, since it has been leaving for long. The
// scheduler must ask the next one, and keep scheduling meanwhile.
func TestRefusedOffer(t *testing.T) {
	simulateFleet(t, 3, 4, func(w *fleet) {
		leader := w.awaitLeader(time.Second, "")
		n := w.node(leader)
		var refusing string
		n.mu.Lock()
		staying, _ := n.candidatesLocked()
		n.mu.Unlock()
		refusing = staying[0].Name
		other := w.node(refusing)
		other.mu.Lock()
		other.leaving, other.leavingSince = true, time.Now().Add(-killAfter)
		other.mu.Unlock()
		assert.Assert(t, !n.offerLease(context.Background(), refusing))
		n.mu.Lock()
		staying, _ = n.candidatesLocked()
		n.mu.Unlock()
		assert.Assert(t, staying[0].Name != refusing)
		assert.Assert(t, n.offerLease(context.Background(), staying[0].Name))
		assert.DeepEqual(t, w.leaders(), []string{leader})
		n.Leave(context.Background())
		assert.Equal(t, w.cores[w.awaitLeader(time.Second, leader)], largeCores)
	})
}

// An entry that leaves must forward its callers' calls until its process ends, also after
// it has handed over.
func TestLeavingEntryForwardsCalls(t *testing.T) {
	simulateFleet(t, 2, 6, func(w *fleet) {
		leader := w.awaitLeader(time.Second, "")
		n := w.node(leader)
		ctx, cancel := context.WithTimeout(context.Background(), killAfter)
		defer cancel()
		n.Leave(ctx)
		w.awaitLeader(time.Second, leader)
		for range 40 {
			assert.Equal(t, w.pendingAt(n).Result, ResultOK)
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// The other entries hear of a new scheduler before it has begun to read the cell. A call
// that arrives in between must wait for the scheduler like a later one, rather than be
// refused and wait in vain for a change of scheduler.
func TestCallsFollowNewSchedulerAtOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) { callsFollow(t, delay) })
	}
}

// callsFollow checks that calls around handovers are served, with a table whose answers to
// writes arrive late: other entries read the new scheduler's name before it knows itself.
func callsFollow(t *testing.T, commitReplyDelay time.Duration) {
	simulateFleet(t, 2, 30, func(w *fleet) {
		w.simulation.mu.Lock()
		w.commitReplyDelay = commitReplyDelay
		w.simulation.mu.Unlock()
		for range 10 {
			leader := w.awaitLeader(time.Second, "")
			ended := make(chan struct{})
			var calls sync.WaitGroup
			for _, n := range w.all() {
				calls.Go(func() {
					for every := time.NewTicker(3 * time.Millisecond); ; <-every.C {
						select {
						case <-ended:
							return
						default:
						}
						reply := w.pendingAt(n)
						assert.Check(t, reply.Result == ResultOK, "%s: %+v", n.config.Name, reply)
					}
				})
			}
			w.node(leader).Leave(context.Background())
			time.Sleep(time.Second)
			close(ended)
			calls.Wait()
			w.terminate(leader)
			w.launch(leader)
			time.Sleep(3 * time.Second)
		}
	})
}

// writerFunc is an io.Writer.
type writerFunc func(line string)

func (f writerFunc) Write(p []byte) (int, error) {
	f(string(p))
	return len(p), nil
}

// The entries are notified of a new scheduler in the background, so their first calls may
// arrive as soon as the lease is acquired. It must not refuse them from then on.
func TestNewSchedulerAdmitsCallsFromAcquisition(t *testing.T) {
	simulate(t, 1, func(w *simulation) {
		n := w.other("")
		acquired := 0
		n.log = events.New(writerFunc(func(line string) {
			if strings.Contains(line, "KCL-7002") {
				acquired++
				assert.Check(t, n.loadingFence() != 0, "calls would be refused")
			}
		}), "n0")
		w.awaitLeader(2*time.Second, "")
		assert.Equal(t, acquired, 1)
	})
}

// The time to leave ends while the entry reads the cell, or while its turn of the election
// waits for a table that doesn't answer. Leave must return soon, and release the lease if
// the table takes it.
func TestLeaveEndsWithItsContext(t *testing.T) {
	for _, hang := range []bool{false, true} {
		simulateFleet(t, 2, 0, func(w *fleet) {
			leader := w.awaitLeader(time.Second, "")
			other := w.other(leader)
			w.simulation.mu.Lock()
			w.scanTime = 4 * time.Second
			w.simulation.mu.Unlock()
			w.kill(leader)
			for other.loadingFence() == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			w.setTableUnavailable(hang, true)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			began := time.Now()
			other.Leave(ctx)
			assert.Assert(t, time.Since(began) <= 300*time.Millisecond+releaseTimeout+leavePeriod, "%s", time.Since(began))
			assert.Assert(t, !other.Schedules())
			time.Sleep(100 * time.Millisecond)
			w.simulation.mu.Lock()
			defer w.simulation.mu.Unlock()
			released := string(w.rows[leaseKey].Value) == "{}"
			assert.Equal(t, released, !hang)
		})
	}
}
