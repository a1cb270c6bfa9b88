package wal

import (
	"encoding/json"

	"thornnotch/internal/constants"
)

// StateSource provides the contents of a checkpoint. Each part reads the state as it is when
// that part is written (a fuzzy checkpoint). The source must include everything that may be on
// machines, because the next leader does not learn of anything that is neither in the checkpoint
// nor in a later entry.
type StateSource interface {
	// Machine returns a machine's record; ok is false if the machine no longer exists.
	Machine(name string) (machine Machine, ok bool)
	// DoneTasks returns a job's completed tasks.
	DoneTasks(jobID string) []DoneTasks
}

// checkpoint is the state of a checkpoint that is being written.
type checkpoint struct {
	area string
	// firstEntry is the first entry to be replayed on top of the checkpoint.
	firstEntry uint64
	// partsWritten counts the parts that have been put into transactions.
	partsWritten int
	// machineNames and jobIDs are the machines and jobs still to be written; totalMachines is
	// the number of machines at the start.
	machineNames  []string
	totalMachines int
	jobIDs        []string
	// nextRun indexes the next run of completed tasks of jobIDs[0] to be written.
	nextRun int
	source  StateSource
	// allPartsWritten is set once the last part has been put into a transaction.
	allPartsWritten bool
	// onCommitted, if set, is called once a head that refers to the checkpoint is committed.
	onCommitted func()
	// onMachineWritten is called for each machine that is put into a part.
	onMachineWritten func(machine string)
}

// Checkpointing reports whether a checkpoint is being written.
func (w *Writer) Checkpointing() bool { return w.checkpoint != nil }

// BeginCheckpoint starts a new checkpoint of the whole state: all machines, and the completed
// tasks of all open jobs that have any. Its parts go into the next transactions. committed is
// called once the checkpoint is complete and committed; it may be nil. BeginCheckpoint does
// nothing while a checkpoint is being written.
func (w *Writer) BeginCheckpoint(machineNames, openJobIDs []string, source StateSource, committed func()) {
	if w.checkpoint != nil {
		return
	}
	area := areaA
	if w.head.Area == areaA {
		area = areaB
	}
	// Entries written from now on may repeat what the parts already hold. Applying them again
	// on top is idempotent.
	firstEntry := w.head.Next
	if w.inFlight != nil {
		firstEntry = w.inFlight.head.Next
	}
	w.checkpoint = &checkpoint{
		area: area, firstEntry: firstEntry,
		machineNames: machineNames, totalMachines: len(machineNames), jobIDs: openJobIDs, source: source,
		onCommitted: committed, onMachineWritten: w.markInCheckpoint,
	}
}

// markInCheckpoint notes that a checkpoint part includes the machine's pending changes.
func (w *Writer) markInCheckpoint(machineName string) {
	if machine := w.pending.machines[machineName]; machine != nil {
		machine.inCheckpoint = true
	}
}

// CheckpointDue reports whether the next checkpoint should be started. A failover should have
// few entries to read on top of the last checkpoint, but writing a new checkpoint must not cost
// more than it saves.
func (w *Writer) CheckpointDue() bool {
	if w.checkpoint != nil {
		return false
	}
	return w.Backlog() > w.checkpointThreshold() || w.mustLeaveLargeRing(w.head) && w.Backlog() > 0
}

// checkpointThreshold returns the backlog of entries above which the next checkpoint is
// started. As many entries again may be added while it is being written.
func (w *Writer) checkpointThreshold() int {
	halfFull := int(float64(w.head.ringSize()) * constants.LogMaxFill / 2)
	return max(constants.MinCheckpointEntries, min(constants.CheckpointEntriesPerPart*w.head.Parts, halfFull))
}

// reservePartOps returns how many of ops, the operations of a transaction that entries and
// checkpoint parts share, are reserved for parts. The reservation lets the checkpoint
// complete by the time the backlog reaches twice the threshold at which it started, if
// entries use the remaining operations. Without it, where transactions are small, a steady
// flow of entries and finished jobs would leave no room for the checkpoint until the ring is
// full, and then no attempt could start until the checkpoint is complete.
func (w *Writer) reservePartOps(ops int) int {
	switch {
	case w.checkpoint == nil || w.checkpoint.allPartsWritten || ops <= 0:
		return 0
	case w.mustLeaveLargeRing(w.head):
		return ops
	}
	parts := float64(w.checkpoint.estimateRemainingParts(w.head.Parts))
	entries := float64(max(2*w.checkpointThreshold()-w.Backlog(), 0))
	w.partOpCredit += float64(ops) * parts / (parts + entries)
	reserved := min(int(w.partOpCredit), ops)
	w.partOpCredit = min(w.partOpCredit-float64(reserved), float64(w.limits.TxnOps))
	return reserved
}

// estimateRemainingParts estimates how many parts are still to be written, at least one. Before
// the first part is written it assumes as many parts as the last checkpoint has.
func (c *checkpoint) estimateRemainingParts(lastParts int) int {
	if c.partsWritten == 0 {
		return max(lastParts, 1)
	}
	machinesPerPart := max(float64(c.totalMachines-len(c.machineNames))/float64(c.partsWritten), 1)
	return int(float64(len(c.machineNames))/machinesPerPart) + 1
}

func (c *checkpoint) nothingRemaining() bool {
	return len(c.machineNames) == 0 && len(c.jobIDs) == 0
}

// partBuilder assembles one checkpoint part.
type partBuilder struct {
	// maxBytes is the maximum size of a value; remaining is how much of it is free (bytes).
	maxBytes, remaining int
	contents            encodedPart
}

func (b *partBuilder) empty() bool { return len(b.contents.Machines)+len(b.contents.Done) == 0 }

// addMachine adds a machine if it fits or is the first one, and reports whether it did.
func (b *partBuilder) addMachine(name string, machine Machine) bool {
	raw := encode(machine)
	if len(raw)+constants.LogRecordOverhead > b.maxBytes {
		machine.Images, machine.Reservations = nil, nil // optional metadata: losing it is better than failing the checkpoint
		raw = encode(machine)
	}
	size := len(raw) + len(name) + constants.LogMemberOverhead
	if size > b.remaining && len(b.contents.Machines) > 0 {
		return false
	}
	b.contents.Machines[name] = raw
	b.remaining -= size
	return true
}

// addDone adds a run of completed tasks if it fits or the part is empty, and reports whether
// it did.
func (b *partBuilder) addDone(jobID string, run DoneTasks) bool {
	const base64Bytes, base64Chars = 3, 4 // base64 encodes 3 bytes as 4 characters
	size := len(run.Bits)*base64Chars/base64Bytes + len(jobID) + constants.LogDoneRunOverhead
	if size > b.remaining && !b.empty() {
		return false
	}
	b.contents.Done[jobID] = append(b.contents.Done[jobID], run)
	b.remaining -= size
	return true
}

// nextPart returns the next part, of at most maxBytes, or nil if nothing is left to write.
func (c *checkpoint) nextPart(maxBytes int) json.RawMessage {
	builder := &partBuilder{
		maxBytes: maxBytes, remaining: maxBytes - constants.LogRecordOverhead,
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

// addMachines moves machines into the part until it is full. It reports whether all of them
// fit.
func (c *checkpoint) addMachines(builder *partBuilder) bool {
	for len(c.machineNames) > 0 {
		name := c.machineNames[0]
		if machine, ok := c.source.Machine(name); ok {
			if !builder.addMachine(name, machine) {
				return false
			}
			c.onMachineWritten(name)
		}
		c.machineNames = c.machineNames[1:]
	}
	return true
}

// addJobs moves completed tasks into the part until it is full.
func (c *checkpoint) addJobs(builder *partBuilder) {
	for len(c.jobIDs) > 0 {
		jobID := c.jobIDs[0]
		for runs := c.source.DoneTasks(jobID); c.nextRun < len(runs); c.nextRun++ {
			if !builder.addDone(jobID, runs[c.nextRun]) {
				return
			}
		}
		c.jobIDs, c.nextRun = c.jobIDs[1:], 0
	}
}
