package main

import (
	"math/rand/v2"
	"time"
)

// action is what a step does to an entry.
type action string

// The actions. All but kill are planned work, around which no request may be cut.
const (
	stop      action = "SIGTERM"
	stopTwice action = "SIGTERM twice"
	// stopAtStart also stops the next process of the entry, soon after its start.
	stopAtStart action = "SIGTERM during the start"
	hangUp      action = "SIGHUP"
	// stopHangUp sends a SIGHUP while the entry stops.
	stopHangUp action = "SIGHUP during the drain"
	kill       action = "SIGKILL during the drain"
)

// step is one signal, or two, to one entry.
type step struct {
	// at is the time since the start of the run.
	at     time.Duration
	entry  int
	action action
	// second is the time from the first signal to the second one, pause the time from the
	// end of the process to the start of the next.
	second, pause time.Duration
}

const (
	// maxGap is the longest time between two steps of a series, maxRest that between two
	// series.
	maxGap  = time.Second
	maxRest = 6 * time.Second
	// maxSecond is the longest time to the second signal of a step. It is about the length of
	// a stop without long requests, so that the signal often comes before its end.
	maxSecond = 1200 * time.Millisecond
)

// planRestarts returns series of steps over all entries, in random order and with random
// gaps, until length. Series begin before the entries of the last one have restarted.
func planRestarts(seed int64, entries int, length time.Duration) []step {
	random := rand.New(rand.NewPCG(uint64(seed), uint64(entries)))
	var steps []step
	for at := time.Second; at < length; at += randomBelow(random, maxRest) {
		longest := randomBelow(random, maxGap)
		for _, entry := range random.Perm(entries) {
			steps = append(steps, step{
				at: at, entry: entry, action: randomAction(random),
				second: randomBelow(random, maxSecond), pause: randomBelow(random, maxGap),
			})
			at += randomBelow(random, longest)
		}
	}
	return steps
}

// randomAction returns a plain stop half of the time.
func randomAction(random *rand.Rand) action {
	return []action{stop, stop, stop, stop, stop, stopTwice, stopAtStart, hangUp, stopHangUp, kill}[random.IntN(10)]
}

// randomBelow returns a duration below limit, or 0 if limit is 0.
func randomBelow(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(limit))
}
