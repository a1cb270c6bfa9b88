package leader

import (
	"testing"
	"time"

	"thornnotch/internal/workers"
)

// TestCommandsWaitForCommit checks, for a job from its placement to its completion, that no
// command is sent before the record that it depends on is committed.
func TestCommandsWaitForCommit(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", now)
	job := addJob(t, l, arraySpec("j-1", 2), now)
	commands := func() []workers.Command { return machine.worker.Commands(true, now) }

	l.runSchedulingPass(now)
	if got := commands(); len(job.attempts) != 2 || len(got) != 0 {
		t.Fatalf("%d tasks placed, commands before the attempts are recorded: %v", len(job.attempts), got)
	}
	revision := commitPending(l, 100)
	if got := commands(); len(got) != 2 || got[0].Verb != workers.VerbRun {
		t.Fatalf("commands after the attempts are recorded: %v", got)
	}

	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusRunning, ""), false, now)
	if len(machine.images) != 1 || !machine.images[0].fetched || l.metadata.due[machine].IsZero() {
		t.Errorf("the cached image is not queued to be recorded")
	}

	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseDone), false, now)
	if got := commands(); !job.complete || len(got) != 0 {
		t.Fatalf("complete %v, commands before the completion is recorded: %v", job.complete, got)
	}
	commitPending(l, revision)
	if got := commands(); len(got) != 2 || got[0].Verb != workers.VerbForget {
		t.Fatalf("commands after the completion is recorded: %v", got)
	}
	if l.jobs.get("j-1") != nil {
		t.Errorf("the job is still open after its completion")
	}
}

// TestCancelledTasksCountUntilGone checks that tasks of a cancelled job count toward their
// team's usage until they are proven gone, and are recorded for the next leader.
func TestCancelledTasksCountUntilGone(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	machine := addMachine(l, "m-1", "east", now)
	addJob(t, l, arraySpec("j-1", 3), now)
	startAndSendHeartbeat(l, machine, now)
	machine.worker.Endpoint = "" // no direct commands
	l.jobRecordDeleted("j-1", now)
	if got := l.placementSnapshot(now).Teams["a"].Used.GPUs; got != 3 {
		t.Errorf("%v GPUs in use after the cancellation, want 3", got)
	}
	record := l.machineRecord(machine)
	if len(record.Attempts) != 3 || record.Jobs["j-1"].Team != "a" || resourcesFromRecord(record.Jobs["j-1"].Resources).GPUs != 1 {
		t.Errorf("the record lacks the cancelled job's attempts: %+v", record)
	}
	l.applyHeartbeat(machine, nextHeartbeat(l, machine, workers.StatusExited, workers.CauseStopped), false, now)
	if l.placementSnapshot(now).Teams["a"].Used.GPUs != 0 {
		t.Errorf("the tasks still count after their exit")
	}
}
