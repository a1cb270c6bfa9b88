package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/userapi"
	"thornnotch/internal/wirejson"
)

// Single HTTP requests that users send to a site's nodes. The users type builds on them.

// sendRequest sends a request to a node, and returns the HTTP status code and the decoded
// response. The code is 0 if there is no response within 5 s.
func (s *site) sendRequest(node int, method, path string, body any) (int, userapi.JobStatus) {
	raw, err := json.Marshal(body)
	if err != nil {
		s.t.Error(err)
	}
	request, err := http.NewRequestWithContext(s.ctx, method, "http://"+nodeAddress(node)+path, bytes.NewReader(raw))
	if err != nil {
		s.t.Error(err)
		return 0, userapi.JobStatus{}
	}
	response, err := s.userClient.Do(request)
	if err != nil {
		return 0, userapi.JobStatus{}
	}
	defer response.Body.Close() //nolint:errcheck // nothing is written to it
	var status userapi.JobStatus
	received, _ := io.ReadAll(response.Body) // a body that ends early is not JSON
	_ = wirejson.Decode(received, &status)   // stays empty for error responses, which have another format
	return response.StatusCode, status
}

// ready reports whether a node's readiness probe succeeds, so that users may be sent to it.
func (s *site) ready(node int) bool { return s.readinessCode(node) == http.StatusOK }

// readinessCode returns the HTTP status code of a node's readiness probe.
func (s *site) readinessCode(node int) int {
	code, _ := s.sendRequest(node, http.MethodGet, "/ready", nil)
	return code
}

// submit sends one submission to a node, and returns the HTTP status code.
func (s *site) submit(node int, job *jobs.Spec) (code int) {
	code, _ = s.submitWithResponse(node, job)
	return code
}

// submitWithResponse sends one submission to a node, and returns the HTTP status code and the
// decoded response.
func (s *site) submitWithResponse(node int, job *jobs.Spec) (int, userapi.JobStatus) {
	s.submittedSpecs.LoadOrStore(job.ID, job) // a repeated submission does not replace the first
	body := map[string]any{
		"nameId": job.ID, "workload": job.Class, "owner": job.Team, "shape": job.Kind, "urgency": job.PriorityClass,
		"pieces": job.Tasks, "vcpus": job.CPUs, "accelerators": job.GPUs, "ramGb": job.MemoryGB, "bundle": job.Image, "imageGb": 3.0,
		"hall": nullIfEmpty(job.Zone), "samePlace": job.SameZone, "apart": false, "loaners": job.AllowSpot, "expectS": job.ExpectedS, "snapshotS": job.CheckpointIntervalS, "stashS": job.CheckpointSaveS,
	}
	if job.DependsOn != nil {
		body["waitsOn"] = job.DependsOn
	}
	if s.unknownFields {
		return s.sendRequest(node, http.MethodPost, "/work", withUnknownFields(s.t, body))
	}
	return s.sendRequest(node, http.MethodPost, "/work", body)
}

// withUnknownFields encodes a submission and appends fields whose names differ from the protocol's only in
// the case of their letters. They would change the job if they were taken for the protocol's fields.
func withUnknownFields(t *testing.T, submission map[string]any) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(submission)
	if err != nil {
		t.Fatal(err)
	}
	otherZone := zones[0]
	if submission["hall"] == otherZone {
		otherZone = zones[1]
	}
	unknown, err := json.Marshal(map[string]any{"Hall": otherZone, "LOANERS": true, "SamePlace": false, "WaitsOn": []string{}})
	if err != nil {
		t.Fatal(err)
	}
	return slices.Concat(raw[:len(raw)-1], []byte{','}, unknown[1:])
}

// nullIfEmpty returns s, or nil, which is encoded as null, if s is empty.
func nullIfEmpty(s string) any {
	if s == "" {
		return nil
	}
	return s
}

// isAccepted reports whether a status code means that a new or repeated submission was accepted.
func isAccepted(code int) bool { return code == http.StatusCreated || code == http.StatusOK }

// mustSubmit submits a job to these nodes in turn until one accepts it, and fails the test if
// none does within the limit.
func (s *site) mustSubmit(limit time.Duration, job *jobs.Spec, nodes ...int) {
	s.t.Helper()
	s.waitFor(limit, "acceptance of "+job.ID, func() bool {
		for _, node := range nodes {
			if isAccepted(s.submit(node, job)) {
				return true
			}
		}
		return false
	})
}

// status queries a job once at a node and returns the job's status. If the HTTP status code is
// not 200, it returns the code as a string ("0" if there is no response).
func (s *site) status(node int, id string) string {
	code, status := s.sendRequest(node, http.MethodGet, "/work/"+id, nil)
	if code != http.StatusOK {
		return fmt.Sprint(code)
	}
	return status.Status
}

// cancelJob sends one cancellation to a node, and returns the HTTP status code and the decoded
// response.
func (s *site) cancelJob(node int, id string) (int, userapi.JobStatus) {
	return s.sendRequest(node, http.MethodPost, "/work/"+id+"/cancel", nil)
}

// isFinal reports whether a job status is final.
func isFinal(status string) bool {
	return status == jobs.StatusDone || status == jobs.StatusCancelled
}
