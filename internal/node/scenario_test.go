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

// Rules are most likely to be violated where two faults coincide. Each test in
// combined_faults_*_test.go injects one such combination into a whole site, several times with
// different random timings, while users send requests to all nodes. It fails if a rule is
// violated, if a user gets an older status than one reported before, if a job is forgotten or
// never ends, and also if the faults did not occur. docs/design.md has a table of the
// combinations.

// seedsPerScenario is the number of runs of a scenario, each with other random timings.
const seedsPerScenario = 3

// scenario is a site with users that check every answer, while faults are injected.
type scenario struct {
	*site
	*users
	ids []string // jobs that must have a final status at the end
}

// runScenario runs a scenario on a small site, once for each seed.
func runScenario(t *testing.T, prepare func(*site), injectFaults func(*scenario)) {
	t.Helper()
	for seed := range uint64(seedsPerScenario) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runScenarioOnce(t, smallSiteOptions(), seed, prepare, injectFaults) })
	}
}

// runScenarioOnce runs a scenario with one seed. injectFaults is called while four jobs are
// queued or running. When it returns, all faults are ended and the outcome is checked.
func runScenarioOnce(t *testing.T, options siteOptions, seed uint64, prepare func(*site), injectFaults func(*scenario)) {
	t.Helper()
	runSite(t, options, prepare, func(s *site) {
		ctx, stopUsers := context.WithCancel(s.ctx)
		sc := &scenario{site: s, users: newUsers(ctx, s, rand.New(rand.NewPCG(seed, 16)))}
		defer sc.users.goroutines.Wait()
		defer stopUsers()
		sc.users.goroutines.Go(func() {
			for ctx.Err() == nil {
				sc.pause(500 * time.Millisecond)
				s.rules.checkCancelDeadlines()
			}
		})
		for n := range 4 {
			sc.submitNext(testJob(0, alternatingTeam(n), mostlyArrayKind(n), 3))
		}
		s.waitFor(60*time.Second, "the first job running", func() bool { return sc.jobStatusAt(0, sc.ids[0]) == jobs.StatusRunning })
		injectFaults(sc)
		sc.endFaults()
		sc.checkOutcome()
	})
}

// submitNext submits a job under the next ID, and has a user query its status until it is final.
func (sc *scenario) submitNext(job *jobs.Spec) (id string) {
	sc.t.Helper()
	sc.lastJobNumber++
	job.ID = jobID(sc.lastJobNumber)
	if !sc.users.submit(job) {
		sc.t.Errorf("%s was not accepted within a minute", job.ID)
	}
	sc.ids = append(sc.ids, job.ID)
	sc.queryUntilFinal(job.ID)
	return job.ID
}

// jobStatusAt queries a job's status once at a node.
func (sc *scenario) jobStatusAt(node int, id string) (status string) {
	_, status = sc.queryStatus(node, id)
	return status
}

// waitAllTasksRunning waits until all tasks of these jobs are running.
func (sc *scenario) waitAllTasksRunning(ids ...string) {
	sc.t.Helper()
	for _, id := range ids {
		tasks := sc.specOf(id).Tasks
		sc.waitFor(90*time.Second, id+" with all tasks running", func() bool { return len(sc.runningMachinesOf(id)) == tasks })
	}
}

// awaitLeader waits up to 20 s for a leader other than except, which may be empty, and returns
// its name.
func (sc *scenario) awaitLeader(except string) (name string) {
	sc.t.Helper()
	return sc.waitForLeader(20*time.Second, except)
}

// restartLeader waits until there is a leader, kills it, and starts its node again after a pause.
func (sc *scenario) restartLeader(after time.Duration) {
	sc.t.Helper()
	sc.restartNode(sc.awaitLeader(""), after)
}

// sleepPastCancelDeadline sleeps until the tasks of all jobs cancelled so far must have stopped.
func (sc *scenario) sleepPastCancelDeadline() { time.Sleep(sc.rules.cancelWithin + time.Second) }

// oneInEvery returns a function that reports for each transaction whether to inject a fault
// into it. The function draws exactly one of every n successive transactions with writes at
// random. A scenario makes only few transactions, so independent draws could leave it without
// any fault.
func (sc *scenario) oneInEvery(n int) func(writes int) bool {
	var mu sync.Mutex // guards both counters
	transactions, faulty := 0, 0
	return func(writes int) bool {
		if writes == 0 {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if transactions%n == 0 {
			faulty = sc.intn(n)
		}
		transactions++
		return (transactions-1)%n == faulty
	}
}

// endFaults ends all injected faults and starts the nodes that are not running.
func (sc *scenario) endFaults() {
	sc.state.SetTxnFaults(nil)
	sc.state.SetOutage(false)
	sc.cloud.SetOutage(false)
	clear(sc.unreachableAddresses)
	for i := range sc.siteOptions.nodes {
		sc.state.RefuseHost(nodeName(i), false)
	}
	sc.startMissingNodes()
	for _, process := range sc.nodes {
		process.host.DelayPackets(nil)
	}
	sc.healPartitions()
	for _, name := range sc.machineNames() {
		worker := sc.worker(name)
		worker.BlockIncoming(false)
		worker.BlockOutgoing(false)
		worker.SetHanging(false)
		sc.machineLocation(name).host.DelayPackets(nil)
	}
}

// checkFaultsOccurred fails the test if ok is false. ok tells whether the faults have occurred;
// without them the scenario would test nothing.
func (sc *scenario) checkFaultsOccurred(ok bool, format string, args ...any) {
	sc.t.Helper()
	if !ok {
		sc.t.Errorf("the faults did not occur: "+format, args...)
	}
}

// checkCancelsConfirmed checks that users were told that these jobs are cancelled.
func (sc *scenario) checkCancelsConfirmed(ids ...string) {
	sc.t.Helper()
	for _, id := range ids {
		status := sc.knownStatus(id)
		sc.checkFaultsOccurred(status == jobs.StatusCancelled, "users were last told that %s is %s", id, status)
	}
}

// checkOutcome checks what must hold after any faults: every node answers a status query for
// every job within 75 s, each job gets a final status within 4 minutes, and no rule was
// violated. The users check with every response that cancelled jobs stay cancelled and that no
// other job is reported as cancelled.
func (sc *scenario) checkOutcome() {
	sc.t.Helper()
	faultsEndedAt := time.Now()
	for i := range sc.siteOptions.nodes {
		for _, id := range sc.ids {
			sc.waitFor(75*time.Second-time.Since(faultsEndedAt), fmt.Sprintf("an answer for %s at node %d", id, i), func() bool {
				code, _ := sc.queryStatus(i, id)
				return code == http.StatusOK
			})
		}
	}
	for _, id := range sc.ids {
		sc.waitFor(4*time.Minute-time.Since(faultsEndedAt), id+" final", func() bool { return isFinal(sc.jobStatusAt(sc.randomNode(), id)) })
		sc.queryAllNodes(id)
	}
	sc.rules.checkCancelDeadlines()
	sc.checkNoViolations()
}
