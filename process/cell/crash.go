package cell

import "time"

// LossSign is what a failed poll shows about a worker. Greater values are stronger signs that
// the worker's process has ended.
type LossSign int

// The signs of a worker's loss.
const (
	// LossSilent means that there was no reply: the worker, its machine or the network may
	// have failed.
	LossSilent LossSign = iota
	// LossRefused means that the worker's address refuses connections.
	LossRefused
	// LossReplaced means that another incarnation responds at the worker's address, so
	// nothing that was started on this one is still running.
	LossReplaced
)

// String returns the sign as it appears in logs.
func (s LossSign) String() string {
	switch s {
	case LossRefused:
		return "connections are refused"
	case LossReplaced:
		return "another incarnation responds"
	default:
		return "no reply"
	}
}

// recordLossSign records a sign that an unreachable worker's process has ended, and notes the
// first such sign as a crash unless the worker was draining.
func (c *Cell) recordLossSign(now time.Time, w *Worker, sign LossSign) {
	if sign <= w.lossSign {
		return
	}
	if w.lossSign == LossSilent && !w.Draining {
		c.note(Note{Kind: NoteWorkerCrashed, Worker: w.ID, Runs: len(w.runs), Reason: sign.String(), Age: now.Sub(w.unreachableSince)})
	}
	w.lossSign = sign
}
