package wal

import (
	"encoding/json"

	"thornnotch/internal/constants"
)

// StateSource gives the checkpoint its contents, each as it is when its part is
// written. It must include whatever may be on machines.
type StateSource interface {
	// Machine is a machine's record; ok is false for one that is gone.
	Machine(name string) (r Machine, ok bool)
	// Done are a job's completed tasks.
	DoneTasks(job string) []DoneTasks
}

type checkpoint struct {
	area     string
	from     uint64
	parts    int
	machines []string
	total    int // machines as it began
	jobs     []string
	src      StateSource
	// first is the next run of jobs[0] to write.
	first int
	ready bool
	over  func()
	// wrote is called with each machine that a part holds.
	wrote func(machine string)
}

// Checkpointing tells whether a checkpoint is being written.
func (w *Writer) Checkpointing() bool { return w.check != nil }

// Checkpoint begins to write the whole state anew; over is called once it
// counts.
func (w *Writer) Checkpoint(machines, jobs []string, src StateSource, over func()) {
	if w.check != nil {
		return
	}
	area := "a"
	if w.head.Area == "a" {
		area = "b"
	}
	// Entries written from now on may tell of things that the parts hold
	// already; reading them again on top changes nothing.
	from := w.head.Next
	if w.flight != nil {
		from = w.flight.head.Next
	}
	w.check = &checkpoint{area: area, from: from, machines: machines, total: len(machines), jobs: jobs, src: src, over: over, wrote: w.overtaken}
}

// overtaken notes that a part holds what waits to be recorded of a machine.
func (w *Writer) overtaken(machine string) {
	if c := w.changes[machine]; c != nil {
		c.inPart = true
	}
}

// CheckpointDue tells whether the next checkpoint should be begun: a takeover should
// have little to read on top of the last one, but writing one anew must not take more
// than what it saves.
func (w *Writer) CheckpointDue() bool {
	if w.check != nil {
		return false
	}
	return w.Backlog() > w.checkpointAfter() || w.giveUpLarge(w.head) && w.Backlog() > 0
}

// checkpointAfter is how many entries may be read on top of a checkpoint before the
// next is begun. As many may come on top while it is written.
func (w *Writer) checkpointAfter() int {
	half := int(float64(w.head.ring()) * constants.LogMaxFill / 2)
	return max(constants.CheckpointEntries, min(constants.CheckpointPartsFactor*w.head.Parts, half))
}

// partShare is how many of so many changes of a transaction are kept for parts of the
// checkpoint: as many as it takes for the checkpoint to stand when there are twice as
// many entries as it was begun at, if entries fill what is left. With few changes a transaction a steady flow of
// entries and ended jobs would leave it no room until the ring is full, and then
// nothing could start until it stands.
func (w *Writer) partShare(changes int) int {
	switch {
	case w.check == nil || w.check.ready || changes <= 0:
		return 0
	case w.giveUpLarge(w.head):
		return changes
	}
	parts := float64(w.check.left(w.head.Parts))
	entries := float64(max(2*w.checkpointAfter()-w.Backlog(), 0))
	w.owed += float64(changes) * parts / (parts + entries)
	share := min(int(w.owed), changes)
	w.owed = min(w.owed-float64(share), float64(w.lim.TxnOps))
	return share
}

// left is about how many parts are yet to be written; the last checkpoint had so many.
func (c *checkpoint) left(last int) int {
	if c.parts == 0 {
		return max(last, 1)
	}
	perPart := max(float64(c.total-len(c.machines))/float64(c.parts), 1)
	return int(float64(len(c.machines))/perPart) + 1
}

func (c *checkpoint) empty() bool { return len(c.machines) == 0 && len(c.jobs) == 0 }

// next makes the next part; nil when there is none.
func (c *checkpoint) next(limit int) json.RawMessage {
	room := limit - 64
	type body struct {
		Machines map[string]json.RawMessage `json:"r,omitempty"`
		Done     map[string][]DoneTasks     `json:"d,omitempty"`
	}
	p := body{Machines: make(map[string]json.RawMessage), Done: make(map[string][]DoneTasks)}
	for len(c.machines) > 0 {
		r, ok := c.src.Machine(c.machines[0])
		if ok {
			raw := marshal(r)
			if len(raw)+64 > limit {
				r.Images, r.Holds = nil, nil // hints
				raw = marshal(r)
			}
			if len(raw)+len(c.machines[0])+4 > room && len(p.Machines) > 0 {
				return marshal(p)
			}
			p.Machines[c.machines[0]] = raw
			c.wrote(c.machines[0])
			room -= len(raw) + len(c.machines[0]) + 4
		}
		c.machines = c.machines[1:]
	}
	for len(c.jobs) > 0 {
		runs := c.src.DoneTasks(c.jobs[0])
		for c.first < len(runs) {
			d := runs[c.first]
			need := len(d.Bits)*4/3 + len(c.jobs[0]) + 40
			if need > room && len(p.Machines)+len(p.Done) > 0 {
				return marshal(p)
			}
			p.Done[c.jobs[0]] = append(p.Done[c.jobs[0]], d)
			room -= need
			c.first++
		}
		c.jobs, c.first = c.jobs[1:], 0
	}
	if len(p.Machines)+len(p.Done) == 0 {
		return nil
	}
	return marshal(p)
}
