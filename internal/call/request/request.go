// Package request describes a request on its way from the node that took it
// from a client to the node beside the server that is to run it.
package request

import (
	"io"
	"net/http"
	"time"

	gd "github.com/geraniumdock/geraniumdock"
	"github.com/geraniumdock/geraniumdock/internal/call/placement"
	"github.com/geraniumdock/geraniumdock/quarantine"
)

// Request is one try of a client's request at one node.
type Request struct {
	ID            string
	Service       string // the server beside the node must be one of it
	Caller        string // service beside which the request began
	Method        string
	Target        string // path and query as the client sent them
	Host          string
	Header        http.Header // fields that go on to the server
	Body          io.ReadCloser
	ContentLength int64 // -1 if it is not known

	Class       string // requests of one class take about the same time
	Idempotent  bool
	Priority    int
	Left        time.Duration // until the final answer is due
	Objective   time.Duration // until an answer has lost most of its value
	MayWait     bool          // for a slot; else it is refused where none is free
	Delayed     time.Duration // on its way between nodes, beyond the usual
	Local       bool          // it comes from the node itself and not over the VM's link
	Fingerprint quarantine.Fingerprint
}

// Answer is what became of a try. Exactly one of Response and Err is set.
type Answer struct {
	Response *http.Response // of the server; its body must be closed
	Err      error
	Reached  bool           // the server may have received a byte of the request
	Shed     bool           // the response says that the server did not run the request
	ComeBack time.Duration  // with an error: when the server is expected to have room
	Load     placement.Load // of the server beside the node
	HasLoad  bool
}

// Failed returns the answer for a try that ended with err.
func Failed(err error, reached bool) Answer { return Answer{Err: err, Reached: reached} }

// IsNotRun reports whether the request has not run and never will.
func (a Answer) IsNotRun() bool {
	if a.Response != nil {
		return a.Shed
	}
	return !a.Reached && gd.KindOf(a.Err).Answer().Outcome == gd.NotRun
}
