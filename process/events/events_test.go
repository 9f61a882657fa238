package events

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCatalogueIsWellFormed(t *testing.T) {
	last := 0
	for _, e := range Catalogue {
		assert.Assert(t, e.Number > last, "%s is out of order", e.ID())
		assert.Assert(t, e.Message != "" && e.Action != "", e.ID())
		last = e.Number
	}
}

func TestPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Markdown())
}

func TestLogCarriesAllFields(t *testing.T) {
	var out bytes.Buffer
	New(&out, "e1").Log(BlockGained, "w/w1")
	for _, want := range []string{`"event":"KCL-2001"`, `"block":"w/w1"`, `"epoch":null`, `"instance":"e1"`} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}
