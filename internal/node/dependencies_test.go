package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
	"thornnotch/internal/workers"
)

// Jobs that wait for others, on a whole site: no task begins before all that its
// job needs is done, and what comes after a cancelled job is cancelled, as every
// node says, through whatever else happens.

// chains submits chains and diamonds of jobs, each as soon as those that it needs
// are accepted, and tells their names: the first ones, and all that wait.
func (m *scenario) chains(n int) (first, after []string) {
	for k := range n {
		var stage []string
		for i := range 1 + k%2 {
			j := testJob(0, []string{"a", "b"}[(k+i)%2], jobs.KindArray, 2)
			j.ExpectedS = 4 + float64(m.intn(8))
			stage = append(stage, m.run(j))
		}
		first = append(first, stage...)
		for d := range 3 {
			var next []string
			for i := range 1 + (k+d)%2 {
				j := testJob(0, []string{"a", "b"}[(k+d+i)%2], []string{jobs.KindArray, jobs.KindGang}[d%2], 1+m.intn(3))
				j.ExpectedS, j.DependsOn = 3+float64(m.intn(5)), append(append([]string{}, stage...), stage[0])
				next = append(next, m.run(j))
			}
			after = append(after, next...)
			stage = next
		}
	}
	return first, after
}

func chainScenarios(t *testing.T, act func(m *scenario, first, after []string)) {
	meet(t, nil, func(m *scenario) {
		first, after := m.chains(4)
		act(m, first, after)
	})
}

// outcomes counts how jobs ended, as users were told.
func (m *scenario) outcomes(ids []string) map[string]int {
	out := map[string]int{}
	for _, id := range ids {
		out[m.heard(id)]++
	}
	return out
}

// TestChains: all run in their order over changes of leader.
func TestChains(t *testing.T) {
	chainScenarios(t, func(m *scenario, first, after []string) {
		for range 4 {
			time.Sleep(m.span(0, 12*time.Second))
			m.endNode(m.lead(""), m.span(50*time.Millisecond, 4*time.Second))
		}
		m.verdict()
		if n := m.outcomes(after); n[jobs.StatusDone] != len(after) {
			m.t.Errorf("outcomes %v of %d", n, len(after))
		}
	})
}

// TestChainsCancelled: jobs before others are cancelled, some at their very end,
// amid lost and late answers and the leader's end. What comes after each one shares
// its outcome.
func TestChainsCancelled(t *testing.T) {
	chainScenarios(t, func(m *scenario, first, after []string) {
		m.state.SetFate(func(_ string, writes int) simulator.Fate {
			switch {
			case writes == 0:
				return simulator.Fate{}
			case writes > 2 && m.intn(2) == 0: // the log: a cancellation may overtake it
				return simulator.Fate{Slow: m.span(300*time.Millisecond, 1300*time.Millisecond)}
			case m.intn(8) > 0:
				return simulator.Fate{}
			case m.intn(2) == 0:
				return simulator.Fate{Lost: true}
			}
			return simulator.Fate{Lost: true, After: m.span(time.Second, 8*time.Second)}
		})
		m.judge.mu.Lock()
		m.judge.ended = func(id workers.TaskID) {
			// Its tasks may all be done, and its end not be written yet.
			if slices.Contains(first, id.Job) {
				m.later(m.span(0, 700*time.Millisecond), func() { m.cancelAt(m.intn(3), id.Job) })
			}
		}
		m.judge.mu.Unlock()
		for i, id := range first {
			if i%2 == 0 {
				m.later(m.span(0, 14*time.Second), func() {
					m.users.cancel(id)
					for _, id := range after {
						m.look(id)
					}
				})
			}
		}
		m.later(m.span(0, 20*time.Second), func() { m.users.cancel(after[0]); m.look(after[1]) })
		time.Sleep(m.span(0, 10*time.Second))
		m.endNode(m.lead(""), m.span(50*time.Millisecond, 3*time.Second))
		time.Sleep(30 * time.Second)
		m.calm()
		m.verdict()
		m.family()
	})
}

// family demands that every job shares the fate of what is before it.
func (m *scenario) family() {
	m.t.Helper()
	m.users.mu.Lock()
	defer m.users.mu.Unlock()
	off := 0
	for id, k := range m.known {
		cancelled, _ := m.offBefore(id)
		if cancelled {
			off++
		}
		if cancelled && k.state != jobs.StatusCancelled || !cancelled && !k.called && k.state != jobs.StatusDone {
			m.t.Errorf("%s is %s; one before it cancelled: %v", id, k.state, cancelled)
		}
	}
	m.took(off > 0, "nothing was cancelled with one before it")
}

// TestChainCancelledThenOutage: a job is cancelled, and before its leader can write
// anything the state service is out for longer than cancel_s, all nodes end, and
// one comes back. What waits is called cancelled by every node as soon as it can be
// asked.
func TestChainCancelledThenOutage(t *testing.T) {
	chainScenarios(t, func(m *scenario, first, after []string) {
		lead := m.lead("")
		if m.intn(2) == 0 {
			m.kill(lead) // nobody leads as it is cancelled
		}
		for _, id := range first {
			if st := m.users.cancel(id); st != jobs.StatusCancelled && st != jobs.StatusDone {
				m.t.Errorf("%s: %q", id, st)
			}
		}
		m.state.SetOutage(true)
		time.Sleep(m.span(time.Second, 5*time.Second))
		for label := range m.nodes {
			m.kill(label)
		}
		time.Sleep(m.judge.late)
		m.start(number(lead))
		m.state.SetOutage(false)
		m.until(20*time.Second, "an answer", func() bool { c, _ := m.poll(number(lead), after[0]); return c == http.StatusOK })
		for _, id := range after {
			m.until(10*time.Second, id+" answered", func() bool { c, _ := m.poll(number(lead), id); return c == http.StatusOK })
		}
		m.calm()
		m.verdict()
		m.family()
	})
}

// TestWaitingHoldsNothing: a job that waits holds no part of its team's limit or
// guarantee, and rents no machine.
func TestWaitingHoldsNothing(t *testing.T) {
	meetOnce(t, small(), 3, nil, func(m *scenario) {
		up := m.run(long("a", jobs.KindArray, 2, 60))
		m.stands(up)
		big := long("a", jobs.KindGang, 10, 20)
		big.DependsOn = []string{up}
		id := m.run(big)
		other := m.run(long("a", jobs.KindArray, 10, 5)) // fits only beside the first
		m.until(40*time.Second, "the other team mate", func() bool { return m.heard(other) == jobs.StatusDone })
		if st := m.heard(id); st != jobs.StatusPending {
			m.t.Errorf("the job that waits is %s", st)
		}
		m.until(3*time.Minute, "the job that waited", func() bool { return m.heard(id) == jobs.StatusDone })
	})
}

// TestLongChain: a chain of hundreds, and a job with hundreds after it, are cancelled
// by one cancellation, whatever that takes of transactions.
func TestLongChain(t *testing.T) {
	meetOnce(t, small(), 4, nil, func(m *scenario) {
		up := m.run(long("a", jobs.KindArray, 1, 300))
		last := up
		submit := func(n int, needs ...string) string {
			j := testJob(n, "b", jobs.KindArray, 1)
			j.DependsOn = needs
			if !m.users.submit(j) {
				m.t.Fatalf("%s was not accepted", j.ID)
			}
			return j.ID
		}
		var all []string
		for n := range 150 {
			last = submit(1000+n, last)
			all = append(all, last, submit(2000+n, up))
		}
		if st := m.users.cancel(up); st != jobs.StatusCancelled {
			m.t.Fatalf("the first is %s", st)
		}
		for i := range 3 {
			if _, st := m.poll(i, last); st != jobs.StatusCancelled {
				m.t.Errorf("node %d says at once that the last of the chain is %q", i, st)
			}
		}
		m.until(m.judge.late, "final records", func() bool { return len(m.state.Keys(jobs.OpenPrefix)) == 0 })
		for _, id := range all {
			if _, st := m.poll(m.intn(3), id); st != jobs.StatusCancelled {
				m.t.Errorf("%s is %s", id, st)
			}
		}
	})
}

// TestNamesACancelledJob: a job that names a cancelled one is accepted, and called
// cancelled by every node from its first answer on; so is one that names that, also
// where the list names jobs that are done or run. Nothing of them ever runs. What can't
// be checked is told so, and not that it is unknown.
func TestNamesACancelledJob(t *testing.T) {
	meetOnce(t, small(), 15, nil, func(m *scenario) {
		done := m.run(testJob(0, "a", jobs.KindArray, 1))
		runs := m.run(long("b", jobs.KindArray, 1, 200))
		off := m.run(long("a", jobs.KindArray, 1, 200))
		m.until(time.Minute, "one done", func() bool { return m.heard(done) == jobs.StatusDone })
		if st := m.users.cancel(off); st != jobs.StatusCancelled {
			m.t.Fatalf("the cancellation is answered %q", st)
		}
		names := func(n int, list ...string) *jobs.Spec {
			j := testJob(n, "b", jobs.KindArray, 2)
			j.DependsOn = list
			m.know(j)
			return j
		}
		before := off
		for n := range 6 {
			j := names(700+n, done, before, runs)
			m.until(10*time.Second, j.ID+" accepted", func() bool {
				code, st := m.submitted(n%3, j)
				if code == http.StatusCreated && st.Status != jobs.StatusCancelled {
					m.t.Errorf("%s is accepted as %s", j.ID, st.Status)
				}
				return code == http.StatusCreated
			})
			for i := range 3 {
				if code, st := m.submitted(i, j); code != http.StatusOK || st.Status != jobs.StatusCancelled {
					m.t.Errorf("its repeat at node %d got %d, %s", i, code, st.Status)
				}
				m.until(3*time.Second, "an answer", func() bool { c, st := m.poll(i, j.ID); return c == http.StatusOK && st == jobs.StatusCancelled })
			}
			before = j.ID
		}
		m.until(m.judge.late, "final records", func() bool { return len(m.state.Keys(jobs.OpenPrefix)) == 1 })
		m.judge.mu.Lock()
		for id := range m.judge.owner {
			if id >= "j-000700" && id < "j-000710" {
				m.judge.fail("a task of %s ran", id)
			}
		}
		m.judge.mu.Unlock()
		m.state.SetOutage(true)
		if code, _ := m.submitted(1, names(720, "j-777777")); code != http.StatusServiceUnavailable {
			m.t.Errorf("without the state service a name that can't be checked got %d", code)
		}
		m.state.SetOutage(false)
		m.users.cancel(runs)
	})
}

// TestWaitsOnInput: what users may name, at any node and by lists of any length.
func TestWaitsOnInput(t *testing.T) {
	lay := small()
	lay.params.State.ValueKB, lay.params.State.TxnOps = 2, 4
	meetOnce(t, lay, 5, nil, func(m *scenario) {
		up := m.run(testJob(0, "a", jobs.KindArray, 1))
		named := func(n int, list ...string) *jobs.Spec {
			j := testJob(n, "a", jobs.KindArray, 1)
			j.DependsOn = list
			return j
		}
		for i, c := range []struct {
			list []string
			want int
		}{{[]string{up, up}, 201}, {[]string{"j-777777"}, 422}, {[]string{"j-000502"}, 422}, {[]string{up, "x"}, 400}, {[]string{""}, 400}, {[]string{}, 201}} {
			j := named(500+i, c.list...)
			m.know(j)
			m.until(5*time.Second, "an answer", func() bool {
				code := m.users.submitAt(m.intn(3), j)
				if code != 503 && code != c.want {
					m.t.Errorf("%v got %d, want %d", c.list, code, c.want)
				}
				return code == c.want
			})
		}
		if code := m.users.submitAt(1, named(500, "j-777777")); code != 200 {
			m.t.Errorf("a repeat that names another got %d", code)
		}
		m.until(2*time.Minute, "done", func() bool { _, st := m.poll(0, "j-000500"); return st == jobs.StatusDone })
		// As long a list as a body takes, each job of it accepted; some are over.
		var list []string
		for n := range 400 {
			j := named(10000 + n)
			j.ExpectedS = 400
			if n%8 != 0 {
				j.DependsOn = []string{fmt.Sprintf("j-%06d", 10000+n-n%8)}
			}
			if !m.users.submit(j) {
				m.t.Fatalf("%s was not accepted", j.ID)
			}
			list = append(list, j.ID)
		}
		if !m.users.submit(named(600, list...)) {
			m.t.Fatal("a long list is not accepted")
		}
		m.endNode(m.lead(""), time.Second) // it must be read whole by another, too
		m.lead("")
		if _, st := m.poll(2, "j-000600"); st != jobs.StatusPending {
			m.t.Errorf("it is %s", st)
		}
		m.users.cancel(list[len(list)-8])
		for i := range 3 {
			m.until(4*time.Second, "the last job cancelled", func() bool { _, st := m.poll(i, "j-000600"); return st == jobs.StatusCancelled })
		}
		for _, id := range list {
			m.later(0, func() { m.users.cancel(id) })
		}
		time.Sleep(20 * time.Second)
	})
}

// TestLimitsFall: the state service lowers its limits without notice, to what the
// settings announce, while jobs come and end and a leader does. No request is too
// large, the rate is found from the refusals, and all goes on.
func TestLimitsFall(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			lay := small()
			kb, ops, rate := 2.0, 4, 20.0
			lay.params.State.Next = &config.UpcomingStateLimits{ValueKB: &kb, TxnOps: &ops, WriteRPS: &rate}
			lay.params.State.ValueKB, lay.params.State.TxnOps = kb, ops // as the settings are read
			meetOnce(t, lay, seed, nil, func(m *scenario) {
				m.chains(3)
				m.state.SetLimits(simulator.RequestLimits{ValueBytes: 2048, WritesPerTxn: 4, WritesPerSecond: rate})
				for n := range 60 {
					j := testJob(0, []string{"a", "b"}[n%2], jobs.KindArray, 1)
					j.ExpectedS = 1
					m.run(j)
					if n == 30 {
						m.endNode(m.lead(""), m.span(100*time.Millisecond, 3*time.Second))
					}
					time.Sleep(m.span(0, 300*time.Millisecond))
				}
				time.Sleep(10 * time.Second)
				c := m.state.Counts()
				if c.TooLarge > 0 {
					m.t.Errorf("%d requests were too large", c.TooLarge)
				}
			})
		})
	}
}

// TestSmallerThanAnnounced: the limits on sizes fall to less than anybody announced,
// amid lost answers. The leader writes smaller transactions and goes on.
func TestSmallerThanAnnounced(t *testing.T) {
	meetOnce(t, small(), 7, nil, func(m *scenario) {
		m.chains(2)
		m.state.SetFate(func(_ string, writes int) simulator.Fate { return simulator.Fate{Lost: writes > 2 && m.intn(4) == 0} })
		m.state.SetLimits(simulator.RequestLimits{ValueBytes: 4096, WritesPerTxn: 4})
		for n := range 10 {
			m.run(testJob(0, []string{"a", "b"}[n%2], jobs.KindArray, 6))
		}
		time.Sleep(40 * time.Second)
		m.took(m.state.Counts().TooLarge > 0, "nothing was too large")
		m.state.SetFate(nil)
	})
}
