// Package callers serves an entry's HTTP API for callers, the clients that send requests and
// submit jobs.
//
// Every call carries a key ("Authorization: Bearer KEY") and acts only for the team of
// that key. Jobs and request IDs of other teams can't be read, joined or cancelled: they
// are answered as if they did not exist.
//
// Every unsuccessful answer is an api.Error. Its Ran is "not_run" only if the work was not
// run and will not be.
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

// Limits and retry delays of the API.
const (
	// maxIDBytes is the maximum length of the ID of a request or job.
	maxIDBytes = 128
	// retryStopping is the retry delay sent by an entry that is stopping, retryNoConfig by
	// one whose configuration is not recent enough to admit work.
	retryStopping = time.Second
	retryNoConfig = 2 * time.Second
	// maxCalls is the maximum number of calls in progress, maxBodiesBytes the maximum
	// total size of their bodies.
	maxCalls       = 20_000
	maxBodiesBytes = 32 << 20
)

// Config provides the configuration in force.
type Config interface {
	// Current returns the snapshot in force; it is never nil.
	Current() *version.Snapshot
	// Admitting reports whether the snapshot is recent enough to admit work.
	Admitting(now time.Time) bool
}

// Requests runs requests.
type Requests interface {
	Do(ctx context.Context, r *attempt.Request) attempt.Outcome
}

// Jobs manages jobs. Errors of the type *api.Error are sent to the caller as they are; any
// other error is reported as an unknown outcome.
type Jobs interface {
	Submit(ctx context.Context, team string, spec api.JobSpec) (api.JobView, error)
	Get(ctx context.Context, team, id string) (api.JobView, error)
	List(ctx context.Context, team string) ([]api.JobView, error)
	Cancel(ctx context.Context, team, id string) (api.JobView, error)
	Explain(ctx context.Context, team, id string) (api.Explanation, error)
}

// Options are the dependencies and limits of the API.
type Options struct {
	Config   Config
	Requests Requests
	Jobs     Jobs
	// MaxBodyBytes is the maximum size of a body.
	MaxBodyBytes int64
	// Stopping reports whether the entry is shutting down.
	Stopping func() bool
	// NewID generates an ID for a request or job without one.
	NewID func() string
}

// server implements the handlers.
type server struct {
	Options
	limiter *api.CallLimiter
}

// Handler returns the handler of the API.
func Handler(o Options) http.Handler {
	// A team may use half of the bytes, which must be enough for one body.
	bodies := max(maxBodiesBytes, 2*o.MaxBodyBytes)
	s := &server{o, api.NewCallLimiter(api.CallLimits{Calls: maxCalls, Bytes: bodies})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/kinds/{kind}/requests", s.admitted(s.request))
	mux.HandleFunc("POST /v1/jobs", s.admitted(s.submit))
	mux.HandleFunc("GET /v1/jobs", s.admitted(s.list))
	mux.HandleFunc("GET /v1/jobs/{id}", s.admitted(s.get))
	mux.HandleFunc("GET /v1/jobs/{id}/explain", s.admitted(s.explain))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.admitted(s.cancel))
	mux.HandleFunc("GET /readyz", s.ready)
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
	// bodyRead is set once the complete body has been read.
	bodyRead bool
}

// admitted returns a handler that calls handle for calls that pass admit and the limiter,
// and writes the error of those that fail.
func (s *server) admitted(handle func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Stopping() {
			w.Header().Set("Connection", "close")
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.MaxBodyBytes)
		c, err := s.admit(w, r)
		if err == nil {
			err = s.limited(c, handle)
		} else {
			markRanUnknown(err, r)
		}
		if err != nil {
			closeIfUnread(c, w, r)
			api.WriteError(w, asAPIError(err))
		}
	}
}

// closeIfUnread closes the connection after a refusal that left the body unread.
// Otherwise, net/http would delay the answer until the body has arrived.
func closeIfUnread(c *call, w http.ResponseWriter, r *http.Request) {
	read := c != nil && c.bodyRead
	if r.ContentLength != 0 && !read {
		w.Header().Set("Connection", "close")
	}
}

// limited calls handle if the limits allow one more call with this body.
func (s *server) limited(c *call, handle func(*call) error) error {
	if c.r.ContentLength > s.MaxBodyBytes {
		return tooLarge(s.MaxBodyBytes)
	}
	release, err := s.limiter.Acquire(c.team, api.BodyBytes(c.r, s.MaxBodyBytes))
	if err != nil {
		return err
	}
	defer release()
	return handle(c)
}

// admit returns the call if the entry can admit work and the key is valid.
func (s *server) admit(w http.ResponseWriter, r *http.Request) (*call, error) {
	if s.Stopping() {
		return nil, retry(notRun(api.CodeStopping, "", "this entry is stopping"), retryStopping)
	}
	if !s.Config.Admitting(time.Now()) {
		return nil, retry(notRun(api.CodeUnavailable, "", "the configuration in force isn't known here"), retryNoConfig)
	}
	snapshot := s.Config.Current()
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

// markRanUnknown sets Ran of a retryable refusal to unknown if the caller chose the ID of
// the request: another entry may have run it when it was sent before with the same ID.
func markRanUnknown(err error, r *http.Request) {
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

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Stopping() || !s.Config.Admitting(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// request handles a request to an upstream.
func (s *server) request(c *call) error {
	r, err := s.decodeRequest(c)
	if err != nil {
		return err
	}
	outcome := s.Requests.Do(c.r.Context(), r)
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

func (s *server) decodeRequest(c *call) (*attempt.Request, error) {
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
		r.ID = s.NewID()
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

// checkID checks that an ID is printable ASCII without spaces and slashes, since IDs are
// used in row keys and paths.
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

// readBody returns the complete body, or an error if it is too large or truncated.
func readBody(c *call) ([]byte, error) {
	body, err := io.ReadAll(c.r.Body)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, tooLarge(tooLong.Limit)
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

func (s *server) submit(c *call) error {
	spec, err := s.decodeJob(c)
	if err != nil {
		return err
	}
	view, err := s.Jobs.Submit(c.r.Context(), c.team, spec)
	return s.answer(c, http.StatusAccepted, view, err)
}

func (s *server) decodeJob(c *call) (api.JobSpec, error) {
	var spec api.JobSpec
	body, err := readBody(c)
	if err != nil {
		return spec, err
	}
	if err := api.DecodeStrict(body, &spec); err != nil {
		return spec, err
	}
	if spec.ID == "" {
		spec.ID = s.NewID()
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

// checkJob checks the job against its kind and fills in the kind's amount if the job has
// none.
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

func (s *server) list(c *call) error {
	views, err := s.Jobs.List(c.r.Context(), c.team)
	return s.answer(c, http.StatusOK, views, err)
}

func (s *server) get(c *call) error {
	view, err := s.Jobs.Get(c.r.Context(), c.team, c.r.PathValue("id"))
	return s.answer(c, http.StatusOK, view, err)
}

func (s *server) explain(c *call) error {
	explanation, err := s.Jobs.Explain(c.r.Context(), c.team, c.r.PathValue("id"))
	return s.answer(c, http.StatusOK, explanation, err)
}

func (s *server) cancel(c *call) error {
	view, err := s.Jobs.Cancel(c.r.Context(), c.team, c.r.PathValue("id"))
	return s.answer(c, http.StatusOK, view, err)
}

func (s *server) answer(c *call, status int, body any, err error) error {
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

// asAPIError returns the *api.Error in err. A JSON syntax error becomes one for an invalid
// body, any other error becomes one with an unknown outcome.
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
