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
	var limits stateLimits
	now := time.Unix(1000, 0)
	for range 20 {
		now = now.Add(constants.RateLimitedWindow / 2)
		if limits.noteRefusal(now) || limits.ratesLowered.Load() {
			t.Fatal("single refusals count as lower rates")
		}
	}
	fell := 0
	for range 20 {
		now = now.Add(constants.RateLimitedWindow / 20)
		if limits.noteRefusal(now) {
			fell++
		}
	}
	if fell != 1 || !limits.ratesLowered.Load() {
		t.Errorf("found %d times, lowered %v", fell, limits.ratesLowered.Load())
	}

	settings := config.StateLimits{ValueKB: 16, TxnOps: 12}
	if got := limits.apply(settings); got != settings {
		t.Errorf("before any refusal for size: %+v", got)
	}
	limits.halveTransactions()
	if got := limits.apply(settings); got.ValueKB != 8 || got.TxnOps != 6 {
		t.Errorf("after one: %+v", got)
	}
	for range 9 {
		limits.halveTransactions()
	}
	if got := limits.apply(settings); got.ValueKB != constants.MinValueKB || got.TxnOps != constants.MinTxnOps {
		t.Errorf("after ten: %+v", got)
	}
}
