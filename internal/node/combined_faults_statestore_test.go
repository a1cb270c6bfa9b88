package node

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
	"thornnotch/internal/workers"
)

// Faults of the state service that meet with another fault.

// refusalOutage is one run of TestCombinedSlowStateRefusalOutage.
type refusalOutage struct {
	*scenario
	seed      uint64
	jobs      []string
	cancelled []string // the jobs that users cancel between refusal and outage
	leader    string   // whom the state service refuses
	others    []int
	apart     time.Duration // between refusal and outage
	refusedAt time.Time
}

// TestCombinedSlowStateRefusalOutage: the state service answers slowly, then refuses
// the leader alone, then everybody for longer than cancel_s, while users cancel
// and ask. With the refusal and the outage nearer together or further apart this
// is the gap: another node confirms cancellations that the leader can't see.
func TestCombinedSlowStateRefusalOutage(t *testing.T) {
	// Nearer together and further apart, also beyond an election.
	for seed, apart := range []time.Duration{
		300 * time.Millisecond, time.Second, 2 * time.Second, 2600 * time.Millisecond,
		3 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 8 * time.Second,
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenarioOnce(t, smallSite(), uint64(seed), nil, func(sc *scenario) {
				run := &refusalOutage{scenario: sc, seed: uint64(seed), apart: apart}
				run.submitLongJobs()
				slow := run.slowDownState()
				run.refuseLeader()
				run.cancelThroughOthers()
				time.Sleep(apart)
				sc.state.SetOutage(true)
				confirmed := sc.countStatuses(run.cancelled)[jobs.StatusCancelled]
				run.restartNodes()
				time.Sleep(sc.rules.cancelWithin + sc.duration(4*time.Second, 20*time.Second) - time.Since(run.refusedAt) + apart)
				sc.rules.checkRunning()
				sc.checkTookPlace(confirmed > 0 || apart < time.Second || slow, "nothing was confirmed before the outage")
				sc.checkTookPlace(sc.state.Counts().Refused > 0, "the state service refused nobody")
				run.endOutage()
			})
		})
	}
}

// submitLongJobs has five jobs run, of which users will cancel four.
func (r *refusalOutage) submitLongJobs() {
	r.t.Helper()
	for n := range 5 {
		r.jobs = append(r.jobs, r.submitNext(longJob(teamOf(n), kindOf(n/3), 3, 200)))
	}
	r.waitRunning(r.jobs...)
	r.cancelled = r.jobs[:4]
}

// slowDownState has the state service answer slowly with every second seed.
func (r *refusalOutage) slowDownState() (slow bool) {
	if r.seed%2 == 0 {
		return false
	}
	r.state.SetFate(func(string, int) simulator.Fate {
		return simulator.Fate{Slow: r.duration(0, 900*time.Millisecond)}
	})
	time.Sleep(3 * time.Second)
	return true
}

// refuseLeader has the state service refuse the leader alone.
func (r *refusalOutage) refuseLeader() {
	r.t.Helper()
	r.leader = r.nextLeader("")
	r.others = []int{(nodeNumber(r.leader) + 1) % 3, (nodeNumber(r.leader) + 2) % 3}
	r.state.RefuseHost(r.leader, true)
	r.refusedAt = time.Now()
}

// cancelThroughOthers has users cancel jobs through the other nodes before the outage;
// a machine of the last one hangs into it.
func (r *refusalOutage) cancelThroughOthers() {
	for i, id := range r.cancelled {
		r.after(r.duration(0, r.apart), func() {
			r.cancelAtUntilAnswered(r.others[i%2], id, 50*time.Millisecond)
		})
	}
	hanging := r.worker(r.machinesOf(r.cancelled[3])[0])
	r.after(r.duration(0, r.apart), func() { hanging.SetHanging(true) })
	r.after(r.apart+r.duration(5*time.Second, 30*time.Second), func() { hanging.SetHanging(false) })
}

// restartNodes ends nodes in the outage: the leader, or those who have confirmed
// cancellations, so that nobody is left to attest to them; with some seeds none.
func (r *refusalOutage) restartNodes() {
	switch r.seed % 4 {
	case 2:
		time.Sleep(r.duration(0, 10*time.Second))
		r.restartNode(r.leader, r.duration(100*time.Millisecond, 3*time.Second))
	case 1, 3:
		r.killNode(nodeName(r.others[0]))
		r.killNode(nodeName(r.others[1]))
		time.Sleep(r.duration(100*time.Millisecond, 5*time.Second))
		r.startNode(r.others[0])
		r.startNode(r.others[1])
	}
}

// endOutage has the state service answer everybody again, and all jobs cancelled.
func (r *refusalOutage) endOutage() {
	r.state.SetOutage(false)
	r.state.RefuseHost(r.leader, false)
	r.state.SetFate(nil)
	time.Sleep(3 * time.Second)
	r.cancelAll(r.jobs)
}

// TestOutageKeepsWork: while the state service is out for far longer than a leader
// is certain by itself and than leases last, the nodes attest to one another, and
// what runs goes on; nothing starts a second time.
func TestOutageKeepsWork(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		ids := []string{sc.submitNext(longJob("a", jobs.KindArray, 5, 150)), sc.submitNext(longJob("b", jobs.KindGang, 3, 150))}
		sc.waitRunning(ids...)
		before := sc.rules.startCount()
		sc.state.SetOutage(true)
		time.Sleep(sc.duration(60*time.Second, 100*time.Second))
		for _, id := range ids {
			if len(sc.machinesOf(id)) == 0 {
				sc.t.Errorf("%s was let go", id)
			}
		}
		if starts := sc.rules.startCount(); starts != before {
			sc.t.Errorf("%d tasks began in the outage", starts-before)
		}
		sc.state.SetOutage(false)
	})
}

// TestCombinedLateWrites: transactions without an answer are carried out late, after
// newer ones of the same controller.
func TestCombinedLateWrites(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		lost := sc.oneInEach(4)
		sc.state.SetFate(func(_ string, writes int) simulator.Fate {
			if lost(writes) {
				return simulator.Fate{Lost: true, After: sc.duration(200*time.Millisecond, 12*time.Second)}
			}
			return simulator.Fate{}
		})
		sc.runJobsAmidLostAnswers()
		time.Sleep(13 * time.Second)
		counts := sc.state.Counts()
		sc.checkTookPlace(counts.LateDone+counts.LateFailed > 10, "%+v", counts)
	})
}

// TestCombinedLostAnswers: transactions are carried out at once and only their
// answers are lost, while other nodes read what they wrote.
func TestCombinedLostAnswers(t *testing.T) {
	runScenario(t, nil, func(sc *scenario) {
		lost := sc.oneInEach(3)
		sc.state.SetFate(func(_ string, writes int) simulator.Fate { return simulator.Fate{Lost: lost(writes)} })
		sc.runJobsAmidLostAnswers()
		counts := sc.state.Counts()
		sc.checkTookPlace(counts.Lost > 10, "%+v", counts)
	})
}

// runJobsAmidLostAnswers has jobs come, end and be cancelled, and the leader end, while
// transactions get no answer.
func (sc *scenario) runJobsAmidLostAnswers() {
	sc.t.Helper()
	sc.rules.callOnDone(func(task workers.TaskID) {
		sc.users.goroutines.Go(func() {
			if sc.intn(3) == 0 {
				sc.cancelAt(sc.intn(3), task.Job)
			}
			sc.queryAllNodes(task.Job)
		})
	})
	for n := range 10 {
		job := testJob(0, teamOf(n), mostlyArrays(n), 2)
		job.ExpectedS = 6
		id := sc.submitNext(job)
		sc.users.goroutines.Go(func() { sc.queryAllNodes(id) })
		if n%3 == 0 {
			sc.after(sc.duration(0, 10*time.Second), func() { sc.cancel(id); sc.queryAllNodes(id) })
		}
		if n == 5 {
			sc.restartLeader(sc.duration(100*time.Millisecond, 3*time.Second))
		}
		time.Sleep(sc.duration(0, 3*time.Second))
	}
	time.Sleep(15 * time.Second)
}
