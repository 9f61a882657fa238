package platformstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcuplatch/kingcuplatch/internal/standin"
	"github.com/kingcuplatch/kingcuplatch/process/platform"
	"github.com/kingcuplatch/kingcuplatch/process/platform/httpplatform"
)

// Paths of the stand-in that are not part of the platform's protocol, in addition to
// standin.PathSwitches.
const (
	// PathInstances serves POST of an InstancesChange.
	PathInstances = "/standin/instances"
	// PathCounts serves GET with Counts.
	PathCounts = "/standin/counts"
)

const (
	headerTimeout        = 10 * time.Second
	postInstancesTimeout = 10 * time.Second
)

// Handler serves the protocol of package httpplatform and the paths of the stand-in. A
// call whose outcome is unknown gets no response: its connection is closed.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpplatform.PathRow, p.serveRow)
	mux.HandleFunc("GET "+httpplatform.PathRows, p.serveRows)
	mux.HandleFunc("POST "+httpplatform.PathTransactions, p.serveTransaction)
	mux.HandleFunc("PUT "+httpplatform.PathObject, p.servePutObject)
	mux.HandleFunc("GET "+httpplatform.PathObject, p.serveGetObject)
	mux.HandleFunc("GET "+httpplatform.PathInstances, p.serveInstances)
	mux.HandleFunc("POST "+PathInstances, p.serveChangeInstances)
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, p.Counts())
	})
	standin.HandleSwitches(mux, p.Change)
	return mux
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, found, err := p.Get(r.Context(), r.URL.Query().Get("key"))
	respond(w, httpplatform.RowAnswer{Found: found, Row: row}, err)
}

func (p *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		respondInvalid(w, fmt.Errorf("limit: %w", err))
		return
	}
	rows, err := p.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	respond(w, httpplatform.RowsAnswer{Rows: rows}, err)
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if err := standin.ReadJSON(w, r, &txn); err != nil {
		respondInvalid(w, err)
		return
	}
	version, err := p.Commit(r.Context(), txn)
	respond(w, httpplatform.CommitAnswer{Version: version}, err)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := standin.ReadBody(w, r)
	if err != nil {
		respondInvalid(w, err)
		return
	}
	err = p.Objects().Put(r.Context(), r.URL.Query().Get("name"), body)
	respond(w, struct{}{}, err)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	body, err := p.Objects().Get(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		respondError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	list, shownChanges, err := p.listWithVersion(r.Context())
	etag := fmt.Sprintf("\"%x.%d\"", p.startedAt.UnixNano(), shownChanges)
	if err == nil && r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", etag)
	respond(w, httpplatform.InstancesAnswer{Instances: list}, err)
}

func (p *Platform) serveChangeInstances(w http.ResponseWriter, r *http.Request) {
	var change InstancesChange
	if err := standin.ReadJSON(w, r, &change); err != nil {
		respondInvalid(w, err)
		return
	}
	p.ChangeInstances(change)
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

func respond(w http.ResponseWriter, value any, err error) {
	if err != nil {
		respondError(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, value)
}

func respondInvalid(w http.ResponseWriter, err error) {
	problem := httpplatform.Problem{Code: httpplatform.CodeInvalid, Message: err.Error()}
	standin.WriteJSON(w, http.StatusBadRequest, problem)
}

// respondError responds with the error. If the outcome is unknown, it closes the
// connection without a response.
func respondError(w http.ResponseWriter, err error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		standin.WriteJSON(w, http.StatusConflict, httpplatform.Problem{
			Code:    httpplatform.CodeConflict,
			Key:     conflict.Key,
			Version: conflict.Version,
		})
	case errors.Is(err, platform.ErrNotFound):
		problem := httpplatform.Problem{Code: httpplatform.CodeNotFound}
		standin.WriteJSON(w, http.StatusNotFound, problem)
	case errors.Is(err, platform.ErrUnavailable):
		problem := httpplatform.Problem{Code: httpplatform.CodeUnavailable}
		standin.WriteJSON(w, http.StatusServiceUnavailable, problem)
	default:
		panic(http.ErrAbortHandler)
	}
}

// PostInstances changes the list of instances of the platform stand-in at baseURL.
func PostInstances(ctx context.Context, baseURL string, change InstancesChange) error {
	ctx, cancel := context.WithTimeout(ctx, postInstancesTimeout)
	defer cancel()
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+PathInstances, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("post instances peer %s: %s", baseURL, response.Status)
	}
	return nil
}
