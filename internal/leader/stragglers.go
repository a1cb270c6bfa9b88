package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// detectStragglers marks slow machines and moves their tasks to other machines.
func (l *Leader) detectStragglers(now time.Time) {
	for _, machine := range l.fleet.sortedByName() {
		// The tasks of a silent machine may have ended already. Without this check, a network
		// partition would cause all machines behind it to be marked as slow.
		if machine.health.Slow(now) || machine.lifecycle.isLeaving() || l.isSilent(machine, now) {
			continue
		}
		if l.slowSignals(machine, now) < constants.StragglerSignals {
			continue
		}
		pause := machine.health.MarkSlow(now)
		l.deps.Log.Warn("slow machine detected", "machine", machine.worker.Name, "zone", machine.worker.Zone, "pause_s", pause.Seconds())
		l.moveTasksAway(machine, now)
	}
}

// slowSignals returns the number of signals that a machine is slow, from tasks that recently
// finished on it and from those that run on it.
func (l *Leader) slowSignals(machine *machineState, now time.Time) int {
	signals := machine.health.SlowSignals(now)
	for _, attempt := range machine.worker.Attempts {
		job := l.jobs.get(attempt.ID.Task.Job)
		if job == nil || job.spec.Kind == jobs.KindGang || attempt.Status != workers.StatusRunning || attempt.RunningSince.IsZero() {
			continue
		}
		signals += job.runtimes.SlowSignals(machine.worker.LastMessageAt.Sub(attempt.RunningSince), job.spec.Tasks)
	}
	return signals
}

// moveTasksAway stops the machine's tasks so that they restart elsewhere. Gangs are left
// alone, as the whole gang would have to restart.
func (l *Leader) moveTasksAway(machine *machineState, now time.Time) {
	for _, attempt := range machine.worker.SortedAttempts() {
		job := l.jobs.get(attempt.ID.Task.Job)
		if job == nil || job.spec.Kind == jobs.KindGang || attempt.StopRequested || !attempt.Live() {
			continue
		}
		// A running task without checkpoints would lose more than it gains.
		if attempt.Status == workers.StatusRunning && job.spec.CheckpointIntervalS <= 0 {
			continue
		}
		l.stopAttempt(machine, attempt, job.saveGraceS(), now)
	}
	l.sendStops(machine, now)
	l.passes.request()
}

// saveGraceS returns the time, in seconds, that a task of the job has to save its progress
// before it is killed, as stopGraceS does.
func (j *jobState) saveGraceS() float64 {
	return j.spec.CheckpointSaveS + constants.StopGrace.Seconds()
}

// recordTaskRuntime compares a finished task's run time with those of the job's other tasks
// and then adds it to them. It ignores tasks whose whole run time is unknown, and tasks of
// gangs.
func (l *Leader) recordTaskRuntime(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	// After a gap between the worker's messages the end of the task is unknown.
	if machine.messageGap || attempt.RunningSince.IsZero() {
		return
	}
	if job.spec.Kind == jobs.KindGang || job.fromEarlierTerm || job.restartedTasks[attempt.ID.Task.Index] {
		return
	}
	ran := now.Sub(attempt.RunningSince)
	machine.health.AddSlowSignals(job.runtimes.SlowSignals(ran, job.spec.Tasks), now)
	job.runtimes.Add(ran)
	l.classes.runtimeRatios.record(job.spec, ran)
}
