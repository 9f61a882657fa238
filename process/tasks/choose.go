package tasks

import (
	"math/rand/v2"

	"github.com/kingcuplatch/kingcuplatch/process/placement"
)

// fewTasks is how many tasks are placed on the live fleet. More are placed on a
// copy, so that each choice sees the ones before it.
const fewTasks = 4

// ChooseByPlacement is the Choose that uses package placement. It returns as
// many workers as there are places for; an all-at-once job may get the rest of
// its places from other owners.
func ChooseByPlacement(fleet placement.Fleet, want Want) []string {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ask := placement.Ask{Amount: want.Amount, Policy: want.Policy}
	if want.Count <= fewTasks {
		return chooseLive(fleet, ask, want.Count, rng)
	}
	index := placement.IndexOf(fleet)
	names := make([]string, 0, want.Count)
	for range want.Count {
		i, _ := placement.Choose(ask, index, rng)
		if i < 0 {
			break
		}
		names = append(names, index.At(i).Worker)
		index.Take(i, want.Amount)
	}
	return names
}

func chooseLive(fleet placement.Fleet, ask placement.Ask, count int, rng *rand.Rand) []string {
	names := make([]string, 0, count)
	for range count {
		i, _ := placement.Choose(ask, fleet, rng)
		if i < 0 {
			break
		}
		names = append(names, fleet.At(i).Worker)
	}
	return names
}
