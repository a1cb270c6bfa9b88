package leader

import (
	"testing"
	"time"
)

// TestRetryBackoff checks that a backoff is never shortened and that its end is reported once.
func TestRetryBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	var retry retryState
	if retry.backingOff(now) || retry.clearElapsedBackoff(now) {
		t.Fatal("new state is in backoff")
	}
	retry.waitUntil(now.Add(10 * time.Second))
	retry.waitUntil(now.Add(2 * time.Second))
	if now = now.Add(9 * time.Second); !retry.backingOff(now) || retry.clearElapsedBackoff(now) {
		t.Error("a shorter backoff replaced a longer one")
	}
	if now = now.Add(2 * time.Second); retry.backingOff(now) || !retry.clearElapsedBackoff(now) || retry.clearElapsedBackoff(now) {
		t.Error("the end of the backoff is not reported exactly once")
	}
}

// TestMachinesToAvoid checks that each machine is avoided until its time and then dropped.
func TestMachinesToAvoid(t *testing.T) {
	now := time.Unix(1000, 0)
	retry := retryState{avoid: make(map[string]time.Time)}
	retry.avoidMachine("m-1", now.Add(5*time.Second))
	retry.avoidMachine("m-2", now.Add(time.Minute))
	if got := retry.machinesToAvoid(now); len(got) != 2 {
		t.Errorf("avoided at first: %v", got)
	}
	now = now.Add(6 * time.Second)
	if got := retry.machinesToAvoid(now); len(got) != 1 || !got["m-2"] || !retry.changesWithTime() {
		t.Errorf("avoided after the first entry expired: %v", got)
	}
	if got := retry.machinesToAvoid(now.Add(time.Minute)); got != nil || retry.changesWithTime() {
		t.Errorf("avoided after all entries expired: %v", got)
	}
}
