package wal

import "thornnotch/internal/constants"

// Limits are the limits of the state service (params.state in the settings).
type Limits struct {
	// ValueBytes is the maximum size of a value (bytes).
	ValueBytes int
	// TxnOps is the maximum number of puts and deletes in one transaction.
	TxnOps int
}

// Stats are running totals of what has been put into transactions during a term.
type Stats struct {
	Entries    uint64 `json:"entries"`
	EntryBytes uint64 `json:"entryBytes"`
	// Parts counts checkpoint parts.
	Parts     uint64 `json:"parts"`
	PartBytes uint64 `json:"partBytes"`
}

// Writer turns changes into transactions, one at a time. It must be used by one goroutine
// only.
//
// The caller, which sends the transactions to the state service, follows this protocol:
//
//  1. Next returns a transaction, which is in flight and fixed from then on: Next returns the
//     same one again, and later changes wait for the next transaction.
//  2. The caller sends it, with the term's record as an additional condition.
//  3. Once the transaction is known to have been executed, the caller calls OnCommitted:
//     all its contents are durable, and the next transaction may be sent.
//  4. While the outcome is unknown (no response, or the service was unavailable), the caller
//     calls neither OnCommitted nor OnConflict, but gets the transaction from Next again
//     and resends it with the same contents. The transaction may have been executed, or may be
//     executed later. If its changes were put into another transaction in the meantime, a late
//     copy could be executed first, and it would be unknown what is committed.
//  5. A conflict is not conclusive by itself, because an earlier copy whose response was lost
//     may have been executed. The caller reads the head and calls WroteHead. If it returns
//     true, the caller calls OnCommitted with the revision of the head. If it returns false
//     and the condition on HeadKey failed, another leader is writing the log and the term is
//     over. Otherwise only conditions of job writes failed: the caller calls OnConflict,
//     and Next returns the rest of the transaction without the job writes, if there is any.
//
// Every transaction writes the head and is conditioned on the revision that the previous one
// gave it, so none can be executed twice or after a later one.
type Writer struct {
	term   uint64
	limits Limits
	// head is the newest head known to be committed; headRevision is the revision of its key.
	head         Head
	headRevision uint64
	// txnSeq counts the transactions of the term.
	txnSeq uint64

	pending  pendingChanges
	inFlight *Txn
	// checkpoint is the checkpoint being written, or nil.
	checkpoint *checkpoint
	// partOpCredit is the number of operations that are due to the checkpoint but not reserved
	// for it yet: only whole operations can be reserved, and no more than a transaction has.
	partOpCredit float64
	stats        Stats

	// largeRingAllowed is set while entries may be stored in the large ring, which has
	// largeRingSize slots and is used for checkpoints of more than largeRingParts parts.
	largeRingAllowed bool
	largeRingSize    uint64
	largeRingParts   int
}

// NewWriter returns the writer of a term. It continues after the given head, whose key has
// revision headRevision; 0 means that there is no head yet.
func NewWriter(term uint64, limits Limits, head Head, headRevision uint64) *Writer {
	return &Writer{
		term: term, limits: limits, head: head, headRevision: headRevision,
		pending:        newPendingChanges(),
		largeRingSize:  constants.LogLargeRingSize,
		largeRingParts: constants.LogRingSize / constants.LargeRingPartsDivisor,
	}
}

// HasUncommitted reports whether changes are still to be written or a transaction is in
// flight.
func (w *Writer) HasUncommitted() bool { return w.inFlight != nil || !w.pending.empty() }

// HasPendingChanges reports whether there are changes that are not in a transaction yet.
func (w *Writer) HasPendingChanges() bool {
	return len(w.pending.machineOrder) > 0 || len(w.pending.doneOrder) > 0
}

// InFlight reports whether a transaction has been returned by Next and its outcome is not
// known yet.
func (w *Writer) InFlight() bool { return w.inFlight != nil }

// Stats returns the running totals of what has been put into transactions during the term.
func (w *Writer) Stats() Stats { return w.stats }

// Head returns the newest head known to be committed.
func (w *Writer) Head() Head { return w.head }

// Backlog returns the number of entries that a failover would have to read.
func (w *Writer) Backlog() int { return int(w.head.Next - w.head.From) }
