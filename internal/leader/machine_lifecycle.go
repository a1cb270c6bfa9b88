package leader

import "time"

// machineLifecycle is how a machine comes to be given back to the cloud: it is marked as
// leaving, its record says so, and only then is the cloud told. So a later leader never
// counts on a machine that may be gone.
type machineLifecycle struct {
	leaving bool
	// leavingRecorded is set once the record says so.
	leavingRecorded bool
	// idleSince is since when nothing runs on it.
	idleSince time.Time
}

// restore takes in what the machine's record says.
func (c *machineLifecycle) restore(leaving bool) { c.leaving, c.leavingRecorded = leaving, leaving }

// isLeaving tells whether the machine is being returned; it gets no more tasks.
func (c *machineLifecycle) isLeaving() bool { return c.leaving }

// beginLeaving marks the machine as leaving. Once its record stands, leavingStands must be
// called.
func (c *machineLifecycle) beginLeaving() { c.leaving, c.leavingRecorded = true, false }

// leavingStands notes that the machine's record says what it is.
func (c *machineLifecycle) leavingStands() { c.leavingRecorded = c.leaving }

// mayBeReturned tells whether the cloud may be told.
func (c *machineLifecycle) mayBeReturned() bool { return c.leaving && c.leavingRecorded }

// noteBusy notes that the machine is in use, or has only just come up.
func (c *machineLifecycle) noteBusy(now time.Time) { c.idleSince = now }

// idleFor is for how long nothing has run on the machine.
func (c *machineLifecycle) idleFor(now time.Time) time.Duration { return now.Sub(c.idleSince) }
