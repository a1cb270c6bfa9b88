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

// JobStatus is the status of a job as reported to users.
type JobStatus struct {
	ID     string `json:"nameId"`
	Status string `json:"status"`
	// Done and Running are task counts, for display only; nil omits them.
	Done    *int `json:"done,omitempty"`
	Running *int `json:"running,omitempty"`
}

// openStatus returns the status of a job that is neither done nor cancelled.
func openStatus(id string, counts TaskCounts) JobStatus {
	status := JobStatus{ID: id, Status: jobs.StatusPending, Done: &counts.Done, Running: &counts.Running}
	if counts.Running > 0 {
		status.Status = jobs.StatusRunning
	}
	return status
}

// finalStatus returns the status of a job that is done or cancelled.
func finalStatus(id string, final jobs.FinalRecord) JobStatus {
	done, running := 0, 0
	if final.Status == jobs.StatusDone {
		done = final.Tasks
	}
	return JobStatus{ID: id, Status: final.Status, Done: &done, Running: &running}
}

// cancelledStatus returns the status of a cancelled job.
func cancelledStatus(id string) JobStatus {
	return finalStatus(id, jobs.FinalRecord{Status: jobs.StatusCancelled})
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
	// Field is the wire name of the invalid field, if the error concerns one.
	Field string `json:"field,omitempty"`
}

// requestError is a failed request together with the response that its user receives.
type requestError struct {
	httpStatus int
	body       errorBody
	// cause is the underlying error, for logs; may be nil.
	cause error
}

func (e *requestError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%d: %s", e.httpStatus, e.body.Error)
	}
	return fmt.Sprintf("%d: %s: %v", e.httpStatus, e.body.Error, e.cause)
}

func (e *requestError) Unwrap() error { return e.cause }

// serviceUnavailable returns a 503 error, which asks the user to retry later.
func serviceUnavailable(reason string, cause error) *requestError {
	return &requestError{http.StatusServiceUnavailable, errorBody{Error: reason}, cause}
}

// stateServiceUnavailable returns the 503 error for a request whose response can't be proven,
// because the state service gave no valid response.
func stateServiceUnavailable(cause error) *requestError {
	return serviceUnavailable("the state service can't be asked", cause)
}

// jobNotFound returns the 404 error for a job ID that was never accepted.
func jobNotFound() *requestError {
	return &requestError{http.StatusNotFound, errorBody{Error: "no such job"}, nil}
}

// malformedSubmission returns the 400 error for a submission that can't be decoded. It names
// the invalid field if there is one.
func malformedSubmission(err error) *requestError {
	var field *jobs.FieldError
	if errors.As(err, &field) {
		return &requestError{http.StatusBadRequest, errorBody{field.Problem, field.Field}, err}
	}
	return &requestError{http.StatusBadRequest, errorBody{Error: err.Error()}, err}
}

// unrunnableJob returns the 422 error for a well-formed job that can never run.
func unrunnableJob(body errorBody, cause error) *requestError {
	return &requestError{http.StatusUnprocessableEntity, body, cause}
}

// respondError writes the response for a failed request.
func respondError(w http.ResponseWriter, err error) {
	var failure *requestError
	if !errors.As(err, &failure) {
		failure = stateServiceUnavailable(err)
	}
	if failure.httpStatus == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(constants.RetryAfterSeconds))
	}
	WriteJSON(w, failure.httpStatus, failure.body)
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, httpStatus int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, `{"error":"internal"}`, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus)
	_, _ = w.Write(append(raw, '\n')) // a client that misses the response repeats the request
}

// ReadBody reads a request's body. If the body can't be read or exceeds the protocol's size
// limit, ReadBody writes the error response and returns ok = false.
func ReadBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, constants.MaxBodyBytes))
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, errorBody{Error: "the body can't be read: " + err.Error()})
		return nil, false
	}
	return body, true
}
