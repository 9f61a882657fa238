// Package imports checks the rules of docs/ARCHITECTURE.md on which packages may import
// which.
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

// importsOf returns, for each package, the packages of this module that its non-test
// files import; an empty list for a package that imports none.
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
		pkg := filepath.ToSlash(dir)
		all[pkg] = append([]string{}, all[pkg]...)
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if local, ok := strings.CutPrefix(name, module); ok {
				all[pkg] = append(all[pkg], local)
			}
		}
		return nil
	}))
	return all
}

// decisions are the packages that only decide and do no I/O.
var decisions = []string{
	"request/queue", "request/retry", "process/placement", "process/backfill", "process/health", "process/learning",
}

// A package that imports more than docs/ARCHITECTURE.md allows couples decisions,
// interfaces and adapters.
func TestImports(t *testing.T) {
	all := importsOf(t)
	assert.Assert(t, len(all) > 43)
	assert.Equal(t, len(all["process/resource"]), 0)
	for _, boundary := range []string{"process/platform", "conn/worker", "conn/peer"} {
		for _, name := range all[boundary] {
			assert.Assert(t, name == "process/resource" || name == "conn/traffic", "interface package %s imports %s", boundary, name)
		}
	}
	allowed := append([]string{"process/resource", "version"}, decisions...)
	for _, decision := range decisions {
		for _, name := range all[decision] {
			assert.Assert(t, slices.Contains(allowed, name), "decision package %s imports %s", decision, name)
		}
	}
	for dir, names := range all {
		for _, name := range names {
			checkImport(t, dir, name)
		}
	}
}

// Decision packages of a cell import only the interface to the table and the operators'
// configuration, and no runtime code; only the daemon's command imports the users'
// platform.
func TestCellImports(t *testing.T) {
	all := importsOf(t)
	allowed := []string{"process/resource", "process/admission", "process/evacuation", "process/shares", "process/health", "process/platform", "version/catalog"}
	for _, decision := range []string{"process/cell", "process/admission", "process/evacuation", "process/shares", "process/upkeep", "version/catalog"} {
		imported, found := all[decision]
		assert.Assert(t, found, "no package %s", decision)
		for _, name := range imported {
			assert.Assert(t, slices.Contains(allowed, name), "decision package %s imports %s", decision, name)
		}
	}
	for dir, names := range all {
		if slices.Contains(names, "platform") {
			assert.Equal(t, dir, "cmd/kingcuplatchd")
		}
	}
}

func checkImport(t *testing.T, dir, name string) {
	internal := strings.HasPrefix(dir, "internal/")
	adapter := name == "process/platform/httpplatform" || name == "conn/worker/httpworker"
	switch {
	case internal:
	case adapter && dir != "process/daemon":
		t.Errorf("%s imports the adapter %s", dir, name)
	case strings.HasPrefix(name, "internal/standin"):
		t.Errorf("%s imports the stand-in %s", dir, name)
	case name == "process/entry" && dir != "process/daemon":
		t.Errorf("%s imports process/entry, which wires all packages", dir)
	}
}
