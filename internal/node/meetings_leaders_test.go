package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// TestMeetLeaderEndsMachinesAway: a leader ends while machines with long tasks
// can't be reached, or don't hear the new leader's answers.
func TestMeetLeaderEndsMachinesAway(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 6, 60))
		gang := m.run(long("b", jobs.KindGang, 3, 60))
		m.stands(id)
		m.stands(gang)
		machines := m.machinesOf(id)
		m.cutMachines(machines[0])
		deaf := m.machinesOf(gang)[0]
		m.later(m.span(0, time.Second), func() { m.worker(deaf).CutIncoming(true) })
		old := m.leader()
		time.Sleep(m.span(0, 2*time.Second))
		m.endNode(old, m.span(50*time.Millisecond, 4*time.Second))
		m.lead("")
		time.Sleep(m.span(2*time.Second, 25*time.Second))
		m.took(len(m.machinesOf(id)) > 0, "no long task runs")
	})
}

// TestMeetHandOverAndBack: controllers hand over and back, all end, and one
// returns, also within a second.
func TestMeetHandOverAndBack(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		m.run(long("a", jobs.KindArray, 5, 50))
		m.run(long("b", jobs.KindGang, 3, 40))
		ends := 0
		for range 3 {
			m.endNode(m.lead(""), m.span(20*time.Millisecond, 3*time.Second))
			ends++
			time.Sleep(m.span(0, 4*time.Second))
			m.run(testJob(0, "a", jobs.KindArray, 2))
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
	meet(t, nil, func(m *scenario) {
		m.run(long("a", jobs.KindArray, 5, 100))
		m.run(long("b", jobs.KindGang, 3, 70))
		begun, changes := time.Now(), 0
		for n := range 10 {
			if n == 4 {
				m.state.SetOutage(true)
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
				m.state.SetOutage(false)
				m.run(testJob(0, "a", jobs.KindArray, 2))
			}
		}
		m.took(changes == 10 && time.Since(begun) < 2*time.Minute, "%d changes in %v", changes, time.Since(begun))
	})
}

// TestMeetTasksEndApart: jobs of two or three tasks end far apart across a change
// of leader. What has ended stays so: no task runs a second time.
func TestMeetTasksEndApart(t *testing.T) {
	meet(t, func(s *site) {
		s.runs = func(j *jobs.Spec, index int) time.Duration {
			if j.Kind == jobs.KindGang {
				index = 0 // they end together
			}
			return time.Duration(j.ExpectedS*float64(time.Second)) + time.Duration(index)*18*time.Second
		}
	}, func(m *scenario) {
		var ids []string
		for n := range 4 {
			j := testJob(0, []string{"a", "b"}[n%2], jobs.KindArray, 2+n%2)
			j.ExpectedS = 4
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
		m.state.SetFate(func(_ string, writes int) simulator.Fate {
			if writes == 0 {
				return simulator.Fate{}
			}
			return simulator.Fate{Slow: m.span(600*time.Millisecond, 1300*time.Millisecond)}
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

// TestMeetAllAway: all controllers are away for longer than lease_s.
func TestMeetAllAway(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 6, 30))
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

// TestMeetLeaderAlone: a leader is cut from the state service and from the other
// controllers while workers and users still reach it, and jobs are cancelled
// through the new one.
func TestMeetLeaderAlone(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		var ids []string
		for n := range 4 {
			ids = append(ids, m.run(long([]string{"a", "b"}[n%2], jobs.KindArray, 3, 120)))
		}
		for _, id := range ids {
			m.stands(id)
		}
		old := m.lead("")
		m.isolate(old)
		next := m.lead(old)
		for _, id := range ids {
			m.later(m.span(0, 15*time.Second), func() {
				for m.users.ctx.Err() == nil && m.cancelAt(number(next), id) == "" {
					m.rest(200 * time.Millisecond)
				}
				m.look(id)
			})
		}
		time.Sleep(m.span(10*time.Second, 40*time.Second))
		m.heal()
		m.waitGone()
		for _, id := range ids {
			m.took(m.heard(id) == jobs.StatusCancelled, "%s is %s", id, m.heard(id))
		}
	})
}
