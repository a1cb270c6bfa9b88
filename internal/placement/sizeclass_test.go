package placement

import (
	"fmt"
	"testing"
)

// TestLargeTaskSearchExaminesFewMachines guards against long passes: while small tasks wait,
// nearly every machine of a full cluster has room for some task. In a trial with 6,000
// machines, 60 gangs examined all of them in every pass, which took most of the pass's time.
// Gangs of whole machines must examine only machines with room for them, however many others
// there are.
func TestLargeTaskSearchExaminesFewMachines(t *testing.T) {
	const gangs, empty = 50, 8
	examined := make(map[int]int)
	for _, machines := range []int{500, 6000} {
		snapshot := nearlyFullCluster(machines, empty)
		addLargeGangs(snapshot, gangs)
		small := arrayJob("j-2000", "a", 1)
		small.Spec.GPUs, small.SubmissionRevision = 0, 1000
		snapshot.Jobs = append(snapshot.Jobs, small)

		plan := Schedule(snapshot)
		if len(plan.Starts) != 1 {
			t.Errorf("%d machines: %d starts, want 1", machines, len(plan.Starts))
		}
		examined[machines] = plan.MachinesExamined - machines // the small job examines all machines
	}
	if examined[500] != examined[6000] || examined[6000] != gangs*empty {
		t.Errorf("%d gangs examined %d machines of 500 and %d of 6,000, want %d", gangs, examined[500], examined[6000], gangs*empty)
	}
}

// nearlyFullCluster returns a snapshot with a few empty machines. On the others, all GPUs and
// half of the CPUs are used.
func nearlyFullCluster(machines, empty int) *Snapshot {
	snapshot := &Snapshot{Teams: map[string]*Team{"a": {Limit: Resources{GPUs: 1e6}}}}
	busy := arrayJob("j-0", "a", 1)
	for i := range machines {
		machine := testMachine(fmt.Sprintf("m-%06d", i))
		if i >= empty {
			used := Resources{CPUs: machine.Total.CPUs / 2, GPUs: machine.Total.GPUs, MemoryGB: 1}
			machine.RunningTasks = []RunningTask{{Job: busy, Resources: used}}
		}
		snapshot.Machines = append(snapshot.Machines, machine)
	}
	return snapshot
}

// addLargeGangs adds gangs that need more whole machines than are empty.
func addLargeGangs(snapshot *Snapshot, gangs int) {
	for i := range gangs {
		gang := gangJob(fmt.Sprintf("j-1%03d", i), 1, 20)
		gang.Spec.GPUs, gang.SubmissionRevision = snapshot.Machines[0].Total.GPUs, uint64(i)
		snapshot.Jobs = append(snapshot.Jobs, gang)
	}
}
