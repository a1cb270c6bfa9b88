package userapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// statusQuery is a user's status query that waits for its result.
type statusQuery struct {
	id string
	// ctx is the context of the HTTP request; it ends when the user gives up.
	ctx context.Context //nolint:containedctx // passes through a queue with its query
	// result is buffered, so that sending the one result never blocks.
	result chan statusResult
}

// statusResult is the result of a status query. found is false if the job was never accepted.
type statusResult struct {
	status JobStatus
	found  bool
	err    error
}

var errTooManyQueries = errors.New("too many pending status queries")

// handleStatusQuery serves GET /work/{id}: it reports a job's status.
func (s *Server) handleStatusQuery(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !jobs.ValidID(id) {
		respondError(w, jobNotFound())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.StatusQueryTimeout)
	defer cancel()
	status, found, err := s.queryStatus(ctx, id)
	switch {
	case err != nil:
		respondError(w, stateServiceUnavailable(err))
	case !found:
		respondError(w, jobNotFound())
	default:
		WriteJSON(w, http.StatusOK, status)
	}
}

// queryStatus answers one status query. Queries that arrive within a short window are batched:
// one transaction without writes compares all their records with what this node knows. If it
// succeeds, every answer was current at a moment after its query arrived. Only final states
// are reported without such a proof (docs/design.md, Safety 9).
func (s *Server) queryStatus(ctx context.Context, id string) (status JobStatus, found bool, err error) {
	if final, ok := s.finalRecords.Get(id); ok {
		return finalStatus(id, final), true, nil
	}
	query := statusQuery{id: id, ctx: ctx, result: make(chan statusResult, 1)}
	select {
	case s.queries <- query:
	default:
		return JobStatus{}, false, errTooManyQueries
	}
	select {
	case result := <-query.result:
		return result.status, result.found, result.err
	case <-ctx.Done():
		return JobStatus{}, false, ctx.Err()
	}
}

// ServeStatusQueries answers status queries until ctx ends, and returns the error of ctx. It
// processes several batches concurrently, because a transaction has room for few conditions and
// its response may be slow or lost.
func (s *Server) ServeStatusQueries(ctx context.Context) error {
	batches, ctx := errgroup.WithContext(ctx)
	batches.SetLimit(1 + constants.MaxStatusQueryBatches)
	// Reads have their own limit: batches wait for reads, but reads never wait for batches, so
	// they can't deadlock.
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(constants.MaxStatusQueryReads)
	batches.Go(func() error {
		for {
			batch, err := s.nextBatch(ctx)
			if err != nil {
				return err
			}
			batches.Go(func() error {
				s.answerBatch(ctx, batch, reads)
				return nil
			})
		}
	})
	err := batches.Wait()
	_ = reads.Wait() // reads send their errors to their queries
	return err
}

// maxBatchSize returns the maximum number of queries that one transaction can prove. Each query
// takes one condition, or two if its job is not known to be open.
func (s *Server) maxBatchSize() int { return max(s.maxConditions, 1) }

// nextBatch collects queries for a short window, or until one transaction is full.
func (s *Server) nextBatch(ctx context.Context) ([]statusQuery, error) {
	var batch []statusQuery
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case first := <-s.queries:
		batch = append(batch, first)
	}
	window := time.NewTimer(constants.StatusQueryBatchWindow)
	defer window.Stop()
	for len(batch) < s.maxBatchSize() {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case next := <-s.queries:
			batch = append(batch, next)
		case <-window.C:
			return batch, nil
		}
	}
	return batch, nil
}

// answerBatch answers the queries of a batch. It drops the queries whose users have given up, so
// that no calls are made for them.
func (s *Server) answerBatch(ctx context.Context, batch []statusQuery, reads *errgroup.Group) {
	var provable, dependent []statusQuery
	for _, query := range batch {
		switch {
		case query.ctx.Err() != nil:
		case s.hasOpenDependencies(query.id):
			dependent = append(dependent, query)
		default:
			provable = append(provable, query)
		}
	}
	var dependentsAnswered sync.WaitGroup
	defer dependentsAnswered.Wait()
	if len(dependent) > 0 {
		dependentsAnswered.Go(func() { s.answerDependents(ctx, dependent) })
	}
	for _, query := range s.proveBatch(ctx, provable) {
		reads.Go(func() error {
			status, found, err := s.lookUpStatus(query.ctx, query.id, statestore.ClassStatusQuery)
			query.result <- statusResult{status, found, err}
			return nil
		})
	}
}

// answerDependents answers the queries for jobs with open dependencies by one watch for all of
// them. The synced replica shows which jobs were open at a moment after the queries arrived. A
// dependency that is not open in it has a final record, which never changes (docs/design.md,
// Safety 12).
func (s *Server) answerDependents(ctx context.Context, batch []statusQuery) {
	ctx, cancel := context.WithTimeout(ctx, constants.StatusQueryTimeout)
	defer cancel()
	if err := s.syncReplica(ctx); err != nil {
		for _, query := range batch {
			query.result <- statusResult{err: fmt.Errorf("status query: %w", err)}
		}
		return
	}
	revisions := make(map[string]uint64)
	var open []statusQuery
	for _, query := range batch {
		job := s.replica.job(query.id)
		if job.revision == 0 {
			status, found, err := s.lookUpFinalStatus(ctx, query.id, statestore.ClassStatusQuery)
			query.result <- statusResult{status, found, err}
			continue
		}
		cancelled, err := s.cancelledByDependencyInReplica(ctx, query.id, job.dependencies, statestore.ClassStatusQuery)
		switch {
		case err != nil:
			query.result <- statusResult{err: err}
		case cancelled:
			query.result <- statusResult{status: cancelledStatus(query.id), found: true}
		default:
			revisions[query.id] = job.revision
			open = append(open, query)
		}
	}
	s.answerProven(ctx, open, revisions)
}

// answerProven answers queries whose jobs are proven to be open at these revisions, or never
// to have been accepted if the revision is 0.
func (s *Server) answerProven(ctx context.Context, queries []statusQuery, revisions map[string]uint64) {
	counts := s.countTasks(ctx, revisions)
	for _, query := range queries {
		if revisions[query.id] == 0 {
			query.result <- statusResult{}
			continue
		}
		query.result <- statusResult{status: openStatus(query.id, counts[query.id]), found: true}
	}
}

// countTasks asks the leader for the task counts of the open jobs, whose revision is not 0. It
// returns nil if there are none or if Options.Progress is nil.
func (s *Server) countTasks(ctx context.Context, revisions map[string]uint64) map[string]TaskCounts {
	var open []string
	for id, revision := range revisions {
		if revision != 0 {
			open = append(open, id)
		}
	}
	if s.progress == nil || len(open) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, constants.PeerTimeout)
	defer cancel()
	return s.progress(ctx, open)
}
