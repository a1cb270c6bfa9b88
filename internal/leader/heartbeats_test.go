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

// TestStaleHeartbeats checks that a late duplicate does not renew the lease, that a late
// heartbeat does not bring back a machine that was returned to the cloud, and that a machine
// known only from one heartbeat gets no tasks until it has reported this term's token.
func TestStaleHeartbeats(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.staleness.RecordWatch(now)
	machine := addMachine(l, "m-1", "east", now)
	lastAcknowledged := machine.worker.LastAcknowledged
	duplicate := nextHeartbeat(l, machine, "", "")
	duplicate.Sequence = 1
	replyCh := make(chan Reply, 1)
	l.heartbeat(duplicate, now.Add(time.Second), replyCh)
	select {
	case reply := <-replyCh:
		if reply.Status != 503 || !machine.worker.LastAcknowledged.Equal(lastAcknowledged) || l.replies.byMachine[machine] != nil {
			t.Errorf("duplicate heartbeat: status %d, want 503; last acknowledged %v, want no change", reply.Status, machine.worker.LastAcknowledged)
		}
	default:
		t.Errorf("the reply to a duplicate heartbeat is held")
	}
	l.scaling.terminated["m-9"] = now
	l.heartbeat(&workers.Heartbeat{Machine: "m-9", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: 1, Token: 3}, now, replyCh)
	if reply := <-replyCh; reply.Status != 503 || l.fleet.get("m-9") != nil {
		t.Errorf("a late heartbeat added a returned machine again: status %d, want 503", reply.Status)
	}
	l.fleet.remove(machine)
	job := addJob(t, l, arraySpec("j-1", 1), now)
	stale := &workers.Heartbeat{Machine: "m-2", MachineType: "g4", Zone: "east", Epoch: 1, Sequence: 400, Token: l.term.number() - 1}
	l.heartbeat(stale, now, replyCh)
	l.runSchedulingPass(now)
	if len(job.attempts) != 0 {
		t.Fatalf("a task was placed on a machine that may no longer exist")
	}
	stale.Sequence, stale.Token = 401, l.term.number()
	l.heartbeat(stale, now, replyCh)
	l.runSchedulingPass(now)
	if len(job.attempts) != 1 {
		t.Errorf("no task was placed on a machine that reported this term's token")
	}
}

// TestLostRepliesPreventTasksAndLeaseRenewal checks that a machine that does not receive
// replies gets neither tasks nor a 200, and that its lease counts from the last 200 that it
// did receive.
func TestLostRepliesPreventTasksAndLeaseRenewal(t *testing.T) {
	now := time.Now()
	l := testLeader(t)
	l.staleness.RecordWatch(now)
	machine := addMachine(l, "m-1", "east", now)
	lastAcknowledged := machine.worker.LastAcknowledged
	machine.worker.RepliesLost = true
	machine.markStale()
	replyCh := make(chan Reply, 1)
	l.heartbeat(nextHeartbeat(l, machine, "", ""), now.Add(time.Second), replyCh)
	l.flushReplies(now.Add(3 * time.Second))
	if reply := <-replyCh; reply.Status != 503 || !machine.worker.LastAcknowledged.Equal(lastAcknowledged) {
		t.Errorf("status %d, want 503; lease start moved by %v, want 0", reply.Status, machine.worker.LastAcknowledged.Sub(lastAcknowledged))
	}
	job := addJob(t, l, arraySpec("j-1", 1), now)
	l.runSchedulingPass(now)
	if len(job.attempts) != 0 {
		t.Errorf("a task was placed on a machine that does not receive replies")
	}
	if events := machine.worker.ExpireLease(l.term.number(), l.lease, lastAcknowledged.Add(l.lease+2*time.Second)); machine.worker.ExpiredEpoch != 1 {
		t.Errorf("the epoch does not expire with the lease: %v", events)
	}
}

// TestReturnedMachineGetsOneReply guards against a second reply to one heartbeat, which would
// block the event loop: the receiver reads only one. It could happen when a machine was
// returned to the cloud while its reply was held, because the end of its tasks created
// commands for the same machine.
func TestReturnedMachineGetsOneReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		l := testLeader(t)
		useUnavailableStore(t, l)
		l.deps.Cloud = &countingCloud{}
		l.staleness.RecordWatch(now)
		machine := addMachine(l, "m-1", "east", now)
		spec := arraySpec("j-1", 2)
		spec.Kind, spec.SameZone = jobs.KindGang, true
		addJob(t, l, spec, now)
		l.runSchedulingPass(now)
		commitPending(l, 100)
		machine.worker.Commands(true, now)
		replies := make(chan Reply, 2)
		l.heartbeat(nextHeartbeat(l, machine, workers.StatusRunning, ""), now, replies)
		if len(machine.worker.Attempts) != 2 || len(replies) != 0 {
			t.Fatalf("%d attempts on the machine, %d replies before it was returned", len(machine.worker.Attempts), len(replies))
		}
		l.returnMachines([]string{"m-1"})
		runUntilIdle(t, l)
		l.flushReplies(time.Now().Add(constants.ReplyHold)) // the same iteration of the loop, after the hold time
		if n := len(replies); n != 1 {
			t.Fatalf("%d replies to one heartbeat, want 1", n)
		}
		if reply := <-replies; reply.Status != http.StatusServiceUnavailable || l.fleet.get("m-1") != nil {
			t.Errorf("a terminated machine got status %d, want 503, or is still in the fleet", reply.Status)
		}
	})
}
