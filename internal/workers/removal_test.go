package workers

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRemovedAttemptsStayOffWorker checks that an attempt which the leader's model has removed
// is never live on the worker afterwards, as its task could then run twice. It runs a
// simulated worker and a Worker, the leader's model of it, through delayed, lost and repeated
// messages, a change of leader and expired leases.
func TestRemovedAttemptsStayOffWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		// The sorted order of these labels determines which cases the fixed seed generates.
		t.Repeat(map[string]func(*rapid.T){
			"timeAdvance":      s.advanceTime,
			"sendHeartbeat":    s.sendHeartbeat,
			"dropPendingReply": s.dropPendingReply,
			"oldLeaderReply":   s.sendEarlierLeaderReply,
			"placeAttempt":     s.placeAttempt,
			"initiateStop":     s.requestStop,
			"commandStops":     s.sendDirectStops,
			"deliver":          s.deliver,
			"loseMessage":      s.loseMessage,
			"leaseExpiry":      s.expireLease,
			"":                 s.checkRemovedNotLive,
		})
	})
}

// message is a message in flight in the simulated network. Exactly one of its pointers is set.
type message struct {
	heartbeat *Heartbeat    // to the leader
	direct    bool          // the heartbeat is the response to a direct command
	reply     *CommandBatch // to the worker, for the heartbeat with the epoch and sequence below
	epoch     uint64
	sequence  uint64
	command   *CommandBatch // a direct command to the worker
}

// simulation consists of a simulated worker, the leader's model of it (worker), and the network
// between them.
type simulation struct {
	now       time.Time
	simulated *simulatedWorker
	worker    *Worker
	network   []message
	// removed contains the attempts that the leader's model has reported as no longer on the
	// worker.
	removed map[AttemptID]bool
	// placed is the number of attempts placed in this term.
	placed int
}

// inheritedAttempt is an attempt that an earlier term has recorded.
var inheritedAttempt = AttemptID{TaskID{"j-1", 0}, earlierTerm<<20 | 1}

func newSimulation() *simulation {
	now := time.Unix(1000, 0)
	s := &simulation{now: now, simulated: newSimulatedWorker(now), worker: NewWorker("m-1"), removed: map[AttemptID]bool{}}
	s.worker.Epoch = 1
	s.worker.Attempts[inheritedAttempt] = &Attempt{
		ID: inheritedAttempt, Epoch: 1, Committed: true, StartAllowed: true, FromEarlierTerm: true, RunSent: true,
	}
	return s
}

// checkRemovedNotLive is the invariant: no removed attempt is live on the worker.
func (s *simulation) checkRemovedNotLive(t *rapid.T) {
	for id, status := range s.simulated.tasks {
		if s.removed[id] && status != StatusExited {
			t.Fatalf("%v is live on the worker although the leader's model has removed it", id)
		}
	}
}

func (s *simulation) advanceTime(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	s.simulated.expireLease(s.now)
}

func (s *simulation) sendHeartbeat(t *rapid.T) {
	if s.simulated.pendingSequence != 0 {
		t.Skip()
	}
	s.network = append(s.network, message{heartbeat: s.simulated.sendHeartbeat(s.now)})
}

func (s *simulation) dropPendingReply(*rapid.T) { s.simulated.pendingSequence = 0 }

// sendEarlierLeaderReply sends the earlier leader's reply, with its lower token, to the pending
// heartbeat.
func (s *simulation) sendEarlierLeaderReply(t *rapid.T) {
	if s.simulated.pendingSequence == 0 {
		t.Skip()
	}
	run := Command{Verb: VerbRun, Task: inheritedAttempt.Task.String(), Attempt: inheritedAttempt.Number}
	s.network = append(s.network, message{
		reply: &CommandBatch{Token: earlierTerm, Commands: []Command{run}},
		epoch: s.simulated.epoch, sequence: s.simulated.pendingSequence,
	})
}

func (s *simulation) placeAttempt(t *rapid.T) {
	if !s.worker.Registered || s.worker.Epoch <= s.worker.ExpiredEpoch {
		t.Skip()
	}
	s.placed++
	id := AttemptID{TaskID{"j-2", s.placed}, ownTerm<<20 | uint64(s.placed)}
	s.worker.Attempts[id] = &Attempt{ID: id, Epoch: s.worker.Epoch, Committed: true, StartAllowed: true}
}

func (s *simulation) requestStop(t *rapid.T) {
	attempts := s.worker.SortedAttempts()
	if len(attempts) == 0 {
		return
	}
	attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
	if s.worker.RequestStop(attempt, 0, s.now) {
		s.removed[attempt.ID] = true
	}
}

func (s *simulation) sendDirectStops(*rapid.T) {
	var stops []Command
	for _, command := range s.worker.Commands(false, s.now) {
		if command.Verb == VerbStop {
			stops = append(stops, command)
		}
	}
	s.network = append(s.network, message{command: &CommandBatch{Token: ownTerm, Epoch: s.worker.Epoch, Commands: stops}})
}

func (s *simulation) expireLease(*rapid.T) {
	s.applyEvents(s.worker.ExpireLease(ownTerm, modelLease, s.now))
}

func (s *simulation) loseMessage(t *rapid.T) { s.removeMessage(s.drawMessageIndex(t)) }

// deliver delivers a random message. Messages other than replies may stay in the network and
// be delivered again; a repeated reply is impossible, as its connection is closed by then.
func (s *simulation) deliver(t *rapid.T) {
	index := s.drawMessageIndex(t)
	delivered := s.network[index]
	if delivered.reply != nil || rapid.IntRange(0, 4).Draw(t, "repeat") > 0 {
		s.removeMessage(index)
	}
	switch {
	case delivered.heartbeat != nil:
		s.leaderReceives(delivered.heartbeat, delivered.direct)
	case delivered.command != nil:
		s.network = append(s.network, message{heartbeat: s.simulated.receiveDirectCommand(delivered.command), direct: true})
	case delivered.reply != nil:
		s.simulated.receiveReply(delivered.reply, delivered.epoch, delivered.sequence, s.now)
	}
}

// leaderReceives applies a message to the leader's model, and sends a reply if it is a heartbeat.
func (s *simulation) leaderReceives(heartbeat *Heartbeat, direct bool) {
	if !direct && s.worker.IsDuplicate(heartbeat) {
		return
	}
	events, _ := s.worker.Observe(heartbeat, ownTerm, direct, s.now)
	s.applyEvents(events)
	if direct || heartbeat.Epoch <= s.worker.ExpiredEpoch || s.worker.RepliesLost {
		return
	}
	s.worker.HeartbeatSequence = max(s.worker.HeartbeatSequence, heartbeat.Sequence)
	s.worker.LastAcknowledged = s.now
	s.network = append(s.network, message{
		reply: &CommandBatch{Token: ownTerm, Commands: s.worker.Commands(true, s.now)},
		epoch: heartbeat.Epoch, sequence: heartbeat.Sequence,
	})
}

// applyEvents adds exited and gone attempts to removed, and marks exits as recorded.
func (s *simulation) applyEvents(events []Event) {
	for _, event := range events {
		switch event.Kind {
		case EventExited:
			s.removed[event.Attempt.ID] = true
			event.Attempt.ExitRecorded = true
		case EventGone:
			s.removed[event.Attempt.ID] = true
		case EventStatusChanged, EventUnrecorded:
		}
	}
}

func (s *simulation) drawMessageIndex(t *rapid.T) int {
	if len(s.network) == 0 {
		t.Skip()
	}
	return rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
}

func (s *simulation) removeMessage(index int) {
	s.network = append(s.network[:index:index], s.network[index+1:]...)
}

// TestLeaseExpiryRequiresToken checks that a lease is not taken for expired while the worker
// has not reported this term's token, as an earlier leader may still renew it, and that it
// expires only after the margin once the worker has reported the token.
func TestLeaseExpiryRequiresToken(t *testing.T) {
	now := time.Unix(1000, 0)
	worker := NewWorker("m-1")
	id := AttemptID{TaskID{"j-1", 0}, 1}
	worker.Attempts[id] = &Attempt{ID: id, Epoch: 1, FromEarlierTerm: true, RunSent: true}
	running := TaskReport{Task: "j-1/0", Attempt: 1, Status: StatusRunning}

	heartbeat := newHeartbeat(1, 1, running)
	heartbeat.Token = earlierTerm
	worker.Observe(heartbeat, ownTerm, false, now)
	worker.LastAcknowledged = now
	if gone := worker.ExpireLease(ownTerm, modelLease, now.Add(time.Hour)); len(gone) != 0 {
		t.Fatalf("lease expired without this term's token: %v", gone)
	}

	worker.Observe(newHeartbeat(1, 2, running), ownTerm, false, now)
	if gone := worker.ExpireLease(ownTerm, modelLease, now.Add(modelLease)); len(gone) != 0 {
		t.Fatalf("lease expired too early: %v", gone)
	}
	gone := worker.ExpireLease(ownTerm, modelLease, now.Add(modelLease+2*time.Second))
	if len(gone) != 1 || gone[0].Kind != EventGone {
		t.Fatalf("events after the lease expired: %v, want one EventGone", gone)
	}
}

// TestAbsenceProvesGone checks, for each rule, whether a heartbeat that does not list an
// attempt proves it gone.
func TestAbsenceProvesGone(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt Attempt
		token   uint64
		gone    bool
	}{
		{"exited, not recorded", Attempt{RunSent: true, Status: StatusExited}, ownTerm, false},
		{"exited and recorded", Attempt{RunSent: true, Status: StatusExited, ExitRecorded: true}, ownTerm, true},
		{"earlier term, worker without this term's token", Attempt{FromEarlierTerm: true, RunSent: true}, earlierTerm, false},
		{"earlier term, worker with this term's token", Attempt{FromEarlierTerm: true, RunSent: true}, ownTerm, true},
		{"not sent, no stop requested", Attempt{}, ownTerm, false},
		{"not sent, stop requested", Attempt{StopRequested: true}, ownTerm, true},
		{"reported before", Attempt{RunSent: true, Status: StatusRunning}, ownTerm, true},
		{"sent, no stop requested", Attempt{RunSent: true, RunSentSequence: 4}, ownTerm, false},
		{"sent in the reply to this heartbeat, stop requested", Attempt{RunSent: true, RunSentSequence: 5, StopRequested: true}, ownTerm, false},
		{"sent in the reply to an earlier heartbeat, stop requested", Attempt{RunSent: true, RunSentSequence: 4, StopRequested: true}, ownTerm, true},
	} {
		heartbeat := newHeartbeat(1, 5)
		heartbeat.Token = c.token
		if got := absenceProvesGone(&c.attempt, heartbeat, ownTerm); got != c.gone {
			t.Errorf("%s: gone = %v, want %v", c.name, got, c.gone)
		}
	}
}
