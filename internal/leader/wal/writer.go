package wal

import "thornnotch/internal/constants"

// Limits are the state service's (params.state in the settings).
type Limits struct {
	// ValueBytes is the size of the largest value (bytes).
	ValueBytes int
	// TxnOps is the number of puts and deletes that one transaction may hold.
	TxnOps int
}

// Stats are running sums of what a term has put into transactions.
type Stats struct {
	Entries    uint64 `json:"entries"`
	EntryBytes uint64 `json:"entryBytes"`
	// Parts are of checkpoints.
	Parts     uint64 `json:"parts"`
	PartBytes uint64 `json:"partBytes"`
}

// Writer turns changes into transactions, one at a time. It belongs to one goroutine.
//
// The protocol between it and its user, who carries the transactions to the state service:
//
//  1. Next freezes a transaction. From then on it is in flight: Next gives the same one
//     again, and later changes wait for the one after it.
//  2. The user sends it, with the term's record as a further condition.
//  3. Once it is known to have been carried out, the user calls Committed: everything in
//     it stands, and the next one may go.
//  4. While its outcome is unknown (no answer, or the service was unavailable) the user
//     calls nothing, takes it from Next again and sends it with the same contents. It may
//     have been carried out, or may yet be. Were its changes put into another transaction
//     meanwhile, a late copy could be carried out first, and nobody would know what
//     stands.
//  5. A conflict is not conclusive by itself either: an earlier try without an answer may
//     have been carried out. The user reads the head and asks WroteHead. If that is true
//     the transaction is Committed, at the revision of the head. If not, and the condition
//     on HeadKey failed, another leader writes the log and the term is over. If neither,
//     the transaction was refused for conditions of its job writes alone: the user calls
//     Conflicted, and Next gives the rest of it without these, if there is any.
//
// As every transaction sets the head and is conditioned on the revision that the one
// before gave it, none can be carried out twice, or after a later one.
type Writer struct {
	term   uint64
	limits Limits
	// head is the newest that is known to stand, headRevision the revision of its key.
	head         Head
	headRevision uint64
	// turn counts the transactions of the term.
	turn uint64

	pending  pendingChanges
	inFlight *Txn
	// checkpoint is the one being written, nil while there is none.
	checkpoint *checkpoint
	// partCredit is how many parts of a transaction's writes are due to the checkpoint
	// and have not been given to it, as they come to less than a whole one (writes).
	partCredit float64
	stats      Stats

	// largeRingAllowed is set while entries may stand in the large ring. That has
	// largeRingSize slots, and is used for checkpoints of more than largeRingParts parts.
	largeRingAllowed bool
	largeRingSize    uint64
	largeRingParts   int
}

// NewWriter makes the writer of a term. It goes on behind the head that was read, whose
// key has this revision; 0 means that it does not exist.
func NewWriter(term uint64, limits Limits, head Head, headRevision uint64) *Writer {
	return &Writer{
		term: term, limits: limits, head: head, headRevision: headRevision,
		pending:        newPendingChanges(),
		largeRingSize:  constants.LogLargeRingSize,
		largeRingParts: constants.LogRingSize / constants.LargeRingParts,
	}
}

// Pending tells whether changes wait to be written, or a transaction's fate to be known.
func (w *Writer) Pending() bool { return w.inFlight != nil || !w.pending.empty() }

// Remaining tells whether changes wait that have no place in the transaction in flight.
func (w *Writer) Remaining() bool {
	return len(w.pending.machineOrder) > 0 || len(w.pending.doneOrder) > 0
}

// InFlight tells whether a transaction is frozen and its fate not known.
func (w *Writer) InFlight() bool { return w.inFlight != nil }

// Stats are running sums of what the term has put into transactions.
func (w *Writer) Stats() Stats { return w.stats }

// Head is the newest head that is known to stand.
func (w *Writer) Head() Head { return w.head }

// Backlog is the number of entries that a failover would have to read.
func (w *Writer) Backlog() int { return int(w.head.Next - w.head.From) }
