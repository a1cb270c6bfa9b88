package leader

import (
	"net/http"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/workers"
)

// Reply is the reply to a heartbeat. The zero value means that the term ended first.
type Reply struct {
	Status int
	Answer workers.CommandBatch
}

// refusal is the reply to a heartbeat that renews nothing.
var refusal = Reply{Status: http.StatusServiceUnavailable}

// heldReply is the reply to a heartbeat, held back so that commands go with it.
type heldReply struct {
	epoch   uint64 // of the heartbeat
	arrived time.Time
	until   time.Time // until when it may be held back
	reply   chan<- Reply
}

// heldReplies are the heartbeats that have not been answered yet, at most one a
// machine. Each is answered exactly once: its channel has room for one reply, so a
// second would block the loop.
type heldReplies struct {
	byMachine map[*machineState]*heldReply
	due       []*machineState // of these, those that commands have come up for
	// nextFlush is when the others are looked at next.
	nextFlush time.Time
}

func newHeldReplies() heldReplies {
	return heldReplies{byMachine: make(map[*machineState]*heldReply)}
}

// hold keeps a reply back. A worker that sends another heartbeat has given up the
// earlier one, which is refused.
func (h *heldReplies) hold(machine *machineState, held *heldReply) {
	h.refuse(machine)
	h.byMachine[machine] = held
}

// refuse ends the wait of a machine's heartbeat, if one waits, and renews nothing.
func (h *heldReplies) refuse(machine *machineState) {
	if held := h.byMachine[machine]; held != nil {
		delete(h.byMachine, machine)
		held.reply <- refusal
	}
}

// wake has the next flush look at the machine's heartbeat, if one waits: there are
// commands for it.
func (h *heldReplies) wake(machine *machineState) {
	if h.byMachine[machine] != nil {
		h.due = append(h.due, machine)
	}
}

// flush looks at the heartbeats that have been woken, and every ReplyFlushInterval at
// all. It answers those for which replyTo has a reply.
func (h *heldReplies) flush(now time.Time, replyTo func(*machineState, *heldReply) (reply Reply, ready bool)) {
	for _, machine := range h.due {
		// It may have been answered since it was woken.
		if held := h.byMachine[machine]; held != nil {
			h.answer(machine, held, replyTo)
		}
	}
	h.due = h.due[:0]
	if now.Before(h.nextFlush) {
		return
	}
	h.nextFlush = now.Add(constants.ReplyFlushInterval)
	for machine, held := range h.byMachine {
		h.answer(machine, held, replyTo)
	}
}

func (h *heldReplies) answer(machine *machineState, held *heldReply, replyTo func(*machineState, *heldReply) (Reply, bool)) {
	if reply, ready := replyTo(machine, held); ready {
		delete(h.byMachine, machine)
		held.reply <- reply
	}
}

// nextDue is when flush must be called next if no commands come up; zero if nothing
// waits.
func (h *heldReplies) nextDue() time.Time {
	if len(h.byMachine) == 0 {
		return time.Time{}
	}
	return h.nextFlush
}
