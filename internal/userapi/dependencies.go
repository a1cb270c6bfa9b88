package userapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// A job that waits for others is cancelled as soon as any job before it is, directly
// or through others. That is a function of records that never change back, so every
// node answers by it at once, whether or not the leader has written the job's own
// final record yet.

// upload draws a name for the values of one submission's list.
func (s *Server) upload() string { return strconv.FormatUint(rand.Uint64(), 36) }

// putParts writes the values of a long list, ahead of the record that names them.
// What is left of a submission that comes no further is never looked at.
func (s *Server) putParts(ctx context.Context, id string, n jobs.Dependencies, parts []json.RawMessage) error {
	for at := 0; at < len(parts); {
		var writes []statestore.Write
		size := 0
		for len(writes) < s.ops && at < len(parts) && (size == 0 || size+len(parts[at]) <= constants.TxnBytes) {
			writes = append(writes, statestore.Write{Put: n.Split.PartKey(id, at), Value: parts[at]})
			size += len(parts[at])
			at++
		}
		if _, err := s.store.Txn(ctx, statestore.ClassSubmit, nil, writes); err != nil {
			return err
		}
	}
	return nil
}

// unknown names a job of a list that no user had accepted; empty if there is none.
// A job accepted once stays so: it is open or final. Most are known here; of the
// others one transaction that demands that they do not exist names those that do.
func (s *Server) unknown(ctx context.Context, ids []string) (string, error) {
	var ask []string
	for _, id := range ids {
		if s.mirror.known(id) == 0 && !s.finals.Contains(id) {
			ask = append(ask, id)
		}
	}
	for len(ask) > 0 {
		batch := ask[:min(len(ask), max(s.conds/2, 1))]
		ask = ask[len(batch):]
		var when []statestore.Condition
		for _, id := range batch {
			when = append(when, statestore.Condition{Key: jobs.OpenPrefix + id}, statestore.Condition{Key: jobs.FinalPrefix + id})
		}
		_, err := s.multi(ctx, statestore.ClassSubmit, when, nil)
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			return batch[0], nil // none of them exists
		case !errors.As(err, &conflict):
			return "", err
		}
		for _, id := range batch {
			if conflict.HasKey(jobs.OpenPrefix+id) || conflict.HasKey(jobs.FinalPrefix+id) {
				continue
			}
			_, found, err := s.store.Get(ctx, statestore.ClassSubmit, jobs.OpenPrefix+id)
			if err == nil && !found {
				_, found, err = s.lookFinal(ctx, id, statestore.ClassSubmit)
			}
			if err != nil {
				return "", err
			}
			if !found {
				return id, nil
			}
		}
	}
	return "", nil
}

// before tells whether a job that waits for these is cancelled with one of them, as
// the open jobs are known here. A job that is done has nothing cancelled before it.
func (s *Server) before(ctx context.Context, ids []string, class statestore.Class) (cancelled bool, err error) {
	seen := make(map[string]bool)
	queue := append([]string(nil), ids...)
	for len(queue) > 0 {
		id := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if seen[id] {
			continue
		}
		seen[id] = true
		if f, ok := s.finals.Get(id); ok {
			if f.Status == jobs.StatusCancelled {
				return true, nil
			}
			continue
		}
		o := s.mirror.get(id)
		if o.stamp == 0 {
			st, found, err := s.lookFinal(ctx, id, class)
			if err != nil {
				return false, err
			}
			if !found {
				return false, fmt.Errorf("%s is neither open nor final as known here", id)
			}
			if st.Status == jobs.StatusCancelled {
				return true, nil
			}
			continue
		}
		list, err := s.whole(ctx, id, o.needs, class)
		if err != nil {
			return false, err
		}
		queue = append(queue, list...)
	}
	return false, nil
}

// whole reads the rest of a list that stands in several values, once.
func (s *Server) whole(ctx context.Context, id string, n jobs.Dependencies, class statestore.Class) ([]string, error) {
	if n.Split == nil {
		return n.DependsOn, nil
	}
	list, err := n.Load(ctx, s.store, class, id)
	if err == nil {
		s.mirror.whole(id, list)
	}
	return list, err
}

// waits tells whether an open job is cancelled with one before it. The mirror is
// brought up to a moment after the question: what is open in it then was not
// cancelled, and what is not open has a final record, which never changes.
func (s *Server) waits(ctx context.Context, id string, row statestore.KeyValue, class statestore.Class) (cancelled bool, err error) {
	needs := jobs.DecodeDependencies(row.Value)
	if needs.Empty() {
		return false, nil
	}
	if o := s.mirror.get(id); o.stamp == row.Revision && o.needs.Empty() {
		return false, nil // all that it waited for is done
	}
	if err := s.sync(ctx); err != nil {
		return false, err
	}
	return s.cancelledBefore(ctx, id, needs, class)
}

// cancelledBefore tells the same for a mirror that has been brought up to a moment
// after the question, and notes a job that nothing is before any more.
func (s *Server) cancelledBefore(ctx context.Context, id string, needs jobs.Dependencies, class statestore.Class) (cancelled bool, err error) {
	list, err := s.whole(ctx, id, needs, class)
	if err != nil {
		return false, err
	}
	cancelled, err = s.before(ctx, list, class)
	switch {
	case err != nil:
		return false, err
	case cancelled:
		s.settle(id, jobs.FinalRecord{Status: jobs.StatusCancelled})
		return true, nil
	}
	for _, n := range list {
		if f, ok := s.finals.Get(n); !ok || f.Status != jobs.StatusDone {
			return false, nil
		}
	}
	s.mirror.free(id)
	return false, nil
}

// settleWaiting settles polls for jobs that wait for others, by one question for all:
// each of the open jobs was so at a moment after the polls had come.
func (s *Server) settleWaiting(ctx context.Context, batch []ask) {
	ctx, cancel := context.WithTimeout(ctx, constants.PollTimeout)
	defer cancel()
	err := s.sync(ctx)
	open := make(map[string]uint64)
	var tell []ask
	for _, a := range batch {
		if err != nil {
			a.answer <- answer{err: fmt.Errorf("poll: %w", err)}
			continue
		}
		o := s.mirror.get(a.id)
		if o.stamp == 0 {
			st, found, err := s.lookFinal(ctx, a.id, statestore.ClassPoll)
			a.answer <- answer{st, found, err}
			continue
		}
		cancelled, err := s.cancelledBefore(ctx, a.id, o.needs, statestore.ClassPoll)
		switch {
		case err != nil:
			a.answer <- answer{err: err}
		case cancelled:
			a.answer <- answer{finalState(a.id, jobs.FinalRecord{Status: jobs.StatusCancelled}), true, nil}
		default:
			open[a.id] = o.stamp
			tell = append(tell, a)
		}
	}
	s.tell(ctx, tell, open)
}

// stillWaits tells whether an open job, as known here, may yet be cancelled with one
// before it, so that its own record proves nothing of its state.
func (s *Server) stillWaits(id string) bool { return !s.mirror.get(id).needs.Empty() }

// malformed answers a submission that can't be read.
func malformed(w http.ResponseWriter, err error) {
	var fe *jobs.FieldError
	if errors.As(err, &fe) {
		WriteJSON(w, http.StatusBadRequest, problem{fe.Problem, fe.Field})
		return
	}
	WriteJSON(w, http.StatusBadRequest, problem{Error: err.Error()})
}
