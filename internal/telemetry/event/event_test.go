package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEveryEventIsDocumented checks that docs/OPERATIONS.md has a table row for
// every event name.
func TestEveryEventIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	is.NoErr(err)
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	is.NoErr(err)
	names := 0
	ast.Inspect(file, func(n ast.Node) bool {
		l, ok := n.(*ast.BasicLit)
		if !ok || l.Kind != token.STRING {
			return true
		}
		name, err := strconv.Unquote(l.Value)
		is.NoErr(err)
		names++
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("docs/OPERATIONS.md has no row for %s", name)
		}
		return true
	})
	is.True(names > 20)
}
