package placement

import (
	"sort"
	"time"

	"thornnotch/internal/tuning"
)

// Decide runs one pass over the world.
func Decide(w *World) *Plan {
	p := &pass{World: w, plan: &Plan{}, ending: make(map[string]Room)}
	sort.Slice(w.Rigs, func(i, j int) bool { return w.Rigs[i].Name < w.Rigs[j].Name })
	for i, r := range w.Rigs {
		r.rank = i
		if r.Open && !r.Spot && len(r.Slots) == 0 {
			p.whole++
		}
		for _, s := range r.Slots {
			r.used = r.used.Add(s.Room)
			if s.Ending && s.Job != nil {
				p.ending[s.Job.Spec.Owner] = p.ending[s.Job.Spec.Owner].Add(s.Room)
			}
		}
	}
	sort.Slice(w.Jobs, func(i, j int) bool { return Before(w.Jobs[i], w.Jobs[j]) })
	p.keepClaims()
	for _, j := range w.Jobs {
		if j.Blocked || len(j.Waiting) == 0 || w.Teams[j.Spec.Owner] == nil {
			continue
		}
		if j.Spec.Shape == "gang" {
			p.gang(j)
		} else {
			p.sweep(j)
		}
	}
	return p.plan
}

type pass struct {
	*World
	plan *Plan
	// whole is the number of ordinary machines with nothing on them.
	whole int
	// ending is what this pass has told each team's tasks to give up.
	ending map[string]Room
}

// blocks tells whether held room is closed to a job: it is open to its own
// pipeline and to higher priority, and it never keeps another team from its
// guarantee.
func (h Held) blocks(j *Job) bool {
	switch {
	case h.Pipeline == j.Pipeline():
		return false
	case j.Priority > h.Priority:
		return false
	case j.Guaranteed && j.Spec.Owner != h.Pipeline.Owner:
		return false
	}
	return true
}

// free is the room that the job may use on the machine.
func (r *Rig) free(j *Job) Room {
	f := r.Total.Sub(r.used)
	for _, h := range r.Held {
		if h.blocks(j) {
			f = f.Sub(h.Room)
		}
	}
	return f
}

// heldFor is the room that is kept on the machine for the job's pipeline.
func (r *Rig) heldFor(j *Job) (sum Room, n int) {
	for _, h := range r.Held {
		if h.Pipeline == j.Pipeline() {
			sum = sum.Add(h.Room)
			n++
		}
	}
	return sum, n
}

// Allowed tells whether the job may use the machine at all.
func Allowed(j *Job, r *Rig) bool {
	s := j.Spec
	if r.Spot && !s.Loaners || s.Hall != "" && s.Hall != r.Zone {
		return false
	}
	if s.RigTypes == nil {
		return true
	}
	for _, t := range s.RigTypes {
		if t == r.Type {
			return true
		}
	}
	return false
}

func (p *pass) usable(j *Job, r *Rig) bool {
	return r.Open && r.Seats > 0 && Allowed(j, r) && !j.Avoid[r.Name] && (r.claimed == nil || r.claimed == j || outranks(j, r.claimed))
}

// outranks tells whether a job stands above another whatever the time.
func outranks(a, b *Job) bool {
	return a.Priority > b.Priority || a.Priority == b.Priority && a.Guaranteed && !b.Guaranteed
}

// keepClaims renews the claims of gangs that still wait. A machine that drains
// for a gang must not be filled again by the small tasks of whichever job has
// less time left at the moment, or it never comes to be empty.
func (p *pass) keepClaims() {
	byName := make(map[string]*Rig, len(p.Rigs))
	for _, r := range p.Rigs {
		byName[r.Name] = r
	}
	for _, j := range p.Jobs {
		if j.Spec.Shape != "gang" || len(j.Waiting) == 0 || j.Blocked {
			continue
		}
		for name := range j.Claims {
			if r := byName[name]; r != nil && r.claimed == nil && r.Open {
				r.claimed = j
			}
		}
	}
}

// delay estimates how long a task would wait for its image on the machine.
func (r *Rig) delay(j *Job) float64 {
	if left, ok := r.Cached[j.Spec.Bundle]; ok {
		return left.Seconds()
	}
	if r.Pull <= 0 {
		return 0
	}
	return j.Spec.ImageGB / r.Pull * float64(1+r.Fetching)
}

// score ranks machines for a task; lower is better.
func (p *pass) score(r *Rig, j *Job) float64 {
	s := r.delay(j)
	if _, n := r.heldFor(j); n > 0 {
		s -= tuning.SpareEmpty
	}
	if j.Spec.Loaners && !r.Spot {
		s += tuning.SpareOrdinary
		if j.Spec.Shape != "gang" && r.used == (Room{}) && p.whole > 0 {
			s += tuning.SpareWhole / float64(p.whole)
		}
	}
	if j.Spec.Shape != "gang" && r.Total.GPUs > 0 {
		if _, have := r.Cached[j.Spec.Bundle]; have || !r.Spot {
			s += tuning.SparePart * (1 - r.used.GPUs/r.Total.GPUs)
		} else {
			// The image must be fetched anyway: on a machine that gangs can't
			// use it had better come to one more machine than to few.
			s += tuning.SpareEmpty * r.used.GPUs / r.Total.GPUs
		}
	}
	return s
}

// put books one task on a machine.
func (p *pass) put(j *Job, index int, r *Rig) {
	need := Need(j.Spec)
	if !r.Spot && r.used == (Room{}) {
		p.whole--
	}
	r.used = r.used.Add(need)
	r.Seats--
	p.Teams[j.Spec.Owner].Used = p.Teams[j.Spec.Owner].Used.Add(need)
	for i, h := range r.Held {
		if h.Pipeline == j.Pipeline() {
			// The task takes the place of its hold, which counted already.
			r.Held = append(append([]Held(nil), r.Held[:i]...), r.Held[i+1:]...)
			p.Teams[j.Spec.Owner].Used = p.Teams[j.Spec.Owner].Used.Sub(h.Room)
			break
		}
	}
	if j.Zones == nil {
		j.Zones = make(map[string]int)
	}
	j.Zones[r.Zone]++
	if _, ok := r.Cached[j.Spec.Bundle]; !ok {
		left := time.Duration(r.delay(j) * float64(time.Second))
		if r.Cached == nil {
			r.Cached = make(map[string]time.Duration)
		}
		r.Cached[j.Spec.Bundle] = left
		r.Fetching++
	}
	p.plan.Starts = append(p.plan.Starts, Start{j, index, r})
}

// limitAllows tells whether the team may take one more task on the machine,
// where a hold of its own may already count for it.
func (p *pass) limitAllows(j *Job, r *Rig) bool {
	extra := Need(j.Spec)
	for _, h := range r.Held {
		if h.Pipeline == j.Pipeline() {
			extra = extra.Sub(h.Room)
			break
		}
	}
	return p.Teams[j.Spec.Owner].Allows(extra)
}

// zoneAllows keeps samePlace and apart with the job's tasks as they stand.
func zoneAllows(j *Job, zone string) bool {
	if j.Spec.SamePlace {
		for z, n := range j.Zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spec.Apart || j.Zones[zone] < ZoneCap(j.Spec)
}

func (p *pass) sweep(j *Job) {
	need := Need(j.Spec)
	for i, index := range j.Waiting {
		var best *Rig
		var bestScore float64
		for _, r := range p.Rigs {
			if !p.usable(j, r) || !zoneAllows(j, r.Zone) || !r.free(j).Fits(need) || !p.limitAllows(j, r) {
				continue
			}
			if s := p.score(r, j); best == nil || s < bestScore {
				best, bestScore = r, s
			}
		}
		if best == nil {
			p.plan.Unmet = append(p.plan.Unmet, j)
			p.makeRoom(j, len(j.Waiting)-i)
			return
		}
		p.put(j, index, best)
	}
}

func (p *pass) gang(j *Job) {
	if rigs := p.gangRigs(j, func(r *Rig) Room { return r.free(j) }); rigs != nil {
		for i, r := range rigs {
			p.put(j, j.Waiting[i], r)
		}
		return
	}
	p.plan.Unmet = append(p.plan.Unmet, j)
	if !p.gangWithinLimit(j) {
		return
	}
	p.makeRoom(j, len(j.Waiting))
}

func (p *pass) gangWithinLimit(j *Job) bool {
	t := p.Teams[j.Spec.Owner]
	extra := Need(j.Spec).Times(len(j.Waiting))
	// Its pipeline's own holds give way to the gang.
	n := len(j.Waiting)
	for _, r := range p.Rigs {
		for _, h := range r.Held {
			if n > 0 && h.Pipeline == j.Pipeline() {
				extra = extra.Sub(h.Room)
				n--
			}
		}
	}
	return t.Allows(extra)
}

// gangRigs finds machines for all waiting tasks, or none. room tells what a
// machine can give to the job.
func (p *pass) gangRigs(j *Job, room func(*Rig) Room) []*Rig {
	if !p.gangWithinLimit(j) {
		return nil
	}
	need := Need(j.Spec)
	type seat struct {
		rig   *Rig
		score float64
	}
	byZone := make(map[string][]seat)
	var zones []string
	var all []seat
	for _, r := range p.Rigs {
		if !p.usable(j, r) {
			continue
		}
		n := room(r).Count(need, min(len(j.Waiting), r.Seats))
		for k := 0; k < n; k++ {
			s := seat{r, p.score(r, j)}
			if byZone[r.Zone] == nil {
				zones = append(zones, r.Zone)
			}
			byZone[r.Zone] = append(byZone[r.Zone], s)
			all = append(all, s)
		}
	}
	// A gang moves when its last image is there, so a choice of machines is
	// as good as its worst.
	pick := func(seats []seat, cap int) ([]*Rig, float64) {
		sort.SliceStable(seats, func(a, b int) bool { return seats[a].score < seats[b].score })
		// Tasks that already have their place count too: a gang that lost one
		// while it waited gets a replacement.
		per := make(map[string]int)
		for z, n := range j.Zones {
			per[z] = n
		}
		var out []*Rig
		worst := 0.0
		for _, s := range seats {
			if len(out) == len(j.Waiting) {
				break
			}
			if per[s.rig.Zone] >= cap {
				continue
			}
			per[s.rig.Zone]++
			out = append(out, s.rig)
			worst = s.score
		}
		if len(out) < len(j.Waiting) {
			return nil, 0
		}
		return out, worst
	}
	if !j.Spec.SamePlace {
		rigs, _ := pick(all, ZoneCap(j.Spec))
		return rigs
	}
	if j.Spec.Pieces > ZoneCap(j.Spec) {
		return nil
	}
	var best []*Rig
	bestScore := 0.0
	for _, z := range zones {
		if !zoneAllows(j, z) {
			continue
		}
		if rigs, s := pick(byZone[z], j.Spec.Pieces); rigs != nil && (best == nil || s < bestScore) {
			best, bestScore = rigs, s
		}
	}
	return best
}

// mayEvict tells whether the job may stop a task. The protocol allows it for
// higher priority and, to give a team its guarantee, against whatever another
// team runs beyond its own. Taken together these two can go in a circle: an
// urgent job beyond its guarantee and a standard one within, stopping each
// other for ever. So stopping follows the queue's own order, priority first
// and guarantee second: what is stopped also stands behind in the queue and
// can't take the room back.
func (p *pass) mayEvict(j *Job, s Slot) bool {
	if s.Ending || s.Job == nil {
		return false
	}
	v := s.Job
	if v.Priority != j.Priority {
		return v.Priority < j.Priority
	}
	return j.Guaranteed && !v.Guaranteed && v.Spec.Owner != j.Spec.Owner && p.beyond(v.Spec.Owner)
}

// beyond tells whether a team uses more than its guarantee.
func (p *pass) beyond(owner string) bool {
	t := p.Teams[owner]
	return t != nil && !t.Guards(t.Used.Sub(p.ending[owner]))
}

// makeRoom is called for a job that has n tasks without a place. It keeps
// machines whose room is about to come free from jobs after this one, and
// stops others' tasks where the rules allow it.
func (p *pass) makeRoom(j *Job, n int) {
	need := Need(j.Spec)
	gang := j.Spec.Shape == "gang"
	if !p.Teams[j.Spec.Owner].Allows(need) {
		return
	}
	type option struct {
		rig    *Rig
		victim []Slot
		cost   float64
		coming int
	}
	var options []option
	for _, r := range p.Rigs {
		if !p.usable(j, r) || r.claimed != nil && r.claimed != j || !zoneAllows(j, r.Zone) || !r.Total.Fits(need) {
			continue
		}
		f := r.free(j)
		var left time.Duration
		for _, s := range r.Slots {
			if s.Ending {
				f = f.Add(s.Room)
			}
		}
		o := option{rig: r, coming: f.Count(need, n)}
		if o.coming == 0 {
			var able []Slot
			for _, s := range r.Slots {
				if p.mayEvict(j, s) {
					able = append(able, s)
				}
			}
			sort.SliceStable(able, func(a, b int) bool {
				if x, y := able[a].Job.Priority, able[b].Job.Priority; x != y {
					return x < y
				}
				return able[a].Loss < able[b].Loss
			})
			g := f
			var cost time.Duration
			for _, s := range able {
				if g.Fits(need) {
					break
				}
				g = g.Add(s.Room)
				cost += time.Duration(float64(s.Loss) * max(s.Room.GPUs, 1))
				o.victim = append(o.victim, s)
			}
			if g.Fits(need) {
				o.cost = cost.Seconds() + r.delay(j)*max(need.GPUs, 1)
				o.coming = g.Count(need, n)
			} else {
				o.victim = nil
				for _, s := range r.Slots {
					left = max(left, s.Left)
				}
				o.cost = 1e6 + left.Seconds() + r.delay(j)
				if j.Claims[r.Name] {
					o.cost -= tuning.ClaimKept
				}
			}
		} else {
			o.cost = r.delay(j)
		}
		options = append(options, o)
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].cost < options[b].cost })
	if gang && j.Spec.SamePlace && n > 1 {
		// Room is only of use in one zone: take the cheapest that has enough.
		sums, counts := map[string]float64{}, map[string]int{}
		for _, o := range options {
			if counts[o.rig.Zone] < n {
				sums[o.rig.Zone] += o.cost
				counts[o.rig.Zone] += max(1, o.coming)
			}
		}
		zone := ""
		for z, c := range counts {
			if c >= n && (zone == "" || sums[z] < sums[zone] || sums[z] == sums[zone] && z < zone) {
				zone = z
			}
		}
		kept := options[:0]
		for _, o := range options {
			if o.rig.Zone == zone {
				kept = append(kept, o)
			}
		}
		options = kept
	}
	for _, o := range options {
		if n <= 0 {
			if o.rig.claimed == j {
				o.rig.claimed = nil // a better one has taken its place
			}
			continue
		}
		if o.coming == 0 && !gang {
			// A task of a sweep takes any room that comes free; only whole
			// machines for gangs need keeping.
			continue
		}
		for _, s := range o.victim {
			p.plan.Evicts = append(p.plan.Evicts, Evict{o.rig, s, j})
			for i := range o.rig.Slots {
				if o.rig.Slots[i].Try == s.Try && o.rig.Slots[i].Index == s.Index && o.rig.Slots[i].Job == s.Job {
					o.rig.Slots[i].Ending = true
				}
			}
			// It counts toward the team's limit until it is proven gone; only
			// what the team runs beyond its guarantee shrinks already.
			p.ending[s.Job.Spec.Owner] = p.ending[s.Job.Spec.Owner].Add(s.Room)
		}
		if gang || len(o.victim) > 0 {
			o.rig.claimed = j
			p.plan.Claims = append(p.plan.Claims, Claim{j, o.rig})
		}
		n -= max(1, o.coming)
	}
}
