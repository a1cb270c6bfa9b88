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
	tasks              map[AttemptID]TaskStatus
	leaseFrom          time.Time // when the last answered report was sent
	inFlight           uint64    // tick of the report under way, 0 if none
	sentAt             time.Time
}

func (w *simWorker) report() *Heartbeat {
	w.tick++
	r := &Heartbeat{Machine: "m-1", Endpoint: "h:1", MachineType: "t", Zone: "z", Epoch: w.shift, Sequence: w.tick, Token: w.token}
	for id, st := range w.tasks {
		p := TaskReport{Task: id.Task.String(), Attempt: id.Number, Status: st}
		if st == StatusExited {
			p.Cause = CauseDone
		}
		r.Tasks = append(r.Tasks, p)
	}
	return r
}

func (w *simWorker) expire(now time.Time) {
	if now.Sub(w.leaseFrom) > simLease {
		w.shift++
		w.tasks = map[AttemptID]TaskStatus{}
		w.leaseFrom = now
		w.inFlight = 0
	}
}

func (w *simWorker) execute(orders []Command) {
	for _, o := range orders {
		task, _ := ParseTaskID(o.Task)
		id := AttemptID{task, o.Attempt}
		_, has := w.tasks[id]
		switch {
		case o.Verb == VerbRun && !has:
			w.tasks[id] = StatusRunning
		case o.Verb == VerbStop && has:
			w.tasks[id] = StatusExited
		case o.Verb == VerbForget && has && w.tasks[id] == StatusExited:
			delete(w.tasks, id)
		}
	}
}

// message is anything under way in the simulated network.
type message struct {
	report *Heartbeat    // to the leader
	direct bool          // the body of an answer to a command
	answer *CommandBatch // to the worker, for the report with this tick and shift
	tick   uint64
	shift  uint64
	order  *CommandBatch // a direct command to the worker, of any age
}

// TestGoneMeansGone drives a worker and the leader's view of it through
// delays, losses, repeats, a change of leaders and lapsed leases: an attempt
// that the view has let go of must never be on the worker again, or a task
// could run twice.
func TestGoneMeansGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		w := &simWorker{shift: 1, tasks: map[AttemptID]TaskStatus{}, leaseFrom: now}
		m := NewAgent("m-1")
		var net []message
		released := map[AttemptID]bool{}
		next := 0
		release := func(ev []Event) {
			for _, e := range ev {
				if e.Kind == EventGone || e.Kind == EventExited {
					released[e.Attempt.ID] = true
				}
				if e.Kind == EventExited {
					e.Attempt.ExitRecorded = true
				}
			}
		}
		// An attempt of the earlier term, in the record we have taken over.
		old := AttemptID{TaskID{"j-1", 0}, oldTerm<<20 | 1}
		m.Epoch = 1
		m.Attempts[old] = &Attempt{ID: old, Epoch: 1, Committed: true, StartAllowed: true, FromEarlierTerm: true, RunSent: true}
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
				w.inFlight, w.sentAt = r.Sequence, now
				net = append(net, message{report: r})
			},
			"giveUp": func(t *rapid.T) { w.inFlight = 0 },
			"oldLeaderRuns": func(t *rapid.T) {
				// Answers the report under way with its own lower token.
				if w.inFlight == 0 {
					t.Skip()
				}
				net = append(net, message{
					answer: &CommandBatch{Token: oldTerm, Commands: []Command{{Verb: VerbRun, Task: old.Task.String(), Attempt: old.Number}}},
					tick:   w.inFlight, shift: w.shift,
				})
			},
			"plan": func(t *rapid.T) {
				if !m.Registered || m.Epoch <= m.ExpiredEpoch {
					t.Skip()
				}
				next++
				id := AttemptID{TaskID{"j-2", next}, simTerm<<20 | uint64(next)}
				m.Attempts[id] = &Attempt{ID: id, Epoch: m.Epoch, Committed: true, StartAllowed: true}
			},
			"halt": func(t *rapid.T) {
				if list := m.SortedAttempts(); len(list) > 0 {
					a := rapid.SampledFrom(list).Draw(t, "attempt")
					if m.RequestStop(a, 0, now) {
						released[a.ID] = true
					}
				}
			},
			"command": func(t *rapid.T) {
				var stops []Command
				for _, o := range m.Commands(false, now) {
					if o.Verb == VerbStop {
						stops = append(stops, o)
					}
				}
				net = append(net, message{order: &CommandBatch{Token: simTerm, Epoch: m.Epoch, Commands: stops}})
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
					if !msg.direct && m.IsDuplicate(msg.report) {
						return
					}
					ev, _ := m.Observe(msg.report, simTerm, msg.direct, now)
					release(ev)
					if msg.direct || msg.report.Epoch <= m.ExpiredEpoch || m.RepliesLost {
						return
					}
					m.HeartbeatSequence = max(m.HeartbeatSequence, msg.report.Sequence)
					m.LastAcknowledged = now
					net = append(net, message{
						answer: &CommandBatch{Token: simTerm, Commands: m.Commands(true, now)},
						tick:   msg.report.Sequence, shift: msg.report.Epoch,
					})
				case msg.order != nil:
					if msg.order.Token >= w.token && msg.order.Epoch == w.shift {
						w.token = msg.order.Token
						w.execute(msg.order.Commands)
					}
					net = append(net, message{report: w.report(), direct: true})
				case msg.answer != nil:
					if msg.tick != w.inFlight || msg.shift != w.shift || now.Sub(w.sentAt) > 4*time.Second {
						return
					}
					w.inFlight = 0
					if msg.answer.Token < w.token {
						return
					}
					w.token = msg.answer.Token
					w.leaseFrom = w.sentAt
					w.execute(msg.answer.Commands)
				}
			},
			"lose": func(t *rapid.T) {
				if len(net) == 0 {
					t.Skip()
				}
				take(rapid.IntRange(0, len(net)-1).Draw(t, "message"))
			},
			"lease": func(t *rapid.T) { release(m.ExpireLease(simTerm, simLease, now)) },
			"": func(t *rapid.T) {
				for id, st := range w.tasks {
					if released[id] && st != StatusExited {
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
	m := NewAgent("m-1")
	rep := func(shift, tick uint64, pieces ...TaskReport) *Heartbeat {
		return &Heartbeat{Machine: "m-1", MachineType: "t", Zone: "z", Epoch: shift, Sequence: tick, Token: simTerm, Tasks: pieces}
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
func hear(now time.Time) (*Agent, func(tick uint64, pieces ...TaskReport) *Heartbeat) {
	m := NewAgent("m-1")
	rep := func(tick uint64, pieces ...TaskReport) *Heartbeat {
		return &Heartbeat{Machine: "m-1", MachineType: "t", Zone: "z", Epoch: 1, Sequence: tick, Token: simTerm, Tasks: pieces}
	}
	m.Observe(rep(1), simTerm, false, now)
	m.LastAcknowledged = now
	return m, rep
}

// TestDeafMachine: a worker whose reports go on but do not show what it was
// told is taken for deaf: the start is taken back, as the report proves it
// never arrived, and no 200 goes out until the worker shows that it hears.
func TestDeafMachine(t *testing.T) {
	now := time.Unix(1000, 0)
	m, rep := hear(now)
	id := AttemptID{TaskID{"j-1", 0}, 7}
	m.Attempts[id] = &Attempt{ID: id, Epoch: 1, Committed: true, StartAllowed: true}
	tick := uint64(1)
	for i := 1; i <= 2; i++ {
		if m.RepliesLost {
			t.Fatalf("deaf after %d reports", i-1)
		}
		if got := m.Commands(true, now); len(got) != 1 || got[0].Verb != VerbRun {
			t.Fatalf("orders %v", got)
		}
		now = now.Add(6 * time.Second)
		if !m.StartOverdue(now) {
			t.Errorf("a start missing for 6 s raises no doubt")
		}
		tick++
		ev, _ := m.Observe(rep(tick), simTerm, false, now)
		if gone := len(ev) == 1 && ev[0].Kind == EventGone; gone != (i == 2) {
			t.Fatalf("report %d: %v", i, ev)
		}
	}
	if !m.RepliesLost || len(m.Attempts) != 0 {
		t.Fatalf("deaf %v, attempts %v", m.RepliesLost, m.Attempts)
	}
	// Reports alone do not make it hear; an answer to a command does.
	m.Observe(rep(8), simTerm, false, now)
	if !m.RepliesLost {
		t.Errorf("a report is taken for a sign that it hears")
	}
	m.Observe(rep(9), simTerm, true, now)
	if m.RepliesLost {
		t.Errorf("it stays deaf for ever")
	}
}

// TestIgnoredStops: the same for a task that runs on although it was stopped.
func TestIgnoredStops(t *testing.T) {
	now := time.Unix(1000, 0)
	m, rep := hear(now)
	p := TaskReport{Task: "j-1/0", Attempt: 7, Status: StatusRunning}
	id := AttemptID{TaskID{"j-1", 0}, 7}
	m.Attempts[id] = &Attempt{ID: id, Epoch: 1, RunSent: true}
	m.Observe(rep(2, p), simTerm, false, now)
	m.RequestStop(m.Attempts[id], 0, now)
	for i := uint64(0); i < 3; i++ {
		m.Observe(rep(3+i, p), simTerm, false, now.Add(time.Duration(i)*7*time.Second))
		if want := i == 2; m.RepliesLost != want {
			t.Errorf("after %d reports with the task: deaf %v", i+1, m.RepliesLost)
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
	for i, sign := range []func(m *Agent, rep func(uint64, ...TaskReport) *Heartbeat){
		func(*Agent, func(uint64, ...TaskReport) *Heartbeat) {},
		func(m *Agent, rep func(uint64, ...TaskReport) *Heartbeat) {
			r := rep(30)
			r.Epoch = 2
			m.Observe(r, simTerm, false, now) // nothing but a report: no sign
		},
		func(m *Agent, rep func(uint64, ...TaskReport) *Heartbeat) {
			r := rep(30)
			r.Epoch = 2
			m.Observe(r, simTerm, true, now)
		},
		func(m *Agent, rep func(uint64, ...TaskReport) *Heartbeat) {
			id := AttemptID{TaskID{"j-1", 0}, 7}
			m.Attempts[id] = &Attempt{ID: id, Epoch: 2, RunSent: true}
			r := rep(30, TaskReport{Task: "j-1/0", Attempt: 7, Status: StatusFetching})
			r.Epoch = 2
			m.Observe(r, simTerm, false, now)
		},
	} {
		m, rep := hear(now)
		if m.EpochUnconfirmed {
			t.Fatalf("doubt from the start")
		}
		next := rep(20)
		next.Epoch = 2
		m.Observe(next, simTerm, false, now)
		sign(m, rep)
		if want := i < 2; m.EpochUnconfirmed != want {
			t.Errorf("sign %d: doubt %v, want %v", i, m.EpochUnconfirmed, want)
		}
		m.ConfirmEpoch(simLease, now.Add(simLease))
		if want := i < 2; m.EpochUnconfirmed != want {
			t.Errorf("a session of one lease is taken for a sign")
		}
		if m.ConfirmEpoch(simLease, now.Add(2*simLease)); m.EpochUnconfirmed {
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
	old.Epoch = 0
	for _, c := range []struct {
		r    *Heartbeat
		copy bool
	}{{rep(1), true}, {rep(4), true}, {rep(5), true}, {rep(7), false}, {rep(10), false}, {old, true}} {
		if got := m.IsDuplicate(c.r); got != c.copy {
			t.Errorf("shift %d tick %d: copy %v, want %v", c.r.Epoch, c.r.Sequence, got, c.copy)
		}
	}
	m.LastAcknowledged = now
	m.ExpireLease(simTerm, simLease, now.Add(simLease+2*time.Second))
	if !m.IsDuplicate(rep(60)) {
		t.Errorf("a report of a session that is over counts")
	}
}

// TestSilenceOfUnknownToken: a worker that has not shown our token may still
// be renewed by an older leader, so its silence proves nothing.
func TestSilenceOfUnknownToken(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewAgent("m-1")
	id := AttemptID{TaskID{"j-1", 0}, 1}
	m.Attempts[id] = &Attempt{ID: id, Epoch: 1, FromEarlierTerm: true, RunSent: true}
	r := &Heartbeat{
		Machine: "m-1", MachineType: "t", Zone: "z", Epoch: 1, Sequence: 1, Token: oldTerm,
		Tasks: []TaskReport{{Task: "j-1/0", Attempt: 1, Status: StatusRunning}},
	}
	m.Observe(r, simTerm, false, now)
	m.LastAcknowledged = now
	if ev := m.ExpireLease(simTerm, simLease, now.Add(time.Hour)); len(ev) != 0 {
		t.Fatalf("silence was taken for proof: %v", ev)
	}
	r.Sequence, r.Token = 2, simTerm
	m.Observe(r, simTerm, false, now)
	if ev := m.ExpireLease(simTerm, simLease, now.Add(simLease)); len(ev) != 0 {
		t.Fatalf("the lease was taken for over too early: %v", ev)
	}
	if ev := m.ExpireLease(simTerm, simLease, now.Add(simLease+2*time.Second)); len(ev) != 1 || ev[0].Kind != EventGone {
		t.Fatalf("a lapsed lease frees nothing: %v", ev)
	}
}

// TestRunWaitsForRecord: `run` waits for the record and the clearance.
func TestRunWaitsForRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewAgent("m-1")
	m.Observe(&Heartbeat{Machine: "m-1", MachineType: "t", Zone: "z", Epoch: 1, Sequence: 1, Token: simTerm}, simTerm, false, now)
	id := AttemptID{TaskID{"j-1", 0}, 1}
	a := &Attempt{ID: id, Epoch: 1}
	m.Attempts[id] = a
	for i := range 4 {
		a.Committed, a.StartAllowed = i&1 != 0, i&2 != 0
		want := 0
		if i == 3 {
			want = 1
		}
		if got := len(m.Commands(false, now)); got != 0 {
			t.Errorf("a start went out beside an answer")
		}
		if got := len(m.Commands(true, now)); got != want {
			t.Errorf("committed %v cleared %v: %d orders, want %d", a.Committed, a.StartAllowed, got, want)
		}
	}
}

func TestReportDecoding(t *testing.T) {
	good := `{"rig":"m-1","endpoint":"1.2.3.4:9","rigType":"g","hall":"a","loaners":true,"shift":1,"tick":3,"warrant":2,"recallS":null,"new":{},"pieces":[{"piece":"j-1/0","try":1,"status":"exited","cause":"done"}]}`
	if r, err := DecodeHeartbeat([]byte(good)); err != nil || len(r.Tasks) != 1 {
		t.Fatalf("good report: %v", err)
	}
	for _, bad := range []string{
		``, `[]`, `{`, `{"rig":"m-1"}`, `{"rig":"a b","rigType":"g","hall":"a","shift":1}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":-1}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"x","try":1,"status":"running"}]}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"j-1/01","try":1,"status":"running"}]}`,
		`{"rig":"m-1","rigType":"g","hall":"a","shift":1,"pieces":[{"piece":"j-1/0","try":1,"status":"odd"}]}`,
	} {
		if _, err := DecodeHeartbeat([]byte(bad)); err == nil {
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
		report := Heartbeat{
			Machine: text.Draw(t, "rig"), Endpoint: text.Draw(t, "endpoint"), MachineType: text.Draw(t, "type"), Zone: text.Draw(t, "hall"),
			Spot: rapid.Bool().Draw(t, "loaners"), Epoch: rapid.Uint64().Draw(t, "shift"), Sequence: rapid.Uint64().Draw(t, "tick"), Token: rapid.Uint64().Draw(t, "warrant"),
		}
		if rapid.Bool().Draw(t, "notice") {
			seconds := rapid.Float64Range(-1e9, 1e9).Draw(t, "seconds")
			report.ReclaimInS = &seconds
		}
		for range rapid.IntRange(0, 4).Draw(t, "tasks") {
			report.Tasks = append(report.Tasks, TaskReport{
				Task: text.Draw(t, "piece"), Attempt: rapid.Uint64().Draw(t, "try"), Status: TaskStatus(text.Draw(t, "status")),
				Cause: ExitCause(text.Draw(t, "cause")), Saved: rapid.Bool().Draw(t, "saved"),
			})
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
		var ours, standard Heartbeat
		oursErr, standardErr := fast.Unmarshal(raw, &ours), json.Unmarshal(raw, &standard)
		if (oursErr == nil) != (standardErr == nil) {
			t.Fatalf("%q: %v, by the standard library %v", raw, oursErr, standardErr)
		}
		if standardErr == nil && !reflect.DeepEqual(ours, standard) {
			t.Fatalf("%q: %+v, by the standard library %+v", raw, ours, standard)
		}
	})
}
