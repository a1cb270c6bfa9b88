package node

import (
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// TestRateLimitsAreLoweredOnce checks that a series of refused calls lowers the rates exactly
// once, that isolated refusals do not, and that the sizes of values and transactions are
// halved down to a minimum.
func TestRateLimitsAreLoweredOnce(t *testing.T) {
	var limits stateLimits
	now := time.Unix(1000, 0)
	for range 20 {
		now = now.Add(constants.RateLimitRefusalWindow / 2)
		if limits.recordRateLimited(now) || limits.ratesLowered.Load() {
			t.Fatal("isolated refusals lowered the rates")
		}
	}
	lowered := 0
	for range 20 {
		now = now.Add(constants.RateLimitRefusalWindow / 20)
		if limits.recordRateLimited(now) {
			lowered++
		}
	}
	if lowered != 1 || !limits.ratesLowered.Load() {
		t.Errorf("lower rates reported %d times, ratesLowered is %v, want once and true", lowered, limits.ratesLowered.Load())
	}

	settings := config.StateLimits{ValueKB: 16, TxnOps: 12}
	if got := limits.apply(settings); got != settings {
		t.Errorf("limits before any halving are %+v, want them unchanged", got)
	}
	limits.halveSizes()
	if got := limits.apply(settings); got.ValueKB != 8 || got.TxnOps != 6 {
		t.Errorf("limits after one halving are %+v, want 8 KiB and 6 writes", got)
	}
	for range 9 {
		limits.halveSizes()
	}
	if got := limits.apply(settings); got.ValueKB != constants.MinValueKB || got.TxnOps != constants.MinTxnOps {
		t.Errorf("limits after ten halvings are %+v, want the minimum sizes", got)
	}
}
