package ownership

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// randomFaults returns random faults of the given kinds.
func randomFaults(rnd *rand.Rand, kinds []int) []fault {
	faults := make([]fault, 4*len(kinds))
	for i := range faults {
		faults[i] = fault{rnd.IntN(modelSteps), kinds[rnd.IntN(len(kinds))], rnd.IntN(modelEntries), rnd.IntN(modelEntries), 4 + rnd.IntN(100)}
	}
	return faults
}

// violations runs the model with consecutive seeds and counts the runs that break the
// rule. With stop it ends at the first one. It also returns how many ran, the numbers
// of quick and of all takeovers, and the first violation.
func violations(from, runs uint64, omit omissions, kinds []int, stop bool) (broken, ran, quickTakeovers, takeovers int, first error) {
	for seed := from; seed < from+runs; seed++ {
		m := newModel(seed, omit)
		err := m.run(randomFaults(rand.New(rand.NewPCG(seed, 2)), kinds))
		ran++
		quickTakeovers, takeovers = quickTakeovers+m.quickTakeovers, takeovers+m.takeovers
		if err != nil {
			broken++
			if first == nil {
				first = err
			}
			if stop {
				return broken, ran, quickTakeovers, takeovers, first
			}
		}
	}
	return broken, ran, quickTakeovers, takeovers, first
}

var allFaults = []int{faultFreeze, faultCrash, faultCutPeer, faultCutTable, faultSlowTable, faultLostReplies}

func TestOnlyOneMayUseABlock(t *testing.T) {
	t.Parallel()
	broken, ran, quick, all, first := violations(0, 500, omissions{}, allFaults, false)
	assert.NilError(t, first)
	assert.Equal(t, broken, 0)
	t.Logf("%d runs without violation; %d of %d takeovers after a crash came before the long term", ran, quick, all)
	assert.Assert(t, all > 100)
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "") }
			return fault{draw(modelSteps), draw(faultKinds), draw(modelEntries), draw(modelEntries), 4 + draw(100)}
		}), 0, 20).Draw(t, "faults")
		m := newModel(rapid.Uint64().Draw(t, "seed"), omissions{})
		if err := m.run(faults); err != nil {
			t.Fatal(err)
		}
	})
}

func TestEachMechanismIsNeeded(t *testing.T) {
	cases := []struct {
		name  string
		omit  omissions
		kinds []int
		// Seeds that are run. The second one takes 1185 runs from seed 0.
		from, runs uint64
	}{
		{"promise of the witnesses", omissions{promise: true}, allFaults, 0, 100},
		{"intersection over undecided attempts", omissions{intersection: true}, []int{faultCutPeer, faultCutPeer, faultCutPeer, faultSlowTable, faultLostReplies, faultCutTable}, 1150, 100},
		{"wait since the row was seen", omissions{wait: true}, allFaults, 0, 200},
		{"no renewal by a read-back", omissions{sentTime: true}, allFaults, 0, 3000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			broken, ran, _, _, first := violations(c.from, c.runs, c.omit, c.kinds, true)
			assert.Assert(t, broken > 0, "no violation in %d runs", ran)
			t.Logf("violation in run %d from seed %d: %v", ran, c.from, first)
		})
	}
}
