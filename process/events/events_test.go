package events

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
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

// Every event of the catalogue has to be used by non-test code, so that the page
// lists no event that operators never see.
func TestEveryEventIsLogged(t *testing.T) {
	catalogue, err := os.ReadFile("catalogue.go")
	assert.NilError(t, err)
	var product strings.Builder
	assert.NilError(t, filepath.WalkDir(filepath.Join("..", ".."), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		product.Write(text)
		return err
	}))
	names := regexp.MustCompile(`(?m)^\t(\w+)\s+= &Event`).FindAllStringSubmatch(string(catalogue), -1)
	assert.Equal(t, len(names), len(Catalogue))
	for _, name := range names {
		assert.Assert(t, strings.Contains(product.String(), "events."+name[1]), "%s is never logged", name[1])
	}
}

func TestLogCarriesAllFields(t *testing.T) {
	var out bytes.Buffer
	New(&out, "e1").Log(BlockGained, "w/w1")
	for _, want := range []string{`"event":"KCL-2001"`, `"block":"w/w1"`, `"epoch":null`, `"instance":"e1"`} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}
