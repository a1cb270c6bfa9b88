package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMostAreInTime: of the jobs of a class as many as can be are kept in time.
// All choices are tried to compare.
func TestMostAreInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		var jobs []*Job
		for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
			j := sweepJob(fmt.Sprint("j-", i), "a", 1)
			j.TimeToTarget = time.Duration(rapid.IntRange(1, 60).Draw(t, "left")) * time.Second
			j.WaitingTasks = make([]int, rapid.IntRange(1, 200).Draw(t, "waiting"))
			jobs = append(jobs, j)
		}
		slices.SortStableFunc(jobs, func(a, b *Job) int { return int(a.TimeToTarget - b.TimeToTarget) })
		inTime := func(set func(i int) bool) (n int, all bool) {
			sum := 0.0
			for i, j := range jobs {
				if !set(i) {
					continue
				}
				n++
				if sum += float64(len(j.WaitingTasks)) / rate; sum > j.TimeToTarget.Seconds()+1e-9 {
					return n, false
				}
			}
			return n, true
		}
		most := 0
		for bits := range 1 << len(jobs) {
			if n, all := inTime(func(i int) bool { return bits&(1<<i) != 0 }); all {
				most = max(most, n)
			}
		}
		deferred := deferrable(jobs, rate)
		if n, all := inTime(func(i int) bool { return !deferred[jobs[i]] }); !all || n != most {
			t.Fatalf("%d kept in time (all of them: %v), could be %d", n, all, most)
		}
	})
}

// TestLargeSweepsGiveWay guards against drawn days of Peakdale: three times as many
// chart runs as could be placed were served in the order of time left, and nearly
// all were late by a little. The one too large to be in time waits; other classes
// keep their places.
func TestLargeSweepsGiveWay(t *testing.T) {
	large, small, other := sweepJob("j-1", "a", 1), sweepJob("j-2", "a", 1), sweepJob("j-3", "a", 1)
	other.Spec.Class = "y"
	large.WaitingTasks, small.WaitingTasks = []int{0, 1, 2, 3, 4, 5}, []int{0, 1}
	w := &Snapshot{
		Jobs: []*Job{large, small, other}, StartRate: map[string]float64{"x": 1, "y": 1},
		Teams: map[string]*Team{"a": {Limit: Resources{GPUs: 100}}},
	}
	for i, j := range w.Jobs {
		j.Order, j.Spec.Tasks = uint64(i), len(j.WaitingTasks)
		j.Slack = time.Duration(4+i) * time.Second
		j.TimeToTarget = j.Slack
	}
	for i := range 3 {
		r := oneRig()
		r.Name = fmt.Sprint("m-", i)
		w.Machines = append(w.Machines, r)
	}
	got := map[string]int{}
	for _, s := range Schedule(w).Starts {
		got[s.Job.Spec.ID]++
	}
	if got["j-2"] != 2 || got["j-1"] != 1 {
		t.Errorf("started %v", got)
	}
}
