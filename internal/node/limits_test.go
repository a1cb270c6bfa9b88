package node

import (
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// TestRatesFallForGood: a run of refusals for too many calls means that the rates
// have fallen, single ones do not; and transactions become smaller only so far.
func TestRatesFallForGood(t *testing.T) {
	var l limits
	now := time.Unix(1000, 0)
	for range 20 {
		now = now.Add(constants.RateLimitedWindow / 2)
		if l.refused(now) || l.fallen.Load() {
			t.Fatal("single refusals count as lower rates")
		}
	}
	fell := 0
	for range 20 {
		now = now.Add(constants.RateLimitedWindow / 20)
		if l.refused(now) {
			fell++
		}
	}
	if fell != 1 || !l.fallen.Load() {
		t.Errorf("found %d times, fallen %v", fell, l.fallen.Load())
	}
	s := config.StateLimits{ValueKB: 16, TxnOps: 12}
	if got := l.within(s); got != s {
		t.Errorf("%+v", got)
	}
	l.shrink()
	if got := l.within(s); got.ValueKB != 8 || got.TxnOps != 6 {
		t.Errorf("%+v", got)
	}
	for range 9 {
		l.shrink()
	}
	if got := l.within(s); got.ValueKB != constants.MinValueKB || got.TxnOps != constants.MinTxnOps {
		t.Errorf("%+v", got)
	}
}
