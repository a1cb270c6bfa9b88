package constants

import "time"

// HTTP connections of users and workers.
const (
	// HeaderTimeout bounds reading a request's header; it ends slow connections.
	HeaderTimeout = 10 * time.Second
	// MaxHeaderBytes bounds a request's header (bytes): workers and users send a few hundred.
	MaxHeaderBytes = 16 << 10
	// IdleTimeout ends connections without a request.
	IdleTimeout = 120 * time.Second
	// BodyTimeout bounds reading a whole request.
	BodyTimeout = 15 * time.Second
	// ShutdownGrace is how long open requests may take on an orderly shutdown.
	ShutdownGrace = 3 * time.Second
)

// Calls between nodes, and the health of a node.
const (
	// MeshTimeout bounds a call between nodes.
	MeshTimeout = 400 * time.Millisecond
	// MeshConnsPerNode bounds the connections that each other node may have open here; it
	// needs one, and a new one when that one hangs.
	MeshConnsPerNode = 4
	// RelayTimeout bounds a user's request that another node serves; users wait 2 s for a poll.
	RelayTimeout = 1600 * time.Millisecond
	// MaxRelayTargets is the number of nodes that a user's request is passed to in turn: its
	// user waits for no more.
	MaxRelayTargets = 2
	// HealthCheckInterval is the interval at which a node that the state service does not
	// answer asks the other nodes whether it answers them.
	HealthCheckInterval = 400 * time.Millisecond
	// HealthMaxAge is how recent an answer of the state service must be to count.
	HealthMaxAge = 3 * time.Second
	// IsolatedAfter is how long a node must be cut off from the state service and from all
	// other nodes before it reports itself as not ready.
	IsolatedAfter = 1500 * time.Millisecond
)
