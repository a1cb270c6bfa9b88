package statestore

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
)

// TestPatience: however slow the service is, within what one request may take, all but
// the first transaction hear its answer; lost answers are waited for no longer than
// that, and where answers are quick soon for the least again.
func TestPatience(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timeout txnTimeout
		takes := time.Duration(rapid.IntRange(1, int(constants.StateTimeout/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		unheard := 0
		for range 30 {
			if takes > timeout.next() {
				unheard++
				timeout.lost()
				continue
			}
			timeout.answered(takes)
		}
		if unheard > 1 {
			t.Fatalf("of a service that takes %v %d answers are not heard", takes, unheard)
		}

		timeout.lost()
		if timeout.next() != constants.StateTimeout {
			t.Fatalf("after a loss it waits %v", timeout.next())
		}

		quick := time.Duration(rapid.IntRange(1, 200).Draw(t, "quick")) * time.Millisecond
		timeout.answered(quick)
		timeout.answered(quick)
		if timeout.next() != constants.TxnTimeout {
			t.Fatalf("after two answers in %v it waits %v", quick, timeout.next())
		}
	})
}
