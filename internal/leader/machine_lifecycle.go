package leader

import "time"

// machineLifecycle tracks the return of a machine to the cloud: the machine is marked as
// leaving, the mark is recorded, and only then is the cloud asked to take the machine back.
// So a later leader never relies on a machine that may be gone.
type machineLifecycle struct {
	leaving bool
	// leavingRecorded is set once the leaving mark is recorded.
	leavingRecorded bool
	// idleSince is when the machine was last in use.
	idleSince time.Time
}

// restore sets the state from the machine's record.
func (c *machineLifecycle) restore(leaving bool) { c.leaving, c.leavingRecorded = leaving, leaving }

// isLeaving reports whether the machine is being returned. It then gets no more tasks.
func (c *machineLifecycle) isLeaving() bool { return c.leaving }

// beginLeaving marks the machine as leaving. markLeavingRecorded must be called once the
// mark is recorded.
func (c *machineLifecycle) beginLeaving() { c.leaving, c.leavingRecorded = true, false }

// markLeavingRecorded records that the machine's record has been written with its present
// leaving mark.
func (c *machineLifecycle) markLeavingRecorded() { c.leavingRecorded = c.leaving }

// readyToReturn reports whether the cloud may be asked to take the machine back.
func (c *machineLifecycle) readyToReturn() bool { return c.leaving && c.leavingRecorded }

// markBusy restarts the idle time of a machine that is in use or has just registered.
func (c *machineLifecycle) markBusy(now time.Time) { c.idleSince = now }

// idleFor returns for how long the machine has been idle.
func (c *machineLifecycle) idleFor(now time.Time) time.Duration { return now.Sub(c.idleSince) }
