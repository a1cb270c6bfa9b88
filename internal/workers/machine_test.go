package workers

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	fast "github.com/segmentio/encoding/json"
	"pgregory.net/rapid"
)

const (
	simLease = 12 * time.Second
	simTerm  = 5 // our token
	oldTerm  = 4 // an earlier leader's, whose messages are still about
)

// simWorker follows the protocol's rules for a worker.
type simWorker struct {
	shift, tick, token uint64
	tasks              map[AttemptID]string
	leaseFrom          time.Time // when the last answered report was sent
	inFlight           uint64    // tick of the report under way, 0 if none
	sentAt             time.Time
}

func (w *simWorker) report() *Report {
	w.tick++
	r := &Report{Machine: "m-1", Endpoint: "h:1", MachineType: "t", Hall: "z", Shift: w.shift, Tick: w.tick, Warrant: w.token}
	for id, st := range w.tasks {
		p := Piece{Piece: id.Task.String(), Try: id.Try, Status: st}
		if st == Exited {
			p.Cause = CauseDone
		}
		r.Pieces = append(r.Pieces, p)
	}
	return r
}

func (w *simWorker) expire(now time.Time) {
	if now.Sub(w.leaseFrom) > simLease {
		w.shift++
		w.tasks = map[AttemptID]string{}
		w.leaseFrom = now
		w.inFlight = 0
	}
}

func (w *simWorker) execute(orders []Order) {
	for _, o := range orders {
		task, _ := ParseTaskID(o.Piece)
		id := AttemptID{task, o.Try}
		_, has := w.tasks[id]
		switch {
		case o.Verb == Run && !has:
			w.tasks[id] = Running
		case o.Verb == Stop && has:
			w.tasks[id] = Exited
		case o.Verb == Forget && has && w.tasks[id] == Exited:
			delete(w.tasks, id)
		}
	}
}

// message is anything under way in the simulated network.
type message struct {
	report *Report // to the leader
	direct bool    // the body of an answer to a command
	answer *Answer // to the worker, for the report with this tick and shift
	tick   uint64
	shift  uint64
	order  *Answer // a direct command to the worker, of any age
}

// TestGoneMeansGone drives a worker and the leader's view of it through
// delays, losses, repeats, a change of leaders and lapsed leases: an attempt
// that the view has let go of must never be on the worker again, or a task
// could run twice.
func TestGoneMeansGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		w := &simWorker{shift: 1, tasks: map[AttemptID]string{}, leaseFrom: now}
		m := NewMachine("m-1")
		var net []message
		released := map[AttemptID]bool{}
		next := 0
		release := func(ev []Event) {
			for _, e := range ev {
				if e.Why == Gone || e.Why == Ended {
					released[e.Attempt.ID] = true
				}
				if e.Why == Ended {
					e.Attempt.Settled = true
				}
			}
		}
		// An attempt of the earlier term, in the record we have taken over.
		old := AttemptID{TaskID{"j-1", 0}, oldTerm<<20 | 1}
		m.Shift = 1
		m.Attempts[old] = &Attempt{ID: old, Shift: 1, Committed: true, Cleared: true, Inherited: true, Sent: true}
		take := func(i int) message {
			msg := net[i]
			net = append(net[:i:i], net[i+1:]...)
			return msg
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				w.expire(now)
			},
			"report": func(t *rapid.T) {
				if w.inFlight != 0 {
					t.Skip()
				}
				r := w.report()
				w.inFlight, w.sentAt = r.Tick, now
				net = append(net, message{report: r})
			},
			"giveUp": func(t *rapid.T) { w.inFlight = 0 },
			"oldLeaderRuns": func(t *rapid.T) {
				// Answers the report under way with its own lower token.
				if w.inFlight == 0 {
					t.Skip()
				}
				net = append(net, message{answer: &Answer{Warrant: oldTerm, Orders: []Order{{Verb: Run, Piece: old.Task.String(), Try: old.Try}}},
					tick: w.inFlight, shift: w.shift})
			},
			"plan": func(t *rapid.T) {
				if !m.Known || m.Shift <= m.EndedShift {
					t.Skip()
				}
				next++
				id := AttemptID{TaskID{"j-2", next}, simTerm<<20 | uint64(next)}
				m.Attempts[id] = &Attempt{ID: id, Shift: m.Shift, Committed: true, Cleared: true}
			},
			"halt": func(t *rapid.T) {
				if list := m.Sorted(); len(list) > 0 {
					a := rapid.SampledFrom(list).Draw(t, "attempt")
					if m.Withdraw(a, 0, now) {
						released[a.ID] = true
					}
				}
			},
			"command": func(t *rapid.T) {
				var stops []Order
				for _, o := range m.Orders(false, now) {
					if o.Verb == Stop {
						stops = append(stops, o)
					}
				}
				net = append(net, message{order: &Answer{Warrant: simTerm, Shift: m.Shift, Orders: stops}})
			},
			"deliver": func(t *rapid.T) {
				if len(net) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(net)-1).Draw(t, "message")
				msg := net[i]
				if msg.answer != nil || rapid.IntRange(0, 4).Draw(t, "repeat") > 0 {
					take(i)
				}
				switch {
				case msg.report != nil:
					if !msg.direct && m.Copy(msg.report) {
						return
					}
					ev, _ := m.Observe(msg.report, simTerm, msg.direct, now)
					release(ev)
					if msg.direct || msg.report.Shift <= m.EndedShift || m.Deaf {
						return
					}
					m.ReportTick = max(m.ReportTick, msg.report.Tick)
					m.Answered = now
					net = append(net, message{answer: &Answer{Warrant: simTerm, Orders: m.Orders(true, now)},
						tick: msg.report.Tick, shift: msg.report.Shift})
				case msg.order != nil:
					if msg.order.Warrant >= w.token && msg.order.Shift == w.shift {
						w.token = msg.order.Warrant
						w.execute(msg.order.Orders)
					}
					net = append(net, message{report: w.report(), direct: true})
				case msg.answer != nil:
					if msg.tick != w.inFlight || msg.shift != w.shift || now.Sub(w.sentAt) > 4*time.Second {
						return
					}
					w.inFlight = 0
					if msg.answer.Warrant < w.token {
						return
					}
					w.token = msg.answer.Warrant
					w.leaseFrom = w.sentAt
					w.execute(msg.answer.Orders)
				}
			},
			"lose": func(t *rapid.T) {
				if len(net) == 0 {
					t.Skip()
				}
				take(rapid.IntRange(0, len(net)-1).Draw(t, "message"))
			},
			"lease": func(t *rapid.T) { release(m.CheckLease(simTerm, simLease, now)) },
			"": func(t *rapid.T) {
				for id, st := range w.tasks {
					if released[id] && st != Exited {
						t.Fatalf("%v is on the worker although it was let go", id)
					}
				}
			},
		})
	})
}

// TestReportsOutOfOrder: an older report, by session or tick, changes nothing.
func TestReportsOutOfOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMachine("m-1")
	rep := func(shift, tick uint64, pieces ...Piece) *Report {
		return &Report{Machine: "m-1", MachineType: "t", Hall: "z", Shift: shift, Tick: tick, Warrant: simTerm, Pieces: pieces}
	}
	for _, c := range []struct {
		shift, tick uint64
		fresh       bool
	}{{1, 5, true}, {1, 4, false}, {1, 5, false}, {2, 1, true}, {1, 9, false}, {2, 2, true}} {
		if _, fresh := m.Observe(rep(c.shift, c.tick), simTerm, false, now); fresh != c.fresh {
			t.Errorf("shift %d tick %d: fresh = %v, want %v", c.shift, c.tick, fresh, c.fresh)
		}
	}
}

// hear makes a machine that has taken in a first report.
func hear(now time.Time) (*Machine, func(tick uint64, pieces ...Piece) *Report) {
	m := NewMachine("m-1")
	rep := func(tick uint64, pieces ...Piece) *Report {
		return &Report{Machine: "m-1", MachineType: "t", Hall: "z", Shift: 1, Tick: tick, Warrant: simTerm, Pieces: pieces}
	}
	m.Observe(rep(1), simTerm, false, now)
	m.Answered = now
	return m, rep
}

// TestDeafMachine: a worker whose reports go on but do not show what it was
// told is taken for deaf: the start is taken back, as the report proves it
// never arrived, and no 200 goes out until the worker shows that it hears.
func TestDeafMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	m, rep := hear(now)
	id := AttemptID{TaskID{"j-1", 0}, 7}
	m.Attempts[id] = &Attempt{ID: id, Shift: 1, Committed: true, Cleared: true}
	tick := uint64(1)
	for i := 1; i <= 2; i++ {
		if m.Deaf {
			t.Fatalf("deaf after %d reports", i-1)
		}
		if got := m.Orders(true, now); len(got) != 1 || got[0].Verb != Run {
			t.Fatalf("orders %v", got)
		}
		now = now.Add(6 * time.Second)
		if !m.Suspect(now) {
			t.Errorf("a start missing for 6 s raises no doubt")
		}
		tick++
		ev, _ := m.Observe(rep(tick), simTerm, false, now)
		if gone := len(ev) == 1 && ev[0].Why == Gone; gone != (i == 2) {
			t.Fatalf("report %d: %v", i, ev)
		}
	}
	if !m.Deaf || len(m.Attempts) != 0 {
		t.Fatalf("deaf %v, attempts %v", m.Deaf, m.Attempts)
	}
	// Reports alone do not make it hear; an answer to a command does.
	m.Observe(rep(8), simTerm, false, now)
	if !m.Deaf {
		t.Errorf("a report is taken for a sign that it hears")
	}
	m.Observe(rep(9), simTerm, true, now)
	if m.Deaf {
		t.Errorf("it stays deaf for ever")
	}
}

// TestIgnoredStops: the same for a task that runs on although it was stopped.
func TestIgnoredStops(t *testing.T) {
	now := time.Unix(1000, 0)
	m, rep := hear(now)
	p := Piece{Piece: "j-1/0", Try: 7, Status: Running}
	id := AttemptID{TaskID{"j-1", 0}, 7}
	m.Attempts[id] = &Attempt{ID: id, Shift: 1, Sent: true}
	m.Observe(rep(2, p), simTerm, false, now)
	m.Withdraw(m.Attempts[id], 0, now)
	for i := uint64(0); i < 3; i++ {
		m.Observe(rep(3+i, p), simTerm, false, now.Add(time.Duration(i)*7*time.Second))
		if want := i == 2; m.Deaf != want {
			t.Errorf("after %d reports with the task: deaf %v", i+1, m.Deaf)
		}
	}
	if len(m.Attempts) != 1 {
		t.Errorf("a task that still runs was let go")
	}
}

// TestNewSessionRaisesDoubt: a worker whose session ended while it went on
// reporting gets no work until it shows that it hears, by whatever sign.
func TestNewSessionRaisesDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	for i, sign := range []func(m *Machine, rep func(uint64, ...Piece) *Report){
		func(*Machine, func(uint64, ...Piece) *Report) {},
		func(m *Machine, rep func(uint64, ...Piece) *Report) {
			r := rep(30)
			r.Shift = 2
			m.Observe(r, simTerm, false, now) // nothing but a report: no sign
		},
		func(m *Machine, rep func(uint64, ...Piece) *Report) {
			r := rep(30)
			r.Shift = 2
			m.Observe(r, simTerm, true, now)
		},
		func(m *Machine, rep func(uint64, ...Piece) *Report) {
			id := AttemptID{TaskID{"j-1", 0}, 7}
			m.Attempts[id] = &Attempt{ID: id, Shift: 2, Sent: true}
			r := rep(30, Piece{Piece: "j-1/0", Try: 7, Status: Fetching})
			r.Shift = 2
			m.Observe(r, simTerm, false, now)
		},
	} {
		m, rep := hear(now)
		if m.Doubt {
			t.Fatalf("doubt from the start")
		}
		next := rep(20)
		next.Shift = 2
		m.Observe(next, simTerm, false, now)
		sign(m, rep)
		if want := i < 2; m.Doubt != want {
			t.Errorf("sign %d: doubt %v, want %v", i, m.Doubt, want)
		}
		m.KeptSession(simLease, now.Add(simLease))
		if want := i < 2; m.Doubt != want {
			t.Errorf("a session of one lease is taken for a sign")
		}
		if m.KeptSession(simLease, now.Add(2*simLease)); m.Doubt {
			t.Errorf("a session kept for two leases is no sign")
		}
	}
}

// TestCopiesRenewNothing: copies of reports, of this session or an older one,
// are told apart, also when an answer to a command has gone before; a report
// that such an answer has overtaken is no copy.
func TestCopiesRenewNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	m, rep := hear(now)
	m.Observe(rep(5), simTerm, false, now)
	m.Observe(rep(9), simTerm, true, now) // the answer to a command
	old := rep(50)
	old.Shift = 0
	for _, c := range []struct {
		r    *Report
		copy bool
	}{{rep(1), true}, {rep(4), true}, {rep(5), true}, {rep(7), false}, {rep(10), false}, {old, true}} {
		if got := m.Copy(c.r); got != c.copy {
			t.Errorf("shift %d tick %d: copy %v, want %v", c.r.Shift, c.r.Tick, got, c.copy)
		}
	}
	m.Answered = now
	m.CheckLease(simTerm, simLease, now.Add(simLease+2*time.Second))
	if !m.Copy(rep(60)) {
		t.Errorf("a report of a session that is over counts")
	}
}

// TestSilenceOfUnknownToken: a worker that has not shown our token may still
// be renewed by an older leader, so its silence proves nothing.
func TestSilenceOfUnknownToken(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMachine("m-1")
	id := AttemptID{TaskID{"j-1", 0}, 1}
	m.Attempts[id] = &Attempt{ID: id, Shift: 1, Inherited: true, Sent: true}
	r := &Report{Machine: "m-1", MachineType: "t", Hall: "z", Shift: 1, Tick: 1, Warrant: oldTerm,
		Pieces: []Piece{{Piece: "j-1/0", Try: 1, Status: Running}}}
	m.Observe(r, simTerm, false, now)
	m.Answered = now
	if ev := m.CheckLease(simTerm, simLease, now.Add(time.Hour)); len(ev) != 0 {
		t.Fatalf("silence was taken for proof: %v", ev)
	}
	r.Tick, r.Warrant = 2, simTerm
	m.Observe(r, simTerm, false, now)
	if ev := m.CheckLease(simTerm, simLease, now.Add(simLease)); len(ev) != 0 {
		t.Fatalf("the lease was taken for over too early: %v", ev)
	}
	if ev := m.CheckLease(simTerm, simLease, now.Add(simLease+2*time.Second)); len(ev) != 1 || ev[0].Why != Gone {
		t.Fatalf("a lapsed lease frees nothing: %v", ev)
	}
}

// TestGangRunsOnlyWhenCleared: `run` waits for the record and the clearance.
func TestRunWaitsForRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMachine("m-1")
	m.Observe(&Report{Machine: "m-1", MachineType: "t", Hall: "z", Shift: 1, Tick: 1, Warrant: simTerm}, simTerm, false, now)
	id := AttemptID{TaskID{"j-1", 0}, 1}
	a := &Attempt{ID: id, Shift: 1}
	m.Attempts[id] = a
	for i := range 4 {
		a.Committed, a.Cleared = i&1 != 0, i&2 != 0
		want := 0
		if i == 3 {
			want = 1
		}
		if got := len(m.Orders(false, now)); got != 0 {
			t.Errorf("a start went out beside an answer")
		}
		if got := len(m.Orders(true, now)); got != want {
			t.Errorf("committed %v cleared %v: %d orders, want %d", a.Committed, a.Cleared, got, want)
		}
	}
}

func TestReportDecoding(t *testing.T) {
	good := `{"rig":"m-1","endpoint":"1.2.3.4:9","rigType":"g","hall":"a","loaners":true,"shift":1,"tick":3,"warrant":2,"recallS":null,"new":{},"pieces":[{"piece":"j-1/0","try":1,"status":"exited","cause":"done"}]}`
	if r, err := DecodeReport([]byte(good)); err != nil || len(r.Pieces) != 1 {
		t.Fatalf("good report: %v", err)
	}
	for _, bad := range []string{``, `[]`, `{`, `{"rig":"m-1"}`, `{"rig":"a b","rigType":"g","hall":"a","shift":1}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":-1}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"x","try":1,"status":"running"}]}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"j-1/01","try":1,"status":"running"}]}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"j-1/0","try":1,"status":"odd"}]}`} {
		if _, err := DecodeReport([]byte(bad)); err == nil {
			t.Errorf("accepted: %s", bad)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{fmt.Sprintf("j-%d", rapid.IntRange(0, 1<<30).Draw(t, "job")), rapid.IntRange(0, 99999).Draw(t, "index")}
		if got, err := ParseTaskID(id.String()); err != nil || got != id {
			t.Fatalf("%v read back as %v, %v", id, got, err)
		}
	})
}

// TestReportsAreReadAsByTheStandardLibrary: whatever a message holds, and however it is
// damaged, the faster decoder takes and refuses what the standard library does, and
// reads the same.
func TestReportsAreReadAsByTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-zA-Z0-9 ./_"\\\x{e4}\x{2028}\n-]{0,12}`)
		report := Report{Machine: text.Draw(t, "rig"), Endpoint: text.Draw(t, "endpoint"), MachineType: text.Draw(t, "type"), Hall: text.Draw(t, "hall"),
			Loaners: rapid.Bool().Draw(t, "loaners"), Shift: rapid.Uint64().Draw(t, "shift"), Tick: rapid.Uint64().Draw(t, "tick"), Warrant: rapid.Uint64().Draw(t, "warrant")}
		if rapid.Bool().Draw(t, "notice") {
			seconds := rapid.Float64Range(-1e9, 1e9).Draw(t, "seconds")
			report.RecallS = &seconds
		}
		for range rapid.IntRange(0, 4).Draw(t, "tasks") {
			report.Pieces = append(report.Pieces, Piece{Piece: text.Draw(t, "piece"), Try: rapid.Uint64().Draw(t, "try"), Status: text.Draw(t, "status"),
				Cause: text.Draw(t, "cause"), Saved: rapid.Bool().Draw(t, "saved")})
		}
		raw, err := json.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		switch rapid.IntRange(0, 5).Draw(t, "damage") {
		case 0:
			raw = raw[:rapid.IntRange(0, len(raw)).Draw(t, "cut")]
		case 1:
			raw[rapid.IntRange(0, len(raw)-1).Draw(t, "at")] = rapid.SampledFrom([]byte(`{}[]",:0-e nt`)).Draw(t, "byte")
		case 2:
			at := rapid.IntRange(0, len(raw)).Draw(t, "at")
			raw = append(append(append([]byte{}, raw[:at]...), rapid.SampledFrom([]string{`"x":1,`, `,`, `null`, `{"a":[1,{}]},`, ` `, "\x00", `"`}).Draw(t, "more")...), raw[at:]...)
		}
		var ours, standard Report
		oursErr, standardErr := fast.Unmarshal(raw, &ours), json.Unmarshal(raw, &standard)
		if (oursErr == nil) != (standardErr == nil) {
			t.Fatalf("%q: %v, by the standard library %v", raw, oursErr, standardErr)
		}
		if standardErr == nil && !reflect.DeepEqual(ours, standard) {
			t.Fatalf("%q: %+v, by the standard library %+v", raw, ours, standard)
		}
	})
}
