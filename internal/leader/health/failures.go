// Package health judges machines by what happens to tasks on them: whose fault
// failures are, and which machines run their tasks slowly. It does no I/O, and
// knows jobs and machines by name alone.
//
// All of it lives in memory. After a failover a faulty machine has to fail once
// more, and a job with a mistake to fail on a few machines.
package health

import (
	"time"

	"thornnotch/internal/constants"
)

// failure is how the tasks of one job failed on one machine.
type failure struct {
	at  time.Time     // of the latest one
	ran time.Duration // the longest that one of them ran before it failed
}

// FailureHistory is what the failures of one job tell. Its zero value is that of a
// job without any.
//
// A task that fails speaks against its machine or against its job: a faulty
// machine fails whatever starts on it, a job that was submitted with a mistake
// fails wherever it starts. What tells them apart is how the job fares
// elsewhere. A machine with room and images, which fails at once all that it is
// given, would otherwise take task after task; and a job whose tasks met one such
// machine, eight at a time, would be held back as if it failed everywhere.
type FailureHistory struct {
	// byMachine are the machines on which it failed of which it is not known yet
	// whether that was their fault.
	byMachine map[string]failure
	// succeeded is set once a task of it has finished: it has no mistake.
	succeeded bool
	// failedRounds counts the attempts in a row that failed after it had failed on
	// several machines; zero for a job that is not taken for faulty.
	failedRounds int
	// machinesByTask counts on how many machines each task failed.
	machinesByTask map[int]int
}

// JobIsFaulty tells whether the job is taken for one that fails everywhere.
func (h *FailureHistory) JobIsFaulty() bool { return h.failedRounds > 0 }

// Unattributed tells whether there are failures whose fault is not known yet.
func (h *FailureHistory) Unattributed() bool { return len(h.byMachine) > 0 }

// SuspectMachines names the machines whose fault such failures may be.
func (h *FailureHistory) SuspectMachines() []string {
	names := make([]string, 0, len(h.byMachine))
	for name := range h.byMachine {
		names = append(names, name)
	}
	return names
}

// Record takes in that a task failed on a machine after it had run for so long;
// jobWaits is set while the job is held back for an earlier failure. It tells how
// long the job has to wait before it is tried again, or the task alone if taskOnly
// is set.
func (h *FailureHistory) Record(machine string, task int, ran time.Duration, jobWaits bool, now time.Time) (pause time.Duration, taskOnly bool) {
	if h.byMachine == nil {
		h.byMachine, h.machinesByTask = make(map[string]failure), make(map[int]int)
	}
	h.machinesByTask[task]++
	if h.succeeded && h.machinesByTask[task] > constants.FaultyTaskMachines {
		// The others of the job do well, this one fails wherever it starts:
		// that is no machine's fault.
		return constants.RetryMax, true
	}
	h.byMachine[machine] = failure{now, max(h.byMachine[machine].ran, ran)}
	if h.succeeded {
		return 0, false
	}
	if h.recentMachines(now) < constants.FaultyJobMachines && !h.JobIsFaulty() {
		return constants.RetryBase, false
	}
	if !jobWaits {
		// Tasks that fail together count once.
		h.failedRounds++
	}
	return backoff(h.failedRounds), false
}

// maxDoublings bounds the shift in backoff: the pause is at its maximum long before.
const maxDoublings = 10

// backoff is the pause after so many rounds of failures.
func backoff(rounds int) time.Duration {
	return min(constants.RetryMax, constants.RetryBase<<min(rounds, maxDoublings))
}

// recentMachines counts the machines under suspicion on which it failed lately.
func (h *FailureHistory) recentMachines(now time.Time) int {
	recent := 0
	for _, f := range h.byMachine {
		if now.Sub(f.at) < constants.FailureWindow {
			recent++
		}
	}
	return recent
}

// RecordSuccess takes in that a task of the job has finished.
func (h *FailureHistory) RecordSuccess() {
	h.succeeded = true
	h.ClearJob()
}

// ClearJob takes back that the job is faulty: it has shown that it is not.
func (h *FailureHistory) ClearJob() { h.failedRounds = 0 }

// TakeFaultyMachines names the machines whose fault the job's failures were: it did
// better elsewhere. runs is for how long its tasks have run, by machine. A machine is
// named once. Failures too old to count are dropped.
func (h *FailureHistory) TakeFaultyMachines(runs map[string]time.Duration, now time.Time) (machines []string) {
	for name, f := range h.byMachine {
		if now.Sub(f.at) >= constants.FailureWindow {
			delete(h.byMachine, name)
			continue
		}
		if h.succeeded || ranLongerElsewhere(runs, name, f.ran) {
			machines = append(machines, name)
			delete(h.byMachine, name)
		}
	}
	return machines
}

// ranLongerElsewhere tells whether a task ran clearly longer on a machine other than
// the named one than those that failed there.
func ranLongerElsewhere(runs map[string]time.Duration, machine string, failedAfter time.Duration) bool {
	for other, ran := range runs {
		if other != machine && ran > failedAfter+constants.FailureAttributionMargin {
			return true
		}
	}
	return false
}
