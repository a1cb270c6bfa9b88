package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestEndedJobsAreKeptUntilAttemptsAreGone: the team and resources of an ended job are kept
// until the last of its attempts is gone, and no longer.
func TestEndedJobsAreKeptUntilAttemptsAreGone(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := arraySpec("j-1", 3)
	table := newJobTable()
	job := newJobState(&spec, 1, now, now)
	table.add(job)
	table.remove(job, 2)
	attempt := &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1"}}}
	table.endedAttemptFound("j-1")
	for range 3 {
		if table.teamOf(attempt) != spec.Team || table.resourcesOf(attempt).GPUs != spec.GPUs {
			t.Fatalf("ended job dropped while attempts may run: team %q, resources %+v", table.teamOf(attempt), table.resourcesOf(attempt))
		}
		table.removeAttemptOfEndedJob("j-1")
	}
	if table.teamOf(attempt) != "" || len(table.ended) != 0 {
		t.Errorf("ended job kept after its last attempt is gone: %+v", table.ended)
	}
}

// TestRemovedJobsAreKnownUntilWatchReportsDeletion: a job that was removed here must not be
// added again by an outdated submission event.
func TestRemovedJobsAreKnownUntilWatchReportsDeletion(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := arraySpec("j-1", 1)
	table := newJobTable()
	if table.knows("j-1") {
		t.Fatal("known before it was added")
	}
	job := newJobState(&spec, 1, now, now)
	table.add(job)
	table.remove(job, 0)
	if table.get("j-1") != nil || !table.knows("j-1") || len(table.ended) != 0 {
		t.Errorf("after the removal: open %v, known %v, ended jobs %v", table.get("j-1") != nil, table.knows("j-1"), table.ended)
	}
	table.recordDeleted("j-1")
	if table.knows("j-1") {
		t.Error("still known after the deletion was reported")
	}
}
