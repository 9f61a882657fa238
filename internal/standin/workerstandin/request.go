package workerstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
)

// RequestPayload is what the body of a request may say. A body that is no such
// JSON is echoed and takes no time.
type RequestPayload struct {
	// WorkMS is how long the answer takes, in milliseconds.
	WorkMS int64 `json:"work_ms"`
	// Status is the status of the answer; 0 means 200.
	Status int `json:"status"`
}

// RequestAnswer is the body of the answer to a request.
type RequestAnswer struct {
	Worker string `json:"worker"`
	ID     string `json:"id"`
	Team   string `json:"team"`
	// Echo is the body of the request.
	Echo string `json:"echo"`
}

// fault is how the answer to a call goes wrong on its way.
type fault int

const (
	faultNone fault = iota
	faultCut
	faultTruncate
	faultWrongID
	faultDuplicate
)

// reply is the answer to a request before it is sent.
type reply struct {
	response worker.Response
	fault    fault
}

// do runs one request. The error is a *worker.RefusedError.
func (w *Worker) do(r worker.Request) (reply, error) {
	w.enter()
	var payload RequestPayload
	_ = json.Unmarshal(r.Body, &payload)
	work := time.Duration(payload.WorkMS) * time.Millisecond

	die, err := w.beginRequest(r)
	if err != nil {
		return reply{}, err
	}
	if die {
		go w.finishRequest(r, work)
		return reply{fault: faultCut}, nil
	}
	w.finishRequest(r, work)
	return reply{response: w.answer(r, payload), fault: w.takeFault()}, nil
}

func (w *Worker) beginRequest(r worker.Request) (die bool, err error) {
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
	return take(&w.switches.DieAfterRead), nil
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

func (w *Worker) takeFault() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &w.switches
	switch {
	case take(&s.LoseAnswers):
		return faultCut
	case take(&s.Truncate):
		return faultTruncate
	case take(&s.WrongID):
		return faultWrongID
	case take(&s.Duplicate):
		return faultDuplicate
	default:
		return faultNone
	}
}
