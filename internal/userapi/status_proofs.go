package userapi

import (
	"context"
	"errors"
	"fmt"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// comparison is a transaction without writes that proves the answers to some queries: that
// their jobs' keys are as this node knows them.
type comparison struct {
	queries []statusQuery
	// revisions are those of the open records, by job ID, as known here; 0: nobody's job.
	revisions  map[string]uint64
	conditions []statestore.Condition
}

// proveBatch answers what it can of a batch and returns the queries that need reads of their
// own: those whose keys are not as this node knows them, and those of jobs that depend on
// others.
func (s *Server) proveBatch(ctx context.Context, batch []statusQuery) (needReads []statusQuery) {
	for len(batch) > 0 {
		next, dependent, rest := s.nextComparison(batch)
		needReads = append(needReads, dependent...)
		batch = rest
		if len(next.queries) == 0 {
			continue
		}
		conflicting, unproven := s.compareAndAnswer(ctx, next)
		needReads = append(needReads, conflicting...)
		batch = append(unproven, batch...)
	}
	return needReads
}

// nextComparison makes the next comparison of a batch. dependent are the queries whose jobs
// may be cancelled through a dependency, for which their own record proves nothing; rest are
// those that the transaction has no room for. What is known of a job may have come since the
// batch was gathered, or since a conflict, so whether it has open dependencies is read together
// with the revision that is compared: a job that another node had called cancelled was called
// pending here, as it became known between the two.
func (s *Server) nextComparison(batch []statusQuery) (next comparison, dependent, rest []statusQuery) {
	next.revisions = make(map[string]uint64, len(batch))
	for _, query := range batch {
		if _, isCompared := next.revisions[query.id]; isCompared {
			next.queries = append(next.queries, query)
			continue
		}
		job := s.replica.job(query.id)
		if !job.dependencies.Empty() {
			dependent = append(dependent, query)
			continue
		}
		conditions := []statestore.Condition{{Key: jobs.OpenPrefix + query.id, Revision: job.revision}}
		if job.revision == 0 {
			// Neither open nor final at one moment: nobody's job.
			conditions = append(conditions, statestore.Condition{Key: jobs.FinalPrefix + query.id})
		}
		if len(next.conditions)+len(conditions) > max(s.maxConditions, len(conditions)) {
			rest = append(rest, query)
			continue
		}
		next.revisions[query.id] = job.revision
		next.conditions = append(next.conditions, conditions...)
		next.queries = append(next.queries, query)
	}
	return next, dependent, rest
}

// compareAndAnswer runs a comparison. If it holds, or fails for another reason than a
// conflict, all its queries are answered; otherwise none is, and conflicting and unproven are
// what split makes of them.
func (s *Server) compareAndAnswer(ctx context.Context, next comparison) (conflicting, unproven []statusQuery) {
	callCtx, cancel := context.WithTimeout(ctx, constants.PollTimeout)
	_, err := s.transact(callCtx, statestore.ClassPoll, next.conditions, nil)
	cancel()
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		s.answerProven(ctx, next.queries, next.revisions)
	case errors.As(err, &conflict):
		return next.split(conflict)
	default:
		for _, query := range next.queries {
			query.answer <- statusAnswer{err: fmt.Errorf("poll: %w", err)}
		}
	}
	return nil, nil
}

// split parts the queries whose keys conflicted from the others. These must be compared
// again, as only a transaction that holds proves anything. A conflict that names none of
// them may be any one's.
func (c comparison) split(conflict *statestore.ConflictError) (conflicting, unproven []statusQuery) {
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
