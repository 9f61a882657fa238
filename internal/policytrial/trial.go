package policytrial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

const (
	// tick is how often deadlines are checked and usage is sampled.
	tick = 100 * time.Millisecond
	// failTime is how long work runs on a broken worker.
	failTime = 5 * time.Millisecond
)

// entry is one queue and the workers that it owns.
type entry struct {
	scheduler Scheduler
	workers   int
	usage     map[string]resource.Amount
	broken    map[int]bool
}

// Trial is a run in progress.
type Trial struct {
	setup   Setup
	rand    *rand.Rand
	start   time.Time
	now     time.Duration
	events  eventHeap
	entries []*entry
	total   resource.Amount
	// Portions is each team's part of arrivals; events may change it.
	Portions []float64
	// Rate is arrivals a second; events may change it.
	Rate      float64
	items     int
	result    *recorder
	exchanges uint64
}

// Run runs the trial.
func Run(setup Setup) Result {
	t := &Trial{setup: setup, start: time.Unix(0, 0), Rate: setup.arrivalsPerSecond(), total: capacity(setup.Workers)}
	t.rand = rand.New(rand.NewPCG(setup.Seed, 1))
	t.result = newRecorder(t)
	for _, team := range setup.Teams {
		t.Portions = append(t.Portions, team.Portion)
	}
	t.addEntries()
	if setup.Full {
		t.fill()
	}
	for _, e := range setup.Events {
		t.at(e.At, func() { e.Do(t) })
	}
	t.at(0, t.arrive)
	t.at(tick, t.tick)
	if setup.Exchange > 0 {
		t.at(setup.Exchange, t.exchange)
	}
	for t.now <= setup.Warmup+setup.Duration {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.do()
	}
	return t.result.result()
}

func (t *Trial) addEntries() {
	newScheduler := t.setup.NewScheduler
	if newScheduler == nil {
		newScheduler = NewOwn
	}
	var teams []queue.Team
	for _, team := range t.setup.Teams {
		teams = append(teams, team.Team)
	}
	n := max(1, t.setup.Entries)
	for i := range n {
		config := SchedulerConfig{Total: t.total, Teams: teams, QueueLimit: t.setup.QueueLimit, Rand: rand.New(rand.NewPCG(t.setup.Seed, uint64(i)+2))}
		for w := i; w < len(t.setup.Workers); w += n {
			config.Workers = append(config.Workers, t.setup.Workers[w])
		}
		t.entries = append(t.entries, &entry{
			scheduler: newScheduler(config), workers: len(config.Workers),
			usage: make(map[string]resource.Amount), broken: make(map[int]bool),
		})
	}
}

// fill queues work until the fleet is full.
func (t *Trial) fill() {
	for started := 1; started > 0; {
		started = t.result.started
		for range t.setup.QueueLimit / 2 * len(t.entries) {
			t.push(t.newItem())
		}
		for _, e := range t.entries {
			t.dispatch(e)
		}
		started = t.result.started - started
	}
}

func (t *Trial) arrive() {
	t.dispatch(t.push(t.newItem()))
	gap := t.rand.ExpFloat64() / t.Rate
	t.at(t.now+time.Duration(gap*float64(time.Second)), t.arrive)
}

func (t *Trial) newItem() *queue.Item {
	k := &t.setup.Kinds[pick(t.rand, len(t.setup.Kinds), func(i int) float64 { return t.setup.Kinds[i].Portion })]
	team := t.setup.Teams[pick(t.rand, len(t.Portions), func(i int) float64 { return t.Portions[i] })]
	t.items++
	it := &queue.Item{ID: fmt.Sprint(t.items), Team: team.Name, Kind: k.Name, Urgent: k.Urgent, Amount: k.Amount, Enqueued: t.clock(), RunTime: k.RunTime, Value: k}
	if t.setup.WrongBy > 1 {
		off := math.Pow(t.setup.WrongBy, 2*t.rand.Float64()-1)
		it.RunTime = time.Duration(float64(k.RunTime) * off)
	}
	if k.Deadline > 0 {
		it.Deadline = t.clock().Add(k.Deadline)
	}
	return it
}

// pick draws an index by portion.
func pick(r *rand.Rand, n int, portion func(int) float64) int {
	var sum float64
	for i := range n {
		sum += portion(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= portion(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func (t *Trial) push(it *queue.Item) *entry {
	e := t.entries[t.rand.IntN(len(t.entries))]
	t.result.refuse(e.scheduler.Push(t.clock(), it))
	return e
}

func (t *Trial) dispatch(e *entry) {
	for {
		it, worker := e.scheduler.Next(t.clock())
		if it == nil {
			return
		}
		t.begin(e, it, worker)
	}
}

func (t *Trial) begin(e *entry, it *queue.Item, worker int) {
	e.scheduler.Started(t.clock(), it, worker)
	t.use(e, it.Team, it.Amount)
	t.result.start(it)
	k := it.Value.(*Kind)
	ok := !e.broken[worker]
	runTime := time.Duration(t.rand.ExpFloat64() * float64(k.RunTime))
	switch {
	case !ok:
		runTime = failTime
	case k.RunTime == 0:
		return
	}
	t.at(t.now+runTime, func() { t.finish(e, it, worker, ok) })
}

func (t *Trial) finish(e *entry, it *queue.Item, worker int, ok bool) {
	e.scheduler.Finished(t.clock(), it, worker, ok)
	t.use(e, it.Team, it.Amount.Times(-1))
	t.result.finish(it, ok)
	t.dispatch(e)
}

func (t *Trial) tick() {
	for _, e := range t.entries {
		t.result.refuse(e.scheduler.Expire(t.clock()))
		t.dispatch(e)
	}
	t.result.sample()
	t.at(t.now+tick, t.tick)
}

// exchange tells every entry what teams used at the others.
func (t *Trial) exchange() {
	t.exchanges++
	for i, from := range t.entries {
		totals := from.scheduler.Totals(t.clock())
		for _, to := range t.entries {
			if to != from {
				to.scheduler.SetPeerTotals(t.clock(), fmt.Sprint(i), t.exchanges, totals)
			}
		}
	}
	t.at(t.now+t.setup.Exchange, t.exchange)
}

func (t *Trial) use(e *entry, team string, amount resource.Amount) {
	t.result.integrate(slices.IndexFunc(t.setup.Teams, func(other Team) bool { return other.Name == team }))
	e.usage[team] = e.usage[team].Add(amount)
}

func (t *Trial) usage(team string) resource.Amount {
	var sum resource.Amount
	for _, e := range t.entries {
		sum = sum.Add(e.usage[team])
	}
	return sum
}

// Close closes a part of the workers of every entry for new work.
func (t *Trial) Close(part float64) {
	t.eachWorker(part, func(e *entry, worker int) { e.scheduler.SetClosed(worker, true) })
}

// Break makes a part of the workers of every entry fail all that they start.
func (t *Trial) Break(part float64) {
	t.eachWorker(part, func(e *entry, worker int) { e.broken[worker] = true })
}

func (t *Trial) eachWorker(part float64, do func(*entry, int)) {
	for _, e := range t.entries {
		for worker := range int(math.Round(part * float64(e.workers))) {
			do(e, worker)
		}
	}
}

func (t *Trial) clock() time.Time { return t.start.Add(t.now) }

func (t *Trial) at(when time.Duration, do func()) {
	t.items++
	heap.Push(&t.events, event{at: when, order: t.items, do: do})
}

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
