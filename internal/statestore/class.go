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
	// ClassStatusQuery is for reads that serve user queries and refresh the replica of open
	// jobs.
	ClassStatusQuery
	// ClassOther is for calls that can wait longest, such as storing the last known catalog.
	ClassOther
)

// Classes contains all classes, most important first.
var Classes = [...]Class{ClassLease, ClassCancel, ClassSubmit, ClassRecord, ClassStatusQuery, ClassOther}

// reserve returns the fraction of a full bucket that a call of the class must leave for
// more important calls.
func (c Class) reserve() float64 {
	switch c {
	case ClassLease:
		return constants.BudgetReserveLease
	case ClassCancel:
		return constants.BudgetReserveCancel
	case ClassSubmit:
		return constants.BudgetReserveSubmit
	case ClassRecord:
		return constants.BudgetReserveRecord
	case ClassStatusQuery:
		return constants.BudgetReserveStatusQuery
	default:
		return constants.BudgetReserveOther
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
	case ClassStatusQuery:
		return "poll"
	default:
		return "other"
	}
}
