package userapi

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// openJobsReplica is a read replica of the open jobs' records: their revisions, and which
// jobs they depend on. A record never changes, so that is all there is to know. The replica
// may lag: nothing is answered from it without a proof that it holds now.
type openJobsReplica struct {
	mu sync.Mutex // guards all below
	// jobs holds the open jobs by ID.
	jobs map[string]openJob
	// appliedRevision is the revision of the store up to which all changes are in; 0: the
	// replica has to be read anew, and holds no more than hints.
	appliedRevision uint64
}

// openJob is what is kept of one open job. The zero value stands for a job that is not known
// to be open.
type openJob struct {
	// revision is that of the job's record.
	revision uint64
	// dependencies are empty once all of them are known to be done.
	dependencies jobs.Dependencies
}

func newOpenJobsReplica() *openJobsReplica {
	return &openJobsReplica{jobs: make(map[string]openJob)}
}

// job returns what is known of a job.
func (r *openJobsReplica) job(id string) openJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// revisionOf is the revision of an open job's record, 0 if the job is not known to be open.
func (r *openJobsReplica) revisionOf(id string) uint64 { return r.job(id).revision }

// setDependencies replaces the dependencies of a job: by the whole list where its record
// holds a part, by none once all are done.
func (r *openJobsReplica) setDependencies(id string, dependencies jobs.Dependencies) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if job, ok := r.jobs[id]; ok {
		job.dependencies = dependencies
		r.jobs[id] = job
	}
}

// add takes in a record that was read, or written, by itself. It may come late.
func (r *openJobsReplica) add(id string, revision uint64, dependencies jobs.Dependencies) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if job, ok := r.jobs[id]; ok && job.revision == revision {
		return // what is known of its dependencies may be more
	}
	if r.appliedRevision > 0 && revision <= r.appliedRevision {
		return // all changes up to then are in, so it has gone since
	}
	r.jobs[id] = openJob{revision, dependencies}
}

// remove drops a job that is no longer open.
func (r *openJobsReplica) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.jobs, id)
}

// removeUpTo drops a job that was found not to be open, unless it became known meanwhile
// under a revision after the given one.
func (r *openJobsReplica) removeUpTo(id string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[id].revision <= revision {
		delete(r.jobs, id)
	}
}

// load replaces the whole by all records, as read at a revision of the store.
func (r *openJobsReplica) load(records []statestore.KeyValue, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = make(map[string]openJob, len(records))
	for _, record := range records {
		r.jobs[openJobID(record.Key)] = openJob{record.Revision, jobs.DecodeDependencies(record.Value)}
	}
	r.appliedRevision = revision
}

// revision is the revision of the store up to which all changes are in.
func (r *openJobsReplica) revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appliedRevision
}

// apply takes in all changes after one revision of the store up to another. Two readers may
// come with the same ones: those that are in already are passed over, as an older one would
// bring back what has gone since. It reports false if changes are missing in between.
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

// applyChange takes in one change; the caller holds the lock.
func (r *openJobsReplica) applyChange(change statestore.Change) {
	if change.Delete != "" {
		delete(r.jobs, openJobID(change.Delete))
		return
	}
	id := openJobID(change.Put)
	if job, ok := r.jobs[id]; ok && job.revision == change.Revision {
		return // what is known of its dependencies may be more
	}
	r.jobs[id] = openJob{change.Revision, jobs.DecodeDependencies(change.Value)}
}

// invalidate has the replica read anew.
func (r *openJobsReplica) invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appliedRevision = 0
}

func openJobID(key string) string { return strings.TrimPrefix(key, jobs.OpenPrefix) }

// FollowOpenJobs keeps the replica of the open jobs near the truth until ctx ends.
func (s *Server) FollowOpenJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.loadReplica(ctx); err != nil {
			sleep(ctx, constants.ReplicaUpdateInterval)
			continue
		}
		s.followChanges(ctx)
		s.replica.invalidate()
	}
	return ctx.Err()
}

// loadReplica reads the open jobs anew.
func (s *Server) loadReplica(ctx context.Context) error {
	records, revision, err := s.store.List(ctx, statestore.ClassPoll, jobs.OpenPrefix)
	if err != nil {
		return err
	}
	s.replica.load(records, revision)
	return nil
}

// followChanges watches the open jobs until ctx ends or changes were missed.
func (s *Server) followChanges(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, constants.ReplicaUpdateInterval)
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

// errReplicaNotLoaded: the open jobs have not been read yet, or must be read anew.
var errReplicaNotLoaded = errors.New("the jobs have not been read yet")

// syncReplica brings the replica up to a moment after it was called, by a watch that does
// not wait (docs/design.md, Safety 12).
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

// sleep waits, or returns at once when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
