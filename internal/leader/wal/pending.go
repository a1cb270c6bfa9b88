package wal

import (
	"encoding/json"

	"thornnotch/internal/constants"
)

// pendingChanges are the changes that are not in an entry yet, in the order in which their
// machines and jobs first changed.
type pendingChanges struct {
	machines     map[string]*pendingMachine
	machineOrder []string
	// done holds completed tasks by job ID.
	done      map[string][]int
	doneOrder []string
	// onDone are called once all pending completions are committed, because lists of
	// completed tasks may be split across several entries.
	onDone []func()
}

// pendingMachine holds the pending changes of one machine.
type pendingMachine struct {
	MachineChange
	// onCommitted are called once the metadata is committed. Each callback in onPlaced is
	// called once its attempt is committed.
	onCommitted []func()
	onPlaced    map[Attempt]func()
	// inCheckpoint is set if a checkpoint part already includes these pending changes.
	inCheckpoint bool
}

func newPendingChanges() pendingChanges {
	return pendingChanges{machines: make(map[string]*pendingMachine), done: make(map[string][]int)}
}

// machine returns the pending changes of a machine, creating them if there are none.
func (p *pendingChanges) machine(name string) *pendingMachine {
	machine := p.machines[name]
	if machine == nil {
		machine = &pendingMachine{}
		p.machines[name] = machine
		p.machineOrder = append(p.machineOrder, name)
	}
	return machine
}

func (p *pendingChanges) empty() bool { return len(p.machines) == 0 && len(p.done) == 0 }

// AttemptPlaced records that an attempt may be on a machine from now on, and the team and
// resources of its job. The attempt must not be started before committed is called
// (docs/design.md, Safety, 3); otherwise a failover would not know of it. committed may be
// nil.
func (w *Writer) AttemptPlaced(machineName string, attempt Attempt, jobID string, usage JobUsage, committed func()) {
	machine := w.pending.machine(machineName)
	machine.Placed = append(machine.Placed, attempt)
	if machine.Jobs == nil {
		machine.Jobs = make(map[string]JobUsage)
	}
	machine.Jobs[jobID] = usage
	if committed != nil {
		if machine.onPlaced == nil {
			machine.onPlaced = make(map[Attempt]func())
		}
		machine.onPlaced[attempt] = committed
	}
}

// AttemptGone records that an attempt is proven to be off its machine. If its start has not
// been written in an entry yet, it never is, and the callback of the start is never called. The
// end is then recorded only if a checkpoint part already includes the start.
func (w *Writer) AttemptGone(machineName string, attempt Attempt) {
	machine := w.pending.machine(machineName)
	for i, placed := range machine.Placed {
		if placed != attempt {
			continue
		}
		machine.Placed = append(machine.Placed[:i:i], machine.Placed[i+1:]...)
		delete(machine.onPlaced, attempt)
		if !machine.inCheckpoint {
			return
		}
		// A checkpoint part already includes the start, so the end must be recorded.
	}
	machine.Gone = append(machine.Gone, attempt)
}

// MachineChanged records a machine's metadata. The attempts and their jobs are ignored.
// committed is called once this metadata, or later metadata that replaced it before it was
// written, is committed; it may be nil.
func (w *Writer) MachineChanged(machineName string, metadata Machine, committed func()) {
	metadata.Attempts, metadata.Jobs = nil, nil
	machine := w.pending.machine(machineName)
	machine.Metadata = &metadata
	if committed != nil {
		machine.onCommitted = append(machine.onCommitted, committed)
	}
}

// MachineRemoved records that a machine, with everything on it, no longer exists. Callbacks
// of its changes that have not been written yet are never called.
func (w *Writer) MachineRemoved(machineName string) {
	machine := w.pending.machine(machineName)
	machine.MachineChange = MachineChange{Removed: true}
	machine.onCommitted, machine.onPlaced = nil, nil
}

// TasksDone records completed tasks of a job, by number, or AllTasks. committed is called
// once these and all other pending completions are committed; it may be nil.
func (w *Writer) TasksDone(jobID string, tasks []int, committed func()) {
	p := &w.pending
	if p.done[jobID] == nil {
		p.doneOrder = append(p.doneOrder, jobID)
	}
	p.done[jobID] = append(p.done[jobID], tasks...)
	if committed != nil {
		p.onDone = append(p.onDone, committed)
	}
}

// nextEntry moves pending changes into one entry of at most valueBytes and returns the
// callbacks to call once the entry is committed. The entry is nil if there is nothing to write.
func (p *pendingChanges) nextEntry(seq uint64, valueBytes int) (json.RawMessage, []func()) {
	if len(p.machineOrder) == 0 && len(p.doneOrder) == 0 {
		return nil, nil
	}
	remaining := valueBytes - constants.LogRecordOverhead
	machines, onCommitted, remaining := p.takeMachines(remaining)
	entry := encodedEntry{Seq: seq, Machines: machines}
	if len(p.machineOrder) > 0 {
		return encode(entry), onCommitted
	}
	// Completions come last, so a completion is committed together with the removal of its
	// attempt or shortly after it. Until then the worker keeps listing the exited attempt.
	entry.Done = p.takeDone(remaining)
	if len(p.doneOrder) == 0 {
		onCommitted = append(onCommitted, p.onDone...)
		p.onDone = nil
	}
	if len(entry.Machines) == 0 && len(entry.Done) == 0 {
		return nil, nil
	}
	return encode(entry), onCommitted
}

// takeMachines takes the changes of as many machines as fit into remaining bytes, but at
// least one. It also returns how many bytes are left.
func (p *pendingChanges) takeMachines(remaining int) (taken map[string]json.RawMessage, onCommitted []func(), bytesLeft int) {
	taken = make(map[string]json.RawMessage)
	count := 0
	for _, name := range p.machineOrder {
		machine := p.machines[name]
		raw := encode(machine.MachineChange)
		size := len(raw) + len(name) + constants.LogMemberOverhead
		if size > remaining && len(taken) > 0 {
			break
		}
		count++
		delete(p.machines, name)
		if string(raw) == "{}" {
			continue // all its changes were withdrawn
		}
		remaining -= size
		taken[name] = raw
		onCommitted = append(onCommitted, machine.onCommitted...)
		for _, committed := range machine.onPlaced {
			onCommitted = append(onCommitted, committed)
		}
	}
	p.machineOrder = p.machineOrder[count:]
	return taken, onCommitted, remaining
}

// takeDone takes as many completions as fit into remaining bytes. It splits the list of a job
// that does not fit.
func (p *pendingChanges) takeDone(remaining int) map[string][]int {
	taken := make(map[string][]int)
	count := 0
	for _, job := range p.doneOrder {
		tasks := p.done[job]
		maxTasks := (remaining - len(job) - constants.LogDoneJobOverhead) / constants.LogTaskNumberBytes
		if maxTasks < 1 {
			break
		}
		if len(tasks) > maxTasks {
			taken[job] = tasks[:maxTasks:maxTasks]
			p.done[job] = tasks[maxTasks:]
			break
		}
		taken[job] = tasks
		remaining -= len(job) + constants.LogDoneJobOverhead + constants.LogTaskNumberBytes*len(tasks)
		delete(p.done, job)
		count++
	}
	p.doneOrder = p.doneOrder[count:]
	return taken
}
