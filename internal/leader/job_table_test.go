package leader

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/wirejson/wirejsontest"
	"thornnotch/internal/workers"
)

// TestEndedJobsAreKeptUntilAttemptsAreGone checks that the team and resources of an ended job
// are kept until the last of its attempts is gone, and no longer.
func TestEndedJobsAreKeptUntilAttemptsAreGone(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := arraySpec("j-1", 3)
	table := newJobTable()
	job := newJobState(&spec, 1, now, now)
	table.add(job)
	table.remove(job, 2)
	attempt := &workers.Attempt{ID: workers.AttemptID{Task: workers.TaskID{Job: "j-1"}}}
	table.addAttemptOfEndedJob("j-1")
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

// TestRemovedJobsAreKeptUntilDeletionIsReported checks that the table remembers a removed job
// until the watch reports the deletion of its record. Otherwise, an outdated submission event
// could add the job again.
func TestRemovedJobsAreKeptUntilDeletionIsReported(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := arraySpec("j-1", 1)
	table := newJobTable()
	if table.openOrRemoved("j-1") {
		t.Fatal("reported as open or removed before it was added")
	}
	job := newJobState(&spec, 1, now, now)
	table.add(job)
	table.remove(job, 0)
	if table.get("j-1") != nil || !table.openOrRemoved("j-1") || len(table.ended) != 0 {
		t.Errorf("after the removal: open %v, open or removed %v, ended jobs %v", table.get("j-1") != nil, table.openOrRemoved("j-1"), table.ended)
	}
	table.clearRemoved("j-1")
	if table.openOrRemoved("j-1") {
		t.Error("still remembered after the deletion was reported")
	}
}

// TestJobRecordIgnoresFieldsOfOtherCase guards against a job whose zone, team or dependencies the leader
// takes from unknown fields of its record.
func TestJobRecordIgnoresFieldsOfOtherCase(t *testing.T) {
	l := testLeader(t)
	now := time.Now()
	spec := arraySpec("j-1", 2)
	spec.Zone = "east"
	record, err := json.Marshal(jobs.Record{Spec: spec, AcceptedAtMS: now.UnixMilli()})
	if err != nil {
		t.Fatal(err)
	}
	l.addJob(jobs.OpenPrefix+"j-1", wirejsontest.AddCaseVariants(t, record), 1, now)
	job := l.jobs.get("j-1")
	if job == nil {
		t.Fatal("the job was not added")
	}
	if !reflect.DeepEqual(job.spec, &spec) {
		t.Errorf("got %+v, want %+v", job.spec, spec)
	}
}
