package leader

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// TestLateCopyIsNoContact: a late copy of a report neither renews a lease nor
// brings a machine back that was returned, and a machine known by nothing but
// one report gets no work before it has shown this term's token.
func TestLateCopyIsNoContact(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.certainty.Watched(now)
	machine := addMachine(l, "m-1", "east", now)
	answered := machine.agent.LastAcknowledged
	copyOf := nextHeartbeat(l, machine, "", "")
	copyOf.Sequence = 1
	ch := make(chan Reply, 1)
	l.heartbeat(copyOf, now.Add(time.Second), ch)
	select {
	case a := <-ch:
		if a.Status != 503 || !machine.agent.LastAcknowledged.Equal(answered) || l.replies.byMachine[machine] != nil {
			t.Errorf("a copy got %d, answered %v", a.Status, machine.agent.LastAcknowledged)
		}
	default:
		t.Errorf("a copy is kept waiting")
	}
	l.scaling.terminated["m-9"] = now
	l.heartbeat(&workers.Heartbeat{Machine: "m-9", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: 1, Token: 3}, now, ch)
	if a := <-ch; a.Status != 503 || l.fleet.get("m-9") != nil {
		t.Errorf("a returned machine is back: %d", a.Status)
	}
	l.fleet.remove(machine)
	j := addJob(t, l, arraySpec("j-1", 1), now)
	stale := &workers.Heartbeat{Machine: "m-2", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: 400, Token: l.term.number() - 1}
	l.heartbeat(stale, now, ch)
	l.runSchedulingPass(now)
	if len(j.attempts) != 0 {
		t.Fatalf("work was put on a machine that may be no more")
	}
	stale.Sequence, stale.Token = 401, l.term.number()
	l.heartbeat(stale, now, ch)
	l.runSchedulingPass(now)
	if len(j.attempts) != 1 {
		t.Errorf("a machine under our token gets no work")
	}
}

// TestDeafMachineGetsNothing: no work and no 200 for a machine that does not
// hear, and its lease is counted from the last 200 before.
func TestDeafMachineGetsNothing(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.certainty.Watched(now)
	machine := addMachine(l, "m-1", "east", now)
	last := machine.agent.LastAcknowledged
	machine.agent.RepliesLost = true
	machine.markStale()
	ch := make(chan Reply, 1)
	l.heartbeat(nextHeartbeat(l, machine, "", ""), now.Add(time.Second), ch)
	l.flushReplies(now.Add(3 * time.Second))
	if a := <-ch; a.Status != 503 || !machine.agent.LastAcknowledged.Equal(last) {
		t.Errorf("it got %d, its lease counts from %v", a.Status, machine.agent.LastAcknowledged.Sub(last))
	}
	j := addJob(t, l, arraySpec("j-1", 1), now)
	l.runSchedulingPass(now)
	if len(j.attempts) != 0 {
		t.Errorf("it got work")
	}
	if ev := machine.agent.ExpireLease(l.term.number(), l.lease, last.Add(l.lease+2*time.Second)); machine.agent.ExpiredEpoch != 1 {
		t.Errorf("its session never ends: %v", ev)
	}
}

// TestReturnedMachineIsAnsweredOnce: a machine goes back to the cloud while its
// heartbeat waits, and what the end of its tasks brings about has commands for it.
// Its heartbeat gets one reply: whoever waits for it reads one, and a second would
// block the loop.
func TestReturnedMachineIsAnsweredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		offline(t, l)
		l.deps.Cloud = &cloudCalls{}
		l.certainty.Watched(now)
		machine := addMachine(l, "m-1", "east", now)
		spec := arraySpec("j-1", 2)
		spec.Kind, spec.SameZone = jobs.KindGang, true
		addJob(t, l, spec, now)
		l.runSchedulingPass(now)
		commitAll(l, 100)
		machine.agent.Commands(true, now)
		replies := make(chan Reply, 2)
		l.heartbeat(nextHeartbeat(l, machine, workers.StatusRunning, ""), now, replies)
		if len(machine.agent.Attempts) != 2 || len(replies) != 0 {
			t.Fatalf("%d attempts on the machine, %d replies", len(machine.agent.Attempts), len(replies))
		}
		l.returnMachines([]string{"m-1"})
		runUntilQuiet(t, l)
		l.flushReplies(time.Now().Add(constants.ReplyHold)) // the same round, by when the heartbeat need not wait longer
		if n := len(replies); n != 1 {
			t.Fatalf("%d replies to one heartbeat", n)
		}
		if reply := <-replies; reply.Status != http.StatusServiceUnavailable || l.fleet.get("m-1") != nil {
			t.Errorf("a machine that is no more got %d", reply.Status)
		}
	})
}
