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
	r := addRig(l, "m-1", "east", now)
	j := addJob(t, l, sweep("j-1", 2), now)
	l.runSchedulingPass(now)
	if len(j.attempts) != 2 || len(r.agent.Commands(true, now)) != 0 {
		t.Fatalf("%d placed, %d orders before the record", len(j.attempts), len(r.agent.Commands(true, now)))
	}
	epoch := settle(l, 100)
	if got := r.agent.Commands(true, now); len(got) != 2 || got[0].Verb != workers.VerbRun {
		t.Fatalf("after the record: %v", got)
	}
	l.applyHeartbeat(r, report(l, r, workers.StatusRunning, ""), false, now)
	if len(r.images) != 1 || !r.images[0].have || l.metadata.due[r].IsZero() {
		t.Errorf("the image is not noted for the next leader")
	}
	l.applyHeartbeat(r, report(l, r, workers.StatusExited, workers.CauseDone), false, now)
	if !j.complete || len(r.agent.Commands(true, now)) != 0 {
		t.Fatalf("closing %v, orders %v before completion is recorded", j.complete, r.agent.Commands(true, now))
	}
	settle(l, epoch)
	if got := r.agent.Commands(true, now); len(got) != 2 || got[0].Verb != workers.VerbForget {
		t.Fatalf("after completion: %v", got)
	}
	if l.jobs["j-1"] != nil {
		t.Errorf("the job is still open")
	}
}

// TestCancelledTasksStillCount: a cancelled job's tasks count for their team
// until they are proven gone, also for the next leader.
func TestCancelledTasksStillCount(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	r := addRig(l, "m-1", "east", now)
	addJob(t, l, sweep("j-1", 3), now)
	l.runSchedulingPass(now)
	settle(l, 100)
	r.agent.Commands(true, now)
	l.applyHeartbeat(r, report(l, r, workers.StatusRunning, ""), false, now)
	r.agent.Endpoint = "" // nothing to be told directly here
	l.jobRecordDeleted("j-1", now)
	w, _ := l.snapshotForPlacement(now)
	if got := w.Teams["a"].Used.GPUs; got != 3 {
		t.Errorf("%v GPUs in use after the cancellation, want 3", got)
	}
	rec := l.machineRecord(r)
	if len(rec.Attempts) != 3 || rec.Jobs["j-1"].Team != "a" || roomOf(rec.Jobs["j-1"].Resources).GPUs != 1 {
		t.Errorf("the record does not carry them: %+v", rec)
	}
	l.applyHeartbeat(r, report(l, r, workers.StatusExited, "halted"), false, now)
	if w, _ = l.snapshotForPlacement(now); w.Teams["a"].Used.GPUs != 0 {
		t.Errorf("they count for ever")
	}
}
