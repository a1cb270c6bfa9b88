package constants

import "time"

// HTTP connections of users and workers.
const (
	// HeaderTimeout is the timeout for reading a request's header, so that slow clients can't
	// hold connections open. It is also the time after which the leader closes an idle
	// connection to a worker.
	HeaderTimeout = 10 * time.Second
	// MaxHeaderBytes is the maximum size of a request's header in bytes. Headers of workers
	// and users are normally a few hundred bytes long.
	MaxHeaderBytes = 16 << 10
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout = 120 * time.Second
	// RequestReadTimeout is the timeout for reading a whole request, header included.
	RequestReadTimeout = 15 * time.Second
	// ShutdownGrace is how long an orderly shutdown waits for requests in flight.
	ShutdownGrace = 3 * time.Second
)

// JSON from other programs.
const (
	// MaxJSONNesting is the number of arrays and objects that may be nested in a JSON text. It is
	// that of encoding/json, which has no setting for it.
	MaxJSONNesting = 10000
)

// Calls between nodes and node health.
const (
	// PeerTimeout is the timeout of a call between nodes.
	PeerTimeout = 400 * time.Millisecond
	// MaxConnsPerPeer is the maximum number of connections accepted per peer. A peer needs
	// one, and opens another when that one hangs.
	MaxConnsPerPeer = 4
	// RelayTimeout is the timeout of a user request that is relayed to another node. Users
	// wait 2 s for a status query.
	RelayTimeout = 1600 * time.Millisecond
	// MaxRelayTargets is the maximum number of nodes that a user request is relayed to in
	// turn. The user does not wait for more.
	MaxRelayTargets = 2
	// PeerHealthCheckInterval is the interval at which a node that gets no response from the
	// state service asks its peers whether they get one.
	PeerHealthCheckInterval = 400 * time.Millisecond
	// MaxStateResponseAge is the maximum age of the last response of the state service at
	// which a node still counts as healthy.
	MaxStateResponseAge = 3 * time.Second
	// IsolatedAfter is how long a node must have been cut off from the state service and from
	// all peers before it reports that it is not ready.
	IsolatedAfter = 1500 * time.Millisecond
)
