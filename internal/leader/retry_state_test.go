package leader

import (
	"testing"
	"time"
)

// TestRetryWaits: a wait only grows, and ends once.
func TestRetryWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	var retry retryState
	if retry.backingOff(now) || retry.resume(now) {
		t.Fatal("waits from the start")
	}
	retry.waitUntil(now.Add(10 * time.Second))
	retry.waitUntil(now.Add(2 * time.Second))
	if now = now.Add(9 * time.Second); !retry.backingOff(now) || retry.resume(now) {
		t.Error("the shorter wait has replaced the longer one")
	}
	if now = now.Add(2 * time.Second); retry.backingOff(now) || !retry.resume(now) || retry.resume(now) {
		t.Error("does not end once")
	}
}

// TestMachinesToAvoid: each until its time, and then no longer remembered.
func TestMachinesToAvoid(t *testing.T) {
	now := time.Unix(1000, 0)
	retry := retryState{avoid: make(map[string]time.Time)}
	retry.avoidMachine("m-1", now.Add(5*time.Second))
	retry.avoidMachine("m-2", now.Add(time.Minute))
	if got := retry.machinesToAvoid(now); len(got) != 2 {
		t.Errorf("at first %v", got)
	}
	now = now.Add(6 * time.Second)
	if got := retry.machinesToAvoid(now); len(got) != 1 || !got["m-2"] || !retry.changesWithTime() {
		t.Errorf("after the first is over %v", got)
	}
	if got := retry.machinesToAvoid(now.Add(time.Minute)); got != nil || retry.changesWithTime() {
		t.Errorf("after all are over %v", got)
	}
}
