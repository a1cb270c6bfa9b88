package workers

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGoneMeansGone drives a worker and the leader's view of it through delays, losses,
// repeats, a change of leaders and expired leases: an attempt that the view has let go of
// must never be on the worker again, or a task could run twice.
func TestGoneMeansGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"time":          s.letTimePass,
			"report":        s.sendHeartbeat,
			"giveUp":        s.giveReplyUp,
			"oldLeaderRuns": s.replyOfEarlierLeader,
			"plan":          s.planAttempt,
			"halt":          s.requestStop,
			"command":       s.sendDirectStops,
			"deliver":       s.deliver,
			"lose":          s.lose,
			"lease":         s.expireLease,
			"":              s.checkGoneIsGone,
		})
	})
}

// message is anything under way in the simulated network; one of the pointers is set.
type message struct {
	heartbeat *Heartbeat    // to the leader
	direct    bool          // the heartbeat is the answer to a direct command
	reply     *CommandBatch // to the worker, for the heartbeat with this epoch and sequence
	epoch     uint64
	sequence  uint64
	command   *CommandBatch // a direct command to the worker
}

// simulation is a worker, the leader's view of it, and the network between them.
type simulation struct {
	now     time.Time
	worker  *modelWorker
	agent   *Agent
	network []message
	// released are the attempts that the view has let go of.
	released map[AttemptID]bool
	// planned counts the attempts of this term.
	planned int
}

// inheritedAttempt is an attempt of an earlier term, in the record that this one took over.
var inheritedAttempt = AttemptID{TaskID{"j-1", 0}, earlierTerm<<20 | 1}

func newSimulation() *simulation {
	now := time.Unix(1000, 0)
	s := &simulation{now: now, worker: newModelWorker(now), agent: NewAgent("m-1"), released: map[AttemptID]bool{}}
	s.agent.Epoch = 1
	s.agent.Attempts[inheritedAttempt] = &Attempt{
		ID: inheritedAttempt, Epoch: 1, Committed: true, StartAllowed: true, FromEarlierTerm: true, RunSent: true,
	}
	return s
}

// checkGoneIsGone is the property: nothing that was let go of is alive on the worker.
func (s *simulation) checkGoneIsGone(t *rapid.T) {
	for id, status := range s.worker.tasks {
		if s.released[id] && status != StatusExited {
			t.Fatalf("%v is on the worker although it was let go", id)
		}
	}
}

func (s *simulation) letTimePass(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	s.worker.expireLease(s.now)
}

func (s *simulation) sendHeartbeat(t *rapid.T) {
	if s.worker.awaiting != 0 {
		t.Skip()
	}
	s.network = append(s.network, message{heartbeat: s.worker.sendHeartbeat(s.now)})
}

func (s *simulation) giveReplyUp(*rapid.T) { s.worker.awaiting = 0 }

// replyOfEarlierLeader answers the heartbeat under way with that leader's own, lower token.
func (s *simulation) replyOfEarlierLeader(t *rapid.T) {
	if s.worker.awaiting == 0 {
		t.Skip()
	}
	run := Command{Verb: VerbRun, Task: inheritedAttempt.Task.String(), Attempt: inheritedAttempt.Number}
	s.network = append(s.network, message{
		reply: &CommandBatch{Token: earlierTerm, Commands: []Command{run}},
		epoch: s.worker.epoch, sequence: s.worker.awaiting,
	})
}

func (s *simulation) planAttempt(t *rapid.T) {
	if !s.agent.Registered || s.agent.Epoch <= s.agent.ExpiredEpoch {
		t.Skip()
	}
	s.planned++
	id := AttemptID{TaskID{"j-2", s.planned}, ownTerm<<20 | uint64(s.planned)}
	s.agent.Attempts[id] = &Attempt{ID: id, Epoch: s.agent.Epoch, Committed: true, StartAllowed: true}
}

func (s *simulation) requestStop(t *rapid.T) {
	attempts := s.agent.SortedAttempts()
	if len(attempts) == 0 {
		return
	}
	attempt := rapid.SampledFrom(attempts).Draw(t, "attempt")
	if s.agent.RequestStop(attempt, 0, s.now) {
		s.released[attempt.ID] = true
	}
}

func (s *simulation) sendDirectStops(*rapid.T) {
	var stops []Command
	for _, command := range s.agent.Commands(false, s.now) {
		if command.Verb == VerbStop {
			stops = append(stops, command)
		}
	}
	s.network = append(s.network, message{command: &CommandBatch{Token: ownTerm, Epoch: s.agent.Epoch, Commands: stops}})
}

func (s *simulation) expireLease(*rapid.T) {
	s.takeEvents(s.agent.ExpireLease(ownTerm, modelLease, s.now))
}

func (s *simulation) lose(t *rapid.T) { s.take(s.drawMessage(t)) }

// deliver delivers any message; but for replies, whose connection is closed by then, it may
// arrive again.
func (s *simulation) deliver(t *rapid.T) {
	index := s.drawMessage(t)
	delivered := s.network[index]
	if delivered.reply != nil || rapid.IntRange(0, 4).Draw(t, "repeat") > 0 {
		s.take(index)
	}
	switch {
	case delivered.heartbeat != nil:
		s.leaderTakes(delivered.heartbeat, delivered.direct)
	case delivered.command != nil:
		s.network = append(s.network, message{heartbeat: s.worker.takeDirect(delivered.command), direct: true})
	case delivered.reply != nil:
		s.worker.takeReply(delivered.reply, delivered.epoch, delivered.sequence, s.now)
	}
}

// leaderTakes has the leader take in a message and reply to a heartbeat.
func (s *simulation) leaderTakes(heartbeat *Heartbeat, direct bool) {
	if !direct && s.agent.IsDuplicate(heartbeat) {
		return
	}
	events, _ := s.agent.Observe(heartbeat, ownTerm, direct, s.now)
	s.takeEvents(events)
	if direct || heartbeat.Epoch <= s.agent.ExpiredEpoch || s.agent.RepliesLost {
		return
	}
	s.agent.HeartbeatSequence = max(s.agent.HeartbeatSequence, heartbeat.Sequence)
	s.agent.LastAcknowledged = s.now
	s.network = append(s.network, message{
		reply: &CommandBatch{Token: ownTerm, Commands: s.agent.Commands(true, s.now)},
		epoch: heartbeat.Epoch, sequence: heartbeat.Sequence,
	})
}

// takeEvents notes what the view lets go of; exits are recorded at once.
func (s *simulation) takeEvents(events []Event) {
	for _, event := range events {
		switch event.Kind {
		case EventExited:
			s.released[event.Attempt.ID] = true
			event.Attempt.ExitRecorded = true
		case EventGone:
			s.released[event.Attempt.ID] = true
		case EventStatusChanged, EventUnrecorded:
		}
	}
}

func (s *simulation) drawMessage(t *rapid.T) int {
	if len(s.network) == 0 {
		t.Skip()
	}
	return rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
}

func (s *simulation) take(index int) {
	s.network = append(s.network[:index:index], s.network[index+1:]...)
}

// TestSilenceWithoutTokenProvesNothing: a worker that has not shown our token may still be renewed by
// an older leader, so its silence proves nothing.
func TestSilenceWithoutTokenProvesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	agent := NewAgent("m-1")
	id := AttemptID{TaskID{"j-1", 0}, 1}
	agent.Attempts[id] = &Attempt{ID: id, Epoch: 1, FromEarlierTerm: true, RunSent: true}
	running := TaskReport{Task: "j-1/0", Attempt: 1, Status: StatusRunning}

	heartbeat := newHeartbeat(1, 1, running)
	heartbeat.Token = earlierTerm
	agent.Observe(heartbeat, ownTerm, false, now)
	agent.LastAcknowledged = now
	if gone := agent.ExpireLease(ownTerm, modelLease, now.Add(time.Hour)); len(gone) != 0 {
		t.Fatalf("silence was taken for proof: %v", gone)
	}

	agent.Observe(newHeartbeat(1, 2, running), ownTerm, false, now)
	if gone := agent.ExpireLease(ownTerm, modelLease, now.Add(modelLease)); len(gone) != 0 {
		t.Fatalf("the lease was taken for over too early: %v", gone)
	}
	gone := agent.ExpireLease(ownTerm, modelLease, now.Add(modelLease+2*time.Second))
	if len(gone) != 1 || gone[0].Kind != EventGone {
		t.Fatalf("an expired lease frees nothing: %v", gone)
	}
}

// TestWhatAbsenceProves: when a heartbeat that does not list an attempt proves it gone, rule
// by rule.
func TestWhatAbsenceProves(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt Attempt
		token   uint64
		gone    bool
	}{
		{"exited, not recorded", Attempt{RunSent: true, Status: StatusExited}, ownTerm, false},
		{"exited and recorded", Attempt{RunSent: true, Status: StatusExited, ExitRecorded: true}, ownTerm, true},
		{"an earlier term's, before the worker has our token", Attempt{FromEarlierTerm: true, RunSent: true}, earlierTerm, false},
		{"an earlier term's, once it has", Attempt{FromEarlierTerm: true, RunSent: true}, ownTerm, true},
		{"not sent, wanted", Attempt{}, ownTerm, false},
		{"not sent, to stop", Attempt{StopRequested: true}, ownTerm, true},
		{"seen before", Attempt{RunSent: true, Status: StatusRunning}, ownTerm, true},
		{"sent, wanted", Attempt{RunSent: true, RunSentSequence: 4}, ownTerm, false},
		{"sent in the reply to this heartbeat, to stop", Attempt{RunSent: true, RunSentSequence: 5, StopRequested: true}, ownTerm, false},
		{"sent in the reply to an earlier heartbeat, to stop", Attempt{RunSent: true, RunSentSequence: 4, StopRequested: true}, ownTerm, true},
	} {
		heartbeat := newHeartbeat(1, 5)
		heartbeat.Token = c.token
		if got := absenceProves(&c.attempt, heartbeat, ownTerm); got != c.gone {
			t.Errorf("%s: gone = %v, want %v", c.name, got, c.gone)
		}
	}
}
