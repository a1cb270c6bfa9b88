package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"thornnotch/internal/ledger"
	"thornnotch/internal/tuning"
)

// ask is a poll that waits for its answer.
type ask struct {
	id     string
	ctx    context.Context
	answer chan answer
}

type answer struct {
	st    State
	found bool
	err   error
}

var errBusy = errors.New("too many polls at once")

// ask settles one poll. Polls that come within a short window are settled
// together: one transaction without writes compares all their keys with what
// this node knows of them. If it holds, every answer was current after its
// poll had arrived; nothing but final states is answered without that.
func (s *Server) ask(ctx context.Context, id string) (State, bool, error) {
	if f, ok := s.finals.Get(id); ok {
		return finalState(id, f), true, nil
	}
	a := ask{id: id, ctx: ctx, answer: make(chan answer, 1)}
	select {
	case s.asks <- a:
	default:
		return State{}, false, errBusy
	}
	select {
	case r := <-a.answer:
		return r.st, r.found, r.err
	case <-ctx.Done():
		return State{}, false, ctx.Err()
	}
}

// Polls settles polls until ctx ends.
func (s *Server) Polls(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(1 + tuning.AskReads)
	group.Go(func() error {
		for {
			var first ask
			select {
			case <-ctx.Done():
				return ctx.Err()
			case first = <-s.asks:
			}
			start := time.Now()
			sleep(ctx, tuning.AskWindow)
			batch := []ask{first}
			for len(batch) < s.conds/2 && len(s.asks) > 0 {
				batch = append(batch, <-s.asks)
			}
			var waiting []ask
			batch = slices.DeleteFunc(batch, func(a ask) bool {
				if !s.stillWaits(a.id) {
					return false
				}
				waiting = append(waiting, a)
				return true
			})
			if len(waiting) > 0 {
				group.Go(func() error {
					s.settleWaiting(ctx, waiting)
					return nil
				})
			}
			s.log.Debug("polls", "n", len(batch), "wait_ms", time.Since(start).Milliseconds())
			for _, a := range s.prove(ctx, batch) {
				group.Go(func() error {
					st, found, err := s.look(a.ctx, a.id, ledger.Poll)
					a.answer <- answer{st, found, err}
					return nil
				})
			}
		}
	})
	return group.Wait()
}

// prove settles what it can of a batch and returns the polls that need reads
// of their own: those whose keys are not as this node knows them, and those of jobs
// that may be cancelled with one before them, for which their own record proves
// nothing. What is known of a job may have come since the batch was sorted, or since
// a clash, so that is asked together with the revision that is compared: a job that
// another node had called cancelled was called pending here, as it became known
// between the two.
func (s *Server) prove(ctx context.Context, batch []ask) (rest []ask) {
	for len(batch) > 0 {
		var when []ledger.Cond
		seen, waits := make(map[string]uint64, len(batch)), make(map[string]bool)
		for _, a := range batch {
			if _, ok := seen[a.id]; ok || waits[a.id] {
				continue
			}
			o := s.mirror.get(a.id)
			if !o.needs.None() {
				waits[a.id] = true
				continue
			}
			seen[a.id] = o.stamp
			when = append(when, ledger.Cond{K: OpenPrefix + a.id, Stamp: o.stamp})
			if o.stamp == 0 {
				// Neither open nor final at one moment: nobody's job.
				when = append(when, ledger.Cond{K: FinalPrefix + a.id})
			}
		}
		if len(waits) > 0 {
			batch = slices.DeleteFunc(slices.Clone(batch), func(a ask) bool {
				if waits[a.id] {
					rest = append(rest, a)
				}
				return waits[a.id]
			})
		}
		if len(batch) == 0 {
			return rest
		}
		callCtx, cancel := context.WithTimeout(ctx, tuning.PollPatience)
		_, err := s.multi(callCtx, ledger.Poll, when, nil)
		cancel()
		var conflict *ledger.Conflict
		switch {
		case err == nil:
			s.tell(ctx, batch, seen)
			return rest
		case !errors.As(err, &conflict):
			for _, a := range batch {
				a.answer <- answer{err: fmt.Errorf("poll: %w", err)}
			}
			return rest
		}
		// Whoever clashed is looked at singly; the others are asked again, as
		// only a transaction that holds proves anything.
		failed := make(map[string]bool, len(conflict.Failed))
		for _, k := range conflict.Failed {
			failed[k] = true
		}
		kept := batch[:0:0]
		for _, a := range batch {
			if failed[OpenPrefix+a.id] || failed[FinalPrefix+a.id] {
				rest = append(rest, a)
			} else {
				kept = append(kept, a)
			}
		}
		if len(kept) == len(batch) {
			return append(rest, batch...) // the clash names none of them
		}
		batch = kept
	}
	return rest
}

// tell answers polls whose keys were proven to be as known.
func (s *Server) tell(ctx context.Context, batch []ask, stamps map[string]uint64) {
	var ids []string
	for id, stamp := range stamps {
		if stamp != 0 {
			ids = append(ids, id)
		}
	}
	var tasks map[string]Tasks
	if s.progress != nil && len(ids) > 0 {
		ctx, cancel := context.WithTimeout(ctx, tuning.MeshTimeout)
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
