package policytrial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/queue"
)

const (
	// Tick is the interval at which deadlines are checked.
	Tick = 100 * time.Millisecond
	// failTime is the run time of work on a broken worker.
	failTime = 5 * time.Millisecond
)

// Entry is one entry: its scheduler and the workers that it owns.
type Entry struct {
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
	entries []*Entry
	total   resource.Amount
	// Portions is the relative frequency of each team's arrivals. Events may change it.
	Portions []float64
	// Rate is the number of arrivals per second. Events may change it.
	Rate      float64
	items     int
	teams     map[string]int
	exchanges uint64
}

// New returns a trial that is ready to Run.
func New(setup Setup) *Trial {
	t := &Trial{setup: setup, start: time.Unix(0, 0), Rate: setup.arrivalsPerSecond(), total: capacity(setup.Workers)}
	t.rand = rand.New(rand.NewPCG(setup.Seed, 1))
	t.teams = make(map[string]int)
	for i, team := range setup.Teams {
		t.Portions = append(t.Portions, team.Portion)
		t.teams[team.Name] = i
	}
	t.addEntries()
	return t
}

// Run runs the trial to its end.
func (t *Trial) Run() {
	if t.setup.Backlog > 0 {
		t.fill()
	}
	for _, e := range t.setup.Events {
		t.schedule(e.At, func() { e.Do(t) })
	}
	t.schedule(0, t.arrive)
	t.schedule(Tick, t.tick)
	if t.setup.Exchange > 0 {
		t.schedule(t.setup.Exchange, t.exchange)
	}
	for t.now <= t.setup.Warmup+t.setup.Duration {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.do()
	}
}

func (t *Trial) addEntries() {
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
		t.entries = append(t.entries, &Entry{
			scheduler: t.setup.NewScheduler(config), workers: len(config.Workers),
			usage: make(map[string]resource.Amount), broken: make(map[int]bool),
		})
	}
}

// fill queues batches of work until at most half of a batch starts.
func (t *Trial) fill() {
	batch := t.setup.Backlog * len(t.entries)
	for started := batch; 2*started > batch; {
		for range batch {
			t.pushItem(t.newItem())
		}
		started = 0
		for _, e := range t.entries {
			started += t.dispatch(e)
		}
	}
}

func (t *Trial) arrive() {
	t.dispatch(t.pushItem(t.newItem()))
	gap := t.rand.ExpFloat64() / t.Rate
	t.schedule(t.now+time.Duration(gap*float64(time.Second)), t.arrive)
}

func (t *Trial) newItem() *queue.Item {
	k := &t.setup.Kinds[pick(t.rand, len(t.setup.Kinds), func(i int) float64 { return t.setup.Kinds[i].Portion })]
	team := t.setup.Teams[pick(t.rand, len(t.Portions), func(i int) float64 { return t.Portions[i] })]
	t.items++
	it := &queue.Item{ID: fmt.Sprint(t.items), Team: team.Name, Kind: k.Name, Urgent: k.Urgent, Amount: k.Amount, Enqueued: t.clock(), RunTime: k.RunTime, Value: k}
	if t.setup.RunTimeError > 1 {
		factor := math.Pow(t.setup.RunTimeError, 2*t.rand.Float64()-1)
		it.RunTime = time.Duration(float64(k.RunTime) * factor)
	}
	if k.Deadline > 0 {
		it.Deadline = t.clock().Add(k.Deadline)
	}
	return it
}

// pick returns a random index below n, weighted by portion.
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

func (t *Trial) pushItem(it *queue.Item) *Entry {
	e := t.entries[t.rand.IntN(len(t.entries))]
	if t.setup.Teams[t.teams[it.Team]].OneEntry {
		e = t.entries[0]
	}
	t.setup.Observer.Refused(e.scheduler.Push(t.clock(), it))
	return e
}

// dispatch starts all items that can start and returns their number.
func (t *Trial) dispatch(e *Entry) int {
	for started := 0; ; started++ {
		it, worker := e.scheduler.Next(t.clock())
		if it == nil {
			return started
		}
		t.startItem(e, it, worker)
	}
}

func (t *Trial) startItem(e *Entry, it *queue.Item, worker int) {
	e.scheduler.Started(t.clock(), it, worker)
	t.addUsage(e, it.Team, it.Amount)
	t.setup.Observer.Started(it)
	k := it.Value.(*Kind)
	ok := !e.broken[worker]
	runTime := time.Duration(t.rand.ExpFloat64() * float64(k.RunTime))
	switch {
	case !ok:
		runTime = failTime
	case k.RunTime == 0:
		return
	}
	t.schedule(t.now+runTime, func() { t.finishItem(e, it, worker, ok) })
}

func (t *Trial) finishItem(e *Entry, it *queue.Item, worker int, ok bool) {
	e.scheduler.Finished(t.clock(), it, worker, ok)
	t.addUsage(e, it.Team, it.Amount.Times(-1))
	t.setup.Observer.Finished(it, ok)
	t.dispatch(e)
}

func (t *Trial) tick() {
	for _, e := range t.entries {
		t.setup.Observer.Refused(e.scheduler.Expire(t.clock()))
		t.dispatch(e)
	}
	t.setup.Observer.Tick()
	t.schedule(t.now+Tick, t.tick)
}

// exchange sends every entry the usage of teams at the others.
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
	t.schedule(t.now+t.setup.Exchange, t.exchange)
}

func (t *Trial) addUsage(e *Entry, team string, amount resource.Amount) {
	t.setup.Observer.UsageChanging(t.teams[team])
	e.usage[team] = e.usage[team].Add(amount)
}

func (t *Trial) usage(team string) resource.Amount {
	var sum resource.Amount
	for _, e := range t.entries {
		sum = sum.Add(e.usage[team])
	}
	return sum
}

// EachWorker calls do for the first workers of every entry; part is their fraction.
func (t *Trial) EachWorker(part float64, do func(e *Entry, worker int)) {
	for _, e := range t.entries {
		for worker := range int(math.Round(part * float64(e.workers))) {
			do(e, worker)
		}
	}
}

func (t *Trial) clock() time.Time { return t.start.Add(t.now) }

func (t *Trial) schedule(when time.Duration, do func()) {
	t.items++
	heap.Push(&t.events, event{at: when, order: t.items, do: do})
}

// event is a function to call at a virtual time. order breaks ties.
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
