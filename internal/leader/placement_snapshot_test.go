package leader

import (
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestSilentMachineGetsNoTasks guards against placing tasks on machines behind a network
// partition, which used to continue until their leases expired.
func TestSilentMachineGetsNoTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	silent, reporting := addMachine(l, "m-1", "east", now), addMachine(l, "m-2", "east", now)
	now = now.Add(l.silenceTolerance() + constants.IdleReplyHold + time.Second)
	if now.Sub(silent.worker.LastMessageAt) >= l.lease {
		t.Fatal("the lease has expired, so the test shows nothing")
	}
	reporting.worker.LastMessageAt = now
	addJob(t, l, arraySpec("j-1", 3), now)
	l.runSchedulingPass(now)
	if len(silent.worker.Attempts) != 0 || len(reporting.worker.Attempts) != 3 {
		t.Errorf("%d tasks placed on the silent machine, %d on the reporting one; want 0 and 3", len(silent.worker.Attempts), len(reporting.worker.Attempts))
	}
}
