package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var shape = resource.Amount{Running: 100, MilliCPU: 30000, MemoryMB: 64000, Slots: 8}

// fleetOf returns n workers, 8 to a rack and in 3 failure domains, every fifth with 8
// accelerators.
func fleetOf(n int) []Candidate {
	workers := make([]Candidate, n)
	for i := range workers {
		capacity := shape
		if i%5 == 0 {
			capacity.Accelerators = 8
		}
		workers[i] = Candidate{
			Worker: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i/8), FailureDomain: fmt.Sprint("d", i/8%3),
			Upstream: "records", Capacity: capacity, Free: capacity,
		}
	}
	return workers
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// list is a Fleet without an index.
type list []Candidate

func (l list) Len() int           { return len(l) }
func (l list) At(i int) Candidate { return l[i] }

// After any sequence of updates, the index finds a worker exactly if a scan of all
// workers finds one, and the worker accepts the ask.
func TestIndexAgreesWithScan(t *testing.T) {
	policies := []version.Policy{version.PolicyRequest, version.PolicyService, version.PolicyBatch}
	rapid.Check(t, func(t *rapid.T) {
		rng := newRand()
		ix := NewIndex(fleetOf(rapid.IntRange(1, 40).Draw(t, "workers")))
		for step := range rapid.IntRange(1, 300).Draw(t, "steps") {
			if step%50 == 49 && ix.Len() > 1 {
				ix.Remove(rng.IntN(ix.Len()))
			}
			if step%20 == 19 {
				ix.SetClosed(rng.IntN(ix.Len()), rng.IntN(2) == 0)
			}
			ask := Ask{Policy: rapid.SampledFrom(policies).Draw(t, "policy"), Avoid: []string{"w1"}, SpareAccelerators: max(0, rapid.Int64Range(-3, 5).Draw(t, "spare")), Amount: resource.Amount{
				Running:  1,
				MilliCPU: rapid.Int64Range(0, 9000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 20000).Draw(t, "memory"),
				Accelerators: max(0, rapid.Int64Range(-9, 3).Draw(t, "accelerators")), Slots: rapid.Int64Range(0, 2).Draw(t, "slots"),
			}}
			i, reason := Choose(ask, ix, rng)
			j, _ := scan(&ask, ix)
			assert.Equal(t, i == none, j == none, "%s", reason)
			assert.Equal(t, reason.Chosen, i != none)
			if i == none {
				continue
			}
			assert.Assert(t, ask.acceptedBy(&ix.workers[i]))
			assert.Equal(t, ix.positions[ix.workers[i].Worker], i)
			ix.Allocate(i, ask.Amount)
		}
	})
}

// Work without accelerators must not fragment the workers that have them: all-at-once
// tasks that need all accelerators of a worker could then never start.
func TestWholeAcceleratorWorkersStayFree(t *testing.T) {
	ix := NewIndex(fleetOf(50))
	rng := newRand()
	task := Ask{Policy: version.PolicyBatch, Amount: resource.Amount{Running: 1, MilliCPU: 3000, MemoryMB: 6000}}
	for range 400 {
		i, _ := Choose(task, ix, rng)
		assert.Equal(t, ix.At(i).Capacity.Accelerators, int64(0))
		ix.Allocate(i, task.Amount)
	}
	for i, _ := Choose(task, ix, rng); i != none; i, _ = Choose(task, ix, rng) {
		ix.Allocate(i, task.Amount)
		if ix.At(i).Capacity.Accelerators > 0 {
			ix.Release(i, task.Amount)
			task.SpareAccelerators = 1
		}
	}
	assert.Equal(t, task.SpareAccelerators, int64(1))
	whole := Ask{Policy: version.PolicyAllAtOnce, Amount: resource.Amount{Running: 1, Accelerators: 8}}
	plan, _ := ChooseAll(whole, 10, ix, rng)
	assert.Equal(t, len(plan), 10)
	plan, reason := ChooseAll(whole, 11, ix, rng)
	assert.Equal(t, len(plan), 0)
	d, _ := reason.Dimension()
	assert.Equal(t, d, resource.Accelerators)
	assert.DeepEqual(t, ix.At(0).Free, ix.At(0).Capacity)
}

// Tasks of a service must be spread evenly over failure domains and racks.
func TestServiceSpreads(t *testing.T) {
	ix := NewIndex(fleetOf(48))
	racks, domains := make(map[string]int), make(map[string]int)
	ask := Ask{Policy: version.PolicyService, Amount: resource.Amount{Running: 1, MilliCPU: 1000}, SpreadUsed: func(rack, domain string) SpreadCount {
		return SpreadCount{Rack: racks[rack], Domain: domains[domain]}
	}}
	rng := newRand()
	for range 6 {
		i, _ := Choose(ask, ix, rng)
		racks[ix.At(i).Rack]++
		domains[ix.At(i).FailureDomain]++
	}
	assert.DeepEqual(t, domains, map[string]int{"d0": 2, "d1": 2, "d2": 2})
	assert.Equal(t, len(racks), 6)
}

func TestReasonAndNeverRunnable(t *testing.T) {
	fleet := list(fleetOf(10))
	fleet[0].Closed = true
	ask := Ask{Policy: version.PolicyBatch, Upstream: "records", Avoid: []string{"w1"}, Amount: resource.Amount{Running: 1, MemoryMB: 64001}}
	i, reason := Choose(ask, fleet, newRand())
	assert.Equal(t, i, none)
	assert.Equal(t, reason.String(), "no worker fits: of 10 workers 10 examined, 1 closed, 1 avoided, 0 of other upstreams, 8 short of memory_mb")
	d, ever := CanEverFit(ask, Summarize(fleet))
	assert.Assert(t, !ever)
	assert.Equal(t, d, resource.MemoryMB)
	ask.Amount.MemoryMB = 32000
	_, ever = CanAllEverFit(ask, 20, Summarize(fleet))
	assert.Assert(t, ever)
	_, ever = CanAllEverFit(ask, 21, Summarize(fleet))
	assert.Assert(t, !ever)
}

func BenchmarkChoose(b *testing.B) {
	ask := resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 2000, Slots: 1}
	for _, policy := range []version.Policy{version.PolicyRequest, version.PolicyService, version.PolicyBatch} {
		for _, n := range []int{50, 7900} {
			b.Run(fmt.Sprintf("%s/%d", policy, n), func(b *testing.B) { benchmarkChoose(b, n, Ask{Policy: policy, Amount: ask}) })
		}
	}
}

// benchmarkChoose measures one choice and its update with two thirds of the capacity in
// use.
func benchmarkChoose(b *testing.B, n int, ask Ask) {
	ix := NewIndex(fleetOf(n))
	rng := newRand()
	running := make([]int, 0, n*5)
	for range n * 5 {
		i, _ := Choose(ask, ix, rng)
		ix.Allocate(i, ask.Amount)
		running = append(running, i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for k := range b.N {
		ix.Release(running[k%len(running)], ask.Amount)
		i, _ := Choose(ask, ix, rng)
		ix.Allocate(i, ask.Amount)
		running[k%len(running)] = i
	}
}
