// Package callers is the callers' HTTP door of an entry.
//
// Every call carries a key ("Authorization: Bearer KEY"). The key's team is the
// only team the call can act for: jobs and request ids of other teams can't be
// read, joined or cancelled, and answer as if they did not exist. Every answer
// that isn't a success is an api.Error whose field ran is true: "not_run" is said
// only if the work surely was not and won't be run.
package callers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// Bounds of the door.
const (
	maxIDBytes    = 128
	retryStopping = time.Second
	retryNoConfig = 2 * time.Second
	// maxCalls bounds the calls in progress, maxHeldBytes the sum of their bodies.
	maxCalls     = 20_000
	maxHeldBytes = 32 << 20
)

// Config tells which configuration is in force.
type Config interface {
	// Current returns the snapshot in force; it is never nil.
	Current() *version.Snapshot
	// Admitting reports whether the snapshot is fresh enough to admit by.
	Admitting(now time.Time) bool
}

// Requests runs requests.
type Requests interface {
	Do(ctx context.Context, r *attempt.Request) attempt.Outcome
}

// Jobs keeps jobs. Errors are *api.Error.
type Jobs interface {
	Submit(ctx context.Context, team string, spec api.JobSpec) (api.JobView, error)
	Get(ctx context.Context, team, id string) (api.JobView, error)
	List(ctx context.Context, team string) ([]api.JobView, error)
	Cancel(ctx context.Context, team, id string) (api.JobView, error)
	Explain(ctx context.Context, team, id string) (api.Explanation, error)
}

// Options are what the door is made of.
type Options struct {
	Config   Config
	Requests Requests
	Jobs     Jobs
	// MaxBodyBytes bounds a body.
	MaxBodyBytes int64
	// Stopping reports that the entry is shutting down.
	Stopping func() bool
	// NewID makes an id for a request or job without one.
	NewID func() string
}

// door holds the handlers.
type door struct {
	Options
	gate *api.Gate
}

// Handler returns the door.
func Handler(o Options) http.Handler {
	held := max(maxHeldBytes, 2*o.MaxBodyBytes)
	d := &door{o, api.NewGate(api.GateLimits{Calls: maxCalls, Bytes: held})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/kinds/{kind}/requests", d.admitted(d.request))
	mux.HandleFunc("POST /v1/jobs", d.admitted(d.submit))
	mux.HandleFunc("GET /v1/jobs", d.admitted(d.list))
	mux.HandleFunc("GET /v1/jobs/{id}", d.admitted(d.get))
	mux.HandleFunc("GET /v1/jobs/{id}/explain", d.admitted(d.explain))
	mux.HandleFunc("DELETE /v1/jobs/{id}", d.admitted(d.cancel))
	mux.HandleFunc("GET /readyz", d.ready)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		api.WriteError(w, notRun(api.CodeNotFound, "", "no such path: "+r.URL.Path))
	})
	return mux
}

// call is one admitted call.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	snapshot *version.Snapshot
	team     string
	// keySHA256 is the hex SHA-256 of the key.
	keySHA256 string
	// bodyRead says that the whole body was read.
	bodyRead bool
}

// admitted checks readiness and the key before handle.
func (d *door) admitted(handle func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if d.Stopping() {
			w.Header().Set("Connection", "close")
		}
		r.Body = http.MaxBytesReader(w, r.Body, d.MaxBodyBytes)
		c, err := d.admit(w, r)
		if err == nil {
			err = d.gated(c, handle)
		} else {
			doubtNamed(err, r)
		}
		if err != nil {
			endIfUnread(c, w, r)
			api.WriteError(w, asAPIError(err))
		}
	}
}

// endIfUnread ends the connection after a refusal that left the body unread. Else
// the server would hold the answer back until the body has come.
func endIfUnread(c *call, w http.ResponseWriter, r *http.Request) {
	read := c != nil && c.bodyRead
	if r.ContentLength != 0 && !read {
		w.Header().Set("Connection", "close")
	}
}

// gated handles the call while the gate has room for it.
func (d *door) gated(c *call, handle func(*call) error) error {
	if c.r.ContentLength > d.MaxBodyBytes {
		return tooLarge(d.MaxBodyBytes)
	}
	leave, err := d.gate.Enter(c.team, api.BodyBytes(c.r, d.MaxBodyBytes))
	if err != nil {
		return err
	}
	defer leave()
	return handle(c)
}

func (d *door) admit(w http.ResponseWriter, r *http.Request) (*call, error) {
	if d.Stopping() {
		return nil, retry(notRun(api.CodeStopping, "", "this entry is stopping"), retryStopping)
	}
	if !d.Config.Admitting(time.Now()) {
		return nil, retry(notRun(api.CodeUnavailable, "", "the configuration in force isn't known here"), retryNoConfig)
	}
	snapshot := d.Config.Current()
	key, err := bearer(r)
	if err != nil {
		return nil, err
	}
	hash := records.HashKey(key)
	record, ok := snapshot.Keys[hash]
	if !ok {
		return nil, notRun(api.CodeUnauthorized, "authorization", "the key isn't valid")
	}
	return &call{w: w, r: r, snapshot: snapshot, team: record.Team, keySHA256: hash}, nil
}

// doubtNamed takes "not run" back where a request names its id: another entry may
// have run it when it was handed in before.
func doubtNamed(err error, r *http.Request) {
	var refused *api.Error
	if r.Header.Get(api.HeaderRequestID) != "" && errors.As(err, &refused) && refused.RetryAfter > 0 {
		refused.Ran = api.RanUnknown
	}
}

func bearer(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", notRun(api.CodeUnauthorized, "authorization", "a key is missing: Authorization: Bearer KEY")
	}
	return key, nil
}

func (d *door) ready(w http.ResponseWriter, _ *http.Request) {
	if d.Stopping() || !d.Config.Admitting(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// request handles one request to an upstream.
func (d *door) request(c *call) error {
	r, err := d.decodeRequest(c)
	if err != nil {
		return err
	}
	outcome := d.Requests.Do(c.r.Context(), r)
	c.w.Header().Set(api.HeaderRequestID, r.ID)
	if outcome.Err != nil {
		failed := *outcome.Err
		failed.RequestID = r.ID
		return &failed
	}
	c.w.Header().Set(api.HeaderWorker, outcome.Worker)
	c.w.Header().Set(api.HeaderWaited, strconv.FormatInt(outcome.Waited.Milliseconds(), 10))
	c.w.Header().Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	c.w.WriteHeader(outcome.Status)
	_, _ = c.w.Write(outcome.Body)
	return nil
}

func (d *door) decodeRequest(c *call) (*attempt.Request, error) {
	kind, ok := c.snapshot.Kinds[c.r.PathValue("kind")]
	if !ok || !kind.Allows(c.team) {
		return nil, notRun(api.CodeNotFound, "kind", "no such kind of work for this team: "+c.r.PathValue("kind"))
	}
	if kind.Policy != version.PolicyRequest {
		return nil, notRun(api.CodeInvalid, "kind", "work of kind "+kind.Name+" is handed in as a job")
	}
	deadline, err := requestDeadline(c.r.Header.Get(api.HeaderDeadline), kind)
	if err != nil {
		return nil, err
	}
	r := &attempt.Request{Team: c.team, Kind: kind.Name, KeySHA256: c.keySHA256, Version: c.snapshot.Number, Deadline: time.Now().Add(deadline)}
	r.ID = c.r.Header.Get(api.HeaderRequestID)
	r.Named = r.ID != ""
	if !r.Named {
		r.ID = d.NewID()
	}
	if err := checkID(r.ID, "request_id"); err != nil {
		return nil, err
	}
	r.Body, err = readBody(c)
	return r, err
}

func requestDeadline(header string, kind *version.Kind) (time.Duration, error) {
	if header == "" {
		return kind.Deadline, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	longest := kind.Deadline.Milliseconds()
	if err != nil || ms < 1 || ms > longest {
		return 0, notRun(api.CodeInvalid, "deadline", "want milliseconds from 1 to the kind's "+strconv.FormatInt(longest, 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// checkID holds ids to printable ASCII without slashes, so that they can stand in
// rows and paths.
func checkID(id, field string) error {
	if len(id) > maxIDBytes {
		return notRun(api.CodeInvalid, field, "longer than "+strconv.Itoa(maxIDBytes)+" bytes")
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' || b == '/' {
			return notRun(api.CodeInvalid, field, "want printable ASCII without spaces and slashes")
		}
	}
	return nil
}

// readBody returns the whole body, or an error if it is too large or cut short.
func readBody(c *call) ([]byte, error) {
	body, err := io.ReadAll(c.r.Body)
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(over.Limit)
	}
	if err != nil {
		return nil, notRun(api.CodeInvalid, "body", "cut short: "+err.Error())
	}
	c.bodyRead = true
	return body, nil
}

func tooLarge(limit int64) *api.Error {
	return notRun(api.CodeTooLarge, "body", "larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

func (d *door) submit(c *call) error {
	spec, err := d.decodeJob(c)
	if err != nil {
		return err
	}
	view, err := d.Jobs.Submit(c.r.Context(), c.team, spec)
	return d.answer(c, http.StatusAccepted, view, err)
}

func (d *door) decodeJob(c *call) (api.JobSpec, error) {
	var spec api.JobSpec
	body, err := readBody(c)
	if err != nil {
		return spec, err
	}
	if err := api.DecodeStrict(body, &spec); err != nil {
		return spec, err
	}
	if spec.ID == "" {
		spec.ID = d.NewID()
	}
	if err := checkID(spec.ID, "id"); err != nil {
		return spec, err
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	kind, ok := c.snapshot.Kinds[spec.Kind]
	if !ok || !kind.Allows(c.team) {
		return spec, notRun(api.CodeNotFound, "kind", "no such kind of work for this team: "+spec.Kind)
	}
	return spec, checkJob(&spec, kind)
}

func checkJob(spec *api.JobSpec, kind *version.Kind) error {
	if kind.Policy == version.PolicyRequest {
		return notRun(api.CodeInvalid, "kind", "work of kind "+kind.Name+" is sent as a request")
	}
	if spec.Tasks < 1 || spec.Tasks > kind.MaxTasks {
		return notRun(api.CodeInvalid, "tasks", "want 1 to "+strconv.Itoa(kind.MaxTasks))
	}
	if spec.Amount.IsZero() {
		spec.Amount = kind.Amount
	}
	for dimension, amount := range spec.Amount.Vector() {
		if amount < 0 || amount >= version.NoLimit {
			return notRun(api.CodeInvalid, "amount", "dimension "+strconv.Itoa(dimension)+" is out of range")
		}
	}
	spec.Amount.Running = 1
	return nil
}

func (d *door) list(c *call) error {
	views, err := d.Jobs.List(c.r.Context(), c.team)
	return d.answer(c, http.StatusOK, views, err)
}

func (d *door) get(c *call) error {
	view, err := d.Jobs.Get(c.r.Context(), c.team, c.r.PathValue("id"))
	return d.answer(c, http.StatusOK, view, err)
}

func (d *door) explain(c *call) error {
	explanation, err := d.Jobs.Explain(c.r.Context(), c.team, c.r.PathValue("id"))
	return d.answer(c, http.StatusOK, explanation, err)
}

func (d *door) cancel(c *call) error {
	view, err := d.Jobs.Cancel(c.r.Context(), c.team, c.r.PathValue("id"))
	return d.answer(c, http.StatusOK, view, err)
}

func (d *door) answer(c *call, status int, body any, err error) error {
	if err != nil {
		return err
	}
	api.WriteJSON(c.w, status, body)
	return nil
}

func notRun(code, field, message string) *api.Error {
	return &api.Error{Code: code, Field: field, Message: message, Ran: api.NotRun}
}

func retry(e *api.Error, after time.Duration) *api.Error {
	e.RetryAfter = after
	return e
}

// asAPIError keeps typed errors; anything else is an outcome nobody knows.
func asAPIError(err error) *api.Error {
	var typed *api.Error
	if errors.As(err, &typed) {
		return typed
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return notRun(api.CodeInvalid, "body", err.Error())
	}
	return &api.Error{Code: api.CodeUnknown, Message: err.Error(), Ran: api.RanUnknown}
}
