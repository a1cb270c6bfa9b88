package leader

import (
	"net/http"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// Reply is the HTTP response to a heartbeat. The zero value means that the term ended before
// there was a response.
type Reply struct {
	Status int
	Batch  workers.CommandBatch
}

// refusal is the reply to a heartbeat that must not renew the worker's lease.
var refusal = Reply{Status: http.StatusServiceUnavailable}

// heldReply is a heartbeat whose reply is held back so that it can carry commands.
type heldReply struct {
	epoch   uint64 // of the heartbeat
	arrived time.Time
	until   time.Time // end of the hold time
	reply   chan<- Reply
}

// heldReplies holds the unanswered heartbeats, at most one per machine. Each must be
// answered exactly once: its channel has a buffer of one, so a second reply would block the
// event loop.
type heldReplies struct {
	byMachine map[*machineState]*heldReply
	woken     []*machineState // machines for which there have been new commands since the last flush
	// nextFlush is when all held replies are checked next.
	nextFlush time.Time
}

func newHeldReplies() heldReplies {
	return heldReplies{byMachine: make(map[*machineState]*heldReply)}
}

// hold adds a held reply. A worker that sends another heartbeat no longer waits for the
// reply to the earlier one, which is refused.
func (h *heldReplies) hold(machine *machineState, held *heldReply) {
	h.refuse(machine)
	h.byMachine[machine] = held
}

// refuse refuses the machine's held heartbeat, if there is one, without renewing the lease.
func (h *heldReplies) refuse(machine *machineState) {
	if held := h.byMachine[machine]; held != nil {
		delete(h.byMachine, machine)
		held.reply <- refusal
	}
}

// wake makes the next flush check the machine's held reply, if there is one. It is called
// when there are new commands for the machine.
func (h *heldReplies) wake(machine *machineState) {
	if h.byMachine[machine] != nil {
		h.woken = append(h.woken, machine)
	}
}

// flush checks the replies of woken machines, and every ReplyFlushInterval all held replies.
// It sends those that replyTo reports as ready.
func (h *heldReplies) flush(now time.Time, replyTo func(*machineState, *heldReply) (reply Reply, ready bool)) {
	for _, machine := range h.woken {
		// The heartbeat may have been answered since the machine was woken.
		if held := h.byMachine[machine]; held != nil {
			h.answer(machine, held, replyTo)
		}
	}
	h.woken = h.woken[:0]
	if now.Before(h.nextFlush) {
		return
	}
	h.nextFlush = now.Add(constants.ReplyFlushInterval)
	for machine, held := range h.byMachine {
		h.answer(machine, held, replyTo)
	}
}

// answer sends and removes a held reply if replyTo reports that it is ready.
func (h *heldReplies) answer(machine *machineState, held *heldReply, replyTo func(*machineState, *heldReply) (Reply, bool)) {
	if reply, ready := replyTo(machine, held); ready {
		delete(h.byMachine, machine)
		held.reply <- reply
	}
}

// nextDue returns when flush must be called next unless there are new commands before. It
// returns the zero time if no reply is held.
func (h *heldReplies) nextDue() time.Time {
	if len(h.byMachine) == 0 {
		return time.Time{}
	}
	return h.nextFlush
}
