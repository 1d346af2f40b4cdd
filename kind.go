package geraniumdock

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Kind is one of the closed list of error kinds.
type Kind int

// The error kinds. Each has a row in the answers table.
const (
	Internal        Kind = iota // a fault of the system itself
	Invalid                     // bad input; the message names file, row and column or key
	Unauthenticated             // no credential, or one that is not in the table
	Forbidden                   // the table has no row for the caller and service
	NoRoute                     // no service serves the path
	NotReady                    // the node has not learned the current table version
	NoServer                    // no backend server can take the call
	QueueFull                   // the caller's queue at the server is full
	RateLimited                 // the caller's rate or concurrency share is used up
	Hopeless                    // the expected wait is beyond the deadline
	Draining                    // the server is leaving
	Quarantined                 // the request was in flight at crashes of two servers
	ClaimsDown                  // the platform cannot record the claim
	Duplicate                   // an earlier call with the key ran, its answer is gone
	Unknown                     // the connection failed after bytes may have reached a server
	TimedOut                    // the deadline passed
	Conflict                    // another write came first
	NotFound                    // no such object
	Unavailable                 // the platform did not answer
	TooLarge                    // a value above MaxObjectBytes
	Expired                     // the history that was asked for is gone
	Malformed                   // a message that does not follow the protocol
	Misplaced                   // the server beside the node is not the one that was meant
	Spent                       // the budget of retries is used up
	kindCount
)

// Outcome is what a caller may conclude about its request.
type Outcome string

// The outcomes of a call.
const (
	Answered  Outcome = "answer"
	NotRun    Outcome = "not-run"
	Uncertain Outcome = "unknown"
)

// Answer is the reply that a kind of error gives over HTTP.
type Answer struct {
	Name       string
	Status     int
	Outcome    Outcome
	RetryAfter time.Duration // 0: a repeat would not help
	Elsewhere  bool          // another server may take the call
}

var answers = [kindCount]Answer{
	Internal:        {"internal", http.StatusInternalServerError, Uncertain, 0, false},
	Invalid:         {"invalid", http.StatusBadRequest, NotRun, 0, false},
	Unauthenticated: {"unauthenticated", http.StatusProxyAuthRequired, NotRun, 0, false},
	Forbidden:       {"forbidden", http.StatusForbidden, NotRun, 0, false},
	NoRoute:         {"no-route", http.StatusNotFound, NotRun, 0, false},
	NotReady:        {"not-ready", http.StatusServiceUnavailable, NotRun, 2 * time.Second, true},
	NoServer:        {"no-server", http.StatusServiceUnavailable, NotRun, time.Second, false},
	QueueFull:       {"queue-full", http.StatusServiceUnavailable, NotRun, time.Second, true},
	RateLimited:     {"rate-limited", http.StatusTooManyRequests, NotRun, time.Second, true},
	Hopeless:        {"hopeless", http.StatusServiceUnavailable, NotRun, time.Second, true},
	Draining:        {"draining", http.StatusServiceUnavailable, NotRun, time.Second, true},
	Quarantined:     {"quarantined", http.StatusUnprocessableEntity, NotRun, 0, false},
	ClaimsDown:      {"claims-down", http.StatusServiceUnavailable, NotRun, 5 * time.Second, false},
	Duplicate:       {"duplicate", http.StatusConflict, Uncertain, 0, false},
	Unknown:         {"unknown", http.StatusBadGateway, Uncertain, 0, false},
	TimedOut:        {"timed-out", http.StatusGatewayTimeout, Uncertain, 0, false},
	Conflict:        {"conflict", http.StatusConflict, NotRun, 0, false},
	NotFound:        {"not-found", http.StatusNotFound, NotRun, 0, false},
	Unavailable:     {"unavailable", http.StatusServiceUnavailable, Uncertain, time.Second, false},
	TooLarge:        {"too-large", http.StatusRequestEntityTooLarge, NotRun, 0, false},
	Expired:         {"expired", http.StatusGone, NotRun, 0, false},
	Malformed:       {"malformed", http.StatusBadRequest, NotRun, 0, false},
	Misplaced:       {"misplaced", http.StatusServiceUnavailable, NotRun, time.Second, true},
	Spent:           {"spent", http.StatusServiceUnavailable, NotRun, time.Second, false},
}

var (
	namespace  = errorx.NewNamespace("geraniumdock")
	errorTypes = newErrorTypes()
)

func newErrorTypes() [kindCount]*errorx.Type {
	var types [kindCount]*errorx.Type
	for k := range types {
		types[k] = namespace.NewType(answers[k].Name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	}
	return types
}

// Answer returns the reply for k.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the name of k in kebab case.
func (k Kind) String() string { return k.Answer().Name }

// Errorf returns an error of kind k.
func (k Kind) Errorf(format string, args ...any) error {
	return errorTypes[k].New(format, args...)
}

// Wrapf returns an error of kind k whose cause is err.
func (k Kind) Wrapf(err error, format string, args ...any) error {
	return errorTypes[k].Wrap(err, format, args...)
}

// Is reports whether err is of kind k.
func (k Kind) Is(err error) bool { return err != nil && KindOf(err) == k }

// KindOf returns the kind of err; errors from elsewhere are Internal.
func KindOf(err error) Kind {
	x := errorx.Cast(err)
	if x == nil {
		return Internal
	}
	for k, t := range errorTypes {
		if x.IsOfType(t) {
			return Kind(k)
		}
	}
	return Internal
}

// KindNamed returns the kind with the given name, and Internal for a name
// that is not in the list.
func KindNamed(name string) Kind {
	for k, a := range answers {
		if a.Name == name {
			return Kind(k)
		}
	}
	return Internal
}

// Message returns the text of err without its kind.
func Message(err error) string {
	if x := errorx.Cast(err); x != nil {
		if x.Cause() == nil {
			return x.Message()
		}
		return x.Message() + ": " + Message(x.Cause())
	}
	return err.Error()
}
