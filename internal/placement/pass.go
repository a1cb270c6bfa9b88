package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"thornnotch/internal/constants"
)

// Schedule runs one pass over the world. It changes the views of machines that
// it puts work on or stops work on; these must be made anew for the next pass.
func Schedule(w *Snapshot) *Plan {
	p := &pass{
		Snapshot: w, plan: &Plan{}, ending: make(map[string]Resources), holds: make(map[string][]heldOn), shortOf: make(map[string]bool), inTime: make(map[ownerAt]Resources), promises: make(map[string][]promise),
		able: make(map[standing]int), outside: make(map[string]bool), bits: make(map[standing]uint64),
	}
	var running []*Job // whose tasks may be stopped, each once
	byName := func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(w.Machines, byName) {
		slices.SortFunc(w.Machines, byName)
	}
	leanest := p.leanest()
	for i, r := range w.Machines {
		r.rank, r.claimed, r.roomy, r.standings = i, nil, false, 0
		r.sum()
		if r.Schedulable && !r.Spot && len(r.RunningTasks) == 0 {
			p.whole++
		}
		if r.Schedulable && r.AttemptCapacity > 0 && r.Total.Sub(r.used).Fits(leanest) {
			p.roomy, r.roomy = append(p.roomy, r), true
		}
		for _, s := range r.RunningTasks {
			switch {
			case s.Job == nil:
			case s.Stopping:
				p.ending[s.Job.Spec.Team] = p.ending[s.Job.Spec.Team].Add(s.Resources)
			default:
				// Counted by job first: tasks are many, standings few.
				if s.Job.tally == 0 {
					running = append(running, s.Job)
					s.Job.bit = p.bit(standing{s.Job.Priority, s.Job.Guaranteed, s.Job.Spec.Team})
				}
				s.Job.tally++
				r.standings |= s.Job.bit
			}
		}
		for _, h := range r.Reserved {
			p.holds[h.Pipeline.Team] = append(p.holds[h.Pipeline.Team], heldOn{r, h})
		}
	}
	for _, j := range running {
		p.able[standing{j.Priority, j.Guaranteed, j.Spec.Team}] += j.tally
		j.tally = 0
	}
	slices.SortFunc(w.Jobs, func(a, b *Job) int {
		switch {
		case Before(a, b):
			return -1
		case Before(b, a):
			return 1
		}
		return 0
	})
	p.classify()
	p.releaseUseless()
	p.keepClaims()
	p.keepPromises()
	for from := 0; from < len(w.Jobs); {
		to := from + 1
		for to < len(w.Jobs) && rankAs(w.Jobs[from], w.Jobs[to]) {
			to++
		}
		p.rank(w.Jobs[from:to])
		from = to
	}
	return p.plan
}

// rankAs tells whether two jobs differ only in the time that they have left.
func rankAs(a, b *Job) bool {
	return a.Boost == b.Boost && a.Priority == b.Priority && a.Guaranteed == b.Guaranteed
}

// rank places jobs of one rank. A slot whose machine would have to fetch the
// first job's image while the next one's is there goes to the next one, as
// long as the first has not been passed over for longer than the fetch takes.
// What nobody takes in this way goes in order after all.
func (p *pass) rank(jobs []*Job) {
	type rest struct {
		job  *Job
		from int
	}
	var again []rest
	if jobs[0].Boost == NoBoost {
		p.smallFirst(jobs)
		p.spareInTime(jobs)
	}
	for _, j := range jobs {
		if j.Blocked || len(j.WaitingTasks) == 0 || p.Teams[j.Spec.Team] == nil {
			continue
		}
		if j.Spec.Kind == "gang" {
			p.gang(j)
		} else if done := p.sweep(j, 0, j.SinceLastStart.Seconds()+constants.LocalImageMaxWaitS); done < len(j.WaitingTasks) {
			again = append(again, rest{j, done})
		}
	}
	for _, r := range again {
		done := p.sweep(r.job, r.from, math.Inf(1))
		if done < len(r.job.WaitingTasks) {
			p.plan.Unplaced = append(p.plan.Unplaced, r.job)
			p.makeRoom(r.job, len(r.job.WaitingTasks)-done)
		}
	}
}

// standing is what decides whether a task may be stopped.
type standing struct {
	priority   int
	guaranteed bool
	owner      string
}

// bit gives a standing its bit; those beyond 63 share one.
func (p *pass) bit(v standing) uint64 {
	b, known := p.bits[v]
	if !known {
		b = 1 << min(len(p.bits), 63)
		p.bits[v] = b
	}
	return b
}

type pass struct {
	*Snapshot
	bits map[standing]uint64
	plan *Plan
	// whole is the number of ordinary machines with nothing on them.
	whole int
	// ending is what this pass has told each team's tasks to give up.
	ending map[string]Resources
	// roomy are the machines that can take any task at all: when most are
	// full, no job need look at all of them. classes are these by size of task, and
	// largest is the most that any machine has of each kind.
	roomy   []*Machine
	classes map[sizeClass]*roomyClass
	largest Resources
	// able are the tasks that run, by standing.
	able map[standing]int
	// holds are the holds, by team.
	holds map[string][]heldOn
	// yieldsTo is the job that yielding was reckoned for.
	yieldsTo *Job
	yielding Resources
	// promises are the parts of the teams' limits that gangs will need.
	promises map[string][]promise
	// shortOf are the teams whose limit can't hold all that waits.
	shortOf map[string]bool
	// inTime is what teams' jobs below a priority wait for that can meet an aim.
	inTime map[ownerAt]Resources
	// outside are the teams that use more than their guarantee, as far as room
	// has been sought for the present job; victims is room to list tasks in.
	outside map[string]bool
	victims []RunningTask
	// tries counts the jobs that room was sought for.
	tries int
	// draining counts the machines that are kept for gangs until what runs on
	// them ends.
	draining int
	// claims are the machines kept from the last pass.
	claims map[*Job][]*Machine
	cands  candidates
}

// leanest is the least that any waiting task takes of each kind.
func (p *pass) leanest() (least Resources) {
	for i, j := range p.Jobs {
		n := TaskResources(j.Spec)
		if i == 0 {
			least = n
		}
		least = Resources{min(least.CPUs, n.CPUs), min(least.GPUs, n.GPUs), min(least.MemoryGB, n.MemoryGB)}
	}
	return least
}

// blocks tells whether held room is closed to a job: it is open to its own
// pipeline and to higher priority, and it never keeps another team from its
// guarantee.
func (h ReservedSlot) blocks(j *Job) bool {
	switch {
	case givesWay(h, j):
		return false
	case j.Guaranteed && j.Spec.Team != h.Pipeline.Team:
		return false
	}
	return true
}

// free is the room that the job may use on the machine.
func (m *Machine) free(j *Job) Resources {
	f := m.Total.Sub(m.used)
	for _, h := range m.Reserved {
		if h.blocks(j) {
			f = f.Sub(h.Resources)
		}
	}
	return f
}

// heldFor is the room that is kept on the machine for the job's pipeline.
func (m *Machine) heldFor(j *Job) (sum Resources, n int) {
	for _, h := range m.Reserved {
		if j.Owns(h.Pipeline) {
			sum = sum.Add(h.Resources)
			n++
		}
	}
	return sum, n
}

// Allowed tells whether the job may use the machine at all.
func Allowed(j *Job, r *Machine) bool {
	s := j.Spec
	if r.Spot && !s.AllowSpot || s.Zone != "" && s.Zone != r.Zone {
		return false
	}
	if s.MachineTypes == nil {
		return true
	}
	for _, t := range s.MachineTypes {
		if t == r.Type {
			return true
		}
	}
	return false
}

func (p *pass) usable(j *Job, r *Machine) bool {
	return r.Schedulable && r.AttemptCapacity > 0 && Allowed(j, r) && !j.AvoidMachines[r.Name] && (r.claimed == nil || r.claimed == j || outranks(j, r.claimed))
}

// outranks tells whether a job stands above another whatever the time.
func outranks(a, b *Job) bool {
	if a.Boost == BoostAboveAll || b.Boost == BoostAboveAll {
		return a.Boost > b.Boost
	}
	if a.Priority != b.Priority || a.Boost != b.Boost {
		return a.Priority > b.Priority || a.Priority == b.Priority && a.Boost > b.Boost
	}
	return a.Guaranteed && !b.Guaranteed
}

// keepClaims renews the claims of gangs that still wait. A machine that drains
// for a gang must not be filled again by the small tasks of whichever job has
// less time left at the moment, or it never comes to be empty.
func (p *pass) keepClaims() {
	p.claims = make(map[*Job][]*Machine)
	byName := func(name string) *Machine {
		at, ok := slices.BinarySearchFunc(p.Machines, name, func(r *Machine, name string) int { return strings.Compare(r.Name, name) })
		if !ok {
			return nil
		}
		return p.Machines[at]
	}
	for _, j := range p.Jobs {
		if j.Spec.Kind != "gang" || len(j.WaitingTasks) == 0 || j.Blocked {
			continue
		}
		for name := range j.ClaimedMachines {
			if r := byName(name); r != nil && r.claimed == nil && r.Schedulable {
				r.claimed = j
				p.claims[j] = append(p.claims[j], r)
			}
		}
	}
}

// delay estimates how long a task would wait for its image on the machine.
func (m *Machine) delay(j *Job) float64 {
	if left, ok := m.ImageWait[j.Spec.Image]; ok {
		return left.Seconds()
	}
	if m.FetchGBPerS <= 0 {
		return 0
	}
	return j.Spec.ImageGB / m.FetchGBPerS * float64(1+m.ActiveFetches)
}

// score ranks machines for a task; lower is better.
func (p *pass) score(r *Machine, j *Job) float64 {
	s := r.delay(j)
	if _, n := r.heldFor(j); n > 0 {
		s -= constants.EmptyMachinePenalty
	}
	if j.Spec.AllowSpot && !r.Spot {
		s += constants.OrdinaryMachinePenalty
		if j.Spec.Kind != "gang" && r.used == (Resources{}) && p.whole > 0 {
			s += constants.LastWholeMachinePenalty / float64(p.whole)
		}
	}
	if j.Spec.Kind != "gang" {
		full := r.used.DominantShare(r.Total)
		if _, have := r.ImageWait[j.Spec.Image]; have || !r.Spot {
			s += constants.PartlyUsedBonus * (1 - full)
		} else {
			// The image must be fetched anyway: on a machine that gangs can't
			// use it had better come to one more machine than to few.
			s += constants.EmptyMachinePenalty * full
		}
	}
	return s
}

// put books one task on a machine.
func (p *pass) put(j *Job, index int, r *Machine) {
	need := TaskResources(j.Spec)
	if !r.Spot && r.used == (Resources{}) {
		p.whole--
	}
	r.used = r.used.Add(need)
	r.AttemptCapacity--
	p.Teams[j.Spec.Team].Used = p.Teams[j.Spec.Team].Used.Add(need)
	for _, h := range r.Reserved {
		if j.Owns(h.Pipeline) {
			// The task takes the place of its hold, which counted already.
			p.unhold(heldOn{r, h})
			break
		}
	}
	if t := p.Teams[j.Spec.Team]; !t.Allows(Resources{}) {
		p.giveWay(j, Resources{})
	}
	if j.TasksByZone == nil {
		j.TasksByZone = make(map[string]int)
	}
	j.TasksByZone[r.Zone]++
	if _, ok := r.ImageWait[j.Spec.Image]; !ok {
		left := time.Duration(r.delay(j) * float64(time.Second))
		if r.ImageWait == nil {
			r.ImageWait = make(map[string]time.Duration)
		}
		r.ImageWait[j.Spec.Image] = left
		r.ActiveFetches++
	}
	p.plan.Starts = append(p.plan.Starts, Start{j, index, r})
}

// zoneAllows keeps samePlace and apart with the job's tasks as they stand.
func zoneAllows(j *Job, zone string) bool {
	if j.Spec.SameZone {
		for z, n := range j.TasksByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spec.SpreadZones || j.TasksByZone[zone] < ZoneCap(j.Spec)
}
