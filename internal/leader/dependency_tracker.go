package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// dependencyTracker is which jobs depend on which, and what must be read to decide over
// those that wait.
type dependencyTracker struct {
	// downstreams are the jobs that wait for one, by its ID.
	downstreams map[string][]*jobState
	// finalsWanted are the jobs whose final record is to be read.
	finalsWanted map[string]bool
	// unlinked are the jobs whose list of names is to be read, or that wait until all
	// open jobs are known.
	unlinked map[*jobState]jobs.Dependencies
	// reading are the reads under way, by key; retryAt is when to go on after one failed.
	reading map[finalRead]bool
	retryAt time.Time
	// reservedUpstreams are the jobs that were shown as upstreams of ones with
	// reservations.
	reservedUpstreams []*jobState
}

// finalRead names one read under way: a job's final record, or its list of names.
type finalRead struct {
	job       string
	namesList bool
}

func newDependencyTracker() dependencyTracker {
	return dependencyTracker{
		downstreams:  make(map[string][]*jobState),
		finalsWanted: make(map[string]bool),
		unlinked:     make(map[*jobState]jobs.Dependencies),
		reading:      make(map[finalRead]bool),
	}
}

// downstreamsOf are the jobs that wait for one. Some may have been removed.
func (d *dependencyTracker) downstreamsOf(id string) []*jobState { return d.downstreams[id] }

// addDownstream has a job wait for another.
func (d *dependencyTracker) addDownstream(upstream string, job *jobState) {
	d.downstreams[upstream] = append(d.downstreams[upstream], job)
}

// takeDownstreams hands over the jobs that wait for one that has ended.
func (d *dependencyTracker) takeDownstreams(upstream string) []*jobState {
	downstreams := d.downstreams[upstream]
	delete(d.downstreams, upstream)
	delete(d.finalsWanted, upstream)
	return downstreams
}

// requestFinal has a job's final record read if others wait for it.
func (d *dependencyTracker) requestFinal(id string) {
	if len(d.downstreams[id]) > 0 {
		d.finalsWanted[id] = true
	}
}

// addUnlinked notes a job that can't be linked yet.
func (d *dependencyTracker) addUnlinked(job *jobState, dependencies jobs.Dependencies) {
	d.unlinked[job] = dependencies
}

// takeUnlinked takes a job off those that are not linked yet. It tells whether it was one.
func (d *dependencyTracker) takeUnlinked(job *jobState) bool {
	_, found := d.unlinked[job]
	delete(d.unlinked, job)
	return found
}

// takeListed hands over the jobs that are not linked yet and whose names are all known.
func (d *dependencyTracker) takeListed() map[*jobState][]string {
	listed := make(map[*jobState][]string)
	for job, dependencies := range d.unlinked {
		if dependencies.Split == nil {
			listed[job] = dependencies.DependsOn
			delete(d.unlinked, job)
		}
	}
	return listed
}

// startFinalReads chooses the final records to be read next, and notes that their reads
// are under way.
func (d *dependencyTracker) startFinalReads(isOpen func(id string) bool) (ids []string) {
	for id := range d.finalsWanted {
		if d.readsFull() {
			break
		}
		read := finalRead{job: id}
		switch {
		case d.reading[read]:
		case isOpen(id), len(d.downstreams[id]) == 0:
			delete(d.finalsWanted, id) // it is open after all, or nobody waits
		default:
			d.reading[read] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// dependencyList is a job whose list of names is to be read.
type dependencyList struct {
	job          *jobState
	dependencies jobs.Dependencies
}

// startListReads chooses the lists of names to be read next, and notes that their reads
// are under way.
func (d *dependencyTracker) startListReads() (lists []dependencyList) {
	for job, dependencies := range d.unlinked {
		read := finalRead{job: job.spec.ID, namesList: true}
		switch {
		case job.removed:
			delete(d.unlinked, job)
		case d.readsFull(), d.reading[read]:
		default:
			d.reading[read] = true
			lists = append(lists, dependencyList{job, dependencies})
		}
	}
	return lists
}

// endRead notes that a read is no longer under way.
func (d *dependencyTracker) endRead(read finalRead) { delete(d.reading, read) }

// readsDue tells whether anything may be read now.
func (d *dependencyTracker) readsDue(now time.Time) bool {
	return len(d.finalsWanted)+len(d.unlinked) > 0 && !now.Before(d.retryAt)
}

// readsFull tells whether no more reads may be started at present.
func (d *dependencyTracker) readsFull() bool { return len(d.reading) >= constants.MaxFinalReads }

// readFailed has the next reads wait.
func (d *dependencyTracker) readFailed(now time.Time) { d.retryAt = now.Add(constants.FinalReadRetry) }

// clearReservedUpstreams takes back what markReservedUpstream has marked.
func (d *dependencyTracker) clearReservedUpstreams() {
	for _, job := range d.reservedUpstreams {
		job.view.ReservedDownstreams = nil
	}
	d.reservedUpstreams = d.reservedUpstreams[:0]
}

// markReservedUpstream marks a job as upstream of one that has a reservation. It tells
// whether it was not marked before.
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
