// Package health assesses machines by the tasks that run on them: it attributes task failures
// to machines or jobs, and detects machines that run their tasks slowly. It does no I/O and
// identifies jobs and machines by name.
//
// All state is in memory. After a failover a faulty machine has to fail a task again, and a
// faulty job has to fail on several machines again, before they are recognized.
package health

import (
	"time"

	"thornnotch/internal/constants"
)

// failure summarizes the failures of one job's tasks on one machine.
type failure struct {
	at  time.Time     // time of the latest failure
	ran time.Duration // longest run time before a failure
}

// FailureHistory tracks the failures of one job's tasks and attributes them to machines or to
// the job itself. The zero value is an empty history.
//
// A task may fail because its machine is faulty and fails every task, or because its job is
// faulty and fails on every machine. The job's tasks on other machines tell the two apart.
// Without this distinction a faulty machine with free resources and cached images, which fails
// its tasks immediately, would attract task after task; and a job that had eight tasks fail at
// once on such a machine would be held back as if it failed everywhere.
type FailureHistory struct {
	// byMachine holds the machines with failures that are not attributed yet.
	byMachine map[string]failure
	// succeeded is set once a task of the job has succeeded: the job is not faulty.
	succeeded bool
	// failedRounds counts the consecutive rounds of failures since the job was found
	// faulty; zero if the job does not count as faulty.
	failedRounds int
	// failuresByTask counts the failures of each task. As the job avoids a machine after a
	// failure, each failure is normally on a different machine.
	failuresByTask map[int]int
}

// JobIsFaulty reports whether the job counts as faulty, that is, as failing on every machine.
func (h *FailureHistory) JobIsFaulty() bool { return h.failedRounds > 0 }

// HasUnattributed reports whether there are failures that are not attributed yet.
func (h *FailureHistory) HasUnattributed() bool { return len(h.byMachine) > 0 }

// SuspectMachines returns the machines with unattributed failures.
func (h *FailureHistory) SuspectMachines() []string {
	names := make([]string, 0, len(h.byMachine))
	for name := range h.byMachine {
		names = append(names, name)
	}
	return names
}

// Record records the failure of a task that ran on a machine for the given time; inBackoff is
// set if the job is already in backoff after an earlier failure. It returns the pause before
// the job may be retried or, if taskOnly is set, before this task may be.
func (h *FailureHistory) Record(machine string, task int, ran time.Duration, inBackoff bool, now time.Time) (pause time.Duration, taskOnly bool) {
	if h.byMachine == nil {
		h.byMachine, h.failuresByTask = make(map[string]failure), make(map[int]int)
	}
	h.failuresByTask[task]++
	if h.succeeded && h.failuresByTask[task] > constants.FaultyTaskMaxFailures {
		// Only this task of the job fails on every machine, so the machines are not to
		// blame.
		return constants.MaxTaskRetryDelay, true
	}
	h.byMachine[machine] = failure{now, max(h.byMachine[machine].ran, ran)}
	if h.succeeded {
		return 0, false
	}
	if h.recentMachines(now) < constants.FaultyJobMinMachines && !h.JobIsFaulty() {
		return constants.MinTaskRetryDelay, false
	}
	if !inBackoff {
		// Failures during a backoff belong to the round that led to it and do not count.
		h.failedRounds++
	}
	return backoff(h.failedRounds), false
}

// maxDoublings bounds the shift in backoff to avoid overflow. The pause reaches
// MaxTaskRetryDelay long before.
const maxDoublings = 10

// backoff returns the pause after the given number of failed rounds.
func backoff(rounds int) time.Duration {
	return min(constants.MaxTaskRetryDelay, constants.MinTaskRetryDelay<<min(rounds, maxDoublings))
}

// recentMachines counts the suspect machines with a failure within FailureWindow.
func (h *FailureHistory) recentMachines(now time.Time) int {
	recent := 0
	for _, f := range h.byMachine {
		if now.Sub(f.at) < constants.FailureWindow {
			recent++
		}
	}
	return recent
}

// RecordSuccess records that a task of the job has succeeded: the job is not faulty.
func (h *FailureHistory) RecordSuccess() {
	h.succeeded = true
	h.ClearJobFault()
}

// ClearJobFault withdraws the finding that the job is faulty.
func (h *FailureHistory) ClearJobFault() { h.failedRounds = 0 }

// TakeFaultyMachines returns the machines to blame for failures of the job, because the job
// has succeeded or has run much longer elsewhere. runs holds the longest run time of the job's
// running tasks, by machine. The failures on the returned machines are removed, as are those
// older than FailureWindow.
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

// ranLongerElsewhere reports whether a task on another machine ran longer than failedAfter by
// more than FailureAttributionMargin.
func ranLongerElsewhere(runs map[string]time.Duration, machine string, failedAfter time.Duration) bool {
	for other, ran := range runs {
		if other != machine && ran > failedAfter+constants.FailureAttributionMargin {
			return true
		}
	}
	return false
}
