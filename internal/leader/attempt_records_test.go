package leader

import (
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// TestGangStartsWhenAllAttemptsCommitted checks that no task of a gang may start until the
// attempts of all its tasks are committed, and that then all of them may.
func TestGangStartsWhenAllAttemptsCommitted(t *testing.T) {
	const tasks = 3
	now := time.Now()
	l := testLeader(t)
	for _, name := range []string{"m-1", "m-2", "m-3"} {
		addMachine(l, name, "east", now)
	}
	spec := arraySpec("j-1", tasks)
	spec.Kind, spec.SameZone, spec.GPUs = jobs.KindGang, true, 4
	job := addJob(t, l, spec, now)
	l.runSchedulingPass(now)
	placed := job.attempts.sorted()
	if len(placed) != tasks {
		t.Fatalf("%d of %d tasks placed", len(placed), tasks)
	}
	for i, p := range placed {
		p.attempt.Committed = true
		l.allowStart(p.machine, p.attempt)
		allCommitted := i == tasks-1
		for _, other := range placed {
			if other.attempt.StartAllowed != allCommitted {
				t.Errorf("%d of %d attempts committed: task %d allowed to start: %v", i+1, tasks, other.attempt.ID.Task.Index, !allCommitted)
			}
		}
	}
}
