package learning

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/resource"
)

// Estimates must follow the reports, later ones more than earlier ones. Sizes must stay
// between the declared size and the largest worker.
func TestEstimatesFollowReports(t *testing.T) {
	l := New()
	rng := rand.New(rand.NewPCG(1, 2))
	declared := resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	largest := resource.Amount{Running: 1, MilliCPU: 30_000, MemoryMB: 3000, Accelerators: 8}
	assert.Equal(t, l.RunTime("k", time.Second, 0.5), time.Second)
	report := func(scale float64) {
		l.Add(Report{
			Kind: "k", Declared: declared, RunTime: time.Duration(scale * float64(4*time.Second) * (0.5 + rng.Float64())),
			Used: resource.Amount{MilliCPU: 250, MemoryMB: 4000, Accelerators: 2},
		})
	}
	for range 1000 {
		report(1)
	}
	p50 := l.RunTime("k", time.Second, 0.5)
	assert.Assert(t, p50 > 3600*time.Millisecond && p50 < 4500*time.Millisecond, "%s", p50)
	// The size is never below the declared amount and never above the largest worker,
	// and accelerators are never raised.
	assert.DeepEqual(t, l.Size("k", declared, largest), resource.Amount{Running: 1, MilliCPU: 1000, MemoryMB: 3000, Accelerators: 1})
	// Later reports outweigh earlier ones.
	for range 300_000 {
		report(0.1)
	}
	p99 := l.RunTime("k", time.Second, 0.99)
	assert.Assert(t, p99 < 700*time.Millisecond, "%s", p99)
}
