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

// handleSubmit accepts a job: POST /work.
func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	body, ok := ReadBody(w, r)
	if !ok {
		return
	}
	if !s.takeSubmissionSlot() {
		respondError(w, unavailable("too many submissions at once", nil))
		return
	}
	defer s.freeSubmissionSlot()
	spec, err := jobs.DecodeSpec(body)
	if err != nil {
		s.log.Debug("malformed submission", "error", err)
		respondError(w, malformed(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.UserRequestTimeout)
	defer cancel()
	status, isNew, err := s.submit(ctx, spec)
	switch {
	case err != nil:
		respondError(w, err)
	case isNew:
		WriteJSON(w, http.StatusCreated, status)
	default:
		WriteJSON(w, http.StatusOK, status)
	}
}

// takeSubmissionSlot reports false if as many submissions are under way as can be recorded
// in the time that a user waits: further ones are told so at once. Status queries and
// cancellations have their own way.
func (s *Server) takeSubmissionSlot() bool {
	select {
	case s.submissionSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) freeSubmissionSlot() { <-s.submissionSlots }

// submit has a job accepted, or finds that it is accepted already: submissions are
// idempotent, and a repeated one is answered with the job's present state (isNew is false).
func (s *Server) submit(ctx context.Context, spec *jobs.Spec) (status JobStatus, isNew bool, err error) {
	types := s.machineTypes()
	if len(types) == 0 {
		return JobStatus{}, false, unavailable("the machine types are not known yet", nil)
	}
	if err := jobs.CheckRunnable(spec, s.teams, types); err != nil {
		return s.repeatedOrRefused(ctx, spec.ID, neverRuns(errorBody{Error: err.Error()}, err))
	}
	if len(spec.DependsOn) == 0 {
		return s.record(ctx, spec, false)
	}
	unknown, err := s.firstUnknown(ctx, spec.DependsOn)
	if err != nil {
		return JobStatus{}, false, stateServiceUnavailable(err)
	}
	if unknown != "" {
		refusal := errorBody{fmt.Sprintf("%s was never accepted", unknown), jobs.FieldDependsOn}
		return s.repeatedOrRefused(ctx, spec.ID, neverRuns(refusal, nil))
	}
	// Best effort, so an error is no reason to refuse: a job that depends on one that is
	// cancelled, now or later, is cancelled in any case.
	cancelled, _ := s.anyCancelled(ctx, spec.DependsOn, statestore.ClassSubmit)
	return s.record(ctx, spec, cancelled)
}

// repeatedOrRefused answers a submission that would be refused if it were new. A job that is
// accepted stays accepted, whatever the machine types have become or a repeated submission
// names, so it is looked for before a user is told that it can never run.
func (s *Server) repeatedOrRefused(ctx context.Context, id string, refusal *requestError) (status JobStatus, isNew bool, err error) {
	status, found, err := s.lookUp(ctx, id, statestore.ClassSubmit)
	if err != nil {
		return JobStatus{}, false, stateServiceUnavailable(err)
	}
	if !found {
		return JobStatus{}, false, refusal
	}
	return status, false, nil
}

// record writes the record of a job, open or cancelled already, on the condition that the
// job has none: of several submissions of one job just one is carried out, by whichever
// nodes and however late.
func (s *Server) record(ctx context.Context, spec *jobs.Spec, cancelled bool) (status JobStatus, isNew bool, err error) {
	value, parts, err := jobs.EncodeRecord(*spec, time.Now().UnixMilli(), s.maxValueBytes, newUploadName())
	if err != nil {
		return JobStatus{}, false, malformed(err)
	}
	dependencies := jobs.DecodeDependencies(value)
	write := statestore.Write{Put: jobs.OpenPrefix + spec.ID, Value: value}
	if cancelled {
		write, parts = statestore.Write{Put: jobs.FinalPrefix + spec.ID, Value: encodeFinal(cancelledRecord)}, nil
	}
	if err := s.writeParts(ctx, spec.ID, dependencies, parts); err != nil {
		return JobStatus{}, false, unavailable("the job can't be recorded now", err)
	}
	isUnknown := []statestore.Condition{{Key: jobs.OpenPrefix + spec.ID}, {Key: jobs.FinalPrefix + spec.ID}}
	revision, err := s.transact(ctx, statestore.ClassSubmit, isUnknown, []statestore.Write{write})
	var conflict *statestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		return s.repeated(ctx, spec.ID)
	case err != nil:
		s.log.Debug("submission not recorded", "job", spec.ID, "error", err)
		return JobStatus{}, false, unavailable("the job can't be recorded now", err)
	case cancelled:
		s.rememberFinal(spec.ID, cancelledRecord)
		return JobStatus{ID: spec.ID, Status: jobs.StatusCancelled}, true, nil
	}
	s.replica.add(spec.ID, revision, dependencies)
	return JobStatus{ID: spec.ID, Status: jobs.StatusPending}, true, nil
}

// repeated answers the submission of a job that has a record.
func (s *Server) repeated(ctx context.Context, id string) (status JobStatus, isNew bool, err error) {
	status, found, err := s.lookUp(ctx, id, statestore.ClassSubmit)
	if err != nil || !found {
		return JobStatus{}, false, stateServiceUnavailable(err)
	}
	return status, false, nil
}

// newUploadName draws a name for the parts of one submission's list of dependencies.
func newUploadName() string { return strconv.FormatUint(rand.Uint64(), 36) }

// writeParts writes the parts of a long list of dependencies, as many with a transaction as
// it holds, ahead of the record that names them. The parts of a submission that comes no
// further are never looked at.
func (s *Server) writeParts(ctx context.Context, id string, dependencies jobs.Dependencies, parts []json.RawMessage) error {
	for next := 0; next < len(parts); {
		var writes []statestore.Write
		size := 0
		for len(writes) < s.maxWrites && next < len(parts) && (size == 0 || size+len(parts[next]) <= constants.TxnBytes) {
			writes = append(writes, statestore.Write{Put: dependencies.Split.PartKey(id, next), Value: parts[next]})
			size += len(parts[next])
			next++
		}
		if _, err := s.store.Txn(ctx, statestore.ClassSubmit, nil, writes); err != nil {
			return fmt.Errorf("parts of the dependencies of %s: %w", id, err)
		}
	}
	return nil
}
