package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// dependencyTracker holds the dependencies between jobs, and tracks the records that must be
// read to resolve the dependencies of waiting jobs.
type dependencyTracker struct {
	// downstreams maps a job's ID to the jobs that depend on that job.
	downstreams map[string][]*jobState
	// pendingFinals are the IDs of the jobs whose final record has to be read.
	pendingFinals map[string]bool
	// unlinked are the jobs whose dependency lists have not been read yet, or that wait until
	// all open jobs are loaded.
	unlinked map[*jobState]jobs.Dependencies
	// activeReads are the reads in progress. After a failed read, none is started before
	// retryAt.
	activeReads map[dependencyRead]bool
	retryAt     time.Time
	// reservedUpstreams are the jobs marked as upstream of a job that has reservations.
	reservedUpstreams []*jobState
}

// dependencyRead identifies a read in progress: of a job's final record or of its dependency
// list.
type dependencyRead struct {
	job    string
	isList bool
}

func newDependencyTracker() dependencyTracker {
	return dependencyTracker{
		downstreams:   make(map[string][]*jobState),
		pendingFinals: make(map[string]bool),
		unlinked:      make(map[*jobState]jobs.Dependencies),
		activeReads:   make(map[dependencyRead]bool),
	}
}

// downstreamsOf returns the jobs that depend on a job. Some may have been removed since.
func (d *dependencyTracker) downstreamsOf(id string) []*jobState { return d.downstreams[id] }

// addDownstream makes a job depend on another.
func (d *dependencyTracker) addDownstream(upstream string, job *jobState) {
	d.downstreams[upstream] = append(d.downstreams[upstream], job)
}

// takeDownstreams removes and returns the jobs that depend on a job that has ended.
func (d *dependencyTracker) takeDownstreams(upstream string) []*jobState {
	downstreams := d.downstreams[upstream]
	delete(d.downstreams, upstream)
	delete(d.pendingFinals, upstream)
	return downstreams
}

// requestFinal requests a read of a job's final record if other jobs depend on it.
func (d *dependencyTracker) requestFinal(id string) {
	if len(d.downstreams[id]) > 0 {
		d.pendingFinals[id] = true
	}
}

// addUnlinked adds a job that can't be linked to its upstream jobs yet.
func (d *dependencyTracker) addUnlinked(job *jobState, dependencies jobs.Dependencies) {
	d.unlinked[job] = dependencies
}

// takeUnlinked removes a job from the unlinked jobs and reports whether it was one of them.
func (d *dependencyTracker) takeUnlinked(job *jobState) bool {
	_, found := d.unlinked[job]
	delete(d.unlinked, job)
	return found
}

// takeResolved removes and returns the unlinked jobs whose dependency lists are complete.
func (d *dependencyTracker) takeResolved() map[*jobState][]string {
	resolved := make(map[*jobState][]string)
	for job, dependencies := range d.unlinked {
		if dependencies.Split == nil {
			resolved[job] = dependencies.DependsOn
			delete(d.unlinked, job)
		}
	}
	return resolved
}

// startFinalReads returns the IDs of the jobs whose final records are to be read now, and
// marks these reads as in progress.
func (d *dependencyTracker) startFinalReads(isOpen func(id string) bool) (ids []string) {
	for id := range d.pendingFinals {
		if d.atReadLimit() {
			break
		}
		read := dependencyRead{job: id}
		switch {
		case d.activeReads[read]:
		case isOpen(id), len(d.downstreams[id]) == 0:
			delete(d.pendingFinals, id) // open after all, or no longer needed by any job
		default:
			d.activeReads[read] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// dependencyList identifies a dependency list that has to be read.
type dependencyList struct {
	job          *jobState
	dependencies jobs.Dependencies
}

// startListReads returns the dependency lists to be read now, and marks these reads as in
// progress.
func (d *dependencyTracker) startListReads() (lists []dependencyList) {
	for job, dependencies := range d.unlinked {
		read := dependencyRead{job: job.spec.ID, isList: true}
		switch {
		case job.removed:
			delete(d.unlinked, job)
		case d.atReadLimit(), d.activeReads[read]:
		default:
			d.activeReads[read] = true
			lists = append(lists, dependencyList{job, dependencies})
		}
	}
	return lists
}

// endRead marks a read as finished.
func (d *dependencyTracker) endRead(read dependencyRead) { delete(d.activeReads, read) }

// readsDue reports whether there are records to read and reads are not paused after a failure.
func (d *dependencyTracker) readsDue(now time.Time) bool {
	return len(d.pendingFinals)+len(d.unlinked) > 0 && !now.Before(d.retryAt)
}

// atReadLimit reports whether the maximum number of reads is in progress.
func (d *dependencyTracker) atReadLimit() bool {
	return len(d.activeReads) >= constants.MaxFinalRecordReads
}

// readFailed pauses reads after a failure.
func (d *dependencyTracker) readFailed(now time.Time) {
	d.retryAt = now.Add(constants.FinalRecordRetryDelay)
}

// clearReservedUpstreams removes the marks that markReservedUpstream has set.
func (d *dependencyTracker) clearReservedUpstreams() {
	for _, job := range d.reservedUpstreams {
		job.view.ReservedDownstreams = nil
	}
	d.reservedUpstreams = d.reservedUpstreams[:0]
}

// markReservedUpstream marks a job as upstream of a job that has reservations. It reports
// whether the mark is new.
func (d *dependencyTracker) markReservedUpstream(upstream *jobState, downstream string) bool {
	view := &upstream.view
	if view.ReservedDownstreams[downstream] {
		return false
	}
	if view.ReservedDownstreams == nil {
		view.ReservedDownstreams = make(map[string]bool)
		d.reservedUpstreams = append(d.reservedUpstreams, upstream)
	}
	view.ReservedDownstreams[downstream] = true
	return true
}
