package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/standin"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// When two troubles meet, rules break. Each test here brings one such meeting
// about on a whole site of stand-ins, several times with timings drawn anew,
// while users ask at all nodes. It fails if a rule breaks, if a user hears
// anything older than before, if a job is forgotten or waits for ever, and also
// if the trouble did not take place. docs/design.md has the table.

// scene is one meeting being played.
type scene struct {
	*site
	*crowd
	t    *testing.T
	last int // number of the latest job
	ids  []string
}

const scenesEach = 3

// meet plays a meeting with several seeds.
func meet(t *testing.T, prepare func(*site), act func(*scene)) {
	t.Helper()
	for seed := range uint64(scenesEach) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { meetOnce(t, small(), seed, prepare, act) })
	}
}

func meetOnce(t *testing.T, lay layout, seed uint64, prepare func(*site), act func(*scene)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSiteOf(t, ctx, lay)
		if prepare != nil {
			prepare(s)
		}
		users, home := context.WithCancel(ctx)
		m := &scene{site: s, crowd: newCrowd(s, users, rand.New(rand.NewPCG(seed, 16))), t: t, last: s.names}
		defer s.wait.Wait()
		defer cancel()
		defer s.state.Close()
		defer m.crowd.wait.Wait()
		defer home()
		for i := range lay.nodes {
			s.start(i)
		}
		s.until(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.until(10*time.Second, "readiness", func() bool { c, _ := s.call(0, "GET", "/ready", nil); return c == http.StatusOK })
		m.crowd.wait.Go(func() {
			for users.Err() == nil {
				m.rest(500 * time.Millisecond)
				s.judge.look()
			}
		})
		for n := range 4 {
			m.run(testJob(0, []string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Sweep, userapi.Gang}[n%3], 3))
		}
		s.until(60*time.Second, "running", func() bool { _, st := m.poll(0, m.ids[0]); return st == userapi.Running })
		act(m)
		m.calm()
		m.verdict()
	})
}

// run submits a job under the next name and follows it.
func (m *scene) run(j *userapi.Job) string {
	m.t.Helper()
	m.last++
	j.NameID = fmt.Sprintf("j-%06d", m.last)
	if !m.crowd.submit(j) {
		m.t.Errorf("%s was not accepted within a minute", j.NameID)
	}
	m.ids = append(m.ids, j.NameID)
	m.follow(j.NameID)
	return j.NameID
}

// long is a job that runs until it is cancelled, or for that long.
func long(owner, shape string, pieces int, runs float64) *userapi.Job {
	j := testJob(0, owner, shape, pieces)
	j.ExpectS = runs
	return j
}

// stands waits until all of a job's tasks are on machines.
func (m *scene) stands(id string) {
	m.t.Helper()
	m.crowd.mu.Lock()
	pieces := m.known[id].job.Pieces
	m.crowd.mu.Unlock()
	m.until(90*time.Second, id+" on machines", func() bool { return len(m.rigsOf(id)) == pieces })
}

// rigsOf lists the machines of a job's tasks.
func (m *scene) rigsOf(id string) (out []string) {
	m.judge.mu.Lock()
	defer m.judge.mu.Unlock()
	for t, machine := range m.judge.on {
		if t.Job == id {
			out = append(out, machine)
		}
	}
	slices.Sort(out)
	return out
}

// took demands that the trouble has taken place.
func (m *scene) took(ok bool, format string, args ...any) {
	m.t.Helper()
	if !ok {
		m.t.Errorf("the trouble did not take place: "+format, args...)
	}
}

// endNode ends a process and has it back after a while.
func (m *scene) endNode(label string, back time.Duration) {
	m.kill(label)
	time.Sleep(back)
	m.start(int(label[4] - '0'))
}

// lead waits for a leader, other than one if it is named.
func (m *scene) lead(but string) string {
	m.t.Helper()
	label := ""
	m.until(20*time.Second, "a leader", func() bool {
		for l, p := range m.nodes {
			if l != but && p.node.leading.Load() != nil {
				label = l
				return true
			}
		}
		return false
	})
	return label
}

func number(label string) int { return int(label[4] - '0') }

// cutRig cuts machines off from all nodes, both ways.
func (m *scene) cutRig(names ...string) {
	for _, name := range names {
		m.site.mu.Lock()
		p := m.places[name]
		m.site.mu.Unlock()
		if m.away == nil {
			m.away = make(map[string]bool)
		}
		m.away[p.addr] = true
		for i := range m.layout.nodes {
			p.host.Cut(fmt.Sprintf("node-%d:80", i))
		}
		for _, n := range m.nodes {
			n.host.Cut(p.addr)
		}
	}
}

// all lists the machines by name.
func (m *scene) all() (out []string) {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	for name := range m.workers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// oneOf tells of each transaction that writes whether it is the one of n in a row
// that meets with trouble; which of them is drawn. By chance alone it may be none
// of the few that there are.
func (m *scene) oneOf(n int) func(writes int) bool {
	var mu sync.Mutex
	count, at := 0, 0
	return func(writes int) bool {
		if writes == 0 {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if count%n == 0 {
			at = m.intn(n)
		}
		count++
		return (count-1)%n == at
	}
}

// calm ends all troubles.
func (m *scene) calm() {
	m.state.SetFate(nil)
	m.state.SetDown(false)
	m.cloud.SetDown(false)
	m.away = nil
	for i := range m.layout.nodes {
		m.state.Refuse(fmt.Sprint("rig-", i), false)
		if m.nodes[fmt.Sprint("rig-", i)] == nil {
			m.start(i)
		}
	}
	for _, p := range m.nodes {
		p.host.Delay(nil)
	}
	m.heal()
	for _, name := range m.all() {
		w := m.worker(name)
		w.SetDeaf(false)
		w.SetMute(false)
		w.SetHang(false)
		m.places[name].host.Delay(nil)
	}
}

// verdict is what must always hold after the troubles: each job is answered by
// each node within 75 s, those that were not cancelled run to their end, those
// that were stay cancelled, and no rule is broken.
func (m *scene) verdict() {
	m.t.Helper()
	healed := time.Now()
	for i := range m.layout.nodes {
		for _, id := range m.ids {
			m.until(75*time.Second-time.Since(healed), fmt.Sprintf("an answer for %s at node %d", id, i), func() bool {
				code, _ := m.poll(i, id)
				return code == http.StatusOK
			})
		}
	}
	for _, id := range m.ids {
		m.until(4*time.Minute-time.Since(healed), id+" over", func() bool {
			_, st := m.poll(m.intn(m.layout.nodes), id)
			return st == userapi.Done || st == userapi.Aborted
		})
		m.look(id)
	}
	m.judge.look()
	m.judge.mu.Lock()
	defer m.judge.mu.Unlock()
	slices.Sort(m.judge.broken)
	for _, b := range slices.Compact(m.judge.broken) {
		m.t.Errorf("rule broken: %s", b)
	}
}

// waitGone waits until tasks of cancelled jobs must be gone.
func (m *scene) waitGone() { time.Sleep(m.judge.late + time.Second) }

// TestMeetMoreWorkThanRoom: more work than room, urgent and not, over slow links.
func TestMeetMoreWorkThanRoom(t *testing.T) {
	meet(t, nil, func(m *scene) {
		slow := func() time.Duration { return m.span(2*time.Millisecond, 60*time.Millisecond) }
		for _, p := range m.nodes {
			p.host.Delay(slow)
		}
		for _, name := range m.all() {
			m.places[name].host.Delay(slow)
		}
		most := 0
		for n := range 16 {
			j := testJob(0, []string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Sweep, userapi.Gang}[n%3], 4)
			j.Urgency = []string{"standard", "urgent", "idle", "production"}[n%4]
			m.run(j)
			m.judge.mu.Lock()
			most = max(most, len(m.judge.on))
			m.judge.mu.Unlock()
		}
		for range 20 {
			time.Sleep(time.Second)
			m.judge.mu.Lock()
			most = max(most, len(m.judge.on))
			m.judge.mu.Unlock()
		}
		m.took(most >= 14, "%d tasks at most at a time", most)
	})
}

// TestMeetLeaderEndsMachinesAway: a leader ends while machines with long tasks
// can't be reached, or don't hear the new leader's answers.
func TestMeetLeaderEndsMachinesAway(t *testing.T) {
	meet(t, nil, func(m *scene) {
		id := m.run(long("a", userapi.Sweep, 6, 60))
		gang := m.run(long("b", userapi.Gang, 3, 60))
		m.stands(id)
		m.stands(gang)
		machines := m.rigsOf(id)
		m.cutRig(machines[0])
		deaf := m.rigsOf(gang)[0]
		m.later(m.span(0, time.Second), func() { m.worker(deaf).SetDeaf(true) })
		old := m.leader()
		time.Sleep(m.span(0, 2*time.Second))
		m.endNode(old, m.span(50*time.Millisecond, 4*time.Second))
		m.lead("")
		time.Sleep(m.span(2*time.Second, 25*time.Second))
		m.took(len(m.rigsOf(id)) > 0, "no long task runs")
	})
}

// TestMeetHandOverAndBack: controllers hand over and back, all end, and one
// returns, also within a second.
func TestMeetHandOverAndBack(t *testing.T) {
	meet(t, nil, func(m *scene) {
		m.run(long("a", userapi.Sweep, 5, 50))
		m.run(long("b", userapi.Gang, 3, 40))
		ends := 0
		for range 3 {
			m.endNode(m.lead(""), m.span(20*time.Millisecond, 3*time.Second))
			ends++
			time.Sleep(m.span(0, 4*time.Second))
			m.run(testJob(0, "a", userapi.Sweep, 2))
		}
		for label := range m.nodes {
			m.kill(label)
			ends++
		}
		time.Sleep(m.span(20*time.Millisecond, 900*time.Millisecond))
		m.start(m.intn(3))
		time.Sleep(m.span(time.Second, 8*time.Second))
		m.took(ends == 6, "%d ends", ends)
	})
}

// TestMeetLeadersChangeAndOutage: leaders change ten times in two minutes, also
// inside an outage.
func TestMeetLeadersChangeAndOutage(t *testing.T) {
	meet(t, nil, func(m *scene) {
		m.run(long("a", userapi.Sweep, 5, 100))
		m.run(long("b", userapi.Gang, 3, 70))
		begun, changes := time.Now(), 0
		for n := range 10 {
			if n == 4 {
				m.state.SetDown(true)
			}
			label := m.leader()
			if label == "" {
				label = fmt.Sprint("rig-", n%3)
			}
			if m.nodes[label] != nil {
				m.endNode(label, m.span(50*time.Millisecond, 2*time.Second))
				changes++
			}
			time.Sleep(m.span(time.Second, 8*time.Second))
			if n == 6 {
				m.state.SetDown(false)
				m.run(testJob(0, "a", userapi.Sweep, 2))
			}
		}
		m.took(changes == 10 && time.Since(begun) < 2*time.Minute, "%d changes in %v", changes, time.Since(begun))
	})
}

// TestMeetCloseLooks: users ask at all nodes, again and again within
// milliseconds, and repeat the submission, right after a job was accepted, ended
// or confirmed as cancelled; some cancel at once.
func TestMeetCloseLooks(t *testing.T) {
	meet(t, nil, func(m *scene) {
		cancelled := 0
		m.judge.ended = func(id workers.TaskID) {
			m.crowd.wait.Go(func() { m.look(id.Job) })
		}
		for n := range 12 {
			id := m.run(testJob(0, []string{"a", "b"}[n%2], userapi.Sweep, 1+n%2))
			m.crowd.wait.Go(func() { m.look(id) })
			if n%2 == 0 {
				if n%4 == 0 {
					time.Sleep(m.span(0, 12*time.Second))
				}
				if m.crowd.cancel(id) == userapi.Aborted {
					cancelled++
				}
				m.look(id)
			}
		}
		time.Sleep(20 * time.Second)
		m.took(cancelled >= 4, "%d cancelled", cancelled)
	})
}

// atLimit fills both teams up to their limits with long tasks.
func (m *scene) atLimit() (ids []string) {
	m.t.Helper()
	for _, id := range m.ids {
		m.crowd.cancel(id)
	}
	ids = append(ids, m.run(long("a", userapi.Sweep, 4, 300)), m.run(long("a", userapi.Gang, 4, 300)), m.run(long("a", userapi.Sweep, 4, 300)),
		m.run(long("b", userapi.Sweep, 4, 300)), m.run(long("b", userapi.Gang, 4, 300)))
	for _, id := range ids {
		m.stands(id)
	}
	for n := range 4 {
		m.run(testJob(0, []string{"a", "b"}[n%2], userapi.Sweep, 4)) // waits for room
	}
	return ids
}

// cancelAll cancels the jobs that would run for very long, so that a meeting
// comes to its end.
func (m *scene) cancelAll(ids []string) {
	for _, id := range ids {
		m.crowd.cancel(id)
	}
}

// TestMeetLimitCancelHang: every team is at its limit while jobs are cancelled
// whose machines are cut off or hang, and the leader changes.
func TestMeetLimitCancelHang(t *testing.T) {
	meet(t, nil, func(m *scene) {
		ids := m.atLimit()
		machines := append(m.rigsOf(ids[0]), m.rigsOf(ids[4])...)
		for _, name := range slices.Compact(machines) {
			if m.intn(2) == 0 {
				m.cutRig(name)
			} else {
				m.worker(name).SetHang(true)
				m.later(m.span(3*time.Second, 30*time.Second), func() { m.worker(name).SetHang(false) })
			}
		}
		m.later(m.span(0, 3*time.Second), func() { m.crowd.cancel(ids[0]) })
		m.later(m.span(0, 3*time.Second), func() { m.crowd.cancel(ids[4]) })
		time.Sleep(m.span(0, 4*time.Second))
		m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		m.waitGone()
		m.took(m.heard(ids[0]) == userapi.Aborted && m.heard(ids[4]) == userapi.Aborted, "the jobs were not cancelled")
		m.cancelAll(ids)
	})
}

// TestMeetLimitLeaderChangesCancel: a team is at its limit when the leader
// changes, some of its machines can't be asked, and a cancellation falls into
// that spell.
func TestMeetLimitLeaderChangesCancel(t *testing.T) {
	meet(t, nil, func(m *scene) {
		ids := m.atLimit()
		for i, name := range slices.Compact(append(m.rigsOf(ids[2]), m.rigsOf(ids[3])...)) {
			switch i % 3 {
			case 0:
				m.cutRig(name)
			case 1:
				m.worker(name).SetMute(true)
			default:
				m.worker(name).SetDeaf(true)
			}
		}
		old := m.lead("")
		m.kill(old)
		m.later(m.span(0, 4*time.Second), func() { m.crowd.cancel(ids[2]) })
		m.later(m.span(0, 9*time.Second), func() { m.crowd.cancel(ids[3]) })
		time.Sleep(m.span(100*time.Millisecond, 4*time.Second))
		m.start(number(old))
		m.lead("")
		m.waitGone()
		m.took(m.heard(ids[2]) == userapi.Aborted && m.heard(ids[3]) == userapi.Aborted, "the jobs were not cancelled")
		m.cancelAll(ids)
	})
}

// TestMeetSlowStateRefusalOutage: the state service answers slowly, then refuses
// the leader alone, then everybody for longer than cancel_s, while users cancel
// and ask. With the refusal and the outage nearer together or further apart this
// is the gap: another node confirms cancellations that the leader can't see.
func TestMeetSlowStateRefusalOutage(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			meetOnce(t, small(), seed, nil, func(m *scene) {
				var ids []string
				for n := range 5 {
					ids = append(ids, m.run(long([]string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Gang}[n/3], 3, 200)))
				}
				for _, id := range ids {
					m.stands(id)
				}
				if seed%2 == 1 {
					m.state.SetFate(func(string, int) standin.Fate {
						return standin.Fate{Slow: m.span(0, 900*time.Millisecond)}
					})
					time.Sleep(3 * time.Second)
				}
				old := m.lead("")
				m.state.Refuse(old, true)
				refused := time.Now()
				// Nearer together and further apart, also beyond an election.
				apart := []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 2600 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second}[seed]
				others := []int{(number(old) + 1) % 3, (number(old) + 2) % 3}
				for i, id := range ids[:4] {
					m.later(m.span(0, apart), func() {
						for m.crowd.ctx.Err() == nil && m.cancelAt(others[i%2], id) == "" {
							m.rest(50 * time.Millisecond)
						}
					})
				}
				hang := m.rigsOf(ids[3])[0]
				m.later(m.span(0, apart), func() { m.worker(hang).SetHang(true) })
				m.later(apart+m.span(5*time.Second, 30*time.Second), func() { m.worker(hang).SetHang(false) })
				time.Sleep(apart)
				m.state.SetDown(true)
				early := 0
				for _, id := range ids[:4] {
					if m.heard(id) == userapi.Aborted {
						early++
					}
				}
				switch seed % 4 {
				case 2: // the leader ends in between
					time.Sleep(m.span(0, 10*time.Second))
					m.endNode(old, m.span(100*time.Millisecond, 3*time.Second))
				case 1, 3: // those who confirmed do: nobody is left to vouch for it
					m.kill(fmt.Sprint("rig-", others[0]))
					m.kill(fmt.Sprint("rig-", others[1]))
					time.Sleep(m.span(100*time.Millisecond, 5*time.Second))
					m.start(others[0])
					m.start(others[1])
				}
				time.Sleep(m.judge.late + m.span(4*time.Second, 20*time.Second) - time.Since(refused) + apart)
				m.judge.look()
				m.took(early > 0 || apart < time.Second || seed%2 == 1, "nothing was confirmed before the outage")
				m.took(m.state.Counts().Refused > 0, "the state service refused nobody")
				m.state.SetDown(false)
				m.state.Refuse(old, false)
				m.state.SetFate(nil)
				time.Sleep(3 * time.Second)
				m.cancelAll(ids)
			})
		})
	}
}

// TestOutageKeepsWork: while the state service is out for far longer than a leader
// is certain by itself and than leases last, the nodes vouch for one another, and
// what runs goes on; nothing starts a second time.
func TestOutageKeepsWork(t *testing.T) {
	meet(t, nil, func(m *scene) {
		ids := []string{m.run(long("a", userapi.Sweep, 5, 150)), m.run(long("b", userapi.Gang, 3, 150))}
		for _, id := range ids {
			m.stands(id)
		}
		m.judge.mu.Lock()
		before := m.judge.begun
		m.judge.mu.Unlock()
		m.state.SetDown(true)
		time.Sleep(m.span(60*time.Second, 100*time.Second))
		for _, id := range ids {
			if n := len(m.rigsOf(id)); n == 0 {
				m.t.Errorf("%s was let go", id)
			}
		}
		m.judge.mu.Lock()
		if m.judge.begun != before {
			m.t.Errorf("%d tasks began in the outage", m.judge.begun-before)
		}
		m.judge.mu.Unlock()
		m.state.SetDown(false)
	})
}

// TestMeetCancelWhileHandingOver: jobs are cancelled in the seconds in which one
// controller's work changes hands.
func TestMeetCancelWhileHandingOver(t *testing.T) {
	meet(t, nil, func(m *scene) {
		var ids []string
		for n := range 6 {
			ids = append(ids, m.run(long([]string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Gang}[n/4], 2, 120)))
		}
		m.stands(ids[0])
		old := m.lead("")
		for _, id := range ids {
			m.later(m.span(0, 6*time.Second), func() { m.crowd.cancel(id); m.look(id) })
		}
		time.Sleep(m.span(0, time.Second))
		m.kill(old)
		time.Sleep(m.span(50*time.Millisecond, 5*time.Second))
		m.start(number(old))
		m.lead("")
		m.waitGone()
		for _, id := range ids {
			m.took(m.heard(id) == userapi.Aborted, "%s is %s", id, m.heard(id))
		}
	})
}

// TestMeetCancelAtTheEnd: a cancellation, a question or a repeated submission
// meets the end of a job's last task.
func TestMeetCancelAtTheEnd(t *testing.T) {
	meet(t, nil, func(m *scene) {
		outcomes := map[string]int{}
		m.judge.ended = func(id workers.TaskID) {
			m.crowd.wait.Go(func() {
				m.rest(m.span(0, 700*time.Millisecond))
				switch m.intn(3) {
				case 0:
					m.look(id.Job)
				default:
					m.crowd.cancel(id.Job)
					m.look(id.Job)
				}
			})
		}
		var ids []string
		for n := range 12 {
			j := testJob(0, []string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Gang}[n%2], 1+n%3)
			j.ExpectS = 4 + float64(n)
			ids = append(ids, m.run(j))
		}
		time.Sleep(50 * time.Second)
		for _, id := range ids {
			outcomes[m.heard(id)]++
		}
		m.took(outcomes[userapi.Done] > 0 && outcomes[userapi.Aborted] > 0, "outcomes %v", outcomes)
	})
}

// TestMeetTasksEndApart: jobs of two or three tasks end far apart across a change
// of leader. What has ended stays so: no task runs a second time.
func TestMeetTasksEndApart(t *testing.T) {
	meet(t, func(s *site) {
		s.runs = func(j *userapi.Job, index int) time.Duration {
			if j.Shape == userapi.Gang {
				index = 0 // they end together
			}
			return time.Duration(j.ExpectS*float64(time.Second)) + time.Duration(index)*18*time.Second
		}
	}, func(m *scene) {
		var ids []string
		for n := range 4 {
			j := testJob(0, []string{"a", "b"}[n%2], userapi.Sweep, 2+n%2)
			j.ExpectS = 4
			ids = append(ids, m.run(j))
		}
		m.stands(ids[0])
		done := func() (n int) {
			m.judge.mu.Lock()
			defer m.judge.mu.Unlock()
			for id := range m.judge.done {
				if slices.Contains(ids, id.Job) {
					n++
				}
			}
			return n
		}
		// Writes lag, so that a leader ends between a task's report and its record.
		m.state.SetFate(func(_ string, writes int) standin.Fate {
			if writes == 0 {
				return standin.Fate{}
			}
			return standin.Fate{Slow: m.span(600*time.Millisecond, 1300*time.Millisecond)}
		})
		before := 0
		for range 3 {
			had := done()
			m.until(40*time.Second, "an end", func() bool { return done() > had })
			before = done()
			time.Sleep(m.span(0, time.Second))
			m.endNode(m.lead(""), m.span(100*time.Millisecond, 4*time.Second))
			m.lead("")
		}
		m.state.SetFate(nil)
		m.took(before > 0 && before < 10, "%d tasks had ended", before)
		time.Sleep(60 * time.Second)
		m.judge.mu.Lock()
		defer m.judge.mu.Unlock()
		for id, n := range m.judge.done {
			if slices.Contains(ids, id.Job) && n != 1 {
				m.t.Errorf("task %v ended %d times", id, n)
			}
		}
	})
}

// TestMeetNewMachinesWritesLag: new machines are up within two seconds and get
// work at once while writes lag, and the leader ends.
func TestMeetNewMachinesWritesLag(t *testing.T) {
	for seed := range uint64(scenesEach) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			lay := small()
			lay.boots = 1500 * time.Millisecond
			meetOnce(t, lay, seed, nil, func(m *scene) {
				lost := m.oneOf(4)
				m.state.SetFate(func(_ string, writes int) standin.Fate {
					if writes == 0 {
						return standin.Fate{}
					}
					if lost(writes) {
						return standin.Fate{Lost: true, After: m.span(500*time.Millisecond, 6*time.Second)}
					}
					return standin.Fate{Slow: m.span(100*time.Millisecond, time.Second)}
				})
				before := len(m.all())
				m.run(long("a", userapi.Sweep, 9, 40))
				gang := m.run(long("b", userapi.Gang, 4, 40))
				m.until(60*time.Second, "new machines", func() bool { return len(m.all()) > before })
				time.Sleep(m.span(0, 4*time.Second))
				m.endNode(m.lead(""), m.span(100*time.Millisecond, 4*time.Second))
				time.Sleep(m.span(0, 5*time.Second))
				if m.intn(2) == 0 {
					m.crowd.cancel(gang)
				}
				time.Sleep(20 * time.Second)
				m.took(len(m.all()) > before && m.state.Counts().LateDone+m.state.Counts().LateFailed > 0, "machines %d, %d before; %+v", len(m.all()), before, m.state.Counts())
			})
		})
	}
}

// TestMeetHeldBackReport: a report is held back until a new leader has acted, and
// then arrives there.
func TestMeetHeldBackReport(t *testing.T) {
	meet(t, func(s *site) { s.keep = 3 }, func(m *scene) {
		id := m.run(long("a", userapi.Sweep, 5, 25))
		gang := m.run(long("b", userapi.Gang, 3, 25))
		m.stands(id)
		m.stands(gang)
		old := m.lead("")
		names := m.all()
		m.kill(old)
		next := m.lead(old)
		// It acts: one job is cancelled, others end and begin.
		m.crowd.cancel(gang)
		for range 3 {
			m.run(testJob(0, "b", userapi.Sweep, 2))
		}
		for _, name := range names {
			m.worker(name).SetMute(true) // what it keeps stays the old
		}
		time.Sleep(m.span(0, 14*time.Second))
		sent := 0
		for _, name := range names {
			sent += m.worker(name).Again(m.crowd.ctx, fmt.Sprintf("node-%d:80", number(next)))
		}
		m.took(sent > 0, "no report came late")
		for _, name := range names {
			m.worker(name).SetMute(false)
		}
		m.start(number(old))
		m.waitGone()
	})
}

// TestMeetOldReportNewLeader: an old report reaches every controller just as a
// new leader begins.
func TestMeetOldReportNewLeader(t *testing.T) {
	meet(t, func(s *site) { s.keep = 2 }, func(m *scene) {
		id := m.run(long("a", userapi.Sweep, 5, 25))
		m.run(long("b", userapi.Gang, 3, 25))
		m.stands(id)
		old := m.lead("")
		names := m.all()
		m.kill(old)
		end := time.Now().Add(6 * time.Second)
		sent, begun := 0, false
		for time.Now().Before(end) {
			for _, name := range names {
				m.later(0, func() {
					for i := range 3 {
						m.worker(name).Again(m.crowd.ctx, fmt.Sprintf("node-%d:80", i))
					}
				})
				sent++
			}
			begun = begun || m.leader() != ""
			time.Sleep(m.span(50*time.Millisecond, 400*time.Millisecond))
		}
		m.took(sent > 0 && begun, "%d reports, a leader %v", sent, begun)
		m.start(number(old))
		m.run(testJob(0, "a", userapi.Gang, 3))
	})
}

// TestMeetZoneLosesMachines: jobs bound to one zone, arrays too, lose machines.
func TestMeetZoneLosesMachines(t *testing.T) {
	meet(t, nil, func(m *scene) {
		zone := zones[m.intn(3)]
		var ids []string
		for n := range 3 {
			j := long([]string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Gang}[n%2], 3, 40)
			j.Hall = zone
			ids = append(ids, m.run(j))
		}
		m.stands(ids[0])
		m.stands(ids[1])
		lost := 0
		for _, name := range slices.Compact(append(m.rigsOf(ids[0]), m.rigsOf(ids[1])...)) {
			if lost < 2 {
				m.cloud.Die(name)
				lost++
				time.Sleep(m.span(0, 3*time.Second))
			}
		}
		if m.intn(2) == 0 {
			m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		}
		m.took(lost > 0, "no machine was lost")
	})
}

// TestMeetFlood: one-task jobs come four a second for a minute, a quarter of them
// cancelled.
func TestMeetFlood(t *testing.T) {
	meetOnce(t, small(), 1, nil, func(m *scene) {
		cancelled := 0
		for n := range 240 {
			j := testJob(0, []string{"a", "b"}[n%2], userapi.Sweep, 1)
			j.ExpectS = 2
			id := m.run(j)
			if n%4 == 0 {
				m.later(m.span(0, 5*time.Second), func() {
					if m.crowd.cancel(id) == userapi.Aborted {
						m.crowd.mu.Lock()
						cancelled++
						m.crowd.mu.Unlock()
					}
				})
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		m.took(cancelled >= 20, "%d cancelled", cancelled)
	})
}

// TestMeetOldReports: old reports arrive after newer ones, also from an earlier
// session or attempt.
func TestMeetOldReports(t *testing.T) {
	meet(t, func(s *site) { s.copies = []time.Duration{3 * time.Second, 9 * time.Second, 21 * time.Second} }, func(m *scene) {
		id := m.run(long("a", userapi.Sweep, 6, 30))
		m.run(long("b", userapi.Gang, 3, 30))
		m.stands(id)
		// Machines that lose their lease begin new sessions and attempts.
		deaf := m.rigsOf(id)[:2]
		for _, name := range deaf {
			m.worker(name).SetDeaf(true)
		}
		time.Sleep(m.span(13*time.Second, 20*time.Second))
		for _, name := range deaf {
			m.worker(name).SetDeaf(false)
		}
		time.Sleep(m.span(0, 6*time.Second))
		m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		m.run(testJob(0, "b", userapi.Gang, 3))
		time.Sleep(25 * time.Second)
		m.judge.mu.Lock()
		begun := m.judge.begun
		m.judge.mu.Unlock()
		m.took(begun > 20, "%d tasks began", begun)
	})
}

// TestMeetMuteMachines: workers can't open connections to any controller, while
// direct commands still reach them.
func TestMeetMuteMachines(t *testing.T) {
	meet(t, nil, func(m *scene) {
		id := m.run(long("a", userapi.Sweep, 6, 30))
		gang := m.run(long("b", userapi.Gang, 3, 60))
		m.stands(id)
		m.stands(gang)
		mute := slices.Compact(append(m.rigsOf(id)[:2], m.rigsOf(gang)...))
		for _, name := range mute {
			m.worker(name).SetMute(true)
		}
		m.later(m.span(0, 15*time.Second), func() { m.crowd.cancel(gang) })
		if m.intn(2) == 0 {
			time.Sleep(m.span(0, 10*time.Second))
			m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		}
		m.run(testJob(0, "a", userapi.Sweep, 2))
		time.Sleep(m.span(20*time.Second, 50*time.Second))
		m.took(len(mute) > 0, "no machine is mute")
	})
}

// TestMeetAllAway: all controllers are away for longer than lease_s.
func TestMeetAllAway(t *testing.T) {
	meet(t, nil, func(m *scene) {
		id := m.run(long("a", userapi.Sweep, 6, 30))
		m.stands(id)
		m.later(m.span(0, 2*time.Second), func() { m.cancelAt(m.intn(3), id) })
		time.Sleep(m.span(0, 2*time.Second))
		for label := range m.nodes {
			m.kill(label)
		}
		time.Sleep(m.span(13*time.Second, 40*time.Second))
		m.judge.mu.Lock()
		left := len(m.judge.on)
		m.judge.mu.Unlock()
		m.took(left == 0, "%d tasks outlived their leases", left)
		for _, i := range []int{1, 2, 0} {
			m.start(i)
			time.Sleep(m.span(0, time.Second))
		}
	})
}

// TestMeetLateWrites: transactions without an answer are carried out late, after
// newer ones of the same controller.
func TestMeetLateWrites(t *testing.T) {
	meet(t, nil, func(m *scene) {
		lost := m.oneOf(4)
		m.state.SetFate(func(_ string, writes int) standin.Fate {
			if lost(writes) {
				return standin.Fate{Lost: true, After: m.span(200*time.Millisecond, 12*time.Second)}
			}
			return standin.Fate{}
		})
		m.lateLosses()
		time.Sleep(13 * time.Second)
		c := m.state.Counts()
		m.took(c.LateDone+c.LateFailed > 10, "%+v", c)
	})
}

// lateLosses has jobs come, end and be cancelled, and the leader end, while
// transactions get no answer.
func (m *scene) lateLosses() {
	m.judge.mu.Lock()
	m.judge.ended = func(id workers.TaskID) {
		m.crowd.wait.Go(func() {
			if m.intn(3) == 0 {
				m.cancelAt(m.intn(3), id.Job)
			}
			m.look(id.Job)
		})
	}
	m.judge.mu.Unlock()
	for n := range 10 {
		j := testJob(0, []string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Sweep, userapi.Gang}[n%3], 2)
		j.ExpectS = 6
		id := m.run(j)
		m.crowd.wait.Go(func() { m.look(id) })
		if n%3 == 0 {
			m.later(m.span(0, 10*time.Second), func() { m.crowd.cancel(id); m.look(id) })
		}
		if n == 5 {
			m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		}
		time.Sleep(m.span(0, 3*time.Second))
	}
	time.Sleep(15 * time.Second)
}

// TestMeetLostAnswers: transactions are carried out at once and only their
// answers are lost, while other nodes read what they wrote.
func TestMeetLostAnswers(t *testing.T) {
	meet(t, nil, func(m *scene) {
		lost := m.oneOf(3)
		m.state.SetFate(func(_ string, writes int) standin.Fate { return standin.Fate{Lost: lost(writes)} })
		m.lateLosses()
		m.took(m.state.Counts().Lost > 10, "%+v", m.state.Counts())
	})
}

// TestMeetLeaderAlone: a leader is cut from the state service and from the other
// controllers while workers and users still reach it, and jobs are cancelled
// through the new one.
func TestMeetLeaderAlone(t *testing.T) {
	meet(t, nil, func(m *scene) {
		var ids []string
		for n := range 4 {
			ids = append(ids, m.run(long([]string{"a", "b"}[n%2], userapi.Sweep, 3, 120)))
		}
		for _, id := range ids {
			m.stands(id)
		}
		old := m.lead("")
		m.isolate(old)
		next := m.lead(old)
		for _, id := range ids {
			m.later(m.span(0, 15*time.Second), func() {
				for m.crowd.ctx.Err() == nil && m.cancelAt(number(next), id) == "" {
					m.rest(200 * time.Millisecond)
				}
				m.look(id)
			})
		}
		time.Sleep(m.span(10*time.Second, 40*time.Second))
		m.heal()
		m.waitGone()
		for _, id := range ids {
			m.took(m.heard(id) == userapi.Aborted, "%s is %s", id, m.heard(id))
		}
	})
}

// TestMeetCommandHeldUp: a command or its answer is held up for seconds, and the
// machine then goes on.
func TestMeetCommandHeldUp(t *testing.T) {
	meet(t, nil, func(m *scene) {
		var ids []string
		for n := range 4 {
			ids = append(ids, m.run(long([]string{"a", "b"}[n%2], []string{userapi.Sweep, userapi.Gang}[n/2], 3, 90)))
		}
		hung := 0
		for _, id := range ids {
			m.stands(id)
			for _, name := range slices.Compact(m.rigsOf(id))[:1] {
				m.worker(name).SetHang(true)
				hung++
				m.later(m.span(time.Second, 16*time.Second), func() { m.worker(name).SetHang(false) })
			}
			m.later(m.span(0, 3*time.Second), func() { m.crowd.cancel(id) })
		}
		for n := range 4 {
			m.run(testJob(0, []string{"a", "b"}[n%2], userapi.Sweep, 3))
		}
		if m.intn(2) == 0 {
			m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		}
		m.waitGone()
		m.took(hung == 4, "%d machines hung", hung)
	})
}

// TestMeetZoneCutOff: a zone with workers and a controller is cut off for longer
// than lease_s; jobs are cancelled meanwhile.
func TestMeetZoneCutOff(t *testing.T) {
	meet(t, nil, func(m *scene) {
		lead := m.lead("")
		zone := zones[number(lead)]
		j := long("b", userapi.Sweep, 4, 200)
		j.Hall = zone
		id := m.run(j)
		m.stands(id)
		m.cutZone(lead)
		next := m.lead(lead)
		time.Sleep(m.span(0, 10*time.Second))
		m.took(m.cancelAt(number(next), id) == userapi.Aborted, "not cancelled")
		m.run(testJob(0, "a", userapi.Sweep, 3))
		time.Sleep(m.span(14*time.Second, 40*time.Second))
		m.heal()
		m.waitGone()
	})
}

// TestMeetOddRequests: bad input keeps its answers amid an outage and a change of
// leaders.
func TestMeetOddRequests(t *testing.T) {
	meet(t, nil, func(m *scene) {
		m.crowd.wait.Go(func() {
			for m.crowd.ctx.Err() == nil {
				m.odd(m.intn(3))
				m.rest(m.span(0, 700*time.Millisecond))
			}
		})
		id := m.run(testJob(0, "a", userapi.Sweep, 2))
		m.until(2*time.Minute, "done", func() bool { _, st := m.poll(0, id); return st == userapi.Done })
		m.crowd.wait.Go(func() {
			for m.crowd.ctx.Err() == nil {
				if st := m.cancelAt(m.intn(3), id); st != "" && st != userapi.Done {
					m.judge.mu.Lock()
					m.judge.fail("went_back: a cancellation of a done job got %s", st)
					m.judge.mu.Unlock()
				}
				m.look(id)
				m.rest(m.span(0, time.Second))
			}
		})
		m.endNode(m.lead(""), m.span(50*time.Millisecond, 3*time.Second))
		time.Sleep(m.span(0, 3*time.Second))
		m.state.SetDown(true)
		time.Sleep(5 * time.Second)
		m.state.SetDown(false)
		time.Sleep(5 * time.Second)
		m.crowd.mu.Lock()
		defer m.crowd.mu.Unlock()
		m.took(m.answered > 20 && m.refused > 5, "%d answered, %d refused", m.answered, m.refused)
	})
}
