package wal

import (
	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// JobWrite is a change of other keys that is part of a transaction of the log, such as moving
// a job to the final jobs. Exactly one of its callbacks is called once the outcome is
// known; each of them may be nil.
//
// A condition that has failed must never hold again, as is the case for a condition on a
// key's revision. Otherwise an earlier copy of the transaction could be executed after the
// rest of it was sent without the job write.
type JobWrite struct {
	Conditions []statestore.Condition
	Writes     []statestore.Write
	// OnCommitted is called with the transaction's revision once the transaction is known to
	// be committed.
	OnCommitted func(revision uint64)
	// OnConflict is called if a condition of this job write has failed. The job write will
	// never be executed.
	OnConflict func()
	// OnRetry is called if a condition of another job write in the transaction has failed:
	// this job write was not executed either and must be submitted again.
	OnRetry func()
}

// Txn is one transaction. It is sent with the same contents until its outcome is known (see
// Writer).
type Txn struct {
	Conditions []statestore.Condition
	Writes     []statestore.Write

	jobWrites []JobWrite
	// logWrites are the writes of entries and checkpoint parts.
	logWrites []statestore.Write
	// head is the log's head once this transaction is committed.
	head        Head
	onCommitted []func()
	// completedCheckpoint is the checkpoint whose last part this transaction writes, or nil.
	completedCheckpoint *checkpoint
}

// txnSize is the size of a transaction that is being assembled.
type txnSize struct {
	ops   int // puts and deletes, including that of the head
	bytes int // total size of the values
}

func (s *txnSize) add(value []byte) {
	s.ops++
	s.bytes += len(value)
}

// sizeOf returns the size of a transaction that contains only the head and the job writes.
func sizeOf(jobWrites []JobWrite) txnSize {
	size := txnSize{ops: 1}
	for _, jobWrite := range jobWrites {
		size.ops += len(jobWrite.Writes)
		for _, write := range jobWrite.Writes {
			size.bytes += len(write.Value) + constants.JobWriteOverhead
		}
	}
	return size
}

// Next returns a transaction of the pending changes, preceded by the job writes, and puts it
// in flight. It returns nil if there is nothing to write. While a transaction is in flight,
// Next returns that one again and ignores jobWrites.
func (w *Writer) Next(jobWrites []JobWrite) *Txn {
	if w.inFlight != nil {
		return w.inFlight
	}
	txn := &Txn{jobWrites: jobWrites, head: w.head}
	w.chooseRing(&txn.head)
	size := sizeOf(jobWrites)
	partOps := w.reservePartOps(w.limits.TxnOps - size.ops)
	w.addEntries(txn, &size, partOps)
	if w.checkpoint != nil {
		w.addParts(txn, &size, partOps)
	}
	if len(txn.jobWrites) == 0 && len(txn.logWrites) == 0 && txn.completedCheckpoint == nil {
		return nil
	}
	w.finalize(txn)
	w.inFlight = txn
	return txn
}

// addEntries puts pending changes into as many entries as fit. It reserves partOps
// operations, and a proportional share of the bytes, for checkpoint parts.
func (w *Writer) addEntries(txn *Txn, size *txnSize, partOps int) {
	partBytes := (constants.MaxTxnValueBytes - size.bytes) * partOps / max(w.limits.TxnOps-size.ops, 1)
	maxSize := txnSize{ops: w.limits.TxnOps - partOps, bytes: constants.MaxTxnValueBytes - partBytes}
	for added := 0; size.ops < maxSize.ops && size.bytes < maxSize.bytes && w.mayAddEntry(txn.head, added); added++ {
		value, onCommitted := w.pending.nextEntry(txn.head.Next, w.limits.ValueBytes)
		if value == nil {
			break
		}
		txn.logWrites = append(txn.logWrites, statestore.Write{Put: txn.head.entryKey(txn.head.Next), Value: value})
		txn.onCommitted = append(txn.onCommitted, onCommitted...)
		txn.head.Next++
		size.add(value)
		w.stats.Entries++
		w.stats.EntryBytes += uint64(len(value))
	}
}

// addParts adds the next checkpoint parts, at most partOps of them. If partOps is 0, it adds at
// most one part, provided that the entries have left room for it. With the last part the head
// switches to the new checkpoint.
func (w *Writer) addParts(txn *Txn, size *txnSize, partOps int) {
	c := w.checkpoint
	for added := 0; added < max(partOps, 1) && size.ops < w.limits.TxnOps && size.bytes < constants.MaxTxnValueBytes && !c.allPartsWritten; added++ {
		value := c.nextPart(w.limits.ValueBytes)
		if value == nil {
			c.allPartsWritten = true
			break
		}
		txn.logWrites = append(txn.logWrites, statestore.Write{Put: partKey(c.area, c.partsWritten), Value: value})
		c.partsWritten++
		size.add(value)
		w.stats.Parts++
		w.stats.PartBytes += uint64(len(value))
	}
	if c.allPartsWritten || c.nothingRemaining() {
		txn.head.From, txn.head.Area, txn.head.Parts = c.firstEntry, c.area, c.partsWritten
		txn.completedCheckpoint = c
	}
}

// finalize gives the transaction a unique identity and assembles its conditions and writes.
func (w *Writer) finalize(txn *Txn) {
	w.txnSeq++
	txn.head.Term, txn.head.TxnSeq = w.term, w.txnSeq
	txn.Conditions = []statestore.Condition{{Key: HeadKey, Revision: w.headRevision}}
	txn.Writes = []statestore.Write{{Put: HeadKey, Value: encode(txn.head)}}
	for _, jobWrite := range txn.jobWrites {
		txn.Conditions = append(txn.Conditions, jobWrite.Conditions...)
		txn.Writes = append(txn.Writes, jobWrite.Writes...)
	}
	txn.Writes = append(txn.Writes, txn.logWrites...)
}

// OnCommitted tells the writer that the transaction in flight was executed at the given
// revision.
func (w *Writer) OnCommitted(revision uint64) {
	txn := w.inFlight
	w.inFlight = nil
	w.head, w.headRevision = txn.head, revision
	if txn.completedCheckpoint != nil {
		w.checkpoint = nil
		if txn.completedCheckpoint.onCommitted != nil {
			txn.completedCheckpoint.onCommitted()
		}
	}
	for _, committed := range txn.onCommitted {
		committed()
	}
	for _, jobWrite := range txn.jobWrites {
		if jobWrite.OnCommitted != nil {
			jobWrite.OnCommitted(revision)
		}
	}
}

// WroteHead reports whether the given head, as read from the state service, was written by
// the transaction in flight, which has then been executed.
func (w *Writer) WroteHead(head Head) bool {
	return w.inFlight != nil && head.Term == w.inFlight.head.Term && head.TxnSeq == w.inFlight.head.TxnSeq
}

// OnConflict tells the writer that the transaction in flight was refused only because of
// conditions of its job writes; failed reports whether the condition on a key failed. These
// conditions never hold again, so no copy of the transaction can be executed later, and the
// rest of it is sent under a new identity, without the job writes.
func (w *Writer) OnConflict(failed func(key string) bool) {
	txn := w.inFlight
	jobWrites := txn.jobWrites
	txn.jobWrites = nil
	if len(txn.logWrites) == 0 && txn.completedCheckpoint == nil {
		w.inFlight = nil
	} else {
		w.finalize(txn)
	}
	for _, jobWrite := range jobWrites {
		jobWrite.notifyConflict(failed)
	}
}

// notifyConflict calls OnConflict if a condition of the job write has failed, and otherwise
// OnRetry. failed reports whether the condition on a key failed.
func (j JobWrite) notifyConflict(failed func(key string) bool) {
	conflicted := false
	for _, condition := range j.Conditions {
		conflicted = conflicted || failed(condition.Key)
	}
	switch {
	case conflicted && j.OnConflict != nil:
		j.OnConflict()
	case !conflicted && j.OnRetry != nil:
		j.OnRetry()
	}
}
