package workers

import (
	"testing"
	"time"
)

// TestMissedStartsRevealLostReplies checks that RepliesLost is set after two heartbeats without
// a started attempt, and that the second one proves the attempt gone. The worker gets no status
// 200 while RepliesLost is set, so a heartbeat must not clear it, but the response to a direct
// command must.
func TestMissedStartsRevealLostReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	worker := registeredWorker(now)
	id := AttemptID{TaskID{"j-1", 0}, 7}
	worker.Attempts[id] = &Attempt{ID: id, Epoch: 1, Committed: true, StartAllowed: true}
	for missed := 1; missed <= 2; missed++ {
		if worker.RepliesLost {
			t.Fatalf("RepliesLost set after %d heartbeats", missed-1)
		}
		if got := worker.Commands(true, now); len(got) != 1 || got[0].Verb != VerbRun {
			t.Fatalf("commands %v, want one run", got)
		}
		now = now.Add(6 * time.Second)
		if !worker.StartOverdue(now) {
			t.Errorf("start not overdue after 6 s")
		}
		events, _ := worker.Observe(newHeartbeat(1, uint64(1+missed)), ownTerm, false, now)
		if gone := len(events) == 1 && events[0].Kind == EventGone; gone != (missed == 2) {
			t.Fatalf("missed heartbeat %d: events %v, want one EventGone after the second only", missed, events)
		}
	}
	if !worker.RepliesLost || len(worker.Attempts) != 0 {
		t.Fatalf("replies lost %v, attempts %v, want true and no attempts", worker.RepliesLost, worker.Attempts)
	}

	worker.Observe(newHeartbeat(1, 8), ownTerm, false, now)
	if !worker.RepliesLost {
		t.Errorf("RepliesLost cleared by a heartbeat")
	}
	worker.Observe(newHeartbeat(1, 9), ownTerm, true, now)
	if worker.RepliesLost {
		t.Errorf("RepliesLost not cleared by the response to a direct command")
	}
}

// TestIgnoredStopsRevealLostReplies checks that RepliesLost is set when a task keeps running
// long after its stop was requested, and that its attempt is not removed.
func TestIgnoredStopsRevealLostReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	worker := registeredWorker(now)
	running := TaskReport{Task: "j-1/0", Attempt: 7, Status: StatusRunning}
	id := AttemptID{TaskID{"j-1", 0}, 7}
	worker.Attempts[id] = &Attempt{ID: id, Epoch: 1, RunSent: true}
	worker.Observe(newHeartbeat(1, 2, running), ownTerm, false, now)
	worker.RequestStop(worker.Attempts[id], 0, now)
	for i := uint64(0); i < 3; i++ {
		worker.Observe(newHeartbeat(1, 3+i, running), ownTerm, false, now.Add(time.Duration(i)*7*time.Second))
		if want := i == 2; worker.RepliesLost != want {
			t.Errorf("after %d heartbeats with the task: replies lost %v", i+1, worker.RepliesLost)
		}
	}
	if len(worker.Attempts) != 1 {
		t.Errorf("attempt removed although it is still running")
	}
}

// TestReachabilityUnconfirmedAfterNewEpoch checks that ReachabilityUnconfirmed is set when a
// worker's epoch ends while it keeps sending heartbeats, and that it is cleared by evidence
// that the worker receives messages, or once the worker has kept the new epoch for two leases.
func TestReachabilityUnconfirmedAfterNewEpoch(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name      string
		evidence  func(worker *Worker)
		confirmed bool
	}{
		{"nothing", func(*Worker) {}, false},
		{"heartbeat", func(worker *Worker) {
			worker.Observe(newHeartbeat(2, 30), ownTerm, false, now)
		}, false},
		{"response to a direct command", func(worker *Worker) {
			worker.Observe(newHeartbeat(2, 30), ownTerm, true, now)
		}, true},
		{"start carried out", func(worker *Worker) {
			id := AttemptID{TaskID{"j-1", 0}, 7}
			worker.Attempts[id] = &Attempt{ID: id, Epoch: 2, RunSent: true}
			fetching := TaskReport{Task: "j-1/0", Attempt: 7, Status: StatusFetching}
			worker.Observe(newHeartbeat(2, 30, fetching), ownTerm, false, now)
		}, true},
	} {
		worker := registeredWorker(now)
		if worker.ReachabilityUnconfirmed {
			t.Fatalf("%s: ReachabilityUnconfirmed set in the first epoch", c.name)
		}
		worker.Observe(newHeartbeat(2, 20), ownTerm, false, now)
		c.evidence(worker)
		if worker.ReachabilityUnconfirmed == c.confirmed {
			t.Errorf("%s: ReachabilityUnconfirmed = %v, want %v", c.name, worker.ReachabilityUnconfirmed, !c.confirmed)
		}
		worker.ConfirmReachability(modelLease, now.Add(modelLease))
		if worker.ReachabilityUnconfirmed == c.confirmed {
			t.Errorf("%s: ReachabilityUnconfirmed cleared after one lease", c.name)
		}
		if worker.ConfirmReachability(modelLease, now.Add(2*modelLease)); worker.ReachabilityUnconfirmed {
			t.Errorf("%s: ReachabilityUnconfirmed still set after two leases", c.name)
		}
	}
}
