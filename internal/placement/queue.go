package placement

import (
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// Before reports whether a precedes b in the queue. Jobs boosted above all come first, then
// the order is by priority, boost within the priority, guarantee, slack and submission. Among
// boosted jobs, submission takes precedence over guarantee and slack.
func Before(a, b *Job) bool {
	switch {
	case (a.Boost == BoostAboveAll) != (b.Boost == BoostAboveAll):
		return a.Boost == BoostAboveAll
	case a.Priority != b.Priority && a.Boost != BoostAboveAll:
		return a.Priority > b.Priority
	case a.Boost != b.Boost:
		return a.Boost > b.Boost
	case a.Boost != NoBoost && a.SubmissionRevision != b.SubmissionRevision:
		return a.SubmissionRevision < b.SubmissionRevision
	case a.Guaranteed != b.Guaranteed:
		return a.Guaranteed
	case a.Slack != b.Slack:
		return a.Slack < b.Slack
	case a.SubmissionRevision != b.SubmissionRevision:
		return a.SubmissionRevision < b.SubmissionRevision
	}
	return a.Spec.ID < b.Spec.ID
}

// precedesByRank reports whether a has a higher rank than b, regardless of slack.
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

// sameRank reports whether the jobs have the same boost, priority and guarantee status.
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

// forEachRank calls do for each maximal run of jobs of equal rank in a sorted queue.
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

// UpdateSlack updates the job's Slack, Late and TimeToTarget. Jobs of one rank are ordered by
// slack: the job that must start soonest to meet a target goes first. A job that has missed all
// its targets would only make other jobs miss theirs, so it is placed behind them, but its slack
// shrinks with age so that it is not postponed forever.
//
// Objectives are measured as shares of each class's jobs, so a missed target counts for more
// in a class with few jobs. relativeClassCount is the class's number of jobs relative to that
// of the most frequent class. It scales the time left, so jobs of rare classes go earlier.
func (j *Job) UpdateSlack(now time.Time, relativeClassCount float64) {
	age := now.Sub(j.Submitted)
	for _, target := range j.Targets {
		if target > age {
			j.Late, j.TimeToTarget = false, target-age
			j.Slack = time.Duration(float64(target-age) * relativeClassCount)
			return
		}
	}
	j.Late, j.TimeToTarget = true, 0
	var lastTarget time.Duration
	if n := len(j.Targets); n > 0 {
		lastTarget = j.Targets[n-1]
	}
	j.Slack = constants.LateSlack - (age-lastTarget)/constants.LateSlackDecay
}

// missedAllTargets reports whether the job had targets and can't meet any of them any more. It
// is false for a boosted job, which is not postponed after missing its targets.
func (j *Job) missedAllTargets() bool { return j.Late && len(j.Targets) > 0 && j.Boost == NoBoost }
