package leader

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/wirejson"
)

// addJob adds a job from its open record.
func (l *Leader) addJob(key string, value json.RawMessage, revision uint64, now time.Time) {
	id := key[len(jobs.OpenPrefix):]
	if l.jobs.openOrRemoved(id) {
		return
	}
	var record jobs.Record
	err := wirejson.Decode(value, &record)
	spec := record.Spec
	if err != nil || spec.ID != id || spec.Tasks < 1 || spec.Tasks > constants.MaxTasks {
		l.deps.Log.Error("invalid job record", "key", key, "error", err)
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
		l.recordArrival(job, now)
	}
	l.passes.request()
	l.deps.Log.Debug("job accepted", "job", id, "team", spec.Team, "class", spec.Class, "tasks", spec.Tasks,
		"zone", spec.Zone, "machine_types", spec.MachineTypes, "spot", spec.AllowSpot)
}

// submittedAt returns the submission time in a job's record, or now if the record has none or
// the clock of the node that wrote it was ahead of this leader's.
func submittedAt(record *jobs.Record, now time.Time) time.Time {
	if at := time.UnixMilli(record.AcceptedAtMS); record.AcceptedAtMS > 0 && at.Before(now) {
		return at
	}
	return now
}

// recordArrival adds a job that has become eligible to start to the recent arrivals.
func (l *Leader) recordArrival(job *jobState, now time.Time) {
	l.scaling.recentArrivals.add(arrival{
		at: job.view.Submitted, demand: resourceDemand(job, job.spec.Tasks), forGangReserve: l.qualifiesForGangReserve(job.spec),
	}, now)
}

// jobRecordDeleted handles the deletion of a job's open record: either this leader has replaced
// it with the job's final record, or the user has cancelled the job.
func (l *Leader) jobRecordDeleted(id string, now time.Time) {
	if job := l.jobs.get(id); job != nil {
		l.removeJob(job, now)
		l.deps.Log.Debug("job record deleted", "job", id)
	}
	l.jobs.clearRemoved(id)
}

// removeJob removes a job that has ended. Its attempts that may still be on machines are
// stopped, and its team and resources are kept until these attempts are proven gone.
func (l *Leader) removeJob(job *jobState, now time.Time) {
	if job.removed {
		return
	}
	placed := job.attempts.sorted()
	l.jobs.remove(job, len(placed))
	l.dependencies.requestFinal(job.spec.ID)
	if len(job.upstreams.pending) > 0 {
		l.propagateDemand(slices.Collect(maps.Keys(job.upstreams.pending))) // the upstream jobs' inherited demand may drop
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
