package placement

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs"
)

func drawWorld(t *rapid.T) *Snapshot {
	w := &Snapshot{Now: time.Unix(1000, 0), Teams: map[string]*Team{}}
	teams := []string{"a", "b", "c"}
	for _, n := range teams {
		g := float64(rapid.IntRange(0, 3).Draw(t, "guarantee") * 4)
		w.Teams[n] = &Team{Name: n, Guarantee: Resources{GPUs: g}, Limit: Resources{GPUs: g + float64(rapid.IntRange(1, 4).Draw(t, "max")*4)}}
	}
	id := 0
	job := func() *Job {
		id++
		s := &jobs.Spec{
			ID: fmt.Sprintf("j-%d", id), Class: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
			Team: rapid.SampledFrom(teams).Draw(t, "team"), Kind: rapid.SampledFrom([]string{jobs.KindArray, jobs.KindGang}).Draw(t, "shape"),
			Tasks: rapid.IntRange(1, 5).Draw(t, "pieces"), CPUs: 1, GPUs: float64(rapid.IntRange(0, 4).Draw(t, "gpus")), MemoryGB: 1,
			Image: rapid.SampledFrom([]string{"i", "k"}).Draw(t, "image"), ImageGB: 5, ExpectedS: 60, SaveS: 1, CheckpointIntervalS: 10,
			SameZone: rapid.Bool().Draw(t, "samePlace"), SpreadZones: rapid.Bool().Draw(t, "apart"), AllowSpot: rapid.Bool().Draw(t, "loaners"),
			Zone: rapid.SampledFrom([]string{"", "", "z1"}).Draw(t, "hall"),
		}
		return &Job{Spec: s, Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Order: uint64(id), TasksByZone: map[string]int{}}
	}
	var all []*Job
	for i := range rapid.IntRange(1, 7).Draw(t, "rigs") {
		r := &Machine{
			Name: fmt.Sprintf("m-%d", i), Type: "g", Zone: rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"),
			Spot: rapid.Bool().Draw(t, "spot"), Schedulable: rapid.IntRange(0, 5).Draw(t, "open") > 0,
			AttemptCapacity: rapid.IntRange(0, 9).Draw(t, "seats"),
			Total:           Resources{CPUs: 8, GPUs: 4, MemoryGB: 16}, FetchGBPerS: 1, ImageWait: map[string]time.Duration{},
		}
		for range rapid.IntRange(0, 2).Draw(t, "slots") {
			j := job()
			j.Spec.GPUs = 1
			j.Spec.Kind = jobs.KindArray
			if !Allowed(j, r) || !w.Teams[j.Spec.Team].Allows(Resources{GPUs: 1}) {
				continue
			}
			j.TasksByZone[r.Zone]++
			w.Teams[j.Spec.Team].Used = w.Teams[j.Spec.Team].Used.Add(TaskResources(j.Spec))
			r.RunningTasks = append(r.RunningTasks, RunningTask{Job: j, Attempt: 1, Resources: TaskResources(j.Spec), Stopping: rapid.Bool().Draw(t, "ending"), StopCost: time.Second})
			all = append(all, j)
		}
		if rapid.IntRange(0, 3).Draw(t, "hold") == 0 && len(r.RunningTasks) == 0 {
			p := Pipeline{Team: rapid.SampledFrom(teams).Draw(t, "holder"), Class: "x"}
			h := ReservedSlot{Pipeline: p, Priority: rapid.IntRange(0, 3).Draw(t, "held at"), Resources: Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}}
			if rapid.Bool().Draw(t, "edge") {
				h.Pipeline.Downstream = fmt.Sprint("j-", rapid.IntRange(1, 9).Draw(t, "downstream"))
				h.Blocked = rapid.Bool().Draw(t, "barred")
			}
			r.Reserved = append(r.Reserved, h)
			w.Teams[p.Team].Used = w.Teams[p.Team].Used.Add(h.Resources)
		}
		w.Machines = append(w.Machines, r)
	}
	for range rapid.IntRange(1, 8).Draw(t, "jobs") {
		j := job()
		first := 0
		if z := "z1"; j.Spec.Kind == jobs.KindGang && j.Spec.Tasks > 1 && rapid.IntRange(0, 3).Draw(t, "replaced") == 0 {
			// One task of a gang that waits has been lost; the others stand.
			if first = j.Spec.Tasks - 1; !j.Spec.SpreadZones {
				j.TasksByZone[z] = first
			} else {
				first = 1
				j.TasksByZone[z] = 1
			}
		}
		for i := first; i < j.Spec.Tasks; i++ {
			j.WaitingTasks = append(j.WaitingTasks, i)
		}
		w.Jobs = append(w.Jobs, j)
		all = append(all, j)
	}
	MarkGuaranteed(all, w.Teams)
	return w
}

// TestRulesOfPlacement checks every plan against the protocol's rules: room,
// limits, types, zones, whole gangs, nothing started twice, and who may be
// stopped for whom.
func TestRulesOfPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		// What runs for certain, holds aside: the limit must hold for it even
		// while evicted tasks are still on their machines.
		used, rooms := map[string]Resources{}, map[string]Resources{}
		zones := map[*Job]map[string]int{}
		note := func(j *Job, zone string) {
			if zones[j] == nil {
				zones[j] = map[string]int{}
			}
			zones[j][zone]++
		}
		for _, r := range w.Machines {
			for _, s := range r.RunningTasks {
				used[s.Job.Spec.Team] = used[s.Job.Spec.Team].Add(s.Resources)
				rooms[r.Name] = rooms[r.Name].Add(s.Resources)
				note(s.Job, r.Zone)
			}
		}
		for _, j := range w.Jobs {
			for z, n := range j.TasksByZone {
				for range n {
					note(j, z)
				}
			}
		}
		over := map[string]bool{}
		for n, tm := range w.Teams {
			over[n] = tm.Limit.GPUs > 0 && used[n].GPUs > tm.Limit.GPUs
		}
		p := Schedule(w)
		started := map[string]bool{}
		count := map[*Job]int{}
		for _, s := range p.Starts {
			key := fmt.Sprint(s.Job.Spec.ID, "/", s.Index)
			if started[key] {
				t.Fatalf("%s starts twice", key)
			}
			started[key] = true
			count[s.Job]++
			if !s.Machine.Schedulable || !Allowed(s.Job, s.Machine) {
				t.Fatalf("%s on a machine that is not for it", key)
			}
			owner := s.Job.Spec.Team
			used[owner] = used[owner].Add(TaskResources(s.Job.Spec))
			rooms[s.Machine.Name] = rooms[s.Machine.Name].Add(TaskResources(s.Job.Spec))
			note(s.Job, s.Machine.Zone)
			if s.Machine.AttemptCapacity < 0 {
				t.Fatalf("%s has no seat in its machine's record", key)
			}
			if !s.Machine.Total.Fits(rooms[s.Machine.Name]) {
				t.Fatalf("%s does not fit", key)
			}
			if m := w.Teams[owner].Limit.GPUs; m > 0 && used[owner].GPUs > m && !over[owner] {
				t.Fatalf("%s breaks the limit of %s", key, owner)
			}
			if s.Job.Spec.SameZone && len(zones[s.Job]) > 1 {
				t.Fatalf("%s breaks samePlace", key)
			}
			if s.Job.Spec.SpreadZones && zones[s.Job][s.Machine.Zone] > (s.Job.Spec.Tasks+1)/2 {
				t.Fatalf("%s breaks apart", key)
			}
		}
		for j, n := range count {
			if j.Spec.Kind == jobs.KindGang && n != len(j.WaitingTasks) {
				t.Fatalf("%s starts %d of %d", j.Spec.ID, n, len(j.WaitingTasks))
			}
		}
		for _, e := range p.Preemptions {
			v := e.Victim.Job
			lower := v.Priority < e.For.Priority
			reclaim := e.For.Guaranteed && v.Spec.Team != e.For.Spec.Team && !v.Guaranteed
			if !lower && !reclaim {
				t.Fatalf("%s is stopped for %s without right", v.Spec.ID, e.For.Spec.ID)
			}
			if !Before(e.For, v) {
				t.Fatalf("%s is stopped for %s, but stands before it in the queue", v.Spec.ID, e.For.Spec.ID)
			}
		}
	})
}

func oneRig(held ...ReservedSlot) *Machine {
	return &Machine{Name: "m-0", Type: "g", Zone: "z", Schedulable: true, AttemptCapacity: 9, Total: Resources{8, 4, 16}, Reserved: held}
}

func sweepJob(id, owner string, prio int) *Job {
	return &Job{
		Spec:     &jobs.Spec{ID: id, Class: "x", Team: owner, Kind: jobs.KindArray, Tasks: 1, CPUs: 1, GPUs: 4, MemoryGB: 1},
		Priority: prio, WaitingTasks: []int{0},
	}
}

// TestHoldsKeepPriority: the pipeline's own tasks use a hold, lower or equal
// work skips it, higher work takes it, and it never keeps another team from
// its guarantee.
func TestHoldsKeepPriority(t *testing.T) {
	hold := ReservedSlot{Pipeline: Pipeline{Team: "a", Class: "x"}, Priority: 1, Resources: Resources{1, 4, 1}}
	for _, c := range []struct {
		name      string
		job       *Job
		guarantee float64
		want      int
	}{
		{"own", sweepJob("j-1", "a", 1), 0, 1},
		{"equal", sweepJob("j-1", "b", 1), 0, 0},
		{"lower", sweepJob("j-1", "b", 0), 0, 0},
		{"higher", sweepJob("j-1", "b", 2), 0, 1},
		{"guaranteed", sweepJob("j-1", "b", 0), 4, 1},
	} {
		w := &Snapshot{Machines: []*Machine{oneRig(hold)}, Jobs: []*Job{c.job}, Teams: map[string]*Team{
			"a": {Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 4}}, "b": {Guarantee: Resources{GPUs: c.guarantee}, Limit: Resources{GPUs: 8}},
		}}
		MarkGuaranteed(w.Jobs, w.Teams)
		if got := len(Schedule(w).Starts); got != c.want {
			t.Errorf("%s: %d starts, want %d", c.name, got, c.want)
		}
	}
}

// TestEdgeHoldsKeepPriority: room held along an edge that users named is for the job
// that waits and for those before it, whosever they are; others of the same owner and
// workload are others. It gives way as any hold does.
func TestEdgeHoldsKeepPriority(t *testing.T) {
	before := sweepJob("j-7", "b", 0)
	before.ReservedDownstreams = map[string]bool{"j-1": true}
	hold := ReservedSlot{Pipeline: Pipeline{"a", "x", "j-1"}, Priority: 1, Resources: Resources{1, 4, 1}}
	for _, c := range []struct {
		name      string
		job       *Job
		guarantee float64
		want      int
	}{
		{"the job that waited", sweepJob("j-1", "a", 1), 0, 1},
		{"one before it", before, 0, 1},
		{"its owner's next", sweepJob("j-2", "a", 1), 0, 0},
		{"equal", sweepJob("j-2", "b", 1), 0, 0},
		{"lower", sweepJob("j-2", "b", 0), 0, 0},
		{"higher", sweepJob("j-2", "b", 2), 0, 1},
		{"guaranteed", sweepJob("j-2", "b", 0), 4, 1},
	} {
		w := &Snapshot{Machines: []*Machine{oneRig(hold)}, Jobs: []*Job{c.job}, Teams: map[string]*Team{
			"a": {Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 4}}, "b": {Guarantee: Resources{GPUs: c.guarantee}, Limit: Resources{GPUs: 8}},
		}}
		MarkGuaranteed(w.Jobs, w.Teams)
		if got := len(Schedule(w).Starts); got != c.want {
			t.Errorf("%s: %d starts, want %d", c.name, got, c.want)
		}
	}
}

// TestHoldsOfWaitingJobsLeaveTheLimit: a job that waits for others holds no part of
// its team's limit, although held room counts toward it: what is held for such a job
// gives way to any work of the team at the limit, and only there. Once the job may
// start, its holds count as others do.
func TestHoldsOfWaitingJobsLeaveTheLimit(t *testing.T) {
	for _, c := range []struct {
		max             float64
		barred          bool
		started, ending int
	}{{8, true, 1, 1}, {8, false, 0, 0}, {12, true, 1, 0}, {4, true, 0, 0}} {
		held := oneRig(ReservedSlot{Pipeline: Pipeline{"a", "y", "j-1"}, Priority: 1, Resources: Resources{1, 4, 1}, Blocked: c.barred})
		room, busy := oneRig(), oneRig()
		room.Name, busy.Name, busy.RunningTasks = "m-1", "m-2", []RunningTask{{Job: sweepJob("j-9", "a", 1), Resources: Resources{1, 4, 1}}}
		w := &Snapshot{Machines: []*Machine{held, room, busy}, Jobs: []*Job{sweepJob("j-2", "a", 0)}, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.max}, Used: Resources{GPUs: 8}}}}
		p := Schedule(w)
		if len(p.Starts) != c.started || len(p.Released) != c.ending {
			t.Errorf("limit %v, barred %v: %d started, %d holds given up", c.max, c.barred, len(p.Starts), len(p.Released))
		}
		if u := w.Teams["a"].Used.GPUs; u > max(8, c.max) || c.started == 0 && u != 8 {
			t.Errorf("limit %v, barred %v: the team uses %v", c.max, c.barred, u)
		}
	}
}

// TestEvictedStillCounts guards against an incident: a pass that stopped a
// team's task let the same team start another at once, over its limit.
func TestEvictedStillCounts(t *testing.T) {
	victim := sweepJob("j-1", "a", 0)
	r1, r2 := oneRig(), oneRig()
	r1.Name, r2.Name, r2.Spot = "m-1", "m-2", true
	r1.RunningTasks = []RunningTask{{Job: victim, Resources: Resources{1, 4, 1}, StopCost: time.Second}}
	urgent, next := sweepJob("j-2", "b", 2), sweepJob("j-3", "a", 1)
	next.Spec.AllowSpot = true
	w := &Snapshot{Machines: []*Machine{r1, r2}, Jobs: []*Job{urgent, next}, Teams: map[string]*Team{
		"a": {Limit: Resources{GPUs: 4}, Used: Resources{GPUs: 4}}, "b": {Limit: Resources{GPUs: 4}},
	}}
	p := Schedule(w)
	if len(p.Preemptions) != 1 || len(p.Starts) != 0 {
		t.Fatalf("%d evicted, %d started; want 1 and 0", len(p.Preemptions), len(p.Starts))
	}
}

// TestNoCircleOfEvictions guards against an incident: an urgent job beyond its
// team's guarantee and a standard one within it stopped each other's tasks in
// turn, many times a second.
func TestNoCircleOfEvictions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := map[string]*Team{}
		for _, n := range []string{"a", "b"} {
			g := float64(rapid.IntRange(0, 2).Draw(t, "guarantee") * 4)
			teams[n] = &Team{Name: n, Guarantee: Resources{GPUs: g}, Limit: Resources{GPUs: 99}, Used: Resources{GPUs: float64(rapid.IntRange(0, 12).Draw(t, "used"))}}
		}
		p := &pass{Snapshot: &Snapshot{Teams: teams}, stopping: map[string]Resources{}}
		var queue []*Job
		for i := range 4 {
			j := sweepJob(fmt.Sprint("j-", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"), rapid.IntRange(0, 3).Draw(t, "priority"))
			j.Guaranteed = rapid.Bool().Draw(t, "guaranteed")
			queue = append(queue, j)
		}
		var above func(x, y *Job, depth int) bool
		above = func(x, y *Job, depth int) bool {
			if p.mayPreempt(x, &RunningTask{Job: y}) {
				return true
			}
			if depth == 0 {
				return false
			}
			for _, z := range queue {
				if p.mayPreempt(x, &RunningTask{Job: z}) && above(z, y, depth-1) {
					return true
				}
			}
			return false
		}
		for _, j := range queue {
			if above(j, j, len(queue)) {
				t.Fatalf("%s can come to stop itself", j.Spec.ID)
			}
		}
	})
}

// TestOrderAmongEquals: who must start soonest goes first; a job that can meet
// no aim any more stands behind, but not for ever.
func TestOrderAmongEquals(t *testing.T) {
	now := time.Unix(100000, 0)
	job := func(id string, age time.Duration, targets ...time.Duration) *Job {
		j := sweepJob(id, "a", 1)
		j.Submitted, j.Targets = now.Add(-age), targets
		j.UpdateSlack(now, 1)
		return j
	}
	tight := job("j-1", 10*time.Second, 50*time.Second)
	loose := job("j-2", 60*time.Second, 40*time.Second, 120*time.Second)
	late := job("j-3", 70*time.Second, 40*time.Second)
	ancient := job("j-4", time.Hour, 40*time.Second)
	if !Before(tight, loose) || !Before(loose, late) || !Before(ancient, tight) {
		t.Errorf("slacks %v, %v, %v, %v", tight.Slack, loose.Slack, late.Slack, ancient.Slack)
	}
}

// TestLargestGangBegins: under a steady flow of smaller work that would fill
// every machine, of equal and of higher priority, the largest gangs begin
// within the four minutes that the users demand.
func TestLargestGangBegins(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	type running struct {
		job     *Job
		machine int
		end     time.Time
	}
	start := time.Unix(10000, 0)
	var tasks []running
	var queue []*Job
	began := map[string]time.Duration{}
	submit := func(name, shape, urgency string, pieces int, gpus float64, now time.Time) {
		s := &jobs.Spec{
			ID: name, Class: shape + fmt.Sprint(pieces), Team: "a", Kind: shape, PriorityClass: urgency, Tasks: pieces,
			GPUs: gpus, CPUs: 1, MemoryGB: 1, SameZone: shape == "gang", AllowSpot: shape != "gang", Image: "img",
		}
		j := &Job{Spec: s, Priority: jobs.Priority(urgency), Order: uint64(len(began) + len(queue) + 1), Submitted: now}
		for i := range pieces {
			j.WaitingTasks = append(j.WaitingTasks, i)
		}
		queue = append(queue, j)
	}
	n := 0
	for now := start; now.Before(start.Add(15 * time.Minute)); now = now.Add(time.Second) {
		// More comes than there is room for.
		for range 2 {
			n++
			submit(fmt.Sprint("sweep-", n), "sweep", "standard", 10, 1, now)
		}
		if n%18 == 0 {
			submit(fmt.Sprint("small-", n), "gang", "standard", 2, 4, now)
			submit(fmt.Sprint("urgent-", n), "gang", "urgent", 1, 4, now)
		}
		if s := now.Sub(start); s%(2*time.Minute) == 0 && s < 11*time.Minute {
			submit(fmt.Sprint("large-", s.Seconds()), "gang", "standard", 8, 4, now)
		}
		kept := tasks[:0]
		for _, x := range tasks {
			if x.end.After(now) {
				kept = append(kept, x)
			}
		}
		tasks = kept
		w := &Snapshot{Now: now, Teams: map[string]*Team{"a": {Name: "a", Limit: Resources{}}}}
		for i := range 40 {
			r := &Machine{
				Name: fmt.Sprintf("m-%02d", i), Type: "g4", Zone: []string{"x", "y"}[i%2], Schedulable: true, AttemptCapacity: 50,
				Total: Resources{CPUs: 32, GPUs: 4, MemoryGB: 256}, ImageWait: map[string]time.Duration{"img": 0},
			}
			for _, x := range tasks {
				if x.machine == i {
					r.RunningTasks = append(r.RunningTasks, RunningTask{Job: x.job, Resources: TaskResources(x.job.Spec), Remaining: x.end.Sub(now), StopCost: time.Minute})
				}
			}
			w.Machines = append(w.Machines, r)
		}
		var open []*Job
		for _, j := range queue {
			if len(j.WaitingTasks) > 0 {
				j.UpdateSlack(now, 1)
				open = append(open, j)
			}
		}
		queue = open
		w.Jobs = append([]*Job(nil), open...)
		MarkStarving(open, map[string]StarvingClass{"gang8": {8, BoostAboveAll}}, now)
		plan := Schedule(w)
		for _, j := range open {
			j.ClaimedMachines = nil
		}
		for _, c := range plan.Claims {
			if c.Job.ClaimedMachines == nil {
				c.Job.ClaimedMachines = map[string]bool{}
			}
			c.Job.ClaimedMachines[c.Machine.Name] = true
		}
		for _, s := range plan.Starts {
			ran := 30 + rnd.IntN(40)
			if s.Job.Spec.Kind == "gang" {
				ran = 150
			}
			at, _ := strconv.Atoi(s.Machine.Name[2:])
			tasks = append(tasks, running{s.Job, at, now.Add(time.Duration(ran) * time.Second)})
			left := s.Job.WaitingTasks[:0:0]
			for _, i := range s.Job.WaitingTasks {
				if i != s.Index {
					left = append(left, i)
				}
			}
			s.Job.WaitingTasks = left
			if _, ok := began[s.Job.Spec.ID]; !ok {
				began[s.Job.Spec.ID] = now.Sub(s.Job.Submitted)
			}
		}
	}
	for s := 0; s < 660; s += 120 {
		name := fmt.Sprint("large-", s)
		if after, ok := began[name]; !ok || after > 4*time.Minute {
			t.Errorf("%s began after %v (%v)", name, after, ok)
		}
	}
}

// TestNoClassOrTeamStarves: with somewhat more work than room, of two classes
// and three teams, at least half of each class's and each team's jobs begin
// within four minutes, although one team sends most of the work and small tasks
// would fill every machine. It guards against what an overloaded deployment
// showed: claims of all waiting gangs left the machines half empty.
func TestNoClassOrTeamStarves(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	type running struct {
		job     *Job
		machine int
		end     time.Time
	}
	start := time.Unix(10000, 0)
	var tasks []running
	var queue, all []*Job
	began := map[*Job]time.Duration{}
	submit := func(owner, shape string, pieces int, gpus float64, now time.Time) {
		s := &jobs.Spec{
			ID: fmt.Sprint("j-", len(all)), Class: shape, Team: owner, Kind: shape, PriorityClass: "standard", Tasks: pieces,
			GPUs: gpus, CPUs: 1, MemoryGB: 1, SameZone: shape == "gang", AllowSpot: shape != "gang", Image: "img",
		}
		j := &Job{
			Spec: s, Priority: jobs.Priority("standard"), Order: uint64(len(all) + 1), Submitted: now,
			Targets: []time.Duration{30 * time.Second, 90 * time.Second},
		}
		for i := range pieces {
			j.WaitingTasks = append(j.WaitingTasks, i)
		}
		queue, all = append(queue, j), append(all, j)
	}
	for now := start; now.Before(start.Add(15 * time.Minute)); now = now.Add(time.Second) {
		if now.Before(start.Add(10 * time.Minute)) {
			// About 1.3 times what 24 machines of 4 GPUs can run.
			for _, c := range []struct {
				owner  string
				chance float64
			}{{"a", 0.12}, {"b", 0.03}, {"c", 0.03}} {
				if rnd.Float64() < c.chance*1.15 {
					submit(c.owner, "sweep", 8, 1, now)
				}
				if rnd.Float64() < c.chance*1.15/4 {
					submit(c.owner, "gang", 2, 4, now)
				}
			}
		}
		kept := tasks[:0]
		used := map[string]float64{}
		for _, x := range tasks {
			if x.end.After(now) {
				kept = append(kept, x)
				used[x.job.Spec.Team] += x.job.Spec.GPUs
			}
		}
		tasks = kept
		w := &Snapshot{Now: now, Teams: map[string]*Team{}}
		for _, n := range []string{"a", "b", "c"} {
			w.Teams[n] = &Team{Name: n, Guarantee: Resources{GPUs: 16}, Limit: Resources{GPUs: 96}, Used: Resources{GPUs: used[n]}}
		}
		for i := range 24 {
			r := &Machine{
				Name: fmt.Sprintf("m-%02d", i), Type: "g4", Zone: []string{"x", "y"}[i%2], Schedulable: true, AttemptCapacity: 50,
				Total: Resources{CPUs: 32, GPUs: 4, MemoryGB: 256}, ImageWait: map[string]time.Duration{"img": 0},
			}
			for _, x := range tasks {
				if x.machine == i {
					r.RunningTasks = append(r.RunningTasks, RunningTask{Job: x.job, Resources: TaskResources(x.job.Spec), Remaining: x.end.Sub(now), StopCost: time.Minute})
				}
			}
			w.Machines = append(w.Machines, r)
		}
		var open []*Job
		for _, j := range queue {
			if len(j.WaitingTasks) > 0 {
				j.UpdateSlack(now, map[string]float64{"sweep": 1, "gang": 0.25}[j.Spec.Kind])
				open = append(open, j)
			}
		}
		queue = open
		w.Jobs = append([]*Job(nil), open...)
		MarkGuaranteed(append([]*Job(nil), open...), w.Teams)
		plan := Schedule(w)
		for _, j := range open {
			j.ClaimedMachines = nil
		}
		for _, c := range plan.Claims {
			if c.Job.ClaimedMachines == nil {
				c.Job.ClaimedMachines = map[string]bool{}
			}
			c.Job.ClaimedMachines[c.Machine.Name] = true
		}
		// A stopped task is gone at once here, and waits again.
		for _, e := range plan.Preemptions {
			for i, x := range tasks {
				if x.job == e.Victim.Job && fmt.Sprintf("m-%02d", x.machine) == e.Machine.Name {
					tasks[i].end = now
					x.job.WaitingTasks = append(x.job.WaitingTasks, 0)
					break
				}
			}
		}
		for _, s := range plan.Starts {
			at, _ := strconv.Atoi(s.Machine.Name[2:])
			tasks = append(tasks, running{s.Job, at, now.Add(time.Duration(30+rnd.IntN(60)) * time.Second)})
			left := s.Job.WaitingTasks[:0:0]
			for _, i := range s.Job.WaitingTasks {
				if i != s.Index {
					left = append(left, i)
				}
			}
			s.Job.WaitingTasks = left
			if _, ok := began[s.Job]; !ok {
				began[s.Job] = now.Sub(s.Job.Submitted)
			}
		}
	}
	total, served := map[string]int{}, map[string]int{}
	for _, j := range all {
		for _, group := range []string{"class " + j.Spec.Class, "team " + j.Spec.Team} {
			total[group]++
			if after, ok := began[j]; ok && after <= 4*time.Minute {
				served[group]++
			}
		}
	}
	for group, n := range total {
		if n < 3 || 2*served[group] < n {
			t.Errorf("%s: %d of %d begun in time", group, served[group], n)
		}
	}
}
