package workers

import (
	"testing"
	"time"
)

// newHeartbeat is a heartbeat of a worker that has our token.
func newHeartbeat(epoch, sequence uint64, tasks ...TaskReport) *Heartbeat {
	return &Heartbeat{
		Machine: "m-1", MachineType: "t", Zone: "z",
		Epoch: epoch, Sequence: sequence, Token: ownTerm, Tasks: tasks,
	}
}

// registeredAgent is the view of a worker whose first heartbeat, of epoch 1 and with sequence
// number 1, has been taken in and acknowledged.
func registeredAgent(now time.Time) *Agent {
	agent := NewAgent("m-1")
	agent.Observe(newHeartbeat(1, 1), ownTerm, false, now)
	agent.LastAcknowledged = now
	return agent
}

// TestOutdatedMessagesChangeNothing: an older message, by epoch or sequence number, changes nothing.
func TestOutdatedMessagesChangeNothing(t *testing.T) {
	agent := NewAgent("m-1")
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
		_, fresh := agent.Observe(newHeartbeat(c.epoch, c.sequence), ownTerm, false, time.Unix(1000, 0))
		if fresh != c.fresh {
			t.Errorf("epoch %d sequence %d: fresh = %v, want %v", c.epoch, c.sequence, fresh, c.fresh)
		}
	}
}

// TestDuplicatesRenewNothing: copies of heartbeats, of this epoch or an older one, are told
// apart, also when an answer to a command has gone before; a heartbeat that such an answer
// has overtaken is no copy.
func TestDuplicatesRenewNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := registeredAgent(now)
	agent.Observe(newHeartbeat(1, 5), ownTerm, false, now)
	agent.Observe(newHeartbeat(1, 9), ownTerm, true, now) // the answer to a command
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
		if got := agent.IsDuplicate(newHeartbeat(c.epoch, c.sequence)); got != c.duplicate {
			t.Errorf("epoch %d sequence %d: duplicate = %v, want %v", c.epoch, c.sequence, got, c.duplicate)
		}
	}

	agent.LastAcknowledged = now
	agent.ExpireLease(ownTerm, modelLease, now.Add(modelLease+2*time.Second))
	if !agent.IsDuplicate(newHeartbeat(1, 60)) {
		t.Errorf("a heartbeat of an epoch that is over counts")
	}
}
