// Package peers implements the calls between controller nodes over net/rpc: wire.go defines
// the wire format, server.go the server and client.go the client.
//
// Nothing may be concluded from a node that can't be reached. Safety depends on these calls
// in one case only: nodes attest to cancellations while the state service is unavailable.
package peers
