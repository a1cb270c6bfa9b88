package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
	"thornnotch/internal/workers"
)

// The rules that were added for all deployments, each on a whole site of
// stand-ins in fake time.

// trouble runs a site with a leader and some jobs under way, lets act do its
// worst, and then demands what is always demanded: every job that was accepted
// and not cancelled is answered by every node within 75 s of the end of the
// troubles and ends as done, and no rule is broken.
func trouble(t *testing.T, prepare func(*site), act func(s *site, add func(*jobs.Spec))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(t, ctx)
		if prepare != nil {
			prepare(s)
		}
		defer s.wait.Wait()
		defer cancel()
		defer s.state.Close()
		for i := range 3 {
			s.start(i)
		}
		s.until(10*time.Second, "a leader", func() bool { return s.leader() != "" })
		s.until(10*time.Second, "readiness", func() bool { c, _ := s.call(0, "GET", "/ready", nil); return c == http.StatusOK })
		var ids []string
		add := func(j *jobs.Spec) {
			t.Helper()
			s.until(60*time.Second, "acceptance of "+j.ID, func() bool {
				for n := range 3 {
					if c := s.submit(n, j); c == http.StatusCreated || c == http.StatusOK {
						return true
					}
				}
				return false
			})
			ids = append(ids, j.ID)
		}
		for n := range 5 {
			add(testJob(n, []string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindArray, jobs.KindGang}[n%3], 3))
		}
		s.until(60*time.Second, "running", func() bool { return s.status(0, ids[0]) == jobs.StatusRunning })
		act(s, add)
		healed := time.Now()
		for i := range 3 {
			for _, id := range ids {
				s.until(75*time.Second-time.Since(healed), fmt.Sprintf("an answer for %s at node %d", id, i), func() bool {
					st := s.status(i, id)
					return st == jobs.StatusPending || st == jobs.StatusRunning || st == jobs.StatusDone || st == jobs.StatusCancelled
				})
			}
		}
		for _, id := range ids {
			s.until(4*time.Minute, id+" over", func() bool { st := s.status(0, id); return st == jobs.StatusDone || st == jobs.StatusCancelled })
		}
		s.noRuleBroken()
	})
}

// placements counts, from the nodes' logs, the tasks given to each machine.
type placements struct {
	slog.Handler
	mu      *sync.Mutex
	machine map[string]int
	bad     map[string]bool // machines taken for faulty
}

func (p placements) Enabled(context.Context, slog.Level) bool { return true }

func (p placements) Handle(ctx context.Context, r slog.Record) error {
	if faulty := r.Message == "machine quarantined"; faulty || r.Message == "placed" {
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "machine" || a.Key == "rig" {
				p.mu.Lock()
				if faulty {
					p.bad[a.Value.String()] = true
				} else {
					p.machine[a.Value.String()]++
				}
				p.mu.Unlock()
			}
			return true
		})
	}
	return p.Handler.Handle(ctx, r)
}

func (p placements) WithAttrs(list []slog.Attr) slog.Handler {
	p.Handler = p.Handler.WithAttrs(list)
	return p
}

func (p placements) on(machine string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine[machine]
}

func (p placements) found(machine string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bad[machine]
}

// on names a machine that runs something, as the judge sees it.
func (s *site) on() string {
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	least := ""
	for _, machine := range s.judge.on {
		if least == "" || machine < least {
			least = machine
		}
	}
	return least
}

func (s *site) worker(name string) *simulator.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[name]
}

// TestOneWayCut: machines whose reports arrive but that answers and commands
// do not reach. Their tasks end elsewhere without a task on two machines, even
// while the cut lasts, and new work does not wait for them.
func TestOneWayCut(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		name := s.on()
		s.worker(name).CutIncoming(true)
		time.Sleep(30 * time.Second) // its lease is over, and it has gone round all nodes
		before := s.placed.on(name)
		s.mu.Lock()
		zone := s.places[name].zone
		s.mu.Unlock()
		for n := 20; n < 24; n++ {
			// What would suit it best.
			j := testJob(n, "a", jobs.KindArray, 2)
			j.Zone, j.AllowSpot = zone, false
			add(j)
		}
		// While the machine is cut off all along, every job is done in time:
		// the slowest waits for one lease to end.
		begun := time.Now()
		for n := 20; n < 24; n++ {
			id := fmt.Sprintf("j-%06d", n)
			s.until(75*time.Second-time.Since(begun), id+" although a machine is deaf", func() bool { return s.status(1, id) == jobs.StatusDone })
		}
		if n := s.placed.on(name) - before; n > 0 {
			t.Errorf("the deaf machine was given %d more tasks", n)
		}
		s.worker(name).CutIncoming(false)
	})
}

// TestLateCopiesOfReports: copies of every report come seconds, half a lease
// and two leases late, also over a takeover.
func TestLateCopiesOfReports(t *testing.T) {
	trouble(t, func(s *site) { s.copies = []time.Duration{3 * time.Second, 7 * time.Second, 26 * time.Second} },
		func(s *site, add func(*jobs.Spec)) {
			time.Sleep(10 * time.Second)
			lead := s.leader()
			s.kill(lead)
			s.until(10*time.Second, "a new leader", func() bool { l := s.leader(); return l != "" && l != lead })
			add(testJob(30, "a", jobs.KindGang, 3))
			s.start(int(lead[4] - '0'))
			for n := 31; n < 35; n++ {
				add(testJob(n, "b", jobs.KindArray, 4))
			}
			time.Sleep(30 * time.Second)
		})
}

// isolate cuts a node off from the state service and the other nodes, both
// ways; workers and users reach it as before.
func (s *site) isolate(label string) {
	for other, p := range s.nodes {
		if other == label {
			addrs := []string{"state:1"}
			for i := range s.layout.nodes {
				if fmt.Sprint("rig-", i) != label {
					addrs = append(addrs, fmt.Sprintf("node-%d:81", i))
				}
			}
			p.host.Cut(addrs...)
		} else {
			p.host.Cut("node-" + label[4:] + ":81")
		}
	}
}

func (s *site) heal() {
	for _, p := range s.nodes {
		p.host.Heal()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.places {
		p.host.Heal()
	}
}

// TestLeaderKeepsOnlyItsWorkers: a leader loses the state service and the
// other nodes but not its workers. Another leads, workers come under the new
// token, a job cancelled meanwhile is gone in time, and the cut-off node sends
// users elsewhere.
func TestLeaderKeepsOnlyItsWorkers(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		victim := testJob(40, "b", jobs.KindArray, 3)
		victim.ExpectedS = 400
		add(victim)
		s.until(60*time.Second, "the victim running", func() bool { return s.status(0, victim.ID) == jobs.StatusRunning })
		lead := s.leader()
		old := s.nodes[lead]
		s.isolate(lead)
		s.until(15*time.Second, "another leader", func() bool {
			for label, p := range s.nodes {
				if label != lead && p.node.leading.Load() != nil {
					return true
				}
			}
			return false
		})
		other := (int(lead[4]-'0') + 1) % 3
		s.until(5*time.Second, "the cancellation", func() bool {
			c, _ := s.call(other, "POST", "/work/"+victim.ID+"/cancel", nil)
			return c == http.StatusOK
		})
		cancelled := time.Now()
		if c, _ := s.call(int(lead[4]-'0'), "GET", "/ready", nil); c != http.StatusServiceUnavailable {
			t.Errorf("the cut-off node says that it is ready: %d", c)
		}
		add(testJob(41, "a", jobs.KindArray, 3))
		time.Sleep(37*time.Second - time.Since(cancelled))
		s.judge.mu.Lock()
		for task := range s.judge.on {
			if task.Job == victim.ID {
				t.Errorf("ran_cancelled: %v", task)
			}
		}
		s.judge.mu.Unlock()
		if old.node.leading.Load() != nil {
			t.Errorf("the cut-off node still leads")
		}
		s.heal()
	})
}

// cutZone cuts a node and the machines of its zone off from everything else.
func (s *site) cutZone(label string) {
	s.isolate(label)
	zone := zones[label[4]-'0']
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.places {
		if p.zone != zone {
			p.host.Cut("node-" + label[4:] + ":80")
			continue
		}
		for other, n := range s.nodes {
			if other != label {
				n.host.Cut(p.addr)
				p.host.Cut("node-" + other[4:] + ":80")
			}
		}
	}
}

// TestZoneCutOffFromEverything: the leader and the machines of its zone are cut
// off together, so no new token reaches them. A job that is cancelled
// meanwhile is gone there in time, as the leader lets its workers go.
func TestZoneCutOffFromEverything(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		lead := s.leader()
		zone := zones[lead[4]-'0']
		victim := testJob(45, "b", jobs.KindArray, 4)
		victim.ExpectedS, victim.Zone = 400, zone
		add(victim)
		s.until(90*time.Second, "the victim running", func() bool { return s.status(0, victim.ID) == jobs.StatusRunning })
		s.cloud.SetOutage(true) // nobody can take the machines back
		defer s.cloud.SetOutage(false)
		s.cutZone(lead)
		other := (int(lead[4]-'0') + 1) % 3
		s.until(8*time.Second, "the cancellation", func() bool {
			c, _ := s.call(other, "POST", "/work/"+victim.ID+"/cancel", nil)
			return c == http.StatusOK
		})
		cancelled := time.Now()
		add(testJob(46, "a", jobs.KindArray, 3))
		time.Sleep(37*time.Second - time.Since(cancelled))
		s.judge.mu.Lock()
		for task := range s.judge.on {
			if task.Job == victim.ID {
				t.Errorf("ran_cancelled: %v", task)
			}
		}
		s.judge.mu.Unlock()
		s.heal()
	})
}

// TestRefusedByTheStateServiceAlone: one node gets no answer from the state
// service while the others do; users that come to it are served all the same.
func TestRefusedByTheStateServiceAlone(t *testing.T) {
	for _, leads := range []bool{true, false} {
		trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
			who := s.leader()
			if !leads {
				who = fmt.Sprint("rig-", (int(who[4]-'0')+1)%3)
			}
			i := int(who[4] - '0')
			s.nodes[who].host.Cut("state:1")
			time.Sleep(6 * time.Second) // another leads by now, if need be
			for n := 50; n < 53; n++ {
				if c := s.submit(i, testJob(n, "a", jobs.KindArray, 2)); c != http.StatusCreated {
					t.Errorf("leads %v: a submission got %d", leads, c)
				}
				add(testJob(n, "a", jobs.KindArray, 2))
			}
			if st := s.status(i, "j-000050"); st != jobs.StatusPending && st != jobs.StatusRunning {
				t.Errorf("leads %v: a poll got %s", leads, st)
			}
			time.Sleep(20 * time.Second)
			s.heal()
		})
	}
}

// TestNodesRefuseOneAnother disturbs nothing: the same node leads, and users
// are answered everywhere.
func TestNodesRefuseOneAnother(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		lead := s.leader()
		for label := range s.nodes {
			var addrs []string
			for i := range 3 {
				addrs = append(addrs, fmt.Sprintf("node-%d:81", i))
			}
			s.nodes[label].host.Cut(addrs...)
		}
		for n := 60; n < 63; n++ {
			if c := s.submit(n%3, testJob(n, "a", jobs.KindArray, 2)); c != http.StatusCreated {
				t.Errorf("a submission got %d", c)
			}
			add(testJob(n, "a", jobs.KindArray, 2))
		}
		time.Sleep(20 * time.Second)
		for i := range 3 {
			if c, _ := s.call(i, "GET", "/ready", nil); c != http.StatusOK {
				t.Errorf("node %d is not ready: %d", i, c)
			}
		}
		if s.leader() != lead {
			t.Errorf("the lead went from %s to %s", lead, s.leader())
		}
		s.heal()
	})
}

// TestBackAtOnce: processes that are back a fraction of a second after their
// end, also in the middle of the election that it causes and of the takeover.
func TestBackAtOnce(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		again := func(label string, after time.Duration) {
			s.kill(label)
			time.Sleep(after)
			s.start(int(label[4] - '0'))
		}
		first := s.leader()
		again(first, 100*time.Millisecond)
		// It finds itself named as the holder and need not wait for the lease
		// of the process that is gone.
		s.until(1500*time.Millisecond, "the lead taken up again", func() bool { return s.leader() == first })
		for i, after := range []time.Duration{100, 300, 900, 50, 2600} {
			lead := s.leader()
			if lead == "" {
				lead = fmt.Sprint("rig-", i%3)
			}
			again(lead, after*time.Millisecond)
			add(testJob(70+i, "a", jobs.KindArray, 2))
			// The next one falls into the election or the takeover.
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
		}
		for _, label := range []string{"rig-0", "rig-1", "rig-2"} {
			again(label, 200*time.Millisecond)
		}
		add(testJob(80, "b", jobs.KindGang, 2))
	})
}

// TestRepeatedRequests: repeats of requests that were carried out, at any node
// and at any later time, change nothing.
func TestRepeatedRequests(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		j := testJob(90, "a", jobs.KindArray, 2)
		add(j)
		for i := range 3 {
			if c := s.submit(i, j); c != http.StatusOK {
				t.Errorf("node %d: a repeated submission got %d", i, c)
			}
		}
		s.until(2*time.Minute, "done", func() bool { return s.status(0, j.ID) == jobs.StatusDone })
		s.kill(s.leader())
		time.Sleep(5 * time.Second)
		for i := range 3 {
			if s.nodes[fmt.Sprint("rig-", i)] == nil {
				s.start(i)
			}
		}
		s.until(20*time.Second, "readiness", func() bool { c, _ := s.call(0, "GET", "/ready", nil); return c == http.StatusOK })
		for i := range 3 {
			s.until(10*time.Second, "the repeat", func() bool { return s.submit(i, j) == http.StatusOK })
			c, st := s.call(i, "POST", "/work/"+j.ID+"/cancel", nil)
			if c != http.StatusOK || st.Status != jobs.StatusDone {
				t.Errorf("node %d: a late cancellation got %d %s", i, c, st.Status)
			}
			if got := s.status(i, j.ID); got != jobs.StatusDone {
				t.Errorf("node %d: went_back: done is now %s", i, got)
			}
		}
		time.Sleep(20 * time.Second)
		s.judge.mu.Lock()
		defer s.judge.mu.Unlock()
		for i := range j.Tasks {
			if n := s.judge.done[workers.TaskID{Job: j.ID, Index: i}]; n != 1 {
				t.Errorf("task %d ran %d times", i, n)
			}
		}
	})
}

// TestFaultyMachines: machines that fail every task they start. Jobs of all shapes
// end in time although they meet them, over a takeover too, which forgets what was
// known; the machines get little and go back, and a job that was submitted with a
// mistake ends no good machine.
func TestFaultyMachines(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		s.mu.Lock()
		var faulty []string
		for name := range s.workers {
			faulty = append(faulty, name)
		}
		s.mu.Unlock()
		slices.Sort(faulty)
		faulty = faulty[:2]
		before := map[string]int{}
		for _, name := range faulty {
			s.worker(name).SetFaulty(true)
			before[name] = s.placed.on(name)
		}
		for n := 50; n < 58; n++ {
			add(testJob(n, []string{"a", "b"}[n%2], []string{jobs.KindArray, jobs.KindGang}[n%2], 3))
			if n == 53 {
				lead := s.leader()
				s.kill(lead)
				s.start(int(lead[4] - '0'))
			}
		}
		begun := time.Now()
		for n := 50; n < 58; n++ {
			id := fmt.Sprintf("j-%06d", n)
			s.until(2*time.Minute-time.Since(begun), id+" although machines fail", func() bool { return s.status(1, id) == jobs.StatusDone })
		}
		met := 0
		for _, name := range faulty {
			n := s.placed.on(name) - before[name]
			if n > 20 {
				t.Errorf("the faulty machine %s was given %d tasks", name, n)
			}
			if n > 0 {
				met++
				s.until(time.Minute, name+" found and given back", func() bool { return s.placed.found(name) && !s.cloud.IsRented(name) })
			}
		}
		if met == 0 {
			t.Errorf("no task met a faulty machine: nothing was tested")
		}
	})
}

// TestZonesApart: the leader's zone and another can't reach each other, while both
// reach the state service, the cloud and the users, for longer than a lease. What
// ran in the far zone begins again, on the leader's side meanwhile, and no task
// is on two machines; users are answered by all nodes.
func TestZonesApart(t *testing.T) {
	trouble(t, nil, func(s *site, add func(*jobs.Spec)) {
		lead := s.leader()
		near := zones[lead[4]-'0']
		far := zones[(int(lead[4]-'0')+1)%3]
		side := func(zone string) (out simulator.Side) {
			for label, p := range s.nodes {
				if zones[label[4]-'0'] == zone {
					out.Hosts = append(out.Hosts, p.host)
					out.Addrs = append(out.Addrs, "node-"+label[4:]+":80", "node-"+label[4:]+":81")
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, p := range s.places {
				if p.zone == zone {
					out.Hosts = append(out.Hosts, p.host)
					out.Addrs = append(out.Addrs, p.addr)
				}
			}
			return out
		}
		simulator.Partition(side(near), side(far))
		for n := 60; n < 66; n++ {
			add(testJob(n, "a", []string{jobs.KindArray, jobs.KindGang}[n%2], 3))
		}
		for i := range 3 {
			s.until(10*time.Second, fmt.Sprint("an answer from node ", i), func() bool { return s.status(i, "j-000060") != "" })
		}
		time.Sleep(40 * time.Second)
		if l := s.leader(); l == "" {
			t.Errorf("nobody leads")
		}
		s.heal()
	})
}
