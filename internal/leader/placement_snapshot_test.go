package leader

import (
	"testing"
	"time"

	"thornnotch/internal/constants"
)

// TestSilentMachineGetsNoWork guards against Peakdale's days with a partition: work
// was placed on machines beyond it until their leases were over.
func TestSilentMachineGetsNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	l := testLeader(t)
	silent, heard := addMachine(l, "m-1", "east", now), addMachine(l, "m-2", "east", now)
	now = now.Add(l.silenceTolerance() + constants.IdleReplyHold + time.Second)
	if now.Sub(silent.agent.LastHeartbeat) >= l.lease {
		t.Fatal("the lease is over: nothing is tested")
	}
	heard.agent.LastHeartbeat = now
	addJob(t, l, arraySpec("j-1", 3), now)
	l.runSchedulingPass(now)
	if len(silent.agent.Attempts) != 0 || len(heard.agent.Attempts) != 3 {
		t.Errorf("%d placed on the silent machine, %d on the other", len(silent.agent.Attempts), len(heard.agent.Attempts))
	}
}
