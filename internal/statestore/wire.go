package statestore

import "encoding/json"

// The types of this file are the protocol's JSON. Its themed names stand here alone.

// KeyValue is one key with its value and the revision of its latest change.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Condition demands that a key has this revision; 0 demands that it does not exist.
type Condition struct {
	Key      string `json:"k"`
	Revision uint64 `json:"stamp"`
}

// Write sets the key Put to Value, attached to Lease unless that is 0, or else removes the
// key Delete.
type Write struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Change is one change that a watch tells of: the key Put was set to Value, or the key
// Delete was removed.
type Change struct {
	Put      string          `json:"set"`
	Value    json.RawMessage `json:"v"`
	Delete   string          `json:"remove"`
	Revision uint64          `json:"stamp"`
}

// listPage is one page of keys; Revision is the store's when it was made.
type listPage struct {
	Rows     []KeyValue `json:"rows"`
	HasNext  bool       `json:"hasNext"`
	Revision uint64     `json:"epoch"`
}

type txnRequest struct {
	Conditions []Condition `json:"when"`
	Writes     []Write     `json:"writes,omitempty"`
}

type txnAnswer struct {
	Revision uint64 `json:"epoch"`
}

type conflictAnswer struct {
	FailedKeys []string `json:"failed"`
}

// leaseExpiredMessage is in the answer to a transaction that names a lease which has ended.
const leaseExpiredMessage = "no such lease"

type leaseRequest struct {
	TTLMS int64 `json:"ttlMs"`
}

type leaseAnswer struct {
	Lease uint64 `json:"tenure"`
}

type watchAnswer struct {
	Revision uint64   `json:"epoch"`
	Changes  []Change `json:"log"`
}

// Paths of the service, and parameters of its queries.
const (
	pathKeys   = "/store"
	pathTxn    = "/multi"
	pathLeases = "/holds"
	pathRenew  = "/touch" // after a lease
	pathWatch  = "/follow"

	paramPrefix  = "prefix"
	paramFrom    = "from"
	paramLimit   = "limit"
	paramBlockMS = "blockMs"
)
