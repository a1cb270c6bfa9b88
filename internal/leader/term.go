package leader

import (
	"context"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/election"
	"thornnotch/internal/statestore"
)

// EndReason is the error that a term ends with, by what ended it.
type EndReason string

const (
	// ErrDeposed ends a term because another node leads.
	ErrDeposed EndReason = "deposed: another node has raised the term"
	// ErrTxnTooLarge ends a term whose transactions are larger than the state service
	// takes. The next one writes smaller ones; whatever of this one is still under way
	// can't be carried out any more.
	ErrTxnTooLarge EndReason = "the state service refuses transactions of this size"
	// ErrAttemptNumbersExhausted ends a term that has no attempt numbers left; the next
	// one has new ones.
	ErrAttemptNumbersExhausted EndReason = "attempt numbers of this term are used up"
)

func (r EndReason) Error() string { return string(r) }

// term is the term that this leader was granted: whether it still lasts, and the attempt
// numbers that belong to it.
//
// The process may be frozen for half a minute while its clocks run on. Then all machines
// seem silent, as their heartbeats wait in our own sockets, and another node may lead. What
// is written is conditioned on the term; calls to the cloud are not, so they wait until the
// term record has been read again.
type term struct {
	grant     election.Grant
	attempts  attemptNumbers
	endReason EndReason // empty while the term lasts
	// lastRound is when the loop last went round, resumed when it last went on after it
	// had stood still.
	lastRound, resumed time.Time
	// unverified is set from then on until the state service has said that the term still
	// lasts; verifying while it is being asked.
	unverified, verifying bool
}

func newTerm(grant election.Grant) term {
	return term{grant: grant, attempts: attemptNumbers{term: grant.Term}}
}

// number is the term's number: the fencing token of all commands.
func (t *term) number() uint64 { return t.grant.Term }

// condition holds for as long as no other node has raised the term.
func (t *term) condition() statestore.Condition {
	return statestore.Condition{Key: election.TermKey, Revision: t.grant.Revision}
}

// end ends the term. The first reason counts.
func (t *term) end(reason EndReason) {
	if t.endReason == "" {
		t.endReason = reason
	}
}

// ended tells whether the term is over.
func (t *term) ended() bool { return t.endReason != "" }

// err is why the term is over; nil while it lasts.
func (t *term) err() error {
	if t.endReason == "" {
		return nil
	}
	return t.endReason
}

// nextAttempt gives out a new attempt number. With the last one the term ends, and it
// reports false.
func (t *term) nextAttempt() (number uint64, ok bool) {
	number, ok = t.attempts.next()
	if !ok {
		t.end(ErrAttemptNumbersExhausted)
	}
	return number, ok
}

// ownsAttempt tells whether an attempt number was given out in this term.
func (t *term) ownsAttempt(number uint64) bool { return t.attempts.owns(number) }

// beginRound notes that the loop is at work. It reports for how long it has stood still
// before, zero if it has not.
func (t *term) beginRound(now time.Time) (stall time.Duration) {
	if gap := now.Sub(t.lastRound); !t.lastRound.IsZero() && gap > constants.StallAfter {
		t.resume(now)
		stall = gap
	}
	t.lastRound = now
	return stall
}

// resume notes that the loop goes on after it may have stood still: silence before this
// time was our own, and the term is to be verified.
func (t *term) resume(now time.Time) { t.resumed, t.unverified = now, true }

// resumedAt is when the loop last went on after it had stood still.
func (t *term) resumedAt() time.Time { return t.resumed }

// verified tells whether the term is known to have lasted since the loop last stood still.
func (t *term) verified() bool { return !t.unverified }

// beginVerification has the term record asked for, unless it is being asked for already. The
// result must be handed to finishVerification with the returned time.
func (t *term) beginVerification() (asked time.Time, ok bool) {
	if t.verifying {
		return time.Time{}, false
	}
	t.verifying = true
	return t.resumed, true
}

// finishVerification takes in the term record, as it was asked for after the loop had gone
// on at this time. It reports whether the term is verified by it.
func (t *term) finishVerification(asked time.Time, record statestore.KeyValue, found bool, err error) bool {
	t.verifying = false
	switch {
	case err != nil:
		return false // the next tick asks again
	case !found || record.Revision != t.grant.Revision:
		t.end(ErrDeposed)
		return false
	case !asked.Equal(t.resumed):
		return false // it has stood still once more since
	}
	t.unverified = false
	return true
}

// verifyTerm asks the state service whether the term still lasts.
func (l *Leader) verifyTerm() {
	asked, ok := l.term.beginVerification()
	if !ok {
		return
	}
	l.calls.queue(func(ctx context.Context) func() {
		record, found, err := l.deps.Store.Get(ctx, statestore.ClassLease, election.TermKey)
		return func() {
			if l.term.finishVerification(asked, record, found, err) {
				l.passes.request()
			}
		}
	})
}
