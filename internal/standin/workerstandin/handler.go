package workerstandin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/kingcuplatch/kingcuplatch/conn/worker"
	"github.com/kingcuplatch/kingcuplatch/conn/worker/httpworker"
	"github.com/kingcuplatch/kingcuplatch/internal/standin"
)

// PathRecord is the path at which GET returns the Record.
const PathRecord = "/standin/record"

// Handler serves the protocol of package httpworker. It must run under Serve, which counts
// connections and applies the switches to them.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpworker.PathRequests, w.serveRequest)
	for _, path := range []string{
		httpworker.PathAdopt,
		httpworker.PathStart,
		httpworker.PathRenew,
		httpworker.PathStop,
		httpworker.PathCheckpoint,
		httpworker.PathThrottle,
		httpworker.PathForget,
	} {
		mux.HandleFunc("POST "+path, w.serveControl)
	}
	return mux
}

// StandinHandler serves the record of received calls and the fault switches. It needs a separate listener, which
// stays reachable when the worker does not.
func (w *Worker) StandinHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRecord, func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, http.StatusOK, w.Record())
	})
	standin.HandleSwitches(mux, w.Change)
	return mux
}

func (w *Worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseUint(r.Header.Get(httpworker.HeaderEpoch), 10, 64)
	if err != nil {
		w.refuse(rw, r, &worker.RefusedError{Code: worker.RefusedInvalid, Message: "epoch"})
		return
	}
	body, err := standin.ReadBody(rw, r)
	if err != nil {
		panic(http.ErrAbortHandler) // the request is incomplete
	}
	got, err := w.do(worker.Request{
		ID:    r.Header.Get(httpworker.HeaderID),
		Epoch: epoch,
		Team:  r.Header.Get(httpworker.HeaderTeam),
		Kind:  r.Header.Get(httpworker.HeaderKind),
		Body:  body,
	})
	if err != nil {
		w.refuse(rw, r, err)
		return
	}
	w.send(rw, got)
}

func (w *Worker) serveControl(rw http.ResponseWriter, r *http.Request) {
	var body httpworker.Control
	if err := standin.ReadJSON(rw, r, &body); err != nil {
		w.refuse(rw, r, &worker.RefusedError{Code: worker.RefusedInvalid, Message: err.Error()})
		return
	}
	answer, noReply, err := w.control(r.URL.Path, body)
	if noReply {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		w.refuse(rw, r, err)
		return
	}
	w.sendJSON(rw, r, http.StatusOK, answer)
}

// refuse writes err, which must be a *worker.RefusedError, as the response.
func (w *Worker) refuse(rw http.ResponseWriter, r *http.Request, err error) {
	var refused *worker.RefusedError
	if !errors.As(err, &refused) {
		panic(err)
	}
	status := http.StatusConflict
	if refused.Code == worker.RefusedCapacity || refused.Code == worker.RefusedBroken {
		status = http.StatusServiceUnavailable
	}
	rw.Header().Set(httpworker.HeaderRefused, refused.Code)
	w.sendJSON(rw, r, status, httpworker.Refusal{
		Code:    refused.Code,
		Epoch:   refused.Epoch,
		Message: refused.Message,
	})
}

func (w *Worker) sendJSON(rw http.ResponseWriter, r *http.Request, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // messages of the protocol can always be encoded
	}
	w.send(rw, reply{response: worker.Response{
		ID:     r.Header.Get(httpworker.HeaderID),
		Worker: w.config.Name,
		Status: status,
		Body:   body,
	}})
}

// send writes the response of a reply, altered or cut off according to its fault.
func (w *Worker) send(rw http.ResponseWriter, got reply) {
	response := got.response
	body := response.Body
	header := rw.Header()
	header.Set(httpworker.HeaderID, response.ID)
	header.Set(httpworker.HeaderWorker, response.Worker)
	header.Set(httpworker.HeaderDigest, httpworker.Digest(body))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	switch got.fault {
	case faultCut:
		panic(http.ErrAbortHandler)
	case faultTruncate:
		rw.WriteHeader(response.Status)
		_, _ = rw.Write(body[:len(body)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	case faultWrongID:
		header.Set(httpworker.HeaderID, response.ID+"-other")
	case faultDuplicate:
		sendTwice(rw, response)
		return
	}
	rw.WriteHeader(response.Status)
	_, _ = rw.Write(body)
}

// sendTwice writes the same response twice and closes the connection.
func sendTwice(rw http.ResponseWriter, response worker.Response) {
	conn, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	for range 2 {
		fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\n", response.Status, http.StatusText(response.Status))
		_ = rw.Header().Write(buffer)
		fmt.Fprint(buffer, "\r\n")
		_, _ = buffer.Write(response.Body)
	}
	_ = buffer.Flush()
}
