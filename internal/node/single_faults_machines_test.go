package node

import (
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Faults of machines and of their links, each on a whole site in fake time.

// TestOneWayCut: machines whose heartbeats arrive but that replies and commands
// do not reach. Their tasks end elsewhere without a task on two machines, even
// while the cut lasts, and new work does not wait for them.
func TestOneWayCut(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		name := f.busyMachines()[0]
		f.worker(name).CutIncoming(true)
		time.Sleep(30 * time.Second) // its lease is over, and it has gone round all nodes
		before := f.placementLog.tasksGivenTo(name)
		for n := 20; n < 24; n++ {
			// What would suit it best.
			job := testJob(n, "a", jobs.KindArray, 2)
			job.Zone, job.AllowSpot = f.machinePlace(name).zone, false
			f.add(job)
		}
		// While the machine is cut off all along, every job is done in time:
		// the slowest waits for one lease to end.
		begun := time.Now()
		for n := 20; n < 24; n++ {
			id := jobID(n)
			f.waitFor(75*time.Second-time.Since(begun), id+" although a machine is deaf", func() bool { return f.status(1, id) == jobs.StatusDone })
		}
		if given := f.placementLog.tasksGivenTo(name) - before; given > 0 {
			f.t.Errorf("the deaf machine was given %d more tasks", given)
		}
		f.worker(name).CutIncoming(false)
	})
}

// TestLateCopiesOfReports: copies of every heartbeat come seconds, half a lease
// and two leases late, also over a failover.
func TestLateCopiesOfReports(t *testing.T) {
	lateCopies := func(s *site) {
		s.heartbeatCopies = []time.Duration{3 * time.Second, 7 * time.Second, 26 * time.Second}
	}
	runWithFault(t, lateCopies, func(f *faultScenario) {
		time.Sleep(10 * time.Second)
		leader := f.leader()
		f.killNode(leader)
		f.waitForLeader(10*time.Second, leader)
		f.add(testJob(30, "a", jobs.KindGang, 3))
		f.startNode(nodeNumber(leader))
		for n := 31; n < 35; n++ {
			f.add(testJob(n, "b", jobs.KindArray, 4))
		}
		time.Sleep(30 * time.Second)
	})
}

// TestHangingMachines: machines stand still for longer than their lease while
// their tasks start elsewhere, and then go on. No task runs twice.
func TestHangingMachines(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		names := f.busyMachines()
		setHang := func(hang bool) {
			for _, name := range names {
				f.worker(name).SetHanging(hang)
			}
		}
		setHang(true)
		f.add(testJob(20, "b", jobs.KindGang, 3))
		time.Sleep(16 * time.Second) // lease 12 s
		setHang(false)
		time.Sleep(3 * time.Second)
		setHang(true) // and for less than a lease
		time.Sleep(7 * time.Second)
		setHang(false)
	})
}

// TestManyMachinesDie: half of all machines end at once with all that is on
// them. What ran there runs elsewhere, and the dead are replaced and returned.
func TestManyMachinesDie(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		names := f.busyMachines()
		if len(names) < 2 {
			f.t.Fatalf("only %d machines at work", len(names))
		}
		for _, name := range names {
			f.cloud.Fail(name)
		}
		for n := range 3 {
			f.add(testJob(20+n, "a", jobs.KindArray, 3))
		}
	})
}

// TestFaultyMachines: machines that fail every task they start. Jobs of all kinds
// end in time although they meet them, over a failover too, which forgets what was
// known; the machines get little and go back, and a job that was submitted with a
// mistake ends no good machine.
func TestFaultyMachines(t *testing.T) {
	runWithFault(t, nil, func(f *faultScenario) {
		faulty := f.machineNames()[:2]
		before := map[string]int{}
		for _, name := range faulty {
			f.worker(name).SetFaulty(true)
			before[name] = f.placementLog.tasksGivenTo(name)
		}
		for n := 50; n < 58; n++ {
			f.add(testJob(n, teamOf(n), kindOf(n), 3))
			if n == 53 {
				f.restartNode(f.leader(), 0)
			}
		}
		begun := time.Now()
		for n := 50; n < 58; n++ {
			id := jobID(n)
			f.waitFor(2*time.Minute-time.Since(begun), id+" although machines fail", func() bool { return f.status(1, id) == jobs.StatusDone })
		}
		met := 0
		for _, name := range faulty {
			given := f.placementLog.tasksGivenTo(name) - before[name]
			if given > 20 {
				f.t.Errorf("the faulty machine %s was given %d tasks", name, given)
			}
			if given > 0 {
				met++
				f.waitFor(time.Minute, name+" found and given back", func() bool {
					return f.placementLog.hasQuarantined(name) && !f.cloud.IsRented(name)
				})
			}
		}
		if met == 0 {
			f.t.Errorf("no task met a faulty machine: nothing was tested")
		}
	})
}

// checkDoneOnce demands that each task of a job was done exactly once.
func (f *faultScenario) checkDoneOnce(job *jobs.Spec) {
	f.t.Helper()
	completions := f.rules.allCompletions()
	for i := range job.Tasks {
		if times := completions[workers.TaskID{Job: job.ID, Index: i}]; times != 1 {
			f.t.Errorf("task %d ran %d times", i, times)
		}
	}
}
