package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// taskFailed handles the exit of a failed task: it sets the backoff of the task or of the
// whole job, and updates which machines are suspected or quarantined.
func (l *Leader) taskFailed(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	ran := time.Duration(0)
	if !attempt.RunningSince.IsZero() {
		ran = now.Sub(attempt.RunningSince)
	}
	job.retry.avoidMachine(machine.worker.Name, now.Add(constants.AvoidMachineFor))
	job.markStale()
	task := attempt.ID.Task.Index
	pause, taskOnly := job.failures.Record(machine.worker.Name, task, ran, job.retry.backingOff(now), now)
	if taskOnly {
		job.retry.delays.Add(task, now.Add(pause))
		return
	}
	job.retry.waitUntil(now.Add(pause))
	if job.failures.JobIsFaulty() {
		l.clearMachineSuspicion(job)
		return
	}
	if machine.health.MarkSuspect(job.spec.ID, now) {
		l.quarantine(machine, "several jobs failed on this machine", now)
	}
	l.attributeFailures(job, now)
}

// attributeFailures quarantines the machines that the job's failures can now be attributed
// to.
func (l *Leader) attributeFailures(job *jobState, now time.Time) {
	if !job.failures.HasUnattributed() {
		return
	}
	for _, name := range job.failures.TakeFaultyMachines(job.longestRuns(), now) {
		job.failures.ClearJobFault()
		if machine := l.fleet.get(name); machine != nil {
			l.quarantine(machine, "a job that runs elsewhere failed on this machine", now)
		}
	}
}

// longestRuns returns the longest observed run time of the job's running tasks, by machine.
func (j *jobState) longestRuns() map[string]time.Duration {
	runs := make(map[string]time.Duration)
	for _, placed := range j.attempts {
		for _, p := range placed {
			if p.attempt.Status == workers.StatusRunning && !p.attempt.RunningSince.IsZero() {
				worker := p.machine.worker
				runs[worker.Name] = max(runs[worker.Name], worker.LastMessageAt.Sub(p.attempt.RunningSince))
			}
		}
	}
	return runs
}

// attributeAllFailures calls attributeFailures for every open job.
func (l *Leader) attributeAllFailures(now time.Time) {
	for job := range l.jobs.all() {
		l.attributeFailures(job, now)
	}
}

// clearMachineSuspicion withdraws the suspicions that the failures of a faulty job have raised
// against machines.
func (l *Leader) clearMachineSuspicion(job *jobState) {
	for _, name := range job.failures.SuspectMachines() {
		if machine := l.fleet.get(name); machine != nil {
			machine.health.ClearSuspicion(job.spec.ID)
		}
	}
	l.passes.request()
}

// quarantine marks a machine as faulty: it gets no more tasks and is returned once it is
// empty. Attempts that have not started there are stopped, as they would fail too.
func (l *Leader) quarantine(machine *machineState, reason string, now time.Time) {
	if !machine.health.Quarantine() {
		return
	}
	l.deps.Log.Warn("machine quarantined", "machine", machine.worker.Name, "zone", machine.worker.Zone, "reason", reason)
	for _, attempt := range machine.worker.SortedAttempts() {
		job := l.jobs.get(attempt.ID.Task.Job)
		if job == nil || attempt.StopRequested || !attempt.Live() || isRunningOrSaving(attempt) {
			continue
		}
		if job.spec.Kind != jobs.KindGang {
			l.stopAttempt(machine, attempt, 0, now)
		} else {
			l.stopGang(job, 0, now)
		}
	}
	machine.markStale()
	l.sendStops(machine, now)
	l.passes.request()
}

// isRunningOrSaving reports whether an attempt was last reported as running or saving.
func isRunningOrSaving(attempt *workers.Attempt) bool {
	return attempt.Status == workers.StatusRunning || attempt.Status == workers.StatusSaving
}
