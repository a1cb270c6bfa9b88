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

// fitsAll reports that the slot fits any downstream job.
func fitsAll(Downstream) bool { return true }

func isTestPipeline(p placement.Pipeline) bool { return p == testPipeline }

// finishAllTasks finishes all tasks of one upstream job ten seconds after its start and returns
// for each whether its slot was reserved.
func finishAllTasks(manager *Manager, upstreamTasks int, downstreams ...Downstream) (reserved []bool) {
	for i := range upstreamTasks {
		reserved = append(reserved, manager.TaskFinished(FinishedTask{
			Job: "j-1", Tasks: upstreamTasks, UpstreamStartedAt: t0, Runtime: 10 * time.Second,
			Machine: fmt.Sprint("m-", i), Fits: fitsAll, Downstreams: downstreams, Now: t0.Add(10 * time.Second),
		}))
	}
	return reserved
}

// TestReservedSlotCounts checks the number of reserved slots for m upstream and n downstream
// tasks (paper, III-B, algorithm 1).
func TestReservedSlotCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, n := rapid.IntRange(1, 40).Draw(t, "m"), rapid.IntRange(0, 40).Draw(t, "n")
		manager := NewManager(testOptions)
		reservedAll := finishAllTasks(manager, m, Downstream{Pipeline: testPipeline, Job: "j-2", Tasks: n, TaskResources: oneTask})
		for i, reserved := range reservedAll {
			// An unknown n is taken as m. If m > n, the first m-n slots are released.
			if want := n == 0 || i >= m-n; reserved != want {
				t.Fatalf("m %d n %d: slot of finished task %d reserved: %v", m, n, i, reserved)
			}
		}
		preReserved := 0
		for manager.OfferFreedSlot("m-x", fitsAll, t0.Add(11*time.Second)) {
			preReserved++
		}
		want := 0
		if n > m {
			want = n - m
		}
		if preReserved != want {
			t.Fatalf("m %d n %d: %d slots pre-reserved, want %d", m, n, preReserved, want)
		}
	})
}

// downstreamSet contains the downstream jobs of one upstream job. No slot fits a job in
// unsuitable; every slot fits the others.
type downstreamSet struct {
	jobs       []Downstream
	unsuitable map[string]bool
	// totalTasks is the number of tasks of all jobs, usableTasks that of the jobs that are not in
	// unsuitable.
	totalTasks, usableTasks int
}

func drawDownstreams(t *rapid.T) (set downstreamSet) {
	set.unsuitable = map[string]bool{}
	for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
		name := fmt.Sprint("j-1", i)
		pipeline := placement.Pipeline{Team: "a", Class: "x", Downstream: name}
		downstream := Downstream{Pipeline: pipeline, Job: name, Tasks: rapid.IntRange(1, 9).Draw(t, "n"), TaskResources: oneTask}
		set.unsuitable[name] = rapid.IntRange(0, 3).Draw(t, "fits") == 0
		if !set.unsuitable[name] {
			set.usableTasks += downstream.Tasks
		}
		set.totalTasks += downstream.Tasks
		set.jobs = append(set.jobs, downstream)
	}
	return set
}

func (s downstreamSet) fits(downstream Downstream) bool { return !s.unsuitable[downstream.Job] }

// checkReservationOrder checks that each reservation is for the pipeline of its job, that
// unsuitable jobs have none, that no job has more reservations than tasks, and that a job has
// none while an earlier suitable job has fewer reservations than tasks.
func (s downstreamSet) checkReservationOrder(t *rapid.T, manager *Manager) {
	t.Helper()
	earlierIncomplete := false
	for _, downstream := range s.jobs {
		count := 0
		for _, reservation := range manager.All() {
			if reservation.Downstream != downstream.Job {
				continue
			}
			count++
			if reservation.Pipeline != downstream.Pipeline {
				t.Fatalf("%+v: wrong pipeline for %s", reservation, downstream.Job)
			}
		}
		if s.unsuitable[downstream.Job] && count > 0 || count > downstream.Tasks || earlierIncomplete && count > 0 {
			t.Fatalf("%d reservations for %s, which has %d tasks; an earlier job lacks some: %v", count, downstream.Job, downstream.Tasks, earlierIncomplete)
		}
		earlierIncomplete = earlierIncomplete || !s.unsuitable[downstream.Job] && count < downstream.Tasks
	}
}

// TestReservedSlotCountsForSeveralDownstreams checks the rule for several downstream jobs of one
// upstream job: n is the total number of their tasks, and slots are reserved for the jobs in
// order, for each at most as many as it has tasks.
func TestReservedSlotCountsForSeveralDownstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.IntRange(1, 30).Draw(t, "m")
		downstreams := drawDownstreams(t)
		n := downstreams.totalTasks
		manager := NewManager(testOptions)
		for i := range m {
			manager.TaskFinished(FinishedTask{
				Job: "j-1", Tasks: m, UpstreamStartedAt: t0, Runtime: 10 * time.Second, Machine: fmt.Sprint("m-", i),
				Fits: downstreams.fits, Downstreams: downstreams.jobs, Now: t0.Add(10 * time.Second),
			})
			if i < m-n && len(manager.All()) > 0 {
				t.Fatalf("slot of finished task %d of %d reserved for %d downstream tasks", i, m, n)
			}
		}
		for range n {
			manager.OfferFreedSlot("m-x", downstreams.fits, t0.Add(11*time.Second))
		}
		// If m < n, n-m further slots are pre-reserved; if m > n, m-n slots are released.
		if want := min(downstreams.usableTasks, n); len(manager.All()) != want {
			t.Fatalf("m %d n %d usable %d: %d reservations, want %d", m, n, downstreams.usableTasks, len(manager.All()), want)
		}
		downstreams.checkReservationOrder(t, manager)
	})
}

// TestPreReservationThreshold checks that further slots are pre-reserved only after more than
// the threshold fraction of the phase's tasks has finished.
func TestPreReservationThreshold(t *testing.T) {
	manager := NewManager(testOptions)
	for i := range 10 {
		manager.TaskFinished(FinishedTask{
			Job: "j-1", Tasks: 10, UpstreamStartedAt: t0, Runtime: 10 * time.Second, Machine: "m", Fits: fitsAll,
			Downstreams: []Downstream{{Job: "j-2", Tasks: 11, TaskResources: oneTask}}, Now: t0.Add(10 * time.Second),
		})
		got := manager.OfferFreedSlot("m-x", fitsAll, t0.Add(10*time.Second))
		if got != (i == 8) {
			t.Errorf("after %d of 10 tasks: pre-reserved %v, want true only after 9", i+1, got)
		}
	}
}

// TestReservationDeadline checks the deadline D against equation (2) of the paper: all n tasks
// finish before D with probability P.
func TestReservationDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{Alpha: rapid.Float64Range(1.05, 4).Draw(t, "alpha"), P: rapid.Float64Range(0.05, 0.95).Draw(t, "p")}
		n := rapid.IntRange(1, 500).Draw(t, "n")
		deadline := options.Deadline(time.Second, n)
		if deadline >= 24*time.Hour {
			return
		}
		probability := math.Pow(1-math.Pow(1/deadline.Seconds(), options.Alpha), float64(n))
		if math.Abs(probability-options.P) > 1e-3 {
			t.Fatalf("n %d: probability %v, want %v", n, probability, options.P)
		}
	})
}

// TestWhenReservationsEnd checks that reservations end when they are used, when their machine has
// no room for them any more, when their downstream job stops waiting, and at their deadline.
func TestWhenReservationsEnd(t *testing.T) {
	next := Downstream{Pipeline: testPipeline, Job: "j-2", Tasks: 3, TaskResources: oneTask}
	always := func(string) bool { return true }
	manager := NewManager(testOptions)
	finishAllTasks(manager, 3, next)
	if len(manager.All()) != 3 {
		t.Fatalf("%d reservations, want 3", len(manager.All()))
	}
	if changed := manager.Expire(t0.Add(11*time.Second), always); len(changed) != 0 {
		t.Errorf("expired before the deadline: %v", changed)
	}
	if !manager.RemoveOne("m-0", isTestPipeline) || manager.RemoveOne("m-0", isTestPipeline) {
		t.Errorf("reservation not removed exactly once")
	}
	if !manager.ReleaseExcess("m-1", placement.Resources{}) || len(manager.OnMachine("m-1")) != 0 {
		t.Errorf("reservation kept although the slot is taken")
	}
	if changed := manager.Expire(t0.Add(11*time.Second), func(string) bool { return false }); len(changed) != 1 {
		t.Errorf("reservations not removed when their job stopped waiting: %v", changed)
	}
	finishAllTasks(manager, 3, next)
	if changed := manager.Expire(t0.Add(testOptions.Deadline(10*time.Second, 3)+time.Second), always); len(changed) != 3 {
		t.Errorf("reservations not removed at their deadline: %v", changed)
	}
	if disabled := NewManager(Options{}); finishAllTasks(disabled, 1, next)[0] {
		t.Errorf("slot reserved although reservations are disabled")
	}
}

// TestReservationsLimitedToTaskCount guards against more reservations for a job than it has
// tasks: each upstream job of a pipeline reserved slots, when it finished, for the one gang that
// still waited, until the gang had reservations on 237 machines for 24 tasks. It checks the
// limit and the internal count while tasks finish, reservations expire or are used, and machines
// leave.
func TestReservationsLimitedToTaskCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manager := NewManager(testOptions)
		now := t0
		downstream := []Downstream{{Pipeline: testPipeline, Job: "j-90", Tasks: 3, TaskResources: oneTask}, {Pipeline: testPipeline, Job: "j-91", Tasks: 7, Priority: 1, TaskResources: oneTask}}
		waits := map[string]bool{"j-90": true, "j-91": true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			machine := fmt.Sprint("m-", rapid.IntRange(0, 9).Draw(t, "machine"))
			next := downstream[rapid.IntRange(0, 1).Draw(t, "downstream")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				manager.RemoveMachine(machine)
			case 1:
				manager.RemoveOne(machine, isTestPipeline)
			case 2:
				manager.ReleaseExcess(machine, oneTask)
			case 3:
				waits[next.Job] = rapid.Bool().Draw(t, "waits")
				manager.Expire(now, func(job string) bool { return waits[job] })
			case 4:
				manager.OfferFreedSlot(machine, fitsAll, now)
			default:
				list := []Downstream{next}
				if rapid.Bool().Draw(t, "both") {
					list = downstream
				}
				manager.TaskFinished(FinishedTask{
					Job:   fmt.Sprint("j-", rapid.IntRange(0, 3).Draw(t, "upstream")),
					Tasks: rapid.IntRange(1, 12).Draw(t, "m"), UpstreamStartedAt: now, Runtime: 10 * time.Second, Machine: machine, Fits: fitsAll, Downstreams: list, Now: now,
				})
			}
			count := map[string]int{}
			for _, reservation := range manager.All() {
				count[reservation.Downstream]++
			}
			for _, target := range downstream {
				if count[target.Job] > target.Tasks || count[target.Job] != manager.reservedFor[target.Job] {
					t.Fatalf("%d reservations for %s with %d tasks, counted as %d", count[target.Job], target.Job, target.Tasks, manager.reservedFor[target.Job])
				}
			}
		}
	})
}
