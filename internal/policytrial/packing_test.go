package policytrial

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/version"
)

// placedTask is a task on a worker.
type placedTask struct {
	worker int
	amount resource.Amount
}

// packing is the result of one trace.
type packing struct {
	// used is the dominant share in use with all workers full.
	used float64
	// gang is the number of tasks of the largest all-at-once job that fits, with 2
	// accelerators for each task.
	gang int
}

// pack fills 400 workers with tasks of mixed sizes and ends one task in three, 20 times
// in a row. It returns the share in use when the workers were full the last time, and
// the largest job that fits after one task in three has ended again. choose returns a
// worker or -1.
func pack(seed uint64, choose func(*placement.Index, placement.Ask, *rand.Rand) int) packing {
	fleet := workers(400, 70, 64, 64, 6)
	ix, rng := placement.NewIndex(fleet), rand.New(rand.NewPCG(seed, 7))
	sizes := rand.New(rand.NewPCG(seed, 8))
	var tasks []placedTask
	var result packing
	for range 20 {
		for misses := 0; misses < 200; {
			ask := placement.Ask{Policy: version.PolicyBatch, Amount: resource.Amount{
				Running: 1, MilliCPU: 500 * (1 + sizes.Int64N(12)), MemoryMB: 500 * (1 + sizes.Int64N(20)), Accelerators: max(0, sizes.Int64N(13)-10),
			}}
			i := choose(ix, ask, rng)
			if i < 0 {
				misses++
				continue
			}
			ix.Allocate(i, ask.Amount)
			tasks = append(tasks, placedTask{i, ask.Amount})
		}
		result.used = used(ix, capacity(fleet))
		sizes.Shuffle(len(tasks), func(a, b int) { tasks[a], tasks[b] = tasks[b], tasks[a] })
		ended := len(tasks) / 3
		for _, task := range tasks[:ended] {
			ix.Release(task.worker, task.amount)
		}
		tasks = tasks[ended:]
	}
	gang := placement.Ask{Policy: version.PolicyAllAtOnce, Amount: resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 1000, Accelerators: 2}}
	plan, n := placement.Plan{}, 0
	for n = 1; plan != nil; n++ {
		plan, _ = placement.ChooseAll(gang, n, ix, rng)
	}
	result.gang = n - 2
	return result
}

func used(ix *placement.Index, total resource.Amount) float64 {
	var free resource.Amount
	for i := range ix.Len() {
		free = free.Add(ix.At(i).Free)
	}
	return total.Sub(free).DominantShare(total)
}

func currentChoice(ix *placement.Index, ask placement.Ask, rng *rand.Rand) int {
	i, _ := placement.Choose(ask, ix, rng)
	return i
}

// bestFit examines every worker and returns the one with the least left over, among those
// with the fewest free accelerators.
func bestFit(ix *placement.Index, ask placement.Ask, _ *rand.Rand) int {
	best, lowest := -1, 0.0
	for i := range ix.Len() {
		c := ix.At(i)
		if !ask.Amount.Fits(c.Free) {
			continue
		}
		left := c.Free.Sub(ask.Amount)
		score := 10*float64(left.Accelerators) + float64(left.MilliCPU)/30_000 + float64(left.MemoryMB)/64_000
		if best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

func randomFit(ix *placement.Index, ask placement.Ask, rng *rand.Rand) int {
	start := rng.IntN(ix.Len())
	for k := range ix.Len() {
		if i := (start + k) % ix.Len(); ask.Amount.Fits(ix.At(i).Free) {
			return i
		}
	}
	return -1
}

func leastUsed(ix *placement.Index, ask placement.Ask, _ *rand.Rand) int {
	b := &baseline{}
	for i := range ix.Len() {
		b.workers = append(b.workers, ix.At(i))
	}
	return leastLoaded(b, ask.Amount)
}

// packSeeds is the number of traces, one for each seed.
const packSeeds = 8

// packAll returns the mean over all traces and logs each.
func packAll(tb testing.TB, choose func(*placement.Index, placement.Ask, *rand.Rand) int) (meanUsed, meanGang float64) {
	for seed := range uint64(packSeeds) {
		p := pack(seed, choose)
		tb.Logf("%+v", p)
		meanUsed += p.used / packSeeds
		meanGang += float64(p.gang) / packSeeds
	}
	return meanUsed, meanGang
}

// Guards against a placement that fragments the fleet: with all workers full it must use
// at least 95% of the capacity that best fit over all workers uses, and leave space for
// a job of at least 95% of the size.
func TestPackingAtSaturation(t *testing.T) {
	t.Parallel()
	used, gang := packAll(t, currentChoice)
	bestUsed, bestGang := packAll(t, bestFit)
	assert.Assert(t, used >= 0.95*bestUsed, "used %.4f of %.4f", used, bestUsed)
	assert.Assert(t, gang >= 0.95*bestGang, "job of %.1f of %.1f tasks", gang, bestGang)
}

// BenchmarkPacking prints a table that compares placements. Run it with -benchtime 1x.
func BenchmarkPacking(b *testing.B) {
	fmt.Print("\n| placement | used at saturation | largest job of 2-accelerator tasks |\n|---|---|---|\n")
	for _, p := range []struct {
		name   string
		choose func(*placement.Index, placement.Ask, *rand.Rand) int
	}{{"own", currentChoice}, {"all-knowing best fit", bestFit}, {"random worker", randomFit}, {"least loaded", leastUsed}} {
		used, gang := packAll(b, p.choose)
		fmt.Printf("| %s | %.4f | %.1f |\n", p.name, used, gang)
	}
}
