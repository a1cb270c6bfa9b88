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
func (l *Leader) addJob(key string, v json.RawMessage, stamp uint64, now time.Time) {
	name := key[len(jobs.OpenPrefix):]
	if l.jobs[name] != nil || l.removedJobs[name] {
		return
	}
	var rec jobs.Record
	err := json.Unmarshal(v, &rec)
	spec := rec.Spec
	if err != nil || spec.ID != name || spec.Tasks < 1 || spec.Tasks > constants.MaxTasks {
		l.deps.Log.Error("unreadable job", "key", key, "err", err)
		return
	}
	j := &jobState{
		spec: &spec, revision: stamp, servedAt: now,
		doneTasks: make(bitset, (spec.Tasks+7)/8), recordedDone: make(bitset, (spec.Tasks+7)/8),
		unrecordedExits: make(map[*workers.Attempt]*machineState), stale: true, attempts: make(map[int][]placedAttempt), avoid: make(map[string]time.Time),
		restartedTasks: make(map[int]bool),
	}
	j.view = placement.Job{Spec: &spec, Priority: jobs.Priority(spec.PriorityClass), Order: stamp, Submitted: now, Targets: l.targets(&spec, 0)}
	if at := time.UnixMilli(rec.AcceptedAtMS); rec.AcceptedAtMS > 0 && at.Before(now) {
		j.view.Submitted = at
	}
	j.acceptedAt = j.view.Submitted
	l.jobs[name] = j
	p := j.view.Pipeline()
	l.pipelines[p] = append(l.pipelines[p], j)
	l.arrivals[spec.Class]++
	l.updateLargestGang(&spec)
	if needs := (jobs.Dependencies{DependsOn: spec.DependsOn, Split: rec.Split}); !needs.Empty() {
		l.addDependencies(j, needs)
	} else {
		l.noteArrival(j, now)
	}
	l.passDueNow = true
	l.deps.Log.Debug("job", "id", name, "owner", spec.Team, "workload", spec.Class, "pieces", spec.Tasks)
}

// noteArrival counts a job that may start among those that came lately.
func (l *Leader) noteArrival(j *jobState, now time.Time) {
	if at := j.view.Submitted; now.Sub(at) <= constants.ArrivalRateWindow {
		l.scaling.recentArrivals = append(l.scaling.recentArrivals, arrival{at, demandOf(j, j.spec.Tasks), l.wantsWhole(j.spec)})
	}
}

// jobRecordDeleted is called when a job's record has left the open ones: this leader
// has finished it, or its user has cancelled it.
func (l *Leader) jobRecordDeleted(name string, now time.Time) {
	if j := l.jobs[name]; j != nil {
		l.removeJob(j, now)
		l.deps.Log.Debug("job gone", "id", name)
	}
	// The watch tells changes in order: nothing older of it can follow.
	delete(l.removedJobs, name)
}
