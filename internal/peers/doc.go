// Package peers implements the calls between controller nodes over net/rpc: wire.go defines
// the wire format, server.go the server and client.go the client.
//
// A failure to reach a node proves nothing about that node. Safety depends on these calls in one
// case only: while the state service does not respond to the leader, the leader relies on the
// cancellations to which the nodes attest.
package peers
