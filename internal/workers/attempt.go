package workers

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the task's name as used in messages and logs, such as "j-1/0".
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses a task's name as returned by TaskID.String.
func ParseTaskID(name string) (TaskID, error) {
	job, index, ok := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	if !ok || job == "" || err != nil || number < 0 || strconv.Itoa(number) != index {
		return TaskID{}, fmt.Errorf("%q is not a task's name", name)
	}
	return TaskID{job, number}, nil
}

// AttemptID identifies one attempt to run a task.
type AttemptID struct {
	Task   TaskID
	Number uint64
}

func compareAttemptIDs(a, b AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}

// Attempt is one attempt to run a task on a machine. It exists from its placement until it is
// proven gone.
type Attempt struct {
	ID AttemptID
	// Epoch is the worker's epoch in which the attempt was placed.
	Epoch uint64
	// Committed is set once the record of the attempt's start is durable.
	Committed bool
	// StartAllowed is set by the leader when `run` may be sent. The tasks of a gang wait until
	// all of them are recorded.
	StartAllowed bool
	// FromEarlierTerm is set if an earlier term recorded the attempt, or if no record contains
	// it. An earlier term's reply with its `run` may still be in flight.
	FromEarlierTerm bool
	// PlacedAt is when the attempt was placed on this machine.
	PlacedAt time.Time

	// RunSent is set once a `run` was sent. RunSentSequence is the sequence number of the
	// heartbeat whose reply carried the last `run`; RunSentAt is when the first was sent.
	RunSent         bool
	RunSentSequence uint64
	RunSentAt       time.Time
	// MissedHeartbeats counts the heartbeats after a `run` that did not list the attempt.
	MissedHeartbeats int

	// Status is the last status that the worker reported; empty until the worker first lists
	// the attempt. Cause and CheckpointSaved come with it; CheckpointSaved is set if the task
	// has saved a checkpoint at its exit.
	Status          TaskStatus
	Cause           ExitCause
	CheckpointSaved bool
	// FirstReportedAt is when the worker first listed the attempt, RunningSince when it
	// first listed it as running.
	FirstReportedAt, RunningSince time.Time

	// StopRequested is set when the attempt must stop. GraceS is the time it gets to write a
	// checkpoint, in seconds.
	StopRequested   bool
	GraceS          float64
	StopRequestedAt time.Time
	StopSentAt      time.Time // when a stop was last sent as a direct command
	// ExitRecorded is set once the consequences of the exit are durable, so that the worker
	// may forget the attempt.
	ExitRecorded bool
}

// Live reports whether the attempt may be on its machine or may still start there.
func (a *Attempt) Live() bool { return !a.exited() }

func (a *Attempt) exited() bool { return a.Status == StatusExited }

// unreported reports whether the worker has never listed the attempt.
func (a *Attempt) unreported() bool { return a.Status == "" }

// runNeverSent reports whether no node can have sent a `run` for the attempt.
func (a *Attempt) runNeverSent() bool { return !a.RunSent && !a.FromEarlierTerm }

// runUnconfirmed reports whether this term has sent a `run` and the worker has not yet listed
// the attempt.
func (a *Attempt) runUnconfirmed() bool {
	return a.RunSent && !a.FromEarlierTerm && a.unreported()
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// EventExited means that the worker lists the attempt as exited. Attempt.Cause is the
	// reason.
	EventExited EventKind = iota
	// EventGone means that the attempt is proven gone from its machine and no exit was seen.
	EventGone
	// EventStatusChanged means that the worker lists the attempt with a new status other than
	// exited.
	EventStatusChanged
	// EventUnrecorded means that the worker lists an attempt that no record contains.
	EventUnrecorded
)

// Event is a change of one attempt caused by a message or the passage of time.
type Event struct {
	Kind    EventKind
	Attempt *Attempt
}

// sortEvents sorts events by attempt. The events of one attempt keep their order.
func sortEvents(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return compareAttemptIDs(a.Attempt.ID, b.Attempt.ID)
	})
}
