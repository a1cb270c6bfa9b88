package wal

import (
	"encoding/json"

	"thornnotch/internal/constants"
)

// StateSource gives a checkpoint its contents, each as it is when its part is written. It
// must include whatever may be on machines: what a checkpoint does not hold and no entry
// on top of it says is forgotten.
type StateSource interface {
	// Machine is a machine's record; ok is false for one that is gone.
	Machine(name string) (machine Machine, ok bool)
	// DoneTasks are a job's completed tasks.
	DoneTasks(jobID string) []DoneTasks
}

// checkpoint is one that is being written.
type checkpoint struct {
	area string
	// from is the first entry that counts on top of it.
	from uint64
	// parts are those that have been put into transactions.
	parts int
	// machines and jobs are those yet to be written; machineCount is how many machines
	// there were at the start.
	machines     []string
	machineCount int
	jobs         []string
	// nextRun is the first run of jobs[0]'s completed tasks yet to be written.
	nextRun int
	source  StateSource
	// written is set once there is nothing more to write.
	written bool
	// onCommitted, if set, is called once the checkpoint counts.
	onCommitted func()
	// onMachineWritten is called with each machine that a part holds.
	onMachineWritten func(machine string)
}

// Checkpointing tells whether a checkpoint is being written.
func (w *Writer) Checkpointing() bool { return w.checkpoint != nil }

// BeginCheckpoint begins to write the whole state anew, with the transactions from the
// next one on. committed is called once the checkpoint counts; it may be nil. While a
// checkpoint is being written this does nothing.
func (w *Writer) BeginCheckpoint(machines, jobIDs []string, source StateSource, committed func()) {
	if w.checkpoint != nil {
		return
	}
	area := areaA
	if w.head.Area == areaA {
		area = areaB
	}
	// Entries written from now on may tell of things that the parts hold already;
	// reading them again on top changes nothing.
	from := w.head.Next
	if w.inFlight != nil {
		from = w.inFlight.head.Next
	}
	w.checkpoint = &checkpoint{
		area: area, from: from,
		machines: machines, machineCount: len(machines), jobs: jobIDs, source: source,
		onCommitted: committed, onMachineWritten: w.overtaken,
	}
}

// overtaken notes that a part holds what waits to be recorded of a machine.
func (w *Writer) overtaken(machineName string) {
	if machine := w.pending.machines[machineName]; machine != nil {
		machine.inCheckpoint = true
	}
}

// CheckpointDue tells whether the next checkpoint should be begun: a failover should have
// little to read on top of the last one, but writing one anew must not take more than
// what it saves.
func (w *Writer) CheckpointDue() bool {
	if w.checkpoint != nil {
		return false
	}
	return w.Backlog() > w.checkpointAfter() || w.givesUpLargeRing(w.head) && w.Backlog() > 0
}

// checkpointAfter is how many entries may be read on top of a checkpoint before the next
// is begun. As many may come on top while it is written.
func (w *Writer) checkpointAfter() int {
	halfFull := int(float64(w.head.ringSize()) * constants.LogMaxFill / 2)
	return max(constants.CheckpointEntries, min(constants.CheckpointPartsFactor*w.head.Parts, halfFull))
}

// partShare is how many of a transaction's operations are kept for parts of the
// checkpoint, out of those that entries and parts share. It is as many as it takes for
// the checkpoint to stand when there are twice as many entries as it was begun at, if
// entries fill what is left. Without it, where transactions are small, a steady flow of
// entries and ended jobs would leave the checkpoint no room until the ring is full, and
// then nothing could start until it stands.
func (w *Writer) partShare(ops int) int {
	switch {
	case w.checkpoint == nil || w.checkpoint.written || ops <= 0:
		return 0
	case w.givesUpLargeRing(w.head):
		return ops
	}
	parts := float64(w.checkpoint.partsLeft(w.head.Parts))
	entries := float64(max(2*w.checkpointAfter()-w.Backlog(), 0))
	w.partCredit += float64(ops) * parts / (parts + entries)
	share := min(int(w.partCredit), ops)
	w.partCredit = min(w.partCredit-float64(share), float64(w.limits.TxnOps))
	return share
}

// partsLeft is about how many parts are yet to be written; the last checkpoint had so
// many in all.
func (c *checkpoint) partsLeft(lastParts int) int {
	if c.parts == 0 {
		return max(lastParts, 1)
	}
	machinesPerPart := max(float64(c.machineCount-len(c.machines))/float64(c.parts), 1)
	return int(float64(len(c.machines))/machinesPerPart) + 1
}

func (c *checkpoint) nothingLeft() bool { return len(c.machines) == 0 && len(c.jobs) == 0 }

// partBuilder puts one part together.
type partBuilder struct {
	// limit is the size of the largest value, room what is left of it (bytes).
	limit, room int
	contents    encodedPart
}

func (b *partBuilder) empty() bool { return len(b.contents.Machines)+len(b.contents.Done) == 0 }

// addMachine adds a machine, if there is room for it or it is the first.
func (b *partBuilder) addMachine(name string, machine Machine) bool {
	raw := encode(machine)
	if len(raw)+constants.LogRecordOverhead > b.limit {
		machine.Images, machine.Holds = nil, nil // hints: better lost than the checkpoint
		raw = encode(machine)
	}
	size := len(raw) + len(name) + constants.LogMemberOverhead
	if size > b.room && len(b.contents.Machines) > 0 {
		return false
	}
	b.contents.Machines[name] = raw
	b.room -= size
	return true
}

// addDone adds a run of completed tasks, if there is room for it or the part is empty.
func (b *partBuilder) addDone(jobID string, run DoneTasks) bool {
	const base64Bytes, base64Chars = 3, 4 // so many characters stand for so many bytes
	size := len(run.Bits)*base64Chars/base64Bytes + len(jobID) + constants.LogDoneRunOverhead
	if size > b.room && !b.empty() {
		return false
	}
	b.contents.Done[jobID] = append(b.contents.Done[jobID], run)
	b.room -= size
	return true
}

// nextPart makes the next part, of at most so many bytes; nil when there is none.
func (c *checkpoint) nextPart(limit int) json.RawMessage {
	builder := &partBuilder{
		limit: limit, room: limit - constants.LogRecordOverhead,
		contents: encodedPart{Machines: make(map[string]json.RawMessage), Done: make(map[string][]DoneTasks)},
	}
	if c.addMachines(builder) {
		c.addJobs(builder)
	}
	if builder.empty() {
		return nil
	}
	return encode(builder.contents)
}

// addMachines moves machines into the part. It tells whether all have found room.
func (c *checkpoint) addMachines(builder *partBuilder) bool {
	for len(c.machines) > 0 {
		name := c.machines[0]
		if machine, ok := c.source.Machine(name); ok {
			if !builder.addMachine(name, machine) {
				return false
			}
			c.onMachineWritten(name)
		}
		c.machines = c.machines[1:]
	}
	return true
}

// addJobs moves completed tasks into the part until it is full.
func (c *checkpoint) addJobs(builder *partBuilder) {
	for len(c.jobs) > 0 {
		jobID := c.jobs[0]
		for runs := c.source.DoneTasks(jobID); c.nextRun < len(runs); c.nextRun++ {
			if !builder.addDone(jobID, runs[c.nextRun]) {
				return
			}
		}
		c.jobs, c.nextRun = c.jobs[1:], 0
	}
}
