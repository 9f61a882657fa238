// Package imports holds the rule of what may import what, as docs/ARCHITECTURE.md
// states it.
package imports

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/kingcuplatch/kingcuplatch/"

// importsOf returns what the product files of each package import of the project.
func importsOf(t *testing.T) map[string][]string {
	all := make(map[string][]string)
	root := filepath.Join("..", "..")
	assert.NilError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if own, ok := strings.CutPrefix(name, module); ok {
				all[filepath.ToSlash(dir)] = append(all[filepath.ToSlash(dir)], own)
			}
		}
		return nil
	}))
	return all
}

var decisions = []string{
	"request/queue", "request/retry", "process/placement", "process/backfill", "process/health", "process/learning",
}

func TestImports(t *testing.T) {
	all := importsOf(t)
	assert.Assert(t, len(all) > 30)
	assert.Equal(t, len(all["process/resource"]), 0)
	for _, door := range []string{"process/platform", "conn/worker", "conn/peer"} {
		for _, name := range all[door] {
			assert.Assert(t, name == "process/resource" || name == "conn/traffic", "door %s imports %s", door, name)
		}
	}
	allowed := append([]string{"process/resource", "version"}, decisions...)
	for _, decision := range decisions {
		for _, name := range all[decision] {
			assert.Assert(t, slices.Contains(allowed, name), "decision %s imports %s", decision, name)
		}
	}
	for dir, names := range all {
		for _, name := range names {
			checkImport(t, dir, name)
		}
	}
}

// Decisions about a cell see the narrow door to the table and the operators'
// configuration, and no shell; only the program imports the users' platform.
func TestCellImports(t *testing.T) {
	all := importsOf(t)
	allowed := []string{"process/resource", "process/health", "process/platform", "version/catalog"}
	for _, decision := range []string{"process/cell", "process/upkeep", "version/catalog"} {
		assert.Assert(t, decision == "process/upkeep" || len(all[decision]) > 0, decision)
		for _, name := range all[decision] {
			assert.Assert(t, slices.Contains(allowed, name), "decision %s imports %s", decision, name)
		}
	}
	for dir, names := range all {
		if slices.Contains(names, "platform") {
			assert.Equal(t, dir, "cmd/kingcuplatchd")
		}
	}
}

func checkImport(t *testing.T, dir, name string) {
	inside := strings.HasPrefix(dir, "internal/")
	adapter := name == "process/platform/httpplatform" || name == "conn/worker/httpworker"
	switch {
	case inside:
	case adapter && dir != "process/daemon":
		t.Errorf("%s imports the adapter %s", dir, name)
	case strings.HasPrefix(name, "internal/standin"):
		t.Errorf("%s imports the stand-in %s", dir, name)
	case name == "process/entry" && dir != "process/daemon":
		t.Errorf("%s imports the wiring", dir)
	}
}
