package workers

import (
	"sort"
	"time"

	"thornnotch/internal/constants"
)

// AttemptID names one start of one task.
type AttemptID struct {
	Task   TaskID
	Number uint64
}

// Attempt is one start of a task on one machine, from the moment it is
// planned until it is proven gone.
type Attempt struct {
	ID AttemptID
	// Epoch is the worker's session that the attempt was planned for.
	Epoch uint64
	// Committed is set once the machine's record with this attempt stands.
	Committed bool
	// StartAllowed is set by the owner when `run` may be sent; a gang waits for
	// the records of all its tasks.
	StartAllowed bool
	// FromEarlierTerm attempts were recorded by an earlier term, which may have an
	// answer with `run` still under way.
	FromEarlierTerm bool
	// Sent tells that a `run` went out, last in the answer to report SentTick.
	RunSent         bool
	RunSentSequence uint64
	// SentAt is when the first `run` went out; Unheard counts the later
	// reports that did not list the task.
	RunSentAt        time.Time
	MissedHeartbeats int
	// Status is what the worker said last; empty until it is first seen.
	Status string
	Cause  string
	Saved  bool
	// StopRequested is set when the task must stop; Grace is the time it gets to save.
	StopRequested   bool
	GraceS          float64
	StopRequestedAt time.Time
	StopSentAt      time.Time // when a stop was last sent directly
	// ExitRecorded is set once what the exit means is durably recorded, so that
	// the worker may forget it.
	ExitRecorded bool
	// SeenAt is when it was first reported, RanAt when first running.
	FirstReportedAt, RunningSince time.Time
	// PlacedAt is when it was placed here.
	PlacedAt time.Time
}

// Live tells whether the attempt may be, or may come to be, on its machine.
func (a *Attempt) Live() bool { return a.Status != StatusExited }

// Agent is the leader's view of one worker: its newest session and the
// attempts that are not proven gone.
type Agent struct {
	Name, Endpoint, MachineType, Zone string
	Spot                              bool

	Epoch, Sequence uint64
	// HeartbeatSequence is the newest report's own number: a message with a number
	// up to it that comes as a report is a late copy.
	HeartbeatSequence uint64
	// RepliesLost is set while the worker's reports arrive but our answers evidently
	// do not reach it. It gets neither work nor a 200 until it shows that it
	// hears again.
	RepliesLost bool
	// EpochUnconfirmed is set when a session has ended although the worker goes on
	// reporting: it may hear again, or never have heard our answers. It gets
	// no work until something we sent has evidently arrived.
	EpochUnconfirmed   bool
	EpochUnconfirmedAt time.Time
	// IgnoredStops counts the reports in a row that show a stop not carried out.
	IgnoredStops int
	// Token is the highest token that the worker has reported.
	Token uint64
	// Registered is set once a report has arrived in this term.
	Registered bool
	// Heard is when the last report arrived, Answered when the last one
	// arrived that was answered 200. The worker's lease counts from when it
	// sent that report, which was earlier still.
	LastHeartbeat, LastAcknowledged time.Time
	// TokenConfirmedAt is when the worker first showed that it has our own token;
	// nobody else can have renewed its lease since.
	TokenConfirmedAt time.Time
	// ExpiredEpoch is the newest session proven to be over.
	ExpiredEpoch uint64
	// ReclaimAt is when the cloud takes the machine away; zero if it does not.
	ReclaimAt time.Time

	Attempts map[AttemptID]*Attempt
}

// NewAgent makes an empty view.
func NewAgent(name string) *Agent {
	return &Agent{Name: name, Attempts: make(map[AttemptID]*Attempt)}
}

// EventKind says how an attempt came to its end.
type EventKind int

// Ends of attempts.
const (
	// EventExited: the worker reports it exited; Attempt.Cause tells more.
	EventExited EventKind = iota
	// Gone: proven to be off the machine with no exit seen.
	EventGone
	// Seen: not an end; the worker lists the attempt in a new state.
	EventStatusChanged
	// Alien: the worker lists a task that no record names.
	EventUnrecorded
)

// Event is what a report or the clock says of one attempt.
type Event struct {
	Kind    EventKind
	Attempt *Attempt
}

// Observe takes in a message from the worker. fresh is false for one that is
// older than what is known; it changes nothing. direct marks the body of an
// answer to /commands or /status: it may overtake the answer to a report, so
// what is absent from it proves nothing.
func (agent *Agent) Observe(r *Heartbeat, term uint64, direct bool, now time.Time) (events []Event, fresh bool) {
	if r.Epoch <= agent.ExpiredEpoch || r.Epoch < agent.Epoch || r.Epoch == agent.Epoch && r.Sequence <= agent.Sequence {
		return nil, false
	}
	if r.Epoch > agent.Epoch {
		if agent.Registered && agent.Epoch > 0 {
			// Nothing of it can be left from before, so even one that was deaf
			// may be answered again: if it keeps this session, it hears.
			agent.EpochUnconfirmed, agent.RepliesLost, agent.EpochUnconfirmedAt = true, false, now
		}
		events = append(events, agent.expireEpoch(r.Epoch-1)...)
		agent.Epoch = r.Epoch
		agent.HeartbeatSequence = 0
	}
	agent.Sequence = r.Sequence
	if direct {
		agent.noteReachable() // a command has reached it
	} else {
		agent.HeartbeatSequence = r.Sequence
	}
	agent.Registered = true
	agent.LastHeartbeat = now
	if r.Token > agent.Token {
		agent.Token = r.Token
		if r.Token == term {
			agent.noteReachable()
		}
	}
	if agent.Token == term && agent.TokenConfirmedAt.IsZero() {
		agent.TokenConfirmedAt = now
	}
	agent.Endpoint, agent.MachineType, agent.Zone, agent.Spot = r.Endpoint, r.MachineType, r.Zone, r.Spot
	if r.ReclaimInS != nil {
		agent.ReclaimAt = now.Add(time.Duration(max(*r.ReclaimInS, 0) * float64(time.Second)))
	} else {
		agent.ReclaimAt = time.Time{}
	}

	listed := make(map[AttemptID]bool, len(r.Tasks))
	for _, p := range r.Tasks {
		task, err := ParseTaskID(p.Task)
		if err != nil {
			continue // DecodeReport has refused these
		}
		id := AttemptID{task, p.Attempt}
		listed[id] = true
		a, ok := agent.Attempts[id]
		if !ok {
			// Not in any record: it occupies the machine all the same, so it
			// is kept in view until it is proven gone.
			a = &Attempt{ID: id, Epoch: r.Epoch, Committed: true, StartAllowed: true, FromEarlierTerm: true, RunSent: true, PlacedAt: now}
			agent.Attempts[id] = a
			events = append(events, Event{EventUnrecorded, a})
		}
		if a.Status == StatusExited {
			continue
		}
		if a.FirstReportedAt.IsZero() {
			a.FirstReportedAt = now
			if !a.FromEarlierTerm {
				agent.noteReachable() // it has carried out what we told it
			}
		}
		changed := a.Status != p.Status
		a.Status, a.Cause, a.Saved = p.Status, p.Cause, p.Saved
		if a.Status == StatusRunning && a.RunningSince.IsZero() {
			a.RunningSince = now
		}
		switch {
		case a.Status == StatusExited:
			events = append(events, Event{EventExited, a})
		case changed:
			events = append(events, Event{EventStatusChanged, a})
		}
	}
	if !direct {
		agent.detectLostReplies(r, listed, now)
		for id, a := range agent.Attempts {
			if !listed[id] && agent.absenceProves(a, r, term) {
				events = append(events, agent.drop(a)...)
			}
		}
	}
	sortEvents(events)
	return events, true
}

// noteReachable notes that something we sent has arrived.
func (agent *Agent) noteReachable() {
	agent.RepliesLost, agent.EpochUnconfirmed, agent.IgnoredStops = false, false, 0
}

// ConfirmEpoch ends the doubt about a worker that has kept its session for
// longer than it could have without our answers.
func (agent *Agent) ConfirmEpoch(lease time.Duration, now time.Time) {
	if agent.EpochUnconfirmed && now.Sub(agent.EpochUnconfirmedAt) > lease+lease/2 {
		agent.EpochUnconfirmed = false
	}
}

// detectLostReplies looks for signs that orders do not reach the worker: starts that two
// later reports do not list, or stops that several do not heed. Starts that
// never arrived are withdrawn; the report that shows it proves them gone.
func (agent *Agent) detectLostReplies(r *Heartbeat, listed map[AttemptID]bool, now time.Time) {
	ignored := false
	for id, a := range agent.Attempts {
		switch {
		case listed[id] && a.StopRequested && !a.StopRequestedAt.IsZero() && now.Sub(a.StopRequestedAt) > constants.StopIgnoredAfter &&
			(a.Status == StatusRunning || a.Status == StatusFetching || a.Status == StatusWaiting):
			ignored = true
		case !listed[id] && a.RunSent && !a.FromEarlierTerm && a.Status == "" && r.Sequence > a.RunSentSequence:
			a.MissedHeartbeats++
			if a.MissedHeartbeats >= constants.LostReplyHeartbeats {
				agent.RepliesLost = true
			}
		}
	}
	if ignored {
		agent.IgnoredStops++
	} else {
		agent.IgnoredStops = 0
	}
	if agent.IgnoredStops >= constants.LostReplyHeartbeats {
		agent.RepliesLost = true
	}
	if !agent.RepliesLost {
		return
	}
	for id, a := range agent.Attempts {
		if !listed[id] && a.RunSent && !a.FromEarlierTerm && a.Status == "" && !a.StopRequested {
			a.StopRequested, a.StopRequestedAt = true, now
		}
	}
}

// StartOverdue tells whether a start went out so long ago that the worker must have
// reported it, and has not.
func (agent *Agent) StartOverdue(now time.Time) bool {
	for _, a := range agent.Attempts {
		if a.RunSent && a.Status == "" && !a.RunSentAt.IsZero() && now.Sub(a.RunSentAt) > constants.StartOverdueAfter {
			return true
		}
	}
	return false
}

// IsDuplicate tells whether a report is a late copy of one that has been taken in,
// or of an older session. It renews nothing and is not answered.
func (agent *Agent) IsDuplicate(r *Heartbeat) bool {
	return r.Epoch < agent.Epoch || r.Epoch <= agent.ExpiredEpoch || r.Epoch == agent.Epoch && r.Sequence <= agent.HeartbeatSequence
}

// absenceProves tells whether a report that does not list an attempt proves
// that it is not on the machine and never will be.
func (agent *Agent) absenceProves(a *Attempt, r *Heartbeat, term uint64) bool {
	switch {
	case a.Status == StatusExited:
		// The worker has carried out our `forget`.
		return a.ExitRecorded
	case a.FromEarlierTerm:
		// An older leader's answer may be under way until the worker has
		// seen our token, from when on it drops that answer.
		return r.Token >= term
	case !a.RunSent:
		return a.StopRequested
	case a.Status != "":
		// It was there, and only a `forget` or the session's end removes a
		// task from the reports of one session.
		return true
	}
	// The worker has one report under way at a time, so a later report shows
	// that the answer with `run` was dropped. An attempt that is still wanted
	// stays: the next answer carries its `run` again.
	return a.StopRequested && r.Sequence > a.RunSentSequence
}

func (agent *Agent) drop(a *Attempt) []Event {
	delete(agent.Attempts, a.ID)
	if a.Status == StatusExited {
		return nil
	}
	return []Event{{EventGone, a}}
}

// expireEpoch takes all attempts of sessions up to shift off the machine.
func (agent *Agent) expireEpoch(shift uint64) (events []Event) {
	agent.ExpiredEpoch = max(agent.ExpiredEpoch, shift)
	for _, a := range agent.Attempts {
		if a.Epoch <= shift {
			events = append(events, agent.drop(a)...)
		}
	}
	sortEvents(events)
	return events
}

// ExpireLease ends the worker's session once it must have lapsed by itself:
// the worker has our own token, so no other leader can have renewed it, and
// the last report that we answered came in longer ago than the lease lasts.
// A worker that has not shown our token may still be renewed by an older
// leader, so for it silence proves nothing.
func (agent *Agent) ExpireLease(term uint64, lease time.Duration, now time.Time) []Event {
	if !agent.LeaseExpired(term, lease, now) || agent.Epoch <= agent.ExpiredEpoch {
		return nil
	}
	return agent.expireEpoch(agent.Epoch)
}

// LeaseExpired tells whether the session that we know must have lapsed.
func (agent *Agent) LeaseExpired(term uint64, lease time.Duration, now time.Time) bool {
	if !agent.Registered || agent.Token != term || agent.TokenConfirmedAt.IsZero() {
		return false
	}
	last := agent.TokenConfirmedAt
	if agent.LastAcknowledged.After(last) {
		last = agent.LastAcknowledged
	}
	limit := time.Duration(float64(lease)*(1+constants.ClockDrift)) + constants.LeaseProofMargin
	return now.Sub(last) > limit
}

// Terminated takes everything off a machine that the cloud has confirmed gone.
func (agent *Agent) MarkTerminated() (events []Event) {
	for _, a := range agent.Attempts {
		events = append(events, agent.drop(a)...)
	}
	sortEvents(events)
	return events
}

// RequestStop marks an attempt as no longer wanted. It reports true when no
// `run` can ever have left for it, so that it is gone at once.
func (agent *Agent) RequestStop(a *Attempt, grace float64, now time.Time) (gone bool) {
	if a.Status == StatusExited {
		return false
	}
	if !a.RunSent && !a.FromEarlierTerm {
		delete(agent.Attempts, a.ID)
		return true
	}
	if !a.StopRequested {
		a.StopRequested, a.GraceS, a.StopRequestedAt = true, grace, now
	} else if grace < a.GraceS {
		a.GraceS = grace
		a.StopSentAt = time.Time{}
	}
	return false
}

// Commands lists what the worker must be told. Starts go only into the answer
// to a report of the session that they were planned for, and only once their
// record stands; answering marks them as sent.
func (agent *Agent) Commands(answering bool, now time.Time) []Command {
	var out []Command
	for _, a := range agent.SortedAttempts() {
		o := Command{Task: a.ID.Task.String(), Attempt: a.ID.Number}
		switch {
		case a.Status == StatusExited:
			if !a.ExitRecorded {
				continue
			}
			o.Verb = VerbForget
		case a.StopRequested:
			if a.Status == "" && !a.RunSent && !a.FromEarlierTerm {
				continue
			}
			grace := a.GraceS
			o.Verb, o.GraceS = VerbStop, &grace
		case a.Status == "" && answering && a.Committed && a.StartAllowed && a.Epoch == agent.Epoch && !a.FromEarlierTerm:
			if !a.RunSent {
				a.RunSentAt = now
			}
			a.RunSent, a.RunSentSequence = true, agent.Sequence
			o.Verb = VerbRun
		default:
			continue
		}
		out = append(out, o)
	}
	return out
}

// HasCommands tells whether Orders would list anything.
func (agent *Agent) HasCommands() bool {
	for _, a := range agent.Attempts {
		switch {
		case a.Status == StatusExited && a.ExitRecorded, a.Status != StatusExited && a.StopRequested && (a.RunSent || a.FromEarlierTerm),
			a.Status == "" && !a.StopRequested && a.Committed && a.StartAllowed && a.Epoch == agent.Epoch && !a.FromEarlierTerm:
			return true
		}
	}
	return false
}

// SortedAttempts lists the attempts in a fixed order.
func (agent *Agent) SortedAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(agent.Attempts))
	for _, a := range agent.Attempts {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return lessID(list[i].ID, list[j].ID) })
	return list
}

func lessID(a, b AttemptID) bool {
	switch {
	case a.Task.Job != b.Task.Job:
		return a.Task.Job < b.Task.Job
	case a.Task.Index != b.Task.Index:
		return a.Task.Index < b.Task.Index
	}
	return a.Number < b.Number
}

func sortEvents(ev []Event) {
	sort.SliceStable(ev, func(i, j int) bool { return lessID(ev[i].Attempt.ID, ev[j].Attempt.ID) })
}
