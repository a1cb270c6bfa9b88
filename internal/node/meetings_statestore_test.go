package node

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
	"thornnotch/internal/workers"
)

// TestMeetSlowStateRefusalOutage: the state service answers slowly, then refuses
// the leader alone, then everybody for longer than cancel_s, while users cancel
// and ask. With the refusal and the outage nearer together or further apart this
// is the gap: another node confirms cancellations that the leader can't see.
func TestMeetSlowStateRefusalOutage(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			meetOnce(t, small(), seed, nil, func(m *scenario) {
				var ids []string
				for n := range 5 {
					ids = append(ids, m.run(long([]string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindGang}[n/3], 3, 200)))
				}
				for _, id := range ids {
					m.stands(id)
				}
				if seed%2 == 1 {
					m.state.SetFate(func(string, int) simulator.Fate {
						return simulator.Fate{Slow: m.span(0, 900*time.Millisecond)}
					})
					time.Sleep(3 * time.Second)
				}
				old := m.lead("")
				m.state.RefuseHost(old, true)
				refused := time.Now()
				// Nearer together and further apart, also beyond an election.
				apart := []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 2600 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second}[seed]
				others := []int{(number(old) + 1) % 3, (number(old) + 2) % 3}
				for i, id := range ids[:4] {
					m.later(m.span(0, apart), func() {
						for m.users.ctx.Err() == nil && m.cancelAt(others[i%2], id) == "" {
							m.rest(50 * time.Millisecond)
						}
					})
				}
				hang := m.machinesOf(ids[3])[0]
				m.later(m.span(0, apart), func() { m.worker(hang).SetHanging(true) })
				m.later(apart+m.span(5*time.Second, 30*time.Second), func() { m.worker(hang).SetHanging(false) })
				time.Sleep(apart)
				m.state.SetOutage(true)
				early := 0
				for _, id := range ids[:4] {
					if m.heard(id) == jobs.StatusCancelled {
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
				m.state.SetOutage(false)
				m.state.RefuseHost(old, false)
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
	meet(t, nil, func(m *scenario) {
		ids := []string{m.run(long("a", jobs.KindArray, 5, 150)), m.run(long("b", jobs.KindGang, 3, 150))}
		for _, id := range ids {
			m.stands(id)
		}
		m.judge.mu.Lock()
		before := m.judge.begun
		m.judge.mu.Unlock()
		m.state.SetOutage(true)
		time.Sleep(m.span(60*time.Second, 100*time.Second))
		for _, id := range ids {
			if n := len(m.machinesOf(id)); n == 0 {
				m.t.Errorf("%s was let go", id)
			}
		}
		m.judge.mu.Lock()
		if m.judge.begun != before {
			m.t.Errorf("%d tasks began in the outage", m.judge.begun-before)
		}
		m.judge.mu.Unlock()
		m.state.SetOutage(false)
	})
}

// TestMeetLateWrites: transactions without an answer are carried out late, after
// newer ones of the same controller.
func TestMeetLateWrites(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		lost := m.oneOf(4)
		m.state.SetFate(func(_ string, writes int) simulator.Fate {
			if lost(writes) {
				return simulator.Fate{Lost: true, After: m.span(200*time.Millisecond, 12*time.Second)}
			}
			return simulator.Fate{}
		})
		m.lateLosses()
		time.Sleep(13 * time.Second)
		c := m.state.Counts()
		m.took(c.LateDone+c.LateFailed > 10, "%+v", c)
	})
}

// lateLosses has jobs come, end and be cancelled, and the leader end, while
// transactions get no answer.
func (m *scenario) lateLosses() {
	m.judge.mu.Lock()
	m.judge.ended = func(id workers.TaskID) {
		m.users.wait.Go(func() {
			if m.intn(3) == 0 {
				m.cancelAt(m.intn(3), id.Job)
			}
			m.look(id.Job)
		})
	}
	m.judge.mu.Unlock()
	for n := range 10 {
		j := testJob(0, []string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindArray, jobs.KindGang}[n%3], 2)
		j.ExpectedS = 6
		id := m.run(j)
		m.users.wait.Go(func() { m.look(id) })
		if n%3 == 0 {
			m.later(m.span(0, 10*time.Second), func() { m.users.cancel(id); m.look(id) })
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
	meet(t, nil, func(m *scenario) {
		lost := m.oneOf(3)
		m.state.SetFate(func(_ string, writes int) simulator.Fate { return simulator.Fate{Lost: lost(writes)} })
		m.lateLosses()
		m.took(m.state.Counts().Lost > 10, "%+v", m.state.Counts())
	})
}
