package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawArrays draws job arrays in the order of the time left.
func drawArrays(t *rapid.T) (arrays []*Job) {
	for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
		job := arrayJob(fmt.Sprint("j-", i), "a", 1)
		job.TimeToTarget = time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds left")) * time.Second
		setTasks(job, rapid.IntRange(1, 200).Draw(t, "tasks"))
		arrays = append(arrays, job)
	}
	slices.SortStableFunc(arrays, func(a, b *Job) int { return cmp.Compare(a.TimeToTarget, b.TimeToTarget) })
	return arrays
}

// allOnTime tells whether each of the arrays is on time if they are placed one after the
// other, at a rate of tasks per second.
func allOnTime(arrays []*Job, rate float64) bool {
	const roundingS = 1e-9
	seconds := 0.0
	for _, job := range arrays {
		seconds += float64(len(job.WaitingTasks)) / rate
		if seconds > job.TimeToTarget.Seconds()+roundingS {
			return false
		}
	}
	return true
}

// mostOnTime tries all choices of the arrays for the most that can be on time.
func mostOnTime(arrays []*Job, rate float64) (most int) {
	for choice := range 1 << len(arrays) {
		var chosen []*Job
		for i, job := range arrays {
			if choice&(1<<i) != 0 {
				chosen = append(chosen, job)
			}
		}
		if len(chosen) > most && allOnTime(chosen, rate) {
			most = len(chosen)
		}
	}
	return most
}

// TestMostAreInTime: of the jobs of a class as many as can be are kept on time.
func TestMostAreInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		arrays := drawArrays(t)
		deferred := deferrable(arrays, rate)
		kept := slices.DeleteFunc(slices.Clone(arrays), func(job *Job) bool { return deferred[job] })
		if most := mostOnTime(arrays, rate); !allOnTime(kept, rate) || len(kept) != most {
			t.Fatalf("%d kept on time (all of them: %v), could be %d", len(kept), allOnTime(kept, rate), most)
		}
	})
}

// TestLargeSweepsGiveWay guards against drawn days of Peakdale: three times as many chart
// runs as could be placed were served in the order of time left, and nearly all were late
// by a little. The one too large to be on time waits; other classes keep their places.
func TestLargeSweepsGiveWay(t *testing.T) {
	large, small, otherClass := arrayJob("j-1", "a", 1), arrayJob("j-2", "a", 1), arrayJob("j-3", "a", 1)
	setTasks(large, 6)
	setTasks(small, 2)
	otherClass.Spec.Class = "y"
	snapshot := &Snapshot{
		Machines: testMachines(3), Jobs: []*Job{large, small, otherClass},
		StartRate: map[string]float64{"x": 1, "y": 1},
		Teams:     map[string]*Team{"a": {Limit: Resources{GPUs: 100}}},
	}
	for i, job := range snapshot.Jobs {
		job.Order = uint64(i)
		job.Slack = time.Duration(4+i) * time.Second
		job.TimeToTarget = job.Slack
	}
	started := startedTasks(Schedule(snapshot))
	if started["j-2"] != 2 || started["j-1"] != 1 {
		t.Errorf("started %v", started)
	}
}
