package node

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// What users may name as dependencies.

// TestNamesACancelledJob: a job that names a cancelled one is accepted, and called
// cancelled by every node from its first answer on; so is one that names that, also
// where the list names jobs that are done or run. Nothing of them ever runs. What can't
// be checked is told so, and not that it is unknown.
func TestNamesACancelledJob(t *testing.T) {
	runScenarioOnce(t, smallSite(), 15, nil, func(sc *scenario) {
		done := sc.submitNext(testJob(0, "a", jobs.KindArray, 1))
		runs := sc.submitNext(longJob("b", jobs.KindArray, 1, 200))
		cancelled := sc.submitNext(longJob("a", jobs.KindArray, 1, 200))
		sc.waitFor(time.Minute, "one done", func() bool { return sc.knownStatus(done) == jobs.StatusDone })
		if status := sc.cancel(cancelled); status != jobs.StatusCancelled {
			sc.t.Fatalf("the cancellation is answered %q", status)
		}

		upstream := cancelled
		var downstream []string
		for n := range 6 {
			job := sc.jobAfter(700+n, done, upstream, runs)
			sc.checkAcceptedAsCancelled(n%3, job)
			upstream = job.ID
			downstream = append(downstream, job.ID)
		}
		sc.waitFor(sc.rules.cancelWithin, "final records", func() bool { return len(sc.state.Keys(jobs.OpenPrefix)) == 1 })
		for _, id := range downstream {
			if sc.rules.hasStarted(id) {
				sc.rules.reportViolation("a task of %s ran", id)
			}
		}

		sc.state.SetOutage(true)
		if code := sc.site.submit(1, sc.jobAfter(720, jobID(777777))); code != http.StatusServiceUnavailable {
			sc.t.Errorf("without the state service a name that can't be checked got %d", code)
		}
		sc.state.SetOutage(false)
		sc.cancel(runs)
	})
}

// jobAfter is a job that users know of, and that depends on others.
func (sc *scenario) jobAfter(number int, upstream ...string) *jobs.Spec {
	job := testJob(number, "b", jobs.KindArray, 2)
	job.DependsOn = upstream
	sc.register(job)
	return job
}

// checkAcceptedAsCancelled submits a job until a node accepts it, and demands that this
// node, and all at once for repeats, call it cancelled, and soon for polls.
func (sc *scenario) checkAcceptedAsCancelled(node int, job *jobs.Spec) {
	sc.t.Helper()
	sc.waitFor(10*time.Second, job.ID+" accepted", func() bool {
		code, answer := sc.submitAndRead(node, job)
		if code == http.StatusCreated && answer.Status != jobs.StatusCancelled {
			sc.t.Errorf("%s is accepted as %s", job.ID, answer.Status)
		}
		return code == http.StatusCreated
	})
	for i := range 3 {
		if code, answer := sc.submitAndRead(i, job); code != http.StatusOK || answer.Status != jobs.StatusCancelled {
			sc.t.Errorf("its repeat at node %d got %d, %s", i, code, answer.Status)
		}
		sc.waitFor(3*time.Second, "an answer", func() bool {
			code, status := sc.poll(i, job.ID)
			return code == http.StatusOK && status == jobs.StatusCancelled
		})
	}
}

// TestWaitsOnInput: what users may name, at any node and by lists of any length.
func TestWaitsOnInput(t *testing.T) {
	layout := smallSite()
	layout.params.State.ValueKB, layout.params.State.TxnOps = 2, 4
	runScenarioOnce(t, layout, 5, nil, func(sc *scenario) {
		upstream := sc.submitNext(testJob(0, "a", jobs.KindArray, 1))
		for i, input := range []struct {
			dependsOn []string
			wantCode  int
		}{
			{[]string{upstream, upstream}, http.StatusCreated},
			{[]string{"j-777777"}, http.StatusUnprocessableEntity},
			{[]string{"j-000502"}, http.StatusUnprocessableEntity}, // itself
			{[]string{upstream, "x"}, http.StatusBadRequest},
			{[]string{""}, http.StatusBadRequest},
			{[]string{}, http.StatusCreated},
		} {
			sc.checkSubmission(oneTaskAfter(500+i, input.dependsOn...), input.wantCode)
		}
		if code := sc.submitAt(1, oneTaskAfter(500, "j-777777")); code != http.StatusOK {
			sc.t.Errorf("a repeat that names another got %d", code)
		}
		sc.waitFor(2*time.Minute, "done", func() bool { return sc.polled(0, "j-000500") == jobs.StatusDone })
		sc.checkLongList()
	})
}

// oneTaskAfter is a one-task job that depends on others. Without any its list is empty,
// not missing.
func oneTaskAfter(number int, upstream ...string) *jobs.Spec {
	job := testJob(number, "a", jobs.KindArray, 1)
	job.DependsOn = upstream
	return job
}

// checkSubmission submits a job until it gets another answer than 503, and demands its
// code.
func (sc *scenario) checkSubmission(job *jobs.Spec, wantCode int) {
	sc.t.Helper()
	sc.register(job)
	sc.waitFor(5*time.Second, "an answer", func() bool {
		code := sc.submitAt(sc.intn(3), job)
		if code != http.StatusServiceUnavailable && code != wantCode {
			sc.t.Errorf("%v got %d, want %d", job.DependsOn, code, wantCode)
		}
		return code == wantCode
	})
}

// checkLongList submits a job with as long a list as a body takes, each job of it
// accepted, some over; it is read whole by another leader, and cancelled with one of
// the list.
func (sc *scenario) checkLongList() {
	sc.t.Helper()
	var list []string
	for n := range 400 {
		job := oneTaskAfter(10000 + n)
		job.ExpectedS = 400
		if n%8 != 0 {
			job.DependsOn = []string{jobID(10000 + n - n%8)}
		}
		if !sc.users.submit(job) {
			sc.t.Fatalf("%s was not accepted", job.ID)
		}
		list = append(list, job.ID)
	}
	last := oneTaskAfter(600, list...)
	if !sc.users.submit(last) {
		sc.t.Fatal("a long list is not accepted")
	}
	sc.restartLeader(time.Second) // it must be read whole by another, too
	sc.nextLeader("")
	if status := sc.polled(2, last.ID); status != jobs.StatusPending {
		sc.t.Errorf("it is %s", status)
	}
	sc.cancel(list[len(list)-8])
	for i := range 3 {
		sc.waitFor(4*time.Second, "the last job cancelled", func() bool { return sc.polled(i, last.ID) == jobs.StatusCancelled })
	}
	for _, id := range list {
		sc.cancelAfter(0, id)
	}
	time.Sleep(20 * time.Second)
}
