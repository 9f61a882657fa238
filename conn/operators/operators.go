// Package operators serves an entry's HTTP API for operators: changes to the records,
// views of the state known to the entry, and single actions such as withdrawing a key.
//
// Every call carries the operators' key from the settings. A change is accepted once it is
// in the platform's table. The answer lists the entries that confirmed it within
// ConfirmTimeout and those that did not.
package operators

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/process/burn"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// ConfirmTimeout is how long a change waits for the entries to confirm it.
const ConfirmTimeout = 3 * time.Second

// Limits of the API.
const (
	maxBodyBytes = 4 << 20
	// maxCalls is the maximum number of calls in progress, maxBodiesBytes the maximum
	// total size of their bodies.
	maxCalls       = 64
	maxBodiesBytes = 4 * maxBodyBytes
)

// Result is the outcome of a change: the number of its version, and whether it had been
// applied by an earlier call.
type Result struct {
	Number         uint64
	AlreadyApplied bool
}

// Edit returns new records, given those in force.
type Edit func(*records.Records) (*records.Records, error)

// Config provides the configuration in force and applies changes. If Apply returns an error
// that is not an *api.Error, the outcome of the change is unknown.
type Config interface {
	Current() *version.Snapshot
	Records() *records.Records
	Apply(ctx context.Context, changeID string, base uint64, edit Edit) (Result, error)
}

// Views provides the state known to this entry.
type Views interface {
	Entries() []api.EntryView
	Workers() []api.WorkerView
	Teams() []api.TeamView
	Jobs(ctx context.Context, team string) ([]api.JobView, error)
	Burn() burn.Part
	// Confirm waits until the version is in force on all entries, or ctx is done.
	Confirm(ctx context.Context, number uint64) (confirmed, unconfirmed []string)
	// Drain stops new work from being placed on the worker, or allows it again.
	Drain(ctx context.Context, worker string, on bool) error
}

// Options are the dependencies of the API.
type Options struct {
	Config Config
	Views  Views
	// KeySHA256 is the hex SHA-256 of the operators' key.
	KeySHA256 string
	NewID     func() string
}

type server struct {
	Options
	limiter *api.CallLimiter
}

// Handler returns the handler of the API.
func Handler(o Options) http.Handler {
	s := &server{o, api.NewCallLimiter(api.CallLimits{Calls: maxCalls, Bytes: maxBodiesBytes})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/apply", s.checked(s.apply))
	mux.HandleFunc("POST /v1/plan", s.checked(s.plan))
	mux.HandleFunc("GET /v1/records", s.checked(s.records))
	mux.HandleFunc("POST /v1/keys/{id}/withdraw", s.checked(s.withdraw))
	mux.HandleFunc("POST /v1/workers/{name}/drain", s.checked(s.drain(true)))
	mux.HandleFunc("DELETE /v1/workers/{name}/drain", s.checked(s.drain(false)))
	mux.HandleFunc("GET /v1/entries", s.checked(s.entries))
	mux.HandleFunc("GET /v1/workers", s.checked(s.workers))
	mux.HandleFunc("GET /v1/teams", s.checked(s.teams))
	mux.HandleFunc("GET /v1/teams/{team}/jobs", s.checked(s.jobs))
	mux.HandleFunc("GET /v1/burn", s.checked(s.burn))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		api.WriteError(w, notRun(api.CodeNotFound, "", "no such path: "+r.URL.Path))
	})
	return mux
}

// checked returns a handler that checks the operators' key, limits the size of the body,
// calls handle and writes the answer.
func (s *server) checked(handle func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if !s.hasKey(r) {
			closeIfBody(w, r)
			api.WriteError(w, notRun(api.CodeUnauthorized, "authorization", "the operators' key is missing or wrong"))
			return
		}
		answer, err := s.limited(r, handle)
		if err != nil {
			closeIfBody(w, r)
			api.WriteError(w, asAPIError(err))
			return
		}
		api.WriteJSON(w, http.StatusOK, answer)
	}
}

// closeIfBody closes the connection after a refused call with a body. Otherwise, net/http
// would delay the answer until the body has arrived.
func closeIfBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}

// limited calls handle if the limits allow one more call with this body.
func (s *server) limited(r *http.Request, handle func(*http.Request) (any, error)) (any, error) {
	release, err := s.limiter.Acquire("", api.BodyBytes(r, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	defer release()
	return handle(r)
}

func (s *server) hasKey(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(s.KeySHA256)) == 1
}

func (s *server) apply(r *http.Request) (any, error) {
	request, after, err := readApply(r)
	if err != nil {
		return nil, err
	}
	if request.ChangeID == "" {
		request.ChangeID = s.NewID()
	}
	return s.change(r.Context(), request.ChangeID, request.Base, func(*records.Records) (*records.Records, error) {
		return after, nil
	})
}

// change applies an edit and waits up to ConfirmTimeout for the entries to confirm it.
func (s *server) change(ctx context.Context, id string, base uint64, edit Edit) (api.ApplyResult, error) {
	var changes []string
	result, err := s.Config.Apply(ctx, id, base, func(before *records.Records) (*records.Records, error) {
		after, err := edit(before)
		if err != nil {
			return nil, err
		}
		changes = changeTexts(records.Diff(before, after))
		return after, nil
	})
	if err != nil {
		return api.ApplyResult{}, err
	}
	confirmCtx, cancel := context.WithTimeout(ctx, ConfirmTimeout)
	defer cancel()
	confirmed, unconfirmed := s.Views.Confirm(confirmCtx, result.Number)
	return api.ApplyResult{
		Version: result.Number, AlreadyApplied: result.AlreadyApplied, Changes: changes,
		Confirmed: confirmed, Unconfirmed: unconfirmed,
	}, nil
}

func (s *server) plan(r *http.Request) (any, error) {
	_, after, err := readApply(r)
	if err != nil {
		return nil, err
	}
	base := s.Config.Current().Number
	return api.PlanResult{Base: base, Changes: changeTexts(records.Diff(s.Config.Records(), after))}, nil
}

func (s *server) records(*http.Request) (any, error) {
	number := s.Config.Current().Number
	data, err := records.Encode(s.Config.Records())
	return api.RecordsView{Version: number, Data: string(data)}, err
}

func (s *server) withdraw(r *http.Request) (any, error) {
	id := r.PathValue("id")
	return s.change(r.Context(), s.NewID(), 0, func(before *records.Records) (*records.Records, error) {
		after := before.Clone()
		for i, key := range after.Keys {
			if key.ID == id {
				after.Keys = append(after.Keys[:i], after.Keys[i+1:]...)
				return after, nil
			}
		}
		return nil, notRun(api.CodeNotFound, "id", "no such key: "+id)
	})
}

func (s *server) drain(on bool) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		return struct{}{}, s.Views.Drain(r.Context(), r.PathValue("name"), on)
	}
}

func (s *server) entries(*http.Request) (any, error) { return s.Views.Entries(), nil }

func (s *server) workers(*http.Request) (any, error) { return s.Views.Workers(), nil }

func (s *server) teams(*http.Request) (any, error) { return s.Views.Teams(), nil }

func (s *server) burn(*http.Request) (any, error) { return s.Views.Burn(), nil }

func (s *server) jobs(r *http.Request) (any, error) {
	return s.Views.Jobs(r.Context(), r.PathValue("team"))
}

// readApply reads the body and parses and checks its files.
func readApply(r *http.Request) (api.ApplyRequest, *records.Records, error) {
	var request api.ApplyRequest
	body, err := io.ReadAll(r.Body)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return request, nil, notRun(api.CodeTooLarge, "body", "larger than "+strconv.FormatInt(tooLong.Limit, 10)+" bytes")
	}
	if err != nil {
		return request, nil, notRun(api.CodeInvalid, "body", "cut short: "+err.Error())
	}
	if err := api.DecodeStrict(body, &request); err != nil {
		return request, nil, err
	}
	after, err := parseFiles(request.Files)
	if err != nil {
		return request, nil, notRun(api.CodeInvalid, "files", err.Error())
	}
	return request, after, nil
}

// parseFiles parses, merges and compiles the files. The error lists all faults found by
// the step that failed.
func parseFiles(files []api.File) (*records.Records, error) {
	if len(files) == 0 {
		return nil, errors.New("no files")
	}
	var parts []*records.Records
	var faults []error
	for _, file := range files {
		part, err := records.Parse(file.Name, []byte(file.Data))
		if err != nil {
			faults = append(faults, err)
			continue
		}
		parts = append(parts, part)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	all, err := records.Merge(parts...)
	if err != nil {
		return nil, err
	}
	_, err = records.Compile(all, 1)
	return all, err
}

func changeTexts(changes []records.Change) []string {
	texts := make([]string, 0, len(changes))
	for _, change := range changes {
		texts = append(texts, change.String())
	}
	return texts
}

func notRun(code, field, message string) *api.Error {
	return &api.Error{Code: code, Field: field, Message: message, Ran: api.NotRun}
}

// asAPIError returns the *api.Error in err. Any other error becomes one with an unknown
// outcome.
func asAPIError(err error) *api.Error {
	var typed *api.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &api.Error{Code: api.CodeUnknown, Message: err.Error(), Ran: api.RanUnknown}
}
