package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// Where more comes than can be placed, the order of time left makes every job
// late by a little: each is served just as its time runs out. The users count the
// jobs that are in time, so it is better to let a few large ones go.

// sized is a job with the time that its waiting tasks take to be placed at the
// rate of late, in seconds.
type sized struct {
	job  *Job
	work float64
}

// largestFirst is a heap of jobs.
type largestFirst []sized

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(i, j int) bool { return h[i].work > h[j].work }
func (h largestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a job.
func (h *largestFirst) Push(x any) { *h = append(*h, x.(sized)) }

// Pop takes the last one off.
func (h *largestFirst) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// sparable names the jobs, of a list in the order of time left, that had better
// wait so that as many of the others as can be are placed in time, with so many
// tasks placed a second (Moore and Hodgson's rule: whenever one would be late, the
// largest so far gives way).
func sparable(jobs []*Job, rate float64) map[*Job]bool {
	var in largestFirst
	spared := make(map[*Job]bool)
	sum := 0.0
	for _, j := range jobs {
		w := float64(len(j.WaitingTasks)) / rate
		heap.Push(&in, sized{j, w})
		sum += w
		if sum > j.TimeToTarget.Seconds() {
			out := heap.Pop(&in).(sized)
			spared[out.job] = true
			sum -= out.work
		}
	}
	return spared
}

// spareInTime reorders the sweeps of one rank that can still be in time, each
// class's in the places that it has there: those that had better wait go last.
// Where there is room for all, the order makes no difference.
func (p *pass) spareInTime(jobs []*Job) {
	places := make(map[string][]int)
	for i, j := range jobs {
		if j.Spec.Kind != "gang" && !j.Late && !j.Blocked && len(j.WaitingTasks) > 0 && p.StartRate[j.Spec.Class] > 0 {
			places[j.Spec.Class] = append(places[j.Spec.Class], i)
		}
	}
	for class, at := range places {
		list := make([]*Job, len(at))
		for i, k := range at {
			list[i] = jobs[k]
		}
		slices.SortStableFunc(list, func(a, b *Job) int { return cmp.Compare(a.TimeToTarget, b.TimeToTarget) })
		spared := sparable(list, p.StartRate[class])
		if len(spared) == 0 {
			continue
		}
		slices.SortStableFunc(list, func(a, b *Job) int {
			if spared[a] != spared[b] {
				if spared[b] {
					return -1
				}
				return 1
			}
			return 0
		})
		for i, k := range at {
			jobs[k] = list[i]
		}
	}
}
