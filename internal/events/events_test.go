package events

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// eventNumbers returns the values of this package's constants by name.
func eventNumbers(t *testing.T) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && len(v.Values) == 1 {
			out[v.Names[0].Name] = v.Values[0].(*ast.BasicLit).Value
		}
		return true
	})
	return out
}

// loggedEvents returns the names of this package's constants that code outside
// of tests uses.
func loggedEvents(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	used := regexp.MustCompile(`\bevents\.([A-Z]\w*)`)
	err := filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range used.FindAllStringSubmatch(string(data), -1) {
			out[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Operators look up logged event numbers in the tables of docs/EVENTS.md. Their
// rows must list every event that is logged and no other.
func TestEveryEventIsDocumented(t *testing.T) {
	doc, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \|`).FindAllStringSubmatch(string(doc), -1) {
		documented[m[1]] = true
	}
	logged := loggedEvents(t)
	defined := map[string]bool{}
	for name, number := range eventNumbers(t) {
		defined[number] = true
		if !logged[name] {
			t.Errorf("%s (%s) is not logged by any code", name, number)
		}
		if !documented[number] {
			t.Errorf("%s (%s) is not in docs/EVENTS.md", name, number)
		}
	}
	for number := range documented {
		if !defined[number] {
			t.Errorf("docs/EVENTS.md lists %s, which is not an event number", number)
		}
	}
}
