package wal

import (
	"encoding/json"
	"fmt"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
)

// Limits are the state service's.
type Limits struct {
	ValueBytes int
	TxnOps     int
}

// Stats are running sums of what a term has put into transactions.
type Stats struct {
	Entries    uint64 `json:"entries"`
	EntryBytes uint64 `json:"entryBytes"`
	// Parts are of checkpoints.
	Parts     uint64 `json:"parts"`
	PartBytes uint64 `json:"partBytes"`
}

// JobWrite is a change of other keys that goes with a transaction.
type JobWrite struct {
	Conditions []statestore.Condition
	Writes     []statestore.Write
	// Committed is called once the transaction is known to stand; Clash when it
	// will never be carried out because of this part, Again when it will not
	// because of another: this one must be asked for anew.
	Committed  func(epoch uint64)
	Conflicted func()
	Retry      func()
}

// Writer turns changes into transactions, one at a time.
type Writer struct {
	term  uint64
	lim   Limits
	head  Head
	stamp uint64
	turn  uint64

	changes map[string]*change
	order   []string
	done    map[string][]int
	jobs    []string // of done, in order
	doneFns []func()
	flight  *Txn
	check   *checkpoint
	// owed are changes that the checkpoint's share has come to and not got yet.
	owed  float64
	stats Stats
	// large is set while entries may stand in the large ring, which has so many slots
	// and is used for checkpoints of more than so many parts.
	large      bool
	largeRing  uint64
	largeParts int
}

type change struct {
	MachineChange
	stood []func()
	// addFns are called for their attempts once these stand.
	addFns map[Attempt]func()
	// inPart is set if a part of a checkpoint holds what this says: it overtook it.
	inPart bool
}

// Txn is one transaction. It is sent with the same contents until its fate is
// known.
type Txn struct {
	Conditions []statestore.Condition
	Writes     []statestore.Write

	extras []JobWrite
	values []statestore.Write
	head   Head
	stood  []func()
	check  *checkpoint // advanced by this transaction
	last   bool        // it completes the checkpoint
	parts  int
	// Retried is set once a try had no answer: it may be carried out yet.
	Retried bool
}

// NewWriter goes on behind the head that was read, with its revision.
func NewWriter(term uint64, lim Limits, head Head, stamp uint64) *Writer {
	return &Writer{
		term: term, lim: lim, head: head, stamp: stamp,
		largeRing: constants.LogLargeRingSize, largeParts: constants.LogRingSize / constants.LargeRingParts,
		changes: make(map[string]*change), done: make(map[string][]int),
	}
}

func (w *Writer) change(machine string) *change {
	c := w.changes[machine]
	if c == nil {
		c = &change{}
		w.changes[machine] = c
		w.order = append(w.order, machine)
	}
	return c
}

// AttemptPlaced records that an attempt may be on a machine from now on.
func (w *Writer) AttemptPlaced(machine string, a Attempt, id string, j JobUse, stood func()) {
	c := w.change(machine)
	c.Placed = append(c.Placed, a)
	if c.Jobs == nil {
		c.Jobs = make(map[string]JobUse)
	}
	c.Jobs[id] = j
	if stood != nil {
		if c.addFns == nil {
			c.addFns = make(map[Attempt]func())
		}
		c.addFns[a] = stood
	}
}

// AttemptGone records that an attempt is proven to be off its machine.
func (w *Writer) AttemptGone(machine string, a Attempt) {
	c := w.change(machine)
	for i, b := range c.Placed {
		if b == a {
			// Never logged: it need not be, unless a part has overtaken it.
			c.Placed = append(c.Placed[:i:i], c.Placed[i+1:]...)
			delete(c.addFns, a)
			if !c.inPart {
				return
			}
		}
	}
	c.Gone = append(c.Gone, a)
}

// MachineChanged records a machine's other data.
func (w *Writer) MachineChanged(machine string, r Machine, stood func()) {
	r.Attempts, r.Jobs = nil, nil
	c := w.change(machine)
	c.Metadata = &r
	if stood != nil {
		c.stood = append(c.stood, stood)
	}
}

// MachineRemoved records that a machine is no more.
func (w *Writer) MachineRemoved(machine string) {
	c := w.change(machine)
	c.MachineChange = MachineChange{Removed: true}
	c.stood, c.addFns = nil, nil
}

// TasksDone records completed tasks of a job.
func (w *Writer) TasksDone(job string, tasks []int, stood func()) {
	if w.done[job] == nil {
		w.jobs = append(w.jobs, job)
	}
	w.done[job] = append(w.done[job], tasks...)
	if stood != nil {
		w.doneFns = append(w.doneFns, stood)
	}
}

// Pending tells whether changes wait to be written.
func (w *Writer) Pending() bool { return w.flight != nil || len(w.changes) > 0 || len(w.done) > 0 }

// Remaining tells whether changes wait that have no place in the transaction under way.
func (w *Writer) Remaining() bool { return len(w.order) > 0 || len(w.jobs) > 0 }

// InFlight tells whether a transaction is frozen and its fate not known.
func (w *Writer) InFlight() bool { return w.flight != nil }

// Stats are running sums of what the term has written.
func (w *Writer) Stats() Stats { return w.stats }

// Head is the newest head that stands.
func (w *Writer) Head() Head { return w.head }

// Backlog is the number of entries that a takeover would have to read.
func (w *Writer) Backlog() int { return int(w.head.Next - w.head.From) }

// Next freezes a transaction of what is pending, with the extras in front.
// It returns nil if there is nothing to write. While a transaction is under
// way it returns that one again.
func (w *Writer) Next(extras []JobWrite) *Txn {
	if w.flight != nil {
		return w.flight
	}
	t := &Txn{extras: extras, head: w.head}
	ops, size := 1, 0
	for _, e := range extras {
		ops += len(e.Writes)
		for _, x := range e.Writes {
			size += len(x.Value) + 200
		}
	}
	w.chooseRing(&t.head)
	partOps := w.partShare(w.lim.TxnOps - ops)
	entryBytes := constants.TxnBytes - (constants.TxnBytes-size)*partOps/max(w.lim.TxnOps-ops, 1)
	// The ring must never run into the entries that still count.
	for ops < w.lim.TxnOps-partOps && size < entryBytes && w.mayAdd(t.head, len(t.values)) {
		v, stood := w.take(t.head.Next)
		if v == nil {
			break
		}
		t.values = append(t.values, statestore.Write{Put: t.head.entryKey(t.head.Next), Value: v})
		w.stats.Entries++
		w.stats.EntryBytes += uint64(len(v))
		t.stood = append(t.stood, stood...)
		t.head.Next++
		ops++
		size += len(v)
	}
	if c := w.check; c != nil {
		for i := 0; i < max(partOps, 1) && ops < w.lim.TxnOps && size < constants.TxnBytes && !c.ready; i++ {
			v := c.next(w.lim.ValueBytes)
			if v == nil {
				c.ready = true
				break
			}
			t.values = append(t.values, statestore.Write{Put: partKey(c.area, c.parts), Value: v})
			c.parts++
			t.parts++
			w.stats.Parts++
			w.stats.PartBytes += uint64(len(v))
			ops++
			size += len(v)
		}
		if c.ready || c.empty() {
			t.head.From, t.head.Area, t.head.Parts = c.from, c.area, c.parts
			t.check, t.last = c, true
		}
	}
	if len(t.extras) == 0 && len(t.values) == 0 && !t.last {
		return nil
	}
	w.turn++
	t.head.Term, t.head.Turn = w.term, w.turn
	w.seal(t)
	w.flight = t
	return t
}

func (w *Writer) seal(t *Txn) {
	raw, _ := json.Marshal(t.head) // plain fields always encode
	t.Conditions = []statestore.Condition{{Key: HeadKey, Revision: w.stamp}}
	t.Writes = []statestore.Write{{Put: HeadKey, Value: raw}}
	for _, e := range t.extras {
		t.Conditions = append(t.Conditions, e.Conditions...)
		t.Writes = append(t.Writes, e.Writes...)
	}
	t.Writes = append(t.Writes, t.values...)
}

// take packs pending changes into one value.
func (w *Writer) take(seq uint64) (json.RawMessage, []func()) {
	if len(w.order) == 0 && len(w.jobs) == 0 {
		return nil, nil
	}
	room := w.lim.ValueBytes - 64
	type entry struct {
		Seq      uint64                     `json:"s"`
		Machines map[string]json.RawMessage `json:"r,omitempty"`
		Done     map[string][]int           `json:"d,omitempty"`
	}
	e := entry{Seq: seq, Machines: make(map[string]json.RawMessage), Done: make(map[string][]int)}
	var stood []func()
	n := 0
	for _, name := range w.order {
		c := w.changes[name]
		raw, _ := json.Marshal(c.MachineChange) // plain fields always encode
		if len(raw)+len(name)+4 > room && len(e.Machines) > 0 {
			break
		}
		n++
		delete(w.changes, name)
		if string(raw) == "{}" {
			continue // all of it was taken back
		}
		room -= len(raw) + len(name) + 4
		e.Machines[name] = raw
		stood = append(stood, c.stood...)
		for _, f := range c.addFns {
			stood = append(stood, f)
		}
	}
	w.order = w.order[n:]
	if len(w.order) > 0 {
		return marshal(e), stood
	}
	// Completions come last: a task's exit and its completion stand together,
	// or the exit alone for a moment, which only delays its `forget`.
	n = 0
	for _, job := range w.jobs {
		list := w.done[job]
		most := (room - len(job) - 8) / 7
		if most < 1 {
			break
		}
		if len(list) > most {
			e.Done[job] = list[:most:most]
			w.done[job] = list[most:]
			room = 0
			break
		}
		e.Done[job] = list
		room -= len(job) + 8 + 7*len(list)
		delete(w.done, job)
		n++
	}
	w.jobs = w.jobs[n:]
	if len(w.jobs) == 0 {
		stood = append(stood, w.doneFns...)
		w.doneFns = nil
	}
	if len(e.Machines) == 0 && len(e.Done) == 0 {
		return nil, nil
	}
	return marshal(e), stood
}

func marshal(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wal: %v", err)) // only plain values are ever given
	}
	return raw
}

// OutcomeUnknown notes that a try of the transaction had no answer.
func (w *Writer) OutcomeUnknown() {
	if w.flight != nil {
		w.flight.Retried = true
	}
}

// Committed takes in that the transaction was carried out at this revision.
func (w *Writer) Committed(epoch uint64) {
	t := w.flight
	w.flight = nil
	w.head, w.stamp = t.head, epoch
	if t.last {
		w.check = nil
		if t.check.over != nil {
			t.check.over()
		}
	}
	for _, f := range t.stood {
		f()
	}
	for _, e := range t.extras {
		if e.Committed != nil {
			e.Committed(epoch)
		}
	}
}

// WroteHead tells whether a head that was read is the one of the transaction under
// way, which then was carried out.
func (w *Writer) WroteHead(h Head) bool {
	return w.flight != nil && h.Term == w.flight.head.Term && h.Turn == w.flight.head.Turn
}

// Conflicted takes in that the transaction was refused for conditions of its
// extras. These never come to hold again, so no copy of it can be carried out
// later. The rest goes on without the extras.
func (w *Writer) Conflicted(failed func(key string) bool) {
	t := w.flight
	extras := t.extras
	t.extras, t.Retried = nil, false
	if len(t.values) == 0 && !t.last {
		w.flight = nil
	} else {
		w.turn++
		t.head.Turn = w.turn
		w.seal(t)
	}
	for _, e := range extras {
		hit := false
		for _, c := range e.Conditions {
			hit = hit || failed(c.Key)
		}
		switch {
		case hit && e.Conflicted != nil:
			e.Conflicted()
		case !hit && e.Retry != nil:
			e.Retry()
		}
	}
}
