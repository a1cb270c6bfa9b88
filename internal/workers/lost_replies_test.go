package workers

import (
	"testing"
	"time"
)

// TestMissedStartsShowLostReplies: when heartbeats go on but do not show what the worker was told, its
// replies are taken for lost: the start is taken back, as the heartbeat proves it never
// arrived, and no 200 goes out until the worker shows that it receives again.
func TestMissedStartsShowLostReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := registeredAgent(now)
	id := AttemptID{TaskID{"j-1", 0}, 7}
	agent.Attempts[id] = &Attempt{ID: id, Epoch: 1, Committed: true, StartAllowed: true}
	for missed := 1; missed <= 2; missed++ {
		if agent.RepliesLost {
			t.Fatalf("replies taken for lost after %d heartbeats", missed-1)
		}
		if got := agent.Commands(true, now); len(got) != 1 || got[0].Verb != VerbRun {
			t.Fatalf("commands %v", got)
		}
		now = now.Add(6 * time.Second)
		if !agent.StartOverdue(now) {
			t.Errorf("a start missing for 6 s raises no doubt")
		}
		events, _ := agent.Observe(newHeartbeat(1, uint64(1+missed)), ownTerm, false, now)
		if gone := len(events) == 1 && events[0].Kind == EventGone; gone != (missed == 2) {
			t.Fatalf("heartbeat %d: %v", missed, events)
		}
	}
	if !agent.RepliesLost || len(agent.Attempts) != 0 {
		t.Fatalf("replies lost %v, attempts %v", agent.RepliesLost, agent.Attempts)
	}

	agent.Observe(newHeartbeat(1, 8), ownTerm, false, now)
	if !agent.RepliesLost {
		t.Errorf("a heartbeat is taken for a sign that the worker receives")
	}
	agent.Observe(newHeartbeat(1, 9), ownTerm, true, now)
	if agent.RepliesLost {
		t.Errorf("an answer to a command is no sign that the worker receives")
	}
}

// TestIgnoredStopsShowLostReplies: the same for a task that runs on although it was stopped.
func TestIgnoredStopsShowLostReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := registeredAgent(now)
	running := TaskReport{Task: "j-1/0", Attempt: 7, Status: StatusRunning}
	id := AttemptID{TaskID{"j-1", 0}, 7}
	agent.Attempts[id] = &Attempt{ID: id, Epoch: 1, RunSent: true}
	agent.Observe(newHeartbeat(1, 2, running), ownTerm, false, now)
	agent.RequestStop(agent.Attempts[id], 0, now)
	for i := uint64(0); i < 3; i++ {
		agent.Observe(newHeartbeat(1, 3+i, running), ownTerm, false, now.Add(time.Duration(i)*7*time.Second))
		if want := i == 2; agent.RepliesLost != want {
			t.Errorf("after %d heartbeats with the task: replies lost %v", i+1, agent.RepliesLost)
		}
	}
	if len(agent.Attempts) != 1 {
		t.Errorf("a task that still runs was let go")
	}
}

// TestNewEpochIsUnconfirmed: a worker whose epoch ended while it went on sending heartbeats
// gets no work until it shows that it receives, by whatever sign.
func TestNewEpochIsUnconfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		sign    func(agent *Agent)
		confirm bool
	}{
		{"nothing", func(*Agent) {}, false},
		{"a heartbeat", func(agent *Agent) {
			agent.Observe(newHeartbeat(2, 30), ownTerm, false, now)
		}, false},
		{"an answer to a command", func(agent *Agent) {
			agent.Observe(newHeartbeat(2, 30), ownTerm, true, now)
		}, true},
		{"a start carried out", func(agent *Agent) {
			id := AttemptID{TaskID{"j-1", 0}, 7}
			agent.Attempts[id] = &Attempt{ID: id, Epoch: 2, RunSent: true}
			fetching := TaskReport{Task: "j-1/0", Attempt: 7, Status: StatusFetching}
			agent.Observe(newHeartbeat(2, 30, fetching), ownTerm, false, now)
		}, true},
	} {
		agent := registeredAgent(now)
		if agent.EpochUnconfirmed {
			t.Fatalf("%s: doubt from the start", c.name)
		}
		agent.Observe(newHeartbeat(2, 20), ownTerm, false, now)
		c.sign(agent)
		if agent.EpochUnconfirmed == c.confirm {
			t.Errorf("%s: doubt %v, want %v", c.name, agent.EpochUnconfirmed, !c.confirm)
		}
		agent.ConfirmEpoch(modelLease, now.Add(modelLease))
		if agent.EpochUnconfirmed == c.confirm {
			t.Errorf("%s: an epoch kept for one lease is taken for a sign", c.name)
		}
		if agent.ConfirmEpoch(modelLease, now.Add(2*modelLease)); agent.EpochUnconfirmed {
			t.Errorf("%s: an epoch kept for two leases is no sign", c.name)
		}
	}
}
