package leader

import (
	"context"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// readFinalRecords starts the reads that waiting jobs need, up to the limit of concurrent
// reads.
func (l *Leader) readFinalRecords(now time.Time) {
	if !l.dependencies.readsDue(now) {
		return
	}
	isOpen := func(id string) bool { return l.jobs.get(id) != nil }
	for _, id := range l.dependencies.startFinalReads(isOpen) {
		l.readFinal(id)
	}
	for _, list := range l.dependencies.startListReads() {
		l.readDependencyList(list.job, list.dependencies)
	}
}

// readFinal reads the final record of a job and handles its end.
func (l *Leader) readFinal(id string) {
	l.calls.queue(func(ctx context.Context) func() {
		row, found, err := l.deps.Store.Get(ctx, statestore.ClassRecord, jobs.FinalPrefix+id)
		return func() {
			l.dependencies.endRead(dependencyRead{job: id})
			var final jobs.FinalRecord
			if err == nil && found {
				err = wirejson.Decode(row.Value, &final)
			}
			if err != nil || !found {
				// The read failed, or there is no final record yet. In the latter case, the
				// watch will report the job's end.
				l.dependencies.readFailed(time.Now())
				return
			}
			l.upstreamEnded(id, final, time.Now())
			l.readFinalRecords(time.Now())
		}
	})
}

// readDependencyList reads the dependency list of a job and links the job to the upstream jobs
// that the list names.
func (l *Leader) readDependencyList(job *jobState, dependencies jobs.Dependencies) {
	id := job.spec.ID
	l.calls.queue(func(ctx context.Context) func() {
		names, err := dependencies.Load(ctx, l.deps.Store, statestore.ClassRecord, id)
		return func() {
			l.dependencies.endRead(dependencyRead{job: id, isList: true})
			if err != nil {
				l.deps.Log.Warn("reading dependency list failed", "job", id, "error", err)
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
