package leader

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// acknowledge is a replyTo function that answers every heartbeat with 200.
func acknowledge(*machineState, *heldReply) (Reply, bool) {
	return Reply{Status: http.StatusOK}, true
}

// keepWaiting is a replyTo function that answers no heartbeat.
func keepWaiting(*machineState, *heldReply) (Reply, bool) { return Reply{}, false }

// TestHeldReplies checks that every heartbeat is answered exactly once, that a new heartbeat
// causes the machine's earlier one to be refused, and that a flush checks woken machines at
// once but all other machines only after the flush interval.
func TestHeldReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	machine, other := &machineState{}, &machineState{}
	held := newHeldReplies()
	if !held.nextDue().IsZero() {
		t.Errorf("next flush at %v although no reply is held", held.nextDue())
	}
	held.flush(now, acknowledge)

	first, second, otherReplies := make(chan Reply, 2), make(chan Reply, 2), make(chan Reply, 2)
	held.hold(machine, &heldReply{reply: first})
	held.hold(machine, &heldReply{reply: second})
	held.hold(other, &heldReply{reply: otherReplies})
	if len(first) != 1 || (<-first).Status != http.StatusServiceUnavailable || len(second) != 0 {
		t.Errorf("the earlier heartbeat was not refused, or the later one was answered")
	}
	if due := held.nextDue(); !due.Equal(now.Add(constants.ReplyFlushInterval)) {
		t.Errorf("next flush at %v, want after ReplyFlushInterval", due)
	}

	held.wake(machine)
	held.flush(now, keepWaiting)
	held.flush(now, acknowledge)
	if len(second) != 0 {
		t.Errorf("a machine is still woken after a flush has checked it")
	}
	held.wake(machine)
	held.wake(machine)
	held.flush(now, acknowledge)
	if len(second) != 1 || (<-second).Status != http.StatusOK || len(otherReplies) != 0 {
		t.Errorf("woken machine: %d unexpected replies; other machine: %d replies", len(second), len(otherReplies))
	}
	held.flush(now.Add(constants.ReplyFlushInterval), acknowledge)
	if len(otherReplies) != 1 {
		t.Errorf("other machine: %d replies after the flush interval, want 1", len(otherReplies))
	}

	held.hold(machine, &heldReply{reply: second})
	held.wake(machine)
	held.refuse(machine)
	held.refuse(machine)
	held.wake(machine)
	held.flush(now.Add(time.Minute), acknowledge)
	if len(second) != 1 || (<-second).Status != http.StatusServiceUnavailable || !held.nextDue().IsZero() {
		t.Errorf("refused machine: %d unexpected replies, next flush at %v", len(second), held.nextDue())
	}
}

// TestLeaseMustExpire checks that a heartbeat gets no 200 if the worker does not receive replies
// or the heartbeat's epoch is proven to have ended, even if it is not a duplicate.
func TestLeaseMustExpire(t *testing.T) {
	tests := []struct {
		name   string
		worker workers.Worker
		want   bool
	}{
		{"the current epoch is alive", workers.Worker{Epoch: 3, ExpiredEpoch: 2}, false},
		{"the current epoch has expired", workers.Worker{Epoch: 3, ExpiredEpoch: 3}, true},
		{"a later epoch has expired", workers.Worker{Epoch: 3, ExpiredEpoch: 4}, true},
		{"replies are lost", workers.Worker{Epoch: 3, ExpiredEpoch: 2, RepliesLost: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := leaseMustExpire(&test.worker, &workers.Heartbeat{Epoch: 3}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
