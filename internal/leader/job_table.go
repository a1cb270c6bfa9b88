package leader

import (
	"encoding/json"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// addJob takes in a job's record.
func (l *Leader) addJob(key string, value json.RawMessage, revision uint64, now time.Time) {
	name := key[len(jobs.OpenPrefix):]
	if l.jobs[name] != nil || l.removedJobs[name] {
		return
	}
	var record jobs.Record
	err := json.Unmarshal(value, &record)
	spec := record.Spec
	if err != nil || spec.ID != name || spec.Tasks < 1 || spec.Tasks > constants.MaxTasks {
		l.deps.Log.Error("unreadable job", "key", key, "err", err)
		return
	}
	job := &jobState{
		spec: &spec, revision: revision, servedAt: now,
		doneTasks: make(bitset, (spec.Tasks+7)/8), recordedDone: make(bitset, (spec.Tasks+7)/8),
		unrecordedExits: make(map[*workers.Attempt]*machineState), stale: true, attempts: make(map[int][]placedAttempt), avoid: make(map[string]time.Time),
		restartedTasks: make(map[int]bool),
	}
	job.view = placement.Job{Spec: &spec, Priority: jobs.Priority(spec.PriorityClass), Order: revision, Submitted: now, Targets: l.startTargets(&spec, 0)}
	if at := time.UnixMilli(record.AcceptedAtMS); record.AcceptedAtMS > 0 && at.Before(now) {
		job.view.Submitted = at
	}
	job.acceptedAt = job.view.Submitted
	l.jobs[name] = job
	pipeline := job.view.Pipeline()
	l.pipelines[pipeline] = append(l.pipelines[pipeline], job)
	l.arrivals[spec.Class]++
	l.updateLargestGang(&spec)
	if dependencies := (jobs.Dependencies{DependsOn: spec.DependsOn, Split: record.Split}); !dependencies.Empty() {
		l.addDependencies(job, dependencies)
	} else {
		l.noteArrival(job, now)
	}
	l.passDueNow = true
	l.deps.Log.Debug("job", "id", name, "owner", spec.Team, "workload", spec.Class, "pieces", spec.Tasks)
}

// noteArrival counts a job that may start among those that came lately.
func (l *Leader) noteArrival(job *jobState, now time.Time) {
	if submitted := job.view.Submitted; now.Sub(submitted) <= constants.ArrivalRateWindow {
		l.scaling.recentArrivals = append(l.scaling.recentArrivals, arrival{submitted, demandOf(job, job.spec.Tasks), l.reservesWholeMachines(job.spec)})
	}
}

// jobRecordDeleted is called when a job's record has left the open ones: this leader
// has finished it, or its user has cancelled it.
func (l *Leader) jobRecordDeleted(name string, now time.Time) {
	if job := l.jobs[name]; job != nil {
		l.removeJob(job, now)
		l.deps.Log.Debug("job gone", "id", name)
	}
	// The watch tells changes in order: nothing older of it can follow.
	delete(l.removedJobs, name)
}
