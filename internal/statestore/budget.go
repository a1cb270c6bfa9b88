package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"thornnotch/internal/constants"
)

// Budget limits this node's calls to its share of the state service's rate limits. It has a
// token bucket for requests and one for writes (puts and deletes), each holding one second's
// worth of tokens. A call takes tokens only if the bucket then still holds the reserve that the
// call's class must leave for more important calls. A Budget is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex // guards the fields below; both buckets are charged atomically
	requests *rate.Limiter
	writes   *rate.Limiter
	usage    [len(Classes)]Usage
}

// Usage holds the cumulative token usage of one class.
type Usage struct {
	Requests, Writes uint64
	// WaitSeconds is the total time that calls have waited for tokens.
	WaitSeconds float64
}

// NewBudget returns a Budget with the given rates.
func NewBudget(requestsPerSecond, writesPerSecond float64) *Budget {
	return &Budget{
		requests: rate.NewLimiter(rate.Limit(requestsPerSecond), bucketSize(requestsPerSecond)),
		writes:   rate.NewLimiter(rate.Limit(writesPerSecond), bucketSize(writesPerSecond)),
	}
}

// bucketSize returns the capacity of a bucket: one second's worth of tokens, which is the
// burst that the service allows, but at least one token.
func bucketSize(perSecond float64) int { return max(1, int(perSecond)) }

// SetRates changes the rates, for example when the node gains or loses leadership.
func (b *Budget) SetRates(requestsPerSecond, writesPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.SetLimit(rate.Limit(requestsPerSecond))
	b.requests.SetBurst(bucketSize(requestsPerSecond))
	b.writes.SetLimit(rate.Limit(writesPerSecond))
	b.writes.SetBurst(bucketSize(writesPerSecond))
}

// Usage returns the cumulative usage of a class.
func (b *Budget) Usage(class Class) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage[class]
}

// Available returns the number of tokens in each bucket. It is negative after ClassLease
// calls have overdrawn a bucket.
func (b *Budget) Available() (requests, writes float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.Tokens(), b.writes.Tokens()
}

// Take takes the tokens for one request with the given number of writes, waiting until they
// are available or ctx ends. If it returns an error, which is that of ctx, no tokens were
// taken and the call must not be made.
func (b *Budget) Take(ctx context.Context, class Class, writes int) error {
	if b.tryTake(class, writes) {
		return nil
	}
	start := time.Now()
	defer func() { b.addWaitTime(class, time.Since(start)) }()
	for {
		timer := time.NewTimer(constants.BudgetRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		if b.tryTake(class, writes) {
			return nil
		}
	}
}

func (b *Budget) addWaitTime(class Class, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage[class].WaitSeconds += waited.Seconds()
}

// tryTake takes the tokens for a call if both buckets have enough, and reports whether it
// did.
func (b *Budget) tryTake(class Class, writes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	// Lease calls never wait: if the leader's lease is not renewed in time, another node may start
	// a new term.
	if class != ClassLease {
		if !hasTokens(b.requests, now, 1, class) || writes > 0 && !hasTokens(b.writes, now, writes, class) {
			return false
		}
	}
	b.usage[class].Requests++
	b.usage[class].Writes += uint64(writes)
	b.requests.ReserveN(now, 1)
	if writes > 0 {
		b.writes.ReserveN(now, min(writes, b.writes.Burst()))
	}
	return true
}

// hasTokens reports whether a bucket has the given number of tokens in addition to the
// reserve of the class. A call that needs more than the capacity less the reserve passes
// when the bucket is full; otherwise it would wait forever.
func hasTokens(bucket *rate.Limiter, now time.Time, tokens int, class Class) bool {
	capacity := float64(bucket.Burst())
	return bucket.TokensAt(now) >= min(float64(tokens)+class.reserve()*capacity, capacity)
}
