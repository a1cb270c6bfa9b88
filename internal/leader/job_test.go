package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestStartsFollowTheirRecord walks one job through placement, record, start,
// exit and completion: no command leaves before the record that it needs.
func TestStartsFollowTheirRecord(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", now)
	job := addJob(t, l, arraySpec("j-1", 2), now)
	commands := func() []workers.Command { return machine.agent.Commands(true, now) }

	l.runSchedulingPass(now)
	if got := commands(); len(job.attempts) != 2 || len(got) != 0 {
		t.Fatalf("%d placed, commands %v before the record", len(job.attempts), got)
	}
	revision := commitAll(l, 100)
	if got := commands(); len(got) != 2 || got[0].Verb != workers.VerbRun {
		t.Fatalf("after the record: %v", got)
	}

	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
	if len(machine.images) != 1 || !machine.images[0].fetched || l.metadata.due[machine].IsZero() {
		t.Errorf("the image is not noted for the next leader")
	}

	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseDone), false, now)
	if got := commands(); !job.complete || len(got) != 0 {
		t.Fatalf("complete %v, commands %v before completion is recorded", job.complete, got)
	}
	commitAll(l, revision)
	if got := commands(); len(got) != 2 || got[0].Verb != workers.VerbForget {
		t.Fatalf("after completion: %v", got)
	}
	if l.jobs.get("j-1") != nil {
		t.Errorf("the job is still open")
	}
}

// TestCancelledTasksStillCount: a cancelled job's tasks count for their team
// until they are proven gone, also for the next leader.
func TestCancelledTasksStillCount(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", now)
	addJob(t, l, arraySpec("j-1", 3), now)
	startAndReport(l, machine, now)
	machine.agent.Endpoint = "" // nothing to be told directly here
	l.jobRecordDeleted("j-1", now)
	if got := l.snapshotForPlacement(now).Teams["a"].Used.GPUs; got != 3 {
		t.Errorf("%v GPUs in use after the cancellation, want 3", got)
	}
	record := l.machineRecord(machine)
	if len(record.Attempts) != 3 || record.Jobs["j-1"].Team != "a" || resourcesFromRecord(record.Jobs["j-1"].Resources).GPUs != 1 {
		t.Errorf("the record does not carry them: %+v", record)
	}
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseStopped), false, now)
	if l.snapshotForPlacement(now).Teams["a"].Used.GPUs != 0 {
		t.Errorf("they count for ever")
	}
}
