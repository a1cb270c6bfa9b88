package placement

import (
	"fmt"
	"testing"
)

// TestLargeTasksLookAtFewMachines: small tasks keep nearly every machine of a full fleet
// among those with room for some task. Gangs of whole machines look at those that have
// room for them alone, however many the others are: on a trial day at 6,000 machines 60
// gangs looked at all of them in every pass, which took most of its time.
func TestLargeTasksLookAtFewMachines(t *testing.T) {
	const gangs, empty = 50, 8
	looked := make(map[int]int)
	for _, machines := range []int{500, 6000} {
		w := &Snapshot{Teams: map[string]*Team{"a": {Limit: Resources{GPUs: 1e6}}}}
		busy := sweepJob("j-0", "a", 1)
		for i := range machines {
			r := oneRig()
			r.Name = fmt.Sprintf("m-%06d", i)
			if i >= empty {
				r.RunningTasks = []RunningTask{{Job: busy, Resources: Resources{CPUs: r.Total.CPUs / 2, GPUs: r.Total.GPUs, MemoryGB: 1}}}
			}
			w.Machines = append(w.Machines, r)
		}
		for i := range gangs {
			j := sweepJob(fmt.Sprintf("j-1%03d", i), "a", 1)
			j.Spec.Kind, j.Spec.Tasks, j.Spec.GPUs, j.Order = "gang", 20, w.Machines[0].Total.GPUs, uint64(i)
			j.WaitingTasks = make([]int, 20)
			w.Jobs = append(w.Jobs, j)
		}
		small := sweepJob("j-2000", "a", 1)
		small.Spec.CPUs, small.Spec.GPUs, small.Order = 1, 0, 1000
		w.Jobs = append(w.Jobs, small)
		plan := Schedule(w)
		if len(plan.Starts) != 1 {
			t.Errorf("%d machines: %d starts", machines, len(plan.Starts))
		}
		looked[machines] = plan.Examined - machines // the small one looks at all
	}
	if looked[500] != looked[6000] || looked[6000] != gangs*empty {
		t.Errorf("%d gangs looked at %d machines of 500 and %d of 6,000, want %d", gangs, looked[500], looked[6000], gangs*empty)
	}
}
