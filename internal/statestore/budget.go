package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"thornnotch/internal/constants"
)

// Class is the importance of a call. When tokens run short, the less
// important classes wait first.
type Class int

// Classes of calls, most important first.
const (
	ClassLease Class = iota
	ClassCancel
	ClassSubmit
	ClassRecord
	ClassPoll
	ClassOther
)

func (c Class) reserve() float64 {
	switch c {
	case ClassLease:
		return constants.ReserveLease
	case ClassCancel:
		return constants.ReserveCancel
	case ClassSubmit:
		return constants.ReserveSubmit
	case ClassRecord:
		return constants.ReserveRecord
	case ClassPoll:
		return constants.ReservePoll
	default:
		return constants.ReserveOther
	}
}

// Classes lists all classes, most important first.
var Classes = [...]Class{ClassLease, ClassCancel, ClassSubmit, ClassRecord, ClassPoll, ClassOther}

// String names the class, as in metrics.
func (c Class) String() string {
	switch c {
	case ClassLease:
		return "lease"
	case ClassCancel:
		return "cancel"
	case ClassSubmit:
		return "submit"
	case ClassRecord:
		return "record"
	case ClassPoll:
		return "poll"
	default:
		return "other"
	}
}

// Usage is what the calls of one class have drawn so far.
type Usage struct {
	Requests, Writes uint64
	WaitSeconds      float64 // time that they waited for tokens
}

// Budget hands out tokens for requests and for changes. A call may draw only
// while the bucket keeps the reserve of its class for more important calls.
type Budget struct {
	mu       sync.Mutex
	requests *rate.Limiter
	writes   *rate.Limiter
	drawn    [len(Classes)]Usage
}

// Usage tells what the calls of a class have drawn so far.
func (b *Budget) Usage(c Class) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drawn[c]
}

// NewBudget makes a budget of the given rates per second.
func NewBudget(rps, writeRPS float64) *Budget {
	return &Budget{
		requests: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		writes:   rate.NewLimiter(rate.Limit(writeRPS), max(1, int(writeRPS))),
	}
}

// SetRates changes the rates, as when a node takes or loses the lead.
func (b *Budget) SetRates(rps, writeRPS float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.SetLimit(rate.Limit(rps))
	b.requests.SetBurst(max(1, int(rps)))
	b.writes.SetLimit(rate.Limit(writeRPS))
	b.writes.SetBurst(max(1, int(writeRPS)))
}

// Take draws one request and n changes, waiting for them as long as ctx lasts.
func (b *Budget) Take(ctx context.Context, c Class, n int) error {
	var began time.Time
	defer func() {
		if !began.IsZero() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.drawn[c].WaitSeconds += time.Since(began).Seconds()
		}
	}()
	for {
		if b.try(c, n) {
			return nil
		}
		if began.IsZero() {
			began = time.Now()
		}
		t := time.NewTimer(constants.BudgetRetryInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (b *Budget) try(c Class, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	// A transaction larger than the bucket less its reserve may go out of a
	// full bucket; otherwise it would wait for ever.
	enough := func(l *rate.Limiter, n float64) bool {
		burst := float64(l.Burst())
		return l.TokensAt(now) >= min(n+c.reserve()*burst, burst)
	}
	if c != ClassLease && (!enough(b.requests, 1) || n > 0 && !enough(b.writes, float64(n))) {
		return false
	}
	b.drawn[c].Requests++
	b.drawn[c].Writes += uint64(n)
	b.requests.ReserveN(now, 1)
	if n > 0 {
		b.writes.ReserveN(now, min(n, b.writes.Burst()))
	}
	return true
}

// Available tells the tokens now in both buckets.
func (b *Budget) Available() (requests, writes float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.Tokens(), b.writes.Tokens()
}
