package wal

import "thornnotch/internal/constants"

// mayAddEntry tells whether the ring has room for an entry behind the head that stands
// and so many more that were added: it must never run into the entries that still count.
// While the large ring is given up no entry is written, so that none counts when the
// checkpoint stands.
func (w *Writer) mayAddEntry(next Head, added int) bool {
	if w.givesUpLargeRing(next) {
		return false
	}
	return w.Backlog()+added < min(w.head.ringSize(), next.ringSize())-constants.LogSlack
}

// AllowLargeRing says whether entries may stand in the large ring. It is used once the
// checkpoint is so large that it would have to be written again and again in the small
// one. It must not be allowed before all nodes are known to read the large ring.
func (w *Writer) AllowLargeRing(allowed bool) { w.largeRingAllowed = allowed }

// WantsLargeRing tells whether the checkpoint is too large for the ring that all versions
// read.
func (w *Writer) WantsLargeRing() bool {
	return w.head.Ring == 0 && w.head.Parts > w.largeRingParts
}

// givesUpLargeRing tells whether the large ring is in use and may not be any more.
func (w *Writer) givesUpLargeRing(head Head) bool { return head.Ring > 0 && !w.largeRingAllowed }

// chooseRing moves to the large ring once that is allowed and wanted, and back when
// nothing in it counts any more.
func (w *Writer) chooseRing(next *Head) {
	switch {
	case w.largeRingAllowed && w.WantsLargeRing():
		next.Ring, next.RingFrom = w.largeRingSize, next.Next
	case w.givesUpLargeRing(*next) && next.From == next.Next:
		next.Ring, next.RingFrom = 0, 0
	}
}
