package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// faultScenario is a small site with jobs under way while one kind of fault is injected.
type faultScenario struct {
	*site
	ids []string // the jobs that must be over in the end
}

// runWithFault runs a small site with a leader and some jobs under way, has a fault
// injected, and then demands what is always demanded: every job that was accepted
// and not cancelled is answered by every node within 75 s of the end of the
// fault and ends as done, and no rule is broken.
func runWithFault(t *testing.T, prepare func(*site), inject func(*faultScenario)) {
	t.Helper()
	runSite(t, smallSite(), prepare, func(s *site) {
		scenario := &faultScenario{site: s}
		for n := range 5 {
			scenario.add(testJob(n, teamOf(n), mostlyArrays(n), 3))
		}
		s.waitFor(60*time.Second, "running", func() bool { return s.status(0, scenario.ids[0]) == jobs.StatusRunning })
		inject(scenario)
		scenario.checkOutcome()
	})
}

// add submits a job that must be over in the end.
func (f *faultScenario) add(job *jobs.Spec) {
	f.t.Helper()
	f.mustSubmit(60*time.Second, job, 0, 1, 2)
	f.ids = append(f.ids, job.ID)
}

// checkOutcome demands that every job is answered by every node and ends, and that no
// rule is broken.
func (f *faultScenario) checkOutcome() {
	f.t.Helper()
	known := []string{jobs.StatusPending, jobs.StatusRunning, jobs.StatusDone, jobs.StatusCancelled}
	healed := time.Now()
	for i := range 3 {
		for _, id := range f.ids {
			f.waitFor(75*time.Second-time.Since(healed), fmt.Sprintf("an answer for %s at node %d", id, i), func() bool {
				return slices.Contains(known, f.status(i, id))
			})
		}
	}
	for _, id := range f.ids {
		f.waitFor(4*time.Minute, id+" over", func() bool { return isOver(f.status(0, id)) })
	}
	f.checkRules()
}

// runLongJob submits a job that runs until it is cancelled, and waits until it does.
func (f *faultScenario) runLongJob(limit time.Duration, job *jobs.Spec) {
	f.t.Helper()
	job.ExpectedS = 400
	f.add(job)
	f.waitFor(limit, "the victim running", func() bool { return f.status(0, job.ID) == jobs.StatusRunning })
}

// mustCancel has a node confirm a cancellation.
func (f *faultScenario) mustCancel(limit time.Duration, node int, id string) {
	f.t.Helper()
	f.waitFor(limit, "the cancellation", func() bool {
		code, _ := f.cancelJob(node, id)
		return code == http.StatusOK
	})
}

// nodeAfter is the number of the node after this one.
func nodeAfter(name string) int { return (nodeNumber(name) + 1) % 3 }
