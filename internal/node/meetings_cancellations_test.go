package node

import (
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// atLimit fills both teams up to their limits with long tasks.
func (m *scenario) atLimit() (ids []string) {
	m.t.Helper()
	for _, id := range m.ids {
		m.users.cancel(id)
	}
	ids = append(ids, m.run(long("a", jobs.KindArray, 4, 300)), m.run(long("a", jobs.KindGang, 4, 300)), m.run(long("a", jobs.KindArray, 4, 300)),
		m.run(long("b", jobs.KindArray, 4, 300)), m.run(long("b", jobs.KindGang, 4, 300)))
	for _, id := range ids {
		m.stands(id)
	}
	for n := range 4 {
		m.run(testJob(0, []string{"a", "b"}[n%2], jobs.KindArray, 4)) // waits for room
	}
	return ids
}

// TestMeetLimitCancelHang: every team is at its limit while jobs are cancelled
// whose machines are cut off or hang, and the leader changes.
func TestMeetLimitCancelHang(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		ids := m.atLimit()
		machines := append(m.machinesOf(ids[0]), m.machinesOf(ids[4])...)
		for _, name := range slices.Compact(machines) {
			if m.intn(2) == 0 {
				m.cutMachines(name)
			} else {
				m.worker(name).SetHanging(true)
				m.later(m.span(3*time.Second, 30*time.Second), func() { m.worker(name).SetHanging(false) })
			}
		}
		m.later(m.span(0, 3*time.Second), func() { m.users.cancel(ids[0]) })
		m.later(m.span(0, 3*time.Second), func() { m.users.cancel(ids[4]) })
		time.Sleep(m.span(0, 4*time.Second))
		m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		m.waitGone()
		m.took(m.heard(ids[0]) == jobs.StatusCancelled && m.heard(ids[4]) == jobs.StatusCancelled, "the jobs were not cancelled")
		m.cancelAll(ids)
	})
}

// TestMeetLimitLeaderChangesCancel: a team is at its limit when the leader
// changes, some of its machines can't be asked, and a cancellation falls into
// that spell.
func TestMeetLimitLeaderChangesCancel(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		ids := m.atLimit()
		for i, name := range slices.Compact(append(m.machinesOf(ids[2]), m.machinesOf(ids[3])...)) {
			switch i % 3 {
			case 0:
				m.cutMachines(name)
			case 1:
				m.worker(name).CutOutgoing(true)
			default:
				m.worker(name).CutIncoming(true)
			}
		}
		old := m.lead("")
		m.kill(old)
		m.later(m.span(0, 4*time.Second), func() { m.users.cancel(ids[2]) })
		m.later(m.span(0, 9*time.Second), func() { m.users.cancel(ids[3]) })
		time.Sleep(m.span(100*time.Millisecond, 4*time.Second))
		m.start(number(old))
		m.lead("")
		m.waitGone()
		m.took(m.heard(ids[2]) == jobs.StatusCancelled && m.heard(ids[3]) == jobs.StatusCancelled, "the jobs were not cancelled")
		m.cancelAll(ids)
	})
}

// TestMeetCancelWhileHandingOver: jobs are cancelled in the seconds in which one
// controller's work changes hands.
func TestMeetCancelWhileHandingOver(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		var ids []string
		for n := range 6 {
			ids = append(ids, m.run(long([]string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindGang}[n/4], 2, 120)))
		}
		m.stands(ids[0])
		old := m.lead("")
		for _, id := range ids {
			m.later(m.span(0, 6*time.Second), func() { m.users.cancel(id); m.look(id) })
		}
		time.Sleep(m.span(0, time.Second))
		m.kill(old)
		time.Sleep(m.span(50*time.Millisecond, 5*time.Second))
		m.start(number(old))
		m.lead("")
		m.waitGone()
		for _, id := range ids {
			m.took(m.heard(id) == jobs.StatusCancelled, "%s is %s", id, m.heard(id))
		}
	})
}

// TestMeetCancelAtTheEnd: a cancellation, a question or a repeated submission
// meets the end of a job's last task.
func TestMeetCancelAtTheEnd(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		outcomes := map[string]int{}
		m.judge.ended = func(id workers.TaskID) {
			m.users.wait.Go(func() {
				m.rest(m.span(0, 700*time.Millisecond))
				switch m.intn(3) {
				case 0:
					m.look(id.Job)
				default:
					m.users.cancel(id.Job)
					m.look(id.Job)
				}
			})
		}
		var ids []string
		for n := range 12 {
			j := testJob(0, []string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindGang}[n%2], 1+n%3)
			j.ExpectedS = 4 + float64(n)
			ids = append(ids, m.run(j))
		}
		time.Sleep(50 * time.Second)
		for _, id := range ids {
			outcomes[m.heard(id)]++
		}
		m.took(outcomes[jobs.StatusDone] > 0 && outcomes[jobs.StatusCancelled] > 0, "outcomes %v", outcomes)
	})
}

// TestMeetCommandHeldUp: a command or its answer is held up for seconds, and the
// machine then goes on.
func TestMeetCommandHeldUp(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		var ids []string
		for n := range 4 {
			ids = append(ids, m.run(long([]string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindGang}[n/2], 3, 90)))
		}
		hung := 0
		for _, id := range ids {
			m.stands(id)
			for _, name := range slices.Compact(m.machinesOf(id))[:1] {
				m.worker(name).SetHanging(true)
				hung++
				m.later(m.span(time.Second, 16*time.Second), func() { m.worker(name).SetHanging(false) })
			}
			m.later(m.span(0, 3*time.Second), func() { m.users.cancel(id) })
		}
		for n := range 4 {
			m.run(testJob(0, []string{"a", "b"}[n%2], jobs.KindArray, 3))
		}
		if m.intn(2) == 0 {
			m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		}
		m.waitGone()
		m.took(hung == 4, "%d machines hung", hung)
	})
}
