package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHoldsGiveWayToLiftedGang guards against Peakdale's steady day: holds of a
// team's sweeps filled its limit. Once its gang was lifted, what was left of the
// limit was kept for it, so that the sweeps could not even use their own holds,
// and these stood for as long as the sweeps waited: nothing of the team ran for
// the rest of the day.
func TestHoldsGiveWayToLiftedGang(t *testing.T) {
	for _, c := range []struct {
		name         string
		gang, sweep  int // priorities
		lift         Boost
		begins       bool
		sweepsBefore bool
	}{
		{"higher", 1, 0, NoBoost, true, false},
		{"equal", 1, 1, NoBoost, false, true},
		{"lifted over equal", 1, 1, BoostWithinPriority, true, false},
		{"lifted over all", 0, 1, BoostAboveAll, true, false},
		{"lower", 0, 1, NoBoost, false, true},
	} {
		gang := sweepJob("j-1", "a", c.gang)
		gang.Spec.Kind, gang.Spec.Class, gang.Spec.Tasks, gang.WaitingTasks, gang.Order, gang.Boost = "gang", "big", 2, []int{0, 1}, 1, c.lift
		sweep := sweepJob("j-2", "a", c.sweep)
		sweep.Order, sweep.Spec.GPUs, sweep.WaitingTasks, sweep.Spec.Tasks = 2, 1, []int{0, 1, 2, 3, 4, 5, 6, 7}, 8
		w := &Snapshot{Jobs: []*Job{gang, sweep}, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 8}}}}
		for i := range 4 {
			hold := ReservedSlot{Pipeline: sweep.Pipeline(), Priority: c.sweep, Resources: Resources{1, 1, 1}}
			r := oneRig(hold, hold)
			r.Name = fmt.Sprint("m-", i)
			w.Machines = append(w.Machines, r)
		}
		p := Schedule(w)
		started := map[string]int{}
		for _, s := range p.Starts {
			started[s.Job.Spec.ID]++
		}
		if (started["j-1"] == 2) != c.begins || (started["j-2"] == 8) != c.sweepsBefore {
			t.Errorf("%s: started %v", c.name, started)
		}
		if c.begins != (len(p.Released) == 8) {
			t.Errorf("%s: %d holds given up", c.name, len(p.Released))
		}
		if u := w.Teams["a"].Used; !w.Teams["a"].withinLimit(u) || u.GPUs != 8 {
			t.Errorf("%s: the team uses %v", c.name, u)
		}
	}
}

// TestLiftedGangGetsItsLimit: a lifted gang has lower tasks of its team stopped
// as far as its team's limit needs, and no task of equal priority or of another
// team; one that is not lifted waits while smaller work goes on.
func TestLiftedGangGetsItsLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		running int // priority of what runs
		lift    Boost
		stopped int
		next    bool // lower work behind the gang starts
	}{
		{"lower runs", 0, BoostWithinPriority, 4, false},
		{"equal runs", 1, BoostWithinPriority, 0, true}, // may use the rest until the gang can start
		{"not lifted", 0, NoBoost, 0, true},
	} {
		gang := sweepJob("j-1", "a", 1)
		gang.Spec.Kind, gang.Spec.Tasks, gang.WaitingTasks, gang.Order, gang.Boost = "gang", 2, []int{0, 1}, 1, c.lift
		runs, next, other := sweepJob("j-2", "a", c.running), sweepJob("j-3", "a", 0), sweepJob("j-4", "b", 0)
		for i, j := range []*Job{runs, next, other} {
			j.Spec.GPUs, j.Order = 1, uint64(2+i)
		}
		runs.WaitingTasks = nil
		w := &Snapshot{Jobs: []*Job{gang, next, other}, Teams: map[string]*Team{
			"a": {Limit: Resources{GPUs: 16}, Used: Resources{GPUs: 12}}, "b": {Limit: Resources{GPUs: 16}},
		}}
		for i := range 8 {
			r := oneRig()
			r.Name = fmt.Sprint("m-", i)
			if i < 3 {
				for k := range 4 {
					r.RunningTasks = append(r.RunningTasks, RunningTask{Job: runs, Index: 4*i + k, Attempt: 1, Resources: Resources{1, 1, 1}, StopCost: time.Duration(1+k) * time.Second})
				}
			}
			w.Machines = append(w.Machines, r)
		}
		p := Schedule(w)
		if len(p.Preemptions) != c.stopped {
			t.Errorf("%s: %d stopped, want %d", c.name, len(p.Preemptions), c.stopped)
		}
		for _, e := range p.Preemptions {
			if e.Victim.Job != runs || e.Victim.StopCost > 2*time.Second {
				t.Errorf("%s: stopped %v, which loses more than others", c.name, e.Victim)
			}
		}
		started := map[string]bool{}
		for _, s := range p.Starts {
			started[s.Job.Spec.ID] = true
		}
		if started["j-1"] || started["j-3"] != c.next || !started["j-4"] {
			t.Errorf("%s: started %v", c.name, started)
		}
	}
}

// TestSmallGangsFirstAtTheLimit: where a team's limit can't hold all that waits,
// its small gangs go first, whichever has less time left; elsewhere the time left
// decides, and a lifted one goes before all.
func TestSmallGangsFirstAtTheLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		max  float64
		lift Boost
		want string
	}{
		{"short", 16, NoBoost, "j-2 j-3"},
		{"enough", 32, NoBoost, "j-1 j-2 j-3"},
		{"lifted", 16, BoostWithinPriority, "j-1"},
	} {
		large, small, other := sweepJob("j-1", "a", 1), sweepJob("j-2", "a", 1), sweepJob("j-3", "a", 1)
		w := &Snapshot{Jobs: []*Job{large, small, other}, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.max}}}}
		for i, j := range w.Jobs {
			j.Spec.Kind, j.Spec.Tasks, j.WaitingTasks, j.Order, j.Slack = "gang", 1, []int{0}, uint64(i), time.Duration(i)*time.Second
		}
		large.Spec.Tasks, large.WaitingTasks, large.Boost = 4, []int{0, 1, 2, 3}, c.lift
		for i := range 8 {
			r := oneRig()
			r.Name = fmt.Sprint("m-", i)
			w.Machines = append(w.Machines, r)
		}
		got := map[string]bool{}
		for _, s := range Schedule(w).Starts {
			got[s.Job.Spec.ID] = true
		}
		names := slices.Sorted(maps.Keys(got))
		if strings.Join(names, " ") != c.want {
			t.Errorf("%s: started %v, want %s", c.name, names, c.want)
		}
	}
}

// TestLimitStaysForPreparedGang guards against Peakdale's day with a partition:
// tasks were stopped for a gang, a small job of its team took a bit of the limit
// before they had ended, and the gang could not start; what was stopped began anew
// there and was stopped again, six thousand tasks in half a minute.
func TestLimitStaysForPreparedGang(t *testing.T) {
	for _, c := range []struct {
		name    string
		bitPrio int
		begins  bool
	}{{"lower", 0, true}, {"equal", 1, true}, {"higher", 2, false}} {
		gang := sweepJob("j-1", "a", 1)
		gang.Spec.Kind, gang.Spec.Tasks, gang.WaitingTasks, gang.Order = "gang", 2, []int{0, 1}, 1
		low := sweepJob("j-2", "b", 0)
		low.WaitingTasks = nil
		w := &Snapshot{Jobs: []*Job{gang}, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: 8}}, "b": {Limit: Resources{GPUs: 16}, Used: Resources{GPUs: 8}}}}
		for i := range 2 {
			r := oneRig()
			r.Name = fmt.Sprint("m-", i)
			r.RunningTasks = []RunningTask{{Job: low, Index: i, Attempt: 1, Resources: TaskResources(low.Spec), StopCost: time.Second}}
			w.Machines = append(w.Machines, r)
		}
		w.Machines = append(w.Machines, oneRig())
		w.Machines[2].Name, w.Machines[2].Spot = "m-2", true
		p := Schedule(w)
		if len(p.Preemptions) != 2 || len(p.Draining) != 1 || p.Draining[0] != gang {
			t.Fatalf("%s: %d stopped, %d prepared", c.name, len(p.Preemptions), len(p.Draining))
		}
		gang.Draining, gang.ClaimedMachines = true, map[string]bool{"m-0": true, "m-1": true}
		// That it has missed its aims by now must not have it give up and begin anew.
		gang.Late, gang.Targets = true, []time.Duration{time.Second}
		// A small job of the team comes, with a place of its own.
		bit := sweepJob("j-3", "a", c.bitPrio)
		bit.Spec.GPUs, bit.Spec.AllowSpot, bit.Order = 1, true, 3
		w2 := &Snapshot{Jobs: []*Job{gang, bit}, Machines: w.Machines, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: 8}}, "b": {Limit: Resources{GPUs: 16}, Used: Resources{GPUs: 8}}}}
		p = Schedule(w2)
		if (len(p.Starts) == 0) != c.begins {
			t.Errorf("%s: a small job starts: %v", c.name, len(p.Starts) > 0)
		}
		if (len(p.Draining) == 1) != c.begins {
			t.Errorf("%s: %d prepared", c.name, len(p.Draining))
		}
	}
}

// TestMissedLeaveTheLimit guards against Peakdale's days: large gangs that had
// long missed their aims took the limit from their team's sweeps, which then
// missed theirs. Where the limit is not short, or the sweeps are late too,
// priority decides.
func TestMissedLeaveTheLimit(t *testing.T) {
	for _, c := range []struct {
		name                string
		gangLate, sweepLate bool
		max                 float64
		want                string
	}{
		{"both in time", false, false, 8, "j-1"},
		{"gang late", true, false, 8, "j-2"},
		{"both late", true, true, 8, "j-1"},
		{"limit is enough", true, false, 64, "j-1 j-2"},
	} {
		gang, sweep, other := sweepJob("j-1", "a", 1), sweepJob("j-2", "a", 0), sweepJob("j-3", "b", 0)
		gang.Spec.Kind, gang.Spec.Tasks, gang.WaitingTasks = "gang", 2, []int{0, 1}
		w := &Snapshot{Jobs: []*Job{gang, sweep, other}, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.max}}, "b": {Limit: Resources{GPUs: 8}}}}
		for i, j := range w.Jobs {
			j.Order, j.Targets = uint64(i), []time.Duration{time.Minute}
		}
		gang.Late, sweep.Late = c.gangLate, c.sweepLate
		for i := range 4 {
			r := oneRig()
			r.Name = fmt.Sprint("m-", i)
			w.Machines = append(w.Machines, r)
		}
		got := map[string]bool{}
		for _, s := range Schedule(w).Starts {
			got[s.Job.Spec.ID] = true
		}
		if !got["j-3"] {
			t.Errorf("%s: the other team's job did not start", c.name)
		}
		delete(got, "j-3")
		if names := strings.Join(slices.Sorted(maps.Keys(got)), " "); names != c.want {
			t.Errorf("%s: started %s, want %s", c.name, names, c.want)
		}
	}
}

// TestWhoStopsStandsBefore guards against a drawn day of Peakdale: the order of a
// team's jobs was changed without regard to guarantee. A job within its team's
// guarantee then stopped tasks of another team whose jobs stood before it and took
// the room back at once, two hundred thousand times. Whoever is given room that a
// pass frees is the one it was freed for.
func TestWhoStopsStandsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for _, j := range w.Jobs {
			if rapid.Bool().Draw(t, "aims") {
				j.Targets = []time.Duration{time.Minute}
				j.Late = rapid.Bool().Draw(t, "late")
			}
		}
		p := Schedule(w)
		for _, e := range p.Preemptions {
			for _, s := range p.Starts {
				if s.Machine == e.Machine && s.Job.Spec.Team == e.Victim.Job.Spec.Team && s.Job.Priority == e.Victim.Job.Priority &&
					s.Job.Guaranteed == e.Victim.Job.Guaranteed && !Before(s.Job, e.For) {
					t.Fatalf("%s starts on the machine where its like is stopped for %s", s.Job.Spec.ID, e.For.Spec.ID)
				}
			}
		}
	})
}

// TestOwnHoldsNeverKeepItOut guards against the same days: what was held for a gang
// used up its team's limit, and so kept the gang itself from starting for the rest
// of the day.
func TestOwnHoldsNeverKeepItOut(t *testing.T) {
	for _, shape := range []string{"gang", "sweep"} {
		j := sweepJob("j-1", "a", 1)
		j.Spec.Kind, j.Spec.Tasks, j.WaitingTasks = shape, 2, []int{0, 1}
		w := &Snapshot{Jobs: []*Job{j}, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: 8}, Used: Resources{GPUs: 20}}}}
		for i := range 7 {
			r := oneRig()
			if i < 5 {
				r.Reserved = []ReservedSlot{{Pipeline: j.Pipeline(), Priority: 1, Resources: TaskResources(j.Spec)}}
				r.Spot = true // held long ago, for another of the pipeline
			}
			r.Name = fmt.Sprint("m-", i)
			w.Machines = append(w.Machines, r)
		}
		p := Schedule(w)
		if len(p.Starts) != 2 || len(p.Released) != 5 || w.Teams["a"].Used.GPUs != 8 {
			t.Errorf("%s: %d started, %d holds given up, the team uses %v", shape, len(p.Starts), len(p.Released), w.Teams["a"].Used)
		}
	}
}

// TestUselessHoldsAreReleased guards against Peakdale's quiet days: what small gangs
// left was held for a large one that the team's limit had no room for, and the
// team's sweeps, which could have used it, were late. A hold that a waiting job can
// use stays.
func TestUselessHoldsAreReleased(t *testing.T) {
	for _, c := range []struct {
		name     string
		max      float64
		shape    string // of the second job of the pipeline
		edges    bool   // it is not: the gang has waited for others by name
		released int
	}{
		{"no room in the limit", 16, "", false, 2},
		{"room for the gang", 24, "", false, 0},
		{"a smaller gang", 16, "gang", false, 0},
		{"a sweep", 16, "sweep", false, 0},
		{"by edges, no room", 16, "sweep", true, 2},
		{"by edges, room", 24, "sweep", true, 0},
	} {
		gang, other := sweepJob("j-1", "a", 1), sweepJob("j-2", "a", 1)
		gang.Spec.Kind, gang.Spec.Tasks, gang.WaitingTasks = "gang", 3, []int{0, 1, 2}
		w := &Snapshot{Jobs: []*Job{gang}, Teams: map[string]*Team{"a": {Limit: Resources{GPUs: c.max}, Used: Resources{GPUs: 16}}}}
		if c.shape != "" {
			other.Spec.Kind = c.shape
			w.Jobs = append(w.Jobs, other)
		}
		for _, j := range w.Jobs {
			j.AvoidMachines = map[string]bool{"m-0": true, "m-1": true} // nothing starts
		}
		for i := range 2 {
			hold := ReservedSlot{Pipeline: gang.Pipeline(), Priority: 1, Resources: TaskResources(gang.Spec)}
			if c.edges {
				hold.Pipeline = gang.EdgePipeline()
			}
			r := oneRig(hold)
			r.Name = fmt.Sprint("m-", i)
			w.Machines = append(w.Machines, r)
		}
		if p := Schedule(w); len(p.Released) != c.released {
			t.Errorf("%s: %d released, want %d", c.name, len(p.Released), c.released)
		}
	}
}
