// Package statestore is a rate-limited client of the state service, which holds all durable
// state of the controller nodes.
//
// The service is a consensus-backed key-value store (protocol, "Controller nodes -> state
// service"). Each change increments the revision of the store. The revision of a key is that
// of its latest change, or 0 if the key does not exist. Writes are made by transactions that
// compare the revisions of keys and apply only if all match (compare-and-swap).
//
// The documentation of each error says what a caller may conclude from it.
package statestore
