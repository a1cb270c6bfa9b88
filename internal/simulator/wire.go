package simulator

import (
	"encoding/json"
	"io"
	"net/http"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// The client packages do not declare the protocol messages below, or declare them only for the
// opposite direction. The JSON tags hold the protocol's names; the Go names are the project's
// terms.

// errorReply is the body of an error response.
type errorReply struct {
	Error string `json:"error"`
}

// emptyReply is the body of a successful response without data.
type emptyReply struct{}

// storeChange is a change of one key, as reported by a watch. Either Put or Delete holds the
// key.
type storeChange struct {
	Put      string          `json:"set,omitempty"`
	Value    json.RawMessage `json:"v,omitempty"`
	Delete   string          `json:"remove,omitempty"`
	Revision uint64          `json:"stamp"`
}

// storeTransaction requests writes that are applied if all conditions hold.
type storeTransaction struct {
	Conditions []statestore.Condition `json:"when"`
	Writes     []statestore.Write     `json:"writes"`
}

// revisionReply carries the store's current revision.
type revisionReply struct {
	Revision uint64 `json:"epoch"`
}

// conflictReply lists the keys whose conditions did not hold.
type conflictReply struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// listReply is one page of keys with their values.
type listReply struct {
	Rows     []statestore.KeyValue `json:"rows"`
	HasNext  bool                  `json:"hasNext"`
	Revision uint64                `json:"epoch"`
}

// watchReply lists the changes after the requested revision.
type watchReply struct {
	Revision uint64        `json:"epoch"`
	Changes  []storeChange `json:"log"`
}

// leaseRequest requests a new lease.
type leaseRequest struct {
	TTLMS int64 `json:"ttlMs"`
}

// leaseReply carries the ID of a lease that was granted or renewed.
type leaseReply struct {
	ID uint64 `json:"tenure"`
}

// machineNames lists the names of the rented machines in a reply, or of the machines to return
// in a request.
type machineNames struct {
	Machines []string `json:"rigs"`
}

// machineListReply lists all rented machines in a single page.
type machineListReply struct {
	Machines []autoscaling.Instance `json:"rigs"`
	HasNext  bool                   `json:"hasNext"`
}

// redirectReply tells a worker the label of the leader.
type redirectReply struct {
	Leader string `json:"foreman"`
}

// readRequest decodes the JSON body of a request into the value that into points to.
func readRequest(r *http.Request, into any) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	return wirejson.Decode(body, into)
}

func writeReply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, reason string) {
	writeReply(w, status, errorReply{reason})
}

// unavailableReason is the error text of the 503 response during an outage or to a refused host.
const unavailableReason = "trouble"
