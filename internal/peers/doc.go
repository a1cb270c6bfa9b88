// Package peers carries the calls between controller nodes over net/rpc: wire.go
// has the wire format, server.go answers calls, client.go makes them.
//
// A node that can't be reached proves nothing. Safety rests on these calls in one
// place alone: on the cancellations that nodes attest to while the state service
// does not answer.
package peers
