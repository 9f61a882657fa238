package main

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/process/daemon"
	"github.com/kingcuplatch/kingcuplatch/process/entry"
)

// withoutDrain is the role of an entry that cuts work in progress when it stops.
const withoutDrain = "entry-without-drain"

// TestMain makes this program an entry if a test has started it as one.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case entryRole:
			os.Exit(runEntry(os.Args[2:]))
		case withoutDrain:
			ctx, stop := daemon.NotifyStop(context.Background())
			defer stop()
			os.Exit(daemon.MainWith(ctx, os.Args[2:], os.Stderr, func(c *entry.Config) { c.Omit.Drain = true }))
		}
	}
	os.Exit(m.Run())
}

func short(seed int64) options {
	return options{
		entries: 3, workers: 6, length: 6 * time.Second, drain: 5 * time.Second,
		restarts: true, seed: seed, callers: 20, role: entryRole,
	}
}

// Planned restarts that overlap must cut no request, make no answer false, run nothing twice
// and lose no job.
func TestRestarts(t *testing.T) {
	assert.NilError(t, soakRestarts(t.Context(), short(1)))
}

// The run must be able to fail: without the drain requests are cut.
func TestRestartsWithoutDrain(t *testing.T) {
	o := short(2)
	o.role, o.length = withoutDrain, 3*time.Second
	assert.ErrorContains(t, soakRestarts(t.Context(), o), "no answer")
}

// A seed must give the same steps each time, and each series must reach all entries.
func TestPlan(t *testing.T) {
	const entries = 5
	plan := planRestarts(7, entries, 20*time.Second)
	assert.Assert(t, slices.Equal(plan, planRestarts(7, entries, 20*time.Second)))
	assert.Equal(t, len(plan)%entries, 0)
	for series := 0; series < len(plan); series += entries {
		reached := make(map[int]bool)
		for _, s := range plan[series : series+entries] {
			reached[s.entry] = true
		}
		assert.Equal(t, len(reached), entries)
	}
}
