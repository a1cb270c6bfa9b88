package statestore

import "encoding/json"

// This file defines the JSON format of the state service's protocol. The protocol's own
// names for fields and paths appear only here.

// KeyValue is a key with its value and the revision of its latest change.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Condition requires a key to have the given revision. Revision 0 requires that the key does
// not exist.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Write sets the key Put to Value, attached to Lease unless that is 0, or deletes the key
// Delete.
type Write struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Change is one change reported by a watch: the key Put was set to Value, or the key Delete
// was deleted.
type Change struct {
	Put      string          `json:"set"`
	Value    json.RawMessage `json:"v"`
	Delete   string          `json:"remove"`
	Revision uint64          `json:"stamp"`
}

// listPage is one page of keys. Revision is the revision of the store at the time of the read.
type listPage struct {
	Rows     []KeyValue `json:"rows"`
	HasNext  bool       `json:"hasNext"`
	Revision uint64     `json:"epoch"`
}

type txnRequest struct {
	Conditions []Condition `json:"when"`
	Writes     []Write     `json:"writes,omitempty"`
}

type txnResponse struct {
	Revision uint64 `json:"epoch"`
}

type conflictResponse struct {
	FailedKeys []string `json:"failed"`
}

// errorResponse is the body of a response with an error status.
type errorResponse struct {
	Error string `json:"error"`
}

// leaseExpiredMessage is the error of the response to a transaction whose lease has ended.
const leaseExpiredMessage = "no such lease"

type leaseRequest struct {
	TTLMS int64 `json:"ttlMs"`
}

type leaseResponse struct {
	Lease uint64 `json:"tenure"`
}

type watchResponse struct {
	Revision uint64   `json:"epoch"`
	Changes  []Change `json:"log"`
}

// URL paths and query parameters of the service.
const (
	pathKeys   = "/store"
	pathTxn    = "/multi"
	pathLeases = "/holds"
	pathRenew  = "/touch" // appended to the path of a lease
	pathWatch  = "/follow"

	paramPrefix  = "prefix"
	paramFrom    = "from"
	paramLimit   = "limit"
	paramBlockMS = "blockMs"
)
