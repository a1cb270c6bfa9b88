package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// When more array tasks are submitted than can be placed, serving jobs in the order of time
// left makes every job a little late, because each is placed just as its time runs out.
// Objectives count the jobs that are on time, so it is better to defer a few large jobs.

// deferArraysUnderOverload reorders the job arrays of one rank that can still be on time. Each
// class's arrays are permuted among their own positions, and deferred arrays go last. If all
// of them can be on time, the order is left unchanged.
func (p *pass) deferArraysUnderOverload(rank []*Job) {
	positionsByClass := make(map[string][]int)
	for i, job := range rank {
		if !job.isGang() && !job.Late && !job.BackingOff && len(job.WaitingTasks) > 0 && p.StartRate[job.Spec.Class] > 0 {
			positionsByClass[job.Spec.Class] = append(positionsByClass[job.Spec.Class], i)
		}
	}
	for class, positions := range positionsByClass {
		arrays := jobsAt(rank, positions)
		slices.SortStableFunc(arrays, func(a, b *Job) int { return cmp.Compare(a.TimeToTarget, b.TimeToTarget) })
		deferred := chooseDeferred(arrays, p.StartRate[class])
		if len(deferred) == 0 {
			continue
		}
		slices.SortStableFunc(arrays, func(a, b *Job) int {
			if deferred[a] != deferred[b] {
				return compareFalseFirst(deferred[a])
			}
			return 0
		})
		setJobsAt(rank, positions, arrays)
	}
}

// chooseDeferred returns the jobs to defer so that as many jobs as possible are placed on
// time, where rate is the number of tasks placed per second. The jobs must be sorted by time
// left. It uses the Moore-Hodgson algorithm: whenever a job would be late, the job so far that
// takes longest to place is deferred.
func chooseDeferred(byTimeLeft []*Job, rate float64) map[*Job]bool {
	var onTime longestFirst
	deferred := make(map[*Job]bool)
	totalSeconds := 0.0
	for _, job := range byTimeLeft {
		seconds := float64(len(job.WaitingTasks)) / rate
		heap.Push(&onTime, timedJob{job, seconds})
		totalSeconds += seconds
		if totalSeconds > job.TimeToTarget.Seconds() {
			longest := heap.Pop(&onTime).(timedJob)
			deferred[longest.job] = true
			totalSeconds -= longest.seconds
		}
	}
	return deferred
}

// timedJob is a job and the number of seconds that placing its waiting tasks takes.
type timedJob struct {
	job     *Job
	seconds float64
}

// longestFirst is a heap of jobs, the one that takes longest to place first.
type longestFirst []timedJob

func (h longestFirst) Len() int           { return len(h) }
func (h longestFirst) Less(i, j int) bool { return h[i].seconds > h[j].seconds }
func (h longestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *longestFirst) Push(x any) { *h = append(*h, x.(timedJob)) }

// Pop implements heap.Interface.
func (h *longestFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
