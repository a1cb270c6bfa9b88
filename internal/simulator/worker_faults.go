package simulator

import (
	"context"
	"slices"
)

// BlockIncoming starts or ends the blocking of incoming traffic: the machine's heartbeats
// reach the nodes, but it receives no replies and no direct commands.
func (w *Worker) BlockIncoming(blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incomingBlocked = blocked
}

// BlockOutgoing starts or ends the blocking of outgoing heartbeats: the machine sends none,
// but still receives direct commands.
func (w *Worker) BlockOutgoing(blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outgoingBlocked = blocked
}

// SetHanging makes the machine hang or resume. A hanging machine makes no progress on its tasks
// and sends and receives nothing, but its lease keeps running.
//
// Direct commands that arrive during the hang are executed when the machine resumes, even if
// the sender's request has timed out.
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

// SetFaulty makes the machine faulty or repairs it. A faulty machine fails every task that it
// starts; tasks that it has started already are not affected.
func (w *Worker) SetFaulty(faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = faulty
}

// ResendHeartbeats sends copies of the last WorkerOptions.MaxKeptHeartbeats heartbeats to a
// node, as when the network delivers duplicates. It returns the number of copies.
func (w *Worker) ResendHeartbeats(ctx context.Context, addr string) (sent int) {
	w.mu.Lock()
	keptHeartbeats := slices.Clone(w.keptHeartbeats)
	w.mu.Unlock()
	for i := range keptHeartbeats {
		w.postWithTimeout(ctx, addr, &keptHeartbeats[i])
	}
	return len(keptHeartbeats)
}
