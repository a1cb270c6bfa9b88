package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// singleFaultScenario is a small site with running jobs, into which one kind of fault is
// injected.
type singleFaultScenario struct {
	*site
	ids []string // jobs that must have a final status at the end
}

// runSingleFaultScenario runs a small site with a leader and five jobs, calls inject, which
// injects a fault and ends it, and then checks the outcome (checkOutcome). prepare, if not nil,
// is called before the nodes start.
func runSingleFaultScenario(t *testing.T, prepare func(*site), inject func(*singleFaultScenario)) {
	t.Helper()
	runSite(t, smallSiteOptions(), prepare, func(s *site) {
		scenario := &singleFaultScenario{site: s}
		for n := range 5 {
			scenario.submitJob(testJob(n, alternatingTeam(n), mostlyArrayKind(n), 3))
		}
		s.waitFor(60*time.Second, "the first job running", func() bool { return s.status(0, scenario.ids[0]) == jobs.StatusRunning })
		inject(scenario)
		scenario.checkOutcome()
	})
}

// submitJob submits a job that must have a final status at the end.
func (f *singleFaultScenario) submitJob(job *jobs.Spec) {
	f.t.Helper()
	f.mustSubmit(60*time.Second, job, 0, 1, 2)
	f.ids = append(f.ids, job.ID)
}

// checkOutcome checks that every node answers a status query for every job within 75 s, that
// every job gets a final status within 4 minutes, and that no rule was violated.
func (f *singleFaultScenario) checkOutcome() {
	f.t.Helper()
	knownStatuses := []string{jobs.StatusPending, jobs.StatusRunning, jobs.StatusDone, jobs.StatusCancelled}
	faultEndedAt := time.Now()
	for i := range 3 {
		for _, id := range f.ids {
			f.waitFor(75*time.Second-time.Since(faultEndedAt), fmt.Sprintf("an answer for %s at node %d", id, i), func() bool {
				return slices.Contains(knownStatuses, f.status(i, id))
			})
		}
	}
	for _, id := range f.ids {
		f.waitFor(4*time.Minute, id+" final", func() bool { return isFinal(f.status(0, id)) })
	}
	f.checkNoViolations()
}

// runLongJob submits a job whose tasks take 400 s, so that they are still running when the test
// cancels the job, and waits until the job runs.
func (f *singleFaultScenario) runLongJob(limit time.Duration, job *jobs.Spec) {
	f.t.Helper()
	job.ExpectedS = 400
	f.submitJob(job)
	f.waitFor(limit, "the long job running", func() bool { return f.status(0, job.ID) == jobs.StatusRunning })
}

// mustCancel sends cancellations of a job to a node until one is confirmed, and fails the test
// if none is within the limit.
func (f *singleFaultScenario) mustCancel(limit time.Duration, node int, id string) {
	f.t.Helper()
	f.waitFor(limit, "the cancellation", func() bool {
		code, _ := f.cancelJob(node, id)
		return code == http.StatusOK
	})
}

// nextNodeNumber returns the number of the node that follows this one, modulo 3.
func nextNodeNumber(name string) int { return (nodeNumber(name) + 1) % 3 }
