// Package event names the lines that a node logs. Each name stands for one kind
// of decision or change; docs/OPERATIONS.md tells their fields.
package event

// Lines about the process.
const (
	Started      = "started"
	Stopping     = "stopping"
	Stopped      = "stopped"
	Reloaded     = "reloaded"
	Dropped      = "lines-dropped"
	ServiceEnded = "service-ended"
)

// Lines about what the process believes.
const (
	PolicyInForce    = "policy-in-force"
	PolicyRefused    = "policy-refused"
	ServerSeen       = "server-seen"
	ServerForgotten  = "server-forgotten"
	ServerAnnounced  = "server-announced"
	ServerDown       = "server-down"
	ServerLeft       = "server-left"
	AnnounceRefused  = "announcement-refused"
	RecordRefused    = "record-refused"
	PublishFailed    = "publish-failed"
	StoreLost        = "store-lost"
	StoreRegained    = "store-regained"
	StoreHistoryLost = "store-history-lost"
	ExchangeFailed   = "exchange-failed"
	Suspected        = "requests-suspected"
)

// Lines about a request.
const (
	RequestEnded      = "request-ended"
	RequestRefused    = "request-refused" // by the node beside a server
	RequestServed     = "request-served"  // by a server
	ConnectionRefused = "connection-refused"
)
