package leader

import (
	"net/http"
	"testing"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// acknowledge has a reply for every heartbeat.
func acknowledge(*machineState, *heldReply) (Reply, bool) {
	return Reply{Status: http.StatusOK}, true
}

// keepWaiting has a reply for none.
func keepWaiting(*machineState, *heldReply) (Reply, bool) { return Reply{}, false }

// TestHeldReplies: every heartbeat is answered once. A later one has the earlier refused,
// a woken one is looked at by the next flush and the others only once the interval is
// over.
func TestHeldReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	machine, other := &machineState{}, &machineState{}
	held := newHeldReplies()
	if !held.nextDue().IsZero() {
		t.Errorf("due at %v with nothing waiting", held.nextDue())
	}
	held.flush(now, acknowledge)

	first, second, others := make(chan Reply, 2), make(chan Reply, 2), make(chan Reply, 2)
	held.hold(machine, &heldReply{reply: first})
	held.hold(machine, &heldReply{reply: second})
	held.hold(other, &heldReply{reply: others})
	if len(first) != 1 || (<-first).Status != http.StatusServiceUnavailable || len(second) != 0 {
		t.Errorf("the earlier heartbeat is not refused, or the later is answered")
	}
	if due := held.nextDue(); !due.Equal(now.Add(constants.ReplyFlushInterval)) {
		t.Errorf("due at %v", due)
	}

	held.wake(machine)
	held.flush(now, keepWaiting)
	held.flush(now, acknowledge)
	if len(second) != 0 {
		t.Errorf("a heartbeat stays woken once it was looked at")
	}
	held.wake(machine)
	held.wake(machine)
	held.flush(now, acknowledge)
	if len(second) != 1 || (<-second).Status != http.StatusOK || len(others) != 0 {
		t.Errorf("woken: %d more replies, not woken: %d", len(second), len(others))
	}
	held.flush(now.Add(constants.ReplyFlushInterval), acknowledge)
	if len(others) != 1 {
		t.Errorf("%d replies once the interval is over", len(others))
	}

	held.hold(machine, &heldReply{reply: second})
	held.wake(machine)
	held.refuse(machine)
	held.refuse(machine)
	held.wake(machine)
	held.flush(now.Add(time.Minute), acknowledge)
	if len(second) != 1 || (<-second).Status != http.StatusServiceUnavailable || !held.nextDue().IsZero() {
		t.Errorf("refused: %d more replies, due at %v", len(second), held.nextDue())
	}
}

// TestLeaseMustRunOut: no 200 for a worker that our replies do not reach, and none for
// an epoch whose end is proven, whether or not the heartbeat is a copy.
func TestLeaseMustRunOut(t *testing.T) {
	tests := []struct {
		name  string
		agent workers.Agent
		want  bool
	}{
		{"its present epoch", workers.Agent{Epoch: 3, ExpiredEpoch: 2}, false},
		{"the present epoch has expired", workers.Agent{Epoch: 3, ExpiredEpoch: 3}, true},
		{"a later epoch has expired", workers.Agent{Epoch: 3, ExpiredEpoch: 4}, true},
		{"replies are lost", workers.Agent{Epoch: 3, ExpiredEpoch: 2, RepliesLost: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := leaseMustRunOut(&test.agent, &workers.Heartbeat{Epoch: 3}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
