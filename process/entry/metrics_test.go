package entry

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

var metricName = regexp.MustCompile("[\"`](kingcuplatch_[a-z_]+)")

// docs/METRICS.md has to list exactly the metrics that the code exports.
func TestMetricsPageMatchesCode(t *testing.T) {
	names := func(path string) []string {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		var all []string
		for _, match := range metricName.FindAllSubmatch(text, -1) {
			all = append(all, string(match[1]))
		}
		slices.Sort(all)
		return slices.Compact(all)
	}
	inCode := names("metrics.go")
	assert.Assert(t, len(inCode) > 0)
	assert.DeepEqual(t, names(filepath.Join("..", "..", "docs", "METRICS.md")), inCode)
}
