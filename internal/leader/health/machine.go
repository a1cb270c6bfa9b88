package health

import (
	"time"

	"thornnotch/internal/constants"
)

// Machine is what keeps one machine from new tasks for the sake of its health. Its
// zero value is a machine that nothing is known against.
type Machine struct {
	faulty bool
	// failedJobs are the jobs that failed on it of which it is not known yet whether
	// they fail elsewhere too; suspectUntil is until when it gets no tasks for that.
	failedJobs   map[string]bool
	suspectUntil time.Time
	// slowUntil is until when it gets no tasks for slowness; slowSignals are the
	// recent signs of it, slowCount is how often it was found slow.
	slowUntil   time.Time
	slowSignals []time.Time
	slowCount   int
}

// AcceptsTasks tells whether new tasks may be put on the machine.
func (m *Machine) AcceptsTasks(now time.Time) bool {
	return !m.faulty && !now.Before(m.suspectUntil) && !m.Slow(now)
}

// Faulty tells whether the machine is in quarantine.
func (m *Machine) Faulty() bool { return m.faulty }

// Quarantine takes the machine for faulty, for good. It reports false if it was
// already.
func (m *Machine) Quarantine() bool {
	if m.faulty {
		return false
	}
	m.faulty = true
	return true
}

// Suspect takes in that a job failed on the machine. Until it is known whose fault
// it was nothing else should meet it there. It tells whether so many jobs failed that
// the machine must be faulty.
func (m *Machine) Suspect(job string, now time.Time) (faulty bool) {
	m.suspectUntil = now.Add(constants.SuspectMachinePause)
	if m.failedJobs == nil {
		m.failedJobs = make(map[string]bool)
	}
	m.failedJobs[job] = true
	return len(m.failedJobs) >= constants.FaultyMachineJobs
}

// ClearSuspicion takes back what the failure of a job has said against the machine.
func (m *Machine) ClearSuspicion(job string) {
	if !m.failedJobs[job] {
		return
	}
	delete(m.failedJobs, job)
	if len(m.failedJobs) == 0 {
		m.suspectUntil = time.Time{}
	}
}

// RecordSuccess takes in that the machine has carried a task to its end: failures
// before that no longer add up against it.
func (m *Machine) RecordSuccess() { m.failedJobs = nil }

// Slow tells whether the machine is kept from new tasks for slowness.
func (m *Machine) Slow(now time.Time) bool { return now.Before(m.slowUntil) }

// AddSlowSignals takes in what the run time of a finished task says.
func (m *Machine) AddSlowSignals(signals int, now time.Time) {
	for range signals {
		m.slowSignals = append(m.slowSignals, now)
	}
}

// SlowSignals is how many signs of slowness finished tasks have given lately.
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

// maxPauseDoublings bounds how often the pause for slowness doubles.
const maxPauseDoublings = 4

// MarkSlow keeps the machine from new tasks for a while, the longer the more often it
// was found slow, and tells how long that is.
func (m *Machine) MarkSlow(now time.Time) (pause time.Duration) {
	m.slowCount++
	pause = min(constants.StragglerPause<<min(m.slowCount-1, maxPauseDoublings), constants.MaxStragglerPause)
	m.slowUntil = now.Add(pause)
	m.slowSignals = nil
	return pause
}
