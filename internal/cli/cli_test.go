package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A flag before or after the command's name takes precedence over the environment;
// without a flag the environment applies. Guards against a subcommand that reads the
// environment and overrides flags parsed by the root.
func TestFlagsOverrideEnvironment(t *testing.T) {
	var called string
	serve := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			called = name
			_, _ = w.Write([]byte("[]"))
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	t.Setenv("KINGCUPLATCH_ENTRIES", serve("environment"))
	flagged := serve("flag")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"-entries", flagged, "-key", "k", "status"}, "flag"},
		{[]string{"-key", "k", "status", "-entries", flagged}, "flag"},
		{[]string{"-key", "k", "status"}, "environment"},
	} {
		var out, failed bytes.Buffer
		assert.Equal(t, Main(t.Context(), c.args, strings.NewReader(""), &out, &failed), 0, failed.String())
		assert.Equal(t, called, c.want)
	}
}
