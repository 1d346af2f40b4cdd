package request

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdock/geraniumdock/quarantine"
)

// TestHashBeforeTheBody checks that a request whose body has not been sent is not taken for
// any other on its path, and that one without a body is known by its head.
func TestHashBeforeTheBody(t *testing.T) {
	is := is.New(t)
	upload := func(length int64) Request {
		return Request{Caller: "web", Method: http.MethodPost, Host: "h", Target: "/a", Body: io.NopCloser(strings.NewReader("")), ContentLength: length}
	}
	head := quarantine.FingerprintOf("web", http.MethodPost, "h/a", nil)
	is.Equal(upload(0).Hash().Longest(), head)
	is.Equal(Request{Caller: "web", Method: http.MethodPost, Host: "h", Target: "/a"}.Hash().Longest(), head)
	is.Equal(upload(100).Hash().Head(), head)
	is.True(upload(100).Hash().Longest() != head)
	is.True(upload(100).Hash().Longest() != upload(101).Hash().Longest())
	is.True(upload(-1).Hash().Longest() != head)
}
