package wal

import (
	"encoding/json"

	"thornnotch/internal/constants"
)

// pendingChanges are changes that wait for a place in an entry, in the order in which
// machines and jobs first changed.
type pendingChanges struct {
	machines     map[string]*pendingMachine
	machineOrder []string
	// done are completed tasks by job ID.
	done      map[string][]int
	doneOrder []string
	// onDone are called once all completions stand that wait, as lists may be split over
	// several entries.
	onDone []func()
}

// pendingMachine is what waits to be recorded of one machine.
type pendingMachine struct {
	MachineChange
	// onCommitted are called once the metadata stand, onPlaced once their attempt does.
	onCommitted []func()
	onPlaced    map[Attempt]func()
	// inCheckpoint is set if a part of a checkpoint holds what this says: it overtook it.
	inCheckpoint bool
}

func newPendingChanges() pendingChanges {
	return pendingChanges{machines: make(map[string]*pendingMachine), done: make(map[string][]int)}
}

// machine is what waits to be recorded of a machine; it is made if there is nothing yet.
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

// AttemptPlaced records that an attempt may be on a machine from now on, and the use of
// its job. Before the attempt is started on the machine, committed must have been called
// (docs/design.md, Safety, 3): otherwise a failover would not know of it. It may be nil.
func (w *Writer) AttemptPlaced(machineName string, attempt Attempt, jobID string, use JobUse, committed func()) {
	machine := w.pending.machine(machineName)
	machine.Placed = append(machine.Placed, attempt)
	if machine.Jobs == nil {
		machine.Jobs = make(map[string]JobUse)
	}
	machine.Jobs[jobID] = use
	if committed != nil {
		if machine.onPlaced == nil {
			machine.onPlaced = make(map[Attempt]func())
		}
		machine.onPlaced[attempt] = committed
	}
}

// AttemptGone records that an attempt is proven to be off its machine. If its start is
// not recorded yet neither of the two need be, and the start's callback is never called.
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
		// A part of the checkpoint holds the start already, so its end must be recorded.
	}
	machine.Gone = append(machine.Gone, attempt)
}

// MachineChanged records all of a machine but its attempts and their jobs, which are
// ignored. committed is called once it stands, also if a later change has replaced it
// before it was written; it may be nil.
func (w *Writer) MachineChanged(machineName string, metadata Machine, committed func()) {
	metadata.Attempts, metadata.Jobs = nil, nil
	machine := w.pending.machine(machineName)
	machine.Metadata = &metadata
	if committed != nil {
		machine.onCommitted = append(machine.onCommitted, committed)
	}
}

// MachineRemoved records that a machine is no more, and all that was on it. Callbacks of
// its changes that are not written yet are never called.
func (w *Writer) MachineRemoved(machineName string) {
	machine := w.pending.machine(machineName)
	machine.MachineChange = MachineChange{Removed: true}
	machine.onCommitted, machine.onPlaced = nil, nil
}

// TasksDone records completed tasks of a job, by number, or AllTasks. committed is called
// once they stand, and all other completions that wait with them; it may be nil.
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

// takeEntry packs pending changes into one entry of at most so many bytes, and takes them
// off what is pending. It also gives the callbacks to call once the entry stands. The
// entry is nil if nothing is pending.
func (p *pendingChanges) takeEntry(seq uint64, valueBytes int) (json.RawMessage, []func()) {
	if len(p.machineOrder) == 0 && len(p.doneOrder) == 0 {
		return nil, nil
	}
	room := valueBytes - constants.LogRecordOverhead
	machines, onCommitted, room := p.takeMachines(room)
	entry := encodedEntry{Seq: seq, Machines: machines}
	if len(p.machineOrder) > 0 {
		return encode(entry), onCommitted
	}
	// Completions come last: a task's exit and its completion stand together, or the
	// exit alone for a moment, which only delays the worker's leave to forget the task.
	entry.Done = p.takeDone(room)
	if len(p.doneOrder) == 0 {
		onCommitted = append(onCommitted, p.onDone...)
		p.onDone = nil
	}
	if len(entry.Machines) == 0 && len(entry.Done) == 0 {
		return nil, nil
	}
	return encode(entry), onCommitted
}

// takeMachines takes the changes of as many machines as there is room for (bytes), one at
// least, and tells the room that is left.
func (p *pendingChanges) takeMachines(room int) (taken map[string]json.RawMessage, onCommitted []func(), left int) {
	taken = make(map[string]json.RawMessage)
	count := 0
	for _, name := range p.machineOrder {
		machine := p.machines[name]
		raw := encode(machine.MachineChange)
		size := len(raw) + len(name) + constants.LogMemberOverhead
		if size > room && len(taken) > 0 {
			break
		}
		count++
		delete(p.machines, name)
		if string(raw) == "{}" {
			continue // all of it was taken back
		}
		room -= size
		taken[name] = raw
		onCommitted = append(onCommitted, machine.onCommitted...)
		for _, committed := range machine.onPlaced {
			onCommitted = append(onCommitted, committed)
		}
	}
	p.machineOrder = p.machineOrder[count:]
	return taken, onCommitted, room
}

// takeDone takes as many completions as there is room for (bytes). The list of a job that
// does not fit is split.
func (p *pendingChanges) takeDone(room int) map[string][]int {
	taken := make(map[string][]int)
	count := 0
	for _, job := range p.doneOrder {
		tasks := p.done[job]
		fitting := (room - len(job) - constants.LogDoneJobOverhead) / constants.LogTaskNumber
		if fitting < 1 {
			break
		}
		if len(tasks) > fitting {
			taken[job] = tasks[:fitting:fitting]
			p.done[job] = tasks[fitting:]
			break
		}
		taken[job] = tasks
		room -= len(job) + constants.LogDoneJobOverhead + constants.LogTaskNumber*len(tasks)
		delete(p.done, job)
		count++
	}
	p.doneOrder = p.doneOrder[count:]
	return taken
}
