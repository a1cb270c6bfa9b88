package placement

import (
	"testing"
	"time"
)

// TestSmallGangsFirstAtTheLimit: where a team's limit can't hold all that waits, its small
// gangs go first, whichever has less time left; elsewhere the time left decides, and a
// boosted one goes before all.
func TestSmallGangsFirstAtTheLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit float64
		boost Boost
		want  string
	}{
		{"short", 16, NoBoost, "j-2 j-3"},
		{"enough", 32, NoBoost, "j-1 j-2 j-3"},
		{"boosted", 16, BoostWithinPriority, "j-1"},
	} {
		large, small, other := gangJob("j-1", 1, 4), gangJob("j-2", 1, 1), gangJob("j-3", 1, 1)
		large.Boost = c.boost
		snapshot := &Snapshot{
			Machines: testMachines(8), Jobs: []*Job{large, small, other},
			Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.limit}}},
		}
		for i, job := range snapshot.Jobs {
			job.Order, job.Slack = uint64(i), time.Duration(i)*time.Second
		}
		if started := startedJobs(Schedule(snapshot)); started != c.want {
			t.Errorf("%s: started %v, want %s", c.name, started, c.want)
		}
	}
}
