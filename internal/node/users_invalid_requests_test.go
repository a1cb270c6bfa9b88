package node

import (
	"maps"
	"net/http"

	"thornnotch/internal/jobs"
)

// invalidRequest is a request that a node must reject with a given status code, regardless of
// faults and other requests.
type invalidRequest struct {
	name         string
	method, path string
	body         any
	wantCode     int
}

// sendInvalidRequests sends a node requests that it must reject.
func (u *users) sendInvalidRequests(node int) {
	id := jobID(900000 + u.intn(90000))
	required := []string{"owner", "pieces", "bundle", "expectS", "shape"}[u.intn(5)]
	for _, request := range []invalidRequest{
		{"a submission with a missing field", http.MethodPost, "/work", jobBody(id, required, nil), http.StatusBadRequest},
		{"a submission that is not a JSON object", http.MethodPost, "/work", []int{1}, http.StatusBadRequest},
		{"a task that fits no machine", http.MethodPost, "/work", jobBody(id, "accelerators", 5.0), http.StatusUnprocessableEntity},
		{"an unknown team", http.MethodPost, "/work", jobBody(id, "owner", "nobody"), http.StatusUnprocessableEntity},
		{"a status query for an unknown job", http.MethodGet, "/work/" + id, nil, http.StatusNotFound},
		{"a cancellation of an unknown job", http.MethodPost, "/work/" + id + "/cancel", nil, http.StatusNotFound},
	} {
		u.sendInvalid(node, request)
	}
}

// sendInvalid sends one request. A 503 or a missing response is not a violation.
func (u *users) sendInvalid(node int, request invalidRequest) {
	code, _ := u.site.sendRequest(node, request.method, request.path, request.body)
	if code != request.wantCode && code != http.StatusServiceUnavailable && code != 0 {
		u.site.rules.reportViolation("%s got %d instead of %d", request.name, code, request.wantCode)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if code == request.wantCode {
		u.answered++
	} else {
		u.inconclusive++
	}
}

// jobBody returns a submission that is valid except for one field, which is omitted if the
// value is nil.
func jobBody(id, field string, value any) map[string]any {
	body := map[string]any{
		"nameId": id, "workload": "sweep", "owner": "a", "shape": jobs.KindArray, "urgency": "standard", "pieces": 2, "vcpus": 1.0,
		"accelerators": 0.0, "ramGb": 1.0, "bundle": "img", "imageGb": 1.0, "samePlace": false, "apart": false, "loaners": true, "expectS": 5.0, "snapshotS": 0.0, "stashS": 0.0,
	}
	body[field] = value
	maps.DeleteFunc(body, func(_ string, v any) bool { return v == nil })
	return body
}
