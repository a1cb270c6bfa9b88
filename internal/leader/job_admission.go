package leader

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// addJob takes in a job's record.
func (l *Leader) addJob(key string, value json.RawMessage, revision uint64, now time.Time) {
	id := key[len(jobs.OpenPrefix):]
	if l.jobs.knows(id) {
		return
	}
	var record jobs.Record
	err := json.Unmarshal(value, &record)
	spec := record.Spec
	if err != nil || spec.ID != id || spec.Tasks < 1 || spec.Tasks > constants.MaxTasks {
		l.deps.Log.Error("unreadable job", "key", key, "error", err)
		return
	}
	job := newJobState(&spec, revision, submittedAt(&record, now), now)
	job.view.Targets = l.startTargets(&spec, 0)
	l.jobs.add(job)
	l.classes.arrivals.add(spec.Class)
	l.classes.gangWaits.addJob(&spec)
	if dependencies := (jobs.Dependencies{DependsOn: spec.DependsOn, Split: record.Split}); !dependencies.Empty() {
		l.addDependencies(job, dependencies)
	} else {
		l.noteArrival(job, now)
	}
	l.passes.request()
	l.deps.Log.Debug("job accepted", "job", id, "team", spec.Team, "class", spec.Class, "tasks", spec.Tasks)
}

// submittedAt is when a job was submitted by its record, whose clock may be ahead of
// ours; now, if the record does not tell.
func submittedAt(record *jobs.Record, now time.Time) time.Time {
	if at := time.UnixMilli(record.AcceptedAtMS); record.AcceptedAtMS > 0 && at.Before(now) {
		return at
	}
	return now
}

// noteArrival counts a job that may start among those that came lately.
func (l *Leader) noteArrival(job *jobState, now time.Time) {
	l.scaling.recentArrivals.add(arrival{
		at: job.view.Submitted, demand: demandOf(job, job.spec.Tasks), reservesMachines: l.reservesWholeMachines(job.spec),
	}, now)
}

// jobRecordDeleted is called when a job's record has left the open ones: this leader
// has finished it, or its user has cancelled it.
func (l *Leader) jobRecordDeleted(id string, now time.Time) {
	if job := l.jobs.get(id); job != nil {
		l.removeJob(job, now)
		l.deps.Log.Debug("job record deleted", "job", id)
	}
	l.jobs.recordDeleted(id)
}

// removeJob takes a job that is over out of memory. What of it may still be on
// machines is stopped, and remembered by size until it is proven gone.
func (l *Leader) removeJob(job *jobState, now time.Time) {
	if job.removed {
		return
	}
	placed := job.attempts.sorted()
	l.jobs.remove(job, len(placed))
	l.dependencies.requestFinal(job.spec.ID)
	if len(job.upstreams.pending) > 0 {
		l.propagateDemand(slices.Collect(maps.Keys(job.upstreams.pending))) // they are needed less
	}
	for attempt, machine := range job.unrecordedExits {
		l.allowForget(machine, attempt)
	}
	job.unrecordedExits = nil
	for _, p := range placed {
		p.machine.markStale()
		l.stopAttempt(p.machine, p.attempt, 0, now)
	}
	for _, p := range placed {
		l.sendStops(p.machine, now)
	}
	l.passes.request()
}
