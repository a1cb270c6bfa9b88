// Package peers implements the calls between controller nodes over net/rpc: wire.go defines
// the wire format, server.go the server and client.go the client.
//
// That a node can't be reached proves nothing. Safety depends on these calls in one case only:
// while the state service does not respond to the leader, the leader relies on the
// cancellations to which the nodes attest.
package peers
