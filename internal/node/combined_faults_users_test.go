package node

import (
	"sync/atomic"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Much work, and much asking, while faults go on.

// TestCombinedMoreWorkThanRoom: more work than room, urgent and not, over slow links.
func TestCombinedMoreWorkThanRoom(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.slowLinks(2*time.Millisecond, 60*time.Millisecond)
		most := 0
		count := func() { most = max(most, len(sc.rules.runningTasks())) }
		for n := range 16 {
			job := testJob(0, teamOf(n), mostlyArrays(n), 4)
			job.PriorityClass = []string{"standard", "urgent", "idle", "production"}[n%4]
			sc.submitNext(job)
			count()
		}
		for range 20 {
			time.Sleep(time.Second)
			count()
		}
		sc.checkTookPlace(most >= 14, "%d tasks at most at a time", most)
	})
}

// slowLinks delays all that nodes and machines send by times between two.
func (sc *scenario) slowLinks(least, most time.Duration) {
	delay := func() time.Duration { return sc.duration(least, most) }
	for _, process := range sc.nodes {
		process.host.DelayPackets(delay)
	}
	for _, place := range sc.machinePlaces() {
		place.host.DelayPackets(delay)
	}
}

// TestCombinedCloseLooks: users ask at all nodes, again and again within
// milliseconds, and repeat the submission, right after a job was accepted, ended
// or confirmed as cancelled; some cancel at once.
func TestCombinedCloseLooks(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.rules.callOnDone(func(task workers.TaskID) {
			sc.users.goroutines.Go(func() { sc.queryAllNodes(task.Job) })
		})
		cancelled := 0
		for n := range 12 {
			id := sc.submitNext(testJob(0, teamOf(n), jobs.KindArray, 1+n%2))
			sc.users.goroutines.Go(func() { sc.queryAllNodes(id) })
			if n%2 != 0 {
				continue
			}
			if n%4 == 0 {
				time.Sleep(sc.duration(0, 12*time.Second))
			}
			if sc.cancel(id) == jobs.StatusCancelled {
				cancelled++
			}
			sc.queryAllNodes(id)
		}
		time.Sleep(20 * time.Second)
		sc.checkTookPlace(cancelled >= 4, "%d cancelled", cancelled)
	})
}

// TestCombinedFlood: one-task jobs come four a second for a minute, a quarter of them
// cancelled.
func TestCombinedFlood(t *testing.T) {
	runScenarioOnce(t, smallSite(), 1, nil, func(sc *scenario) {
		var cancelled atomic.Int64
		for n := range 240 {
			job := testJob(0, teamOf(n), jobs.KindArray, 1)
			job.ExpectedS = 2
			id := sc.submitNext(job)
			if n%4 == 0 {
				sc.after(sc.duration(0, 5*time.Second), func() {
					if sc.cancel(id) == jobs.StatusCancelled {
						cancelled.Add(1)
					}
				})
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		sc.checkTookPlace(cancelled.Load() >= 20, "%d cancelled", cancelled.Load())
	})
}

// TestCombinedOddRequests: bad input keeps its answers amid an outage and a change of
// leaders.
func TestCombinedOddRequests(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		sc.users.goroutines.Go(func() {
			for sc.users.ctx.Err() == nil {
				sc.sendInvalidRequests(sc.intn(3))
				sc.pause(sc.duration(0, 700*time.Millisecond))
			}
		})
		id := sc.submitNext(testJob(0, "a", jobs.KindArray, 2))
		sc.waitFor(2*time.Minute, "done", func() bool { return sc.polled(0, id) == jobs.StatusDone })
		sc.users.goroutines.Go(func() { sc.cancelDoneJob(id) })
		sc.restartLeader(sc.duration(50*time.Millisecond, 3*time.Second))
		time.Sleep(sc.duration(0, 3*time.Second))
		sc.state.SetOutage(true)
		time.Sleep(5 * time.Second)
		sc.state.SetOutage(false)
		time.Sleep(5 * time.Second)
		answered, refused := sc.requestCounts()
		sc.checkTookPlace(answered > 20 && refused > 5, "%d answered, %d refused", answered, refused)
	})
}

// cancelDoneJob has users cancel a job that is done, again and again until they go home:
// it stays done.
func (sc *scenario) cancelDoneJob(id string) {
	for sc.users.ctx.Err() == nil {
		if status := sc.cancelAt(sc.intn(3), id); status != "" && status != jobs.StatusDone {
			sc.rules.reportViolation("went_back: a cancellation of a done job got %s", status)
		}
		sc.queryAllNodes(id)
		sc.pause(sc.duration(0, time.Second))
	}
}
