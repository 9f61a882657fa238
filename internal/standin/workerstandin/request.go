package workerstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// RequestPayload is the JSON that the body of a request may have. Any other body is echoed
// without delay.
type RequestPayload struct {
	// WorkMS is the run time of the request in milliseconds.
	WorkMS int64 `json:"work_ms"`
	// Status is the HTTP status of the response; 0 means 200.
	Status int `json:"status"`
}

// RequestAnswer is the body of the response to a request.
type RequestAnswer struct {
	Worker string `json:"worker"`
	ID     string `json:"id"`
	Team   string `json:"team"`
	// Echo is the body of the request.
	Echo string `json:"echo"`
}

// fault is a fault in the delivery of a response.
type fault int

const (
	faultNone fault = iota
	faultCut
	faultTruncate
	faultWrongID
	faultDuplicate
)

// reply is the response to a request before it is sent.
type reply struct {
	response worker.Response
	fault    fault
}

// do executes one request. The error is a *worker.RefusedError.
func (w *Worker) do(r worker.Request) (reply, error) {
	w.waitDelay()
	var payload RequestPayload
	_ = json.Unmarshal(r.Body, &payload)
	work := time.Duration(payload.WorkMS) * time.Millisecond

	dropReply, err := w.beginRequest(r)
	if err != nil {
		return reply{}, err
	}
	if dropReply {
		go w.finishRequest(r, work)
		return reply{fault: faultCut}, nil
	}
	w.finishRequest(r, work)
	return reply{response: w.answer(r, payload), fault: w.nextFault()}, nil
}

// beginRequest records the start of a request. dropReply reports that the connection must be
// closed immediately while the work continues.
func (w *Worker) beginRequest(r worker.Request) (dropReply bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweepLocked(time.Now())
	event := w.requestEvent(r)
	if err := w.fenceLocked(r.Epoch, event); err != nil {
		return false, err
	}
	if w.switches.Broken {
		event.Kind = EventRefused
		event.Detail = worker.RefusedBroken
		w.record.add(event)
		return false, w.refusedLocked(worker.RefusedBroken, "worker is broken")
	}
	if !w.record.fits(event.Amount) {
		event.Kind = EventOverCapacity
		w.record.add(event)
		return false, w.refusedLocked(worker.RefusedCapacity, "request doesn't fit")
	}
	event.Kind = EventRequestBegin
	w.record.add(event)
	w.inFlight[r.ID]++
	return consume(&w.switches.DieAfterRead), nil
}

func (w *Worker) finishRequest(r worker.Request, work time.Duration) {
	if work > 0 {
		time.Sleep(work)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	event := w.requestEvent(r)
	event.Kind = EventRequestEnd
	w.record.add(event)
	w.inFlight[r.ID]--
	if w.inFlight[r.ID] == 0 {
		delete(w.inFlight, r.ID)
	}
}

func (w *Worker) requestEvent(r worker.Request) Event {
	return Event{
		ID:     r.ID,
		Team:   r.Team,
		Work:   r.Kind,
		Epoch:  r.Epoch,
		Amount: w.config.RequestAmount,
	}
}

func (w *Worker) answer(r worker.Request, payload RequestPayload) worker.Response {
	status := payload.Status
	if status == 0 {
		status = http.StatusOK
	}
	body, err := json.Marshal(RequestAnswer{
		Worker: w.config.Name,
		ID:     r.ID,
		Team:   r.Team,
		Echo:   string(r.Body),
	})
	if err != nil {
		panic(err) // strings can always be encoded
	}
	return worker.Response{ID: r.ID, Worker: w.config.Name, Status: status, Body: body}
}

// nextFault returns the fault of the next response and decrements its switch.
func (w *Worker) nextFault() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.switches
	switch {
	case consume(&s.LoseAnswers):
		return faultCut
	case consume(&s.Truncate):
		return faultTruncate
	case consume(&s.WrongID):
		return faultWrongID
	case consume(&s.Duplicate):
		return faultDuplicate
	default:
		return faultNone
	}
}
