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
	"thornnotch/internal/wirejson"
)

// cancelledRecord is the final record of every cancelled job.
var cancelledRecord = jobs.FinalRecord{Status: jobs.StatusCancelled}

// encodeFinalRecord returns the stored value of a final record.
func encodeFinalRecord(final jobs.FinalRecord) json.RawMessage {
	value, _ := json.Marshal(final) // a string and integers always encode
	return value
}

// runTxn runs a transaction for a user's request. If the outcome is unknown, the transaction
// may have been executed or may still be, so it is resent unchanged: its conditions on the
// job's records let at most one copy take effect (docs/design.md, Safety 9). Without the
// resend the user would have to repeat the request, a second or more later.
func (s *Server) runTxn(ctx context.Context, class statestore.Class, conditions []statestore.Condition, writes []statestore.Write) (revision uint64, err error) {
	for range constants.MaxUserTxnAttempts {
		revision, err = s.store.Txn(ctx, class, conditions, writes)
		if !errors.Is(err, statestore.ErrOutcomeUnknown) || ctx.Err() != nil {
			break
		}
	}
	return revision, err
}

// lookUpStatus reads a job's status from the state service. It reads the open record before
// the final one, so that it can't miss a job that becomes final in between (docs/design.md,
// Safety 9). An open job with dependencies is reported as open only once it is known that none
// of them is cancelled (Safety 12).
func (s *Server) lookUpStatus(ctx context.Context, id string, class statestore.Class) (status JobStatus, found bool, err error) {
	if final, ok := s.finalRecords.Get(id); ok {
		return finalStatus(id, final), true, nil
	}
	knownRevision := s.replica.revisionOf(id)
	record, open, err := s.store.Get(ctx, class, jobs.OpenPrefix+id)
	if err != nil {
		return JobStatus{}, false, err
	}
	if !open {
		s.replica.removeUnlessNewer(id, knownRevision)
		return s.lookUpFinalStatus(ctx, id, class)
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

// lookUpFinalStatus reads the status of a job that is not open from its final record.
func (s *Server) lookUpFinalStatus(ctx context.Context, id string, class statestore.Class) (status JobStatus, found bool, err error) {
	record, found, err := s.store.Get(ctx, class, jobs.FinalPrefix+id)
	if err != nil || !found {
		return JobStatus{}, false, err
	}
	var final jobs.FinalRecord
	if err := wirejson.Decode(record.Value, &final); err != nil {
		return JobStatus{}, false, fmt.Errorf("decode record %s%s: %w", jobs.FinalPrefix, id, err)
	}
	s.cacheFinalRecord(id, final)
	return finalStatus(id, final), true, nil
}

// cacheFinalRecord caches a job's final record and logs a cancellation for attestation. It
// must be called before any response reports the final state. A leader that can't reach the
// state service relies on the cancellations that the nodes attest to, so a node must be able
// to attest to each cancellation before it tells a user of it (docs/design.md, "The gap").
func (s *Server) cacheFinalRecord(id string, final jobs.FinalRecord) {
	if final.Status == jobs.StatusCancelled {
		s.cancellationLog.Add(id, time.Now())
	}
	s.finalRecords.Add(id, final)
}
