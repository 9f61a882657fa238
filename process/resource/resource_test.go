package resource

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFits(t *testing.T) {
	limit := Amount{Running: 2, MilliCPU: 1000, MemoryMB: 64}
	cases := []struct {
		name string
		ask  Amount
		over Dimension
		fits bool
	}{
		{"equal", limit, 0, true},
		{"less", Amount{Running: 1}, 0, true},
		{"memory", Amount{MemoryMB: 65}, MemoryMB, false},
		{"limit without accelerators", Amount{Accelerators: 1}, Accelerators, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			over, exceeds := c.ask.FirstOver(limit)
			assert.Equal(t, !exceeds, c.fits)
			assert.Equal(t, over, c.over)
		})
	}
}

func TestDominantShare(t *testing.T) {
	total := Amount{MilliCPU: 1000, MemoryMB: 100}
	assert.Equal(t, Amount{MilliCPU: 100, MemoryMB: 50, Accelerators: 9}.DominantShare(total), 0.5)
}
