package workers

import (
	"testing"
	"time"
)

// TestRunSentOnlyAfterCommit checks that `run` is sent only after the attempt is committed and
// its start allowed, and only in the reply to a heartbeat.
func TestRunSentOnlyAfterCommit(t *testing.T) {
	now := time.Unix(1000, 0)
	worker := NewWorker("m-1")
	worker.Observe(newHeartbeat(1, 1), ownTerm, false, now)
	attempt := &Attempt{ID: AttemptID{TaskID{"j-1", 0}, 1}, Epoch: 1}
	worker.Attempts[attempt.ID] = attempt
	for _, c := range []struct {
		committed, startAllowed bool
		commands                int
	}{
		{false, false, 0},
		{true, false, 0},
		{false, true, 0},
		{true, true, 1},
	} {
		attempt.Committed, attempt.StartAllowed = c.committed, c.startAllowed
		if got := len(worker.Commands(false, now)); got != 0 {
			t.Errorf("committed %v allowed %v: direct command contains a start", c.committed, c.startAllowed)
		}
		if got := len(worker.Commands(true, now)); got != c.commands {
			t.Errorf("committed %v allowed %v: %d commands, want %d", c.committed, c.startAllowed, got, c.commands)
		}
	}
}
