package statestore

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
)

// TestTxnTimeoutAdapts checks that at most one transaction times out while the service
// responds with a constant latency within constants.StateTimeout, that the timeout after a
// lost response is constants.StateTimeout, and that two fast responses reset it to
// constants.MinTxnTimeout.
func TestTxnTimeoutAdapts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var timeout txnTimeout
		latency := time.Duration(rapid.IntRange(1, int(constants.StateTimeout/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		timeouts := 0
		for range 30 {
			if latency > timeout.next() {
				timeouts++
				timeout.recordTimeout()
				continue
			}
			timeout.recordResponse(latency)
		}
		if timeouts > 1 {
			t.Fatalf("latency %v: %d transactions timed out, want at most 1", latency, timeouts)
		}

		timeout.recordTimeout()
		if timeout.next() != constants.StateTimeout {
			t.Fatalf("timeout after a lost response: %v, want constants.StateTimeout", timeout.next())
		}

		shortLatency := time.Duration(rapid.IntRange(1, 200).Draw(t, "shortLatency")) * time.Millisecond
		timeout.recordResponse(shortLatency)
		timeout.recordResponse(shortLatency)
		if timeout.next() != constants.MinTxnTimeout {
			t.Fatalf("timeout after two responses within %v: %v, want constants.MinTxnTimeout", shortLatency, timeout.next())
		}
	})
}
