package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// Where more array tasks come than can be placed, the order of time left makes every job
// late by a little: each is served just as its time runs out. Users count the jobs that
// are on time, so it is better to defer a few large ones.

// deferLateArrays reorders the job arrays of one rank that can still be on time, each
// class's within the places that it has there: those that had better wait go last.
// Where there is room for all, the order makes no difference.
func (p *pass) deferLateArrays(rank []*Job) {
	places := make(map[string][]int)
	for i, job := range rank {
		if !job.isGang() && !job.Late && !job.Blocked && len(job.WaitingTasks) > 0 && p.StartRate[job.Spec.Class] > 0 {
			places[job.Spec.Class] = append(places[job.Spec.Class], i)
		}
	}
	for class, at := range places {
		arrays := pick(rank, at)
		slices.SortStableFunc(arrays, func(a, b *Job) int { return cmp.Compare(a.TimeToTarget, b.TimeToTarget) })
		deferred := deferrable(arrays, p.StartRate[class])
		if len(deferred) == 0 {
			continue
		}
		slices.SortStableFunc(arrays, func(a, b *Job) int {
			if deferred[a] != deferred[b] {
				return falseFirst(deferred[a])
			}
			return 0
		})
		putBack(rank, at, arrays)
	}
}

// deferrable names the jobs, of a list in the order of time left, that had better wait so
// that as many of the others as possible are placed on time, at a rate of tasks per
// second. This is the Moore-Hodgson algorithm: whenever a job would be late, the largest
// so far is deferred.
func deferrable(byTimeLeft []*Job, rate float64) map[*Job]bool {
	var onTime largestFirst
	deferred := make(map[*Job]bool)
	totalSeconds := 0.0
	for _, job := range byTimeLeft {
		seconds := float64(len(job.WaitingTasks)) / rate
		heap.Push(&onTime, sizedJob{job, seconds})
		totalSeconds += seconds
		if totalSeconds > job.TimeToTarget.Seconds() {
			largest := heap.Pop(&onTime).(sizedJob)
			deferred[largest.job] = true
			totalSeconds -= largest.seconds
		}
	}
	return deferred
}

// sizedJob is a job with the time that its waiting tasks take to be placed.
type sizedJob struct {
	job     *Job
	seconds float64
}

// largestFirst is a heap of jobs.
type largestFirst []sizedJob

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(i, j int) bool { return h[i].seconds > h[j].seconds }
func (h largestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *largestFirst) Push(x any) { *h = append(*h, x.(sizedJob)) }

// Pop is for container/heap.
func (h *largestFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
