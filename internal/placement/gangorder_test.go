package placement

import (
	"testing"
	"time"
)

// TestSmallGangsFirstAtLimit checks that a team's small gangs go first if its limit is too
// small for all its waiting tasks, regardless of the time left. Otherwise the time left
// decides, and a boosted gang goes before all others.
func TestSmallGangsFirstAtLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit float64
		boost Boost
		want  string
	}{
		{"limit too small", 16, NoBoost, "j-2 j-3"},
		{"limit sufficient", 32, NoBoost, "j-1 j-2 j-3"},
		{"boosted", 16, BoostWithinPriority, "j-1"},
	} {
		large, small, secondSmall := gangJob("j-1", 1, 4), gangJob("j-2", 1, 1), gangJob("j-3", 1, 1)
		large.Boost = c.boost
		snapshot := &Snapshot{
			Machines: testMachines(8), Jobs: []*Job{large, small, secondSmall},
			Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.limit}}},
		}
		for i, job := range snapshot.Jobs {
			job.SubmissionRevision, job.Slack = uint64(i), time.Duration(i)*time.Second
		}
		if started := startedJobs(Schedule(snapshot)); started != c.want {
			t.Errorf("%s: started %v, want %s", c.name, started, c.want)
		}
	}
}
