// Package workers implements the leader's model of the workers: their heartbeats, epochs and
// attempts, the commands sent to them, and the proofs that an attempt is no longer on its
// machine.
package workers

import (
	"slices"
	"time"
)

// Worker is the leader's model of one worker: its newest epoch, and the attempts that are not
// proven gone from its machine. It is a state machine without I/O: its inputs are messages
// and the current time, its outputs are events and commands.
type Worker struct {
	Name, Endpoint, MachineType, Zone string
	Spot                              bool
	// ReclaimAt is when the cloud will reclaim the machine; zero if no reclaim is announced.
	ReclaimAt time.Time

	// Epoch and Sequence are the epoch and sequence number of the newest message.
	Epoch, Sequence uint64
	// HeartbeatSequence is the sequence number of the newest heartbeat. A heartbeat of the
	// same epoch with this or a lower number is a late duplicate.
	HeartbeatSequence uint64
	// ExpiredEpoch is the newest epoch that is proven to be over.
	ExpiredEpoch uint64
	// Registered is set once a message from the worker has arrived in this term.
	Registered bool
	// LastMessageAt is when the newest message was applied, either a heartbeat or the response
	// to a direct command. LastAcknowledged is when the last heartbeat arrived that was answered
	// with status 200. The worker's lease starts when it sent that heartbeat, which is earlier.
	LastMessageAt, LastAcknowledged time.Time

	// Token is the highest fencing token that the worker has reported.
	Token uint64
	// TokenConfirmedAt is when the worker first reported this term's token. No earlier
	// leader can have renewed its lease since.
	TokenConfirmedAt time.Time

	// RepliesLost is set while the worker's heartbeats arrive but the leader's replies
	// evidently do not reach it. The worker gets no work and no status 200 until there is
	// evidence that it receives messages again.
	RepliesLost bool
	// ReachabilityUnconfirmed is set when an epoch has ended although the worker keeps
	// sending heartbeats, so it may not have received the leader's replies. The worker gets no
	// work until there is evidence that it receives them. ReachabilityUnconfirmedAt is when
	// that epoch ended.
	ReachabilityUnconfirmed   bool
	ReachabilityUnconfirmedAt time.Time
	// IgnoredStops counts the consecutive heartbeats that show a stop not carried out.
	IgnoredStops int

	Attempts map[AttemptID]*Attempt
}

// NewWorker returns the model of a worker from which no message has arrived yet.
func NewWorker(name string) *Worker {
	return &Worker{Name: name, Attempts: make(map[AttemptID]*Attempt)}
}

// Observe applies a message from the worker. fresh is false if the message is outdated and was
// ignored. direct is set for the response to a direct command (CommandClient.Send). This
// response may overtake the reply to a heartbeat, so an attempt missing from it proves nothing.
func (worker *Worker) Observe(heartbeat *Heartbeat, term uint64, direct bool, now time.Time) (events []Event, fresh bool) {
	if worker.isOutdated(heartbeat) {
		return nil, false
	}
	if heartbeat.Epoch > worker.Epoch {
		events = worker.beginEpoch(heartbeat.Epoch, now)
	}
	worker.observeSequence(heartbeat, direct, now)
	worker.observeToken(heartbeat.Token, term, now)
	worker.observeMachine(heartbeat, now)
	listed := make(map[AttemptID]bool, len(heartbeat.Tasks)) // created here to stay on the stack
	events = append(events, worker.observeTasks(heartbeat, listed, now)...)
	if !direct {
		worker.detectLostReplies(heartbeat, listed, now)
		events = append(events, worker.removeAbsent(heartbeat, listed, term)...)
	}
	sortEvents(events)
	return events, true
}

// isOutdated reports whether a message is not newer than the newest one applied. The protocol
// orders messages by epoch, then sequence number. A message of an epoch that is proven over is
// always outdated.
func (worker *Worker) isOutdated(heartbeat *Heartbeat) bool {
	return heartbeat.Epoch <= worker.ExpiredEpoch ||
		heartbeat.Epoch < worker.Epoch ||
		heartbeat.Epoch == worker.Epoch && heartbeat.Sequence <= worker.Sequence
}

// IsDuplicate reports whether a heartbeat is a late copy of an applied one, or belongs to an
// older epoch (protocol, "Delayed messages"). A duplicate does not renew the lease and gets no
// reply. A heartbeat that was overtaken by the response to a direct command is not a
// duplicate, as the worker waits for its reply.
func (worker *Worker) IsDuplicate(heartbeat *Heartbeat) bool {
	return heartbeat.Epoch < worker.Epoch ||
		heartbeat.Epoch <= worker.ExpiredEpoch ||
		heartbeat.Epoch == worker.Epoch && heartbeat.Sequence <= worker.HeartbeatSequence
}

// beginEpoch starts a new epoch. By the protocol's lease rule a worker enters an epoch only
// after it has killed and forgotten every task of the previous one.
func (worker *Worker) beginEpoch(epoch uint64, now time.Time) []Event {
	if worker.Registered && worker.Epoch > 0 {
		// Commands that the worker missed concern only attempts of the old epoch. Even a worker
		// whose replies were lost is therefore answered again: if it then stays in this epoch,
		// the replies reach it.
		worker.ReachabilityUnconfirmed, worker.RepliesLost, worker.ReachabilityUnconfirmedAt = true, false, now
	}
	gone := worker.expireEpochs(epoch - 1)
	worker.Epoch = epoch
	worker.HeartbeatSequence = 0
	return gone
}

// observeSequence updates the sequence numbers and the time of the last message. The response
// to a direct command also shows that the worker receives messages.
func (worker *Worker) observeSequence(heartbeat *Heartbeat, direct bool, now time.Time) {
	worker.Sequence = heartbeat.Sequence
	if direct {
		worker.markReachable()
	} else {
		worker.HeartbeatSequence = heartbeat.Sequence
	}
	worker.Registered = true
	worker.LastMessageAt = now
}

// observeToken updates the worker's fencing token. By the protocol the worker keeps the
// highest token it has seen, so once it reports this term's token it drops the messages of
// earlier leaders.
func (worker *Worker) observeToken(token, term uint64, now time.Time) {
	if token > worker.Token {
		worker.Token = token
		if token == term {
			worker.markReachable()
		}
	}
	if worker.Token == term && worker.TokenConfirmedAt.IsZero() {
		worker.TokenConfirmedAt = now
	}
}

// observeMachine updates the description of the machine and the time of an announced reclaim.
func (worker *Worker) observeMachine(heartbeat *Heartbeat, now time.Time) {
	worker.Endpoint, worker.MachineType = heartbeat.Endpoint, heartbeat.MachineType
	worker.Zone, worker.Spot = heartbeat.Zone, heartbeat.Spot
	if heartbeat.ReclaimInS == nil {
		worker.ReclaimAt = time.Time{}
		return
	}
	worker.ReclaimAt = now.Add(time.Duration(max(*heartbeat.ReclaimInS, 0) * float64(time.Second)))
}

// observeTasks applies the tasks that a message lists, and adds their attempts to listed.
func (worker *Worker) observeTasks(heartbeat *Heartbeat, listed map[AttemptID]bool, now time.Time) (events []Event) {
	for i := range heartbeat.Tasks {
		report := &heartbeat.Tasks[i]
		task, err := ParseTaskID(report.Task)
		if err != nil {
			continue // not reached: DecodeHeartbeat rejects such heartbeats
		}
		id := AttemptID{task, report.Attempt}
		listed[id] = true
		attempt, known := worker.Attempts[id]
		if !known {
			attempt = worker.addUnrecorded(id, heartbeat.Epoch, now)
			events = append(events, Event{EventUnrecorded, attempt})
		}
		if kind, changed := worker.observeAttempt(attempt, report, now); changed {
			events = append(events, Event{kind, attempt})
		}
	}
	return events
}

// addUnrecorded adds an attempt that no record contains. It occupies the machine until it is
// proven gone. As it is unknown which leader started it, it is treated as an attempt of an
// earlier term.
func (worker *Worker) addUnrecorded(id AttemptID, epoch uint64, now time.Time) *Attempt {
	attempt := &Attempt{
		ID: id, Epoch: epoch, Committed: true, StartAllowed: true, FromEarlierTerm: true, RunSent: true, PlacedAt: now,
	}
	worker.Attempts[id] = attempt
	return attempt
}

// observeAttempt applies the reported state of one attempt. An exit is final: later reports
// of the attempt are ignored.
func (worker *Worker) observeAttempt(attempt *Attempt, report *TaskReport, now time.Time) (kind EventKind, changed bool) {
	if attempt.exited() {
		return 0, false
	}
	if attempt.FirstReportedAt.IsZero() {
		attempt.FirstReportedAt = now
		if !attempt.FromEarlierTerm {
			worker.markReachable() // the worker has carried out this term's `run`
		}
	}
	changed = attempt.Status != report.Status
	attempt.Status, attempt.Cause, attempt.CheckpointSaved = report.Status, report.Cause, report.CheckpointSaved
	if attempt.Status == StatusRunning && attempt.RunningSince.IsZero() {
		attempt.RunningSince = now
	}
	if attempt.exited() {
		return EventExited, true
	}
	return EventStatusChanged, changed
}

// SortedAttempts returns the attempts ordered by job, task index and attempt number.
func (worker *Worker) SortedAttempts() []*Attempt {
	attempts := make([]*Attempt, 0, len(worker.Attempts))
	for _, attempt := range worker.Attempts {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return compareAttemptIDs(a.ID, b.ID) })
	return attempts
}
