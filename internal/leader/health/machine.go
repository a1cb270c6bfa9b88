package health

import (
	"time"

	"thornnotch/internal/constants"
)

// Machine tracks the health of one machine, which decides whether it gets new tasks. The zero
// value is a healthy machine.
type Machine struct {
	faulty bool
	// failedJobs holds the jobs that failed on the machine and are not known to fail
	// elsewhere too. The machine gets no tasks until suspectUntil because of them.
	failedJobs   map[string]bool
	suspectUntil time.Time
	// The machine gets no tasks until slowUntil because it is slow. slowSignals holds the
	// times of recent signs of slowness, slowCount how often it was marked slow.
	slowUntil   time.Time
	slowSignals []time.Time
	slowCount   int
}

// AcceptsTasks reports whether new tasks may be placed on the machine.
func (m *Machine) AcceptsTasks(now time.Time) bool {
	return !m.faulty && !now.Before(m.suspectUntil) && !m.Slow(now)
}

// Faulty reports whether the machine is quarantined.
func (m *Machine) Faulty() bool { return m.faulty }

// Quarantine marks the machine as faulty permanently. It reports whether this changed its
// state.
func (m *Machine) Quarantine() bool {
	if m.faulty {
		return false
	}
	m.faulty = true
	return true
}

// MarkSuspect records that a job failed on the machine and blocks new tasks for
// SuspectMachinePause, so that no other job fails there before the cause is known. It reports
// whether so many different jobs have failed that the machine must be faulty.
func (m *Machine) MarkSuspect(job string, now time.Time) (faulty bool) {
	m.suspectUntil = now.Add(constants.SuspectMachinePause)
	if m.failedJobs == nil {
		m.failedJobs = make(map[string]bool)
	}
	m.failedJobs[job] = true
	return len(m.failedJobs) >= constants.FaultyMachineMinJobs
}

// ClearSuspicion withdraws the suspicion that a job's failure raised against the machine.
func (m *Machine) ClearSuspicion(job string) {
	if !m.failedJobs[job] {
		return
	}
	delete(m.failedJobs, job)
	if len(m.failedJobs) == 0 {
		m.suspectUntil = time.Time{}
	}
}

// RecordSuccess records that a task succeeded on the machine. Earlier failures no longer count
// against it.
func (m *Machine) RecordSuccess() { m.failedJobs = nil }

// Slow reports whether the machine gets no new tasks because it is slow.
func (m *Machine) Slow(now time.Time) bool { return now.Before(m.slowUntil) }

// AddSlowSignals adds the signs of slowness from a finished task.
func (m *Machine) AddSlowSignals(signals int, now time.Time) {
	for range signals {
		m.slowSignals = append(m.slowSignals, now)
	}
}

// SlowSignals returns the number of signs of slowness from tasks that finished within
// StragglerSignalWindow.
func (m *Machine) SlowSignals(now time.Time) int {
	kept := m.slowSignals[:0]
	for _, at := range m.slowSignals {
		if now.Sub(at) < constants.StragglerSignalWindow {
			kept = append(kept, at)
		}
	}
	m.slowSignals = kept
	return len(kept)
}

// maxPauseDoublings bounds the shift of StragglerPause.
const maxPauseDoublings = 4

// MarkSlow blocks new tasks on the machine for a pause that doubles each time, up to
// MaxStragglerPause, and returns the pause.
func (m *Machine) MarkSlow(now time.Time) (pause time.Duration) {
	m.slowCount++
	pause = min(constants.StragglerPause<<min(m.slowCount-1, maxPauseDoublings), constants.MaxStragglerPause)
	m.slowUntil = now.Add(pause)
	m.slowSignals = nil
	return pause
}
