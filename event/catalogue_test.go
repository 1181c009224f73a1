package event_test

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("catalogue", false, "rewrite docs/events.md from the source")

type definedEvent struct {
	number     int
	name, text string
	pkg        string
}

// TestCatalogue guards against events that are missing from the page that operators consult, and against two
// events with the same number.
func TestCatalogue(t *testing.T) {
	events := definedEvents(t)
	seen := map[int]string{}
	for _, e := range events {
		other, ok := seen[e.number]
		require.Falsef(t, ok, "event %d is defined as %q and as %q", e.number, other, e.name)
		seen[e.number] = e.name
	}
	page := filepath.Join("..", "docs", "events.md")
	if *update {
		require.NoError(t, os.WriteFile(page, renderPage(events), 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, string(renderPage(events)), string(got), "run: go test ./event -args -catalogue")
}

func renderPage(events []definedEvent) []byte {
	var b bytes.Buffer
	b.WriteString("# Log events\n\nEach log line carries the number as `event` and the name as `kind`.\n")
	b.WriteString("Regenerate with `go test ./event -args -catalogue`.\n\n| event | kind | package | meaning |\n|---|---|---|---|\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.number, e.name, e.pkg, e.text)
	}
	return b.Bytes()
}

func definedEvents(t *testing.T) []definedEvent {
	t.Helper()
	var events []definedEvent
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && d.Name() != ".." {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if e, ok := parseDefinition(n); ok {
				rel, _ := filepath.Rel("..", filepath.Dir(path))
				e.pkg = rel
				events = append(events, e)
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	sort.Slice(events, func(i, j int) bool { return events[i].number < events[j].number })
	return events
}

func parseDefinition(n ast.Node) (definedEvent, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) != 3 {
		return definedEvent{}, false
	}
	fun, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || fun.Sel.Name != "Define" {
		return definedEvent{}, false
	}
	if pkg, ok := fun.X.(*ast.Ident); !ok || pkg.Name != "event" {
		return definedEvent{}, false
	}
	number, _ := strconv.Atoi(literalValue(call.Args[0]))
	name, _ := strconv.Unquote(literalValue(call.Args[1]))
	text, _ := strconv.Unquote(literalValue(call.Args[2]))
	return definedEvent{number: number, name: name, text: text}, true
}

func literalValue(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok {
		return ""
	}
	return lit.Value
}
