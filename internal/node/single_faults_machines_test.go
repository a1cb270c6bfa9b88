package node

import (
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Single faults of machines and of their network links, each on a whole site in fake time.

// TestOneWayPartition: a machine's heartbeats arrive, but neither replies nor direct commands
// reach it. Its tasks must complete on other machines while the partition lasts, without ever
// running on two machines, and new jobs must not be placed on it.
func TestOneWayPartition(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		name := f.busyMachines()[0]
		f.worker(name).BlockIncoming(true)
		time.Sleep(30 * time.Second) // its lease has expired, and it has tried all nodes
		before := f.placementLog.tasksPlacedOn(name)
		for n := 20; n < 24; n++ {
			// The cut-off machine would be the best fit for this job.
			job := testJob(n, "a", jobs.KindArray, 2)
			job.Zone, job.AllowSpot = f.machineLocation(name).zone, false
			f.submitJob(job)
		}
		// Every job must complete in time while the machine is still cut off: the slowest job
		// waits for one lease to expire.
		startedAt := time.Now()
		for n := 20; n < 24; n++ {
			id := jobID(n)
			f.waitFor(75*time.Second-time.Since(startedAt), id+" done although replies to a machine are lost", func() bool { return f.status(1, id) == jobs.StatusDone })
		}
		if placed := f.placementLog.tasksPlacedOn(name) - before; placed > 0 {
			f.t.Errorf("%d more tasks were placed on the machine that replies do not reach, want none", placed)
		}
		f.worker(name).BlockIncoming(false)
	})
}

// TestDelayedDuplicateHeartbeats: duplicates of every heartbeat arrive 3 s, 7 s and 26 s late
// (the lease is 12 s), also after a failover. Guards against a leader that treats a
// duplicate as the machine's current state.
func TestDelayedDuplicateHeartbeats(t *testing.T) {
	delayDuplicates := func(s *site) {
		s.heartbeatDuplicateDelays = []time.Duration{3 * time.Second, 7 * time.Second, 26 * time.Second}
	}
	runSingleFaultScenario(t, delayDuplicates, func(f *singleFaultScenario) {
		time.Sleep(10 * time.Second)
		leader := f.leader()
		f.killNode(leader)
		f.waitForLeader(10*time.Second, leader)
		f.submitJob(testJob(30, "a", jobs.KindGang, 3))
		f.startNode(nodeNumber(leader))
		for n := 31; n < 35; n++ {
			f.submitJob(testJob(n, "b", jobs.KindArray, 4))
		}
		time.Sleep(30 * time.Second)
	})
}

// TestHungMachinesResume: machines hang for longer than their lease, so that their tasks are
// started elsewhere, and then resume. No task may run on two machines.
func TestHungMachinesResume(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		names := f.busyMachines()
		setHanging := func(hanging bool) {
			for _, name := range names {
				f.worker(name).SetHanging(hanging)
			}
		}
		setHanging(true)
		f.submitJob(testJob(20, "b", jobs.KindGang, 3))
		time.Sleep(16 * time.Second) // the lease is 12 s
		setHanging(false)
		time.Sleep(3 * time.Second)
		setHanging(true) // now for less than a lease
		time.Sleep(7 * time.Second)
		setHanging(false)
	})
}

// TestManyMachinesFail: all machines that run tasks, about half of the site's, fail at once.
// Their tasks must be started again on other machines, while the failed ones are replaced and
// returned.
func TestManyMachinesFail(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		names := f.busyMachines()
		if len(names) < 2 {
			f.t.Fatalf("only %d machines run tasks", len(names))
		}
		for _, name := range names {
			f.cloud.FailMachine(name)
		}
		for n := range 3 {
			f.submitJob(testJob(20+n, "a", jobs.KindArray, 3))
		}
	})
}

// TestFaultyMachinesAreQuarantined: two machines fail every task that they start. Jobs of all
// kinds must complete in time although some of their tasks start there, also across a
// failover, which loses what the leader knew of machines' failures. A faulty machine must get
// at most 20 tasks, be quarantined and be returned.
func TestFaultyMachinesAreQuarantined(t *testing.T) {
	runSingleFaultScenario(t, nil, func(f *singleFaultScenario) {
		faulty := f.machineNames()[:2]
		before := map[string]int{}
		for _, name := range faulty {
			f.worker(name).SetFaulty(true)
			before[name] = f.placementLog.tasksPlacedOn(name)
		}
		for n := 50; n < 58; n++ {
			f.submitJob(testJob(n, alternatingTeam(n), alternatingKind(n), 3))
			if n == 53 {
				f.restartNode(f.leader(), 0)
			}
		}
		startedAt := time.Now()
		for n := 50; n < 58; n++ {
			id := jobID(n)
			f.waitFor(2*time.Minute-time.Since(startedAt), id+" done although machines fail their tasks", func() bool { return f.status(1, id) == jobs.StatusDone })
		}
		usedMachines := 0
		for _, name := range faulty {
			placed := f.placementLog.tasksPlacedOn(name) - before[name]
			if placed > 20 {
				f.t.Errorf("%s, a faulty machine, was given %d tasks, want at most 20", name, placed)
			}
			if placed > 0 {
				usedMachines++
				f.waitFor(time.Minute, name+" quarantined and returned", func() bool {
					return f.placementLog.wasQuarantined(name) && !f.cloud.IsRented(name)
				})
			}
		}
		if usedMachines == 0 {
			f.t.Errorf("no task was placed on a faulty machine: nothing was tested")
		}
	})
}

// checkTasksDoneOnce checks that each task of a job has completed exactly once.
func (f *singleFaultScenario) checkTasksDoneOnce(job *jobs.Spec) {
	f.t.Helper()
	completions := f.rules.completionCounts()
	for i := range job.Tasks {
		if times := completions[workers.TaskID{Job: job.ID, Index: i}]; times != 1 {
			f.t.Errorf("task %d completed %d times, want once", i, times)
		}
	}
}
