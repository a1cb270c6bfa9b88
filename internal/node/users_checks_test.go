package node

import (
	"fmt"
	"net/http"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Checks of the responses that users get.

// jobResponse is a node's response to a request about a job.
type jobResponse struct {
	job, request string
	node, code   int
	status       string
	sentAt       time.Time // when the request was sent
}

// String describes the request, for reports of violations.
func (r jobResponse) String() string {
	return fmt.Sprintf("%s of %s at node %d", r.request, r.job, r.node)
}

// checkResponse checks a response against what users knew when the request was sent.
func (u *users) checkResponse(r jobResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known := u.jobs[r.job]
	// The responses to two concurrent requests may arrive in either order, and the later one may
	// report the older state. So only what was known before the request was sent counts.
	knownBefore := known != nil && known.status != "" && known.statusAt.Before(r.sentAt)
	switch r.code {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotFound:
		u.answered++
		if knownBefore {
			u.site.rules.reportViolation("forgotten: %v got 404 after %s", r, known.status)
		}
		return
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		u.answered++
		if knownBefore {
			u.site.rules.reportViolation("forgotten: %v got %d, but the job is known", r, r.code)
		}
		return
	default:
		u.inconclusive++
		return
	}
	u.answered++
	if known == nil {
		u.site.rules.reportViolation("invented: %v got %s, but nobody submitted the job", r, r.status)
		return
	}
	if knownBefore && isFinal(known.status) && r.status != known.status {
		u.site.rules.reportViolation("went_back: %v got %s after %s", r, r.status, known.status)
	}
	u.checkCancellation(r, known)
	if r.status == jobs.StatusDone {
		u.checkDone(r, known)
	}
	u.recordStatus(r, known)
}

// checkCancellation checks that a job is cancelled along with the jobs that it depends on, and
// that no other job is reported as cancelled without a user's request. The caller holds mu.
func (u *users) checkCancellation(r jobResponse, known *knownJob) {
	rules := u.site.rules
	cancelled, at := u.upstreamCancelled(r.job)
	switch {
	case cancelled:
		if !isFinal(r.status) && time.Since(at) > rules.cancelWithin && r.sentAt.Sub(at) > rules.cancelWithin {
			rules.reportViolation("orphaned: %v got %s, %v after an upstream job was cancelled", r, r.status, r.sentAt.Sub(at))
		}
	case r.status == jobs.StatusCancelled && !known.cancelRequested && !u.upstreamCancelRequested(r.job):
		rules.reportViolation("went_back: %s is reported as cancelled, but no user requested it", r.job)
	}
}

// checkDone checks that all tasks of a job that is reported as done have completed. The caller
// holds mu.
func (u *users) checkDone(r jobResponse, known *knownJob) {
	completions := u.site.rules.completionCounts()
	for i := range known.spec.Tasks {
		if completions[workers.TaskID{Job: r.job, Index: i}] == 0 {
			u.site.rules.reportViolation("not_done: %s is reported as done before its task %d has completed", r.job, i)
		}
	}
}

// recordStatus records the job status from a response. The caller holds mu.
func (u *users) recordStatus(r jobResponse, known *knownJob) {
	switch {
	case isFinal(r.status) && known.status != r.status:
		known.status, known.statusAt = r.status, time.Now()
	case known.status == "":
		known.status, known.statusAt = jobs.StatusPending, time.Now()
	}
	if r.status == jobs.StatusCancelled {
		u.site.rules.recordCancelled(r.job)
	}
}

// upstreamCancelled reports whether users were told that a job upstream of this one is
// cancelled, and returns when they were first told. The caller holds mu.
func (u *users) upstreamCancelled(id string) (cancelled bool, at time.Time) {
	keepEarliest := func(when time.Time) {
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
			keepEarliest(upstream.statusAt)
		}
		if indirectly, when := u.upstreamCancelled(name); indirectly {
			keepEarliest(when)
		}
	}
	return cancelled, at
}

// upstreamCancelRequested reports whether a user has requested the cancellation of a job
// upstream of this one. The caller holds mu.
func (u *users) upstreamCancelRequested(id string) bool {
	for _, name := range u.jobs[id].spec.DependsOn {
		if upstream := u.jobs[name]; upstream != nil && (upstream.cancelRequested || u.upstreamCancelRequested(name)) {
			return true
		}
	}
	return false
}
