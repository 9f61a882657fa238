package cell

import (
	"maps"
	"slices"
	"time"
)

const (
	// lossWindow is the time within which workers that are lost by a common cause are lost.
	lossWindow = 250 * time.Millisecond
	// Workers are lost by a common cause if they are at least minRackLosses and one in
	// rackLossDivisor of a rack, or minFleetLosses and one in fleetLossDivisor of all.
	minRackLosses    = 3
	rackLossDivisor  = 2
	minFleetLosses   = 8
	fleetLossDivisor = 10
	// machineCrashWindow is how long a crash counts against its machine.
	machineCrashWindow = 30 * time.Second
)

// crashedLately reports whether a worker at w's address, so one of the same machine, has crashed
// lately by no task's fault that is known.
func (c *Cell) crashedLately(now time.Time, w *Worker) bool {
	at, ok := c.machineCrashes[w.Address]
	return ok && now.Sub(at) < machineCrashWindow
}

// forgetMachineCrashes drops the crashes of machines that are long ago.
func (c *Cell) forgetMachineCrashes(now time.Time) {
	maps.DeleteFunc(c.machineCrashes, func(_ string, at time.Time) bool { return now.Sub(at) >= machineCrashWindow })
}

// losses counts the workers that were lost at the same time as another: those in all and in its
// rack, and the workers there are; recent counts those on which a task had just been started.
type losses struct {
	lost, all             int
	lostInRack, allInRack int
	recent                int
}

// countLosses counts the workers that were lost at the same time as w.
func (c *Cell) countLosses(w *Worker) losses {
	var l losses
	for _, other := range c.workerOrder {
		inRack := boolToInt(other.Rack == w.Rack && other.FailureDomain == w.FailureDomain)
		if other.listed {
			l.all++
			l.allInRack += inRack
		}
		if other.unreachableSince.IsZero() || other.unreachableSince.Sub(w.unreachableSince).Abs() > lossWindow {
			continue
		}
		l.lost++
		l.lostInRack += inRack
		l.recent += boolToInt(slices.ContainsFunc(other.exposed, func(e exposure) bool { return e.evidence >= evidenceRecent }))
	}
	return l
}

// common reports whether so many workers, in all or of the rack, were lost that no task can be
// the cause.
func (l losses) common() bool {
	return (l.lost >= minFleetLosses && l.lost*fleetLossDivisor >= l.all) ||
		(l.lostInRack >= minRackLosses && l.lostInRack*rackLossDivisor >= l.allInRack)
}

// unexplained reports whether several workers were lost, some of them without a task that had
// just been started.
func (l losses) unexplained() bool { return l.lost >= minRackLosses && l.recent < l.lost }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
