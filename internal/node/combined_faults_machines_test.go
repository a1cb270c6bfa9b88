package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// Tests of faults of machines and their network links, combined with other faults.

// TestCombinedNewMachinesDelayedWrites: new machines boot within two seconds and get tasks
// at once while writes are delayed or lose their reply, and the leader is restarted. Guards
// against a leader that starts a task before the record of its start is written.
func TestCombinedNewMachinesDelayedWrites(t *testing.T) {
	options := smallSiteOptions()
	options.bootTime = 1500 * time.Millisecond
	for seed := range uint64(seedsPerScenario) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenarioOnce(t, options, seed, nil, func(sc *scenario) {
				sc.state.SetTxnFaults(sc.delayedAndLostWrites())
				machinesBefore := len(sc.machineNames())
				sc.submitNext(longJob("a", jobs.KindArray, 9, 40))
				gang := sc.submitNext(longJob("b", jobs.KindGang, 4, 40))
				sc.waitFor(60*time.Second, "new machines to boot", func() bool { return len(sc.machineNames()) > machinesBefore })
				time.Sleep(sc.randomDuration(0, 4*time.Second))
				sc.restartLeader(sc.randomDuration(100*time.Millisecond, 4*time.Second))
				time.Sleep(sc.randomDuration(0, 5*time.Second))
				if sc.intn(2) == 0 {
					sc.cancel(gang)
				}
				time.Sleep(20 * time.Second)
				machines, counts := len(sc.machineNames()), sc.state.CountFaults()
				sc.checkFaultsOccurred(machines > machinesBefore && counts.LateApplied+counts.LateRejected > 0, "%d machines, %d before; %+v", machines, machinesBefore, counts)
			})
		})
	}
}

// delayedAndLostWrites returns a fault function that delays three in four transactions with
// writes. The fourth loses its reply and is applied late.
func (sc *scenario) delayedAndLostWrites() func(node string, writes int) simulator.TxnFault {
	losesReply := sc.oneInEvery(4)
	delayed := sc.delayedWrites(100*time.Millisecond, time.Second)
	return func(node string, writes int) simulator.TxnFault {
		if losesReply(writes) {
			return simulator.TxnFault{ReplyLost: true, After: sc.randomDuration(500*time.Millisecond, 6*time.Second)}
		}
		return delayed(node, writes)
	}
}

// TestCombinedDelayedHeartbeats: delayed heartbeats reach a new leader only after it has
// cancelled a job and accepted new ones. Guards against a leader that acts on the outdated
// state in them.
func TestCombinedDelayedHeartbeats(t *testing.T) {
	runScenario(t, func(s *site) { s.maxKeptHeartbeats = 3 }, func(sc *scenario) {
		array := sc.submitNext(longJob("a", jobs.KindArray, 5, 25))
		gang := sc.submitNext(longJob("b", jobs.KindGang, 3, 25))
		sc.waitAllTasksRunning(array, gang)
		oldLeader := sc.awaitLeader("")
		names := sc.machineNames()
		sc.killNode(oldLeader)
		newLeader := nodeNumber(sc.awaitLeader(oldLeader))
		// Before the old heartbeats arrive, the new leader cancels a job and accepts new ones.
		sc.cancel(gang)
		for range 3 {
			sc.submitNext(testJob(0, "b", jobs.KindArray, 2))
		}
		for _, name := range names {
			sc.worker(name).BlockOutgoing(true) // so that no further heartbeat reaches the leader
		}
		time.Sleep(sc.randomDuration(0, 14*time.Second))
		sent := 0
		for _, name := range names {
			sent += sc.worker(name).ResendHeartbeats(sc.users.ctx, nodeAddress(newLeader))
		}
		sc.checkFaultsOccurred(sent > 0, "no heartbeat was resent")
		for _, name := range names {
			sc.worker(name).BlockOutgoing(false)
		}
		sc.startNode(nodeNumber(oldLeader))
		sc.sleepPastCancelDeadline()
	})
}

// TestCombinedOldHeartbeatsDuringElection: old heartbeats reach every node while a new
// leader is elected and starts its term. Guards against a new leader that treats them as the
// machines' current state.
func TestCombinedOldHeartbeatsDuringElection(t *testing.T) {
	runScenario(t, func(s *site) { s.maxKeptHeartbeats = 2 }, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 5, 25))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 25))
		sc.waitAllTasksRunning(id)
		oldLeader := sc.awaitLeader("")
		names := sc.machineNames()
		sc.killNode(oldLeader)
		end := time.Now().Add(6 * time.Second)
		resends, elected := 0, false
		for time.Now().Before(end) {
			for _, name := range names {
				sc.runAfter(0, func() { sc.resendHeartbeats(name) })
				resends++
			}
			elected = elected || sc.leader() != ""
			time.Sleep(sc.randomDuration(50*time.Millisecond, 400*time.Millisecond))
		}
		sc.checkFaultsOccurred(resends > 0 && elected, "%d resends, leader elected: %v", resends, elected)
		sc.startNode(nodeNumber(oldLeader))
		sc.submitNext(testJob(0, "a", jobs.KindGang, 3))
	})
}

// resendHeartbeats makes a machine send the heartbeats that it has kept to all nodes.
func (sc *scenario) resendHeartbeats(machine string) {
	for i := range 3 {
		sc.worker(machine).ResendHeartbeats(sc.users.ctx, nodeAddress(i))
	}
}

// TestCombinedZoneBoundJobsLoseMachines: jobs that are restricted to one zone, arrays as well as
// gangs, lose machines. Guards against a fault that this test found: such jobs waited forever
// once there were enough machines in other zones.
func TestCombinedZoneBoundJobsLoseMachines(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		zone := zones[sc.intn(3)]
		var ids []string
		for n := range 3 {
			job := longJob(alternatingTeam(n), alternatingKind(n), 3, 40)
			job.Zone = zone
			ids = append(ids, sc.submitNext(job))
		}
		sc.waitAllTasksRunning(ids[0], ids[1])
		failed := 0
		for _, name := range slices.Compact(append(sc.runningMachinesOf(ids[0]), sc.runningMachinesOf(ids[1])...)) {
			if failed < 2 {
				sc.cloud.FailMachine(name)
				failed++
				time.Sleep(sc.randomDuration(0, 3*time.Second))
			}
		}
		if sc.intn(2) == 0 {
			sc.restartLeader(sc.randomDuration(100*time.Millisecond, 3*time.Second))
		}
		sc.checkFaultsOccurred(failed > 0, "no machine failed")
	})
}

// TestCombinedDuplicateHeartbeats: delayed copies of heartbeats arrive after newer
// heartbeats, some of them from an earlier epoch or attempt. Guards against a leader that treats
// them as the machines' current state.
func TestCombinedDuplicateHeartbeats(t *testing.T) {
	duplicateHeartbeats := func(s *site) {
		s.heartbeatDuplicateDelays = []time.Duration{3 * time.Second, 9 * time.Second, 21 * time.Second}
	}
	runScenario(t, duplicateHeartbeats, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 6, 30))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 30))
		sc.waitAllTasksRunning(id)
		// Machines whose lease expires start a new epoch, and their tasks a new attempt.
		unreachableMachines := sc.runningMachinesOf(id)[:2]
		for _, name := range unreachableMachines {
			sc.worker(name).BlockIncoming(true)
		}
		time.Sleep(sc.randomDuration(13*time.Second, 20*time.Second))
		for _, name := range unreachableMachines {
			sc.worker(name).BlockIncoming(false)
		}
		time.Sleep(sc.randomDuration(0, 6*time.Second))
		sc.restartLeader(sc.randomDuration(100*time.Millisecond, 3*time.Second))
		sc.submitNext(testJob(0, "b", jobs.KindGang, 3))
		time.Sleep(25 * time.Second)
		starts := sc.rules.startCount()
		sc.checkFaultsOccurred(starts > 20, "%d tasks started", starts)
	})
}

// TestCombinedWorkersCannotReachNodes: workers can't connect to any node, while direct
// commands still reach them. Guards against a leader that treats their replies to direct
// commands as lease renewals. A lease counts from the last acknowledged heartbeat.
func TestCombinedWorkersCannotReachNodes(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		array := sc.submitNext(longJob("a", jobs.KindArray, 6, 30))
		gang := sc.submitNext(longJob("b", jobs.KindGang, 3, 60))
		sc.waitAllTasksRunning(array, gang)
		cutOffMachines := slices.Compact(append(sc.runningMachinesOf(array)[:2], sc.runningMachinesOf(gang)...))
		for _, name := range cutOffMachines {
			sc.worker(name).BlockOutgoing(true)
		}
		sc.cancelAfter(sc.randomDuration(0, 15*time.Second), gang)
		if sc.intn(2) == 0 {
			time.Sleep(sc.randomDuration(0, 10*time.Second))
			sc.restartLeader(sc.randomDuration(100*time.Millisecond, 3*time.Second))
		}
		sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
		time.Sleep(sc.randomDuration(20*time.Second, 50*time.Second))
		sc.checkFaultsOccurred(len(cutOffMachines) > 0, "no machine was cut off")
	})
}

// TestCombinedZonePartition: the leader's zone, with its workers, is cut off for longer than
// lease_s. A job that runs there is cancelled meanwhile, and its tasks must stop within
// cancel_s.
func TestCombinedZonePartition(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		leader := sc.awaitLeader("")
		job := longJob("b", jobs.KindArray, 4, 200)
		job.Zone = zones[nodeNumber(leader)]
		id := sc.submitNext(job)
		sc.waitAllTasksRunning(id)
		sc.isolateZoneOf(leader)
		newLeader := nodeNumber(sc.awaitLeader(leader))
		time.Sleep(sc.randomDuration(0, 10*time.Second))
		sc.checkFaultsOccurred(sc.cancelAt(newLeader, id) == jobs.StatusCancelled, "the cancellation was not confirmed")
		sc.submitNext(testJob(0, "a", jobs.KindArray, 3))
		time.Sleep(sc.randomDuration(14*time.Second, 40*time.Second))
		sc.healPartitions()
		sc.sleepPastCancelDeadline()
	})
}
