// Package event defines the names of the events that a node logs. Each name
// stands for one kind of decision or state change. docs/OPERATIONS.md lists the
// fields of each event.
package event

// Events of the process.
const (
	Started      = "started"
	Stopping     = "stopping"
	Stopped      = "stopped"
	Reloaded     = "reloaded"
	LinesDropped = "lines-dropped"
	ServiceEnded = "service-ended" // a goroutine of the node, such as a listener, has failed
)

// Events about the policy, the backend servers and the store, as the node sees them.
const (
	PolicyInForce       = "policy-in-force"
	PolicyRefused       = "policy-refused"
	PolicyRead          = "policy-read"       // a call of the store for the policy has ended
	PolicyOlder         = "policy-older"      // the version read is below the one in force
	WatchHandedOver     = "watch-handed-over" // the store does not serve this node, others watch in its place
	ServerSeen          = "server-seen"
	ServerForgotten     = "server-forgotten"
	ServerAnnounced     = "server-announced"
	ServerDown          = "server-down"
	ServerLeft          = "server-left"
	ServerLimited       = "server-limited"       // the server has named, changed or lifted its limit
	ServerOverLimit     = "server-over-limit"    // the server got more requests than its limit
	ServerLeaving       = "server-leaving"       // the server states in a response that it is about to stop
	ResponseInvalid     = "response-invalid"     // a header field of the server's response is malformed
	DepartureNotStored  = "departure-not-stored" // acknowledged, but the store does not have it yet
	AnnouncementRefused = "announcement-refused"
	RecordRefused       = "record-refused"
	PublishFailed       = "publish-failed"
	EntryRemoved        = "entry-removed" // the entry of a server that has left, for its node
	RecordPublished     = "record-published"
	StoreLost           = "store-lost"
	StoreRegained       = "store-regained"
	StoreHistoryLost    = "store-history-lost"
	StoreListed         = "store-listed"
	StoreRestored       = "store-restored" // the store was restored from an older copy
	ExchangeFailed      = "exchange-failed"
	NodeSilent          = "node-silent"   // another node does not respond
	NodeResponds        = "node-responds" // it does again
	RequestsSuspected   = "requests-suspected"
	RolloutPhase        = "rollout-phase"       // a roll-out was ordered or entered another phase
	RolloutRefused      = "rollout-refused"     // an order cannot be read
	RolloutWritten      = "rollout-written"     // the store holds the status of a roll-out
	RolloutNotWritten   = "rollout-not-written" // a write of the status failed, and is repeated
	SuspectsCleared     = "suspects-cleared"    // requests equal to suspected ones have run well
)

// Events of a request or a connection.
const (
	RequestEnded      = "request-ended"
	RequestRefused    = "request-refused" // by the node beside the backend server
	RequestServed     = "request-served"  // by the backend server
	ConnectionRefused = "connection-refused"
	QuotaRefused      = "quota-refused"   // requests of a workspace that got no token of its quota
	BodiesGaveWay     = "bodies-gave-way" // request bodies were ended because all together hold too much memory
)
