package daemon

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A flag after a surplus argument was ignored: -check started the entry.
func TestSurplusArgument(t *testing.T) {
	var stderr strings.Builder
	code := Main(t.Context(), []string{"-config", "entry.toml", "surplus", "-check"}, &stderr)
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(stderr.String(), `"surplus"`), stderr.String())
}
