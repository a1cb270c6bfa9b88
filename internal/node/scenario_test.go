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

	"thornnotch/internal/jobs"
)

// When two troubles meet, rules break. Each test here brings one such meeting
// about on a whole site of stand-ins, several times with timings drawn anew,
// while users ask at all nodes. It fails if a rule breaks, if a user hears
// anything older than before, if a job is forgotten or waits for ever, and also
// if the trouble did not take place. docs/design.md has the table.

const scenariosEach = 3

// scenario is one meeting being played.
type scenario struct {
	*site
	*users
	t    *testing.T
	last int // number of the latest job
	ids  []string
}

// meet plays a meeting with several seeds.
func meet(t *testing.T, prepare func(*site), act func(*scenario)) {
	t.Helper()
	for seed := range uint64(scenariosEach) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { meetOnce(t, small(), seed, prepare, act) })
	}
}

func meetOnce(t *testing.T, lay layout, seed uint64, prepare func(*site), act func(*scenario)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSiteOf(t, ctx, lay)
		if prepare != nil {
			prepare(s)
		}
		users, home := context.WithCancel(ctx)
		m := &scenario{site: s, users: newUsers(s, users, rand.New(rand.NewPCG(seed, 16))), t: t, last: s.names}
		defer s.wait.Wait()
		defer cancel()
		defer s.state.Close()
		defer m.users.wait.Wait()
		defer home()
		for i := range lay.nodes {
			s.start(i)
		}
		s.until(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.until(10*time.Second, "readiness", func() bool { c, _ := s.call(0, "GET", "/ready", nil); return c == http.StatusOK })
		m.users.wait.Go(func() {
			for users.Err() == nil {
				m.rest(500 * time.Millisecond)
				s.judge.look()
			}
		})
		for n := range 4 {
			m.run(testJob(0, []string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindArray, jobs.KindGang}[n%3], 3))
		}
		s.until(60*time.Second, "running", func() bool { _, st := m.poll(0, m.ids[0]); return st == jobs.StatusRunning })
		act(m)
		m.calm()
		m.verdict()
	})
}

// run submits a job under the next name and follows it.
func (m *scenario) run(j *jobs.Spec) string {
	m.t.Helper()
	m.last++
	j.ID = fmt.Sprintf("j-%06d", m.last)
	if !m.users.submit(j) {
		m.t.Errorf("%s was not accepted within a minute", j.ID)
	}
	m.ids = append(m.ids, j.ID)
	m.follow(j.ID)
	return j.ID
}

// long is a job that runs until it is cancelled, or for that long.
func long(owner, shape string, pieces int, runs float64) *jobs.Spec {
	j := testJob(0, owner, shape, pieces)
	j.ExpectedS = runs
	return j
}

// stands waits until all of a job's tasks are on machines.
func (m *scenario) stands(id string) {
	m.t.Helper()
	m.users.mu.Lock()
	pieces := m.known[id].job.Tasks
	m.users.mu.Unlock()
	m.until(90*time.Second, id+" on machines", func() bool { return len(m.machinesOf(id)) == pieces })
}

// machinesOf lists the machines of a job's tasks.
func (m *scenario) machinesOf(id string) (out []string) {
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
func (m *scenario) took(ok bool, format string, args ...any) {
	m.t.Helper()
	if !ok {
		m.t.Errorf("the trouble did not take place: "+format, args...)
	}
}

// endNode ends a process and has it back after a while.
func (m *scenario) endNode(label string, back time.Duration) {
	m.kill(label)
	time.Sleep(back)
	m.start(int(label[4] - '0'))
}

// lead waits for a leader, other than one if it is named.
func (m *scenario) lead(but string) string {
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

// cutMachines cuts machines off from all nodes, both ways.
func (m *scenario) cutMachines(names ...string) {
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
func (m *scenario) all() (out []string) {
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
func (m *scenario) oneOf(n int) func(writes int) bool {
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
func (m *scenario) calm() {
	m.state.SetFate(nil)
	m.state.SetOutage(false)
	m.cloud.SetOutage(false)
	m.away = nil
	for i := range m.layout.nodes {
		m.state.RefuseHost(fmt.Sprint("rig-", i), false)
		if m.nodes[fmt.Sprint("rig-", i)] == nil {
			m.start(i)
		}
	}
	for _, p := range m.nodes {
		p.host.DelayPackets(nil)
	}
	m.heal()
	for _, name := range m.all() {
		w := m.worker(name)
		w.CutIncoming(false)
		w.CutOutgoing(false)
		w.SetHanging(false)
		m.places[name].host.DelayPackets(nil)
	}
}

// verdict is what must always hold after the troubles: each job is answered by
// each node within 75 s, those that were not cancelled run to their end, those
// that were stay cancelled, and no rule is broken.
func (m *scenario) verdict() {
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
			return st == jobs.StatusDone || st == jobs.StatusCancelled
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
func (m *scenario) waitGone() { time.Sleep(m.judge.late + time.Second) }

// cancelAll cancels the jobs that would run for very long, so that a meeting
// comes to its end.
func (m *scenario) cancelAll(ids []string) {
	for _, id := range ids {
		m.users.cancel(id)
	}
}
