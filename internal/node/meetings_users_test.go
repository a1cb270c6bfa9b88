package node

import (
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// TestMeetMoreWorkThanRoom: more work than room, urgent and not, over slow links.
func TestMeetMoreWorkThanRoom(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		slow := func() time.Duration { return m.span(2*time.Millisecond, 60*time.Millisecond) }
		for _, p := range m.nodes {
			p.host.DelayPackets(slow)
		}
		for _, name := range m.all() {
			m.places[name].host.DelayPackets(slow)
		}
		most := 0
		for n := range 16 {
			j := testJob(0, []string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindArray, jobs.KindGang}[n%3], 4)
			j.PriorityClass = []string{"standard", "urgent", "idle", "production"}[n%4]
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

// TestMeetCloseLooks: users ask at all nodes, again and again within
// milliseconds, and repeat the submission, right after a job was accepted, ended
// or confirmed as cancelled; some cancel at once.
func TestMeetCloseLooks(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		cancelled := 0
		m.judge.ended = func(id workers.TaskID) {
			m.users.wait.Go(func() { m.look(id.Job) })
		}
		for n := range 12 {
			id := m.run(testJob(0, []string{"a", "b"}[n%2], jobs.KindArray, 1+n%2))
			m.users.wait.Go(func() { m.look(id) })
			if n%2 == 0 {
				if n%4 == 0 {
					time.Sleep(m.span(0, 12*time.Second))
				}
				if m.users.cancel(id) == jobs.StatusCancelled {
					cancelled++
				}
				m.look(id)
			}
		}
		time.Sleep(20 * time.Second)
		m.took(cancelled >= 4, "%d cancelled", cancelled)
	})
}

// TestMeetFlood: one-task jobs come four a second for a minute, a quarter of them
// cancelled.
func TestMeetFlood(t *testing.T) {
	meetOnce(t, small(), 1, nil, func(m *scenario) {
		cancelled := 0
		for n := range 240 {
			j := testJob(0, []string{"a", "b"}[n%2], jobs.KindArray, 1)
			j.ExpectedS = 2
			id := m.run(j)
			if n%4 == 0 {
				m.later(m.span(0, 5*time.Second), func() {
					if m.users.cancel(id) == jobs.StatusCancelled {
						m.users.mu.Lock()
						cancelled++
						m.users.mu.Unlock()
					}
				})
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		m.took(cancelled >= 20, "%d cancelled", cancelled)
	})
}

// TestMeetOddRequests: bad input keeps its answers amid an outage and a change of
// leaders.
func TestMeetOddRequests(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		m.users.wait.Go(func() {
			for m.users.ctx.Err() == nil {
				m.odd(m.intn(3))
				m.rest(m.span(0, 700*time.Millisecond))
			}
		})
		id := m.run(testJob(0, "a", jobs.KindArray, 2))
		m.until(2*time.Minute, "done", func() bool { _, st := m.poll(0, id); return st == jobs.StatusDone })
		m.users.wait.Go(func() {
			for m.users.ctx.Err() == nil {
				if st := m.cancelAt(m.intn(3), id); st != "" && st != jobs.StatusDone {
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
		m.state.SetOutage(true)
		time.Sleep(5 * time.Second)
		m.state.SetOutage(false)
		time.Sleep(5 * time.Second)
		m.users.mu.Lock()
		defer m.users.mu.Unlock()
		m.took(m.answered > 20 && m.refused > 5, "%d answered, %d refused", m.answered, m.refused)
	})
}
