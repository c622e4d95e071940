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

// wallClockMethods are the methods that read the wall clock of a time.Time or strip
// its monotonic clock. Methods such as Sub and Before use the monotonic clock.
var wallClockMethods = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "Round", "Truncate", "UTC", "Local", "In"}

// wallClockAllowed lists the paths whose code may read the wall clock, with the
// reason.
var wallClockAllowed = map[string]string{
	"internal/crashes/record.go": "crash records are valid for a day, including on hosts started later; clock jumps of seconds do not matter",
	"internal/target/client.go":  "deadlines are sent to targets as wall-clock times",
	"internal/standin":           "test stand-ins, not part of the product",
	"internal/soak":              "test harness, not part of the product",
}

// The wall clock may jump by seconds in either direction. A retry budget timed by
// it can be spent twice after a jump, so no code that makes decisions may read it.
func TestNoWallClockReads(t *testing.T) {
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join("../..", dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for at := range findWallClockReads(t, path) {
				t.Errorf("%s reads the wall clock", at)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// findWallClockReads returns the positions of the file's wall clock reads.
func findWallClockReads(t *testing.T, path string) map[string]bool {
	t.Helper()
	for allowed := range wallClockAllowed {
		if strings.Contains(filepath.ToSlash(path), allowed) {
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

// isPackageSelector reports whether sel selects a name of one of the packages.
func isPackageSelector(sel *ast.SelectorExpr, names ...string) bool {
	id, ok := sel.X.(*ast.Ident)
	return ok && id.Obj == nil && slices.Contains(names, id.Name)
}
