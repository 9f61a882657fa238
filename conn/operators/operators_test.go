package operators

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/kingcuplatch/kingcuplatch/conn/api"
	"github.com/kingcuplatch/kingcuplatch/version"
	"github.com/kingcuplatch/kingcuplatch/version/records"
)

// fakeConfig applies every change whose edit succeeds and counts them.
type fakeConfig struct {
	Views
	applied int
}

func (*fakeConfig) Current() *version.Snapshot { return &version.Snapshot{Number: 1} }
func (*fakeConfig) Records() *records.Records  { return &records.Records{} }

func (f *fakeConfig) Apply(_ context.Context, _ string, _ uint64, edit Edit) (Result, error) {
	if _, err := edit(&records.Records{}); err != nil {
		return Result{}, err
	}
	f.applied++
	return Result{Number: 2}, nil
}

func (*fakeConfig) Confirm(context.Context, uint64) (confirmed, unconfirmed []string) {
	return nil, nil
}

func newServer() (*fakeConfig, http.Handler) {
	f := &fakeConfig{}
	return f, Handler(Options{
		Config: f, Views: f, KeySHA256: records.HashKey("operator"),
		NewID: func() string { return "made-up" },
	})
}

func apply(data string) string {
	body, _ := json.Marshal(api.ApplyRequest{Files: []api.File{{Name: "a.toml", Data: data}}})
	return string(body)
}

// TestInvalidInputIsRefused checks that invalid input is refused with the invalid field
// named and that no change is applied.
func TestInvalidInputIsRefused(t *testing.T) {
	const team = "schema = 2\n[[team]]\nname = \"a\"\nshare = 1\n"
	for _, c := range []struct {
		name, path, key, body string
		status                int
		field, message        string
	}{
		{"no key", "/v1/apply", "", apply(team), 401, "authorization", ""},
		{"a team's key", "/v1/apply", "team", apply(team), 401, "authorization", ""},
		{"unknown path", "/v1/none", "operator", "", 404, "", "/v1/none"},
		{"empty", "/v1/apply", "operator", "", 400, "body", ""},
		{"malformed", "/v1/apply", "operator", "{", 400, "body", ""},
		{"unknown field", "/v1/apply", "operator", `{"force":true}`, 400, "force", ""},
		{"wrong type", "/v1/apply", "operator", `{"base":"1"}`, 400, "base", ""},
		{"no files", "/v1/apply", "operator", `{}`, 400, "files", "no files"},
		{"oversize", "/v1/apply", "operator", strings.Repeat(" ", maxBodyBytes+1), 413, "body", ""},
		{"no schema", "/v1/apply", "operator", apply("[[team]]\nname = \"a\"\n"), 400, "files", "schema"},
		{"unknown schema", "/v1/apply", "operator", apply("schema = 9\n"), 400, "files", "schema"},
		{"not TOML", "/v1/apply", "operator", apply("schema = = 2"), 400, "files", "a.toml"},
		{"unknown record field", "/v1/apply", "operator", apply(team + "colour = 1\n"), 400, "files", "colour"},
		{"plan", "/v1/plan", "operator", apply(team + "colour = 1\n"), 400, "files", "colour"},
		{"unknown key id", "/v1/keys/none/withdraw", "operator", "", 404, "id", "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, h := newServer()
			status, failed := serve(t, h, c.path, c.key, strings.NewReader(c.body))
			assert.Equal(t, status, c.status, failed.Message)
			assert.Equal(t, failed.Field, c.field, failed.Message)
			assert.Assert(t, strings.Contains(failed.Message, c.message), failed.Message)
			assert.Equal(t, failed.Ran, api.NotRun)
			assert.Equal(t, f.applied, 0)
		})
	}
}

// TestBodyBytesAreBounded checks that a call is refused with a retry delay while the bodies
// of other calls use up the byte limit, and is handled once they have ended.
func TestBodyBytesAreBounded(t *testing.T) {
	f, h := newServer()
	const calls = maxBodiesBytes / 2 / maxBodyBytes
	var half [calls]*io.PipeWriter
	answers := make(chan int, calls)
	for i := range half {
		var body *io.PipeReader
		body, half[i] = io.Pipe()
		go func() {
			status, _ := serve(t, h, "/v1/apply", "operator", body)
			answers <- status
		}()
		_, err := half[i].Write([]byte("{"))
		assert.NilError(t, err)
	}
	status, failed := serve(t, h, "/v1/apply", "operator", io.MultiReader(strings.NewReader("{}")))
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Assert(t, failed.RetryAfter > 0 && failed.Ran == api.NotRun)
	for i := range half {
		assert.NilError(t, half[i].CloseWithError(io.ErrUnexpectedEOF))
		assert.Equal(t, <-answers, http.StatusBadRequest)
	}
	status, _ = serve(t, h, "/v1/apply", "operator", io.MultiReader(strings.NewReader("{}")))
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, f.applied, 0)
}

func serve(t *testing.T, h http.Handler, path, key string, body io.Reader) (int, api.Error) {
	r := httptest.NewRequest(http.MethodPost, path, body)
	r.Header.Set("Authorization", "Bearer "+key)
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, r)
	var failed api.Error
	if err := json.Unmarshal(answer.Body.Bytes(), &failed); err != nil {
		t.Errorf("%s: %v", answer.Body, err)
	}
	return answer.Code, failed
}
