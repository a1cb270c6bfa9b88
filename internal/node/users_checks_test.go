package node

import (
	"fmt"
	"net/http"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// What users demand of the answers that they get.

// answer is a node's answer to a request about a job.
type answer struct {
	job, request string
	node, code   int
	status       string
	asked        time.Time // when the request was sent
}

// String names the request that was answered, for violations.
func (a answer) String() string { return fmt.Sprintf("%s of %s at node %d", a.request, a.job, a.node) }

// checkAnswer checks an answer against what was known when it was asked for.
func (u *users) checkAnswer(a answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known := u.jobs[a.job]
	// An answer that crosses another may be the older one.
	knownBefore := known != nil && known.status != "" && known.statusAt.Before(a.asked)
	switch a.code {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		u.answered++
		if knownBefore {
			u.site.rules.reportViolation("forgotten: %v got 404 after %s", a, known.status)
		}
		return
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		u.answered++
		if knownBefore {
			u.site.rules.reportViolation("forgotten: %v got %d", a, a.code)
		}
		return
	default:
		u.refused++
		return
	}
	u.answered++
	if known == nil {
		u.site.rules.reportViolation("invented: %v got %s", a, a.status)
		return
	}
	if knownBefore && isOver(known.status) && a.status != known.status {
		u.site.rules.reportViolation("went_back: %v got %s after %s", a, a.status, known.status)
	}
	u.checkCancellation(a, known)
	if a.status == jobs.StatusDone {
		u.checkDone(a, known)
	}
	u.remember(a, known)
}

// checkCancellation demands that a job shares the fate of a cancelled one upstream, and
// that no other is called cancelled without a user's request. The caller holds mu.
func (u *users) checkCancellation(a answer, known *jobKnowledge) {
	rules := u.site.rules
	cancelled, at := u.upstreamCancelled(a.job)
	switch {
	case cancelled:
		if !isOver(a.status) && time.Since(at) > rules.cancelWithin && a.asked.Sub(at) > rules.cancelWithin {
			rules.reportViolation("orphaned: %v got %s, %v after one before it was cancelled", a, a.status, a.asked.Sub(at))
		}
	case a.status == jobs.StatusCancelled && !known.cancelRequested && !u.upstreamCancelRequested(a.job):
		rules.reportViolation("went_back: %s is called cancelled, which its user did not ask for", a.job)
	}
}

// checkDone demands that all tasks of a job that is called done are. The caller holds mu.
func (u *users) checkDone(a answer, known *jobKnowledge) {
	completions := u.site.rules.allCompletions()
	for i := range known.spec.Tasks {
		if completions[workers.TaskID{Job: a.job, Index: i}] == 0 {
			u.site.rules.reportViolation("not_done: %s is called done before its task %d is", a.job, i)
		}
	}
}

// remember takes up what an answer tells of a job. The caller holds mu.
func (u *users) remember(a answer, known *jobKnowledge) {
	switch {
	case isOver(a.status) && known.status != a.status:
		known.status, known.statusAt = a.status, time.Now()
	case known.status == "":
		known.status, known.statusAt = jobs.StatusPending, time.Now()
	}
	if a.status == jobs.StatusCancelled {
		u.site.rules.noteCancelled(a.job)
	}
}

// upstreamCancelled tells whether a user was told that a job upstream of this one is
// cancelled, and when first. The caller holds mu.
func (u *users) upstreamCancelled(id string) (cancelled bool, at time.Time) {
	earliest := func(when time.Time) {
		if !cancelled || when.Before(at) {
			cancelled, at = true, when
		}
	}
	for _, name := range u.jobs[id].spec.DependsOn {
		upstream := u.jobs[name]
		if upstream == nil {
			continue
		}
		if upstream.status == jobs.StatusCancelled {
			earliest(upstream.statusAt)
		}
		if further, when := u.upstreamCancelled(name); further {
			earliest(when)
		}
	}
	return cancelled, at
}

// upstreamCancelRequested tells whether a user has asked to cancel a job upstream of
// this one. The caller holds mu.
func (u *users) upstreamCancelRequested(id string) bool {
	for _, name := range u.jobs[id].spec.DependsOn {
		if upstream := u.jobs[name]; upstream != nil && (upstream.cancelRequested || u.upstreamCancelRequested(name)) {
			return true
		}
	}
	return false
}
