package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// cancelledRecord is the final record of a job that is cancelled.
var cancelledRecord = jobs.FinalRecord{Status: jobs.StatusCancelled}

// encodeFinal makes the value of a final record.
func encodeFinal(final jobs.FinalRecord) json.RawMessage {
	value, _ := json.Marshal(final) // its fields, a string and numbers, always encode
	return value
}

// transact runs a user's transaction. One without an answer may have been carried out, or
// may be yet, so it is sent again as it was: its conditions on the job's records let
// just one of them be carried out (docs/design.md, Safety 9). Without that its user would
// come back after a second or more.
func (s *Server) transact(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (revision uint64, err error) {
	for range constants.UserTxnAttempts {
		revision, err = s.store.Txn(ctx, class, conditions, writes)
		if !errors.Is(err, statestore.ErrOutcomeUnknown) || ctx.Err() != nil {
			break
		}
	}
	return revision, err
}

// lookUp reads a job's state: open first, then final, so that a job that moves from one to
// the other is never missed (docs/design.md, Safety 9). An open job that depends on others
// is told of only once it is known that none of them is cancelled (Safety 12).
func (s *Server) lookUp(ctx context.Context, id string, class statestore.Class) (status JobStatus, found bool, err error) {
	if final, ok := s.finals.Get(id); ok {
		return finalStatus(id, final), true, nil
	}
	knownRevision := s.replica.revisionOf(id)
	record, open, err := s.store.Get(ctx, class, jobs.OpenPrefix+id)
	if err != nil {
		return JobStatus{}, false, err
	}
	if !open {
		s.replica.removeUpTo(id, knownRevision)
		return s.lookUpFinal(ctx, id, class)
	}
	s.replica.add(id, record.Revision, jobs.DecodeDependencies(record.Value))
	cancelled, err := s.cancelledByDependency(ctx, id, record, class)
	if err != nil {
		return JobStatus{}, false, err
	}
	if cancelled {
		return cancelledStatus(id), true, nil
	}
	var counts map[string]TaskCounts
	if s.progress != nil {
		counts = s.progress(ctx, []string{id})
	}
	return openStatus(id, counts[id]), true, nil
}

// lookUpFinal reads the state of a job that is not open.
func (s *Server) lookUpFinal(ctx context.Context, id string, class statestore.Class) (status JobStatus, found bool, err error) {
	record, found, err := s.store.Get(ctx, class, jobs.FinalPrefix+id)
	if err != nil || !found {
		return JobStatus{}, false, err
	}
	var final jobs.FinalRecord
	if err := json.Unmarshal(record.Value, &final); err != nil {
		return JobStatus{}, false, fmt.Errorf("record %s%s: %w", jobs.FinalPrefix, id, err)
	}
	s.rememberFinal(id, final)
	return finalStatus(id, final), true, nil
}

// rememberFinal remembers a job's final state. It must come before any answer that tells a
// user of it: a leader that the state service does not answer goes by the cancellations that
// the nodes attest to, so a process must attest to each before it tells of it
// (docs/design.md, "The gap").
func (s *Server) rememberFinal(id string, final jobs.FinalRecord) {
	if final.Status == jobs.StatusCancelled {
		s.cancelled.Add(id, time.Now())
	}
	s.finals.Add(id, final)
}
