package workers

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String is the task's name in messages and logs.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads a task's name as it stands in messages.
func ParseTaskID(name string) (TaskID, error) {
	job, index, ok := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	if !ok || job == "" || err != nil || number < 0 || strconv.Itoa(number) != index {
		return TaskID{}, fmt.Errorf("%q is not a task's name", name)
	}
	return TaskID{job, number}, nil
}

// AttemptID names one start of one task.
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

// Attempt is one start of a task on one machine, from the moment it is planned until it is
// proven gone.
type Attempt struct {
	ID AttemptID
	// Epoch is the worker's epoch that the attempt was planned for.
	Epoch uint64
	// Committed is set once the machine's record with this attempt is durable.
	Committed bool
	// StartAllowed is set by the owner when `run` may be sent; a gang waits for the records
	// of all its tasks.
	StartAllowed bool
	// FromEarlierTerm attempts were recorded by an earlier term, whose reply with `run` may
	// still be under way.
	FromEarlierTerm bool
	// PlacedAt is when the attempt was placed on this machine.
	PlacedAt time.Time

	// RunSent tells that a `run` was sent; RunSentSequence is the sequence number of the
	// heartbeat that the last one was the reply to, and RunSentAt when the first was sent.
	RunSent         bool
	RunSentSequence uint64
	RunSentAt       time.Time
	// MissedHeartbeats counts the later heartbeats that did not list the attempt.
	MissedHeartbeats int

	// Status is what the worker reported last; empty until it first lists the attempt.
	Status TaskStatus
	Cause  ExitCause
	Saved  bool
	// FirstReportedAt is when the worker first listed the attempt, RunningSince when it
	// first listed it as running.
	FirstReportedAt, RunningSince time.Time

	// StopRequested is set when the attempt must stop; GraceS is the time it gets to save
	// (seconds).
	StopRequested   bool
	GraceS          float64
	StopRequestedAt time.Time
	StopSentAt      time.Time // when a stop was last sent directly
	// ExitRecorded is set once what the exit means is durable, so that the worker may forget
	// the attempt.
	ExitRecorded bool
}

// Live tells whether the attempt may be, or may come to be, on its machine.
func (a *Attempt) Live() bool { return !a.exited() }

func (a *Attempt) exited() bool { return a.Status == StatusExited }

// unreported tells whether the worker has never listed the attempt.
func (a *Attempt) unreported() bool { return a.Status == "" }

// runNeverSent tells whether no `run` for the attempt can ever have left a node.
func (a *Attempt) runNeverSent() bool { return !a.RunSent && !a.FromEarlierTerm }

// runUnconfirmed tells whether this term has sent a `run` that the worker has not shown to
// have carried out.
func (a *Attempt) runUnconfirmed() bool {
	return a.RunSent && !a.FromEarlierTerm && a.unreported()
}

// EventKind says what has become known of an attempt.
type EventKind int

// What can become known of an attempt.
const (
	// EventExited: the worker lists it as exited; Attempt.Cause tells why.
	EventExited EventKind = iota
	// EventGone: it is proven to be off the machine, and no exit was seen.
	EventGone
	// EventStatusChanged: the worker lists it in a new state that is not its end.
	EventStatusChanged
	// EventUnrecorded: the worker lists an attempt that no record names.
	EventUnrecorded
)

// Event is what a message or the clock reveals of one attempt.
type Event struct {
	Kind    EventKind
	Attempt *Attempt
}

// sortEvents puts events into a fixed order; those of one attempt keep theirs.
func sortEvents(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return compareAttemptIDs(a.Attempt.ID, b.Attempt.ID)
	})
}
