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
	Ops        int
}

// Stats are running sums of what a term has put into transactions.
type Stats struct {
	Entries    uint64 `json:"entries"`
	EntryBytes uint64 `json:"entryBytes"`
	// Parts are of checkpoints.
	Parts     uint64 `json:"parts"`
	PartBytes uint64 `json:"partBytes"`
}

// Extra is a change of other keys that goes with a transaction.
type Extra struct {
	When   []statestore.Cond
	Writes []statestore.Write
	// Stood is called once the transaction is known to stand; Clash when it
	// will never be carried out because of this part, Again when it will not
	// because of another: this one must be asked for anew.
	Stood func(epoch uint64)
	Clash func()
	Again func()
}

// Source gives the checkpoint its contents, each as it is when its part is
// written. It must include whatever may be on machines.
type Source interface {
	// Machine is a machine's record; ok is false for one that is gone.
	Machine(name string) (r Machine, ok bool)
	// Done are a job's completed tasks.
	Done(job string) []Done
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
	Change
	stood []func()
	// addFns are called for their attempts once these stand.
	addFns map[Attempt]func()
	// inPart is set if a part of a checkpoint holds what this says: it overtook it.
	inPart bool
}

type checkpoint struct {
	area     string
	from     uint64
	parts    int
	machines []string
	total    int // machines as it began
	jobs     []string
	src      Source
	// first is the next run of jobs[0] to write.
	first int
	ready bool
	over  func()
	// wrote is called with each machine that a part holds.
	wrote func(machine string)
}

// Txn is one transaction. It is sent with the same contents until its fate is
// known.
type Txn struct {
	When   []statestore.Cond
	Writes []statestore.Write

	extras []Extra
	values []statestore.Write
	head   Head
	stood  []func()
	check  *checkpoint // advanced by this transaction
	last   bool        // it completes the checkpoint
	parts  int
	// Unsure is set once a try had no answer: it may be carried out yet.
	Unsure bool
}

// NewWriter goes on behind the head that was read, with its revision.
func NewWriter(term uint64, lim Limits, head Head, stamp uint64) *Writer {
	return &Writer{term: term, lim: lim, head: head, stamp: stamp,
		largeRing: constants.LogRingLarge, largeParts: constants.LogRing / constants.LargeRingParts,
		changes: make(map[string]*change), done: make(map[string][]int)}
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

// Add records that an attempt may be on a machine from now on.
func (w *Writer) Add(machine string, a Attempt, id string, j Job, stood func()) {
	c := w.change(machine)
	c.Add = append(c.Add, a)
	if c.Jobs == nil {
		c.Jobs = make(map[string]Job)
	}
	c.Jobs[id] = j
	if stood != nil {
		if c.addFns == nil {
			c.addFns = make(map[Attempt]func())
		}
		c.addFns[a] = stood
	}
}

// Del records that an attempt is proven to be off its machine.
func (w *Writer) Del(machine string, a Attempt) {
	c := w.change(machine)
	for i, b := range c.Add {
		if b == a {
			// Never logged: it need not be, unless a part has overtaken it.
			c.Add = append(c.Add[:i:i], c.Add[i+1:]...)
			delete(c.addFns, a)
			if !c.inPart {
				return
			}
		}
	}
	c.Del = append(c.Del, a)
}

// Meta records a machine's other data.
func (w *Writer) Meta(machine string, r Machine, stood func()) {
	r.Attempts, r.Jobs = nil, nil
	c := w.change(machine)
	c.Meta = &r
	if stood != nil {
		c.stood = append(c.stood, stood)
	}
}

// Gone records that a machine is no more.
func (w *Writer) Gone(machine string) {
	c := w.change(machine)
	c.Change = Change{Gone: true}
	c.stood, c.addFns = nil, nil
}

// Done records completed tasks of a job.
func (w *Writer) Done(job string, tasks []int, stood func()) {
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

// Checkpointing tells whether a checkpoint is being written.
func (w *Writer) Checkpointing() bool { return w.check != nil }

// Checkpoint begins to write the whole state anew; over is called once it
// counts.
func (w *Writer) Checkpoint(machines, jobs []string, src Source, over func()) {
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

// Next freezes a transaction of what is pending, with the extras in front.
// It returns nil if there is nothing to write. While a transaction is under
// way it returns that one again.
func (w *Writer) Next(extras []Extra) *Txn {
	if w.flight != nil {
		return w.flight
	}
	t := &Txn{extras: extras, head: w.head}
	ops, size := 1, 0
	for _, e := range extras {
		ops += len(e.Writes)
		for _, x := range e.Writes {
			size += len(x.V) + 200
		}
	}
	w.chooseRing(&t.head)
	partOps := w.partShare(w.lim.Ops - ops)
	entryBytes := constants.TxnBytes - (constants.TxnBytes-size)*partOps/max(w.lim.Ops-ops, 1)
	// The ring must never run into the entries that still count.
	for ops < w.lim.Ops-partOps && size < entryBytes && w.mayAdd(t.head, len(t.values)) {
		v, stood := w.take(t.head.Next)
		if v == nil {
			break
		}
		t.values = append(t.values, statestore.Write{Set: t.head.entryKey(t.head.Next), V: v})
		w.stats.Entries++
		w.stats.EntryBytes += uint64(len(v))
		t.stood = append(t.stood, stood...)
		t.head.Next++
		ops++
		size += len(v)
	}
	if c := w.check; c != nil {
		for i := 0; i < max(partOps, 1) && ops < w.lim.Ops && size < constants.TxnBytes && !c.ready; i++ {
			v := c.next(w.lim.ValueBytes)
			if v == nil {
				c.ready = true
				break
			}
			t.values = append(t.values, statestore.Write{Set: partKey(c.area, c.parts), V: v})
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

// mayAdd tells whether the ring has room for an entry on top of so many: it must never
// run into the entries that still count. While the large ring is given up no entry is
// written, so that none counts when the checkpoint stands.
func (w *Writer) mayAdd(h Head, added int) bool {
	if w.giveUpLarge(h) {
		return false
	}
	return w.Backlog()+added < min(w.head.ring(), h.ring())-constants.LogSlack
}

// SetLarge says whether entries may stand in the large ring. It is used once the
// checkpoint is so large that it would have to be written again and again in the other.
func (w *Writer) SetLarge(allowed bool) { w.large = allowed }

// WantsLarge tells whether the checkpoint is too large for the ring that all versions
// read.
func (w *Writer) WantsLarge() bool {
	return w.head.Ring == 0 && w.head.Parts > w.largeParts
}

// giveUpLarge tells whether the large ring is in use and may not be any more.
func (w *Writer) giveUpLarge(h Head) bool { return h.Ring > 0 && !w.large }

// chooseRing moves to the large ring once that is allowed and wanted, and back when
// nothing in it counts any more.
func (w *Writer) chooseRing(h *Head) {
	switch {
	case w.large && w.WantsLarge():
		h.Ring, h.RingFrom = w.largeRing, h.Next
	case w.giveUpLarge(*h) && h.From == h.Next:
		h.Ring, h.RingFrom = 0, 0
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
	half := int(float64(w.head.ring()) * constants.LogFill / 2)
	return max(constants.CheckpointAfter, min(constants.CheckpointWorth*w.head.Parts, half))
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
	w.owed = min(w.owed-float64(share), float64(w.lim.Ops))
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

func (w *Writer) seal(t *Txn) {
	raw, _ := json.Marshal(t.head) // plain fields always encode
	t.When = []statestore.Cond{{K: HeadKey, Stamp: w.stamp}}
	t.Writes = []statestore.Write{{Set: HeadKey, V: raw}}
	for _, e := range t.extras {
		t.When = append(t.When, e.When...)
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
		raw, _ := json.Marshal(c.Change) // plain fields always encode
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

func (c *checkpoint) empty() bool { return len(c.machines) == 0 && len(c.jobs) == 0 }

// next makes the next part; nil when there is none.
func (c *checkpoint) next(limit int) json.RawMessage {
	room := limit - 64
	type body struct {
		Machines map[string]json.RawMessage `json:"r,omitempty"`
		Done     map[string][]Done          `json:"d,omitempty"`
	}
	p := body{Machines: make(map[string]json.RawMessage), Done: make(map[string][]Done)}
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
		runs := c.src.Done(c.jobs[0])
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

// Unknown notes that a try of the transaction had no answer.
func (w *Writer) Unknown() {
	if w.flight != nil {
		w.flight.Unsure = true
	}
}

// Stood takes in that the transaction was carried out at this revision.
func (w *Writer) Stood(epoch uint64) {
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
		if e.Stood != nil {
			e.Stood(epoch)
		}
	}
}

// Ours tells whether a head that was read is the one of the transaction under
// way, which then was carried out.
func (w *Writer) Ours(h Head) bool {
	return w.flight != nil && h.Term == w.flight.head.Term && h.Turn == w.flight.head.Turn
}

// Clashed takes in that the transaction was refused for conditions of its
// extras. These never come to hold again, so no copy of it can be carried out
// later. The rest goes on without the extras.
func (w *Writer) Clashed(failed func(key string) bool) {
	t := w.flight
	extras := t.extras
	t.extras, t.Unsure = nil, false
	if len(t.values) == 0 && !t.last {
		w.flight = nil
	} else {
		w.turn++
		t.head.Turn = w.turn
		w.seal(t)
	}
	for _, e := range extras {
		hit := false
		for _, c := range e.When {
			hit = hit || failed(c.K)
		}
		switch {
		case hit && e.Clash != nil:
			e.Clash()
		case !hit && e.Again != nil:
			e.Again()
		}
	}
}
