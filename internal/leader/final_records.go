package leader

import (
	"context"
	"encoding/json"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
)

// readFinalRecords reads what decides over the jobs that wait, some at a time.
func (l *Leader) readFinalRecords(now time.Time) {
	if !l.dependencies.readsDue(now) {
		return
	}
	l.readWantedFinals()
	l.readUnlinkedLists()
}

// readWantedFinals reads the final records of jobs that others wait for.
func (l *Leader) readWantedFinals() {
	tracker := &l.dependencies
	for id := range tracker.finalsWanted {
		if tracker.readsFull() {
			return
		}
		switch {
		case tracker.reading[finalRead{job: id}]:
		case l.jobs.get(id) != nil, len(tracker.downstreamsOf(id)) == 0:
			delete(tracker.finalsWanted, id) // it is open after all, or nobody waits
		default:
			l.readFinal(id)
		}
	}
}

// readFinal reads the final record of a job.
func (l *Leader) readFinal(id string) {
	read := finalRead{job: id}
	l.dependencies.startRead(read)
	l.calls.queue(func(ctx context.Context) func() {
		row, found, err := l.deps.Store.Get(ctx, statestore.ClassRecord, jobs.FinalPrefix+id)
		return func() {
			l.dependencies.endRead(read)
			var final jobs.FinalRecord
			if err == nil && found {
				err = json.Unmarshal(row.Value, &final)
			}
			if err != nil || !found {
				// Not readable now; or not final: then the watch brings it.
				l.dependencies.readFailed(time.Now())
				return
			}
			l.upstreamEnded(id, final, time.Now())
			l.readFinalRecords(time.Now())
		}
	})
}

// readUnlinkedLists reads the lists of names of jobs whose dependencies are not linked yet.
func (l *Leader) readUnlinkedLists() {
	tracker := &l.dependencies
	for job, dependencies := range tracker.unlinked {
		switch {
		case job.removed:
			delete(tracker.unlinked, job)
		case tracker.readsFull(), tracker.reading[finalRead{job.spec.ID, true}]:
		default:
			l.readDependencyList(job, dependencies)
		}
	}
}

// readDependencyList reads the names of the jobs that one depends on, and links it to them.
func (l *Leader) readDependencyList(job *jobState, dependencies jobs.Dependencies) {
	id := job.spec.ID
	read := finalRead{id, true}
	l.dependencies.startRead(read)
	l.calls.queue(func(ctx context.Context) func() {
		names, err := dependencies.Load(ctx, l.deps.Store, statestore.ClassRecord, id)
		return func() {
			l.dependencies.endRead(read)
			if err != nil {
				l.deps.Log.Info("dependencies can't be read", "job", id, "error", err)
				l.dependencies.readFailed(time.Now())
				return
			}
			if l.dependencies.takeUnlinked(job) {
				l.linkUpstreams(job, names)
				l.readFinalRecords(time.Now())
			}
		}
	})
}
