package requestlog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLines(t *testing.T) {
	is := is.New(t)
	one := `{"@level":"info","@message":"request-refused","@module":"n-2","@timestamp":"2026-01-01T00:00:01.5Z","id":"r-1","kind":"queue-full"}
not a line of ours {
{"@level":"info","@message":"request-ended","@module":"n-2","@timestamp":"2026-01-01T00:00:01Z","id":"r-2"}`
	two := `  1.2 n-1 {"@level":"info","@message":"request-ended","@module":"n-1","@timestamp":"2026-01-01T00:00:02Z","id":"r-1","status":503}`
	lines, err := Lines("r-1", strings.NewReader(two), strings.NewReader(one))
	is.NoErr(err)
	is.Equal(lines, []string{
		"2026-01-01T00:00:01.5Z n-2 request-refused kind=queue-full",
		"2026-01-01T00:00:02Z n-1 request-ended status=503",
	})
}

func ExampleLines() {
	log := `{"@message":"request-ended","@module":"n-1","@timestamp":"2026-01-01T00:00:02Z","id":"r-1","status":503}`
	lines, err := Lines("r-1", strings.NewReader(log))
	fmt.Println(lines, err)
	// Output: [2026-01-01T00:00:02Z n-1 request-ended status=503] <nil>
}
