package userapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// JobStatus is a job as users are told of it.
type JobStatus struct {
	ID     string `json:"nameId"`
	Status string `json:"status"`
	// Done and Running count tasks, for display; nil: not shown.
	Done    *int `json:"done,omitempty"`
	Running *int `json:"running,omitempty"`
}

// openStatus is the status of a job that is neither done nor cancelled.
func openStatus(id string, counts TaskCounts) JobStatus {
	status := JobStatus{ID: id, Status: jobs.StatusPending, Done: &counts.Done, Running: &counts.Running}
	if counts.Running > 0 {
		status.Status = jobs.StatusRunning
	}
	return status
}

// finalStatus is the status of a job that is done or cancelled.
func finalStatus(id string, final jobs.FinalRecord) JobStatus {
	done, running := 0, 0
	if final.Status == jobs.StatusDone {
		done = final.Tasks
	}
	return JobStatus{ID: id, Status: final.Status, Done: &done, Running: &running}
}

// cancelledStatus is the status of a job that is cancelled.
func cancelledStatus(id string) JobStatus {
	return finalStatus(id, jobs.FinalRecord{Status: jobs.StatusCancelled})
}

// errorBody is the body of an answer that is no success.
type errorBody struct {
	Error string `json:"error"`
	// Field is the wire name of the field at fault, if it is one.
	Field string `json:"field,omitempty"`
}

// requestError is a request's failure as its user is told of it.
type requestError struct {
	httpStatus int
	body       errorBody
	// cause is what led to it, for the log; may be nil.
	cause error
}

func (e *requestError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%d: %s", e.httpStatus, e.body.Error)
	}
	return fmt.Sprintf("%d: %s: %v", e.httpStatus, e.body.Error, e.cause)
}

func (e *requestError) Unwrap() error { return e.cause }

// unavailable tells users to come again later: the request can't be served now.
func unavailable(reason string, cause error) *requestError {
	return &requestError{http.StatusServiceUnavailable, errorBody{Error: reason}, cause}
}

// stateServiceUnavailable is unavailable for want of an answer that proves anything.
func stateServiceUnavailable(cause error) *requestError {
	return unavailable("the state service can't be asked", cause)
}

// noSuchJob: no user ever had a job of that ID accepted.
func noSuchJob() *requestError {
	return &requestError{http.StatusNotFound, errorBody{Error: "no such job"}, nil}
}

// malformed tells a user what is wrong with a submission that can't be read.
func malformed(err error) *requestError {
	var field *jobs.FieldError
	if errors.As(err, &field) {
		return &requestError{http.StatusBadRequest, errorBody{field.Problem, field.Field}, err}
	}
	return &requestError{http.StatusBadRequest, errorBody{Error: err.Error()}, err}
}

// neverRuns tells a user that a job can never run.
func neverRuns(body errorBody, cause error) *requestError {
	return &requestError{http.StatusUnprocessableEntity, body, cause}
}

// respondError answers a request that failed.
func respondError(w http.ResponseWriter, err error) {
	var failure *requestError
	if !errors.As(err, &failure) {
		failure = stateServiceUnavailable(err)
	}
	if failure.httpStatus == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(constants.RetryAfter))
	}
	WriteJSON(w, failure.httpStatus, failure.body)
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, httpStatus int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, `{"error":"internal"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus)
	_, _ = w.Write(append(raw, '\n')) // whoever does not get the answer asks again
}

// ReadBody reads a request's body within the protocol's bound. Where it can't, it answers
// the request and reports false.
func ReadBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, constants.MaxBodyBytes))
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, errorBody{Error: "the body can't be read: " + err.Error()})
		return nil, false
	}
	return body, true
}
