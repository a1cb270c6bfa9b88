package userapi

import (
	"context"
	"errors"
	"fmt"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// compareTxn is a transaction without writes that proves the answers to a number of status
// queries: it succeeds only if the records of their jobs are as this node knows them.
type compareTxn struct {
	queries []statusQuery
	// revisions holds the revisions of the open records as this node knows them, by job ID. 0
	// means that the job is expected to have no record.
	revisions  map[string]uint64
	conditions []statestore.Condition
}

// proveBatch answers the queries of a batch that compare-only transactions can prove. It
// returns the queries that need reads of their own, because their records differ from the
// revisions that this node knows or because their jobs have open dependencies.
func (s *Server) proveBatch(ctx context.Context, batch []statusQuery) (needReads []statusQuery) {
	for len(batch) > 0 {
		txn, dependent, rest := s.nextCompareTxn(batch)
		needReads = append(needReads, dependent...)
		batch = rest
		if len(txn.queries) == 0 {
			continue
		}
		conflicting, unproven := s.runCompareTxn(ctx, txn)
		needReads = append(needReads, conflicting...)
		batch = append(unproven, batch...)
	}
	return needReads
}

// nextCompareTxn builds a transaction for as many queries of a batch as its conditions allow.
// dependent holds the queries whose jobs may be cancelled through a dependency, so that their
// own records prove nothing; rest holds the queries that don't fit.
//
// The replica may learn of a job after the batch was collected, or after a conflict. Therefore
// nextCompareTxn reads a job's open dependencies together with the revision that it compares.
// When the two were read separately, a job could become known between the reads and was
// reported as pending after another node had reported it as cancelled.
func (s *Server) nextCompareTxn(batch []statusQuery) (txn compareTxn, dependent, rest []statusQuery) {
	txn.revisions = make(map[string]uint64, len(batch))
	for _, query := range batch {
		if _, isCompared := txn.revisions[query.id]; isCompared {
			txn.queries = append(txn.queries, query)
			continue
		}
		job := s.replica.job(query.id)
		if !job.dependencies.Empty() {
			dependent = append(dependent, query)
			continue
		}
		conditions := []statestore.Condition{{Key: jobs.OpenPrefix + query.id, Revision: job.revision}}
		if job.revision == 0 {
			// No open and no final record at the same moment proves that the job was never
			// accepted.
			conditions = append(conditions, statestore.Condition{Key: jobs.FinalPrefix + query.id})
		}
		if len(txn.conditions)+len(conditions) > max(s.maxConditions, len(conditions)) {
			rest = append(rest, query)
			continue
		}
		txn.revisions[query.id] = job.revision
		txn.conditions = append(txn.conditions, conditions...)
		txn.queries = append(txn.queries, query)
	}
	return txn, dependent, rest
}

// runCompareTxn runs a transaction and answers all its queries, unless it fails with a
// conflict. On a conflict it answers none and returns them as partitioned by
// partitionByConflict.
func (s *Server) runCompareTxn(ctx context.Context, txn compareTxn) (conflicting, unproven []statusQuery) {
	callCtx, cancel := context.WithTimeout(ctx, constants.StatusQueryTimeout)
	_, err := s.runTxn(callCtx, statestore.ClassStatusQuery, txn.conditions, nil)
	cancel()
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		s.answerProven(ctx, txn.queries, txn.revisions)
	case errors.As(err, &conflict):
		return txn.partitionByConflict(conflict)
	default:
		for _, query := range txn.queries {
			query.result <- statusResult{err: fmt.Errorf("status query: %w", err)}
		}
	}
	return nil, nil
}

// partitionByConflict separates the queries whose records conflicted from the unproven queries,
// which must be compared again, as only a transaction that succeeds proves anything.
// If the conflict names none of the records, any of them may have caused it, so all queries
// count as conflicting.
func (c compareTxn) partitionByConflict(conflict *statestore.ConflictError) (conflicting, unproven []statusQuery) {
	failed := make(map[string]bool, len(conflict.FailedKeys))
	for _, key := range conflict.FailedKeys {
		failed[key] = true
	}
	for _, query := range c.queries {
		if failed[jobs.OpenPrefix+query.id] || failed[jobs.FinalPrefix+query.id] {
			conflicting = append(conflicting, query)
		} else {
			unproven = append(unproven, query)
		}
	}
	if len(conflicting) == 0 {
		return c.queries, nil
	}
	return conflicting, unproven
}
