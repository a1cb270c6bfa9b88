package workers

import (
	"testing"
	"time"
)

// newHeartbeat returns a heartbeat of a worker that has the token of the term under test.
func newHeartbeat(epoch, sequence uint64, tasks ...TaskReport) *Heartbeat {
	return &Heartbeat{
		Machine: "m-1", MachineType: "t", Zone: "z",
		Epoch: epoch, Sequence: sequence, Token: ownTerm, Tasks: tasks,
	}
}

// registeredWorker returns the model of a worker whose first heartbeat, with epoch 1 and
// sequence number 1, has been applied and acknowledged.
func registeredWorker(now time.Time) *Worker {
	worker := NewWorker("m-1")
	worker.Observe(newHeartbeat(1, 1), ownTerm, false, now)
	worker.LastAcknowledged = now
	return worker
}

// TestOutdatedMessagesIgnored checks that Observe rejects messages that are older by epoch or
// sequence number.
func TestOutdatedMessagesIgnored(t *testing.T) {
	worker := NewWorker("m-1")
	for _, c := range []struct {
		epoch, sequence uint64
		fresh           bool
	}{
		{1, 5, true},
		{1, 4, false},
		{1, 5, false},
		{2, 1, true},
		{1, 9, false},
		{2, 2, true},
	} {
		_, fresh := worker.Observe(newHeartbeat(c.epoch, c.sequence), ownTerm, false, time.Unix(1000, 0))
		if fresh != c.fresh {
			t.Errorf("epoch %d sequence %d: fresh = %v, want %v", c.epoch, c.sequence, fresh, c.fresh)
		}
	}
}

// TestIsDuplicate checks that late copies of heartbeats from the current or an older epoch are
// detected, as these must not renew the worker's lease. A heartbeat overtaken by the response
// to a direct command must not be taken for a duplicate.
func TestIsDuplicate(t *testing.T) {
	now := time.Unix(1000, 0)
	worker := registeredWorker(now)
	worker.Observe(newHeartbeat(1, 5), ownTerm, false, now)
	worker.Observe(newHeartbeat(1, 9), ownTerm, true, now) // the response to a direct command
	for _, c := range []struct {
		epoch, sequence uint64
		duplicate       bool
	}{
		{1, 1, true},
		{1, 4, true},
		{1, 5, true},
		{1, 7, false},
		{1, 10, false},
		{0, 50, true},
	} {
		if got := worker.IsDuplicate(newHeartbeat(c.epoch, c.sequence)); got != c.duplicate {
			t.Errorf("epoch %d sequence %d: duplicate = %v, want %v", c.epoch, c.sequence, got, c.duplicate)
		}
	}

	worker.LastAcknowledged = now
	worker.ExpireLease(ownTerm, modelLease, now.Add(modelLease+2*time.Second))
	if !worker.IsDuplicate(newHeartbeat(1, 60)) {
		t.Errorf("heartbeat of an expired epoch is not a duplicate")
	}
}
