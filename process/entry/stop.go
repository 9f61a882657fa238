package entry

import (
	"context"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/drain"
	"github.com/kingcuplatch/kingcuplatch/process/events"
)

const (
	// stopStepFraction is the fraction of the drain timeout that each step after the drain of
	// the servers gets; maxStopStep is the most that a step needs.
	stopStepFraction = 0.1
	maxStopStep      = callTimeout
	// endMargin is how long before the contexts of calls in progress end the requests among
	// them are ended, so that their outcomes give the stop as the reason.
	endMargin = 50 * time.Millisecond
)

// stopTimes are the ends of the steps of a graceful stop, as times since its beginning. Each
// step begins when the one before has ended, so that one that takes all its time leaves
// enough to those that follow.
type stopTimes struct {
	// requests is when requests in progress are ended: their callers get what is known.
	requests time.Duration
	// servers bounds the drain of the servers of callers and operators.
	servers drain.Limits
	// forwarded bounds the wait for requests of other entries, release the release of the
	// blocks, and peers the wait for calls of other entries.
	forwarded, release, peers time.Duration
}

// stopTimesWithin divides the drain timeout.
func stopTimesWithin(timeout time.Duration) stopTimes {
	step := min(maxStopStep, time.Duration(float64(timeout)*stopStepFraction))
	servers := drain.LimitsWithin(timeout-3*step, min(maxNotReadyDelay, timeout/4))
	return stopTimes{
		requests: max(0, servers.Answer-endMargin), servers: servers,
		forwarded: timeout - 2*step, release: timeout - step, peers: timeout,
	}
}

// stop stops the entry gracefully within Timings.Drain.
func (e *Entry) stop() {
	began := time.Now()
	times := stopTimesWithin(e.Timings.Drain)
	e.stopping.Store(true)
	e.Log.Log(events.EntryDraining, e.servers.inFlight())
	unfinished := e.drain(began, times)
	e.release(began.Add(times.release))
	e.cancel()
	e.closePeers(began.Add(times.peers))
	e.saveKeptBefore(began.Add(e.Timings.Drain))
	e.loops.Wait()
	e.servers.close()
	e.links.Close()
	e.clients.close()
	e.Log.Log(events.EntryStopped, unfinished)
}

// drain waits for the calls of callers and operators, then for the requests of other
// entries. It returns the number of calls that were cut off.
func (e *Entry) drain(began time.Time, times stopTimes) int64 {
	if e.Omit.Drain {
		unfinished := e.servers.inFlight()
		e.servers.cut()
		return unfinished
	}
	ending := time.AfterFunc(times.requests, e.requests.End)
	defer ending.Stop()
	unfinished := e.servers.drain(times.servers, e.Log)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(times.forwarded))
	defer cancel()
	if err := e.requests.Drain(ctx); err != nil {
		e.Log.Log(events.OwnershipFailed, "drain requests of other entries", err)
	}
	return unfinished
}

// release hands the dispatched request ids over, and then releases the entry's allotments
// and blocks.
func (e *Entry) release(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	e.handOverDispatched(ctx)
	if err := e.allotments.ReturnUnused(ctx); err != nil {
		e.Log.Log(events.OwnershipFailed, "release allotments", err)
	}
	if err := e.owners.Release(ctx); err != nil {
		e.Log.Log(events.OwnershipFailed, "release blocks", err)
	}
}

// saveKeptBefore saves the request ids kept as a witness, if that is done by the given time.
func (e *Entry) saveKeptBefore(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	e.saveKept(ctx)
}

// closePeers answers the calls of other entries in progress, and then closes their links.
func (e *Entry) closePeers(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if err := e.server.Drain(ctx); err != nil {
		e.Log.Log(events.OwnershipFailed, "drain calls of other entries", err)
	}
	_ = e.Listeners.Peers.Close()
	e.server.Close()
}
