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

// violations runs the model with consecutive seeds and counts the runs in which a block
// is usable by two entries. With stop it ends at the first one. It also returns how many
// ran, the numbers of fast and of all takeovers, and the first violation.
func violations(from, runs uint64, omit omissions, kinds []int, stop bool) (violated, ran, fastTakeovers, takeovers int, first error) {
	for seed := from; seed < from+runs; seed++ {
		m := newModel(seed, omit)
		err := m.run(randomFaults(rand.New(rand.NewPCG(seed, 2)), kinds))
		ran++
		fastTakeovers, takeovers = fastTakeovers+m.fastTakeovers, takeovers+m.takeovers
		if err != nil {
			violated++
			if first == nil {
				first = err
			}
			if stop {
				return violated, ran, fastTakeovers, takeovers, first
			}
		}
	}
	return violated, ran, fastTakeovers, takeovers, first
}

var allFaults = []int{faultFreeze, faultCrash, faultCutPeer, faultCutTable, faultSlowTable, faultLostReplies}

// At no time may two entries use the same block, under random crashes, freezes,
// partitions and slow or lost replies of the table.
func TestOnlyOneMayUseABlock(t *testing.T) {
	t.Parallel()
	violated, ran, fast, all, first := violations(0, 500, omissions{}, allFaults, false)
	assert.NilError(t, first)
	assert.Equal(t, violated, 0)
	t.Logf("%d runs without violation; %d of %d takeovers after a crash came before the long term", ran, fast, all)
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

// Each case disables one mechanism of the lease protocol; the model must then find a
// violation.
func TestEachMechanismIsNeeded(t *testing.T) {
	cases := []struct {
		name  string
		omit  omissions
		kinds []int
		// Seeds from to from+runs-1 are run. From seed 0, the second case would need
		// 1185 runs to find a violation.
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
			violated, ran, _, _, first := violations(c.from, c.runs, c.omit, c.kinds, true)
			assert.Assert(t, violated > 0, "no violation in %d runs", ran)
			t.Logf("violation in run %d from seed %d: %v", ran, c.from, first)
		})
	}
}
