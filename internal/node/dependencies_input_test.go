package node

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// Tests of the dependency lists that users may submit.

// TestDependencyOnCancelledJob: a job that depends on a cancelled one, directly or through
// other jobs, is accepted. From the first response on every node reports it as cancelled, and
// none of its tasks ever starts, even if it also depends on done and running jobs. If a
// dependency can't be checked, the response must be 503; it must not say that the dependency is
// unknown.
func TestDependencyOnCancelledJob(t *testing.T) {
	runScenarioOnce(t, smallSiteOptions(), 15, nil, func(sc *scenario) {
		done := sc.submitNext(testJob(0, "a", jobs.KindArray, 1))
		running := sc.submitNext(longJob("b", jobs.KindArray, 1, 200))
		cancelled := sc.submitNext(longJob("a", jobs.KindArray, 1, 200))
		sc.waitFor(time.Minute, "the first upstream job done", func() bool { return sc.knownStatus(done) == jobs.StatusDone })
		if status := sc.cancel(cancelled); status != jobs.StatusCancelled {
			sc.t.Fatalf("cancellation returned status %q, want aborted", status)
		}

		previous := cancelled
		var downstream []string
		for n := range 6 {
			job := sc.newDependentJob(700+n, done, previous, running)
			sc.checkAcceptedAsCancelled(n%3, job)
			previous = job.ID
			downstream = append(downstream, job.ID)
		}
		sc.waitFor(sc.rules.cancelWithin, "final records of all cancelled jobs", func() bool { return len(sc.state.Keys(jobs.OpenPrefix)) == 1 })
		for _, id := range downstream {
			if sc.rules.hasStarted(id) {
				sc.rules.reportViolation("a task of %s started although the job depends on a cancelled one", id)
			}
		}

		sc.state.SetOutage(true)
		if code := sc.site.submit(1, sc.newDependentJob(720, jobID(777777))); code != http.StatusServiceUnavailable {
			sc.t.Errorf("submission with an unverifiable dependency during an outage returned %d, want 503", code)
		}
		sc.state.SetOutage(false)
		sc.cancel(running)
	})
}

// newDependentJob returns a job that depends on the given jobs, and registers it with users.
func (sc *scenario) newDependentJob(number int, upstream ...string) *jobs.Spec {
	job := testJob(number, "b", jobs.KindArray, 2)
	job.DependsOn = upstream
	sc.registerJob(job)
	return job
}

// checkAcceptedAsCancelled submits a job until the node accepts it. It checks that this
// response and those to repeated submissions at every node report the job as cancelled, and
// that status queries at every node do so within 3 s.
func (sc *scenario) checkAcceptedAsCancelled(node int, job *jobs.Spec) {
	sc.t.Helper()
	sc.waitFor(10*time.Second, job.ID+" accepted", func() bool {
		code, response := sc.submitWithResponse(node, job)
		if code == http.StatusCreated && response.Status != jobs.StatusCancelled {
			sc.t.Errorf("%s was accepted with status %s, want aborted", job.ID, response.Status)
		}
		return code == http.StatusCreated
	})
	for i := range 3 {
		if code, response := sc.submitWithResponse(i, job); code != http.StatusOK || response.Status != jobs.StatusCancelled {
			sc.t.Errorf("repeated submission at node %d returned %d with status %s, want 200 with aborted", i, code, response.Status)
		}
		sc.waitFor(3*time.Second, "a query response that reports the job as cancelled", func() bool {
			code, status := sc.queryStatus(i, job.ID)
			return code == http.StatusOK && status == jobs.StatusCancelled
		})
	}
}

// TestDependencyListInput: all nodes accept or reject dependency lists by the same rules.
// Duplicates and empty lists are valid. Unknown jobs, malformed IDs and the job itself are not.
func TestDependencyListInput(t *testing.T) {
	options := smallSiteOptions()
	options.params.State.ValueKB, options.params.State.TxnOps = 2, 4
	runScenarioOnce(t, options, 5, nil, func(sc *scenario) {
		upstream := sc.submitNext(testJob(0, "a", jobs.KindArray, 1))
		for i, test := range []struct {
			dependsOn []string
			wantCode  int
		}{
			{[]string{upstream, upstream}, http.StatusCreated},
			{[]string{"j-777777"}, http.StatusUnprocessableEntity},
			{[]string{"j-000502"}, http.StatusUnprocessableEntity}, // the job itself
			{[]string{upstream, "x"}, http.StatusBadRequest},
			{[]string{""}, http.StatusBadRequest},
			{[]string{}, http.StatusCreated},
		} {
			sc.checkSubmissionCode(oneTaskDependentJob(500+i, test.dependsOn...), test.wantCode)
		}
		if code := sc.submitAt(1, oneTaskDependentJob(500, "j-777777")); code != http.StatusOK {
			sc.t.Errorf("repeated submission with another dependency returned %d, want 200", code)
		}
		sc.waitFor(2*time.Minute, "j-000500 done", func() bool { return sc.jobStatusAt(0, "j-000500") == jobs.StatusDone })
		sc.checkLongDependencyList()
	})
}

// oneTaskDependentJob returns a one-task job that depends on the given jobs. A non-nil empty
// list is kept, so that the field is submitted as an empty list and not left out.
func oneTaskDependentJob(number int, upstream ...string) *jobs.Spec {
	job := testJob(number, "a", jobs.KindArray, 1)
	job.DependsOn = upstream
	return job
}

// checkSubmissionCode submits a job until the response has the wanted status code. Before
// that, only 503 is allowed.
func (sc *scenario) checkSubmissionCode(job *jobs.Spec, wantCode int) {
	sc.t.Helper()
	sc.registerJob(job)
	sc.waitFor(5*time.Second, "a response with the wanted status code", func() bool {
		code := sc.submitAt(sc.intn(3), job)
		if code != http.StatusServiceUnavailable && code != wantCode {
			sc.t.Errorf("submission with dependencies %v returned %d, want %d", job.DependsOn, code, wantCode)
		}
		return code == wantCode
	})
}

// checkLongDependencyList submits a job whose dependency list is too long for one value of the
// state service, so that it is stored in parts. It checks that a new leader reads the whole list,
// and that the job is cancelled when one of the listed jobs is.
func (sc *scenario) checkLongDependencyList() {
	sc.t.Helper()
	var upstreamIDs []string
	for n := range 400 {
		job := oneTaskDependentJob(10000 + n)
		job.ExpectedS = 400
		if n%8 != 0 {
			job.DependsOn = []string{jobID(10000 + n - n%8)}
		}
		if !sc.users.submit(job) {
			sc.t.Fatalf("%s was not accepted", job.ID)
		}
		upstreamIDs = append(upstreamIDs, job.ID)
	}
	dependent := oneTaskDependentJob(600, upstreamIDs...)
	if !sc.users.submit(dependent) {
		sc.t.Fatal("the job with the long dependency list was not accepted")
	}
	sc.restartLeader(time.Second) // the next leader must read the whole list, too
	sc.awaitLeader("")
	if status := sc.jobStatusAt(2, dependent.ID); status != jobs.StatusPending {
		sc.t.Errorf("the job with the long dependency list is %s, want pending", status)
	}
	sc.cancel(upstreamIDs[len(upstreamIDs)-8])
	for i := range 3 {
		sc.waitFor(4*time.Second, "the job with the long dependency list cancelled", func() bool { return sc.jobStatusAt(i, dependent.ID) == jobs.StatusCancelled })
	}
	for _, id := range upstreamIDs {
		sc.cancelAfter(0, id)
	}
	time.Sleep(20 * time.Second)
}
