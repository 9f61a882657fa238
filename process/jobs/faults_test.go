package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fault is an injected fault and the pause after it.
type fault struct {
	Kind  int
	Owner int
	Pause time.Duration
}

func drawFault(t *rapid.T) fault {
	return fault{
		Kind:  rapid.IntRange(0, 5).Draw(t, "kind"),
		Owner: rapid.IntRange(0, 2).Draw(t, "owner"),
		Pause: time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause ms")) * time.Millisecond,
	}
}

func (w *simulation) inject(t *testing.T, ctx context.Context, f fault) {
	switch f.Kind {
	case 0:
		w.locked(func() { w.table.lostReplies = 1 + f.Owner })
	case 1:
		w.locked(func() { w.table.down = true })
	case 2:
		w.locked(func() { w.table.lostReplies = 0 })
		w.takeOver(ctx, t, unsafeOptions{})
	case 3:
		w.locked(func() { w.lostStarts = 1 + f.Owner })
	case 4:
		w.addOwner(ctx, fmt.Sprintf("e%d", f.Owner), 4)
	case 5:
		_ = w.current().Cancel(ctx, "a", fmt.Sprintf("j%d", f.Owner))
	}
	time.Sleep(f.Pause)
	w.locked(func() { w.table.down = false })
}

// TestRandomFaults submits jobs under random faults. Every accepted job must end, no
// two attempts of a task may run at the same time, and all capacity must be freed.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 10).Draw(rt, "faults")
		var violations []string
		var ended bool
		inSimulation(t, func(t *testing.T, ctx context.Context) {
			w := newSimulation(ctx, 3, 4)
			w.takeOver(ctx, t, unsafeOptions{})
			for i, f := range faults {
				kind := []string{"batch", "gang"}[i%2]
				go func() {
					_, _ = w.current().Submit(ctx, Spec{ID: fmt.Sprintf("j%d", i), Team: "a", Kind: kind, Tasks: 5})
				}()
				w.inject(t, ctx, f)
			}
			for range 300 {
				ended = w.endedOf("a") == len(w.current().List(ctx, "a")) && w.leaked() == 0
				if ended {
					break
				}
				time.Sleep(time.Second)
			}
			violations = w.violationList()
		})
		assert.DeepEqual(rt, violations, []string(nil))
		assert.Assert(rt, ended, "a job did not end, or capacity leaked")
	})
}
