package ownership

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// randomFaults draws faults of the kinds.
func randomFaults(rnd *rand.Rand, kinds []int) []fault {
	faults := make([]fault, 4*len(kinds))
	for i := range faults {
		faults[i] = fault{rnd.IntN(modelSteps), kinds[rnd.IntN(len(kinds))], rnd.IntN(modelEntries), rnd.IntN(modelEntries), 4 + rnd.IntN(100)}
	}
	return faults
}

// violations counts runs, seeded one after the other, that break the rule,
// stopping at the first if asked to, and returns how many ran and the model totals.
func violations(from, runs uint64, omit omissions, kinds []int, stop bool) (broken, ran, quick, all int, first error) {
	for seed := from; seed < from+runs; seed++ {
		m := newModel(seed, omit)
		err := m.run(randomFaults(rand.New(rand.NewPCG(seed, 2)), kinds))
		ran++
		quick, all = quick+m.quick, all+m.all
		if err != nil {
			broken++
			if first == nil {
				first = err
			}
			if stop {
				return broken, ran, quick, all, first
			}
		}
	}
	return broken, ran, quick, all, first
}

var allFaults = []int{faultFreeze, faultCrash, faultCutPeer, faultCutStore, faultSlowStore, faultLostAnswers}

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
		{"guards' promise", omissions{promise: true}, allFaults, 0, 100},
		{"intersection over undecided attempts", omissions{intersection: true}, []int{faultCutPeer, faultCutPeer, faultCutPeer, faultSlowStore, faultLostAnswers, faultCutStore}, 1150, 100},
		{"wait since seen", omissions{wait: true}, allFaults, 0, 200},
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
