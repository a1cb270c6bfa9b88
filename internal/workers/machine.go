package workers

import (
	"sort"
	"time"

	"thornnotch/internal/constants"
)

// AttemptID names one start of one task.
type AttemptID struct {
	Task TaskID
	Try  uint64
}

// Attempt is one start of a task on one machine, from the moment it is
// planned until it is proven gone.
type Attempt struct {
	ID AttemptID
	// Shift is the worker's session that the attempt was planned for.
	Shift uint64
	// Committed is set once the machine's record with this attempt stands.
	Committed bool
	// Cleared is set by the owner when `run` may be sent; a gang waits for
	// the records of all its tasks.
	Cleared bool
	// Inherited attempts were recorded by an earlier term, which may have an
	// answer with `run` still under way.
	Inherited bool
	// Sent tells that a `run` went out, last in the answer to report SentTick.
	Sent     bool
	SentTick uint64
	// SentAt is when the first `run` went out; Unheard counts the later
	// reports that did not list the task.
	SentAt  time.Time
	Unheard int
	// Status is what the worker said last; empty until it is first seen.
	Status string
	Cause  string
	Saved  bool
	// Halt is set when the task must stop; Grace is the time it gets to save.
	Halt    bool
	Grace   float64
	HaltAt  time.Time
	Pressed time.Time // when a stop was last sent directly
	// Settled is set once what the exit means is durably recorded, so that
	// the worker may forget it.
	Settled bool
	// SeenAt is when it was first reported, RanAt when first running.
	SeenAt, RanAt time.Time
	// PlannedAt is when it was placed here.
	PlannedAt time.Time
}

// Live tells whether the attempt may be, or may come to be, on its machine.
func (a *Attempt) Live() bool { return a.Status != Exited }

// Machine is the leader's view of one worker: its newest session and the
// attempts that are not proven gone.
type Machine struct {
	Name, Endpoint, Type, Zone string
	Spot                       bool

	Shift, Tick uint64
	// ReportTick is the newest report's own number: a message with a number
	// up to it that comes as a report is a late copy.
	ReportTick uint64
	// Deaf is set while the worker's reports arrive but our answers evidently
	// do not reach it. It gets neither work nor a 200 until it shows that it
	// hears again.
	Deaf bool
	// Doubt is set when a session has ended although the worker goes on
	// reporting: it may hear again, or never have heard our answers. It gets
	// no work until something we sent has evidently arrived.
	Doubt   bool
	DoubtAt time.Time
	// Ignored counts the reports in a row that show a stop not carried out.
	Ignored int
	// Warrant is the highest token that the worker has reported.
	Warrant uint64
	// Known is set once a report has arrived in this term.
	Known bool
	// Heard is when the last report arrived, Answered when the last one
	// arrived that was answered 200. The worker's lease counts from when it
	// sent that report, which was earlier still.
	Heard, Answered time.Time
	// TokenSeen is when the worker first showed that it has our own token;
	// nobody else can have renewed its lease since.
	TokenSeen time.Time
	// EndedShift is the newest session proven to be over.
	EndedShift uint64
	// Recall is when the cloud takes the machine away; zero if it does not.
	Recall time.Time

	Attempts map[AttemptID]*Attempt
}

// NewMachine makes an empty view.
func NewMachine(name string) *Machine {
	return &Machine{Name: name, Attempts: make(map[AttemptID]*Attempt)}
}

// Why says how an attempt came to its end.
type Why int

// Ends of attempts.
const (
	// Ended: the worker reports it exited; Attempt.Cause tells more.
	Ended Why = iota
	// Gone: proven to be off the machine with no exit seen.
	Gone
	// Seen: not an end; the worker lists the attempt in a new state.
	Seen
	// Alien: the worker lists a task that no record names.
	Alien
)

// Event is what a report or the clock says of one attempt.
type Event struct {
	Why     Why
	Attempt *Attempt
}

// Observe takes in a message from the worker. fresh is false for one that is
// older than what is known; it changes nothing. direct marks the body of an
// answer to /commands or /status: it may overtake the answer to a report, so
// what is absent from it proves nothing.
func (m *Machine) Observe(r *Report, term uint64, direct bool, now time.Time) (events []Event, fresh bool) {
	if r.Shift <= m.EndedShift || r.Shift < m.Shift || r.Shift == m.Shift && r.Tick <= m.Tick {
		return nil, false
	}
	if r.Shift > m.Shift {
		if m.Known && m.Shift > 0 {
			// Nothing of it can be left from before, so even one that was deaf
			// may be answered again: if it keeps this session, it hears.
			m.Doubt, m.Deaf, m.DoubtAt = true, false, now
		}
		events = append(events, m.endSession(r.Shift-1)...)
		m.Shift = r.Shift
		m.ReportTick = 0
	}
	m.Tick = r.Tick
	if direct {
		m.heard() // a command has reached it
	} else {
		m.ReportTick = r.Tick
	}
	m.Known = true
	m.Heard = now
	if r.Warrant > m.Warrant {
		m.Warrant = r.Warrant
		if r.Warrant == term {
			m.heard()
		}
	}
	if m.Warrant == term && m.TokenSeen.IsZero() {
		m.TokenSeen = now
	}
	m.Endpoint, m.Type, m.Zone, m.Spot = r.Endpoint, r.MachineType, r.Hall, r.Loaners
	if r.RecallS != nil {
		m.Recall = now.Add(time.Duration(max(*r.RecallS, 0) * float64(time.Second)))
	} else {
		m.Recall = time.Time{}
	}

	listed := make(map[AttemptID]bool, len(r.Pieces))
	for _, p := range r.Pieces {
		task, err := ParseTaskID(p.Piece)
		if err != nil {
			continue // DecodeReport has refused these
		}
		id := AttemptID{task, p.Try}
		listed[id] = true
		a, ok := m.Attempts[id]
		if !ok {
			// Not in any record: it occupies the machine all the same, so it
			// is kept in view until it is proven gone.
			a = &Attempt{ID: id, Shift: r.Shift, Committed: true, Cleared: true, Inherited: true, Sent: true, PlannedAt: now}
			m.Attempts[id] = a
			events = append(events, Event{Alien, a})
		}
		if a.Status == Exited {
			continue
		}
		if a.SeenAt.IsZero() {
			a.SeenAt = now
			if !a.Inherited {
				m.heard() // it has carried out what we told it
			}
		}
		changed := a.Status != p.Status
		a.Status, a.Cause, a.Saved = p.Status, p.Cause, p.Saved
		if a.Status == Running && a.RanAt.IsZero() {
			a.RanAt = now
		}
		switch {
		case a.Status == Exited:
			events = append(events, Event{Ended, a})
		case changed:
			events = append(events, Event{Seen, a})
		}
	}
	if !direct {
		m.listen(r, listed, now)
		for id, a := range m.Attempts {
			if !listed[id] && m.absenceProves(a, r, term) {
				events = append(events, m.drop(a)...)
			}
		}
	}
	sortEvents(events)
	return events, true
}

// heard notes that something we sent has arrived.
func (m *Machine) heard() { m.Deaf, m.Doubt, m.Ignored = false, false, 0 }

// KeptSession ends the doubt about a worker that has kept its session for
// longer than it could have without our answers.
func (m *Machine) KeptSession(lease time.Duration, now time.Time) {
	if m.Doubt && now.Sub(m.DoubtAt) > lease+lease/2 {
		m.Doubt = false
	}
}

// listen looks for signs that orders do not reach the worker: starts that two
// later reports do not list, or stops that several do not heed. Starts that
// never arrived are withdrawn; the report that shows it proves them gone.
func (m *Machine) listen(r *Report, listed map[AttemptID]bool, now time.Time) {
	ignored := false
	for id, a := range m.Attempts {
		switch {
		case listed[id] && a.Halt && !a.HaltAt.IsZero() && now.Sub(a.HaltAt) > constants.StopIgnored &&
			(a.Status == Running || a.Status == Fetching || a.Status == Waiting):
			ignored = true
		case !listed[id] && a.Sent && !a.Inherited && a.Status == "" && r.Tick > a.SentTick:
			a.Unheard++
			if a.Unheard >= constants.UnheardReports {
				m.Deaf = true
			}
		}
	}
	if ignored {
		m.Ignored++
	} else {
		m.Ignored = 0
	}
	if m.Ignored >= constants.UnheardReports {
		m.Deaf = true
	}
	if !m.Deaf {
		return
	}
	for id, a := range m.Attempts {
		if !listed[id] && a.Sent && !a.Inherited && a.Status == "" && !a.Halt {
			a.Halt, a.HaltAt = true, now
		}
	}
}

// Suspect tells whether a start went out so long ago that the worker must have
// reported it, and has not.
func (m *Machine) Suspect(now time.Time) bool {
	for _, a := range m.Attempts {
		if a.Sent && a.Status == "" && !a.SentAt.IsZero() && now.Sub(a.SentAt) > constants.OrderPatience {
			return true
		}
	}
	return false
}

// Copy tells whether a report is a late copy of one that has been taken in,
// or of an older session. It renews nothing and is not answered.
func (m *Machine) Copy(r *Report) bool {
	return r.Shift < m.Shift || r.Shift <= m.EndedShift || r.Shift == m.Shift && r.Tick <= m.ReportTick
}

// absenceProves tells whether a report that does not list an attempt proves
// that it is not on the machine and never will be.
func (m *Machine) absenceProves(a *Attempt, r *Report, term uint64) bool {
	switch {
	case a.Status == Exited:
		// The worker has carried out our `forget`.
		return a.Settled
	case a.Inherited:
		// An older leader's answer may be under way until the worker has
		// seen our token, from when on it drops that answer.
		return r.Warrant >= term
	case !a.Sent:
		return a.Halt
	case a.Status != "":
		// It was there, and only a `forget` or the session's end removes a
		// task from the reports of one session.
		return true
	}
	// The worker has one report under way at a time, so a later report shows
	// that the answer with `run` was dropped. An attempt that is still wanted
	// stays: the next answer carries its `run` again.
	return a.Halt && r.Tick > a.SentTick
}

func (m *Machine) drop(a *Attempt) []Event {
	delete(m.Attempts, a.ID)
	if a.Status == Exited {
		return nil
	}
	return []Event{{Gone, a}}
}

// endSession takes all attempts of sessions up to shift off the machine.
func (m *Machine) endSession(shift uint64) (events []Event) {
	m.EndedShift = max(m.EndedShift, shift)
	for _, a := range m.Attempts {
		if a.Shift <= shift {
			events = append(events, m.drop(a)...)
		}
	}
	sortEvents(events)
	return events
}

// CheckLease ends the worker's session once it must have lapsed by itself:
// the worker has our own token, so no other leader can have renewed it, and
// the last report that we answered came in longer ago than the lease lasts.
// A worker that has not shown our token may still be renewed by an older
// leader, so for it silence proves nothing.
func (m *Machine) CheckLease(term uint64, lease time.Duration, now time.Time) []Event {
	if !m.LeaseOver(term, lease, now) || m.Shift <= m.EndedShift {
		return nil
	}
	return m.endSession(m.Shift)
}

// LeaseOver tells whether the session that we know must have lapsed.
func (m *Machine) LeaseOver(term uint64, lease time.Duration, now time.Time) bool {
	if !m.Known || m.Warrant != term || m.TokenSeen.IsZero() {
		return false
	}
	last := m.TokenSeen
	if m.Answered.After(last) {
		last = m.Answered
	}
	limit := time.Duration(float64(lease)*(1+constants.ClockDrift)) + constants.LeaseProofMargin
	return now.Sub(last) > limit
}

// Returned takes everything off a machine that the cloud has confirmed gone.
func (m *Machine) Returned() (events []Event) {
	for _, a := range m.Attempts {
		events = append(events, m.drop(a)...)
	}
	sortEvents(events)
	return events
}

// Withdraw marks an attempt as no longer wanted. It reports true when no
// `run` can ever have left for it, so that it is gone at once.
func (m *Machine) Withdraw(a *Attempt, grace float64, now time.Time) (gone bool) {
	if a.Status == Exited {
		return false
	}
	if !a.Sent && !a.Inherited {
		delete(m.Attempts, a.ID)
		return true
	}
	if !a.Halt {
		a.Halt, a.Grace, a.HaltAt = true, grace, now
	} else if grace < a.Grace {
		a.Grace = grace
		a.Pressed = time.Time{}
	}
	return false
}

// Orders lists what the worker must be told. Starts go only into the answer
// to a report of the session that they were planned for, and only once their
// record stands; answering marks them as sent.
func (m *Machine) Orders(answering bool, now time.Time) []Order {
	var out []Order
	for _, a := range m.Sorted() {
		o := Order{Piece: a.ID.Task.String(), Try: a.ID.Try}
		switch {
		case a.Status == Exited:
			if !a.Settled {
				continue
			}
			o.Verb = Forget
		case a.Halt:
			if a.Status == "" && !a.Sent && !a.Inherited {
				continue
			}
			grace := a.Grace
			o.Verb, o.WindDownS = Stop, &grace
		case a.Status == "" && answering && a.Committed && a.Cleared && a.Shift == m.Shift && !a.Inherited:
			if !a.Sent {
				a.SentAt = now
			}
			a.Sent, a.SentTick = true, m.Tick
			o.Verb = Run
		default:
			continue
		}
		out = append(out, o)
	}
	return out
}

// HasOrders tells whether Orders would list anything.
func (m *Machine) HasOrders() bool {
	for _, a := range m.Attempts {
		switch {
		case a.Status == Exited && a.Settled, a.Status != Exited && a.Halt && (a.Sent || a.Inherited),
			a.Status == "" && !a.Halt && a.Committed && a.Cleared && a.Shift == m.Shift && !a.Inherited:
			return true
		}
	}
	return false
}

// Sorted lists the attempts in a fixed order.
func (m *Machine) Sorted() []*Attempt {
	list := make([]*Attempt, 0, len(m.Attempts))
	for _, a := range m.Attempts {
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
	return a.Try < b.Try
}

func sortEvents(ev []Event) {
	sort.SliceStable(ev, func(i, j int) bool { return lessID(ev[i].Attempt.ID, ev[j].Attempt.ID) })
}
