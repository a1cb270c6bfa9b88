package userapi

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// A job that depends on others is cancelled as soon as any of them is, directly or through
// others (docs/design.md, Safety 12). That is a function of records that never change back,
// so every node answers by it at once, whether or not the leader has written the job's own
// final record yet.

// firstUnknown names a job of the list that no user had accepted; empty if there is none.
// A job accepted once stays so, open or final, so that is answered by reads, not by
// conditions of the transaction that accepts the job. Most are known here; for the others
// transactions that demand that they do not exist name those that do.
func (s *Server) firstUnknown(ctx context.Context, ids []string) (string, error) {
	var unseen []string
	for _, id := range ids {
		if s.replica.revisionOf(id) == 0 && !s.finals.Contains(id) {
			unseen = append(unseen, id)
		}
	}
	// Each takes two conditions.
	for batch := range slices.Chunk(unseen, max(s.maxConditions/2, 1)) {
		unknown, err := s.firstUnknownOf(ctx, batch)
		if err != nil || unknown != "" {
			return unknown, err
		}
	}
	return "", nil
}

// firstUnknownOf is firstUnknown for as many jobs as one transaction has conditions for.
func (s *Server) firstUnknownOf(ctx context.Context, ids []string) (string, error) {
	conditions := make([]statestore.Condition, 0, 2*len(ids))
	for _, id := range ids {
		conditions = append(conditions, statestore.Condition{Key: jobs.OpenPrefix + id}, statestore.Condition{Key: jobs.FinalPrefix + id})
	}
	_, err := s.transact(ctx, statestore.ClassSubmit, conditions, nil)
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		return ids[0], nil // none of them exists
	case !errors.As(err, &conflict):
		return "", err
	}
	for _, id := range ids {
		if conflict.HasKey(jobs.OpenPrefix+id) || conflict.HasKey(jobs.FinalPrefix+id) {
			continue
		}
		// Its condition held if the conflict names all that failed. The protocol does not
		// promise that, so no user is told on the strength of it: the keys are read.
		accepted, err := s.accepted(ctx, id)
		if err != nil {
			return "", err
		}
		if !accepted {
			return id, nil
		}
	}
	return "", nil
}

// accepted reports whether a job has a record: open first, then final, so that one that
// moves from one to the other is never missed.
func (s *Server) accepted(ctx context.Context, id string) (bool, error) {
	_, open, err := s.store.Get(ctx, statestore.ClassSubmit, jobs.OpenPrefix+id)
	if err != nil || open {
		return open, err
	}
	_, final, err := s.lookUpFinal(ctx, id, statestore.ClassSubmit)
	return final, err
}

// anyCancelled reports whether any of these jobs is cancelled, itself or through its own
// dependencies, as the open jobs are known here. A job that is done depends on nothing that
// is cancelled, so the search goes back over open jobs alone. Chains may be long, so it goes
// by a stack of its own.
func (s *Server) anyCancelled(ctx context.Context, ids []string, class statestore.Class) (bool, error) {
	seen := make(map[string]bool)
	stack := slices.Clone(ids)
	for len(stack) > 0 {
		id := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if seen[id] {
			continue
		}
		seen[id] = true
		cancelled, upstream, err := s.cancelledOrUpstream(ctx, id, class)
		if err != nil || cancelled {
			return cancelled, err
		}
		stack = append(stack, upstream...)
	}
	return false, nil
}

// cancelledOrUpstream reports whether a job is final and cancelled, or names the jobs that it
// depends on if it is open.
func (s *Server) cancelledOrUpstream(ctx context.Context, id string, class statestore.Class) (cancelled bool, upstream []string, err error) {
	if final, ok := s.finals.Get(id); ok {
		return final.Status == jobs.StatusCancelled, nil, nil
	}
	if job := s.replica.job(id); job.revision != 0 {
		upstream, err = s.wholeDependencies(ctx, id, job.dependencies, class)
		return false, upstream, err
	}
	status, found, err := s.lookUpFinal(ctx, id, class)
	if err != nil {
		return false, nil, err
	}
	if !found {
		return false, nil, fmt.Errorf("%s is neither open nor final as known here", id)
	}
	return status.Status == jobs.StatusCancelled, nil, nil
}

// wholeDependencies returns all jobs that an open job depends on. A list that stands in
// several values is read once.
func (s *Server) wholeDependencies(ctx context.Context, id string, dependencies jobs.Dependencies, class statestore.Class) ([]string, error) {
	if dependencies.Split == nil {
		return dependencies.DependsOn, nil
	}
	whole, err := dependencies.Load(ctx, s.store, class, id)
	if err != nil {
		return nil, err
	}
	s.replica.setDependencies(id, jobs.Dependencies{DependsOn: whole})
	return whole, nil
}

// cancelledByDependency reports whether an open job, whose record was read, is cancelled
// through its dependencies. Proof (docs/design.md, Safety 12): the replica is brought up to a
// moment after the question. What is open in it was not cancelled then; what is not open in
// it has a final record, which never changes.
func (s *Server) cancelledByDependency(ctx context.Context, id string, record statestore.KeyValue, class statestore.Class) (bool, error) {
	dependencies := jobs.DecodeDependencies(record.Value)
	if dependencies.Empty() {
		return false, nil
	}
	if job := s.replica.job(id); job.revision == record.Revision && job.dependencies.Empty() {
		return false, nil // all of them are done
	}
	if err := s.syncReplica(ctx); err != nil {
		return false, err
	}
	return s.cancelledAsReplicated(ctx, id, dependencies, class)
}

// cancelledAsReplicated is cancelledByDependency for a replica that has been brought up to a
// moment after the question. Where all dependencies are done it notes that in the replica.
func (s *Server) cancelledAsReplicated(ctx context.Context, id string, dependencies jobs.Dependencies, class statestore.Class) (bool, error) {
	upstream, err := s.wholeDependencies(ctx, id, dependencies, class)
	if err != nil {
		return false, err
	}
	cancelled, err := s.anyCancelled(ctx, upstream, class)
	if err != nil {
		return false, err
	}
	if cancelled {
		s.rememberFinal(id, cancelledRecord)
		return true, nil
	}
	if s.allDone(upstream) {
		s.replica.setDependencies(id, jobs.Dependencies{})
	}
	return false, nil
}

// allDone reports whether all of these jobs are known to be done.
func (s *Server) allDone(ids []string) bool {
	for _, id := range ids {
		if final, ok := s.finals.Get(id); !ok || final.Status != jobs.StatusDone {
			return false
		}
	}
	return true
}

// hasOpenDependencies reports whether an open job, as known here, may yet be cancelled
// through a dependency, so that its own record proves nothing of its state.
func (s *Server) hasOpenDependencies(id string) bool {
	return !s.replica.job(id).dependencies.Empty()
}
