package userapi

import (
	"context"
	"errors"
	"strings"
	"sync"

	"thornnotch/internal/backoff"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// openJobsReplica is a read replica of the open jobs' records. It holds their revisions and
// dependencies, which never change while a job is open. The replica may lag behind the state
// service, so no response relies on it without a proof that it is current.
type openJobsReplica struct {
	mu sync.Mutex // guards the fields below
	// jobs holds the open jobs by job ID.
	jobs map[string]openJob
	// appliedRevision is the store revision up to which all changes are applied. 0 means that
	// the replica must be reloaded; until then its content is only a hint.
	appliedRevision uint64
}

// openJob is one open job in the replica. The zero value stands for a job that is not known to
// be open.
type openJob struct {
	// revision is the revision of the job's open record.
	revision uint64
	// dependencies is empty once all dependencies are known to be done.
	dependencies jobs.Dependencies
}

func newOpenJobsReplica() *openJobsReplica {
	return &openJobsReplica{jobs: make(map[string]openJob)}
}

// job returns a job from the replica, or the zero openJob if the replica does not hold it.
func (r *openJobsReplica) job(id string) openJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// revisionOf returns the revision of a job's open record, or 0 if the job is not known to be
// open.
func (r *openJobsReplica) revisionOf(id string) uint64 { return r.job(id).revision }

// setDependencies replaces the dependencies of an open job. It is called with the complete list
// once the parts of a split list have been read, and with none once all dependencies are done.
func (r *openJobsReplica) setDependencies(id string, dependencies jobs.Dependencies) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if job, ok := r.jobs[id]; ok {
		job.dependencies = dependencies
		r.jobs[id] = job
	}
}

// add adds an open record that was read or written outside the watch. The record may be out of
// date by the time that it is added.
func (r *openJobsReplica) add(id string, revision uint64, dependencies jobs.Dependencies) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if job, ok := r.jobs[id]; ok && job.revision == revision {
		return // keeps its dependencies, which setDependencies may have replaced
	}
	if r.appliedRevision > 0 && revision <= r.appliedRevision {
		return // that revision is already applied, so the record has been deleted since
	}
	r.jobs[id] = openJob{revision, dependencies}
}

// remove removes a job that is no longer open.
func (r *openJobsReplica) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, id)
}

// removeUnlessNewer removes a job that was found not to be open, unless the replica has
// meanwhile received a record of it that is newer than the given revision.
func (r *openJobsReplica) removeUnlessNewer(id string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[id].revision <= revision {
		delete(r.jobs, id)
	}
}

// load replaces the content of the replica with all open records, listed at the given store
// revision.
func (r *openJobsReplica) load(records []statestore.KeyValue, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = make(map[string]openJob, len(records))
	for _, record := range records {
		r.jobs[openJobID(record.Key)] = openJob{record.Revision, jobs.DecodeDependencies(record.Value)}
	}
	r.appliedRevision = revision
}

// revision returns the store revision up to which all changes are applied.
func (r *openJobsReplica) revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appliedRevision
}

// apply applies all changes after revision from, up to revision to. Concurrent watches may
// deliver the same changes, so changes that are already applied are skipped: reapplying an old one
// would restore a deleted job. It applies nothing and returns false if the replica must be
// reloaded or lacks changes up to revision from.
func (r *openJobsReplica) apply(changes []statestore.Change, from, to uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.appliedRevision == 0 || from > r.appliedRevision {
		return false
	}
	for _, change := range changes {
		if change.Revision > r.appliedRevision {
			r.applyChange(change)
		}
	}
	r.appliedRevision = max(r.appliedRevision, to)
	return true
}

// applyChange applies one change. The caller must hold the lock.
func (r *openJobsReplica) applyChange(change statestore.Change) {
	if change.Delete != "" {
		delete(r.jobs, openJobID(change.Delete))
		return
	}
	id := openJobID(change.Put)
	if job, ok := r.jobs[id]; ok && job.revision == change.Revision {
		return // keeps its dependencies, which setDependencies may have replaced
	}
	r.jobs[id] = openJob{change.Revision, jobs.DecodeDependencies(change.Value)}
}

// invalidate marks the replica as requiring a reload.
func (r *openJobsReplica) invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appliedRevision = 0
}

func openJobID(key string) string { return strings.TrimPrefix(key, jobs.OpenPrefix) }

// FollowOpenJobs keeps the replica of the open jobs up to date until ctx ends. It returns the
// error of ctx.
func (s *Server) FollowOpenJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.loadReplica(ctx); err != nil {
			backoff.Sleep(ctx, constants.MinReplicaUpdateInterval)
			continue
		}
		s.followChanges(ctx)
		s.replica.invalidate()
	}
	return ctx.Err()
}

// loadReplica reloads the replica from a list of all open records.
func (s *Server) loadReplica(ctx context.Context) error {
	records, revision, err := s.store.List(ctx, statestore.ClassStatusQuery, jobs.OpenPrefix)
	if err != nil {
		return err
	}
	s.replica.load(records, revision)
	return nil
}

// followChanges applies changes of open records to the replica until ctx ends or the replica
// must be reloaded because changes were missed.
func (s *Server) followChanges(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, constants.MinReplicaUpdateInterval)
		from := s.replica.revision()
		to, changes, err := s.store.Watch(ctx, jobs.OpenPrefix, from, constants.ReplicaWatchWait)
		if errors.Is(err, statestore.ErrCompacted) {
			return
		}
		if err != nil {
			continue
		}
		if !s.replica.apply(changes, from, to) {
			return
		}
	}
}

// errReplicaNotLoaded means that the replica hasn't been loaded yet or must be reloaded.
var errReplicaNotLoaded = errors.New("replica of the open jobs is not loaded")

// syncReplica updates the replica with a watch that returns at once. Afterwards the replica
// reflects the store at some moment after the call (docs/design.md, Safety 12).
func (s *Server) syncReplica(ctx context.Context) error {
	from := s.replica.revision()
	if from == 0 {
		return errReplicaNotLoaded
	}
	to, changes, err := s.store.Watch(ctx, jobs.OpenPrefix, from, 0)
	if err != nil {
		return err
	}
	if !s.replica.apply(changes, from, to) {
		return errReplicaNotLoaded
	}
	return nil
}
