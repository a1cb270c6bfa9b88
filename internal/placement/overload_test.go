package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawArrays draws job arrays, sorted by the time left.
func drawArrays(t *rapid.T) (arrays []*Job) {
	for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
		job := arrayJob(fmt.Sprint("j-", i), "a", 1)
		job.TimeToTarget = time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds left")) * time.Second
		setWaitingTasks(job, rapid.IntRange(1, 200).Draw(t, "tasks"))
		arrays = append(arrays, job)
	}
	slices.SortStableFunc(arrays, func(a, b *Job) int { return cmp.Compare(a.TimeToTarget, b.TimeToTarget) })
	return arrays
}

// allOnTime reports whether all arrays are on time if they are placed one after the other, at
// a rate of tasks per second.
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

// maxOnTime returns the largest number of arrays that can be on time, by trying all subsets.
func maxOnTime(arrays []*Job, rate float64) (largest int) {
	for choice := range 1 << len(arrays) {
		var chosen []*Job
		for i, job := range arrays {
			if choice&(1<<i) != 0 {
				chosen = append(chosen, job)
			}
		}
		if len(chosen) > largest && allOnTime(chosen, rate) {
			largest = len(chosen)
		}
	}
	return largest
}

// TestDeferralKeepsMostArraysOnTime checks that as many of a class's jobs as possible are kept
// on time.
func TestDeferralKeepsMostArraysOnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		arrays := drawArrays(t)
		deferred := chooseDeferred(arrays, rate)
		kept := slices.DeleteFunc(slices.Clone(arrays), func(job *Job) bool { return deferred[job] })
		if want := maxOnTime(arrays, rate); !allOnTime(kept, rate) || len(kept) != want {
			t.Fatalf("kept %d (all on time: %v), want %d", len(kept), allOnTime(kept, rate), want)
		}
	})
}

// TestLargeArrayDeferredUnderOverload guards against serving an overload in the order of time
// left: with three times as many array tasks as could be placed, nearly all jobs were slightly
// late. The job that is too large to be on time waits, and other classes keep their positions.
func TestLargeArrayDeferredUnderOverload(t *testing.T) {
	large, small, otherClass := arrayJob("j-1", "a", 1), arrayJob("j-2", "a", 1), arrayJob("j-3", "a", 1)
	setWaitingTasks(large, 6)
	setWaitingTasks(small, 2)
	otherClass.Spec.Class = "y"
	snapshot := &Snapshot{
		Machines: testMachines(3), Jobs: []*Job{large, small, otherClass},
		StartRate: map[string]float64{"x": 1, "y": 1},
		Teams:     map[string]*Team{"a": {Limit: Resources{GPUs: 100}}},
	}
	for i, job := range snapshot.Jobs {
		job.SubmissionRevision = uint64(i)
		job.Slack = time.Duration(4+i) * time.Second
		job.TimeToTarget = job.Slack
	}
	started := countStartedTasks(Schedule(snapshot))
	if started["j-2"] != 2 || started["j-1"] != 1 {
		t.Errorf("started %v, want 2 tasks of j-2 and 1 of j-1", started)
	}
}
