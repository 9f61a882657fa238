package callers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/process/resource"
	"github.com/kingcuplatch/kingcuplatch/request/attempt"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

const maxBody = 1 << 10

// fakeEntry implements the dependencies of the API and records the admitted work.
type fakeEntry struct {
	snapshot *version.Snapshot
	stale    bool

	mu   sync.Mutex
	ran  []*attempt.Request
	jobs []api.JobSpec
}

func (f *fakeEntry) Current() *version.Snapshot { return f.snapshot }
func (f *fakeEntry) Admitting(time.Time) bool   { return !f.stale }

func (f *fakeEntry) Do(_ context.Context, r *attempt.Request) attempt.Outcome {
	f.mu.Lock()
	f.ran = append(f.ran, r)
	f.mu.Unlock()
	return attempt.Outcome{Status: http.StatusOK, Body: r.Body}
}

func (f *fakeEntry) Submit(_ context.Context, team string, spec api.JobSpec) (api.JobView, error) {
	f.jobs = append(f.jobs, spec)
	return api.JobView{ID: spec.ID, Team: team}, nil
}

func (f *fakeEntry) Get(_ context.Context, team, id string) (api.JobView, error) {
	return api.JobView{}, errors.New("lost " + team + id)
}
func (f *fakeEntry) List(context.Context, string) ([]api.JobView, error) { return nil, nil }
func (f *fakeEntry) Cancel(ctx context.Context, team, id string) (api.JobView, error) {
	return f.Get(ctx, team, id)
}

func (f *fakeEntry) Explain(context.Context, string, string) (api.Explanation, error) {
	return api.Explanation{}, nil
}

func newFake() (*fakeEntry, http.Handler) {
	f := &fakeEntry{snapshot: &version.Snapshot{
		Keys: map[string]*version.Key{
			records.HashKey("key-a"): {ID: "a-1", Team: "a"},
			records.HashKey("key-b"): {ID: "b-1", Team: "b"},
		},
		Kinds: map[string]*version.Kind{
			"quote": {Name: "quote", Policy: version.PolicyRequest, Deadline: time.Second},
			"batch": {
				Name: "batch", Policy: version.PolicyBatch, MaxTasks: 5,
				Amount: resource.Amount{MilliCPU: 1}, Teams: []string{"a"},
			},
		},
	}}
	return f, Handler(Options{
		Config: f, Requests: f, Jobs: f, MaxBodyBytes: maxBody,
		Stopping: func() bool { return false }, NewID: func() string { return "made-up" },
	})
}

func request(method, path, key, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

// serve returns the status of the answer and, if it is unsuccessful, its error.
func serve(t *testing.T, h http.Handler, r *http.Request) (int, api.Error) {
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, r)
	var failed api.Error
	if answer.Code >= 300 {
		assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &failed), answer.Body)
	}
	return answer.Code, failed
}

// TestInvalidInputNamesTheField checks that invalid input is refused with the invalid field
// named, before any work runs.
func TestInvalidInputNamesTheField(t *testing.T) {
	large := strings.Repeat("x", maxBody+1)
	for _, c := range []struct {
		name, method, path, key, body string
		header, value                 string
		status                        int
		field                         string
	}{
		{"no key", "POST", "/v1/jobs", "", "{}", "", "", 401, "authorization"},
		{"wrong key", "POST", "/v1/jobs", "key-c", "{}", "", "", 401, "authorization"},
		{"unknown path", "GET", "/v2/jobs", "key-a", "", "", "", 404, ""},
		{"unknown method", "PATCH", "/v1/jobs", "key-a", "", "", "", 404, ""},
		{"unknown kind", "POST", "/v1/kinds/none/requests", "key-a", "", "", "", 404, "kind"},
		{"a job as a request", "POST", "/v1/kinds/batch/requests", "key-a", "", "", "", 400, "kind"},
		{"oversize request", "POST", "/v1/kinds/quote/requests", "key-a", large, "", "", 413, "body"},
		{"long id", "POST", "/v1/kinds/quote/requests", "key-a", "", api.HeaderRequestID, large, 400, "request_id"},
		{"id with a slash", "POST", "/v1/kinds/quote/requests", "key-a", "", api.HeaderRequestID, "b/q1", 400, "request_id"},
		{"deadline", "POST", "/v1/kinds/quote/requests", "key-a", "", api.HeaderDeadline, "-1", 400, "deadline"},
		{"empty job", "POST", "/v1/jobs", "key-a", "", "", "", 400, "body"},
		{"malformed job", "POST", "/v1/jobs", "key-a", `{"kind":`, "", "", 400, "body"},
		{"two jobs", "POST", "/v1/jobs", "key-a", `{"kind":"batch"}{}`, "", "", 400, "body"},
		{"unknown field", "POST", "/v1/jobs", "key-a", `{"kind":"batch","team":"b"}`, "", "", 400, "team"},
		{"wrong type", "POST", "/v1/jobs", "key-a", `{"kind":"batch","tasks":"5"}`, "", "", 400, "tasks"},
		{"oversize job", "POST", "/v1/jobs", "key-a", large, "", "", 413, "body"},
		{"too many tasks", "POST", "/v1/jobs", "key-a", `{"kind":"batch","tasks":6}`, "", "", 400, "tasks"},
		{"negative amount", "POST", "/v1/jobs", "key-a", `{"kind":"batch","amount":{"slots":-1}}`, "", "", 400, "amount"},
		{"another team's kind", "POST", "/v1/jobs", "key-b", `{"kind":"batch"}`, "", "", 404, "kind"},
		{"a request as a job", "POST", "/v1/jobs", "key-a", `{"kind":"quote"}`, "", "", 400, "kind"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, h := newFake()
			r := request(c.method, c.path, c.key, c.body)
			if c.header != "" {
				r.Header.Set(c.header, c.value)
			}
			status, failed := serve(t, h, r)
			assert.Equal(t, status, c.status, failed.Message)
			assert.Equal(t, failed.Field, c.field, failed.Message)
			assert.Equal(t, failed.Ran, api.NotRun)
			assert.Equal(t, len(f.ran)+len(f.jobs), 0)
		})
	}
}

// TestTruncatedBodyIsNotRun guards against running a request whose body ends before its
// declared length.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	f, h := newFake()
	r := request("POST", "/v1/kinds/quote/requests", "key-a", "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), &brokenReader{}))
	r.ContentLength = 8
	status, failed := serve(t, h, r)
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, failed.Field, "body")
	assert.Equal(t, len(f.ran), 0)
}

type brokenReader struct{}

func (*brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestBodyBytesAreBounded fills one team's half of the body bytes. The team's next call
// must be refused before it runs, another team's calls must succeed, and released bytes
// must be available again.
func TestBodyBytesAreBounded(t *testing.T) {
	f, _ := newFake()
	s := &server{
		Options{
			Config: f, Requests: f, Jobs: f, MaxBodyBytes: maxBody,
			Stopping: func() bool { return false }, NewID: func() string { return "made-up" },
		},
		api.NewCallLimiter(api.CallLimits{Calls: 3, Bytes: 4 * maxBody}),
	}
	send := func(key string) (int, api.Error) {
		r := request("POST", "/v1/kinds/quote/requests", key, strings.Repeat("x", maxBody))
		r.SetPathValue("kind", "quote")
		return serve(t, s.admitted(s.request), r)
	}
	var release [2]func()
	for i := range release {
		var err error
		release[i], err = s.limiter.Acquire("a", maxBody)
		assert.NilError(t, err)
	}
	status, failed := send("key-a")
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Assert(t, failed.Ran == api.NotRun && failed.RetryAfter > 0 && len(f.ran) == 0)
	for range 2 {
		status, _ = send("key-b")
		assert.Equal(t, status, http.StatusOK)
	}
	last, err := s.limiter.Acquire("b", 0)
	assert.NilError(t, err)
	status, _ = send("key-b")
	assert.Equal(t, status, http.StatusTooManyRequests, "three calls are in progress")
	last()
	release[0]()
	status, _ = send("key-a")
	assert.Equal(t, status, http.StatusOK)
}

// FuzzSubmit submits arbitrary bodies as jobs. A job is accepted with valid fields, or
// refused with the invalid field named and nothing run.
func FuzzSubmit(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		fake, h := newFake()
		status, failed := serve(t, h, request("POST", "/v1/jobs", "key-a", string(body)))
		if status == http.StatusAccepted {
			spec := fake.jobs[0]
			assert.Assert(t, spec.Kind == "batch" && spec.Tasks >= 1 && spec.Tasks <= 5)
			assert.NilError(t, checkID(spec.ID, "id"))
			return
		}
		assert.Equal(t, failed.Ran, api.NotRun)
		assert.Assert(t, failed.Field != "", "%s", failed.Message)
		assert.Equal(t, len(fake.jobs), 0)
	})
}

// FuzzRequest sends requests with arbitrary headers and bodies. A request runs as it was
// sent, or is refused with the invalid field named and nothing run.
func FuzzRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, id, deadline, body string) {
		fake, h := newFake()
		r := request("POST", "/v1/kinds/quote/requests", "key-a", body)
		r.Header[api.HeaderRequestID] = []string{id}
		r.Header[api.HeaderDeadline] = []string{deadline}
		status, failed := serve(t, h, r)
		if status == http.StatusOK {
			ran := fake.ran[0]
			assert.Assert(t, ran.Team == "a" && ran.ID != "" && string(ran.Body) == body)
			return
		}
		assert.Equal(t, failed.Ran, api.NotRun)
		assert.Assert(t, failed.Field != "", "%s", failed.Message)
		assert.Equal(t, len(fake.ran), 0)
	})
}
