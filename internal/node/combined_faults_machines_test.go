package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// Faults of machines and of their links that meet with another fault.

// TestCombinedNewMachinesWritesLag: new machines are up within two seconds and get
// work at once while writes lag, and the leader ends.
func TestCombinedNewMachinesWritesLag(t *testing.T) {
	layout := smallSite()
	layout.bootTime = 1500 * time.Millisecond
	for seed := range uint64(seedsPerScenario) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenarioOnce(t, layout, seed, nil, func(sc *scenario) {
				sc.state.SetFate(sc.slowAndLostWrites())
				before := len(sc.machineNames())
				sc.submitNext(longJob("a", jobs.KindArray, 9, 40))
				gang := sc.submitNext(longJob("b", jobs.KindGang, 4, 40))
				sc.waitFor(60*time.Second, "new machines", func() bool { return len(sc.machineNames()) > before })
				time.Sleep(sc.duration(0, 4*time.Second))
				sc.restartLeader(sc.duration(100*time.Millisecond, 4*time.Second))
				time.Sleep(sc.duration(0, 5*time.Second))
				if sc.intn(2) == 0 {
					sc.cancel(gang)
				}
				time.Sleep(20 * time.Second)
				machines, counts := len(sc.machineNames()), sc.state.Counts()
				sc.checkTookPlace(machines > before && counts.LateDone+counts.LateFailed > 0, "machines %d, %d before; %+v", machines, before, counts)
			})
		})
	}
}

// slowAndLostWrites has all writes lag, and the answer of one in four lost, which is then
// carried out late.
func (sc *scenario) slowAndLostWrites() func(node string, writes int) simulator.Fate {
	lost := sc.oneInEach(4)
	slow := sc.slowWrites(100*time.Millisecond, time.Second)
	return func(node string, writes int) simulator.Fate {
		if lost(writes) {
			return simulator.Fate{Lost: true, After: sc.duration(500*time.Millisecond, 6*time.Second)}
		}
		return slow(node, writes)
	}
}

// TestCombinedHeldBackReport: a heartbeat is held back until a new leader has acted, and
// then arrives there.
func TestCombinedHeldBackReport(t *testing.T) {
	runScenario(t, func(s *site) { s.keptHeartbeats = 3 }, func(sc *scenario) {
		array := sc.submitNext(longJob("a", jobs.KindArray, 5, 25))
		gang := sc.submitNext(longJob("b", jobs.KindGang, 3, 25))
		sc.waitRunning(array, gang)
		old := sc.nextLeader("")
		names := sc.machineNames()
		sc.killNode(old)
		next := nodeNumber(sc.nextLeader(old))
		// It acts: one job is cancelled, others end and begin.
		sc.cancel(gang)
		for range 3 {
			sc.submitNext(testJob(0, "b", jobs.KindArray, 2))
		}
		for _, name := range names {
			sc.worker(name).CutOutgoing(true) // what it keeps stays the old
		}
		time.Sleep(sc.duration(0, 14*time.Second))
		sent := 0
		for _, name := range names {
			sent += sc.worker(name).ResendHeartbeats(sc.users.ctx, nodeAddress(next))
		}
		sc.checkTookPlace(sent > 0, "no report came late")
		for _, name := range names {
			sc.worker(name).CutOutgoing(false)
		}
		sc.startNode(nodeNumber(old))
		sc.waitCancelledGone()
	})
}

// TestCombinedOldReportNewLeader: an old heartbeat reaches every controller just as a
// new leader begins.
func TestCombinedOldReportNewLeader(t *testing.T) {
	runScenario(t, func(s *site) { s.keptHeartbeats = 2 }, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 5, 25))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 25))
		sc.waitRunning(id)
		old := sc.nextLeader("")
		names := sc.machineNames()
		sc.killNode(old)
		end := time.Now().Add(6 * time.Second)
		sent, begun := 0, false
		for time.Now().Before(end) {
			for _, name := range names {
				sc.after(0, func() { sc.sendOldHeartbeats(name) })
				sent++
			}
			begun = begun || sc.leader() != ""
			time.Sleep(sc.duration(50*time.Millisecond, 400*time.Millisecond))
		}
		sc.checkTookPlace(sent > 0 && begun, "%d reports, a leader %v", sent, begun)
		sc.startNode(nodeNumber(old))
		sc.submitNext(testJob(0, "a", jobs.KindGang, 3))
	})
}

// sendOldHeartbeats has a machine send what it has kept to all nodes.
func (sc *scenario) sendOldHeartbeats(machine string) {
	for i := range 3 {
		sc.worker(machine).ResendHeartbeats(sc.users.ctx, nodeAddress(i))
	}
}

// TestCombinedZoneLosesMachines: jobs bound to one zone, arrays too, lose machines.
func TestCombinedZoneLosesMachines(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		zone := zones[sc.intn(3)]
		var ids []string
		for n := range 3 {
			job := longJob(teamOf(n), kindOf(n), 3, 40)
			job.Zone = zone
			ids = append(ids, sc.submitNext(job))
		}
		sc.waitRunning(ids[0], ids[1])
		lost := 0
		for _, name := range slices.Compact(append(sc.machinesOf(ids[0]), sc.machinesOf(ids[1])...)) {
			if lost < 2 {
				sc.cloud.Fail(name)
				lost++
				time.Sleep(sc.duration(0, 3*time.Second))
			}
		}
		if sc.intn(2) == 0 {
			sc.restartLeader(sc.duration(100*time.Millisecond, 3*time.Second))
		}
		sc.checkTookPlace(lost > 0, "no machine was lost")
	})
}

// TestCombinedOldReports: old heartbeats arrive after newer ones, also from an earlier
// epoch or attempt.
func TestCombinedOldReports(t *testing.T) {
	lateCopies := func(s *site) {
		s.heartbeatCopies = []time.Duration{3 * time.Second, 9 * time.Second, 21 * time.Second}
	}
	runScenario(t, lateCopies, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 6, 30))
		sc.submitNext(longJob("b", jobs.KindGang, 3, 30))
		sc.waitRunning(id)
		// Machines that lose their lease begin new epochs and attempts.
		deaf := sc.machinesOf(id)[:2]
		for _, name := range deaf {
			sc.worker(name).CutIncoming(true)
		}
		time.Sleep(sc.duration(13*time.Second, 20*time.Second))
		for _, name := range deaf {
			sc.worker(name).CutIncoming(false)
		}
		time.Sleep(sc.duration(0, 6*time.Second))
		sc.restartLeader(sc.duration(100*time.Millisecond, 3*time.Second))
		sc.submitNext(testJob(0, "b", jobs.KindGang, 3))
		time.Sleep(25 * time.Second)
		starts := sc.rules.startCount()
		sc.checkTookPlace(starts > 20, "%d tasks began", starts)
	})
}

// TestCombinedMuteMachines: workers can't open connections to any controller, while
// direct commands still reach them.
func TestCombinedMuteMachines(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		array := sc.submitNext(longJob("a", jobs.KindArray, 6, 30))
		gang := sc.submitNext(longJob("b", jobs.KindGang, 3, 60))
		sc.waitRunning(array, gang)
		mute := slices.Compact(append(sc.machinesOf(array)[:2], sc.machinesOf(gang)...))
		for _, name := range mute {
			sc.worker(name).CutOutgoing(true)
		}
		sc.cancelAfter(sc.duration(0, 15*time.Second), gang)
		if sc.intn(2) == 0 {
			time.Sleep(sc.duration(0, 10*time.Second))
			sc.restartLeader(sc.duration(100*time.Millisecond, 3*time.Second))
		}
		sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
		time.Sleep(sc.duration(20*time.Second, 50*time.Second))
		sc.checkTookPlace(len(mute) > 0, "no machine is mute")
	})
}

// TestCombinedZoneCutOff: a zone with workers and a controller is cut off for longer
// than lease_s; jobs are cancelled meanwhile.
func TestCombinedZoneCutOff(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		leader := sc.nextLeader("")
		job := longJob("b", jobs.KindArray, 4, 200)
		job.Zone = zones[nodeNumber(leader)]
		id := sc.submitNext(job)
		sc.waitRunning(id)
		sc.cutZone(leader)
		next := nodeNumber(sc.nextLeader(leader))
		time.Sleep(sc.duration(0, 10*time.Second))
		sc.checkTookPlace(sc.cancelAt(next, id) == jobs.StatusCancelled, "not cancelled")
		sc.submitNext(testJob(0, "a", jobs.KindArray, 3))
		time.Sleep(sc.duration(14*time.Second, 40*time.Second))
		sc.heal()
		sc.waitCancelledGone()
	})
}
