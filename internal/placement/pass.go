package placement

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"strings"
	"time"

	"thornnotch/internal/tuning"
)

// Decide runs one pass over the world. It changes the views of machines that
// it puts work on or stops work on; these must be made anew for the next pass.
func Decide(w *World) *Plan {
	p := &pass{World: w, plan: &Plan{}, ending: make(map[string]Room), held: make(map[Pipeline][]Room),
		able: make(map[standing]int)}
	byName := func(a, b *Rig) int { return strings.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(w.Rigs, byName) {
		slices.SortFunc(w.Rigs, byName)
	}
	leanest := p.leanest()
	for i, r := range w.Rigs {
		r.rank, r.claimed = i, nil
		r.sum()
		if r.Open && !r.Spot && len(r.Slots) == 0 {
			p.whole++
		}
		if r.Open && r.Seats > 0 && r.Total.Sub(r.used).Fits(leanest) {
			p.roomy = append(p.roomy, r)
		}
		for _, s := range r.Slots {
			switch {
			case s.Job == nil:
			case s.Ending:
				p.ending[s.Job.Spec.Owner] = p.ending[s.Job.Spec.Owner].Add(s.Room)
			default:
				p.able[standing{s.Job.Priority, s.Job.Guaranteed, s.Job.Spec.Owner}]++
			}
		}
		for _, h := range r.Held {
			p.held[h.Pipeline] = append(p.held[h.Pipeline], h.Room)
		}
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
	p.keepClaims()
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
	return a.Overdue == b.Overdue && a.Priority == b.Priority && a.Guaranteed == b.Guaranteed
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
	for _, j := range jobs {
		if j.Blocked || len(j.Waiting) == 0 || p.Teams[j.Spec.Owner] == nil {
			continue
		}
		if j.Spec.Shape == "gang" {
			p.gang(j)
		} else if done := p.sweep(j, 0, j.Passed.Seconds()+tuning.LocalDelay); done < len(j.Waiting) {
			again = append(again, rest{j, done})
		}
	}
	for _, r := range again {
		done := p.sweep(r.job, r.from, math.Inf(1))
		if done < len(r.job.Waiting) {
			p.plan.Unmet = append(p.plan.Unmet, r.job)
			p.makeRoom(r.job, len(r.job.Waiting)-done)
		}
	}
}

// standing is what decides whether a task may be stopped.
type standing struct {
	priority   int
	guaranteed bool
	owner      string
}

type pass struct {
	*World
	plan *Plan
	// whole is the number of ordinary machines with nothing on them.
	whole int
	// ending is what this pass has told each team's tasks to give up.
	ending map[string]Room
	// roomy are the machines that can take any task at all: when most are
	// full, no job need look at all of them.
	roomy []*Rig
	// held is the room held for each pipeline, able the tasks that run, by
	// standing.
	held map[Pipeline][]Room
	able map[standing]int
	// tries counts the jobs that room was sought for.
	tries int
	// claims are the machines kept from the last pass.
	claims map[*Job][]*Rig
	cands  candidates
}

// leanest is the least that any waiting task takes of each kind.
func (p *pass) leanest() (least Room) {
	for i, j := range p.Jobs {
		n := Need(j.Spec)
		if i == 0 {
			least = n
		}
		least = Room{min(least.VCPUs, n.VCPUs), min(least.GPUs, n.GPUs), min(least.RAM, n.RAM)}
	}
	return least
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
	if a.Overdue == LiftAll || b.Overdue == LiftAll {
		return a.Overdue > b.Overdue
	}
	if a.Priority != b.Priority || a.Overdue != b.Overdue {
		return a.Priority > b.Priority || a.Priority == b.Priority && a.Overdue > b.Overdue
	}
	return a.Guaranteed && !b.Guaranteed
}

// keepClaims renews the claims of gangs that still wait. A machine that drains
// for a gang must not be filled again by the small tasks of whichever job has
// less time left at the moment, or it never comes to be empty.
func (p *pass) keepClaims() {
	p.claims = make(map[*Job][]*Rig)
	byName := func(name string) *Rig {
		at, ok := slices.BinarySearchFunc(p.Rigs, name, func(r *Rig, name string) int { return strings.Compare(r.Name, name) })
		if !ok {
			return nil
		}
		return p.Rigs[at]
	}
	for _, j := range p.Jobs {
		if j.Spec.Shape != "gang" || len(j.Waiting) == 0 || j.Blocked {
			continue
		}
		for name := range j.Claims {
			if r := byName(name); r != nil && r.claimed == nil && r.Open {
				r.claimed = j
				p.claims[j] = append(p.claims[j], r)
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
			if list := p.held[h.Pipeline]; len(list) > 0 {
				p.held[h.Pipeline] = list[:len(list)-1]
			}
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

// candidate is a machine that a sweep's next task could go to.
type candidate struct {
	rig   *Rig
	score float64
}

// candidates is a heap, the best first.
type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score < c[j].score
	}
	return c[i].rig.rank < c[j].rig.rank
}
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push adds a candidate.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop takes the last one off.
func (c *candidates) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// takes tells whether one more task of a sweep may go to the machine.
func (p *pass) takes(j *Job, r *Rig, need Room) bool {
	if j.Spec.Loaners && !r.Spot && r.used == (Room{}) && p.whole <= p.Spare {
		// Whole ordinary machines are kept for gangs that can use no others.
		return false
	}
	return p.usable(j, r) && zoneAllows(j, r.Zone) && r.free(j).Fits(need) && p.limitAllows(j, r)
}

// sweep places a job's waiting tasks from one on, on machines that have its
// image within patience seconds, and tells up to which one it came.
func (p *pass) sweep(j *Job, from int, patience float64) int {
	need := Need(j.Spec)
	if !p.Teams[j.Spec.Owner].Allows(need) && len(p.held[j.Pipeline()]) == 0 {
		return from
	}
	c := p.cands[:0]
	for _, r := range p.roomy {
		if p.takes(j, r, need) && r.delay(j) <= patience {
			c = append(c, candidate{r, p.score(r, j)})
		}
	}
	heap.Init(&c)
	defer func() { p.cands = c[:0] }()
	for i := from; i < len(j.Waiting); i++ {
		// A put changes the score of its own machine, and makes whole ones
		// dearer: what comes to the top is looked at again.
		for len(c) > 0 {
			if !p.takes(j, c[0].rig, need) {
				heap.Pop(&c)
				continue
			}
			if s := p.score(c[0].rig, j); s > c[0].score {
				c[0].score = s
				heap.Fix(&c, 0)
				continue
			}
			break
		}
		if len(c) == 0 {
			return i
		}
		p.put(j, j.Waiting[i], c[0].rig)
		c[0].score = p.score(c[0].rig, j)
		heap.Fix(&c, 0)
	}
	return len(j.Waiting)
}

func (p *pass) gang(j *Job) {
	if rigs := p.gangRigs(j); rigs != nil {
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
	for i, room := range p.held[j.Pipeline()] {
		if i == len(j.Waiting) {
			break
		}
		extra = extra.Sub(room)
	}
	return t.Allows(extra)
}

// gangRigs finds machines for all waiting tasks, or none.
func (p *pass) gangRigs(j *Job) []*Rig {
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
	for _, r := range p.roomy {
		if !p.usable(j, r) {
			continue
		}
		n := r.free(j).Count(need, min(len(j.Waiting), r.Seats))
		if n == 0 {
			continue
		}
		s := seat{r, p.score(r, j)}
		for range n {
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
		slices.SortStableFunc(seats, func(a, b seat) int { return cmp.Compare(a.score, b.score) })
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

// mayStop tells whether anything runs that the job may stop.
func (p *pass) mayStop(j *Job) bool {
	for v, n := range p.able {
		if n > 0 && (v.priority < j.Priority ||
			v.priority == j.Priority && j.Guaranteed && !v.guaranteed && v.owner != j.Spec.Owner && p.beyond(v.owner)) {
			return true
		}
	}
	return false
}

// option is a machine whose room could be made or kept for a job.
type option struct {
	rig    *Rig
	victim []Slot
	cost   float64
	coming int // tasks that fit once what ends has ended
}

// makeRoom is called for a job that has n tasks without a place. It keeps
// machines whose room is about to come free from jobs after this one, and
// stops others' tasks where the rules allow it. Only the first jobs in the
// queue get this: what they leave is little, and looking costs time.
func (p *pass) makeRoom(j *Job, n int) {
	need := Need(j.Spec)
	gang := j.Spec.Shape == "gang"
	mayStop := p.mayStop(j)
	if !p.Teams[j.Spec.Owner].Allows(need) || !gang && !mayStop {
		return
	}
	if p.tries++; p.tries > tuning.RoomTries {
		return
	}
	oneZone := gang && j.Spec.SamePlace && n > 1
	best := make(map[string][]option) // the n cheapest, by zone if it matters
	var zones []string
	for _, r := range p.Rigs {
		if !p.usable(j, r) || r.claimed != nil && r.claimed != j && j.Overdue == NoLift || !zoneAllows(j, r.Zone) || !r.Total.Fits(need) {
			continue
		}
		o, ok := p.option(j, r, need, n, mayStop)
		if !ok || o.coming == 0 && !gang {
			// A task of a sweep takes any room that comes free; only whole
			// machines for gangs need keeping.
			continue
		}
		zone := ""
		if oneZone {
			zone = r.Zone
		}
		list := best[zone]
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
	for _, o := range best[chosen] {
		if n <= 0 {
			break
		}
		p.prepare(j, o, gang)
		n -= max(1, o.coming)
	}
}

// option weighs one machine for a job that needs room.
func (p *pass) option(j *Job, r *Rig, need Room, n int, mayStop bool) (option, bool) {
	f := r.free(j).Add(r.ending)
	o := option{rig: r, coming: f.Count(need, n)}
	if o.coming > 0 {
		o.cost = r.delay(j)
		return o, true
	}
	if mayStop && r.stoppable && (r.lowest < j.Priority || j.Guaranteed) {
		var able []Slot
		for _, s := range r.Slots {
			if p.mayEvict(j, s) {
				able = append(able, s)
			}
		}
		slices.SortStableFunc(able, func(a, b Slot) int {
			if a.Job.Priority != b.Job.Priority {
				return cmp.Compare(a.Job.Priority, b.Job.Priority)
			}
			return cmp.Compare(a.Loss, b.Loss)
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
			return o, true
		}
		o.victim = nil
	}
	if j.Spec.Shape != "gang" {
		return o, false
	}
	o.cost = 1e6 + r.left.Seconds() + r.delay(j)
	if j.Claims[r.Name] {
		o.cost -= tuning.ClaimKept
		if j.Overdue != NoLift {
			o.cost -= tuning.ClaimKeptOverdue
		}
	}
	return o, true
}

// prepare keeps a machine for a job and stops what must go.
func (p *pass) prepare(j *Job, o option, gang bool) {
	for _, s := range o.victim {
		p.plan.Evicts = append(p.plan.Evicts, Evict{o.rig, s, j})
		for i := range o.rig.Slots {
			if o.rig.Slots[i].Try == s.Try && o.rig.Slots[i].Index == s.Index && o.rig.Slots[i].Job == s.Job {
				o.rig.Slots[i].Ending = true
			}
		}
		o.rig.ending = o.rig.ending.Add(s.Room)
		p.able[standing{s.Job.Priority, s.Job.Guaranteed, s.Job.Spec.Owner}]--
		// It counts toward the team's limit until it is proven gone; only
		// what the team runs beyond its guarantee shrinks already.
		p.ending[s.Job.Spec.Owner] = p.ending[s.Job.Spec.Owner].Add(s.Room)
	}
	if gang || len(o.victim) > 0 {
		o.rig.claimed = j
		p.plan.Claims = append(p.plan.Claims, Claim{j, o.rig})
	}
}
