// Package wal is the leader's write-ahead log: what its values hold, how they
// are packed into transactions, and how a later term reads them back. It does
// no I/O.
//
// Decisions of a term go into numbered entries. The entries stand in a ring of
// keys, so that none need be removed. From time to time the whole state is
// written anew, as a checkpoint in one of two areas of keys by turns; once its
// last part stands, the head names it, and the entries before it are free.
package wal

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"thornnotch/internal/constants"
)

// Keys.
const (
	Prefix     = "log/"
	HeadKey    = Prefix + "head"
	ringPrefix = Prefix + "r/"
	// largePrefix is of the ring for large fleets, which versions before 0.2.0's
	// release do not read.
	largePrefix = Prefix + "w/"
)

func ringKey(seq uint64) string { return fmt.Sprintf("%s%04d", ringPrefix, seq%constants.LogRingSize) }

func largeKey(seq, ring uint64) string { return fmt.Sprintf("%s%05d", largePrefix, seq%ring) }

func partKey(area string, part int) string { return fmt.Sprintf("%s%s/%04d", Prefix, area, part) }

// Head is set by every transaction of a leader and is a condition of the next:
// no transaction can be carried out twice, or after a later one.
type Head struct {
	// Term and Turn name the transaction that wrote it.
	Term uint64 `json:"term"`
	Turn uint64 `json:"turn"`
	// Entries from From up to Next, without it, count on top of the checkpoint.
	From uint64 `json:"from"`
	Next uint64 `json:"next"`
	// Area and Parts say where the newest whole checkpoint stands.
	Area  string `json:"area,omitempty"`
	Parts int    `json:"parts,omitempty"`
	// Ring is the size of the large ring, in which entries from RingFrom on stand;
	// 0: all are in the ring that every version reads. A version that does not know
	// it finds an entry missing, and so decides nothing.
	Ring     uint64 `json:"ring,omitempty"`
	RingFrom uint64 `json:"ringFrom,omitempty"`
}

// entryKey is where an entry stands.
func (h Head) entryKey(seq uint64) string {
	if h.Ring > 0 && seq >= h.RingFrom {
		return largeKey(seq, h.Ring)
	}
	return ringKey(seq)
}

// ring is how many entries may count at a time.
func (h Head) ring() int {
	if h.Ring > 0 {
		return int(h.Ring)
	}
	return constants.LogRingSize
}

// Prefixes list the keys that a takeover must read: of the checkpoint and of the
// entries on top of it. Those of the large ring come by the hundred, as most of it does
// not count at a time.
func (h Head) Prefixes() (prefixes []string) {
	if h.Area != "" {
		prefixes = append(prefixes, Prefix+h.Area+"/")
	}
	if h.Next > h.From && (h.Ring == 0 || h.From < h.RingFrom) {
		prefixes = append(prefixes, ringPrefix)
	}
	last := ""
	for seq := max(h.From, h.RingFrom); h.Ring > 0 && seq < h.Next; seq++ {
		key := largeKey(seq, h.Ring)
		if hundred := key[:len(key)-2]; hundred != last {
			prefixes = append(prefixes, hundred)
			last = hundred
		}
	}
	return prefixes
}

// Attempt is one start of a task that may be on its machine.
type Attempt struct {
	Task   string `json:"p"`
	Number uint64 `json:"t"`
	Epoch  uint64 `json:"h"`
}

// JobUse is the owner and size of an attempt's job: the job may be over while a
// task of it still stands on a machine and counts.
type JobUse struct {
	Team      string    `json:"w"`
	Resources Resources `json:"r"`
}

// Resources is CPUs, GPUs and memory, in this order.
type Resources [3]float64

// Hold is room kept for a pipeline.
type Hold struct {
	Team       string    `json:"w"`
	Class      string    `json:"k"`
	Upstream   string    `json:"u"`
	Downstream string    `json:"d"`
	Edge       bool      `json:"e,omitempty"` // along an edge that users named
	Priority   int       `json:"p"`
	Resources  Resources `json:"r"`
	Expires    int64     `json:"x"` // Unix time, ms
}

// Image is one image that a machine has.
type Image struct {
	Name string  `json:"n"`
	GB   float64 `json:"g"`
}

// Machine is what is kept of one machine.
type Machine struct {
	Type     string            `json:"t,omitempty"`
	Zone     string            `json:"z,omitempty"`
	Spot     bool              `json:"s,omitempty"`
	Endpoint string            `json:"e,omitempty"`
	Epoch    uint64            `json:"h,omitempty"`
	Leaving  bool              `json:"l,omitempty"`
	Attempts []Attempt         `json:"a,omitempty"`
	Jobs     map[string]JobUse `json:"j,omitempty"`
	Holds    []Hold            `json:"o,omitempty"`
	Images   []Image           `json:"i,omitempty"`
}

// MachineChange is what one entry says of one machine.
type MachineChange struct {
	// Metadata replaces all but the attempts.
	Metadata *Machine          `json:"m,omitempty"`
	Placed   []Attempt         `json:"a,omitempty"`
	Gone     []Attempt         `json:"x,omitempty"` // proven to be off the machine
	Jobs     map[string]JobUse `json:"j,omitempty"`
	// Removed: the cloud has taken the machine back.
	Removed bool `json:"g,omitempty"`
}

// AllTasks stands for every task of a job in an entry's list.
const AllTasks = -1

// Entry is one value of the log.
type Entry struct {
	Seq      uint64                   `json:"s"`
	Machines map[string]MachineChange `json:"r,omitempty"`
	// Done are tasks that were completed, by job.
	Done map[string][]int `json:"d,omitempty"`
}

// part is one value of a checkpoint.
type part struct {
	Machines map[string]Machine     `json:"r,omitempty"`
	Done     map[string][]DoneTasks `json:"d,omitempty"`
}

// DoneTasks is a run of a job's completed tasks: bits from task First on.
type DoneTasks struct {
	First int    `json:"f"`
	Bits  []byte `json:"b"`
}

// KeyValue is one key as the state service lists it.
type KeyValue struct {
	Key   string
	Value json.RawMessage
}

// State is what the log says once it is read.
type State struct {
	Head     Head
	Machines map[string]*Machine
	// Done lists completed tasks; AllTasks means all of them.
	Done map[string][]int
}

// Read rebuilds the state from all rows below Prefix. A value that the head
// counts on and that can't be read may hide a task that still runs, so it is
// an error: nothing may be decided without it. Rows that are not ours are
// named in odd and do no harm.
func Read(rows []KeyValue) (st State, odd []string, err error) {
	st = State{Machines: make(map[string]*Machine), Done: make(map[string][]int)}
	byKey := make(map[string]json.RawMessage, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r.Value
		if !ours(r.Key) {
			odd = append(odd, r.Key)
		}
	}
	raw, ok := byKey[HeadKey]
	if !ok {
		return st, odd, nil
	}
	if err := json.Unmarshal(raw, &st.Head); err != nil {
		return st, odd, fmt.Errorf("record %s: %w", HeadKey, err)
	}
	h := st.Head
	for i := range h.Parts {
		key := partKey(h.Area, i)
		var p part
		if err := decode(byKey, key, &p); err != nil {
			return st, odd, err
		}
		for name, r := range p.Machines {
			st.Machines[name] = &r
		}
		for job, runs := range p.Done {
			for _, d := range runs {
				for k := range len(d.Bits) * 8 {
					if d.Bits[k/8]&(1<<(k%8)) != 0 {
						st.Done[job] = append(st.Done[job], d.First+k)
					}
				}
			}
		}
	}
	for seq := h.From; seq < h.Next; seq++ {
		var e Entry
		key := h.entryKey(seq)
		if err := decode(byKey, key, &e); err != nil {
			return st, odd, err
		}
		if e.Seq != seq {
			return st, odd, fmt.Errorf("record %s holds entry %d, not %d", key, e.Seq, seq)
		}
		st.apply(e)
	}
	return st, odd, nil
}

func ours(key string) bool {
	if key == HeadKey {
		return true
	}
	area, number, ok := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	_, err := strconv.Atoi(number)
	return ok && err == nil && (area == "r" || area == "w" || area == "a" || area == "b")
}

func decode(rows map[string]json.RawMessage, key string, into any) error {
	raw, ok := rows[key]
	if !ok {
		return fmt.Errorf("record %s is missing", key)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("record %s: %w", key, err)
	}
	return nil
}

// apply takes in one entry.
func (st *State) apply(e Entry) {
	for name, c := range e.Machines {
		if c.Removed {
			delete(st.Machines, name)
			if c.Metadata == nil && len(c.Placed) == 0 {
				continue
			}
		}
		r := st.Machines[name]
		if r == nil {
			r = &Machine{}
			st.Machines[name] = r
		}
		if c.Metadata != nil {
			m := *c.Metadata
			m.Attempts, m.Jobs = r.Attempts, r.Jobs
			*r = m
		}
		r.remove(c.Gone)
		for _, a := range c.Placed {
			r.remove([]Attempt{a})
			r.Attempts = append(r.Attempts, a)
		}
		for id, j := range c.Jobs {
			if r.Jobs == nil {
				r.Jobs = make(map[string]JobUse)
			}
			r.Jobs[id] = j
		}
	}
	for job, list := range e.Done {
		st.Done[job] = append(st.Done[job], list...)
	}
}

func (r *Machine) remove(gone []Attempt) {
	for _, g := range gone {
		kept := r.Attempts[:0:0]
		for _, a := range r.Attempts {
			if a.Task != g.Task || a.Number != g.Number {
				kept = append(kept, a)
			}
		}
		r.Attempts = kept
	}
}
