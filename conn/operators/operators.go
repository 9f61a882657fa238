// Package operators is the operators' HTTP door of an entry: records, views of
// what the entries know, and single steps such as withdrawing a key.
//
// Every call carries the operators' key of the settings. A change is accepted
// only when it is in force in the platform's table; the answer then names the
// entries that confirmed it and those that didn't within ConfirmFor.
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

// ConfirmFor is how long a change waits for the entries to confirm it.
const ConfirmFor = 3 * time.Second

// Bounds of the door.
const (
	maxBodyBytes = 4 << 20
	// maxCalls bounds the calls in progress, maxHeldBytes the sum of their bodies.
	maxCalls     = 64
	maxHeldBytes = 4 * maxBodyBytes
)

// Result is what became of a change.
type Result struct {
	Number         uint64
	AlreadyApplied bool
}

// Edit makes new records from those in force.
type Edit func(*records.Records) (*records.Records, error)

// Config applies changes. Errors of Apply that are not *api.Error have an unknown
// outcome.
type Config interface {
	Current() *version.Snapshot
	Records() *records.Records
	Apply(ctx context.Context, changeID string, base uint64, edit Edit) (Result, error)
}

// Views tells what this entry knows.
type Views interface {
	Entries() []api.EntryView
	Workers() []api.WorkerView
	Teams() []api.TeamView
	Jobs(ctx context.Context, team string) ([]api.JobView, error)
	Burn() burn.Part
	// Confirm waits until the entries have the version in force, or ctx ends.
	Confirm(ctx context.Context, number uint64) (confirmed, unconfirmed []string)
	// Drain lets no new work go to the worker, or allows it again.
	Drain(ctx context.Context, worker string, on bool) error
}

// Options are what the door is made of.
type Options struct {
	Config Config
	Views  Views
	// KeySHA256 is the hex SHA-256 of the operators' key.
	KeySHA256 string
	NewID     func() string
}

type door struct {
	Options
	gate *api.Gate
}

// Handler returns the door.
func Handler(o Options) http.Handler {
	d := &door{o, api.NewGate(api.GateLimits{Calls: maxCalls, Bytes: maxHeldBytes})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/apply", d.checked(d.apply))
	mux.HandleFunc("POST /v1/plan", d.checked(d.plan))
	mux.HandleFunc("GET /v1/records", d.checked(d.records))
	mux.HandleFunc("POST /v1/keys/{id}/withdraw", d.checked(d.withdraw))
	mux.HandleFunc("POST /v1/workers/{name}/drain", d.checked(d.drain(true)))
	mux.HandleFunc("DELETE /v1/workers/{name}/drain", d.checked(d.drain(false)))
	mux.HandleFunc("GET /v1/entries", d.checked(d.entries))
	mux.HandleFunc("GET /v1/workers", d.checked(d.workers))
	mux.HandleFunc("GET /v1/teams", d.checked(d.teams))
	mux.HandleFunc("GET /v1/teams/{team}/jobs", d.checked(d.jobs))
	mux.HandleFunc("GET /v1/burn", d.checked(d.burn))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		api.WriteError(w, refused(api.CodeNotFound, "", "no such path: "+r.URL.Path))
	})
	return mux
}

// checked checks the operators' key, bounds the body and writes the answer.
func (d *door) checked(handle func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if !d.holdsKey(r) {
			endWithBody(w, r)
			api.WriteError(w, refused(api.CodeUnauthorized, "authorization", "the operators' key is missing or wrong"))
			return
		}
		answer, err := d.gated(r, handle)
		if err != nil {
			endWithBody(w, r)
			api.WriteError(w, asAPIError(err))
			return
		}
		api.WriteJSON(w, http.StatusOK, answer)
	}
}

// endWithBody ends the connection after a refusal of a call with a body, which the
// server would else wait for before it sends the answer.
func endWithBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
}

// gated handles the call while the gate has room for it.
func (d *door) gated(r *http.Request, handle func(*http.Request) (any, error)) (any, error) {
	leave, err := d.gate.Enter("", api.BodyBytes(r, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	defer leave()
	return handle(r)
}

func (d *door) holdsKey(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(d.KeySHA256)) == 1
}

func (d *door) apply(r *http.Request) (any, error) {
	request, after, err := readApply(r)
	if err != nil {
		return nil, err
	}
	if request.ChangeID == "" {
		request.ChangeID = d.NewID()
	}
	return d.change(r.Context(), request.ChangeID, request.Base, func(*records.Records) (*records.Records, error) {
		return after, nil
	})
}

// change applies an edit and waits for the entries.
func (d *door) change(ctx context.Context, id string, base uint64, edit Edit) (api.ApplyResult, error) {
	var changes []string
	result, err := d.Config.Apply(ctx, id, base, func(before *records.Records) (*records.Records, error) {
		after, err := edit(before)
		if err != nil {
			return nil, err
		}
		changes = lines(records.Diff(before, after))
		return after, nil
	})
	if err != nil {
		return api.ApplyResult{}, err
	}
	confirmCtx, cancel := context.WithTimeout(ctx, ConfirmFor)
	defer cancel()
	confirmed, unconfirmed := d.Views.Confirm(confirmCtx, result.Number)
	return api.ApplyResult{
		Version: result.Number, AlreadyApplied: result.AlreadyApplied, Changes: changes,
		Confirmed: confirmed, Unconfirmed: unconfirmed,
	}, nil
}

func (d *door) plan(r *http.Request) (any, error) {
	_, after, err := readApply(r)
	if err != nil {
		return nil, err
	}
	base := d.Config.Current().Number
	return api.PlanResult{Base: base, Changes: lines(records.Diff(d.Config.Records(), after))}, nil
}

func (d *door) records(*http.Request) (any, error) {
	number := d.Config.Current().Number
	data, err := records.Encode(d.Config.Records())
	return api.RecordsView{Version: number, Data: string(data)}, err
}

func (d *door) withdraw(r *http.Request) (any, error) {
	id := r.PathValue("id")
	return d.change(r.Context(), d.NewID(), 0, func(before *records.Records) (*records.Records, error) {
		after := before.Clone()
		for i, key := range after.Keys {
			if key.ID == id {
				after.Keys = append(after.Keys[:i], after.Keys[i+1:]...)
				return after, nil
			}
		}
		return nil, refused(api.CodeNotFound, "id", "no such key: "+id)
	})
}

func (d *door) drain(on bool) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		return struct{}{}, d.Views.Drain(r.Context(), r.PathValue("name"), on)
	}
}

func (d *door) entries(*http.Request) (any, error) { return d.Views.Entries(), nil }

func (d *door) workers(*http.Request) (any, error) { return d.Views.Workers(), nil }

func (d *door) teams(*http.Request) (any, error) { return d.Views.Teams(), nil }

func (d *door) burn(*http.Request) (any, error) { return d.Views.Burn(), nil }

func (d *door) jobs(r *http.Request) (any, error) {
	return d.Views.Jobs(r.Context(), r.PathValue("team"))
}

// readApply reads the body and parses its files.
func readApply(r *http.Request) (api.ApplyRequest, *records.Records, error) {
	var request api.ApplyRequest
	body, err := io.ReadAll(r.Body)
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return request, nil, refused(api.CodeTooLarge, "body", "larger than "+strconv.FormatInt(over.Limit, 10)+" bytes")
	}
	if err != nil {
		return request, nil, refused(api.CodeInvalid, "body", "cut short: "+err.Error())
	}
	if err := api.DecodeStrict(body, &request); err != nil {
		return request, nil, err
	}
	after, err := parseFiles(request.Files)
	if err != nil {
		return request, nil, refused(api.CodeInvalid, "files", err.Error())
	}
	return request, after, nil
}

// parseFiles parses, merges and compiles; all faults are reported at once.
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

func lines(changes []records.Change) []string {
	texts := make([]string, 0, len(changes))
	for _, change := range changes {
		texts = append(texts, change.String())
	}
	return texts
}

func refused(code, field, message string) *api.Error {
	return &api.Error{Code: code, Field: field, Message: message, Ran: api.NotRun}
}

func asAPIError(err error) *api.Error {
	var typed *api.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &api.Error{Code: api.CodeUnknown, Message: err.Error(), Ran: api.RanUnknown}
}
