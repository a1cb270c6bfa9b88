package userapi

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// ask is a poll that waits for its answer.
type ask struct {
	id     string
	ctx    context.Context
	answer chan answer
}

type answer struct {
	st    JobStatus
	found bool
	err   error
}

var errBusy = errors.New("too many polls at once")

// ask settles one poll. Polls that come within a short window are settled
// together: one transaction without writes compares all their keys with what
// this node knows of them. If it holds, every answer was current after its
// poll had arrived; nothing but final states is answered without that.
func (s *Server) ask(ctx context.Context, id string) (JobStatus, bool, error) {
	if f, ok := s.finals.Get(id); ok {
		return finalState(id, f), true, nil
	}
	a := ask{id: id, ctx: ctx, answer: make(chan answer, 1)}
	select {
	case s.asks <- a:
	default:
		return JobStatus{}, false, errBusy
	}
	select {
	case r := <-a.answer:
		return r.st, r.found, r.err
	case <-ctx.Done():
		return JobStatus{}, false, ctx.Err()
	}
}

// Polls settles polls until ctx ends. Several batches are under way at a time: one
// transaction takes few conditions, and its answer may be long on its way or lost.
func (s *Server) ServeStatusQueries(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(1 + constants.PollBatches)
	// Reads have places of their own: batches wait for them, never the reverse.
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(constants.MaxPollReads)
	group.Go(func() error {
		for {
			batch, err := s.nextBatch(ctx)
			if err != nil {
				return err
			}
			group.Go(func() error {
				s.settleBatch(ctx, batch, reads)
				return nil
			})
		}
	})
	err := group.Wait()
	_ = reads.Wait() // reads report to their polls alone
	return err
}

// batchSize is how many polls one transaction can settle at the most: each takes a
// condition, or two if nothing is known of its job.
func (s *Server) batchSize() int { return max(s.conds, 1) }

// nextBatch gathers polls for a short window, or until a transaction is full.
func (s *Server) nextBatch(ctx context.Context) ([]ask, error) {
	var batch []ask
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case first := <-s.asks:
		batch = append(batch, first)
	}
	window := time.NewTimer(constants.PollBatchWindow)
	defer window.Stop()
	for len(batch) < s.batchSize() {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case next := <-s.asks:
			batch = append(batch, next)
		case <-window.C:
			return batch, nil
		}
	}
	return batch, nil
}

// settleBatch answers the polls of one batch. Those whose users have given up meanwhile
// cost no call.
func (s *Server) settleBatch(ctx context.Context, batch []ask, reads *errgroup.Group) {
	var waiting []ask
	batch = slices.DeleteFunc(batch, func(a ask) bool {
		if a.ctx.Err() != nil {
			return true
		}
		if !s.stillWaits(a.id) {
			return false
		}
		waiting = append(waiting, a)
		return true
	})
	var beside sync.WaitGroup
	defer beside.Wait()
	if len(waiting) > 0 {
		beside.Go(func() { s.settleWaiting(ctx, waiting) })
	}
	for _, a := range s.proveBatch(ctx, batch) {
		reads.Go(func() error {
			st, found, err := s.look(a.ctx, a.id, statestore.ClassPoll)
			a.answer <- answer{st, found, err}
			return nil
		})
	}
}

// comparison is a transaction without writes that proves the answers to some polls:
// that their jobs' keys are as this node knows them.
type comparison struct {
	polls  []ask
	stamps map[string]uint64 // by job, as known here; 0: nobody's job
	when   []statestore.Condition
}

// compare makes the next comparison of a batch. waiting are the polls whose jobs may
// be cancelled with one before them, for which their own record proves nothing; later
// those that one transaction has no room for. What is known of a job may have come
// since the batch was gathered, or since a clash, so whether it waits is asked together
// with the revision that is compared: a job that another node had called cancelled was
// called pending here, as it became known between the two.
func (s *Server) compare(batch []ask) (c comparison, waiting, later []ask) {
	c.stamps = make(map[string]uint64, len(batch))
	for _, a := range batch {
		if _, known := c.stamps[a.id]; known {
			c.polls = append(c.polls, a)
			continue
		}
		o := s.mirror.get(a.id)
		if !o.needs.Empty() {
			waiting = append(waiting, a)
			continue
		}
		conds := []statestore.Condition{{Key: jobs.OpenPrefix + a.id, Revision: o.stamp}}
		if o.stamp == 0 {
			// Neither open nor final at one moment: nobody's job.
			conds = append(conds, statestore.Condition{Key: jobs.FinalPrefix + a.id})
		}
		if len(c.when)+len(conds) > max(s.conds, len(conds)) {
			later = append(later, a)
			continue
		}
		c.stamps[a.id] = o.stamp
		c.when = append(c.when, conds...)
		c.polls = append(c.polls, a)
	}
	return c, waiting, later
}

// proveBatch settles what it can of a batch and returns the polls that need reads of their
// own: those whose keys are not as this node knows them, and those of jobs that wait
// for others.
func (s *Server) proveBatch(ctx context.Context, batch []ask) (rest []ask) {
	for len(batch) > 0 {
		c, waiting, later := s.compare(batch)
		rest = append(rest, waiting...)
		batch = later
		if len(c.polls) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, constants.PollTimeout)
		_, err := s.multi(callCtx, statestore.ClassPoll, c.when, nil)
		cancel()
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			s.tell(ctx, c.polls, c.stamps)
		case errors.As(err, &conflict):
			clashed, others := c.split(conflict)
			rest = append(rest, clashed...)
			batch = append(others, batch...)
		default:
			for _, a := range c.polls {
				a.answer <- answer{err: fmt.Errorf("poll: %w", err)}
			}
		}
	}
	return rest
}

// split parts the polls whose keys clashed from the others. These must be compared
// again, as only a transaction that holds proves anything. A clash that names none of
// them may be any one's.
func (c comparison) split(conflict *statestore.ConflictError) (clashed, others []ask) {
	failed := make(map[string]bool, len(conflict.FailedKeys))
	for _, key := range conflict.FailedKeys {
		failed[key] = true
	}
	for _, a := range c.polls {
		if failed[jobs.OpenPrefix+a.id] || failed[jobs.FinalPrefix+a.id] {
			clashed = append(clashed, a)
		} else {
			others = append(others, a)
		}
	}
	if len(clashed) == 0 {
		return c.polls, nil
	}
	return clashed, others
}

// tell answers polls whose keys were proven to be as known.
func (s *Server) tell(ctx context.Context, batch []ask, stamps map[string]uint64) {
	var ids []string
	for id, stamp := range stamps {
		if stamp != 0 {
			ids = append(ids, id)
		}
	}
	var tasks map[string]TaskCounts
	if s.progress != nil && len(ids) > 0 {
		ctx, cancel := context.WithTimeout(ctx, constants.MeshTimeout)
		tasks = s.progress(ctx, ids)
		cancel()
	}
	for _, a := range batch {
		if stamps[a.id] == 0 {
			a.answer <- answer{}
			continue
		}
		a.answer <- answer{st: openState(a.id, tasks[a.id]), found: true}
	}
}
