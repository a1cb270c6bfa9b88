package placement

import (
	"testing"
	"time"
)

// TestSlackOrderWithinRank checks that the job that must start soonest goes first, and that a
// job that can't meet any target is placed behind the others, but not forever.
func TestSlackOrderWithinRank(t *testing.T) {
	now := time.Unix(100000, 0)
	jobOfAge := func(id string, age time.Duration, targets ...time.Duration) *Job {
		job := arrayJob(id, "a", 1)
		job.Submitted, job.Targets = now.Add(-age), targets
		job.UpdateSlack(now, 1)
		return job
	}
	tight := jobOfAge("j-1", 10*time.Second, 50*time.Second)
	loose := jobOfAge("j-2", 60*time.Second, 40*time.Second, 120*time.Second)
	late := jobOfAge("j-3", 70*time.Second, 40*time.Second)
	ancient := jobOfAge("j-4", time.Hour, 40*time.Second)
	if !Before(tight, loose) || !Before(loose, late) || !Before(ancient, tight) {
		t.Errorf("wrong order of tight, loose, late and ancient with slacks %v, %v, %v, %v", tight.Slack, loose.Slack, late.Slack, ancient.Slack)
	}
}
