// Package statestore is the client of the state service, the only place where the nodes
// can keep state, and rations the calls to it.
//
// The service is a consensus-backed key-value store (protocol, "Controller nodes -> state
// service"). Every change has a revision, which counts all changes of the store; a key's
// revision is that of its latest change, and 0 while the key does not exist. Changes are
// made by transactions on conditions: compare-and-swap on the revisions of keys.
//
// What a caller may conclude of a call that failed stands with each error.
package statestore
