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

// statusQuery is a user's question for a job's status that waits for its answer.
type statusQuery struct {
	id string
	// ctx is the request's own; it ends when the user has given up.
	ctx context.Context //nolint:containedctx // it crosses a queue with the query
	// answer takes one answer without blocking.
	answer chan statusAnswer
}

// statusAnswer is the answer to a status query; found is false if no user ever had a job of
// that ID accepted.
type statusAnswer struct {
	status JobStatus
	found  bool
	err    error
}

var errTooManyQueries = errors.New("too many polls at once")

// handleStatusQuery tells a job's status: GET /work/{id}.
func (s *Server) handleStatusQuery(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !jobs.ValidID(id) {
		respondError(w, noSuchJob())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), constants.PollTimeout)
	defer cancel()
	status, found, err := s.queryStatus(ctx, id)
	switch {
	case err != nil:
		respondError(w, stateServiceUnavailable(err))
	case !found:
		respondError(w, noSuchJob())
	default:
		WriteJSON(w, http.StatusOK, status)
	}
}

// queryStatus answers one status query. Queries that come within a short window are answered
// together: one transaction without writes compares all their keys with what this node knows
// of them. If it holds, every answer was current after its query had arrived; nothing but
// final states is answered without that (docs/design.md, Safety 9).
func (s *Server) queryStatus(ctx context.Context, id string) (status JobStatus, found bool, err error) {
	if final, ok := s.finals.Get(id); ok {
		return finalStatus(id, final), true, nil
	}
	query := statusQuery{id: id, ctx: ctx, answer: make(chan statusAnswer, 1)}
	select {
	case s.queries <- query:
	default:
		return JobStatus{}, false, errTooManyQueries
	}
	select {
	case answer := <-query.answer:
		return answer.status, answer.found, answer.err
	case <-ctx.Done():
		return JobStatus{}, false, ctx.Err()
	}
}

// ServeStatusQueries answers status queries until ctx ends. Several batches are under way at
// a time: one transaction takes few conditions, and its answer may be long on its way or lost.
func (s *Server) ServeStatusQueries(ctx context.Context) error {
	batches, ctx := errgroup.WithContext(ctx)
	batches.SetLimit(1 + constants.PollBatches)
	// Reads have places of their own: batches wait for them, never the reverse.
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(constants.MaxPollReads)
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
	_ = reads.Wait() // reads report to their queries alone
	return err
}

// maxBatch is how many queries one transaction can prove at the most: each takes a
// condition, or two if nothing is known of its job.
func (s *Server) maxBatch() int { return max(s.maxConditions, 1) }

// nextBatch gathers queries for a short window, or until a transaction is full.
func (s *Server) nextBatch(ctx context.Context) ([]statusQuery, error) {
	var batch []statusQuery
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case first := <-s.queries:
		batch = append(batch, first)
	}
	window := time.NewTimer(constants.PollBatchWindow)
	defer window.Stop()
	for len(batch) < s.maxBatch() {
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

// answerBatch answers the queries of one batch. Those whose users have given up meanwhile
// cost no call.
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
			status, found, err := s.lookUp(query.ctx, query.id, statestore.ClassPoll)
			query.answer <- statusAnswer{status, found, err}
			return nil
		})
	}
}

// answerDependents answers queries for jobs that depend on others, by one watch for all:
// each of the open jobs was open at a moment after the queries had come, and whether one that
// it depends on is cancelled was so then too (docs/design.md, Safety 12).
func (s *Server) answerDependents(ctx context.Context, batch []statusQuery) {
	ctx, cancel := context.WithTimeout(ctx, constants.PollTimeout)
	defer cancel()
	if err := s.syncReplica(ctx); err != nil {
		for _, query := range batch {
			query.answer <- statusAnswer{err: fmt.Errorf("poll: %w", err)}
		}
		return
	}
	revisions := make(map[string]uint64)
	var open []statusQuery
	for _, query := range batch {
		job := s.replica.job(query.id)
		if job.revision == 0 {
			status, found, err := s.lookUpFinal(ctx, query.id, statestore.ClassPoll)
			query.answer <- statusAnswer{status, found, err}
			continue
		}
		cancelled, err := s.cancelledAsReplicated(ctx, query.id, job.dependencies, statestore.ClassPoll)
		switch {
		case err != nil:
			query.answer <- statusAnswer{err: err}
		case cancelled:
			query.answer <- statusAnswer{status: cancelledStatus(query.id), found: true}
		default:
			revisions[query.id] = job.revision
			open = append(open, query)
		}
	}
	s.answerProven(ctx, open, revisions)
}

// answerProven answers queries whose jobs were proven to be open under these revisions, or
// nobody's where the revision is 0.
func (s *Server) answerProven(ctx context.Context, queries []statusQuery, revisions map[string]uint64) {
	counts := s.countTasks(ctx, revisions)
	for _, query := range queries {
		if revisions[query.id] == 0 {
			query.answer <- statusAnswer{}
			continue
		}
		query.answer <- statusAnswer{status: openStatus(query.id, counts[query.id]), found: true}
	}
}

// countTasks asks the leader how far the open ones of these jobs are.
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
	ctx, cancel := context.WithTimeout(ctx, constants.MeshTimeout)
	defer cancel()
	return s.progress(ctx, open)
}
