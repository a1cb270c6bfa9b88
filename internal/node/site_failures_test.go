package node

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// TestSiteThroughFailures runs a whole site in fake time: jobs of both kinds,
// a cancellation, the leader killed, the state service down, every node killed
// at once. All accepted jobs end, and no rule of the protocol is broken.
func TestSiteThroughFailures(t *testing.T) {
	runSite(t, smallSite(), nil, func(s *site) {
		ids := submitMixedJobs(s)
		checkAnswersToUsers(s)
		time.Sleep(25 * time.Second)

		leader := s.leader()
		s.killNode(leader)
		s.waitForLeader(10*time.Second, leader)
		afterFailover := testJob(10, "a", jobs.KindGang, 2)
		s.mustSubmit(30*time.Second, afterFailover, 0, 1, 2)
		ids = append(ids, afterFailover.ID)
		s.startNode(nodeNumber(leader))

		cancelledJob, cancelledAt := runAndCancelJob(s)
		outageAndRestartOfAllNodes(s)
		time.Sleep(max(0, 37*time.Second-time.Since(cancelledAt)))
		s.checkGone(cancelledJob)

		for _, id := range ids {
			s.waitFor(5*time.Minute, id+" done", func() bool { return s.status(0, id) == jobs.StatusDone })
			s.checkAllTasksDone(id)
		}
		if got := s.status(0, cancelledJob); got != jobs.StatusCancelled {
			s.t.Errorf("went_back: the cancelled job is %s", got)
		}
		s.checkRules()
		// With nothing left to do, the machines are given back but a few.
		s.waitFor(5*time.Minute, "idle machines returned", func() bool { return s.cloud.RentedCount() <= 2 })
	})
}

// submitMixedJobs submits four arrays and two gangs.
func submitMixedJobs(s *site) (ids []string) {
	s.t.Helper()
	for n := range 6 {
		job := testJob(n, teamOf(n), jobs.KindArray, 5)
		if n%3 == 2 {
			job = testJob(n, teamOf(n), jobs.KindGang, 3)
		}
		s.mustSubmit(30*time.Second, job, 0, 1, 2)
		ids = append(ids, job.ID)
	}
	return ids
}

// checkAnswersToUsers demands the codes of a repeat, an unknown team and an unknown job.
func checkAnswersToUsers(s *site) {
	s.t.Helper()
	if code := s.submit(1, testJob(0, "a", jobs.KindArray, 5)); code != http.StatusOK {
		s.t.Errorf("a repeated submission got %d", code)
	}
	if code := s.submit(1, testJob(99, "nobody", jobs.KindArray, 5)); code != http.StatusUnprocessableEntity {
		s.t.Errorf("an unknown team got %d", code)
	}
	if got := s.status(2, "j-777777"); got != "404" {
		s.t.Errorf("an unknown job got %s", got)
	}
}

// runAndCancelJob cancels a long job that runs.
func runAndCancelJob(s *site) (id string, cancelledAt time.Time) {
	s.t.Helper()
	job := testJob(11, "b", jobs.KindArray, 8)
	job.ExpectedS = 500
	s.mustSubmit(30*time.Second, job, 0, 1, 2)
	time.Sleep(20 * time.Second)
	s.waitFor(10*time.Second, "the cancellation", func() bool {
		code, answer := s.cancelJob(1, job.ID)
		return code == http.StatusOK && answer.Status == jobs.StatusCancelled
	})
	return job.ID, time.Now()
}

// outageAndRestartOfAllNodes has the state service out for 18 s, and all nodes end in
// the middle of that and come back at its end.
func outageAndRestartOfAllNodes(s *site) {
	s.t.Helper()
	s.state.SetOutage(true)
	if code := s.submit(1, testJob(12, "a", jobs.KindArray, 2)); code != http.StatusServiceUnavailable {
		s.t.Errorf("a submission during the outage got %d", code)
	}
	time.Sleep(15 * time.Second)
	s.killAllNodes()
	time.Sleep(3 * time.Second)
	s.startAllNodes()
	s.state.SetOutage(false)
}
