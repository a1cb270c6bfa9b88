package placement

import (
	"testing"
	"time"
)

// TestLateGangYieldsLimitToOnTimeJobs guards against large gangs that had long missed their
// targets using up the limit of their team, whose job arrays then missed their targets, too.
// If the limit is sufficient, or the arrays are late as well, priority decides.
func TestLateGangYieldsLimitToOnTimeJobs(t *testing.T) {
	for _, c := range []struct {
		name                string
		gangLate, arrayLate bool
		limit               float64
		want                string // in addition to the other team's job, which always starts
	}{
		{"both on time", false, false, 8, "j-1 j-3"},
		{"gang late", true, false, 8, "j-2 j-3"},
		{"both late", true, true, 8, "j-1 j-3"},
		{"limit sufficient", true, false, 64, "j-1 j-2 j-3"},
	} {
		gang, array, other := gangJob("j-1", 1, 2), arrayJob("j-2", "a", 0), arrayJob("j-3", "b", 0)
		snapshot := &Snapshot{
			Machines: testMachines(4), Jobs: []*Job{gang, array, other},
			Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.limit}}, "b": {Limit: Resources{GPUs: 8}}},
		}
		for i, job := range snapshot.Jobs {
			job.SubmissionRevision, job.Targets = uint64(i), []time.Duration{time.Minute}
		}
		gang.Late, array.Late = c.gangLate, c.arrayLate
		if started := startedJobs(Schedule(snapshot)); started != c.want {
			t.Errorf("%s: started %s, want %s", c.name, started, c.want)
		}
	}
}
