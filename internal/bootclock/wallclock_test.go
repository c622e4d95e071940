package bootclock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// readsTimeOfDay are the calls that take the time of day out of a time. All
// others compare the steady clock's readings that time.Now returns beside it.
var wallClockMethods = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "Round", "Truncate", "UTC", "Local", "In"}

// mayRead are the places that may, and why.
var wallClockAllowed = map[string]string{
	"internal/crashes/record.go": "an end counts for a day, also at hosts that start later; a jump of seconds is nothing to that",
	"internal/target/client.go":  "targets of the own interface are told deadlines as times of day",
	"internal/standin":           "stand-ins, not the product",
	"internal/soak":              "the harness, not the product",
}

// The time of day jumps by seconds, either way. A repeat budget that was counted
// by it was spent twice after a jump: nothing that decides may read it.
func TestNoWallClockReads(t *testing.T) {
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join("../..", dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for at := range findWallClockReads(t, path) {
				t.Errorf("%s reads the time of day", at)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

func findWallClockReads(t *testing.T, path string) map[string]bool {
	t.Helper()
	for place := range wallClockAllowed {
		if strings.Contains(filepath.ToSlash(path), place) {
			return nil
		}
	}
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if ok && slices.Contains(wallClockMethods, sel.Sel.Name) && !isPackageSelector(sel, "unix", "math") {
			out[fset.Position(call.Pos()).String()] = true
		}
		return true
	})
	return out
}

// isPackageSelector reports whether the selector is of one of the packages.
func isPackageSelector(sel *ast.SelectorExpr, names ...string) bool {
	id, ok := sel.X.(*ast.Ident)
	return ok && id.Obj == nil && slices.Contains(names, id.Name)
}
