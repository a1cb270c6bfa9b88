package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// When two faults meet, rules break. Each test in combined_faults_*_test.go brings one
// such meeting about on a whole site, several times with timings drawn anew, while users
// ask at all nodes. It fails if a rule breaks, if a user hears anything older than before,
// if a job is forgotten or waits for ever, and also if the faults did not take place.
// docs/design.md has the table.

const seedsPerScenario = 3

// scenario is a site and its users while faults are injected.
type scenario struct {
	*site
	*users
	ids []string // the jobs that must be over in the end
}

// runScenario runs a scenario on a small site with several seeds.
func runScenario(t *testing.T, prepare func(*site), injectFaults func(*scenario)) {
	t.Helper()
	for seed := range uint64(seedsPerScenario) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runScenarioOnce(t, smallSite(), seed, prepare, injectFaults) })
	}
}

// runScenarioOnce runs a scenario with one seed: some jobs are under way as the faults
// begin; afterwards all faults end, and the outcome is checked.
func runScenarioOnce(t *testing.T, layout siteLayout, seed uint64, prepare func(*site), injectFaults func(*scenario)) {
	t.Helper()
	runSite(t, layout, prepare, func(s *site) {
		ctx, goHome := context.WithCancel(s.ctx)
		sc := &scenario{site: s, users: newUsers(ctx, s, rand.New(rand.NewPCG(seed, 16)))}
		defer sc.users.goroutines.Wait()
		defer goHome()
		sc.users.goroutines.Go(func() {
			for ctx.Err() == nil {
				sc.pause(500 * time.Millisecond)
				s.rules.checkRunning()
			}
		})
		for n := range 4 {
			sc.submitNext(testJob(0, teamOf(n), mostlyArrays(n), 3))
		}
		s.waitFor(60*time.Second, "running", func() bool { return sc.polled(0, sc.ids[0]) == jobs.StatusRunning })
		injectFaults(sc)
		sc.endFaults()
		sc.checkOutcome()
	})
}

// submitNext submits a job under the next ID and follows it.
func (sc *scenario) submitNext(job *jobs.Spec) (id string) {
	sc.t.Helper()
	sc.lastJob++
	job.ID = jobID(sc.lastJob)
	if !sc.users.submit(job) {
		sc.t.Errorf("%s was not accepted within a minute", job.ID)
	}
	sc.ids = append(sc.ids, job.ID)
	sc.follow(job.ID)
	return job.ID
}

// polled is the status in an answer to a single poll.
func (sc *scenario) polled(node int, id string) (status string) {
	_, status = sc.poll(node, id)
	return status
}

// waitRunning waits until all tasks of these jobs are on machines.
func (sc *scenario) waitRunning(ids ...string) {
	sc.t.Helper()
	for _, id := range ids {
		tasks := sc.specOf(id).Tasks
		sc.waitFor(90*time.Second, id+" on machines", func() bool { return len(sc.machinesOf(id)) == tasks })
	}
}

// nextLeader waits for a leader, other than one if it is named.
func (sc *scenario) nextLeader(except string) (name string) {
	sc.t.Helper()
	return sc.waitForLeader(20*time.Second, except)
}

// restartLeader ends the leader's process and starts it again after a while.
func (sc *scenario) restartLeader(after time.Duration) {
	sc.t.Helper()
	sc.restartNode(sc.nextLeader(""), after)
}

// waitCancelledGone waits until tasks of cancelled jobs must be gone.
func (sc *scenario) waitCancelledGone() { time.Sleep(sc.rules.cancelWithin + time.Second) }

// oneInEach tells of each transaction that writes whether it is the one of n in a row
// that meets with a fault; which of them is drawn. By chance alone it may be none
// of the few that there are.
func (sc *scenario) oneInEach(n int) func(writes int) bool {
	var mu sync.Mutex // guards both
	count, at := 0, 0
	return func(writes int) bool {
		if writes == 0 {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if count%n == 0 {
			at = sc.intn(n)
		}
		count++
		return (count-1)%n == at
	}
}

// endFaults ends all faults.
func (sc *scenario) endFaults() {
	sc.state.SetFate(nil)
	sc.state.SetOutage(false)
	sc.cloud.SetOutage(false)
	clear(sc.unreachable)
	for i := range sc.siteLayout.nodes {
		sc.state.RefuseHost(nodeName(i), false)
	}
	sc.startMissingNodes()
	for _, process := range sc.nodes {
		process.host.DelayPackets(nil)
	}
	sc.heal()
	for _, name := range sc.machineNames() {
		worker := sc.worker(name)
		worker.CutIncoming(false)
		worker.CutOutgoing(false)
		worker.SetHanging(false)
		sc.machinePlace(name).host.DelayPackets(nil)
	}
}

// checkTookPlace demands that the faults have taken place.
func (sc *scenario) checkTookPlace(ok bool, format string, args ...any) {
	sc.t.Helper()
	if !ok {
		sc.t.Errorf("the faults did not take place: "+format, args...)
	}
}

// checkCancelled demands that users were told that these jobs are cancelled.
func (sc *scenario) checkCancelled(ids ...string) {
	sc.t.Helper()
	for _, id := range ids {
		status := sc.knownStatus(id)
		sc.checkTookPlace(status == jobs.StatusCancelled, "%s is %s", id, status)
	}
}

// checkOutcome demands what must always hold after the faults: each job is answered by
// each node within 75 s, those that were not cancelled run to their end, those
// that were stay cancelled, and no rule is broken.
func (sc *scenario) checkOutcome() {
	sc.t.Helper()
	healed := time.Now()
	for i := range sc.siteLayout.nodes {
		for _, id := range sc.ids {
			sc.waitFor(75*time.Second-time.Since(healed), fmt.Sprintf("an answer for %s at node %d", id, i), func() bool {
				code, _ := sc.poll(i, id)
				return code == http.StatusOK
			})
		}
	}
	for _, id := range sc.ids {
		sc.waitFor(4*time.Minute-time.Since(healed), id+" over", func() bool { return isOver(sc.polled(sc.anyNode(), id)) })
		sc.queryAllNodes(id)
	}
	sc.rules.checkRunning()
	sc.checkRules()
}
