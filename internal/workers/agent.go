// Package workers is the leader's view of the workers: their heartbeats, their epochs and
// attempts, the commands to them, and the proofs that a task has left its machine.
package workers

import (
	"slices"
	"time"
)

// Agent is the leader's view of one worker: its newest epoch and the attempts that are not
// proven gone. It is a state machine without I/O: messages and the time go in, events and
// commands come out.
type Agent struct {
	Name, Endpoint, MachineType, Zone string
	Spot                              bool
	// ReclaimAt is when the cloud takes the machine away; zero if it does not.
	ReclaimAt time.Time

	// Epoch and Sequence are those of the newest message.
	Epoch, Sequence uint64
	// HeartbeatSequence is the sequence number of the newest heartbeat: one that arrives
	// with a number up to it is a late duplicate.
	HeartbeatSequence uint64
	// ExpiredEpoch is the newest epoch proven to be over.
	ExpiredEpoch uint64
	// Registered is set once a heartbeat has arrived in this term.
	Registered bool
	// LastHeartbeat is when the last message arrived, LastAcknowledged when the last
	// heartbeat arrived that was answered with 200. The worker's lease counts from when it
	// sent that heartbeat, which was earlier still.
	LastHeartbeat, LastAcknowledged time.Time

	// Token is the highest fencing token that the worker has reported.
	Token uint64
	// TokenConfirmedAt is when the worker first showed that it has this term's token; no
	// other leader can have renewed its lease since.
	TokenConfirmedAt time.Time

	// RepliesLost is set while the worker's heartbeats arrive but our replies evidently do
	// not reach it. It gets neither work nor a 200 until it shows that it receives again.
	RepliesLost bool
	// EpochUnconfirmed is set when an epoch has ended although the worker goes on sending
	// heartbeats: it may receive again, or may never have received our replies. It gets no
	// work until something that we sent has evidently arrived.
	EpochUnconfirmed   bool
	EpochUnconfirmedAt time.Time
	// IgnoredStops counts the heartbeats in a row that show a stop not carried out.
	IgnoredStops int

	Attempts map[AttemptID]*Attempt
}

// NewAgent makes a view of a worker that has not been heard yet.
func NewAgent(name string) *Agent {
	return &Agent{Name: name, Attempts: make(map[AttemptID]*Attempt)}
}

// Observe takes in a message from the worker. fresh is false for one that is older than
// what is known; it changes nothing. direct marks the body of an answer to /commands or
// /status: it may overtake the reply to a heartbeat, so what is absent from it proves
// nothing.
func (agent *Agent) Observe(heartbeat *Heartbeat, term uint64, direct bool, now time.Time) (events []Event, fresh bool) {
	if agent.isOutdated(heartbeat) {
		return nil, false
	}
	if heartbeat.Epoch > agent.Epoch {
		events = agent.beginEpoch(heartbeat.Epoch, now)
	}
	agent.observeOrder(heartbeat, direct, now)
	agent.observeToken(heartbeat.Token, term, now)
	agent.observeMachine(heartbeat, now)
	listed := make(map[AttemptID]bool, len(heartbeat.Tasks)) // made here, so that it stays on the stack
	events = append(events, agent.observeTasks(heartbeat, listed, now)...)
	if !direct {
		agent.detectLostReplies(heartbeat, listed, now)
		events = append(events, agent.goneByAbsence(heartbeat, listed, term)...)
	}
	sortEvents(events)
	return events, true
}

// isOutdated applies the protocol's order of messages: the one with the larger pair of epoch
// and sequence number is the newer one. A message of an epoch that is proven over is never new.
func (agent *Agent) isOutdated(heartbeat *Heartbeat) bool {
	return heartbeat.Epoch <= agent.ExpiredEpoch ||
		heartbeat.Epoch < agent.Epoch ||
		heartbeat.Epoch == agent.Epoch && heartbeat.Sequence <= agent.Sequence
}

// IsDuplicate tells whether a heartbeat is a late copy of one that has been taken in, or of
// an older epoch (protocol, "Delayed messages"). It renews nothing and is not answered. One
// that the answer to a direct command has overtaken is no duplicate: the worker waits for
// its reply.
func (agent *Agent) IsDuplicate(heartbeat *Heartbeat) bool {
	return heartbeat.Epoch < agent.Epoch ||
		heartbeat.Epoch <= agent.ExpiredEpoch ||
		heartbeat.Epoch == agent.Epoch && heartbeat.Sequence <= agent.HeartbeatSequence
}

// beginEpoch applies the protocol's rule for leases: a worker proceeds with the next epoch
// only after it has killed and forgotten every task of the one before.
func (agent *Agent) beginEpoch(epoch uint64, now time.Time) []Event {
	if agent.Registered && agent.Epoch > 0 {
		// Nothing can be left of what it missed, so even one whose replies were lost may be
		// answered again: if it keeps this epoch, it receives our replies.
		agent.EpochUnconfirmed, agent.RepliesLost, agent.EpochUnconfirmedAt = true, false, now
	}
	gone := agent.expireEpochs(epoch - 1)
	agent.Epoch = epoch
	agent.HeartbeatSequence = 0
	return gone
}

// observeOrder notes the message's place in the worker's order, and that the worker is
// reachable if the message answers a command.
func (agent *Agent) observeOrder(heartbeat *Heartbeat, direct bool, now time.Time) {
	agent.Sequence = heartbeat.Sequence
	if direct {
		agent.noteReachable()
	} else {
		agent.HeartbeatSequence = heartbeat.Sequence
	}
	agent.Registered = true
	agent.LastHeartbeat = now
}

// observeToken applies the protocol's rule for tokens: the worker stores the highest one it
// has seen, so once it reports this term's token it drops what an older leader sends.
func (agent *Agent) observeToken(token, term uint64, now time.Time) {
	if token > agent.Token {
		agent.Token = token
		if token == term {
			agent.noteReachable()
		}
	}
	if agent.Token == term && agent.TokenConfirmedAt.IsZero() {
		agent.TokenConfirmedAt = now
	}
}

// observeMachine takes over what the worker says of its machine, and the cloud's notice to
// reclaim it.
func (agent *Agent) observeMachine(heartbeat *Heartbeat, now time.Time) {
	agent.Endpoint, agent.MachineType = heartbeat.Endpoint, heartbeat.MachineType
	agent.Zone, agent.Spot = heartbeat.Zone, heartbeat.Spot
	if heartbeat.ReclaimInS == nil {
		agent.ReclaimAt = time.Time{}
		return
	}
	agent.ReclaimAt = now.Add(time.Duration(max(*heartbeat.ReclaimInS, 0) * float64(time.Second)))
}

// observeTasks takes in the listed tasks, and notes in listed which attempts these are.
func (agent *Agent) observeTasks(heartbeat *Heartbeat, listed map[AttemptID]bool, now time.Time) (events []Event) {
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		task, err := ParseTaskID(report.Task)
		if err != nil {
			continue // DecodeHeartbeat has refused such a heartbeat
		}
		id := AttemptID{task, report.Attempt}
		listed[id] = true
		attempt, known := agent.Attempts[id]
		if !known {
			attempt = agent.addUnrecorded(id, heartbeat.Epoch, now)
			events = append(events, Event{EventUnrecorded, attempt})
		}
		if kind, changed := agent.observeAttempt(attempt, report, now); changed {
			events = append(events, Event{kind, attempt})
		}
	}
	return events
}

// addUnrecorded keeps an attempt in view that no record names: it occupies the machine all
// the same until it is proven gone. Who started it is not known, so it counts as an earlier
// term's.
func (agent *Agent) addUnrecorded(id AttemptID, epoch uint64, now time.Time) *Attempt {
	attempt := &Attempt{
		ID: id, Epoch: epoch, Committed: true, StartAllowed: true, FromEarlierTerm: true, RunSent: true, PlacedAt: now,
	}
	agent.Attempts[id] = attempt
	return attempt
}

// observeAttempt takes in what a message says of one attempt. An exit is final.
func (agent *Agent) observeAttempt(attempt *Attempt, report *TaskReport, now time.Time) (kind EventKind, changed bool) {
	if attempt.exited() {
		return 0, false
	}
	if attempt.FirstReportedAt.IsZero() {
		attempt.FirstReportedAt = now
		if !attempt.FromEarlierTerm {
			agent.noteReachable() // it has carried out our `run`
		}
	}
	changed = attempt.Status != report.Status
	attempt.Status, attempt.Cause, attempt.Saved = report.Status, report.Cause, report.Saved
	if attempt.Status == StatusRunning && attempt.RunningSince.IsZero() {
		attempt.RunningSince = now
	}
	if attempt.exited() {
		return EventExited, true
	}
	return EventStatusChanged, changed
}

// SortedAttempts lists the attempts in a fixed order.
func (agent *Agent) SortedAttempts() []*Attempt {
	attempts := make([]*Attempt, 0, len(agent.Attempts))
	for _, attempt := range agent.Attempts {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return compareAttemptIDs(a.ID, b.ID) })
	return attempts
}
