package placement

import (
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// Before is the queue's order: boosted over all, then priority, then boosted within the
// priority, then within the guarantee, then the time left to meet a target, then age.
func Before(a, b *Job) bool {
	switch {
	case (a.Boost == BoostAboveAll) != (b.Boost == BoostAboveAll):
		return a.Boost == BoostAboveAll
	case a.Priority != b.Priority && a.Boost != BoostAboveAll:
		return a.Priority > b.Priority
	case a.Boost != b.Boost:
		return a.Boost > b.Boost
	case a.Boost != NoBoost && a.Order != b.Order:
		return a.Order < b.Order
	case a.Guaranteed != b.Guaranteed:
		return a.Guaranteed
	case a.Slack != b.Slack:
		return a.Slack < b.Slack
	case a.Order != b.Order:
		return a.Order < b.Order
	}
	return a.Spec.ID < b.Spec.ID
}

// precedesByRank tells whether a job stands before another however the times left to
// meet their targets change.
func precedesByRank(a, b *Job) bool {
	if a.Boost == BoostAboveAll || b.Boost == BoostAboveAll {
		return a.Boost > b.Boost
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Boost != b.Boost {
		return a.Boost > b.Boost
	}
	return a.Guaranteed && !b.Guaranteed
}

// sameRank tells whether two jobs differ only in the time left to meet a target.
func sameRank(a, b *Job) bool {
	return a.Boost == b.Boost && a.Priority == b.Priority && a.Guaranteed == b.Guaranteed
}

func sortQueue(queue []*Job) {
	slices.SortFunc(queue, func(a, b *Job) int {
		switch {
		case Before(a, b):
			return -1
		case Before(b, a):
			return 1
		}
		return 0
	})
}

// forEachRank calls do with each longest run of jobs of the same rank in a sorted queue.
func forEachRank(queue []*Job, do func(rank []*Job)) {
	for from := 0; from < len(queue); {
		to := from + 1
		for to < len(queue) && sameRank(queue[from], queue[to]) {
			to++
		}
		do(queue[from:to])
		from = to
	}
}

// UpdateSlack sets how urgently the job must start, for the order within a rank: the job
// that must start soonest to meet a target goes first. A job that has missed all its
// targets would only make others miss theirs, so it stands behind them, but moves up with
// its age and is not passed over for ever.
//
// Targets are met or missed by shares of each class's jobs, so one missed target weighs
// the more, the fewer jobs its class has. classShare is the class's number of jobs,
// relative to that of the most frequent class; it shortens the time left.
func (j *Job) UpdateSlack(now time.Time, classShare float64) {
	age := now.Sub(j.Submitted)
	for _, target := range j.Targets {
		if target > age {
			j.Late, j.TimeToTarget = false, target-age
			j.Slack = time.Duration(float64(target-age) * classShare)
			return
		}
	}
	j.Late, j.TimeToTarget = true, 0
	var last time.Duration
	if n := len(j.Targets); n > 0 {
		last = j.Targets[n-1]
	}
	j.Slack = constants.LateSlack - (age-last)/constants.LateSlackDecay
}

// missedTargets tells whether the job had targets and can meet none any more. A boosted
// job is not passed over for having missed them.
func (j *Job) missedTargets() bool { return j.Late && len(j.Targets) > 0 && j.Boost == NoBoost }
