package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// TestMeetNewMachinesWritesLag: new machines are up within two seconds and get
// work at once while writes lag, and the leader ends.
func TestMeetNewMachinesWritesLag(t *testing.T) {
	for seed := range uint64(scenariosEach) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			lay := small()
			lay.boots = 1500 * time.Millisecond
			meetOnce(t, lay, seed, nil, func(m *scenario) {
				lost := m.oneOf(4)
				m.state.SetFate(func(_ string, writes int) simulator.Fate {
					if writes == 0 {
						return simulator.Fate{}
					}
					if lost(writes) {
						return simulator.Fate{Lost: true, After: m.span(500*time.Millisecond, 6*time.Second)}
					}
					return simulator.Fate{Slow: m.span(100*time.Millisecond, time.Second)}
				})
				before := len(m.all())
				m.run(long("a", jobs.KindArray, 9, 40))
				gang := m.run(long("b", jobs.KindGang, 4, 40))
				m.until(60*time.Second, "new machines", func() bool { return len(m.all()) > before })
				time.Sleep(m.span(0, 4*time.Second))
				m.endNode(m.lead(""), m.span(100*time.Millisecond, 4*time.Second))
				time.Sleep(m.span(0, 5*time.Second))
				if m.intn(2) == 0 {
					m.users.cancel(gang)
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
	meet(t, func(s *site) { s.keep = 3 }, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 5, 25))
		gang := m.run(long("b", jobs.KindGang, 3, 25))
		m.stands(id)
		m.stands(gang)
		old := m.lead("")
		names := m.all()
		m.kill(old)
		next := m.lead(old)
		// It acts: one job is cancelled, others end and begin.
		m.users.cancel(gang)
		for range 3 {
			m.run(testJob(0, "b", jobs.KindArray, 2))
		}
		for _, name := range names {
			m.worker(name).CutOutgoing(true) // what it keeps stays the old
		}
		time.Sleep(m.span(0, 14*time.Second))
		sent := 0
		for _, name := range names {
			sent += m.worker(name).ResendHeartbeats(m.users.ctx, fmt.Sprintf("node-%d:80", number(next)))
		}
		m.took(sent > 0, "no report came late")
		for _, name := range names {
			m.worker(name).CutOutgoing(false)
		}
		m.start(number(old))
		m.waitGone()
	})
}

// TestMeetOldReportNewLeader: an old report reaches every controller just as a
// new leader begins.
func TestMeetOldReportNewLeader(t *testing.T) {
	meet(t, func(s *site) { s.keep = 2 }, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 5, 25))
		m.run(long("b", jobs.KindGang, 3, 25))
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
						m.worker(name).ResendHeartbeats(m.users.ctx, fmt.Sprintf("node-%d:80", i))
					}
				})
				sent++
			}
			begun = begun || m.leader() != ""
			time.Sleep(m.span(50*time.Millisecond, 400*time.Millisecond))
		}
		m.took(sent > 0 && begun, "%d reports, a leader %v", sent, begun)
		m.start(number(old))
		m.run(testJob(0, "a", jobs.KindGang, 3))
	})
}

// TestMeetZoneLosesMachines: jobs bound to one zone, arrays too, lose machines.
func TestMeetZoneLosesMachines(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		zone := zones[m.intn(3)]
		var ids []string
		for n := range 3 {
			j := long([]string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindGang}[n%2], 3, 40)
			j.Zone = zone
			ids = append(ids, m.run(j))
		}
		m.stands(ids[0])
		m.stands(ids[1])
		lost := 0
		for _, name := range slices.Compact(append(m.machinesOf(ids[0]), m.machinesOf(ids[1])...)) {
			if lost < 2 {
				m.cloud.Fail(name)
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

// TestMeetOldReports: old reports arrive after newer ones, also from an earlier
// session or attempt.
func TestMeetOldReports(t *testing.T) {
	meet(t, func(s *site) { s.copies = []time.Duration{3 * time.Second, 9 * time.Second, 21 * time.Second} }, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 6, 30))
		m.run(long("b", jobs.KindGang, 3, 30))
		m.stands(id)
		// Machines that lose their lease begin new sessions and attempts.
		deaf := m.machinesOf(id)[:2]
		for _, name := range deaf {
			m.worker(name).CutIncoming(true)
		}
		time.Sleep(m.span(13*time.Second, 20*time.Second))
		for _, name := range deaf {
			m.worker(name).CutIncoming(false)
		}
		time.Sleep(m.span(0, 6*time.Second))
		m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		m.run(testJob(0, "b", jobs.KindGang, 3))
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
	meet(t, nil, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 6, 30))
		gang := m.run(long("b", jobs.KindGang, 3, 60))
		m.stands(id)
		m.stands(gang)
		mute := slices.Compact(append(m.machinesOf(id)[:2], m.machinesOf(gang)...))
		for _, name := range mute {
			m.worker(name).CutOutgoing(true)
		}
		m.later(m.span(0, 15*time.Second), func() { m.users.cancel(gang) })
		if m.intn(2) == 0 {
			time.Sleep(m.span(0, 10*time.Second))
			m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
		}
		m.run(testJob(0, "a", jobs.KindArray, 2))
		time.Sleep(m.span(20*time.Second, 50*time.Second))
		m.took(len(mute) > 0, "no machine is mute")
	})
}

// TestMeetZoneCutOff: a zone with workers and a controller is cut off for longer
// than lease_s; jobs are cancelled meanwhile.
func TestMeetZoneCutOff(t *testing.T) {
	meet(t, nil, func(m *scenario) {
		lead := m.lead("")
		zone := zones[number(lead)]
		j := long("b", jobs.KindArray, 4, 200)
		j.Zone = zone
		id := m.run(j)
		m.stands(id)
		m.cutZone(lead)
		next := m.lead(lead)
		time.Sleep(m.span(0, 10*time.Second))
		m.took(m.cancelAt(number(next), id) == jobs.StatusCancelled, "not cancelled")
		m.run(testJob(0, "a", jobs.KindArray, 3))
		time.Sleep(m.span(14*time.Second, 40*time.Second))
		m.heal()
		m.waitGone()
	})
}
