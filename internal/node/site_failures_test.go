package node

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// TestAcceptedJobsCompleteDespiteFailures runs arrays and gangs on a whole site in fake time
// while the leader is killed, a job is cancelled, the state service is down and every node is
// killed during that outage. All other accepted jobs must complete, and no rule of the
// protocol may be violated.
func TestAcceptedJobsCompleteDespiteFailures(t *testing.T) {
	runSite(t, smallSiteOptions(), nil, func(s *site) {
		ids := submitMixedJobs(s)
		checkResponseCodes(s)
		time.Sleep(25 * time.Second)

		leader := s.leader()
		s.killNode(leader)
		s.waitForLeader(10*time.Second, leader)
		afterFailover := testJob(10, "a", jobs.KindGang, 2)
		s.mustSubmit(30*time.Second, afterFailover, 0, 1, 2)
		ids = append(ids, afterFailover.ID)
		s.startNode(nodeNumber(leader))

		cancelledJob, cancelledAt := runAndCancelJob(s)
		restartAllNodesDuringOutage(s)
		time.Sleep(max(0, 37*time.Second-time.Since(cancelledAt)))
		s.checkNoRunningTasks(cancelledJob)

		for _, id := range ids {
			s.waitFor(5*time.Minute, id+" done", func() bool { return s.status(0, id) == jobs.StatusDone })
			s.checkAllTasksDone(id)
		}
		if got := s.status(0, cancelledJob); got != jobs.StatusCancelled {
			s.t.Errorf("went_back: the cancelled job is reported as %s", got)
		}
		s.checkNoViolations()
		// With no work left, all machines but two must be returned to the cloud.
		s.waitFor(5*time.Minute, "idle machines returned", func() bool { return s.cloud.RentedCount() <= 2 })
	})
}

// submitMixedJobs submits four arrays and two gangs, and returns their IDs.
func submitMixedJobs(s *site) (ids []string) {
	s.t.Helper()
	for n := range 6 {
		job := testJob(n, alternatingTeam(n), jobs.KindArray, 5)
		if n%3 == 2 {
			job = testJob(n, alternatingTeam(n), jobs.KindGang, 3)
		}
		s.mustSubmit(30*time.Second, job, 0, 1, 2)
		ids = append(ids, job.ID)
	}
	return ids
}

// checkResponseCodes checks the HTTP status codes of a repeated submission, a submission for an
// unknown team and a status query for an unknown job.
func checkResponseCodes(s *site) {
	s.t.Helper()
	if code := s.submit(1, testJob(0, "a", jobs.KindArray, 5)); code != http.StatusOK {
		s.t.Errorf("a repeated submission got %d, want 200", code)
	}
	if code := s.submit(1, testJob(99, "nobody", jobs.KindArray, 5)); code != http.StatusUnprocessableEntity {
		s.t.Errorf("a submission for an unknown team got %d, want 422", code)
	}
	if got := s.status(2, "j-777777"); got != "404" {
		s.t.Errorf("a status query for an unknown job got %s, want 404", got)
	}
}

// runAndCancelJob submits a long job, cancels it while it runs, and returns when the
// cancellation was confirmed.
func runAndCancelJob(s *site) (id string, cancelledAt time.Time) {
	s.t.Helper()
	job := testJob(11, "b", jobs.KindArray, 8)
	job.ExpectedS = 500
	s.mustSubmit(30*time.Second, job, 0, 1, 2)
	time.Sleep(20 * time.Second)
	s.waitFor(10*time.Second, "the cancellation", func() bool {
		code, response := s.cancelJob(1, job.ID)
		return code == http.StatusOK && response.Status == jobs.StatusCancelled
	})
	return job.ID, time.Now()
}

// restartAllNodesDuringOutage makes the state service unavailable for 18 s. All nodes are
// killed 15 s into the outage and started again at its end.
func restartAllNodesDuringOutage(s *site) {
	s.t.Helper()
	s.state.SetOutage(true)
	if code := s.submit(1, testJob(12, "a", jobs.KindArray, 2)); code != http.StatusServiceUnavailable {
		s.t.Errorf("a submission during the outage got %d, want 503", code)
	}
	time.Sleep(15 * time.Second)
	s.killAllNodes()
	time.Sleep(3 * time.Second)
	s.startAllNodes()
	s.state.SetOutage(false)
}
