package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// A task that fails speaks against its machine or against its job: a faulty
// machine fails whatever starts on it, a job that was submitted with a mistake
// fails wherever it starts. What tells them apart is how the job fares
// elsewhere. A machine with room and images, which fails at once all that it is
// given, would otherwise take task after task; and a job whose tasks met one such
// machine, eight at a time, would be held back as if it failed everywhere.
//
// All of this lives in memory. After a takeover a faulty machine has to fail once
// more, and a job with a mistake to fail on a few machines.

// failure is how tasks of one job failed on one machine.
type failure struct {
	at  time.Time
	ran time.Duration // the longest that one of them ran before it failed
}

// failureHistory is what the failures of one job tell.
type failureHistory struct {
	// byMachine are the machines on which it failed of which it is not known yet
	// whether that was their fault.
	byMachine map[string]failure
	// succeeded is set once a task of it has finished: it has no mistake.
	succeeded bool
	// failedRounds counts the tries in a row that failed after it had failed on
	// several machines; zero for a job that is not taken for mistaken.
	failedRounds int
	// machinesByTask counts on how many machines each task failed.
	machinesByTask map[int]int
}

// faultyJob tells whether the job is taken for one that fails everywhere.
func (b *failureHistory) faultyJob() bool { return b.failedRounds > 0 }

// note takes in that a task failed on a machine after it had run for so long. It
// tells how long the job has to wait before it is tried again, or the task alone
// if alone is set.
func (b *failureHistory) note(machine string, task int, ran time.Duration, waits bool, now time.Time) (pause time.Duration, alone bool) {
	if b.byMachine == nil {
		b.byMachine, b.machinesByTask = make(map[string]failure), make(map[int]int)
	}
	if b.machinesByTask[task]++; b.machinesByTask[task] > constants.FaultyTaskMachines && b.succeeded {
		// The others of the job do well, this one fails wherever it starts:
		// that is no machine's fault.
		return constants.RetryMax, true
	}
	f := b.byMachine[machine]
	b.byMachine[machine] = failure{now, max(f.ran, ran)}
	if b.succeeded {
		return 0, false
	}
	recent := 0
	for _, f := range b.byMachine {
		if now.Sub(f.at) < constants.FailureWindow {
			recent++
		}
	}
	if recent < constants.FaultyJobMachines && b.failedRounds == 0 {
		return constants.RetryBase, false
	}
	if !waits {
		// Tasks that fail together count once.
		b.failedRounds++
	}
	return min(constants.RetryMax, constants.RetryBase<<min(b.failedRounds, 10)), false
}

// reset is called once the job has shown that it has no mistake.
func (b *failureHistory) reset() { b.failedRounds = 0 }

// faultyMachines names the machines whose fault the job's failures were, given for how
// long its tasks have run on which machines: the job did better elsewhere. A
// machine is named once.
func (b *failureHistory) faultyMachines(runs map[string]time.Duration, now time.Time) (machines []string) {
	for name, f := range b.byMachine {
		if now.Sub(f.at) >= constants.FailureWindow {
			delete(b.byMachine, name)
			continue
		}
		better := b.succeeded
		for other, ran := range runs {
			better = better || other != name && ran > f.ran+constants.FailureAttributionMargin
		}
		if better {
			machines = append(machines, name)
			delete(b.byMachine, name)
		}
	}
	return machines
}

// taskFailed takes in a task's failure.
func (l *Leader) taskFailed(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	ran := time.Duration(0)
	if !a.RunningSince.IsZero() {
		ran = now.Sub(a.RunningSince)
	}
	j.avoid[machine.agent.Name] = now.Add(constants.AvoidFor)
	j.stale = true
	pause, alone := j.failures.note(machine.agent.Name, a.ID.Task.Index, ran, now.Before(j.notBefore), now)
	if alone {
		j.delayedTasks = append(j.delayedTasks, delayedTask{a.ID.Task.Index, now.Add(pause)})
		return
	}
	j.notBefore = later(j.notBefore, now.Add(pause))
	if j.failures.faultyJob() {
		l.clearMachineSuspicion(j)
		return
	}
	// Until it is known whose fault it was nothing else should meet it there.
	machine.pausedUntil = now.Add(constants.SuspectMachinePause)
	if machine.failedJobs == nil {
		machine.failedJobs = make(map[string]bool)
	}
	machine.failedJobs[j.spec.ID] = true
	if len(machine.failedJobs) >= constants.FaultyMachineJobs {
		l.quarantine(machine, "several jobs failed on it", now)
	}
	l.attributeFailures(j, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// attributeFailures finds out whose fault a job's failures were.
func (l *Leader) attributeFailures(j *jobState, now time.Time) {
	if len(j.failures.byMachine) == 0 {
		return
	}
	runs := make(map[string]time.Duration)
	for _, seats := range j.attempts {
		for _, s := range seats {
			if s.attempt.Status == workers.StatusRunning && !s.attempt.RunningSince.IsZero() {
				runs[s.machine.agent.Name] = max(runs[s.machine.agent.Name], s.machine.agent.LastHeartbeat.Sub(s.attempt.RunningSince))
			}
		}
	}
	for _, name := range j.failures.faultyMachines(runs, now) {
		j.failures.reset()
		if machine := l.machines[name]; machine != nil {
			l.quarantine(machine, "a job that does well elsewhere failed on it", now)
		}
	}
}

// attributeAllFailures does that for all jobs that have failed somewhere.
func (l *Leader) attributeAllFailures(now time.Time) {
	for _, j := range l.jobs {
		l.attributeFailures(j, now)
	}
}

// clearMachineSuspicion takes back what a job with a mistake has said against machines.
func (l *Leader) clearMachineSuspicion(j *jobState) {
	for name := range j.failures.byMachine {
		machine := l.machines[name]
		if machine == nil || !machine.failedJobs[j.spec.ID] {
			continue
		}
		delete(machine.failedJobs, j.spec.ID)
		if len(machine.failedJobs) == 0 {
			machine.pausedUntil = time.Time{}
		}
	}
	l.passDueNow = true
}

// quarantine takes a machine for faulty: it gets no more tasks, and goes back once
// it has none. What has not begun to run there would only fail too.
func (l *Leader) quarantine(machine *machineState, why string, now time.Time) {
	if machine.faulty {
		return
	}
	machine.faulty = true
	l.deps.Log.Info("machine taken for faulty", "rig", machine.agent.Name, "zone", machine.agent.Zone, "why", why)
	for _, a := range machine.agent.SortedAttempts() {
		j := l.jobs[a.ID.Task.Job]
		if j == nil || a.StopRequested || !a.Live() || a.Status == workers.StatusRunning || a.Status == workers.StatusSaving {
			continue
		}
		if j.spec.Kind != jobs.KindGang {
			l.stopAttempt(machine, a, 0, now)
		} else {
			l.stopGang(j, 0, now)
		}
	}
	l.markStale(machine)
	l.sendStops(machine, now)
	l.passDueNow = true
}

// delayedTask is a task that must wait.
type delayedTask struct {
	task int
	at   time.Time
}

// heldBack tells whether a task of a sweep has to wait before it is tried again.
func (j *jobState) heldBack(task int, now time.Time) bool {
	kept := j.delayedTasks[:0]
	found := false
	for _, r := range j.delayedTasks {
		if now.Before(r.at) {
			kept = append(kept, r)
			found = found || r.task == task
		}
	}
	j.delayedTasks = kept
	return found
}
