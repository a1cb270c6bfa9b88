package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestStartsFollowTheirRecord walks one job through placement, record, start,
// end and completion: no order leaves before the record it needs.
func TestStartsFollowTheirRecord(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", now)
	j := addJob(t, l, arraySpec("j-1", 2), now)
	l.runSchedulingPass(now)
	if len(j.attempts) != 2 || len(machine.agent.Commands(true, now)) != 0 {
		t.Fatalf("%d placed, %d orders before the record", len(j.attempts), len(machine.agent.Commands(true, now)))
	}
	epoch := commitAll(l, 100)
	if got := machine.agent.Commands(true, now); len(got) != 2 || got[0].Verb != workers.VerbRun {
		t.Fatalf("after the record: %v", got)
	}
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
	if len(machine.images) != 1 || !machine.images[0].fetched || l.metadata.due[machine].IsZero() {
		t.Errorf("the image is not noted for the next leader")
	}
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseDone), false, now)
	if !j.complete || len(machine.agent.Commands(true, now)) != 0 {
		t.Fatalf("closing %v, orders %v before completion is recorded", j.complete, machine.agent.Commands(true, now))
	}
	commitAll(l, epoch)
	if got := machine.agent.Commands(true, now); len(got) != 2 || got[0].Verb != workers.VerbForget {
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
	l.runSchedulingPass(now)
	commitAll(l, 100)
	machine.agent.Commands(true, now)
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
	machine.agent.Endpoint = "" // nothing to be told directly here
	l.jobRecordDeleted("j-1", now)
	w := l.snapshotForPlacement(now)
	if got := w.Teams["a"].Used.GPUs; got != 3 {
		t.Errorf("%v GPUs in use after the cancellation, want 3", got)
	}
	rec := l.machineRecord(machine)
	if len(rec.Attempts) != 3 || rec.Jobs["j-1"].Team != "a" || resourcesFromRecord(rec.Jobs["j-1"].Resources).GPUs != 1 {
		t.Errorf("the record does not carry them: %+v", rec)
	}
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseStopped), false, now)
	if w = l.snapshotForPlacement(now); w.Teams["a"].Used.GPUs != 0 {
		t.Errorf("they count for ever")
	}
}
