package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// runCommand runs a command line against a server that answers every call with body, and
// returns the exit code, the error output and the calls that the server received.
func runCommand(t *testing.T, body string, args ...string) (code int, failed string, calls []string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.EscapedPath())
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	var out, errors bytes.Buffer
	common := []string{"-entries", server.URL, "-operators", server.URL, "-key", "k"}
	code = Main(t.Context(), append(common, args...), strings.NewReader(""), &out, &errors)
	return code, errors.String(), calls
}

// Bad input that is ignored or sent on changes something else than what was meant: a
// negative time limit is none, an empty directory removes the records that it should hold,
// a second job is left out. It has to end with the name of the argument and no call.
func TestBadInputIsNamedAndNotSent(t *testing.T) {
	empty := t.TempDir()
	file := filepath.Join(t.TempDir(), "a.toml")
	assert.NilError(t, os.WriteFile(file, []byte("schema = 2\n"), 0o600))
	missing := filepath.Join(empty, "none.toml")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"request", "-deadline", "-1s", "quote"}, "-deadline: "},
		{[]string{"request", "-deadline", "100us", "quote"}, "-deadline: "},
		{[]string{"request", "-deadline", "soon", "quote"}, "-deadline: "},
		{[]string{"request", "-body", "@" + missing, "quote"}, "-body: "},
		{[]string{"request", ""}, "the kind of work"},
		{[]string{"request"}, "the kind of work"},
		{[]string{"request", "a", "b"}, "the kind of work"},
		{[]string{"request", ".."}, "the kind of work"},
		{[]string{"submit", "-tasks", "0", "pack"}, "-tasks: "},
		{[]string{"submit", "-tasks", "-4", "pack"}, "-tasks: "},
		{[]string{"submit", "-tasks", "many", "pack"}, "-tasks: "},
		{[]string{"submit", "-within", "-1s", "pack"}, "-within: "},
		{[]string{"submit", "-wait", "-1s", "pack"}, "-wait: "},
		{[]string{"submit", "-payload", "@" + missing, "pack"}, "-payload: "},
		{[]string{"submit", ""}, "the kind of work"},
		{[]string{"status", "-wait", "-1s", "job"}, "-wait: "},
		{[]string{"status", "one", "two"}, "the job's id"},
		{[]string{"status", ""}, "the job's id"},
		{[]string{"status", "."}, "the job's id"},
		{[]string{"cancel"}, "the job's id"},
		{[]string{"cancel", ""}, "the job's id"},
		{[]string{"explain", ".."}, "the job's id"},
		{[]string{"withdraw", ""}, "the key's id"},
		{[]string{"drain", ""}, "the worker's name"},
		{[]string{"drain", "one", "two"}, "the worker's name"},
		{[]string{"get"}, "name what to get"},
		{[]string{"get", "everything"}, "everything"},
		{[]string{"get", "workers", "one"}, "get workers"},
		{[]string{"get", "jobs"}, "the team"},
		{[]string{"get", "jobs", ""}, "the team"},
		{[]string{"get", "jobs", "one", "two"}, "the team"},
		{[]string{"apply"}, "files or directories"},
		{[]string{"apply", missing}, missing},
		{[]string{"apply", empty}, empty},
		{[]string{"apply", file, empty}, empty},
		{[]string{"apply", ""}, "files or directories"},
		{[]string{"apply", "-base", "-1", file}, "-base: "},
		{[]string{"plan", empty}, empty},
		{[]string{"report", "everything"}, "everything"},
		{[]string{"report"}, "burn"},
		{[]string{"version", "one"}, "version"},
		{[]string{"status", "-o", "yaml"}, "-o: "},
		{[]string{"status", "-key", "@" + missing}, "-key: "},
		{[]string{"status", "-entries", ""}, "-entries"},
		{[]string{"status", "-entries", "localhost:7400"}, "-entries: "},
		{[]string{"status", "-entries", "http://"}, "-entries: "},
		{[]string{"status", "-entries", ", ,"}, "-entries"},
		{[]string{"get", "-operators", "", "workers"}, "-operators"},
		{[]string{"get", "-operators", "ftp://10.0.0.1", "workers"}, "-operators: "},
		{[]string{"report", "-operators", "", "burn"}, "-operators"},
		{[]string{"report", "-operators", "10.0.0.1:7401", "burn"}, "-operators: "},
		{[]string{"nothing"}, "nothing"},
		{nil, "a command is missing"},
	} {
		code, failed, calls := runCommand(t, "{}", c.args...)
		assert.Equal(t, code, ExitUsage, "%q: %s", c.args, failed)
		assert.Assert(t, strings.Contains(failed, c.want), "%q: %s", c.args, failed)
		assert.Equal(t, len(calls), 0, "%q: %q", c.args, calls)
	}
}

// An id may hold characters that end a path: "front?" put into one as it stands cancels
// the job "front".
func TestIDsStandInThePathAsOneSegment(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"cancel", "front?x=1"}, "DELETE /v1/jobs/front%3Fx=1"},
		{[]string{"status", "front#1"}, "GET /v1/jobs/front%231"},
		{[]string{"explain", "50%25"}, "GET /v1/jobs/50%2525/explain"},
		{[]string{"withdraw", "a?b"}, "POST /v1/keys/a%3Fb/withdraw"},
		{[]string{"drain", "a/../b"}, "POST /v1/workers/a%2F..%2Fb/drain"},
		{[]string{"get", "jobs", "a?b"}, "GET /v1/teams/a%3Fb/jobs"},
		{[]string{"request", "a?b"}, "POST /v1/kinds/a%3Fb/requests"},
	} {
		_, _, calls := runCommand(t, "{}", c.args...)
		assert.DeepEqual(t, calls, []string{c.want})
	}
}

// A 200 whose body can't be read says nothing about the change: as a usage error, a script
// would send it again under another id.
func TestUnreadableAnswerIsAnUnknownOutcome(t *testing.T) {
	for _, args := range [][]string{{"submit", "pack"}, {"cancel", "job"}, {"withdraw", "key"}, {"status", "job"}} {
		code, failed, calls := runCommand(t, "<html>", args...)
		assert.Equal(t, code, ExitUnknown, "%q: %s", args, failed)
		assert.Equal(t, len(calls), 1)
	}
}

// The files of a directory are read whatever characters its name has.
func TestDirectoryNameIsNoPattern(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "teams[1]")
	assert.NilError(t, os.Mkdir(directory, 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "a.toml"), []byte("schema = 2\n"), 0o600))
	code, failed, calls := runCommand(t, "{}", "plan", directory)
	assert.Equal(t, code, ExitDone, failed)
	assert.DeepEqual(t, calls, []string{"POST /v1/plan"})
}
