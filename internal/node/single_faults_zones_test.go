package node

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// Faults of whole zones, each on a whole site in fake time.

// TestZoneCutOffFromEverything: the leader and the machines of its zone are cut
// off together, so no new token reaches them. A job that is cancelled
// meanwhile is gone there in time, as the leader lets its workers go.
func TestZoneCutOffFromEverything(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		leader := f.leader()
		victim := testJob(45, "b", jobs.KindArray, 4)
		victim.Zone = zones[nodeNumber(leader)]
		f.runLongJob(90*time.Second, victim)
		f.cloud.SetOutage(true) // nobody can take the machines back
		defer f.cloud.SetOutage(false)
		f.cutZone(leader)
		f.mustCancel(8*time.Second, nodeAfter(leader), victim.ID)
		cancelledAt := time.Now()
		f.add(testJob(46, "a", jobs.KindArray, 3))
		time.Sleep(37*time.Second - time.Since(cancelledAt))
		f.checkGone(victim.ID)
		f.heal()
	})
}

// TestZonesApart: the leader's zone and another can't reach each other, while both
// reach the state service, the cloud and the users, for longer than a lease. What
// ran in the far zone begins again, on the leader's side meanwhile, and no task
// is on two machines; users are answered by all nodes.
func TestZonesApart(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		leader := f.leader()
		near, far := zones[nodeNumber(leader)], zones[nodeAfter(leader)]
		simulator.Partition(f.zoneSide(near), f.zoneSide(far))
		for n := 60; n < 66; n++ {
			f.add(testJob(n, "a", kindOf(n), 3))
		}
		for i := range 3 {
			f.waitFor(10*time.Second, fmt.Sprint("an answer from node ", i), func() bool { return f.status(i, jobID(60)) != "" })
		}
		time.Sleep(40 * time.Second)
		if f.leader() == "" {
			f.t.Errorf("nobody leads")
		}
		f.heal()
	})
}
