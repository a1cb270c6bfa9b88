package leader

import (
	"testing"
	"time"
)

// TestFailoverCompletesOnHeartbeatsOrLeaseExpiry checks that a failover completes once all
// machines have reported or the leases of the other machines have expired, and that it shows its
// progress until then.
func TestFailoverCompletesOnHeartbeatsOrLeaseExpiry(t *testing.T) {
	const lease = 12 * time.Second
	startedAt := time.Unix(1000, 0)
	for _, c := range []struct {
		name                    string
		machinesReported, total int
		after                   time.Duration
		completed               bool
	}{
		{"machines missing", 2, 3, lease, false},
		{"all reported", 3, 3, time.Second, true},
		{"leases expired", 2, 3, lease + time.Millisecond, true},
	} {
		var f failover
		if !f.completed() {
			t.Error("failover in progress before it starts")
		}
		f.start(startedAt)
		f.setProgress("reading the jobs")
		took, completed := f.machinesReported(c.machinesReported, c.total, lease, startedAt.Add(c.after))
		if completed != c.completed || f.completed() != c.completed || took != c.after {
			t.Errorf("%s: completed %v after %v, progress %q", c.name, completed, took, f.progressText())
		}
	}
}

// TestPublishedStateIsVisible checks that other goroutines see the last published state.
func TestPublishedStateIsVisible(t *testing.T) {
	l := testLeader(t)
	if l.MachineCount() != 0 || l.FailoverProgress() != "" {
		t.Errorf("before the first publication: %d machines, progress %q, want none", l.MachineCount(), l.FailoverProgress())
	}
	addMachine(l, "m-1", "east", time.Now())
	l.setFailoverProgress("reading the log, %d jobs open", 7)
	if l.MachineCount() != 1 || l.FailoverProgress() != "reading the log, 7 jobs open" {
		t.Errorf("%d machines, progress %q, want 1 machine and the progress that was set", l.MachineCount(), l.FailoverProgress())
	}
}
