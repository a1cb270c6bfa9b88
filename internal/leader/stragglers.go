package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// detectStragglers looks for slow machines and takes their tasks elsewhere.
func (l *Leader) detectStragglers(now time.Time) {
	for _, machine := range l.fleet.sortedByName() {
		// Of a machine that can't be heard nothing is known: its tasks may be
		// over, and a cut must not make all machines behind it slow.
		if machine.health.Slow(now) || machine.lifecycle.isLeaving() || l.isSilent(machine, now) {
			continue
		}
		if l.slowSignals(machine, now) < constants.StragglerSignals {
			continue
		}
		pause := machine.health.MarkSlow(now)
		l.deps.Log.Warn("machine runs its tasks slowly", "machine", machine.agent.Name, "zone", machine.agent.Zone, "pause_s", pause.Seconds())
		l.moveTasksAway(machine, now)
	}
}

// slowSignals counts what speaks for a machine's being slow: tasks that finished
// there lately, and those that run there.
func (l *Leader) slowSignals(machine *machineState, now time.Time) int {
	signals := machine.health.SlowSignals(now)
	for _, attempt := range machine.agent.Attempts {
		job := l.jobs.get(attempt.ID.Task.Job)
		if job == nil || job.spec.Kind == jobs.KindGang || attempt.Status != workers.StatusRunning || attempt.RunningSince.IsZero() {
			continue
		}
		signals += job.runtimes.SlowSignals(machine.agent.LastHeartbeat.Sub(attempt.RunningSince), job.spec.Tasks)
	}
	return signals
}

// moveTasksAway stops what may as well run elsewhere. Gangs stay: they would all have
// to start anew.
func (l *Leader) moveTasksAway(machine *machineState, now time.Time) {
	for _, attempt := range machine.agent.SortedAttempts() {
		job := l.jobs.get(attempt.ID.Task.Job)
		if job == nil || job.spec.Kind == jobs.KindGang || attempt.StopRequested || !attempt.Live() {
			continue
		}
		// A task that can't save would lose more than it wins.
		if attempt.Status == workers.StatusRunning && job.spec.CheckpointIntervalS <= 0 {
			continue
		}
		l.stopAttempt(machine, attempt, job.saveGrace(), now)
	}
	l.sendStops(machine, now)
	l.passes.request()
}

// saveGrace is how long, in seconds, one of the job's tasks is given to save and stop.
func (j *jobState) saveGrace() float64 { return j.spec.SaveS + constants.StopGrace.Seconds() }

// noteStragglerSignal takes in a finished task: its run time is compared with the
// others' and then counted among them.
func (l *Leader) noteStragglerSignal(machine *machineState, job *jobState, attempt *workers.Attempt, now time.Time) {
	// When a task ended on a machine that was not heard meanwhile is not known.
	if machine.heartbeatGap || attempt.RunningSince.IsZero() {
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
