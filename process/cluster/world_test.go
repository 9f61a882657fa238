package cluster

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
	"github.com/kingcuplatch/kingcuplatch/process/events"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version/catalog"
)

// world is several nodes, a table and workers in virtual time.
type world struct {
	t *testing.T

	mu      sync.Mutex
	nodes   map[string]*Node
	stops   map[string]context.CancelFunc
	ended   sync.WaitGroup
	rows    map[string]platform.Row
	version uint64
	// refuse makes the table turn a node away; silent lets its calls hang.
	refuse map[string]bool
	silent map[string]bool
	// slow is how long every call of the table takes.
	slow time.Duration
	// lane, if not nil, lets writes be done one after the other, whether somebody still
	// waits for them or not.
	lane chan struct{}
	// scanTakes is added to each reading of a range.
	scanTakes time.Duration
	// loseAnswers loses the answers of so many writes, which are done lateBy after.
	loseAnswers int
	lateBy      time.Duration
	// commits counts the writes that were sent.
	commits int
	// cut links between nodes, by "from>to".
	cut     map[string]bool
	workers map[string]*worker
}

// worldStart is when the bubble's clock begins.
var worldStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// inWorld runs f with n nodes in a bubble of virtual time.
func inWorld(t *testing.T, n int, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, nodes: make(map[string]*Node), stops: make(map[string]context.CancelFunc), rows: make(map[string]platform.Row),
			refuse: make(map[string]bool), silent: make(map[string]bool), cut: make(map[string]bool),
			workers: make(map[string]*worker), slow: 10 * time.Millisecond,
		}
		for i := range 4 {
			w.workers[fmt.Sprintf("w%d", i)] = &worker{
				running: make(map[cell.RunKey]time.Time), starts: make(map[string]int), takes: time.Second,
				wake: make(chan struct{}), silentTo: make(map[string]bool),
			}
		}
		for i := range n {
			w.start(fmt.Sprintf("n%d", i))
		}
		defer w.stopAll()
		f(w)
	})
}

// stopAll ends the nodes and what workers still run.
func (w *world) stopAll() {
	w.mu.Lock()
	for _, stop := range w.stops {
		stop()
	}
	w.mu.Unlock()
	w.ended.Wait()
	time.Sleep(20 * time.Second)
}

// start runs a new life of the node.
func (w *world) start(name string) { w.startSized(name, 1) }

// startSized runs a new life of a node that has so many cores.
func (w *world) startSized(name string, cores float64) {
	n := NewNode(Config{
		Name: name, Cores: cores, Address: name, Incarnation: name + time.Now().String(),
		Timings: Timings{Lease: 4 * time.Second, KeepEnded: time.Minute},
		Table:   &nodeTable{w, name}, Directory: w, Catalogs: worldCatalogs{w}, Workers: &nodeWorkers{w, name}, Advisor: w,
		Peers: &nodePeers{w, name}, Log: events.New(io.Discard, name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.nodes[name] = n
	w.stops[name] = cancel
	w.mu.Unlock()
	w.ended.Add(1)
	go func() {
		defer w.ended.Done()
		n.Run(ctx)
	}()
}

// kill ends a node's process: nothing it has under way is heard any more.
func (w *world) kill(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops[name]()
	delete(w.nodes, name)
	w.refuse[name] = true
}

// leaders returns the nodes that believe they schedule.
func (w *world) leaders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, n := range w.nodes {
		if n.Schedules() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// awaitLeader waits until a node other than not schedules, and returns its name.
func (w *world) awaitLeader(within time.Duration, not string) string {
	w.t.Helper()
	for began := time.Now(); time.Since(began) < within; time.Sleep(10 * time.Millisecond) {
		for _, name := range w.leaders() {
			if name != not {
				return name
			}
		}
	}
	w.t.Fatalf("no scheduler but %q after %s", not, within)
	return ""
}

// other returns a node that isn't the named one.
func (w *world) other(name string) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range len(w.nodes) + 1 {
		if n := w.nodes[fmt.Sprintf("n%d", i)]; n != nil && n.config.Name != name {
			return n
		}
	}
	return nil
}

func testJob(id string, tasks int) Call {
	return Call{Op: OpSubmit, Queue: "q", Team: "crew", ID: id, Spec: &cell.JobSpec{
		ID: id, Queue: "q", Team: "crew", Upstream: "desk", Policy: catalog.Policy{MaxAttempts: 3, Stretch: 3, Target: time.Second},
		Steps: []cell.StepSpec{{Count: tasks, Need: resource.Amount{MilliCPU: 1000}, Estimate: time.Second}},
	}}
}

// Follow implements Directory.
func (w *world) Follow(ctx context.Context, take func([]cell.WorkerInfo)) {
	var list []cell.WorkerInfo
	for i := range 4 {
		id := fmt.Sprintf("w%d", i)
		list = append(list, cell.WorkerInfo{ID: id, Upstream: "desk", Address: id, Capacity: resource.Amount{MilliCPU: 4000}})
	}
	take(list)
	<-ctx.Done()
}

// Advise implements Advisor; the queue of these tests needs no advice.
func (w *world) Advise(context.Context, string, []string) ([]cell.Ticket, error) { return nil, nil }
