package leader

import (
	"context"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/statestore"
)

// EndReason is the error with which a term ended.
type EndReason string

const (
	// ErrDeposed means that another node leads.
	ErrDeposed EndReason = "deposed: another node has started a newer term"
	// ErrTxnTooLarge means that the state service refused a transaction as too large. The next
	// term writes smaller ones, and transactions of this term that are still in flight can no
	// longer be executed.
	ErrTxnTooLarge EndReason = "state service rejects transactions of this size"
	// ErrAttemptNumbersExhausted means that the term has used all its attempt numbers. The
	// next term has new ones.
	ErrAttemptNumbersExhausted EndReason = "attempt numbers of this term are exhausted"
)

func (r EndReason) Error() string { return string(r) }

// term tracks whether the granted term still lasts, and allocates its attempt numbers.
//
// The process may be frozen for half a minute while its clocks run on. Afterwards all machines
// seem silent, because their heartbeats are still queued in this process's sockets, and
// another node may already lead. Writes to the state service are conditioned on the term, but
// calls to the cloud are not, so they wait until the term record has been read again.
type term struct {
	grant     election.Grant
	numbers   attemptNumbers
	endReason EndReason // empty while the term lasts
	// lastIteration is when the last iteration of the loop began. resumed is when the loop
	// last resumed after a stall.
	lastIteration, resumed time.Time
	// unverified is set from a stall until a read of the term record has confirmed that the term
	// still lasts. verifying is set while such a read is in flight.
	unverified, verifying bool
}

func newTerm(grant election.Grant) term {
	return term{grant: grant, numbers: attemptNumbers{term: grant.Term}}
}

// number returns the term's number, which is the fencing token of all commands.
func (t *term) number() uint64 { return t.grant.Term }

// condition returns a condition that holds until another node starts a newer term.
func (t *term) condition() statestore.Condition {
	return statestore.Condition{Key: election.TermKey, Revision: t.grant.Revision}
}

// end ends the term. Only the first reason is kept.
func (t *term) end(reason EndReason) {
	if t.endReason == "" {
		t.endReason = reason
	}
}

// ended reports whether the term has ended.
func (t *term) ended() bool { return t.endReason != "" }

// err returns why the term ended, or nil while it lasts.
func (t *term) err() error {
	if t.endReason == "" {
		return nil
	}
	return t.endReason
}

// nextAttempt allocates an attempt number. If none is left it ends the term and reports false.
func (t *term) nextAttempt() (number uint64, ok bool) {
	number, ok = t.numbers.next()
	if !ok {
		t.end(ErrAttemptNumbersExhausted)
	}
	return number, ok
}

// ownsAttempt reports whether an attempt number was allocated in this term.
func (t *term) ownsAttempt(number uint64) bool { return t.numbers.owns(number) }

// beginIteration records the start of a loop iteration. It returns how long the loop had
// stalled before it, or zero if it had not.
func (t *term) beginIteration(now time.Time) (stall time.Duration) {
	if gap := now.Sub(t.lastIteration); !t.lastIteration.IsZero() && gap > constants.StallAfter {
		t.markResumed(now)
		stall = gap
	}
	t.lastIteration = now
	return stall
}

// markResumed records that the loop may have stalled until now. Silence of machines before
// this time may be the leader's own fault, and the term must be verified.
func (t *term) markResumed(now time.Time) { t.resumed, t.unverified = now, true }

// resumedAt returns when the loop last resumed after a stall.
func (t *term) resumedAt() time.Time { return t.resumed }

// verified reports whether the term has been confirmed since the last stall.
func (t *term) verified() bool { return !t.unverified }

// beginVerification starts a verification of the term. It reports false if one is in flight
// already. Otherwise the caller must read the term record and pass what it read and the returned
// time to finishVerification.
func (t *term) beginVerification() (resumedAt time.Time, ok bool) {
	if t.verifying {
		return time.Time{}, false
	}
	t.verifying = true
	return t.resumed, true
}

// finishVerification handles the result of reading the term record; resumedAt is the time that
// beginVerification returned. It reports whether the term is now verified.
func (t *term) finishVerification(resumedAt time.Time, record statestore.KeyValue, found bool, err error) bool {
	t.verifying = false
	switch {
	case err != nil:
		return false // retried on the next tick
	case !found || record.Revision != t.grant.Revision:
		t.end(ErrDeposed)
		return false
	case !resumedAt.Equal(t.resumed):
		return false // the loop has stalled again since the request
	}
	t.unverified = false
	return true
}

// verifyTerm reads the term record to check whether the term still lasts.
func (l *Leader) verifyTerm() {
	resumedAt, ok := l.term.beginVerification()
	if !ok {
		return
	}
	l.calls.queue(func(ctx context.Context) func() {
		record, found, err := l.deps.Store.Get(ctx, statestore.ClassLease, election.TermKey)
		return func() {
			if l.term.finishVerification(resumedAt, record, found, err) {
				l.passes.request()
			}
		}
	})
}
