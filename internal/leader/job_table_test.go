package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestEndedJobsAreRemembered: what a job takes is known until the last of its attempts is
// gone, and no longer.
func TestEndedJobsAreRemembered(t *testing.T) {
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
			t.Fatalf("forgotten while attempts may run: team %q, %+v", table.teamOf(attempt), table.resourcesOf(attempt))
		}
		table.endedAttemptGone("j-1")
	}
	if table.teamOf(attempt) != "" || len(table.ended) != 0 {
		t.Errorf("remembered for ever: %+v", table.ended)
	}
}

// TestRemovedJobsAreKnownUntilTheWatchHasTold: a late submission of a job that has ended
// here must not open it again.
func TestRemovedJobsAreKnownUntilTheWatchHasTold(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := arraySpec("j-1", 1)
	table := newJobTable()
	if table.knows("j-1") {
		t.Fatal("known before it came")
	}
	job := newJobState(&spec, 1, now, now)
	table.add(job)
	table.remove(job, 0)
	if table.get("j-1") != nil || !table.knows("j-1") || len(table.ended) != 0 {
		t.Errorf("open %v, known %v, ended %v", table.get("j-1") != nil, table.knows("j-1"), table.ended)
	}
	table.recordDeleted("j-1")
	if table.knows("j-1") {
		t.Error("remembered for ever")
	}
}
