package simulator

import (
	"encoding/json"
	"net/http"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/statestore"
)

// The messages of the simulated systems that the clients' packages do not declare, or
// declare for the other direction only. The protocol's own names stand in the tags here alone.

// errorReply is the body of a refusal.
type errorReply struct {
	Error string `json:"error"`
}

// emptyReply is the body of an answer that says nothing more.
type emptyReply struct{}

// storeChange is one change of the state service, as a watch reports it.
type storeChange struct {
	Put      string          `json:"set,omitempty"`
	Value    json.RawMessage `json:"v,omitempty"`
	Delete   string          `json:"remove,omitempty"`
	Revision uint64          `json:"stamp"`
}

// storeTransaction is a request to change keys if conditions hold.
type storeTransaction struct {
	Conditions []statestore.Condition `json:"when"`
	Writes     []statestore.Write     `json:"writes"`
}

// revisionReply tells the store's revision.
type revisionReply struct {
	Revision uint64 `json:"epoch"`
}

// conflictReply tells which conditions do not hold.
type conflictReply struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// listReply is one page of keys.
type listReply struct {
	Rows     []statestore.KeyValue `json:"rows"`
	HasNext  bool                  `json:"hasNext"`
	Revision uint64                `json:"epoch"`
}

// watchReply is what has changed since the revision that was asked about.
type watchReply struct {
	Revision uint64        `json:"epoch"`
	Log      []storeChange `json:"log"`
}

// leaseRequest asks for a lease.
type leaseRequest struct {
	TTLMs int64 `json:"ttlMs"`
}

// leaseReply names a lease.
type leaseReply struct {
	ID uint64 `json:"tenure"`
}

// namesMessage names the machines that were rented, or are to be returned.
type namesMessage struct {
	Machines []string `json:"rigs"`
}

// machinesReply is the list of rented machines, in one page.
type machinesReply struct {
	Machines []autoscaling.Instance `json:"rigs"`
	HasNext  bool                   `json:"hasNext"`
}

// redirect tells a worker which node leads.
type redirect struct {
	Leader string `json:"foreman"`
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may be gone
}

func refuse(w http.ResponseWriter, status int, reason string) {
	reply(w, status, errorReply{reason})
}

// errorOutage is what a system that fails for a while answers, with 503.
const errorOutage = "trouble"
