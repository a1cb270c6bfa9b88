package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"thornnotch/internal/backoff"
	"thornnotch/internal/jobs"
)

// users models a site's users. They send requests to any node and check every response against
// what users had been told before the request.
type users struct {
	site       *site
	ctx        context.Context //nolint:containedctx // done when the users stop
	goroutines sync.WaitGroup

	mu   sync.Mutex // guards the fields below; locked before ruleChecker.mu
	rng  *rand.Rand
	jobs map[string]*knownJob
	// answered counts the requests with a conclusive response. inconclusive counts all others.
	answered, inconclusive int
}

// knownJob is what users know about a job.
type knownJob struct {
	spec *jobs.Spec
	// status is the latest status that a user was told: empty, pending (accepted), cancelled
	// or done. statusAt is when it changed.
	status   string
	statusAt time.Time
	// cancelRequested is set once a user has requested the job's cancellation.
	cancelRequested bool
}

func newUsers(ctx context.Context, s *site, rng *rand.Rand) *users {
	return &users{site: s, ctx: ctx, rng: rng, jobs: make(map[string]*knownJob)}
}

// intn returns a random number in [0, n).
func (u *users) intn(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.IntN(n)
}

// randomDuration returns a random duration from shortest to longest, both included.
func (u *users) randomDuration(shortest, longest time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return shortest + time.Duration(u.rng.Int64N(int64(longest-shortest)+1))
}

// pause waits for the given time or until the users stop.
func (u *users) pause(wait time.Duration) { backoff.Sleep(u.ctx, wait) }

// registerJob records a job that a user is about to submit.
func (u *users) registerJob(spec *jobs.Spec) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.jobs[spec.ID] == nil {
		u.jobs[spec.ID] = &knownJob{spec: spec}
	}
}

// specOf returns the specification of a job that users have submitted.
func (u *users) specOf(id string) *jobs.Spec {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id].spec
}

// knownStatus returns the latest status that users were told for a job.
func (u *users) knownStatus(id string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id].status
}

// countStatuses counts jobs by the latest status that users were told.
func (u *users) countStatuses(ids []string) map[string]int {
	counts := map[string]int{}
	for _, id := range ids {
		counts[u.knownStatus(id)]++
	}
	return counts
}

// randomNode returns a random node.
func (u *users) randomNode() int { return u.intn(u.site.siteOptions.nodes) }

// submitAt submits a job once to a node.
func (u *users) submitAt(node int, job *jobs.Spec) (code int) {
	u.registerJob(job)
	sentAt := time.Now()
	code, got := u.site.submitWithResponse(node, job)
	u.checkResponse(jobResponse{job.ID, "submission", node, code, got.Status, sentAt})
	return code
}

// submit retries a submission at random nodes until the job is accepted, for a minute at most.
func (u *users) submit(job *jobs.Spec) bool {
	u.registerJob(job)
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && u.ctx.Err() == nil; u.pause(time.Second) {
		if isAccepted(u.submitAt(u.randomNode(), job)) {
			return true
		}
	}
	return false
}

// queryStatus requests a job's status once from a node.
func (u *users) queryStatus(node int, id string) (code int, status string) {
	sentAt := time.Now()
	code, got := u.site.sendRequest(node, http.MethodGet, "/work/"+id, nil)
	u.checkResponse(jobResponse{id, "poll", node, code, got.Status, sentAt})
	return code, got.Status
}

// cancelAt requests a cancellation once from a node. The status is empty unless the response
// is 200.
func (u *users) cancelAt(node int, id string) (status string) {
	u.recordCancelRequest(id)
	sentAt := time.Now()
	code, got := u.site.cancelJob(node, id)
	u.checkResponse(jobResponse{id, "cancellation", node, code, got.Status, sentAt})
	if code != http.StatusOK {
		return ""
	}
	return got.Status
}

func (u *users) recordCancelRequest(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.jobs[id]; known != nil {
		known.cancelRequested = true
	}
}

// cancel retries a cancellation at random nodes until one confirms it, for a minute at most.
func (u *users) cancel(id string) (status string) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end) && u.ctx.Err() == nil; u.pause(time.Second) {
		if status := u.cancelAt(u.randomNode(), id); status != "" {
			return status
		}
	}
	return ""
}

// cancelAtUntilConfirmed retries a cancellation at one node until that node confirms it.
func (u *users) cancelAtUntilConfirmed(node int, id string, interval time.Duration) {
	for u.ctx.Err() == nil && u.cancelAt(node, id) == "" {
		u.pause(interval)
	}
}

// cancelAll cancels the given jobs, each at a random node. Scenarios use it for jobs that would
// run for too long.
func (u *users) cancelAll(ids []string) {
	for _, id := range ids {
		u.cancel(id)
	}
}

// queryAllNodes queries a job's status at all nodes concurrently, several times within
// milliseconds, and repeats its submission at each.
func (u *users) queryAllNodes(id string) {
	spec := u.specOf(id)
	var wg sync.WaitGroup
	for node := range u.site.siteOptions.nodes {
		wg.Go(func() {
			for range 3 {
				u.queryStatus(node, id)
				u.pause(u.randomDuration(0, 4*time.Millisecond))
			}
			u.submitAt(node, spec)
		})
	}
	wg.Wait()
}

// queryUntilFinal queries a job's status every few seconds until it is final.
func (u *users) queryUntilFinal(id string) {
	u.goroutines.Go(func() {
		for u.ctx.Err() == nil {
			u.pause(u.randomDuration(2*time.Second, 5*time.Second))
			if _, status := u.queryStatus(u.randomNode(), id); isFinal(status) {
				return
			}
		}
	})
}

// runAfter calls f in the background after the given time.
func (u *users) runAfter(wait time.Duration, f func()) {
	u.goroutines.Go(func() {
		u.pause(wait)
		if u.ctx.Err() == nil {
			f()
		}
	})
}

// requestCounts returns how many requests had a conclusive response and how many did not.
func (u *users) requestCounts() (answered, inconclusive int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answered, u.inconclusive
}
