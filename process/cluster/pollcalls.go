package cluster

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

// codeNoPollSet is the RPC error code of an entry that doesn't know the workers of a
// pollRequest.
const codeNoPollSet = -32103

// pollRequest requests that another entry poll workers and return what they replied. The
// entry may hold the reply until there is something to return, or until the next request.
type pollRequest struct {
	Fence uint64 `json:"fence"`
	// Set identifies the group of workers; Seq numbers the requests, over all groups.
	Set uint64 `json:"set"`
	Seq uint64 `json:"seq"`
	// Workers are all workers of the group, sent if they changed.
	Workers []polledWorker `json:"workers,omitempty"`
	Updates []pollUpdate   `json:"updates,omitempty"`
}

// polledWorker is a worker to poll.
type polledWorker struct {
	ID      string `json:"w"`
	Address string `json:"a"`
	// Incarnation is the one for which the updates of the worker are.
	Incarnation int64 `json:"b,omitempty"`
}

// polledWorkerOf returns the worker at a target, with the incarnation that the cell knows.
func polledWorkerOf(target Target, c *cell.Cell) polledWorker {
	acked, _ := c.Acked(target.ID)
	return polledWorker{ID: target.ID, Address: target.Address, Incarnation: acked.Incarnation}
}

// target returns where the worker is polled.
func (w polledWorker) target() Target { return Target{ID: w.ID, Address: w.Address} }

// pollUpdate has the next values of a worker's polls, as in PollCall. They are for the incarnation
// that the last list of the group's workers names, so that no update has to.
type pollUpdate struct {
	Worker   string `json:"w"`
	NotAfter int64  `json:"n,omitempty"`
	Acked    int64  `json:"k,omitempty"`
}

// pollReplies answers a pollRequest.
type pollReplies struct {
	Reports []pollReport `json:"reports,omitempty"`
}

// pollReport is a worker's reply to a poll, or says that there was none.
type pollReport struct {
	Worker string `json:"w"`
	// Number rises with each report of a group.
	Number uint64 `json:"n"`
	// Seq is that of the last request which had arrived when the poll was sent.
	Seq uint64 `json:"s"`
	// Failed is set if the worker did not reply, and Fenced if it has seen a higher fence.
	Failed      bool        `json:"failed,omitempty"`
	Fenced      bool        `json:"fenced,omitempty"`
	Clock       int64       `json:"c,omitempty"`
	Incarnation int64       `json:"b,omitempty"`
	Running     []reportRun `json:"r,omitempty"`
	Ends        []reportEnd `json:"e,omitempty"`
	More        bool        `json:"more,omitempty"`
}

// reportRun is a cell.ListedRun.
type reportRun struct {
	Task       string `json:"t"`
	Run        int    `json:"r"`
	Checkpoint string `json:"p,omitempty"`
	Percent    int    `json:"c,omitempty"`
	// TailMS is the tail latency in milliseconds.
	TailMS int64 `json:"l,omitempty"`
}

// reportEnd is a cell.End.
type reportEnd struct {
	Seq        int64        `json:"n"`
	Task       string       `json:"t"`
	Run        int          `json:"r"`
	Kind       cell.EndKind `json:"k"`
	Checkpoint string       `json:"p,omitempty"`
}

// reportOf returns the report of a worker's reply.
func reportOf(worker string, seq uint64, reply PollReply) pollReport {
	l := reply.Listing
	report := pollReport{Worker: worker, Seq: seq, Clock: reply.Clock, Incarnation: l.Incarnation, More: l.More}
	for _, run := range l.Running {
		report.Running = append(report.Running, reportRun{
			Task: run.Task, Run: run.Number, Checkpoint: run.Checkpoint, Percent: run.Percent, TailMS: run.TailLatency.Milliseconds(),
		})
	}
	for _, end := range l.Ends {
		report.Ends = append(report.Ends, reportEnd{Seq: end.Seq, Task: end.Task, Run: end.Number, Kind: end.Kind, Checkpoint: end.Checkpoint})
	}
	return report
}

// urgent reports whether the scheduler is to know of the report at once: a run has ended, or
// the worker didn't reply.
func (p pollReport) urgent() bool { return p.Failed || len(p.Ends) > 0 }

// reply returns the worker's reply. sentAt is a time before the poll was sent.
func (p pollReport) reply(sentAt time.Time) PollReply {
	reply := PollReply{Clock: p.Clock, Listing: cell.Listing{SentAt: sentAt, Incarnation: p.Incarnation, More: p.More}}
	for _, run := range p.Running {
		reply.Listing.Running = append(reply.Listing.Running, cell.ListedRun{
			RunKey: cell.RunKey{Task: run.Task, Number: run.Run}, Checkpoint: run.Checkpoint, Percent: run.Percent,
			TailLatency: time.Duration(run.TailMS) * time.Millisecond,
		})
	}
	for _, end := range p.Ends {
		reply.Listing.Ends = append(reply.Listing.Ends, cell.End{
			Seq: end.Seq, RunKey: cell.RunKey{Task: end.Task, Number: end.Run}, Kind: end.Kind, Checkpoint: end.Checkpoint,
		})
	}
	return reply
}
