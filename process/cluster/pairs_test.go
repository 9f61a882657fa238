package cluster

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

var (
	pairSeeds = flag.Int("pair-seeds", 40, "number of seeds for the simulation of pairs of disruptions")
	pairFirst = flag.Int("pair-first", 1, "first seed")
)

// Size and times of a play of TestPairsOfDisruptions.
const (
	pairNodes   = 5
	pairJobs    = 30
	pairTraffic = 9 * time.Second
	// pairWorkerCPU is room for all lasting jobs on half of the workers.
	pairWorkerCPU = 8000
	// pairQuiet is how long a play goes on without disruptions before its end is checked. It is longer
	// than a lease, the timeouts of calls and the retry of a job set aside.
	pairQuiet = 25 * time.Second
	// relayingCores is so little that a scheduler lets other nodes send its commands.
	relayingCores = 0.004
)

// disruptions are the kinds of trouble that a play combines, by name.
var disruptions = map[string]func(p *pairPlay){
	"restart of the scheduler":         (*pairPlay).restartScheduler,
	"restart of all, no configuration": (*pairPlay).restartAll,
	"next incarnation of a worker":     (*pairPlay).restartWorker,
	"frozen relays":                    (*pairPlay).freezeRelays,
	"cancels beside a takeover":        (*pairPlay).cancelBesideTakeover,
	"held-up calls":                    (*pairPlay).holdUpCalls,
	"two takeovers in a row":           (*pairPlay).restartSuccessor,
	"restart of all in an outage":      (*pairPlay).restartAllInOutage,
}

// pairPlay is the state of one play.
type pairPlay struct {
	*simulation
	rand *rand.Rand
	// byMu guards the fields below.
	byMu sync.Mutex
	// outcomes are what clients were told of their jobs, by id.
	outcomes map[string]clientOutcome
}

// clientOutcome is what a client was told last of its job.
type clientOutcome int

const (
	outcomeUnknown clientOutcome = iota
	outcomeAccepted
	outcomeRefused
	outcomeCancelling
	outcomeCancelled
)

// Each kind of disruption alone, and all pairs of them, by seed. No task may run twice at once, or
// again after its end was acknowledged; a job that was refused never runs, one that was accepted
// completes, and one that was cancelled has ended for good.
func TestPairsOfDisruptions(t *testing.T) {
	names := make([]string, 0, len(disruptions))
	for name := range disruptions {
		names = append(names, name)
	}
	slices.Sort(names)
	for seed := *pairFirst; seed < *pairFirst+*pairSeeds; seed++ {
		first, second := names[seed%len(names)], names[seed/len(names)%len(names)]
		t.Run(fmt.Sprintf("%d %s, %s", seed, first, second), func(t *testing.T) {
			t.Parallel()
			playPair(t, uint64(seed), first, second)
		})
	}
}

// playPair plays two disruptions, or one if they are the same, beside clients.
func playPair(t *testing.T, seed uint64, first, second string) {
	simulate(t, 0, func(w *simulation) {
		p := &pairPlay{simulation: w, rand: rand.New(rand.NewPCG(seed, 17)), outcomes: make(map[string]clientOutcome)}
		w.workerCPU = pairWorkerCPU
		cores := []float64{1, relayingCores}[p.rand.IntN(2)]
		for i := range pairNodes {
			w.startSized(fmt.Sprintf("n%d", i), cores)
		}
		w.awaitLeader(5*time.Second, "")
		time.Sleep(time.Second)
		var clients, troubles sync.WaitGroup
		for i := range pairJobs {
			begin, order, lasting := p.within(pairTraffic), p.rand.Perm(pairNodes), i%6 == 0
			clients.Go(func() {
				time.Sleep(begin)
				p.submit(fmt.Sprintf("job%d", i), order, lasting)
			})
		}
		kinds := []string{first, second}
		for _, kind := range slices.Compact(kinds) {
			begin := p.within(pairTraffic * 2 / 3)
			troubles.Go(func() {
				time.Sleep(begin)
				disruptions[kind](p)
			})
		}
		troubles.Wait()
		clients.Wait()
		time.Sleep(pairQuiet)
		p.checkOutcomes()
	})
}

// within returns a random time below limit.
func (p *pairPlay) within(limit time.Duration) time.Duration {
	p.byMu.Lock()
	defer p.byMu.Unlock()
	return time.Duration(p.rand.Float64() * float64(limit))
}

func (p *pairPlay) setOutcome(id string, o clientOutcome) {
	p.byMu.Lock()
	defer p.byMu.Unlock()
	p.outcomes[id] = o
}

// submit hands a job in at up to three nodes, one after the other, until one of them accepts it or may
// have. The tasks of a lasting job run until it is cancelled.
func (p *pairPlay) submit(id string, order []int, lasting bool) {
	call := testJob(id, 1+len(id)%3)
	call.Spec.Steps[0].LongRunning = lasting
	if lasting {
		call.Spec.Steps[0].Estimate = 0
		id = lastingPrefix + id
		call.ID, call.Spec.ID = id, id
	}
	for _, node := range order[:3] {
		reply := p.do(node, call)
		switch {
		case reply.Result == ResultOK:
			p.setOutcome(id, outcomeAccepted)
			return
		case !reply.notRun():
			p.setOutcome(id, outcomeUnknown)
			return
		}
		p.setOutcome(id, outcomeRefused)
		time.Sleep(300 * time.Millisecond)
	}
}

// do makes a call at a node; a node that is down refuses the connection.
func (p *pairPlay) do(node int, call Call) Reply {
	n := p.node(fmt.Sprintf("n%d", node))
	if n == nil {
		return Reply{Result: ResultUnavailable}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	reply := n.Do(ctx, call)
	if p.node(n.config.Name) != n {
		// Its process ended before it could answer.
		return Reply{Result: ResultUnknown}
	}
	return reply
}

// restart starts a node again that was killed.
func (p *pairPlay) restart(name string) {
	p.mu.Lock()
	cores := relayingCores
	for _, n := range p.nodes {
		cores = n.config.Cores
	}
	p.refuse[name] = false
	p.mu.Unlock()
	p.startSized(name, cores)
}

func (p *pairPlay) restartScheduler() {
	leader := p.scheduler()
	p.kill(leader)
	time.Sleep(100*time.Millisecond + p.within(1500*time.Millisecond))
	p.restart(leader)
}

// restartAll restarts all nodes; none can read the configuration for some seconds.
func (p *pairPlay) restartAll() {
	p.mu.Lock()
	cores := relayingCores
	var names []string
	for name, n := range p.nodes {
		names = append(names, name)
		cores = n.config.Cores
	}
	p.mu.Unlock()
	slices.Sort(names)
	for _, name := range names {
		p.kill(name)
		p.set(func() { p.refuse[name], p.noCatalog[name] = false, true })
		p.startSized(name, cores)
	}
	time.Sleep(500*time.Millisecond + p.within(2*time.Second))
	p.set(func() { clear(p.noCatalog) })
}

// restartSuccessor kills the scheduler and then its successor, which may not have the lists of all
// workers yet.
func (p *pairPlay) restartSuccessor() {
	p.restartScheduler()
	p.scheduler()
	time.Sleep(p.within(500 * time.Millisecond))
	p.restartScheduler()
}

// restartAllInOutage restarts all nodes while the table gives no answer. The configuration comes back
// some time after the table.
func (p *pairPlay) restartAllInOutage() {
	p.set(func() {
		for name := range p.nodes {
			p.hang[name] = true
		}
	})
	time.Sleep(p.within(2 * time.Second))
	time.AfterFunc(500*time.Millisecond+p.within(2*time.Second), func() { p.set(func() { clear(p.hang) }) })
	p.restartAll()
}

func (p *pairPlay) restartWorker() {
	p.losePower(fmt.Sprintf("w%d", int(p.within(4))), 200*time.Millisecond+p.within(time.Second))
}

// freezeRelays freezes a node for some seconds before each start command that it sends; a worker
// loses power meanwhile.
func (p *pairPlay) freezeRelays() {
	name := fmt.Sprintf("n%d", int(p.within(pairNodes)))
	p.set(func() { p.pauses[name] = time.Second + time.Duration(len(p.rows)%4)*time.Second })
	time.Sleep(p.within(time.Second))
	p.restartWorker()
	time.Sleep(p.within(2 * time.Second))
	p.set(func() { delete(p.pauses, name) })
}

// cancelBesideTakeover cancels the lasting jobs, and kills the scheduler at about the time of the first
// acknowledgement.
func (p *pairPlay) cancelBesideTakeover() {
	p.byMu.Lock()
	var ids []string
	for id, o := range p.outcomes {
		if o == outcomeAccepted && strings.HasPrefix(id, lastingPrefix) {
			ids = append(ids, id)
		}
	}
	p.byMu.Unlock()
	slices.Sort(ids)
	var cancels sync.WaitGroup
	for _, id := range ids {
		p.setOutcome(id, outcomeCancelling)
		cancels.Go(func() { p.cancelJob(id) })
	}
	time.Sleep(p.within(40 * time.Millisecond))
	p.restartScheduler()
	cancels.Wait()
}

// cancelJob cancels a job at one node after the other until one acknowledges it.
func (p *pairPlay) cancelJob(id string) {
	for try := range 40 {
		if p.do(try%pairNodes, Call{Op: OpCancel, Queue: "q", Team: "crew", ID: id}).Result == ResultOK {
			p.setOutcome(id, outcomeCancelled)
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// holdUpCalls partitions the scheduler twice, while the table takes no writes but those of the lease.
// Another node takes over, and loses the table later. What was sent to the former scheduler arrives
// when it may have the lease again.
func (p *pairPlay) holdUpCalls() {
	for range 2 {
		former := p.scheduler()
		p.holdUp(former)
		p.set(func() { p.hang[former], p.leaseWritesOnly = true, true })
		time.Sleep(time.Second + p.within(2*time.Second))
		p.set(func() {
			for name := range p.nodes {
				p.hang[name] = name != former
			}
		})
		time.Sleep(time.Second + p.within(time.Second))
		p.set(func() { p.leaseWritesOnly = false })
		time.Sleep(p.within(time.Second))
		p.deliverHeldUp()
		p.set(func() { clear(p.hang) })
		time.Sleep(500*time.Millisecond + p.within(time.Second))
	}
}

// scheduler returns the node that schedules, once there is one; any node if there is none for long.
func (p *pairPlay) scheduler() string {
	for range 1000 {
		if leaders := p.leaders(); len(leaders) > 0 {
			return leaders[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	return "n0"
}

// checkOutcomes checks what has become of each job against what its client was told.
func (p *pairPlay) checkOutcomes() {
	p.t.Helper()
	leader := p.node(p.awaitLeader(5*time.Second, ""))
	ids := make([]string, 0, len(p.outcomes))
	for id := range p.outcomes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		state := leader.Do(context.Background(), Call{Op: OpState, Queue: "q", Team: "crew", ID: id})
		lasting := strings.HasPrefix(id, lastingPrefix)
		switch outcome := p.outcomes[id]; {
		case outcome == outcomeRefused:
			assert.Check(p.t, p.starts(id) == 0, "%s ran, all attempts were refused", id)
		case outcome == outcomeAccepted && lasting:
			assert.Check(p.t, state.State == cell.Running && p.running(id) > 0, "%s was accepted: %+v, %d run", id, state, p.running(id))
		case outcome == outcomeAccepted:
			assert.Check(p.t, state.State == cell.Completed, "%s was accepted: %+v", id, state)
		case outcome == outcomeCancelled:
			assert.Check(p.t, state.State == cell.Cancelled && p.running(id) == 0, "%s was cancelled: %+v, %d run", id, state, p.running(id))
		}
	}
}

// running returns how many tasks of a job run.
func (w *simulation) running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, k := range w.workers {
		k.expireLease()
		for key := range k.running {
			if strings.HasPrefix(key.Task, job+".") {
				count++
			}
		}
	}
	return count
}
