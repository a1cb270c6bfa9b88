package wal

import "thornnotch/internal/constants"

// mayAddEntry reports whether the ring has room for one more entry in a transaction that
// already adds the given number of entries to the committed ones. New entries must never
// overwrite live ones. No entry is added while the log moves from the large ring back to the
// small one, so that no entry in the large ring is live once the checkpoint is complete.
func (w *Writer) mayAddEntry(next Head, added int) bool {
	if w.mustLeaveLargeRing(next) {
		return false
	}
	return w.Backlog()+added < min(w.head.ringSize(), next.ringSize())-constants.LogFreeKeys
}

// AllowLargeRing sets whether entries may be stored in the large ring. The large ring is used
// once the checkpoint is so large that with the small ring it would have to be rewritten
// continually. It must not be allowed before all nodes are known to be able to read the large
// ring.
func (w *Writer) AllowLargeRing(allowed bool) { w.largeRingAllowed = allowed }

// WantsLargeRing reports whether the checkpoint is too large for the small ring, which all
// versions can read.
func (w *Writer) WantsLargeRing() bool {
	return w.head.Ring == 0 && w.head.Parts > w.largeRingParts
}

// mustLeaveLargeRing reports whether the large ring is in use but no longer allowed.
func (w *Writer) mustLeaveLargeRing(head Head) bool { return head.Ring > 0 && !w.largeRingAllowed }

// chooseRing switches to the large ring once it is allowed and wanted, and back once no entry
// in it is live.
func (w *Writer) chooseRing(next *Head) {
	switch {
	case w.largeRingAllowed && w.WantsLargeRing():
		next.Ring, next.RingFrom = w.largeRingSize, next.Next
	case w.mustLeaveLargeRing(*next) && next.From == next.Next:
		next.Ring, next.RingFrom = 0, 0
	}
}
