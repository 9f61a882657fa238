package cluster

import (
	"context"
	"sync"
	"time"
)

const (
	// linkQueueTime is how long the submissions of all entries together may occupy the
	// scheduler's link. What waits there delays heartbeats and the table's answers, by which the
	// scheduler would count as gone.
	linkQueueTime = 250 * time.Millisecond
	// forwardQueueTime is how long a submission waits for its turn to be forwarded.
	forwardQueueTime = 250 * time.Millisecond
	// linkRetryAfter is the retry delay of a submission that had no turn.
	linkRetryAfter = 2 * time.Second
	// callOverhead is the size of a forwarded call beside the job's text, in bytes, and
	// stepOverhead that of each step.
	callOverhead = 500
	stepOverhead = 150
	// afterOverhead is the size of the number of an earlier step in it.
	afterOverhead = 5
)

// inFlight counts the bytes of submissions in progress: of those that this entry has forwarded and that wait
// for the scheduler's reply, which bounds the queue before the scheduler's link, or of all that it handles.
type inFlight struct {
	mu    sync.Mutex
	bytes int
	// freed is closed and replaced when bytes falls.
	freed chan struct{}
}

func newInFlight() inFlight { return inFlight{freed: make(chan struct{})} }

// begin waits until size bytes may be in progress and counts them; end must then be called. It
// returns false if that takes too long. One submission always may. A budget of 0 means no bound.
func (f *inFlight) begin(ctx context.Context, size, budget int) bool {
	ctx, cancel := context.WithTimeout(ctx, forwardQueueTime)
	defer cancel()
	for {
		f.mu.Lock()
		if f.bytes == 0 || budget == 0 || f.bytes+size <= budget {
			f.bytes += size
			f.mu.Unlock()
			return true
		}
		freed := f.freed
		f.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return false
		}
	}
}

func (f *inFlight) end(size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes -= size
	close(f.freed)
	f.freed = make(chan struct{})
}

// forwardBudget returns how many bytes of submissions an entry may have in flight to the
// scheduler; 0 if there is no bound.
func (v leaderView) forwardBudget() int {
	if v.LinkBytes == 0 {
		return 0
	}
	others := max(1, len(v.members)-1)
	return max(1, int(float64(v.LinkBytes)*linkQueueTime.Seconds())/others)
}

// forwardedBytes estimates the size of the call between entries.
func (c Call) forwardedBytes() int {
	n := callOverhead + len(c.Spec.Text) + stepOverhead*len(c.Spec.Steps)
	for i := range c.Spec.Steps {
		n += afterOverhead * len(c.Spec.Steps[i].After)
	}
	return n
}

// handledShare is the part of the process's memory for submissions in progress, as a divisor.
const handledShare = 10

// handle calls do while the call is in progress. Submissions that would together take too much memory are
// not handled: nothing has been done of them.
func (n *Node) handle(ctx context.Context, call Call, do func() Reply) Reply {
	if call.Op != OpSubmit || call.Spec == nil {
		return do()
	}
	size := int(call.Spec.HeldBytes())
	if !n.handled.begin(ctx, size, int(n.config.MemoryBytes/handledShare)) {
		return unavailable("too many large submissions at once", 0)
	}
	defer n.handled.end(size)
	return do()
}
