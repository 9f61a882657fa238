package cell

import (
	"fmt"
	"strings"
	"time"
)

// closedCause is why a worker gets no new work.
type closedCause int

// The causes, in the order in which they are looked for; workerOpen stands for none.
const (
	workerOpen closedCause = iota
	workerNotAdopted
	workerUnreachable
	workerDraining
	workerHasUnknownRuns
	workerPaused
	workerCapacityUnknown
	workerMissing
	workerUnhealthy
	workerCordoned
	workerEvacuated

	closedCauses
)

var closedCauseNames = [closedCauses]string{
	workerOpen: "open", workerNotAdopted: "not adopted", workerUnreachable: "unreachable", workerDraining: "draining",
	workerHasUnknownRuns: "with unknown runs", workerPaused: "paused", workerCapacityUnknown: "of unknown capacity",
	workerMissing:   "not in the directory",
	workerUnhealthy: "quarantined or slow", workerCordoned: "cordoned", workerEvacuated: "evacuated",
}

// String returns the cause as it appears in logs.
func (cause closedCause) String() string { return closedCauseNames[cause] }

// closedCause returns why w gets no new work.
func (c *Cell) closedCause(now time.Time, w *Worker) closedCause {
	switch {
	case c.acceptsWork(now, w):
		return workerOpen
	case !w.adopted:
		return workerNotAdopted
	case !w.unreachableSince.IsZero():
		return workerUnreachable
	case w.Draining:
		return workerDraining
	case len(w.unknownRuns) > 0:
		return workerHasUnknownRuns
	case w.pausedUntil.After(now):
		return workerPaused
	case !w.capacityKnown():
		return workerCapacityUnknown
	case !w.usable(now):
		return workerMissing
	case c.isCordoned(w):
		return workerCordoned
	case c.evacuated(w):
		return workerEvacuated
	default:
		return workerUnhealthy
	}
}

// closedWorkers counts the workers that get no new work, by cause, as text; empty if there are none.
func (c *Cell) closedWorkers(now time.Time) string {
	var counts [closedCauses]int
	for _, w := range c.workerOrder {
		counts[c.closedCause(now, w)]++
	}
	var parts []string
	for cause := workerOpen + 1; cause < closedCauses; cause++ {
		if counts[cause] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[cause], cause))
		}
	}
	return strings.Join(parts, ", ")
}
