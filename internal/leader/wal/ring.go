package wal

import (
	"thornnotch/internal/constants"
)

// mayAdd tells whether the ring has room for an entry on top of so many: it must never
// run into the entries that still count. While the large ring is given up no entry is
// written, so that none counts when the checkpoint stands.
func (w *Writer) mayAdd(h Head, added int) bool {
	if w.giveUpLarge(h) {
		return false
	}
	return w.Backlog()+added < min(w.head.ring(), h.ring())-constants.LogSlack
}

// AllowLargeRing says whether entries may stand in the large ring. It is used once the
// checkpoint is so large that it would have to be written again and again in the other.
func (w *Writer) AllowLargeRing(allowed bool) { w.large = allowed }

// WantsLargeRing tells whether the checkpoint is too large for the ring that all versions
// read.
func (w *Writer) WantsLargeRing() bool {
	return w.head.Ring == 0 && w.head.Parts > w.largeParts
}

// giveUpLarge tells whether the large ring is in use and may not be any more.
func (w *Writer) giveUpLarge(h Head) bool { return h.Ring > 0 && !w.large }

// chooseRing moves to the large ring once that is allowed and wanted, and back when
// nothing in it counts any more.
func (w *Writer) chooseRing(h *Head) {
	switch {
	case w.large && w.WantsLargeRing():
		h.Ring, h.RingFrom = w.largeRing, h.Next
	case w.giveUpLarge(*h) && h.From == h.Next:
		h.Ring, h.RingFrom = 0, 0
	}
}
