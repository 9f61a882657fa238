package allotment

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"gotest.tools/v3/assert"
)

func BenchmarkAcquireRelease(b *testing.B) {
	n := newNode(&fakeTable{rows: map[string]platform.Row{}}, "1", limitOf(1000), omissions{})
	n.with(teamName, func(t *team) { t.bound = limitOf(1000) })
	one := resource.Amount{Running: 1, MilliCPU: 500, MemoryMB: 100}
	for b.Loop() {
		if !n.TryAcquire(teamName, one) {
			b.Fatal("refused")
		}
		n.Release(teamName, one)
	}
}

// BenchmarkStep measures one step in which the demand of every team has changed.
func BenchmarkStep(b *testing.B) {
	for _, teams := range []int{18, 180} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			var limits []TeamLimit
			for i := range teams {
				limits = append(limits, TeamLimit{Team: fmt.Sprint("team", i), Limit: limitOf(1 << 30)})
			}
			table := &fakeTable{rows: map[string]platform.Row{}}
			l := New(Options{Incarnation: "1", Table: table, Limits: func() []TeamLimit { return limits }})
			l.Refresh()
			for b.Loop() {
				for _, limit := range limits {
					l.TryAcquire(limit.Team, resource.Amount{Running: 1})
				}
				assert.NilError(b, l.Step(b.Context()))
			}
			b.ReportMetric(float64(table.commits)/float64(b.N), "writes/step")
		})
	}
}

func BenchmarkRowBytes(b *testing.B) {
	for _, entries := range []int{1, 9} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var r row
			for i := range entries {
				g := grant{Amount: limitedOnly(limitOf(100)), Limit: limitedOnly(limitOf(1000))}
				r.Entries = append(r.Entries, entry{Incarnation: fmt.Sprintf("entry-0001-%08d", i), grant: g})
			}
			var size int
			for b.Loop() {
				body, err := json.Marshal(r)
				assert.NilError(b, err)
				size = len(body)
			}
			b.ReportMetric(float64(size), "B/row")
		})
	}
}
