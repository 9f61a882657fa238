package cluster

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/cell"
)

const (
	// codeNoText is the RPC error code of an entry that doesn't have the text of a job.
	codeNoText = -32102
	// codeStartsLate is that of an entry to which start commands came too late, or which can't tell.
	codeStartsLate = -32104
)

// startBatch requests that another entry start runs of one job.
type startBatch struct {
	Fence uint64 `json:"fence"`
	// ID identifies the batch at the scheduler, whose address is Scheduler; late results are
	// sent there.
	ID        uint64 `json:"id"`
	Scheduler string `json:"scheduler"`
	Job       string `json:"job"`
	// Stamp is the scheduler's clock, as in its replies to heartbeats, when the message was made; 0
	// from an earlier version.
	Stamp int64 `json:"stamp,omitempty"`
	// TimeoutMS is how long after that the scheduler waits for results.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// Text is the job's text; nil if the entry has it. TextHash is the hash of it.
	Text     *string    `json:"text,omitempty"`
	TextHash uint64     `json:"hash,omitempty"`
	Runs     []startRun `json:"runs"`
}

// startRun is one run to start.
type startRun struct {
	Worker  string `json:"w"`
	Address string `json:"a"`
	Task    string `json:"t"`
	Run     int    `json:"r"`
	// NotAfter is as in StartCall.
	NotAfter   int64  `json:"n"`
	Checkpoint string `json:"p,omitempty"`
	Ticket     string `json:"k,omitempty"`
}

// call returns the call to the run's worker.
func (s startRun) call(fence uint64, text string, sendBy time.Time) (Target, StartCall) {
	return Target{ID: s.Worker, Address: s.Address}, StartCall{
		Fence: fence, NotAfter: s.NotAfter, SendBy: sendBy,
		StartCommand: cell.StartCommand{
			Worker: s.Worker, RunKey: cell.RunKey{Task: s.Task, Number: s.Run}, Text: text, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		},
	}
}

// startResults are the results known so far of the runs of a batch. It is the reply to a
// startBatch, and the message with the results that come later.
type startResults struct {
	Fence   uint64        `json:"fence,omitempty"`
	ID      uint64        `json:"id,omitempty"`
	Results []startResult `json:"results"`
}

// startResult is the result of the run at Index of its batch.
type startResult struct {
	Index  int       `json:"i"`
	Answer startWord `json:"a"`
}

// startWord is the result of a start command as sent between entries.
type startWord string

// The results. wordFenced means that the worker has seen a higher fence.
const (
	wordStarted   startWord = "ok"
	wordNoReply   startWord = "no_reply"
	wordNotSent   startWord = "not_sent"
	wordTicket    startWord = "ticket"
	wordUnhealthy startWord = "unhealthy"
	wordRefused   startWord = "refused"
	wordFenced    startWord = "fence"
)

var startWords = map[cell.StartAnswer]startWord{
	cell.StartOK: wordStarted, cell.StartNoReply: wordNoReply, cell.StartNotSent: wordNotSent,
	cell.StartTicketRejected: wordTicket, cell.StartUnhealthy: wordUnhealthy, cell.StartRefused: wordRefused,
}

// answer returns the result as the cell knows it. An unknown word is no reply: the run may
// be on its worker.
func (w startWord) answer() cell.StartAnswer {
	for answer, word := range startWords {
		if word == w {
			return answer
		}
	}
	return cell.StartNoReply
}
