package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/peer"
)

// startResultsWait is how long an entry that starts runs for the scheduler waits for all
// workers before it replies. The results of the others follow in a call of their own, so
// that a worker that doesn't answer delays no other result.
const startResultsWait = 100 * time.Millisecond

// errNoText rejects a batch whose text this entry doesn't have. Nothing was started.
var errNoText = &peer.RemoteError{Code: codeNoText, Message: "the text of the job is not known here"}

// errStartsLate rejects a batch that has waited for too long, or whose age this entry can't tell. Nothing
// was started.
var errStartsLate = &peer.RemoteError{Code: codeStartsLate, Message: "the commands have waited for too long"}

// serveStart starts runs on behalf of the scheduler.
func (n *Node) serveStart(_ context.Context, params json.RawMessage) (any, error) {
	var batch startBatch
	if err := json.Unmarshal(params, &batch); err != nil {
		return nil, err
	}
	if n.followsNewer(batch.Fence) {
		return nil, errNotScheduler
	}
	sendBy, ok := n.startsSendBy(batch)
	if !ok {
		return nil, errStartsLate
	}
	text, ok := n.textOf(batch)
	if !ok {
		return nil, errNoText
	}
	results := make(chan startResult, len(batch.Runs))
	for i, run := range batch.Runs {
		go func() { results <- startResult{Index: i, Answer: n.startRun(run, batch.Fence, text, sendBy)} }()
	}
	known := receiveResults(results, len(batch.Runs), startResultsWait)
	if left := len(batch.Runs) - len(known); left > 0 {
		go n.sendLateResults(batch, results, left)
	}
	return startResults{Results: known}, nil
}

// followsNewer reports whether this entry knows a scheduler with a higher fence.
func (n *Node) followsNewer(fence uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.fence > fence || (n.leadership != nil && n.leadership.fence > fence)
}

// startsSendBy returns until when the commands of a batch may be sent; ok is false if that is over. The
// batch may have waited in a link or in this process. After its timeout the scheduler counts the commands as
// unanswered and stops the runs, and after startWindow the workers' leases may have expired; the next
// incarnation of a worker knows of neither.
func (n *Node) startsSendBy(batch startBatch) (sendBy time.Time, ok bool) {
	now := time.Now()
	if batch.Stamp == 0 {
		return now.Add(commandTimeout), true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	clock, known := n.view.latestClock(now)
	if !known || n.view.fence != batch.Fence {
		return time.Time{}, false
	}
	limit := min(time.Duration(batch.TimeoutMS)*time.Millisecond, startWindow)
	sendBy = now.Add(limit - (clock - time.Duration(batch.Stamp)*time.Millisecond))
	return sendBy, sendBy.After(now)
}

func (n *Node) textOf(batch startBatch) (string, bool) {
	if batch.Text != nil {
		return *batch.Text, true
	}
	return n.texts.get(batch.Job, batch.TextHash)
}

// startRun sends one start command. The call isn't cancelled with the scheduler's link: the
// command may have reached the worker.
func (n *Node) startRun(run startRun, fence uint64, text string, sendBy time.Time) startWord {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+n.lag.allowance())
	defer cancel()
	target, call := run.call(fence, text, sendBy)
	answer, err := n.config.Workers.Start(ctx, target, call)
	switch {
	case errors.Is(err, ErrFenced):
		return wordFenced
	case err != nil:
		return wordNoReply
	default:
		return startWords[answer]
	}
}

// receiveResults returns the results that arrive until there are count of them or the wait
// is over.
func receiveResults(results <-chan startResult, count int, wait time.Duration) []startResult {
	known := make([]startResult, 0, count)
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for len(known) < count {
		select {
		case result := <-results:
			known = append(known, result)
		case <-limit.C:
			return known
		}
	}
	return known
}

// sendLateResults sends the scheduler the results that the reply to a batch didn't have. If
// that fails, the scheduler counts them as missing when their time is over.
func (n *Node) sendLateResults(batch startBatch, results <-chan startResult, left int) {
	late := startResults{Fence: batch.Fence, ID: batch.ID}
	for range left {
		late.Results = append(late.Results, <-results)
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	_ = n.config.Peers.Call(ctx, batch.Scheduler, methodStarted, late, nil)
}

// serveStarted applies late results of a batch.
func (n *Node) serveStarted(_ context.Context, params json.RawMessage) (any, error) {
	var late startResults
	if err := json.Unmarshal(params, &late); err != nil {
		return nil, err
	}
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r == nil || r.over() || r.fence != late.Fence {
		return nil, errNotScheduler
	}
	r.relays.resolve(late.ID, late.Results)
	return struct{}{}, nil
}
