package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/userapi"
)

// Users' single requests to a site's nodes. The users type asks on top of them.

// call sends a request to a node; the status is 0 if there is no answer.
func (s *site) call(node int, method, path string, body any) (int, userapi.JobStatus) {
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
	defer response.Body.Close() //nolint:errcheck // it is only read
	var status userapi.JobStatus
	_ = json.NewDecoder(response.Body).Decode(&status) // answers to faults are others
	return response.StatusCode, status
}

// ready tells whether a node says that users may be sent to it.
func (s *site) ready(node int) bool { return s.readiness(node) == http.StatusOK }

func (s *site) readiness(node int) int {
	code, _ := s.call(node, http.MethodGet, "/ready", nil)
	return code
}

// submit submits a job once.
func (s *site) submit(node int, job *jobs.Spec) (code int) {
	code, _ = s.submitAndRead(node, job)
	return code
}

// submitAndRead submits a job once and reads the answer.
func (s *site) submitAndRead(node int, job *jobs.Spec) (int, userapi.JobStatus) {
	s.specs.LoadOrStore(job.ID, job) // a repeat changes nothing
	body := map[string]any{
		"nameId": job.ID, "workload": job.Class, "owner": job.Team, "shape": job.Kind, "urgency": job.PriorityClass,
		"pieces": job.Tasks, "vcpus": job.CPUs, "accelerators": job.GPUs, "ramGb": job.MemoryGB, "bundle": job.Image, "imageGb": 3.0,
		"hall": orNull(job.Zone), "samePlace": job.SameZone, "apart": false, "loaners": job.AllowSpot, "expectS": job.ExpectedS, "snapshotS": job.CheckpointIntervalS, "stashS": job.SaveS,
	}
	if job.DependsOn != nil {
		body["waitsOn"] = job.DependsOn
	}
	return s.call(node, http.MethodPost, "/work", body)
}

func orNull(s string) any {
	if s == "" {
		return nil
	}
	return s
}

// accepted tells whether a submission, new or repeated, was accepted.
func accepted(code int) bool { return code == http.StatusCreated || code == http.StatusOK }

// mustSubmit submits a job to the first nodes by turns until one accepts it.
func (s *site) mustSubmit(limit time.Duration, job *jobs.Spec, nodes ...int) {
	s.t.Helper()
	s.waitFor(limit, "acceptance of "+job.ID, func() bool {
		for _, node := range nodes {
			if accepted(s.submit(node, job)) {
				return true
			}
		}
		return false
	})
}

// status is what a node says of a job: its status, or the code of an answer other
// than 200.
func (s *site) status(node int, id string) string {
	code, status := s.call(node, http.MethodGet, "/work/"+id, nil)
	if code != http.StatusOK {
		return fmt.Sprint(code)
	}
	return status.Status
}

// cancelJob asks a node once to cancel a job.
func (s *site) cancelJob(node int, id string) (int, userapi.JobStatus) {
	return s.call(node, http.MethodPost, "/work/"+id+"/cancel", nil)
}

// isOver tells whether a status is final.
func isOver(status string) bool {
	return status == jobs.StatusDone || status == jobs.StatusCancelled
}
