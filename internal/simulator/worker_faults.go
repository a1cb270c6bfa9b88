package simulator

import (
	"context"
	"slices"
)

// CutIncoming begins or ends a cut of one direction: heartbeats go out, replies and direct
// commands do not arrive.
func (w *Worker) CutIncoming(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incomingCut = cut
}

// CutOutgoing begins or ends a cut of the other direction: no heartbeat leaves, while direct
// commands arrive.
func (w *Worker) CutOutgoing(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outgoingCut = cut
}

// SetHanging makes the machine stand still, or go on: meanwhile it runs nothing, says nothing
// and hears nothing. Its lease runs on.
//
// Direct commands that arrive meanwhile are carried out when it goes on, whether or not the
// sender still waits.
func (w *Worker) SetHanging(hanging bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hanging && !hanging {
		close(w.resumed)
	}
	if !w.hanging && hanging {
		w.resumed = make(chan struct{})
	}
	w.hanging = hanging
}

func (w *Worker) isHanging() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hanging
}

// SetFaulty makes the machine fail every task that it starts from now on, or mends it.
func (w *Worker) SetFaulty(faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = faulty
}

// ResendHeartbeats sends copies of the heartbeats that the machine has kept to a node, as when
// the network delivers them once more.
func (w *Worker) ResendHeartbeats(ctx context.Context, addr string) (sent int) {
	w.mu.Lock()
	kept := slices.Clone(w.kept)
	w.mu.Unlock()
	for i := range kept {
		w.postWithin(ctx, addr, &kept[i])
	}
	return len(kept)
}
