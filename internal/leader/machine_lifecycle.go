package leader

import "time"

// machineLifecycle tracks how long a machine has been idle, and its return to the cloud: the
// machine is marked as leaving, the mark is recorded, and only then is the cloud asked to take
// the machine back. So a later leader never relies on a machine that may be gone.
type machineLifecycle struct {
	leaving bool
	// leavingRecorded is set once the leaving mark is recorded.
	leavingRecorded bool
	// idleSince is when the machine was last in use.
	idleSince time.Time
}

// restore sets the leaving mark from the machine's record.
func (m *machineLifecycle) restore(leaving bool) { m.leaving, m.leavingRecorded = leaving, leaving }

// isLeaving reports whether the machine is being returned. It then gets no more tasks.
func (m *machineLifecycle) isLeaving() bool { return m.leaving }

// beginLeaving marks the machine as leaving. markLeavingRecorded must be called once the
// mark is recorded.
func (m *machineLifecycle) beginLeaving() { m.leaving, m.leavingRecorded = true, false }

// markLeavingRecorded records that the machine's record with its current leaving mark is
// committed.
func (m *machineLifecycle) markLeavingRecorded() { m.leavingRecorded = m.leaving }

// readyToReturn reports whether the cloud may be asked to take the machine back.
func (m *machineLifecycle) readyToReturn() bool { return m.leaving && m.leavingRecorded }

// markBusy restarts the idle time of a machine that is in use or has just registered.
func (m *machineLifecycle) markBusy(now time.Time) { m.idleSince = now }

// idleFor returns for how long the machine has been idle.
func (m *machineLifecycle) idleFor(now time.Time) time.Duration { return now.Sub(m.idleSince) }
