package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// handleSubmit serves POST /work: it accepts a job.
func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	body, ok := ReadBody(w, r)
	if !ok {
		return
	}
	if !s.acquireSubmissionSlot() {
		respondError(w, serviceUnavailable("too many submissions at once", nil))
		return
	}
	defer s.releaseSubmissionSlot()
	ctx, cancel := context.WithTimeout(r.Context(), constants.UserRequestTimeout)
	defer cancel()
	status, isNew, err := s.decodeAndSubmit(ctx, body)
	switch {
	case err != nil:
		respondError(w, err)
	case isNew:
		WriteJSON(w, http.StatusCreated, status)
	default:
		WriteJSON(w, http.StatusOK, status)
	}
}

// acquireSubmissionSlot takes a slot and reports whether one was free. There are only as many
// slots as submissions that can be recorded before their users give up, and further submissions
// are rejected at once. Status queries and cancellations need no slot.
func (s *Server) acquireSubmissionSlot() bool {
	select {
	case s.submissionSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) releaseSubmissionSlot() { <-s.submissionSlots }

// decodeAndSubmit submits the job that the body of a request describes. A malformed submission is
// rejected unless it repeats one that was accepted: another version of the program may have read it
// differently.
func (s *Server) decodeAndSubmit(ctx context.Context, body []byte) (status JobStatus, isNew bool, err error) {
	spec, err := jobs.DecodeSpec(body)
	if err == nil {
		return s.submit(ctx, spec)
	}
	s.log.Debug("malformed submission", "error", err)
	rejection := malformedSubmission(err)
	id, ok := jobs.DecodeID(body)
	if !ok {
		return JobStatus{}, false, rejection
	}
	return s.existingOrRejected(ctx, id, rejection)
}

// submit accepts a job or finds that it was accepted before. Submissions are idempotent: a
// repeated one returns the current status of the job with isNew = false.
func (s *Server) submit(ctx context.Context, spec *jobs.Spec) (status JobStatus, isNew bool, err error) {
	types := s.machineTypes()
	if len(types) == 0 {
		return JobStatus{}, false, serviceUnavailable("the machine types are not known yet", nil)
	}
	if err := jobs.CheckRunnable(spec, s.teams, types); err != nil {
		return s.existingOrRejected(ctx, spec.ID, unrunnableJob(errorBody{Error: err.Error()}, err))
	}
	if len(spec.DependsOn) == 0 {
		return s.createJob(ctx, spec, false)
	}
	unknown, err := s.findUnknownJob(ctx, spec.DependsOn)
	if err != nil {
		return JobStatus{}, false, stateServiceUnavailable(err)
	}
	if unknown != "" {
		rejection := errorBody{fmt.Sprintf("%s was never accepted", unknown), jobs.FieldDependsOn}
		return s.existingOrRejected(ctx, spec.ID, unrunnableJob(rejection, nil))
	}
	// The error is ignored because this check is best effort: a job with a cancelled
	// dependency is cancelled in any case, whether the dependency is cancelled now or later.
	cancelled, _ := s.anyCancelled(ctx, spec.DependsOn, statestore.ClassSubmit)
	return s.createJob(ctx, spec, cancelled)
}

// existingOrRejected answers a submission that would be rejected if it were new. An accepted
// job stays accepted, even if the machine types change or a repeated submission differs from
// the first. So the job is looked up before its user is told that it is malformed or can never run.
func (s *Server) existingOrRejected(ctx context.Context, id string, rejection *requestError) (status JobStatus, isNew bool, err error) {
	status, found, err := s.lookUpStatus(ctx, id, statestore.ClassSubmit)
	if err != nil {
		return JobStatus{}, false, stateServiceUnavailable(err)
	}
	if !found {
		return JobStatus{}, false, rejection
	}
	return status, false, nil
}

// createJob writes the open record of a job, or the final record of a cancelled job if cancelled
// is set, on the condition that the job has no record. So only one of several submissions of a job
// takes effect, whichever nodes handle them and however late they are executed.
func (s *Server) createJob(ctx context.Context, spec *jobs.Spec, cancelled bool) (status JobStatus, isNew bool, err error) {
	value, parts, err := jobs.EncodeRecord(*spec, time.Now().UnixMilli(), s.maxValueBytes, newUploadID())
	if err != nil {
		return JobStatus{}, false, malformedSubmission(err)
	}
	dependencies := jobs.DecodeDependencies(value)
	write := statestore.Write{Put: jobs.OpenPrefix + spec.ID, Value: value}
	if cancelled {
		write, parts = statestore.Write{Put: jobs.FinalPrefix + spec.ID, Value: encodeFinalRecord(cancelledRecord)}, nil
	}
	if err := s.writeParts(ctx, spec.ID, dependencies, parts); err != nil {
		return JobStatus{}, false, serviceUnavailable("the job can't be recorded now", err)
	}
	absent := []statestore.Condition{{Key: jobs.OpenPrefix + spec.ID}, {Key: jobs.FinalPrefix + spec.ID}}
	revision, err := s.runTxn(ctx, statestore.ClassSubmit, absent, []statestore.Write{write})
	var conflict *statestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		return s.existingStatus(ctx, spec.ID)
	case err != nil:
		s.log.Debug("submission not recorded", "job", spec.ID, "error", err)
		return JobStatus{}, false, serviceUnavailable("the job can't be recorded now", err)
	case cancelled:
		s.cacheFinalRecord(spec.ID, cancelledRecord)
		return JobStatus{ID: spec.ID, Status: jobs.StatusCancelled}, true, nil
	}
	s.log.Debug("submission recorded", "job", spec.ID, "team", spec.Team, "class", spec.Class, "tasks", spec.Tasks,
		"zone", spec.Zone, "machine_types", spec.MachineTypes, "spot", spec.AllowSpot)
	s.replica.add(spec.ID, revision, dependencies)
	return JobStatus{ID: spec.ID, Status: jobs.StatusPending}, true, nil
}

// existingStatus answers the submission of a job that already has a record.
func (s *Server) existingStatus(ctx context.Context, id string) (status JobStatus, isNew bool, err error) {
	status, found, err := s.lookUpStatus(ctx, id, statestore.ClassSubmit)
	if err != nil || !found {
		return JobStatus{}, false, stateServiceUnavailable(err)
	}
	return status, false, nil
}

// newUploadID returns a random ID for the parts of one submission's dependency list.
func newUploadID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// writeParts writes the parts of a long dependency list before the record that refers to them,
// as many per transaction as fit. If the submission fails later, its parts are never read.
func (s *Server) writeParts(ctx context.Context, id string, dependencies jobs.Dependencies, parts []json.RawMessage) error {
	for next := 0; next < len(parts); {
		var writes []statestore.Write
		size := 0
		for len(writes) < s.maxWrites && next < len(parts) && (size == 0 || size+len(parts[next]) <= constants.MaxTxnValueBytes) {
			writes = append(writes, statestore.Write{Put: dependencies.Split.PartKey(id, next), Value: parts[next]})
			size += len(parts[next])
			next++
		}
		if _, err := s.store.Txn(ctx, statestore.ClassSubmit, nil, writes); err != nil {
			return fmt.Errorf("write dependency list parts of job %s: %w", id, err)
		}
	}
	return nil
}
