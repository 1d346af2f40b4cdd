package geraniumdock

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Kind is an error kind. The list of kinds is closed.
type Kind int

// The error kinds. Each has an entry in errorResponses.
const (
	Internal             Kind = iota // a fault of the system itself
	Invalid                          // invalid input; the message names file, row and column or key
	Unauthenticated                  // credential missing or not in the table
	Forbidden                        // the table has no row for the caller and service
	NoRoute                          // no service serves the path
	NotReady                         // the node does not have the current table version
	NoServer                         // no backend server can take the request
	QueueFull                        // the caller's queue at the server is full
	RateLimited                      // the caller's rate or concurrency share is used up
	DeadlineUnreachable              // the expected wait exceeds the time until the deadline
	Draining                         // the server is draining
	Quarantined                      // the request was in flight at the crashes of two servers
	ClaimsUnavailable                // the platform cannot record the claim
	Duplicate                        // an earlier request with the idempotency key ran, but its response is no longer available
	Unknown                          // the connection failed when part of the request may have reached a server
	TimedOut                         // the deadline passed
	Conflict                         // a concurrent write came first
	NotFound                         // no such object
	Unavailable                      // the platform or another node did not respond
	TooLarge                         // value exceeds a size limit such as MaxObjectBytes
	Expired                          // the requested history is no longer available
	Malformed                        // a message that does not follow the protocol
	WrongInstance                    // the node's backend server is not the intended one
	RetryBudgetExhausted             // the retry budget is used up
	BodyStalled                      // the request body made no progress
	kindCount
)

// Outcome tells a caller whether its request was run.
type Outcome string

// The outcomes of a request: the backend server responded, the request certainly did
// not run, or it may have run.
const (
	Answered  Outcome = "answer"
	NotRun    Outcome = "not-run"
	Uncertain Outcome = "unknown"
)

// Response is the HTTP response for an error kind.
type Response struct {
	Name               string
	Status             int
	Outcome            Outcome
	RetryAfter         time.Duration // 0 if repeating the request would not help
	RetriableElsewhere bool          // another server may accept the request
}

var errorResponses = [kindCount]Response{
	Internal:             {"internal", http.StatusInternalServerError, Uncertain, 0, false},
	Invalid:              {"invalid", http.StatusBadRequest, NotRun, 0, false},
	Unauthenticated:      {"unauthenticated", http.StatusProxyAuthRequired, NotRun, 0, false},
	Forbidden:            {"forbidden", http.StatusForbidden, NotRun, 0, false},
	NoRoute:              {"no-route", http.StatusNotFound, NotRun, 0, false},
	NotReady:             {"not-ready", http.StatusServiceUnavailable, NotRun, 2 * time.Second, true},
	NoServer:             {"no-server", http.StatusServiceUnavailable, NotRun, time.Second, false},
	QueueFull:            {"queue-full", http.StatusServiceUnavailable, NotRun, time.Second, true},
	RateLimited:          {"rate-limited", http.StatusTooManyRequests, NotRun, time.Second, true},
	DeadlineUnreachable:  {"hopeless", http.StatusServiceUnavailable, NotRun, time.Second, true},
	Draining:             {"draining", http.StatusServiceUnavailable, NotRun, time.Second, true},
	Quarantined:          {"quarantined", http.StatusUnprocessableEntity, NotRun, 0, false},
	ClaimsUnavailable:    {"claims-down", http.StatusServiceUnavailable, NotRun, 5 * time.Second, false},
	Duplicate:            {"duplicate", http.StatusConflict, Uncertain, 0, false},
	Unknown:              {"unknown", http.StatusBadGateway, Uncertain, 0, false},
	TimedOut:             {"timed-out", http.StatusGatewayTimeout, Uncertain, 0, false},
	Conflict:             {"conflict", http.StatusConflict, NotRun, 0, false},
	NotFound:             {"not-found", http.StatusNotFound, NotRun, 0, false},
	Unavailable:          {"unavailable", http.StatusServiceUnavailable, Uncertain, time.Second, false},
	TooLarge:             {"too-large", http.StatusRequestEntityTooLarge, NotRun, 0, false},
	Expired:              {"expired", http.StatusGone, NotRun, 0, false},
	Malformed:            {"malformed", http.StatusBadRequest, NotRun, 0, false},
	WrongInstance:        {"misplaced", http.StatusServiceUnavailable, NotRun, time.Second, true},
	RetryBudgetExhausted: {"spent", http.StatusServiceUnavailable, NotRun, time.Second, false},
	BodyStalled:          {"stalled", http.StatusRequestTimeout, NotRun, 0, false},
}

var (
	namespace  = errorx.NewNamespace("geraniumdock")
	errorTypes = newErrorTypes()
)

func newErrorTypes() [kindCount]*errorx.Type {
	var types [kindCount]*errorx.Type
	for k := range types {
		types[k] = namespace.NewType(errorResponses[k].Name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	}
	return types
}

// Response returns the HTTP response for k.
func (k Kind) Response() Response {
	if k < 0 || k >= kindCount {
		return errorResponses[Internal]
	}
	return errorResponses[k]
}

// String returns the name of k in kebab case.
func (k Kind) String() string { return k.Response().Name }

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

// KindOf returns the kind of err, or Internal if err was not created by a Kind.
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

// KindNamed returns the kind with the given name, or Internal if there is none.
func KindNamed(name string) Kind {
	for k, r := range errorResponses {
		if r.Name == name {
			return Kind(k)
		}
	}
	return Internal
}

// Message returns the text of err and its causes without their kinds.
func Message(err error) string {
	if x := errorx.Cast(err); x != nil {
		if x.Cause() == nil {
			return x.Message()
		}
		return x.Message() + ": " + Message(x.Cause())
	}
	return err.Error()
}
