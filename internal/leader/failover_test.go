package leader

import (
	"testing"
	"time"
)

// TestFailoverEndsWithTheLeases: a failover lasts until all machines have reported, or the
// leases of those that have not are over; until then it tells how far it is.
func TestFailoverEndsWithTheLeases(t *testing.T) {
	const lease = 12 * time.Second
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		heard, all int
		after      time.Duration
		over       bool
	}{
		{"some are missing", 2, 3, lease, false},
		{"all have reported", 3, 3, time.Second, true},
		{"the leases are over", 2, 3, lease + time.Millisecond, true},
	} {
		var f failover
		if !f.over() {
			t.Error("over before it begins: false")
		}
		f.begin(start)
		f.step("reading the jobs")
		took, over := f.heard(c.heard, c.all, lease, start.Add(c.after))
		if over != c.over || f.over() != c.over || took != c.after {
			t.Errorf("%s: over %v after %v, progress %q", c.name, over, took, f.progressText())
		}
	}
}

// TestPublishedStateIsReadByOthers: what other goroutines see is what was published last.
func TestPublishedStateIsReadByOthers(t *testing.T) {
	l := testLeader(t)
	if l.Machines() != 0 || l.FailoverProgress() != "" {
		t.Errorf("before the first: %d machines, %q", l.Machines(), l.FailoverProgress())
	}
	addMachine(l, "m-1", "east", time.Now())
	l.failoverStep("reading the log, %d jobs open", 7)
	if l.Machines() != 1 || l.FailoverProgress() != "reading the log, 7 jobs open" {
		t.Errorf("%d machines, %q", l.Machines(), l.FailoverProgress())
	}
}
