package statestore

import "thornnotch/internal/constants"

// Class is the priority class of a call. When the budget runs short, calls of less
// important classes wait first.
type Class int

// The priority classes, most important first.
const (
	// ClassLease is for calls that leadership depends on: leases, elections, watches, and
	// the reads of a failover. They never wait for budget and use separate connections.
	ClassLease Class = iota
	// ClassCancel is for job cancellations by users.
	ClassCancel
	// ClassSubmit is for job submissions by users.
	ClassSubmit
	// ClassRecord is for the leader's writes to its log.
	ClassRecord
	// ClassPoll is for reads that serve user queries and refresh the replica of open jobs.
	ClassPoll
	// ClassOther is for calls that can wait longest, such as storing the last known catalog.
	ClassOther
)

// Classes contains all classes, most important first.
var Classes = [...]Class{ClassLease, ClassCancel, ClassSubmit, ClassRecord, ClassPoll, ClassOther}

// reserve returns the fraction of a full bucket that a call of the class must leave for
// more important calls.
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

// String returns the name of the class that metrics and log lines use.
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
