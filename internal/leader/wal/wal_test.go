package wal

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
	"thornnotch/internal/statestore"
	"thornnotch/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m, 1500)) }

const termKey = "term/number"

// store is a state service that carries out transactions whole.
type store struct {
	rows  map[string]KeyValue
	stamp map[string]uint64
	epoch uint64
}

func (s *store) run(when []statestore.Condition, writes []statestore.Write) (failed []string) {
	for _, c := range when {
		if s.stamp[c.Key] != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.epoch++
	for _, w := range writes {
		if w.Delete != "" {
			delete(s.rows, w.Delete)
			delete(s.stamp, w.Delete)
			continue
		}
		s.rows[w.Put] = KeyValue{w.Put, w.Value}
		s.stamp[w.Put] = s.epoch
	}
	return nil
}

// log lists all of the log's keys.
func (s *store) log() (out []KeyValue) {
	for k, r := range s.rows {
		if strings.HasPrefix(k, Prefix) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// named lists what a takeover reads: the head, and what it names.
func (s *store) named() (out []KeyValue) {
	var head Head
	if r, ok := s.rows[HeadKey]; ok {
		_ = json.Unmarshal(r.Value, &head) // Read tells
	}
	prefixes := append(head.Prefixes(), HeadKey)
	for k, r := range s.rows {
		if slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(k, prefix) }) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// model is a leader reduced to what its log must keep.
type model struct {
	w    *Writer
	term uint64
	// live is what may be on each machine as the leader knows it; stood are
	// the attempts whose record is known to stand, off those whose end is.
	live    map[string]map[Attempt]bool
	stood   map[Attempt]bool
	done    map[string]map[int]bool
	safe    map[string]map[int]bool
	zone    map[string]string // last noted
	written map[string]string // last that is known to stand
}

func newModel() *model {
	return &model{
		live: map[string]map[Attempt]bool{}, stood: map[Attempt]bool{}, done: map[string]map[int]bool{},
		safe: map[string]map[int]bool{}, zone: map[string]string{}, written: map[string]string{},
	}
}

// Machine gives a checkpoint what the leader knows.
func (m *model) Machine(name string) (Machine, bool) {
	on, ok := m.live[name]
	if !ok {
		return Machine{}, false
	}
	r := Machine{Zone: m.zone[name]}
	for a := range on {
		r.Attempts = append(r.Attempts, a)
	}
	slices.SortFunc(r.Attempts, func(a, b Attempt) int { return int(a.Number) - int(b.Number) })
	return r, true
}

// DoneTasks gives a checkpoint what is done, in runs of eight.
func (m *model) DoneTasks(job string) (out []DoneTasks) {
	for first := 0; first < 64; first += 8 {
		var b byte
		for k := range 8 {
			if m.done[job][first+k] {
				b |= 1 << k
			}
		}
		if b != 0 {
			out = append(out, DoneTasks{first, []byte{b}})
		}
	}
	return out
}

// TestReplayEqualsWhatWasCommitted: for any order of changes, checkpoints,
// lost answers, late copies of transactions and takeovers, what a new leader
// reads holds every start that stood and is not known to be over, none whose
// end stood, every completion that stood and none that never was.
func TestReplayEqualsWhatWasCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{rows: map[string]KeyValue{}, stamp: map[string]uint64{termKey: 1}, epoch: 1}
		lim := Limits{ValueBytes: 600, TxnOps: 5}
		m := newModel()
		// A ring so small that it wraps, and that any checkpoint is large enough for.
		newWriter := func(term uint64, head Head, stamp uint64) *Writer {
			w := NewWriter(term, lim, head, stamp)
			w.largeRing, w.largeParts = 24, 0
			w.AllowLargeRing(rapid.Bool().Draw(t, "large"))
			return w
		}
		m.term, m.w = 1, newWriter(1, Head{}, 0)
		type txn struct {
			when   []statestore.Condition
			writes []statestore.Write
		}
		var late []txn
		tries := uint64(0)
		ended := map[string]bool{} // jobs moved by an extra
		machines := []string{"m-1", "m-2", "m-3", "m-4"}
		jobs := []string{"j-1", "j-2"}
		machine := func() string { return rapid.SampledFrom(machines).Draw(t, "rig") }
		attempt := func() (string, Attempt, bool) {
			name := machine()
			var list []Attempt
			for a := range m.live[name] {
				list = append(list, a)
			}
			if len(list) == 0 {
				return "", Attempt{}, false
			}
			slices.SortFunc(list, func(a, b Attempt) int { return int(a.Number) - int(b.Number) })
			return name, rapid.SampledFrom(list).Draw(t, "attempt"), true
		}
		send := func() {
			if m.w.Pending() || m.w.Checkpointing() {
				var extras []JobWrite
				if !m.w.InFlight() && rapid.IntRange(0, 4).Draw(t, "extra") == 0 {
					job := fmt.Sprint("open/", rapid.IntRange(0, 3).Draw(t, "which"))
					stamp := s.stamp[job]
					if rapid.Bool().Draw(t, "wrong") {
						stamp += 100
					}
					extras = append(extras, JobWrite{
						Conditions: []statestore.Condition{{Key: job, Revision: stamp}}, Writes: []statestore.Write{{Put: job, Value: json.RawMessage("1")}},
						Committed: func(uint64) { ended[job] = true },
					})
				}
				x := m.w.Next(extras)
				if x == nil {
					return
				}
				if len(x.Writes) > lim.TxnOps+1 {
					t.Fatalf("%d changes at once", len(x.Writes))
				}
				for _, w := range x.Writes {
					if len(w.Value) > lim.ValueBytes {
						t.Fatalf("%s has %d bytes", w.Put, len(w.Value))
					}
				}
				when := append([]statestore.Condition{{Key: termKey, Revision: m.term}}, x.Conditions...)
				finalKnown := rapid.IntRange(0, 5).Draw(t, "fate")
				if finalKnown == 0 { // lost on the way, may arrive later
					late = append(late, txn{when, x.Writes})
					m.w.OutcomeUnknown()
					return
				}
				failed := s.run(when, x.Writes)
				if finalKnown == 1 { // the answer is lost, and a copy is about
					late = append(late, txn{when, x.Writes})
					m.w.OutcomeUnknown()
					return
				}
				if failed == nil {
					m.w.Committed(s.epoch)
					return
				}
				var h Head
				if raw, ok := s.rows[HeadKey]; ok {
					if err := json.Unmarshal(raw.Value, &h); err != nil {
						t.Fatal(err)
					}
				}
				switch {
				case slices.Contains(failed, termKey):
					t.Fatalf("deposed without a takeover")
				case m.w.WroteHead(h):
					m.w.Committed(s.stamp[HeadKey])
				case slices.Contains(failed, HeadKey):
					t.Fatalf("somebody else wrote the head: %+v", h)
				default:
					m.w.Conflicted(func(k string) bool { return slices.Contains(failed, k) })
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				name := machine()
				tries++
				a := Attempt{Task: fmt.Sprintf("%s/%d", rapid.SampledFrom(jobs).Draw(t, "job"), tries%20), Number: tries, Epoch: 1}
				if m.live[name] == nil {
					m.live[name] = map[Attempt]bool{}
				}
				m.live[name][a] = true
				m.w.AttemptPlaced(name, a, "j-1", JobUse{Team: "x"}, func() { m.stood[a] = true })
			},
			"del": func(t *rapid.T) {
				name, a, ok := attempt()
				if !ok {
					t.Skip()
				}
				delete(m.live[name], a)
				delete(m.stood, a)
				m.w.AttemptGone(name, a)
			},
			"meta": func(t *rapid.T) {
				// Each zone is new, so that it tells which record was read.
				tries++
				name, zone := machine(), fmt.Sprint("z-", tries)
				if m.live[name] == nil {
					m.live[name] = map[Attempt]bool{}
				}
				m.zone[name] = zone
				m.w.MachineChanged(name, Machine{Zone: zone}, func() { m.written[name] = zone })
			},
			"gone": func(t *rapid.T) {
				name := machine()
				for a := range m.live[name] {
					delete(m.stood, a)
				}
				delete(m.live, name)
				delete(m.zone, name)
				delete(m.written, name)
				m.w.MachineRemoved(name)
				// The cloud never gives a name twice.
				tries++
				machines[slices.Index(machines, name)] = fmt.Sprint("m-", tries+10)
			},
			"done": func(t *rapid.T) {
				job, i := rapid.SampledFrom(jobs).Draw(t, "job"), rapid.IntRange(0, 63).Draw(t, "task")
				if m.done[job] == nil {
					m.done[job], m.safe[job] = map[int]bool{}, map[int]bool{}
				}
				safe := m.safe[job]
				m.done[job][i] = true
				m.w.TasksDone(job, []int{i}, func() { safe[i] = true })
			},
			"checkpoint": func(t *rapid.T) {
				var names []string
				for name := range m.live {
					names = append(names, name)
				}
				slices.Sort(names)
				m.w.Checkpoint(names, jobs, m, nil)
			},
			"ring":  func(t *rapid.T) { m.w.AllowLargeRing(rapid.Bool().Draw(t, "large")) },
			"send":  func(t *rapid.T) { send() },
			"send2": func(t *rapid.T) { send() },
			"late": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				x := late[rapid.IntRange(0, len(late)-1).Draw(t, "copy")]
				s.run(x.when, x.writes)
			},
			"takeover": func(t *rapid.T) {
				s.epoch++
				s.stamp[termKey] = s.epoch
				st, odd, err := Read(s.named())
				if err != nil || len(odd) > 0 {
					t.Fatalf("can't take over: %v %v", err, odd)
				}
				on := map[Attempt]string{}
				for name, r := range st.Machines {
					for _, a := range r.Attempts {
						on[a] = name
					}
				}
				for name, list := range m.live {
					for a := range list {
						if m.stood[a] && on[a] != name {
							t.Fatalf("%v stood on %s and is forgotten", a, name)
						}
					}
					if z, ok := m.written[name]; ok && m.zone[name] == z && (st.Machines[name] == nil || st.Machines[name].Zone != z) {
						t.Fatalf("%s: %+v, its zone %q stood", name, st.Machines[name], z)
					}
				}
				if !m.w.Pending() {
					for a, name := range on {
						if !m.live[name][a] {
							t.Fatalf("%v is over, and its end stood, but it is read again", a)
						}
					}
				}
				for _, job := range jobs {
					read := map[int]bool{}
					for _, i := range st.Done[job] {
						if !m.done[job][i] {
							t.Fatalf("%s/%d was never done", job, i)
						}
						read[i] = true
					}
					for i := range m.safe[job] {
						if !read[i] {
							t.Fatalf("%s/%d was done and is forgotten", job, i)
						}
					}
				}
				m = newModel()
				m.term, m.w = s.epoch, newWriter(s.epoch, st.Head, s.stamp[HeadKey])
				for name, r := range st.Machines {
					m.live[name] = map[Attempt]bool{}
					m.zone[name], m.written[name] = r.Zone, r.Zone
					for _, a := range r.Attempts {
						m.live[name][a], m.stood[a] = true, true
					}
				}
				for _, job := range jobs {
					m.done[job], m.safe[job] = map[int]bool{}, map[int]bool{}
					for _, i := range st.Done[job] {
						m.done[job][i], m.safe[job][i] = true, true
					}
				}
			},
		})
	})
}

// TestRingIsNeverOverrun: however long a checkpoint takes, entries that still
// count are not written over.
func TestRingIsNeverOverrun(t *testing.T) {
	s := &store{rows: map[string]KeyValue{}, stamp: map[string]uint64{}}
	m := newModel()
	m.w = NewWriter(1, Limits{ValueBytes: 2000, TxnOps: 8}, Head{}, 0)
	for i := range 3 * constants.LogRingSize {
		name := fmt.Sprint("m-", i%7)
		if m.live[name] == nil {
			m.live[name] = map[Attempt]bool{}
		}
		a := Attempt{Task: "j-1/0", Number: uint64(i), Epoch: 1}
		m.live[name][a] = true
		m.w.AttemptPlaced(name, a, "j-1", JobUse{Team: "x"}, nil)
		if i%50 != 0 { // and some are over soon
			delete(m.live[name], a)
			m.w.AttemptGone(name, a)
			m.w.MachineChanged(name, Machine{Zone: fmt.Sprint(i)}, nil)
		}
		x := m.w.Next(nil)
		if x == nil {
			t.Fatalf("nothing is written any more after %d entries", i)
		}
		if failed := s.run(x.Conditions, x.Writes); failed != nil {
			t.Fatal(failed)
		}
		m.w.Committed(s.epoch)
		if m.w.Backlog() > constants.LogRingSize-constants.LogSlack {
			t.Fatalf("%d entries are to be read", m.w.Backlog())
		}
		if m.w.Backlog() > constants.LogRingSize-2*constants.LogSlack && !m.w.Checkpointing() {
			m.w.Checkpoint([]string{"m-0", "m-1", "m-2", "m-3", "m-4", "m-5", "m-6"}, nil, m, nil)
		}
	}
	st, _, err := Read(s.log())
	if err != nil {
		t.Fatal(err)
	}
	for name, on := range m.live {
		if len(st.Machines[name].Attempts) != len(on) {
			t.Errorf("%s: %d attempts read, %d there", name, len(st.Machines[name].Attempts), len(on))
		}
	}
}

// TestCheckpointKeepsUpWithTheLog: with the smallest transactions and values that
// the state service may come to allow, and more to record than they hold, the
// checkpoint of a large fleet stands before the ring is full, also where jobs end with
// every transaction and leave one change for entries and parts to take turns at: at
// most a few transactions in a row carry nothing new, so starts are never held up.
func TestCheckpointKeepsUpWithTheLog(t *testing.T) {
	for _, machines := range []int{500, 4000, 6000} {
		for _, ending := range []bool{false, true} {
			checkpointUnderLoad(t, machines, ending)
		}
	}
}

// maxIdle is how many transactions in a row may carry no entry (transactions).
const maxIdle = 5

func checkpointUnderLoad(t *testing.T, machines int, ending bool) {
	s := &store{rows: map[string]KeyValue{}, stamp: map[string]uint64{}}
	m := newModel()
	lim := Limits{ValueBytes: 2048, TxnOps: constants.MinTxnOps}
	m.w = NewWriter(1, lim, Head{}, 0)
	names := make([]string, machines)
	for i := range names {
		names[i] = fmt.Sprintf("m-%06d", i)
		m.zone[names[i]] = strings.Repeat("z", 100) // images and the like
		m.live[names[i]] = map[Attempt]bool{}
	}
	try, checkpoints, idle := uint64(0), 0, 0
	for i := range 6 * constants.LogRingSize {
		for range 40 { // fills more than one value
			try++
			name, a := names[int(try)%machines], Attempt{Task: fmt.Sprintf("j-%06d/0", try), Number: try, Epoch: 1}
			m.w.AttemptPlaced(name, a, "j-000001", JobUse{Team: "someone"}, nil)
		}
		var extras []JobWrite
		if ending {
			job := fmt.Sprint("j-", i)
			extras = append(extras, JobWrite{Writes: []statestore.Write{{Delete: "open/" + job}, {Put: "final/" + job, Value: json.RawMessage(`{}`)}}})
		}
		if !m.w.Checkpointing() && m.w.Backlog() > constants.CheckpointEntries {
			m.w.Checkpoint(names, nil, m, func() { checkpoints++ })
		}
		was := m.w.head.Next
		x := m.w.Next(extras)
		if failed := s.run(x.Conditions, x.Writes); failed != nil {
			t.Fatal(failed)
		}
		if len(x.Writes) > lim.TxnOps {
			t.Fatalf("%d changes in a transaction", len(x.Writes))
		}
		m.w.Committed(s.epoch)
		if full := constants.LogRingSize - constants.LogSlack - lim.TxnOps; m.w.Backlog() > full {
			t.Fatalf("%d machines, jobs ending %v: the ring is full", machines, ending)
		}
		if m.w.head.Next > was {
			idle = 0
			continue
		}
		if idle++; !ending || idle > maxIdle {
			t.Fatalf("%d machines, jobs ending %v: nothing new is recorded with %d entries to be read, %d checkpoints", machines, ending, m.w.Backlog(), checkpoints)
		}
	}
	if checkpoints < 2 {
		t.Errorf("%d machines, jobs ending %v: %d checkpoints", machines, ending, checkpoints)
	}
}

// TestLargeRing: a checkpoint too large for the ring that all versions read has entries
// go to the large one, once that is allowed. The checkpoint then is written less often
// than entries; a version that reads the first ring alone finds an entry missing and
// decides nothing; and when it is no longer allowed, the first one is in use again as
// soon as a checkpoint stands.
func TestLargeRing(t *testing.T) {
	const machines = 6000
	s := &store{rows: map[string]KeyValue{}, stamp: map[string]uint64{}}
	m := newModel()
	m.w = NewWriter(1, Limits{ValueBytes: 2048, TxnOps: 10}, Head{}, 0)
	names := make([]string, machines)
	for i := range names {
		names[i] = fmt.Sprintf("m-%06d", i)
		m.zone[names[i]] = strings.Repeat("z", 200)
		m.live[names[i]] = map[Attempt]bool{}
	}
	try := uint64(0)
	write := func(transactions int) {
		t.Helper()
		for range transactions {
			for range 200 {
				try++
				m.w.AttemptPlaced(names[int(try)%machines], Attempt{Task: fmt.Sprintf("j-%06d/0", try), Number: try, Epoch: 1}, "j-000001", JobUse{Team: "someone"}, nil)
			}
			if m.w.CheckpointDue() {
				m.w.Checkpoint(names, nil, m, nil)
			}
			x := m.w.Next(nil)
			if failed := s.run(x.Conditions, x.Writes); failed != nil {
				t.Fatal(failed)
			}
			m.w.Committed(s.epoch)
		}
	}
	// earlier reads as a version that knows one ring.
	earlier := func() error {
		var head Head
		if err := json.Unmarshal(s.rows[HeadKey].Value, &head); err != nil {
			return err
		}
		for seq := head.From; seq < head.Next; seq++ {
			var e Entry
			if err := json.Unmarshal(s.rows[ringKey(seq)].Value, &e); err != nil || e.Seq != seq {
				return fmt.Errorf("entry %d: %d, %v", seq, e.Seq, err)
			}
		}
		return nil
	}
	write(1000)
	before := m.w.Stats()
	if m.w.Head().Ring != 0 || earlier() != nil || !m.w.WantsLargeRing() {
		t.Fatalf("head %+v, wants the large ring %v, earlier versions: %v", m.w.Head(), m.w.WantsLargeRing(), earlier())
	}
	m.w.AllowLargeRing(true)
	write(3000)
	after := m.w.Stats()
	if m.w.Head().Ring != constants.LogLargeRingSize || earlier() == nil {
		t.Errorf("head %+v, earlier versions read on", m.w.Head())
	}
	if _, _, err := Read(s.named()); err != nil {
		t.Error(err)
	}
	small := float64(before.PartBytes) / float64(before.EntryBytes)
	large := float64(after.PartBytes-before.PartBytes) / float64(after.EntryBytes-before.EntryBytes)
	if small < 1 || large > 0.75 {
		t.Errorf("checkpoints take %.2f of what entries do in the first ring, %.2f in the large one", small, large)
	}
	m.w.AllowLargeRing(false)
	write(500)
	if m.w.Head().Ring != 0 || earlier() != nil {
		t.Errorf("head %+v, earlier versions: %v", m.w.Head(), earlier())
	}
	if st, _, err := Read(s.named()); err != nil || len(st.Machines) != machines {
		t.Errorf("%d machines read, %v", len(st.Machines), err)
	}
}

// TestDamagedLog: a value that counts and can't be read stops the takeover and
// is named; a foreign key is named and does no harm.
func TestDamagedLog(t *testing.T) {
	s := &store{rows: map[string]KeyValue{}, stamp: map[string]uint64{}}
	w := NewWriter(1, Limits{ValueBytes: 2000, TxnOps: 8}, Head{}, 0)
	w.AttemptPlaced("m-1", Attempt{Task: "j-1/0", Number: 1, Epoch: 1}, "j-1", JobUse{Team: "x"}, nil)
	x := w.Next(nil)
	s.run(x.Conditions, x.Writes)
	w.Committed(s.epoch)
	s.rows[Prefix+"note"] = KeyValue{Prefix + "note", json.RawMessage(`"hello"`)}
	if st, odd, err := Read(s.log()); err != nil || !slices.Equal(odd, []string{Prefix + "note"}) || len(st.Machines["m-1"].Attempts) != 1 {
		t.Errorf("%v %v %v", st, odd, err)
	}
	for _, bad := range []string{`7`, `{"s":99}`, ``} {
		if bad == "" {
			delete(s.rows, ringKey(0))
		} else {
			s.rows[ringKey(0)] = KeyValue{ringKey(0), json.RawMessage(bad)}
		}
		if _, _, err := Read(s.log()); err == nil || !strings.Contains(err.Error(), ringKey(0)) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// TestCheckpointThatCantKeepUp: leaders end again and again before the
// checkpoint that each began anew is whole, until the ring is full. Then no
// entry that counts is written over, no start is told to stand that does not,
// and the first leader that lasts long enough brings the log in order again.
func TestCheckpointThatCantKeepUp(t *testing.T) {
	s := &store{rows: map[string]KeyValue{}, stamp: map[string]uint64{}}
	m := newModel()
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("m-%04d", i))
		m.live[names[i]] = map[Attempt]bool{}
	}
	lim := Limits{ValueBytes: 600, TxnOps: 4}
	try, held := uint64(0), 0
	stood := map[Attempt]string{}
	lead := func(term uint64, txns int) {
		head := Head{}
		if r, ok := s.rows[HeadKey]; ok {
			if err := json.Unmarshal(r.Value, &head); err != nil {
				t.Fatal(err)
			}
		}
		m.w = NewWriter(term, lim, head, s.stamp[HeadKey])
		// What the leader before had planned and not recorded never was.
		for _, on := range m.live {
			for a := range on {
				if stood[a] == "" {
					delete(on, a)
				}
			}
		}
		for range txns {
			try++
			name, a := names[try%300], Attempt{Task: fmt.Sprintf("j-%06d/0", try), Number: try, Epoch: 1}
			m.live[name][a] = true
			m.w.AttemptPlaced(name, a, "j-1", JobUse{Team: "x"}, func() { stood[a] = name })
			if !m.w.Checkpointing() && m.w.Backlog() > constants.CheckpointEntries {
				m.w.Checkpoint(slices.Clone(names), nil, m, nil)
			}
			was := m.w.Backlog()
			x := m.w.Next(nil)
			if x == nil {
				t.Fatalf("term %d: nothing is written any more", term)
			}
			if failed := s.run(x.Conditions, x.Writes); failed != nil {
				t.Fatal(failed)
			}
			m.w.Committed(s.epoch)
			if m.w.Backlog() > constants.LogRingSize-constants.LogSlack {
				t.Fatalf("%d entries are to be read", m.w.Backlog())
			}
			if m.w.Backlog() == was && m.w.Checkpointing() {
				held++ // only parts were written
			}
		}
	}
	check := func() {
		st, _, err := Read(s.log())
		if err != nil {
			t.Fatal(err)
		}
		for a, name := range stood {
			if r := st.Machines[name]; r == nil || !slices.Contains(r.Attempts, a) {
				t.Fatalf("%v stood on %s and is not read back", a, name)
			}
		}
	}
	term := uint64(1)
	for ; held == 0 && term < 1000; term++ {
		lead(term, 12)
	}
	if held == 0 {
		t.Fatal("the ring never filled up")
	}
	for range 5 {
		lead(term, 12)
		term++
		check()
	}
	before := len(stood)
	lead(term, 600)
	check()
	if m.w.Backlog() > 2*constants.CheckpointEntries || len(stood) < before+400 {
		t.Errorf("%d entries are to be read, %d starts stand, %d did before", m.w.Backlog(), len(stood), before)
	}
}
