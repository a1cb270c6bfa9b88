package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"thornnotch/internal/constants"
)

// mayEvict tells whether the job may stop a task. The protocol allows it for
// higher priority and, to give a team its guarantee, against whatever another
// team runs beyond its own. Taken together these two can go in a circle: an
// urgent job beyond its guarantee and a standard one within, stopping each
// other for ever. So stopping follows the queue's own order, priority first
// and guarantee second: what is stopped also stands behind in the queue and
// can't take the room back.
func (p *pass) mayEvict(j *Job, s RunningTask) bool {
	if s.Stopping || s.Job == nil {
		return false
	}
	v := s.Job
	if v.Priority != j.Priority {
		return v.Priority < j.Priority
	}
	return j.Guaranteed && !v.Guaranteed && v.Spec.Team != j.Spec.Team && p.beyond(v.Spec.Team)
}

// beyond tells whether a team uses more than its guarantee.
func (p *pass) beyond(owner string) bool {
	is, known := p.outside[owner]
	if !known {
		t := p.Teams[owner]
		is = t != nil && !t.WithinGuarantee(t.Used.Sub(p.ending[owner]))
		if p.outside != nil {
			p.outside[owner] = is
		}
	}
	return is
}

// mayStop tells whether anything runs that the job may stop.
func (p *pass) mayStop(j *Job) bool {
	for v, n := range p.able {
		if n > 0 && (v.priority < j.Priority ||
			v.priority == j.Priority && j.Guaranteed && !v.guaranteed && v.owner != j.Spec.Team && p.beyond(v.owner)) {
			return true
		}
	}
	return false
}

// option is a machine whose room could be made or kept for a job.
type option struct {
	machine *Machine
	victim  []RunningTask
	cost    float64
	coming  int // tasks that fit once what ends has ended
}

// makeRoom is called for a job that has n tasks without a place. It keeps
// machines whose room is about to come free from jobs after this one, and
// stops others' tasks where the rules allow it. Only the first jobs in the
// queue get this: what they leave is little, and looking costs time.
func (p *pass) makeRoom(j *Job, n int) {
	clear(p.outside) // what this pass has placed and stopped so far changes it
	need := TaskResources(j.Spec)
	gang := j.Spec.Kind == "gang"
	mayStop := p.mayStop(j)
	if !p.allows(j, need) || !gang && !mayStop {
		return
	}
	if p.tries++; p.tries > constants.MaxPreemptionAttempts {
		return
	}
	// Once as many machines drain as may, only what comes free by itself or by
	// stopping others is of use: the rest need not be looked at.
	drains := gang && !p.drained(1)
	stops := uint64(0)
	if mayStop {
		stops = p.stops(j)
	}
	oneZone := gang && j.Spec.SameZone && n > 1
	best := make(map[string][]option) // the n cheapest, by zone if it matters
	var zones []string
	for _, r := range p.Machines {
		if !drains && !r.roomy && r.ending == (Resources{}) && r.standings&stops == 0 && !p.thorough {
			continue
		}
		if r.claimed != nil && r.claimed != j && j.Boost == NoBoost || !p.usable(j, r) || !zoneAllows(j, r.Zone) || !r.Total.Fits(need) {
			continue
		}
		zone := ""
		if oneZone {
			zone = r.Zone
		}
		list := best[zone]
		worst := math.Inf(1)
		if len(list) == n {
			worst = list[n-1].cost
		}
		o, ok := p.option(j, r, need, n, mayStop, stops, worst)
		if !ok || o.coming == 0 && !gang {
			// A task of a sweep takes any room that comes free; only whole
			// machines for gangs need keeping.
			continue
		}
		if list == nil {
			zones = append(zones, zone)
		}
		at, _ := slices.BinarySearchFunc(list, o, func(a, b option) int {
			if a.cost > b.cost {
				return 1
			}
			return -1 // equal ones keep the machines' order
		})
		if at < n {
			list = slices.Insert(list, at, o)
			best[zone] = list[:min(len(list), n)]
		}
	}
	chosen, least := "", 0.0
	for _, z := range zones {
		sum, room := 0.0, 0
		for _, o := range best[z] {
			if room >= n {
				break
			}
			sum += o.cost
			room += max(1, o.coming)
		}
		// Room is only of use in one zone: the cheapest that has enough.
		if oneZone && room < n {
			continue
		}
		if chosen == "" && least == 0 || sum < least {
			chosen, least = z, sum
		}
	}
	if gang {
		// Machines that the job no longer waits for are free for others.
		for _, r := range p.claims[j] {
			r.claimed = nil
		}
	}
	idle := 0
	for _, o := range best[chosen] {
		if o.coming == 0 {
			idle++
		}
	}
	if idle > 0 && p.drained(idle) {
		// Enough machines drain for gangs already. What comes free goes to
		// other work meanwhile: where much waits, all would stand half empty.
		return
	}
	p.draining += idle
	if coming := best[chosen]; gang && idle == 0 && len(coming) > 0 {
		room := 0
		for _, o := range coming {
			room += o.coming
		}
		if room >= n {
			p.promise(j)
			p.plan.Draining = append(p.plan.Draining, j)
		}
	}
	for _, o := range best[chosen] {
		if n <= 0 {
			break
		}
		p.prepare(j, o, gang)
		n -= max(1, o.coming)
	}
}

// drained tells whether so many machines more would be too many to drain at a
// time.
func (p *pass) drained(more int) bool {
	return p.draining > 0 && float64(p.draining+more) > constants.MaxDrainingShare*float64(len(p.Machines))
}

// stops are the standings, as bits, whose tasks the job may stop.
func (p *pass) stops(j *Job) (bits uint64) {
	for v, bit := range p.bits {
		if v.priority < j.Priority || v.priority == j.Priority && j.Guaranteed && !v.guaranteed && v.owner != j.Spec.Team {
			bits |= bit
		}
	}
	return bits
}

// option weighs one machine for a job that needs room, as long as it may cost
// less than the worst that the job has already. Every gang that waits looks at
// all machines, so nothing is reckoned or kept here that can't matter.
func (p *pass) option(j *Job, r *Machine, need Resources, n int, mayStop bool, stops uint64, worst float64) (option, bool) {
	f := r.free(j).Add(r.ending)
	o := option{machine: r, coming: f.Count(need, n)}
	if o.coming > 0 {
		o.cost = r.delay(j)
		return o, o.cost < worst
	}
	if mayStop && r.stoppable && r.standings&stops != 0 && (r.lowest < j.Priority || j.Guaranteed) {
		able, all := p.victims[:0], f
		for _, s := range r.RunningTasks {
			if p.mayEvict(j, s) {
				able = append(able, s)
				all = all.Add(s.Resources)
			}
		}
		p.victims = able[:0]
		if all.Fits(need) {
			slices.SortStableFunc(able, func(a, b RunningTask) int {
				if a.Job.Priority != b.Job.Priority {
					return cmp.Compare(a.Job.Priority, b.Job.Priority)
				}
				return cmp.Compare(a.StopCost, b.StopCost)
			})
			g, many := f, 0
			var cost time.Duration
			for _, s := range able {
				if g.Fits(need) || cost.Seconds() >= worst {
					break
				}
				g = g.Add(s.Resources)
				cost += time.Duration(float64(s.StopCost) * s.Resources.DominantShare(r.Total) * constants.StopWeight)
				many++
			}
			o.cost = cost.Seconds() + r.delay(j)*need.DominantShare(r.Total)*constants.StopWeight
			if o.cost >= worst {
				return o, false
			}
			o.victim = slices.Clone(able[:many])
			o.coming = g.Count(need, n)
			return o, true
		}
	}
	if j.Spec.Kind != "gang" {
		return o, false
	}
	if 1e6+r.left.Seconds()-constants.ClaimedMachineBonusS-constants.BoostedClaimBonusS >= worst {
		return o, false
	}
	o.cost = 1e6 + r.left.Seconds() + r.delay(j)
	if j.ClaimedMachines[r.Name] {
		o.cost -= constants.ClaimedMachineBonusS
		if j.Boost != NoBoost {
			o.cost -= constants.BoostedClaimBonusS
		}
	}
	return o, o.cost < worst
}

// prepare keeps a machine for a job and stops what must go.
func (p *pass) prepare(j *Job, o option, gang bool) {
	for _, s := range o.victim {
		p.stop(j, o.machine, s)
	}
	if gang || len(o.victim) > 0 {
		o.machine.claimed = j
		// What is held here for lower work can't be used by it any more.
		for _, h := range slices.Clone(o.machine.Reserved) {
			if !j.Owns(h.Pipeline) && !h.blocks(j) {
				p.release(heldOn{o.machine, h})
			}
		}
		p.plan.Claims = append(p.plan.Claims, DrainClaim{j, o.machine})
	}
}
