package userapi

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// A job is cancelled as soon as any job that it depends on, directly or indirectly, is
// cancelled (docs/design.md, Safety 12). This follows from final records, which never change,
// so every node reports it at once, even if the leader hasn't written the dependent job's own
// final record yet.

// findUnknownJob returns the first job of the list that was never accepted, or an empty string
// if all were. A job that was accepted once keeps an open or a final record, so reads are
// sufficient here and the transaction that creates the new job needs no conditions on them.
// Most jobs are in the replica or the cache. The remaining jobs are checked by transactions
// whose conditions require that the jobs have no records, so a conflict names those that have
// one.
func (s *Server) findUnknownJob(ctx context.Context, ids []string) (string, error) {
	var unconfirmed []string
	for _, id := range ids {
		if s.replica.revisionOf(id) == 0 && !s.finalRecords.Contains(id) {
			unconfirmed = append(unconfirmed, id)
		}
	}
	// Each job takes two conditions: one on its open record and one on its final record.
	for batch := range slices.Chunk(unconfirmed, max(s.maxConditions/2, 1)) {
		unknown, err := s.findUnknownJobInBatch(ctx, batch)
		if err != nil || unknown != "" {
			return unknown, err
		}
	}
	return "", nil
}

// findUnknownJobInBatch is findUnknownJob for a list whose conditions fit into one
// transaction.
func (s *Server) findUnknownJobInBatch(ctx context.Context, ids []string) (string, error) {
	conditions := make([]statestore.Condition, 0, 2*len(ids))
	for _, id := range ids {
		conditions = append(conditions, statestore.Condition{Key: jobs.OpenPrefix + id}, statestore.Condition{Key: jobs.FinalPrefix + id})
	}
	_, err := s.runTxn(ctx, statestore.ClassSubmit, conditions, nil)
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		return ids[0], nil // no condition failed: none of the jobs exists
	case !errors.As(err, &conflict):
		return "", err
	}
	for _, id := range ids {
		if conflict.HasKey(jobs.OpenPrefix+id) || conflict.HasKey(jobs.FinalPrefix+id) {
			continue
		}
		// The job's conditions held if the conflict lists all failed keys. The protocol doesn't
		// guarantee a complete list, so the records are read before the submission is
		// rejected.
		exists, err := s.exists(ctx, id)
		if err != nil {
			return "", err
		}
		if !exists {
			return id, nil
		}
	}
	return "", nil
}

// exists reports whether a job has a record. It reads the open record before the final
// one, so that it can't miss a job that becomes final in between.
func (s *Server) exists(ctx context.Context, id string) (bool, error) {
	_, open, err := s.store.Get(ctx, statestore.ClassSubmit, jobs.OpenPrefix+id)
	if err != nil || open {
		return open, err
	}
	_, final, err := s.lookUpFinalStatus(ctx, id, statestore.ClassSubmit)
	return final, err
}

// anyCancelled reports whether any of these jobs is cancelled, directly or through its own
// dependencies, according to the replica. All dependencies of a done job are done, so the
// search follows open jobs only. It uses an explicit stack because dependency chains may be
// long.
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

// cancelledOrUpstream reports whether a job is final and cancelled. For an open job it returns
// the jobs that it depends on.
func (s *Server) cancelledOrUpstream(ctx context.Context, id string, class statestore.Class) (cancelled bool, upstream []string, err error) {
	if final, ok := s.finalRecords.Get(id); ok {
		return final.Status == jobs.StatusCancelled, nil, nil
	}
	if job := s.replica.job(id); job.revision != 0 {
		upstream, err = s.loadDependencies(ctx, id, job.dependencies, class)
		return false, upstream, err
	}
	status, found, err := s.lookUpFinalStatus(ctx, id, class)
	if err != nil {
		return false, nil, err
	}
	if !found {
		return false, nil, fmt.Errorf("job %s has neither an open nor a final record", id)
	}
	return status.Status == jobs.StatusCancelled, nil, nil
}

// loadDependencies returns all jobs that an open job depends on. A split list is read from the
// state service once and then kept in the replica.
func (s *Server) loadDependencies(ctx context.Context, id string, dependencies jobs.Dependencies, class statestore.Class) ([]string, error) {
	if dependencies.Split == nil {
		return dependencies.DependsOn, nil
	}
	ids, err := dependencies.Load(ctx, s.store, class, id)
	if err != nil {
		return nil, err
	}
	s.replica.setDependencies(id, jobs.Dependencies{DependsOn: ids})
	return ids, nil
}

// cancelledByDependency reports whether an open job, given its record, is cancelled through
// its dependencies. Proof (docs/design.md, Safety 12): the replica is synced first, so it shows
// which jobs were open at some moment after the query arrived. A job that is open in the replica
// was not cancelled at that moment. A job that is not open in the replica has a final record,
// which never changes.
func (s *Server) cancelledByDependency(ctx context.Context, id string, record statestore.KeyValue, class statestore.Class) (bool, error) {
	dependencies := jobs.DecodeDependencies(record.Value)
	if dependencies.Empty() {
		return false, nil
	}
	if job := s.replica.job(id); job.revision == record.Revision && job.dependencies.Empty() {
		return false, nil // all dependencies are known to be done
	}
	if err := s.syncReplica(ctx); err != nil {
		return false, err
	}
	return s.cancelledByDependencyInReplica(ctx, id, dependencies, class)
}

// cancelledByDependencyInReplica is cancelledByDependency for a caller that has already synced
// the replica after the query arrived. If all dependencies are done, it clears them in the
// replica.
func (s *Server) cancelledByDependencyInReplica(ctx context.Context, id string, dependencies jobs.Dependencies, class statestore.Class) (bool, error) {
	upstream, err := s.loadDependencies(ctx, id, dependencies, class)
	if err != nil {
		return false, err
	}
	cancelled, err := s.anyCancelled(ctx, upstream, class)
	if err != nil {
		return false, err
	}
	if cancelled {
		s.cacheFinalRecord(id, cancelledRecord)
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
		if final, ok := s.finalRecords.Get(id); !ok || final.Status != jobs.StatusDone {
			return false
		}
	}
	return true
}

// hasOpenDependencies reports whether the replica holds dependencies of this open job that
// aren't known to be done. Such a job may be cancelled through them, so its own open record
// doesn't prove that it is still open.
func (s *Server) hasOpenDependencies(id string) bool {
	return !s.replica.job(id).dependencies.Empty()
}
