package userapi

import (
	"context"
	"errors"
	"net/http"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// handleCancel cancels a job, or finds that it is over: POST /work/{id}/cancel.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !jobs.ValidID(id) {
		respondError(w, noSuchJob())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.UserRequestTimeout)
	defer cancel()
	finalState, err := s.cancel(ctx, id)
	if err != nil {
		respondError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, JobStatus{ID: id, Status: finalState})
}

// cancel returns the final status of a job: cancelled, unless it was done before.
func (s *Server) cancel(ctx context.Context, id string) (status string, err error) {
	if final, ok := s.finals.Get(id); ok {
		return final.Status, nil
	}
	for range constants.CancelAttempts {
		status, err = s.tryCancel(ctx, id)
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// Done or cancelled meanwhile: look again.
	}
	var answered *requestError
	if err != nil && !errors.As(err, &answered) {
		return "", unavailable("the cancellation can't be recorded now", err)
	}
	return status, err
}

// tryCancel moves an open job to final in one transaction, on the revision of its open
// record: that the job is done is written on the same revision, so just one of both can
// come to be. A ConflictError says that the record has gone meanwhile.
func (s *Server) tryCancel(ctx context.Context, id string) (status string, err error) {
	record, open, err := s.store.Get(ctx, statestore.ClassCancel, jobs.OpenPrefix+id)
	if err != nil {
		return "", err
	}
	if !open {
		final, found, err := s.lookUpFinal(ctx, id, statestore.ClassCancel)
		if err != nil {
			return "", err
		}
		if !found {
			return "", noSuchJob()
		}
		return final.Status, nil
	}
	_, err = s.transact(ctx, statestore.ClassCancel,
		[]statestore.Condition{{Key: jobs.OpenPrefix + id, Revision: record.Revision}},
		[]statestore.Write{{Delete: jobs.OpenPrefix + id}, {Put: jobs.FinalPrefix + id, Value: encodeFinal(cancelledRecord)}})
	if err != nil {
		return "", err
	}
	s.rememberFinal(id, cancelledRecord)
	s.replica.remove(id)
	return jobs.StatusCancelled, nil
}
