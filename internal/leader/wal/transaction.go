package wal

import (
	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// JobWrite is a change of other keys that goes with a transaction of the log, such as the
// move of a job to the final ones. Exactly one of its callbacks is called once its fate is
// known; each may be nil.
//
// Its conditions must be such that once one has failed it never comes to hold again, as
// with a key's revision. Otherwise an earlier copy of the transaction could be carried out
// after the rest of it had been sent without the job write.
type JobWrite struct {
	Conditions []statestore.Condition
	Writes     []statestore.Write
	// Committed is called once the transaction is known to stand, with its revision.
	Committed func(revision uint64)
	// Conflicted is called when a condition of this job write has failed: it will never
	// be carried out.
	Conflicted func()
	// Retry is called when a condition of another job write in the transaction has
	// failed: this one was not carried out either, and must be asked for anew.
	Retry func()
}

// Txn is one transaction. It is sent with the same contents until its fate is known
// (see Writer).
type Txn struct {
	Conditions []statestore.Condition
	Writes     []statestore.Write

	jobWrites []JobWrite
	// values are the entries and parts of a checkpoint.
	values []statestore.Write
	// head is the log's once this stands.
	head        Head
	onCommitted []func()
	// completes is the checkpoint whose last part this writes, nil if it writes none.
	completes *checkpoint
}

// txnSize is how much a transaction holds so far.
type txnSize struct {
	ops   int // puts and deletes, that of the head among them
	bytes int // of its values
}

func (s *txnSize) add(value []byte) {
	s.ops++
	s.bytes += len(value)
}

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

// Next freezes a transaction of what is pending, with the job writes in front. It returns
// nil if there is nothing to write. While a transaction is in flight it returns that one
// again and leaves the job writes aside.
func (w *Writer) Next(jobWrites []JobWrite) *Txn {
	if w.inFlight != nil {
		return w.inFlight
	}
	txn := &Txn{jobWrites: jobWrites, head: w.head}
	w.chooseRing(&txn.head)
	size := sizeOf(jobWrites)
	partOps := w.partShare(w.limits.TxnOps - size.ops)
	w.addEntries(txn, &size, partOps)
	if w.checkpoint != nil {
		w.addParts(txn, &size, partOps)
	}
	if len(txn.jobWrites) == 0 && len(txn.values) == 0 && txn.completes == nil {
		return nil
	}
	w.seal(txn)
	w.inFlight = txn
	return txn
}

// addEntries puts pending changes into as many entries as there is room for, keeping so
// many operations, and their part of the bytes, for parts of the checkpoint.
func (w *Writer) addEntries(txn *Txn, size *txnSize, partOps int) {
	partBytes := (constants.TxnBytes - size.bytes) * partOps / max(w.limits.TxnOps-size.ops, 1)
	most := txnSize{ops: w.limits.TxnOps - partOps, bytes: constants.TxnBytes - partBytes}
	for added := 0; size.ops < most.ops && size.bytes < most.bytes && w.mayAddEntry(txn.head, added); added++ {
		value, onCommitted := w.pending.takeEntry(txn.head.Next, w.limits.ValueBytes)
		if value == nil {
			break
		}
		txn.values = append(txn.values, statestore.Write{Put: txn.head.entryKey(txn.head.Next), Value: value})
		txn.onCommitted = append(txn.onCommitted, onCommitted...)
		txn.head.Next++
		size.add(value)
		w.stats.Entries++
		w.stats.EntryBytes += uint64(len(value))
	}
}

// addParts adds the next parts of the checkpoint: as many as operations are kept for
// them, and one if entries leave room for it. With the last one the head changes over to
// the checkpoint.
func (w *Writer) addParts(txn *Txn, size *txnSize, partOps int) {
	c := w.checkpoint
	for added := 0; added < max(partOps, 1) && size.ops < w.limits.TxnOps && size.bytes < constants.TxnBytes && !c.written; added++ {
		value := c.nextPart(w.limits.ValueBytes)
		if value == nil {
			c.written = true
			break
		}
		txn.values = append(txn.values, statestore.Write{Put: partKey(c.area, c.parts), Value: value})
		c.parts++
		size.add(value)
		w.stats.Parts++
		w.stats.PartBytes += uint64(len(value))
	}
	if c.written || c.nothingLeft() {
		txn.head.From, txn.head.Area, txn.head.Parts = c.from, c.area, c.parts
		txn.completes = c
	}
}

// seal gives the transaction a name of its own and puts its writes together.
func (w *Writer) seal(txn *Txn) {
	w.turn++
	txn.head.Term, txn.head.Turn = w.term, w.turn
	txn.Conditions = []statestore.Condition{{Key: HeadKey, Revision: w.headRevision}}
	txn.Writes = []statestore.Write{{Put: HeadKey, Value: encode(txn.head)}}
	for _, jobWrite := range txn.jobWrites {
		txn.Conditions = append(txn.Conditions, jobWrite.Conditions...)
		txn.Writes = append(txn.Writes, jobWrite.Writes...)
	}
	txn.Writes = append(txn.Writes, txn.values...)
}

// Committed takes in that the transaction in flight was carried out, at this revision.
func (w *Writer) Committed(revision uint64) {
	txn := w.inFlight
	w.inFlight = nil
	w.head, w.headRevision = txn.head, revision
	if txn.completes != nil {
		w.checkpoint = nil
		if txn.completes.onCommitted != nil {
			txn.completes.onCommitted()
		}
	}
	for _, committed := range txn.onCommitted {
		committed()
	}
	for _, jobWrite := range txn.jobWrites {
		if jobWrite.Committed != nil {
			jobWrite.Committed(revision)
		}
	}
}

// WroteHead tells whether a head that was read is the one of the transaction in flight,
// which then was carried out.
func (w *Writer) WroteHead(head Head) bool {
	return w.inFlight != nil && head.Term == w.inFlight.head.Term && head.Turn == w.inFlight.head.Turn
}

// Conflicted takes in that the transaction in flight was refused for conditions of its
// job writes alone; failed tells whether the condition on a key is among them. These
// conditions never come to hold again, so no copy of the transaction can be carried out
// later: the rest of it goes on under a name of its own, without the job writes.
func (w *Writer) Conflicted(failed func(key string) bool) {
	txn := w.inFlight
	jobWrites := txn.jobWrites
	txn.jobWrites = nil
	if len(txn.values) == 0 && txn.completes == nil {
		w.inFlight = nil
	} else {
		w.seal(txn)
	}
	for _, jobWrite := range jobWrites {
		jobWrite.refused(failed)
	}
}

// refused calls back after a conflict on the conditions that failed tells.
func (j JobWrite) refused(failed func(key string) bool) {
	conflicted := false
	for _, condition := range j.Conditions {
		conflicted = conflicted || failed(condition.Key)
	}
	switch {
	case conflicted && j.Conflicted != nil:
		j.Conflicted()
	case !conflicted && j.Retry != nil:
		j.Retry()
	}
}
