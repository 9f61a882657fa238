package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func monitor(workers int) *Monitor {
	m := New()
	var names []string
	for i := range workers {
		names = append(names, fmt.Sprint("w", i))
	}
	m.SetWorkers(start, names)
	return m
}

// record records an outcome of each kind for each worker per round, and returns how
// many workers were quarantined.
func record(m *Monitor, rounds int, fails func(worker int, kind string) bool) int {
	quarantined := 0
	for range rounds {
		for i := range len(m.workers) {
			for _, kind := range []string{"good", "bad"} {
				if m.Record(start, Outcome{Worker: fmt.Sprint("w", i), Kind: kind, Failed: fails(i, kind)}) {
					quarantined++
				}
			}
		}
	}
	return quarantined
}

// Only a worker that fails more than the others may be quarantined, and never more than a
// third of the workers.
func TestQuarantine(t *testing.T) {
	cases := []struct {
		name  string
		fails func(worker int, kind string) bool
		want  int
	}{
		{"work that fails everywhere", func(_ int, kind string) bool { return kind == "bad" }, 0},
		{"one broken worker", func(worker int, _ string) bool { return worker == 1 }, 1},
		{"broken worker among failing work", func(worker int, kind string) bool { return worker == 11 || kind == "bad" }, 1},
		{"never more than a third", func(worker int, _ string) bool { return worker < 6 }, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, record(monitor(12), 10, c.fails), c.want)
		})
	}
}

// A quarantined worker is probed with backoff and released after consecutive
// successes; a removed worker is ignored.
func TestProbesReleaseWorker(t *testing.T) {
	m := monitor(3)
	record(m, 5, func(worker int, _ string) bool { return worker == 0 })
	assert.Assert(t, m.Quarantined("w0"))
	assert.Equal(t, len(m.DueProbes(start)), 0)
	now := start.Add(firstProbeAfter)
	assert.DeepEqual(t, m.DueProbes(now), []string{"w0"})
	assert.Equal(t, len(m.DueProbes(now)), 0)
	assert.Assert(t, !m.RecordProbe(now, "w0", true))
	now = now.Add(firstProbeAfter)
	assert.Equal(t, len(m.DueProbes(now)), 0)
	now = now.Add(firstProbeAfter)
	for i := range probesToRelease {
		assert.Equal(t, len(m.DueProbes(now)), 1)
		assert.Equal(t, m.RecordProbe(now, "w0", false), i == probesToRelease-1)
	}
	assert.Assert(t, !m.Quarantined("w0"))
	m.SetWorkers(now, []string{"w1"})
	assert.Assert(t, !m.Record(now, Outcome{Worker: "w0", Failed: true}))
}
