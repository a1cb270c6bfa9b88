package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"thornnotch/internal/constants"
)

// Budget keeps this node's calls below its share of the state service's limits. It has a
// token bucket for requests and one for writes (puts and deletes), each of one second's
// worth. A call may draw only while the bucket keeps the reserve of its class for more
// important calls. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex // guards all below, so that both buckets are drawn on at once
	requests *rate.Limiter
	writes   *rate.Limiter
	usage    [len(Classes)]Usage
}

// Usage is what the calls of one class have drawn so far.
type Usage struct {
	Requests, Writes uint64
	// WaitSeconds is the time that calls waited for tokens, in all.
	WaitSeconds float64
}

// NewBudget makes a budget of so many requests and writes per second.
func NewBudget(requestsPerSecond, writesPerSecond float64) *Budget {
	return &Budget{
		requests: rate.NewLimiter(rate.Limit(requestsPerSecond), burst(requestsPerSecond)),
		writes:   rate.NewLimiter(rate.Limit(writesPerSecond), burst(writesPerSecond)),
	}
}

// burst is the size of a bucket: one second's worth, as the service allows, and one token
// at least.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// SetRates changes the rates, as when a node becomes leader or no longer is.
func (b *Budget) SetRates(requestsPerSecond, writesPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.SetLimit(rate.Limit(requestsPerSecond))
	b.requests.SetBurst(burst(requestsPerSecond))
	b.writes.SetLimit(rate.Limit(writesPerSecond))
	b.writes.SetBurst(burst(writesPerSecond))
}

// Usage is what the calls of a class have drawn so far.
func (b *Budget) Usage(class Class) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage[class]
}

// Available is the number of tokens now in both buckets; it is negative while
// ClassLease has drawn more than there were.
func (b *Budget) Available() (requests, writes float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.Tokens(), b.writes.Tokens()
}

// Take draws one request and so many writes, and waits for them as long as ctx lasts. Its
// error is that of ctx: nothing was drawn, and the call must not be made.
func (b *Budget) Take(ctx context.Context, class Class, writes int) error {
	if b.tryTake(class, writes) {
		return nil
	}
	began := time.Now()
	defer func() { b.noteWait(class, time.Since(began)) }()
	for {
		retry := time.NewTimer(constants.BudgetRetryInterval)
		select {
		case <-ctx.Done():
			retry.Stop()
			return ctx.Err()
		case <-retry.C:
		}
		if b.tryTake(class, writes) {
			return nil
		}
	}
}

func (b *Budget) noteWait(class Class, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage[class].WaitSeconds += waited.Seconds()
}

// tryTake draws the tokens of a call if both buckets hold enough.
func (b *Budget) tryTake(class Class, writes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	// A lease that is not renewed in time ends the term: its calls never wait.
	if class != ClassLease {
		if !holdsEnough(b.requests, now, 1, class) || writes > 0 && !holdsEnough(b.writes, now, writes, class) {
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

// holdsEnough tells whether a bucket holds so many tokens on top of the reserve of the
// class. A call larger than the bucket less its reserve may go out of a full bucket:
// otherwise it would wait for ever.
func holdsEnough(bucket *rate.Limiter, now time.Time, tokens int, class Class) bool {
	full := float64(bucket.Burst())
	return bucket.TokensAt(now) >= min(float64(tokens)+class.reserve()*full, full)
}
