package reservations

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/placement"
)

var (
	testOptions  = Options{Enabled: true, Alpha: 1.6, P: 0.4, Threshold: 0.8}
	testPipeline = placement.Pipeline{Team: "a", Class: "x"}
	oneTask      = placement.Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}
	t0           = time.Unix(1000, 0)
)

// fitsAll has every slot fit every downstream job.
func fitsAll(Downstream) bool { return true }

func ownedByTestPipeline(p placement.Pipeline) bool { return p == testPipeline }

// finishAll ends all tasks of one upstream job, ten seconds after its start, and tells
// for each whether its slot is reserved.
func finishAll(manager *Manager, upstreamTasks int, downstreams ...Downstream) (held []bool) {
	for i := range upstreamTasks {
		held = append(held, manager.TaskFinished(TaskFinish{
			Job: "j-1", Tasks: upstreamTasks, UpstreamStartedAt: t0, Runtime: 10 * time.Second,
			Machine: fmt.Sprint("m-", i), Fits: fitsAll, Downstreams: downstreams, Now: t0.Add(10 * time.Second),
		}))
	}
	return held
}

// TestHoldRule is the paper's m, n rule (section III-B, algorithm 1).
func TestHoldRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, n := rapid.IntRange(1, 40).Draw(t, "m"), rapid.IntRange(0, 40).Draw(t, "n")
		manager := NewManager(testOptions)
		reservedAll := finishAll(manager, m, Downstream{Pipeline: testPipeline, Job: "j-2", Tasks: n, TaskResources: oneTask})
		for i, reserved := range reservedAll {
			// n unknown counts as m; of m > n the first m-n release.
			if want := n == 0 || i >= m-n; reserved != want {
				t.Fatalf("m %d n %d: finisher %d held %v", m, n, i, reserved)
			}
		}
		extra := 0
		for manager.OfferFreed("m-x", fitsAll, t0.Add(11*time.Second)) {
			extra++
		}
		want := 0
		if n > m {
			want = n - m
		}
		if extra != want {
			t.Fatalf("m %d n %d: %d held from elsewhere, want %d", m, n, extra, want)
		}
	})
}

// severalDownstreams are the jobs that wait for one upstream; slots may not fit some.
type severalDownstreams struct {
	jobs  []Downstream
	unfit map[string]bool
	// tasks is what all of them have, useful what those have that slots fit.
	tasks, useful int
}

func drawDownstreams(t *rapid.T) (drawn severalDownstreams) {
	drawn.unfit = map[string]bool{}
	for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
		name := fmt.Sprint("j-1", i)
		pipeline := placement.Pipeline{Team: "a", Class: "x", Downstream: name}
		downstream := Downstream{Pipeline: pipeline, Job: name, Tasks: rapid.IntRange(1, 9).Draw(t, "n"), TaskResources: oneTask}
		drawn.unfit[name] = rapid.IntRange(0, 3).Draw(t, "fits") == 0
		if !drawn.unfit[name] {
			drawn.useful += downstream.Tasks
		}
		drawn.tasks += downstream.Tasks
		drawn.jobs = append(drawn.jobs, downstream)
	}
	return drawn
}

func (s severalDownstreams) fits(downstream Downstream) bool { return !s.unfit[downstream.Job] }

// checkReservedInOrder: each reservation is for its job's pipeline, none is for a job that
// slots do not fit, no job has more than its tasks, and none has any while one before it
// lacks some.
func (s severalDownstreams) checkReservedInOrder(t *rapid.T, manager *Manager) {
	t.Helper()
	short := false
	for _, downstream := range s.jobs {
		count := 0
		for _, reservation := range manager.All() {
			if reservation.Downstream != downstream.Job {
				continue
			}
			count++
			if reservation.Pipeline != downstream.Pipeline {
				t.Fatalf("%+v held for %s", reservation, downstream.Job)
			}
		}
		if s.unfit[downstream.Job] && count > 0 || count > downstream.Tasks || short && count > 0 {
			t.Fatalf("%d held for %s of %d; an earlier one lacks some: %v", count, downstream.Job, downstream.Tasks, short)
		}
		short = short || !s.unfit[downstream.Job] && count < downstream.Tasks
	}
}

// TestHoldRuleOfSeveral: where several jobs wait for one, n is what all of them have of
// tasks; slots go to the first that has not all that it can use and that fits there, and
// none gets more than its own.
func TestHoldRuleOfSeveral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.IntRange(1, 30).Draw(t, "m")
		downstreams := drawDownstreams(t)
		n := downstreams.tasks
		manager := NewManager(testOptions)
		for i := range m {
			manager.TaskFinished(TaskFinish{
				Job: "j-1", Tasks: m, UpstreamStartedAt: t0, Runtime: 10 * time.Second, Machine: fmt.Sprint("m-", i),
				Fits: downstreams.fits, Downstreams: downstreams.jobs, Now: t0.Add(10 * time.Second),
			})
			if i < m-n && len(manager.All()) > 0 {
				t.Fatalf("finisher %d of %d holds for %d tasks", i, m, n)
			}
		}
		for range n {
			manager.OfferFreed("m-x", downstreams.fits, t0.Add(11*time.Second))
		}
		// Of m < n, n-m more are pre-reserved; of m > n, m-n finishers do not reserve.
		if want := min(downstreams.useful, n); len(manager.All()) != want {
			t.Fatalf("m %d n %d useful %d: %d held, want %d", m, n, downstreams.useful, len(manager.All()), want)
		}
		downstreams.checkReservedInOrder(t, manager)
	})
}

// TestThreshold: nothing is held from elsewhere before more than the wished
// part of the stage has finished.
func TestThreshold(t *testing.T) {
	manager := NewManager(testOptions)
	for i := range 10 {
		manager.TaskFinished(TaskFinish{
			Job: "j-1", Tasks: 10, UpstreamStartedAt: t0, Runtime: 10 * time.Second, Machine: "m", Fits: fitsAll,
			Downstreams: []Downstream{{Job: "j-2", Tasks: 11, TaskResources: oneTask}}, Now: t0.Add(10 * time.Second),
		})
		got := manager.OfferFreed("m-x", fitsAll, t0.Add(10*time.Second))
		if got != (i == 8) {
			t.Errorf("after %d of 10: extra held %v", i+1, got)
		}
	}
}

// TestLapse checks D against the paper's equation (2): all N tasks end before
// D with chance P.
func TestLapse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{Alpha: rapid.Float64Range(1.05, 4).Draw(t, "alpha"), P: rapid.Float64Range(0.05, 0.95).Draw(t, "p")}
		n := rapid.IntRange(1, 500).Draw(t, "n")
		deadline := options.Deadline(time.Second, n)
		if deadline >= 24*time.Hour {
			return
		}
		probability := math.Pow(1-math.Pow(1/deadline.Seconds(), options.Alpha), float64(n))
		if math.Abs(probability-options.P) > 1e-3 {
			t.Fatalf("n %d: chance %v, want %v", n, probability, options.P)
		}
	})
}

// TestHoldsEnd: holds lapse, end with their downstream job's wait, and give
// way where room was taken.
func TestHoldsEnd(t *testing.T) {
	next := Downstream{Pipeline: testPipeline, Job: "j-2", Tasks: 3, TaskResources: oneTask}
	always := func(string) bool { return true }
	manager := NewManager(testOptions)
	finishAll(manager, 3, next)
	if len(manager.All()) != 3 {
		t.Fatalf("%d holds, want 3", len(manager.All()))
	}
	if changed := manager.Expire(t0.Add(11*time.Second), always); len(changed) != 0 {
		t.Errorf("lapsed early: %v", changed)
	}
	if !manager.Consume("m-0", ownedByTestPipeline) || manager.Consume("m-0", ownedByTestPipeline) {
		t.Errorf("a hold is used other than once")
	}
	if !manager.ReleaseExcess("m-1", placement.Resources{}) || len(manager.OnMachine("m-1")) != 0 {
		t.Errorf("a hold stands in room that is taken")
	}
	if changed := manager.Expire(t0.Add(11*time.Second), func(string) bool { return false }); len(changed) != 1 {
		t.Errorf("holds outlive their job: %v", changed)
	}
	finishAll(manager, 3, next)
	if changed := manager.Expire(t0.Add(testOptions.Deadline(10*time.Second, 3)+time.Second), always); len(changed) != 3 {
		t.Errorf("holds do not lapse: %v", changed)
	}
	if off := NewManager(Options{}); finishAll(off, 1, next)[0] {
		t.Errorf("holds although turned off")
	}
}

// TestNoMoreIsHeldThanIsOfUse guards against drawn days of Peakdale: every job of
// a pipeline that ended held room for the one gang that still waited, 237 machines
// for its 24 tasks. Whatever ends, lapses, is used or lost, no more is held for a
// job than it has tasks, and what it needs can be held again.
func TestNoMoreIsHeldThanIsOfUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manager := NewManager(testOptions)
		now := t0
		downstream := []Downstream{{Pipeline: testPipeline, Job: "j-90", Tasks: 3, TaskResources: oneTask}, {Pipeline: testPipeline, Job: "j-91", Tasks: 7, Priority: 1, TaskResources: oneTask}}
		waits := map[string]bool{"j-90": true, "j-91": true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			machine := fmt.Sprint("m-", rapid.IntRange(0, 9).Draw(t, "rig"))
			next := downstream[rapid.IntRange(0, 1).Draw(t, "for")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				manager.RemoveMachine(machine)
			case 1:
				manager.Consume(machine, ownedByTestPipeline)
			case 2:
				manager.ReleaseExcess(machine, oneTask)
			case 3:
				waits[next.Job] = rapid.Bool().Draw(t, "waits")
				manager.Expire(now, func(job string) bool { return waits[job] })
			case 4:
				manager.OfferFreed(machine, fitsAll, now)
			default:
				list := []Downstream{next}
				if rapid.Bool().Draw(t, "both") {
					list = downstream
				}
				manager.TaskFinished(TaskFinish{
					Job:   fmt.Sprint("j-", rapid.IntRange(0, 3).Draw(t, "upstream")),
					Tasks: rapid.IntRange(1, 12).Draw(t, "m"), UpstreamStartedAt: now, Runtime: 10 * time.Second, Machine: machine, Fits: fitsAll, Downstreams: list, Now: now,
				})
			}
			count := map[string]int{}
			for _, h := range manager.All() {
				count[h.Downstream]++
			}
			for _, target := range downstream {
				if count[target.Job] > target.Tasks || count[target.Job] != manager.reservedFor[target.Job] {
					t.Fatalf("%d held for %s of %d tasks, counted as %d", count[target.Job], target.Job, target.Tasks, manager.reservedFor[target.Job])
				}
			}
		}
	})
}
