package statestore

import "thornnotch/internal/constants"

// Class is the importance of a call. When the budget runs short, the calls of less
// important classes wait first.
type Class int

// Classes of calls, most important first.
const (
	// ClassLease is what leadership depends on: leases, elections, watches, and a
	// failover's reads. It never waits for budget, and has connections of its own.
	ClassLease Class = iota
	// ClassCancel is users' cancellations.
	ClassCancel
	// ClassSubmit is users' submissions.
	ClassSubmit
	// ClassRecord is the leader's log.
	ClassRecord
	// ClassPoll is reads for users' queries and for the replica of the open jobs.
	ClassPoll
	// ClassOther is what can wait longest, such as the last known catalog.
	ClassOther
)

// Classes lists all classes, most important first.
var Classes = [...]Class{ClassLease, ClassCancel, ClassSubmit, ClassRecord, ClassPoll, ClassOther}

// reserve is the part of a full bucket that a call of the class must leave for more
// important ones (ratio).
func (c Class) reserve() float64 {
	switch c {
	case ClassLease:
		return constants.ReserveLease
	case ClassCancel:
		return constants.ReserveCancel
	case ClassSubmit:
		return constants.ReserveSubmit
	case ClassRecord:
		return constants.ReserveRecord
	case ClassPoll:
		return constants.ReservePoll
	default:
		return constants.ReserveOther
	}
}

// String names the class, as in metrics and log lines.
func (c Class) String() string {
	switch c {
	case ClassLease:
		return "lease"
	case ClassCancel:
		return "cancel"
	case ClassSubmit:
		return "submit"
	case ClassRecord:
		return "record"
	case ClassPoll:
		return "poll"
	default:
		return "other"
	}
}
