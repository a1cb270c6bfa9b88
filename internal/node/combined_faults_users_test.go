package node

import (
	"sync/atomic"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Tests of high load and many user requests, combined with faults.

// TestCombinedOverloadSlowLinks: users submit more tasks than the machines can hold, in all
// priority classes, while network links are slow. Guards against teams that exceed their quota.
func TestCombinedOverloadSlowLinks(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.delayAllPackets(2*time.Millisecond, 60*time.Millisecond)
		maxRunning := 0
		updateMaxRunning := func() { maxRunning = max(maxRunning, len(sc.rules.runningTasks())) }
		for n := range 16 {
			job := testJob(0, alternatingTeam(n), mostlyArrayKind(n), 4)
			job.PriorityClass = []string{"standard", "urgent", "idle", "production"}[n%4]
			sc.submitNext(job)
			updateMaxRunning()
		}
		for range 20 {
			time.Sleep(time.Second)
			updateMaxRunning()
		}
		sc.checkFaultsOccurred(maxRunning >= 14, "at most %d tasks were running at once", maxRunning)
	})
}

// delayAllPackets delays every packet from nodes and machines by a random time in the range.
func (sc *scenario) delayAllPackets(minDelay, maxDelay time.Duration) {
	delay := func() time.Duration { return sc.randomDuration(minDelay, maxDelay) }
	for _, process := range sc.nodes {
		process.host.DelayPackets(delay)
	}
	for _, machine := range sc.machineLocations() {
		machine.host.DelayPackets(delay)
	}
}

// TestCombinedFrequentRequests: users query all nodes several times within milliseconds, and
// repeat the submission, right after a job was accepted, completed or confirmed as cancelled.
// Some jobs are cancelled immediately after submission. Guards against a node that reports an
// older state than another node has already reported.
func TestCombinedFrequentRequests(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.rules.setOnDone(func(task workers.TaskID) {
			sc.users.goroutines.Go(func() { sc.queryAllNodes(task.Job) })
		})
		cancelled := 0
		for n := range 12 {
			id := sc.submitNext(testJob(0, alternatingTeam(n), jobs.KindArray, 1+n%2))
			sc.users.goroutines.Go(func() { sc.queryAllNodes(id) })
			if n%2 != 0 {
				continue
			}
			if n%4 == 0 {
				time.Sleep(sc.randomDuration(0, 12*time.Second))
			}
			if sc.cancel(id) == jobs.StatusCancelled {
				cancelled++
			}
			sc.queryAllNodes(id)
		}
		time.Sleep(20 * time.Second)
		sc.checkFaultsOccurred(cancelled >= 4, "%d jobs were cancelled", cancelled)
	})
}

// TestCombinedHighSubmissionRate: for a minute, four one-task jobs are submitted per second,
// and a quarter of them are cancelled. All jobs must be accepted and get a final status.
func TestCombinedHighSubmissionRate(t *testing.T) {
	runScenarioOnce(t, smallSiteOptions(), 1, nil, func(sc *scenario) {
		var cancelled atomic.Int64
		for n := range 240 {
			job := testJob(0, alternatingTeam(n), jobs.KindArray, 1)
			job.ExpectedS = 2
			id := sc.submitNext(job)
			if n%4 == 0 {
				sc.runAfter(sc.randomDuration(0, 5*time.Second), func() {
					if sc.cancel(id) == jobs.StatusCancelled {
						cancelled.Add(1)
					}
				})
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		sc.checkFaultsOccurred(cancelled.Load() >= 20, "%d jobs were cancelled", cancelled.Load())
	})
}

// TestCombinedInvalidRequests: invalid requests get the same status codes during failovers
// and outages as at other times.
func TestCombinedInvalidRequests(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.users.goroutines.Go(func() {
			for sc.users.ctx.Err() == nil {
				sc.sendInvalidRequests(sc.intn(3))
				sc.pause(sc.randomDuration(0, 700*time.Millisecond))
			}
		})
		id := sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
		sc.waitFor(2*time.Minute, "the job done", func() bool { return sc.jobStatusAt(0, id) == jobs.StatusDone })
		sc.users.goroutines.Go(func() { sc.keepCancellingDoneJob(id) })
		sc.restartLeader(sc.randomDuration(50*time.Millisecond, 3*time.Second))
		time.Sleep(sc.randomDuration(0, 3*time.Second))
		sc.state.SetOutage(true)
		time.Sleep(5 * time.Second)
		sc.state.SetOutage(false)
		time.Sleep(5 * time.Second)
		answered, inconclusive := sc.requestCounts()
		sc.checkFaultsOccurred(answered > 20 && inconclusive > 5, "%d requests answered, %d inconclusive", answered, inconclusive)
	})
}

// keepCancellingDoneJob tries to cancel a done job until the scenario ends, and checks that
// it stays done.
func (sc *scenario) keepCancellingDoneJob(id string) {
	for sc.users.ctx.Err() == nil {
		if status := sc.cancelAt(sc.intn(3), id); status != "" && status != jobs.StatusDone {
			sc.rules.reportViolation("went_back: cancelling a done job returned %s", status)
		}
		sc.queryAllNodes(id)
		sc.pause(sc.randomDuration(0, time.Second))
	}
}
