package node

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// Single faults of whole zones, each on a whole site in fake time.

// TestIsolatedZoneOfLeader: the leader and the machines of its zone are cut off together, so
// the fencing token of the next leader does not reach these machines. The tasks of a job
// cancelled meanwhile must still stop there within cancel_s: the isolated leader no longer
// accepts heartbeats, so the workers' leases expire.
func TestIsolatedZoneOfLeader(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		leader := f.leader()
		cancelledJob := testJob(45, "b", jobs.KindArray, 4)
		cancelledJob.Zone = zones[nodeNumber(leader)]
		f.runLongJob(90*time.Second, cancelledJob)
		f.cloud.SetOutage(true) // so that no machine can be returned
		defer f.cloud.SetOutage(false)
		f.isolateZoneOf(leader)
		f.mustCancel(8*time.Second, nextNodeNumber(leader), cancelledJob.ID)
		cancelledAt := time.Now()
		f.submitJob(testJob(46, "a", jobs.KindArray, 3))
		time.Sleep(37*time.Second - time.Since(cancelledAt))
		f.checkNoRunningTasks(cancelledJob.ID)
		f.healPartitions()
	})
}

// TestZonePartition: the leader's zone and another zone can't reach each other for longer than
// a lease, while both still reach the state service, the cloud and users. Tasks that ran in the
// unreachable zone must be started again on machines that the leader reaches, no task may run on
// two machines, and all nodes must answer users.
func TestZonePartition(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		leader := f.leader()
		near, far := zones[nodeNumber(leader)], zones[nextNodeNumber(leader)]
		simulator.Partition(f.zoneSide(near), f.zoneSide(far))
		for n := 60; n < 66; n++ {
			f.submitJob(testJob(n, "a", alternatingKind(n), 3))
		}
		for i := range 3 {
			f.waitFor(10*time.Second, fmt.Sprint("an answer from node ", i), func() bool { return f.status(i, jobID(60)) != "" })
		}
		time.Sleep(40 * time.Second)
		if f.leader() == "" {
			f.t.Errorf("no node leads")
		}
		f.healPartitions()
	})
}
