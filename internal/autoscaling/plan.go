package autoscaling

import (
	"math"
	"sort"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// InstancePool is where machines come from: a type, in a zone, of a kind.
type InstancePool struct {
	Type, Zone string
	Spot       bool
}

// Demand is one unfinished job's tasks that are not done yet.
type Demand struct {
	Team          string
	Tasks         int
	TaskResources placement.Resources
	AllowSpot     bool     // may use spot machines
	MachineTypes  []string // nil: any
	Zone          string   // empty: any
	// SameZone: all at the same time and in the same zone, whichever it is.
	SameZone bool
}

// TeamLimit is a team's largest use; more machines than it allows are no help.
type TeamLimit struct {
	Team  string
	Limit placement.Resources
}

// Snapshot is what renting looks at.
type Snapshot struct {
	Catalog  *Catalog
	Machines map[InstancePool]int // up or on their way
	Refused  map[InstancePool]bool
	Demand   []Demand
	Limits   []TeamLimit
	// Recent are the jobs that came within the last Window, whether done or
	// not: as much is to be expected of the time to come.
	Recent []Demand
	Window time.Duration
}

// demandedMachines tells how many machines are wanted of each kind: ordinary ones for
// what can't run elsewhere, spot ones for the rest.
func demandedMachines(v Snapshot, t MachineType) (ordinary, spot float64) { return v.fill(v.Demand, t) }

// fill tells how many machines the demand would fill, at most as much as the
// teams' limits let run.
func (v Snapshot) fill(demand []Demand, t MachineType) (ordinary, spot float64) {
	v.runnable(demand, t, func(d Demand, n, per int) {
		if f := float64(n) / float64(per); d.AllowSpot {
			spot += f
		} else {
			ordinary += f
		}
	})
	return ordinary, spot
}

// runnable tells, for each demand, how many of its tasks the team's limit lets run
// at once beside those before it, and how many a machine of the type takes.
func (v Snapshot) runnable(demand []Demand, t MachineType, tell func(d Demand, n, per int)) {
	used := make(map[string]placement.Resources)
	max := make(map[string]placement.Resources)
	for _, l := range v.Limits {
		max[l.Team] = l.Limit
	}
	for _, d := range demand {
		if !allows(d.MachineTypes, t.Name) {
			continue
		}
		n := d.Tasks
		if m, ok := max[d.Team]; ok {
			left := m.Sub(used[d.Team])
			if m.GPUs <= 0 {
				left.GPUs = math.Inf(1)
			}
			if m.CPUs <= 0 {
				left.CPUs = math.Inf(1)
			}
			left.MemoryGB = math.Inf(1)
			n = left.Count(d.TaskResources, n)
		}
		used[d.Team] = used[d.Team].Add(d.TaskResources.Times(n))
		// A task that fills most of a machine takes all of it.
		if per := (placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}).Count(d.TaskResources, constants.MaxTasks); per >= 1 {
			tell(d, n, per)
		}
	}
}

func allows(types []string, sku string) bool {
	if types == nil {
		return true
	}
	for _, t := range types {
		if t == sku {
			return true
		}
	}
	return false
}

// DesiredCapacity is how many machines of one type are wanted: ordinary ones for what
// can't run elsewhere, all together, and how many of these may be ordinary
// ones that only stand in for spot machines.
type DesiredCapacity struct{ OnDemand, Total, OverflowShare float64 }

// DesiredFor adds spare machines to the present demand: for what may come before
// another machine could be up. Jobs come at random, so how far that strays
// from its mean grows with the square root of it, and where nothing has come
// for a while nothing need stand ready. Work that spot machines could do is worth
// an ordinary one only in part: the dearer it is, the longer that work had
// better wait for its turn.
func DesiredFor(v Snapshot, t MachineType, spare float64) DesiredCapacity {
	ordinary, spot := demandedMachines(v, t)
	part := 1.0
	if t.OnDemandPrice > 0 && t.SpotPrice > 0 {
		part = min(1, constants.OverflowPriceFactor*t.SpotPrice/t.OnDemandPrice)
	}
	newOrdinary, newSpot := v.fill(v.Recent, t)
	ahead := 0.0
	if v.Window > 0 {
		ahead = t.BootS / v.Window.Seconds()
	}
	w := DesiredCapacity{OnDemand: math.Ceil(ordinary + spare*part*math.Sqrt(newOrdinary*ahead)), OverflowShare: part}
	w.Total = w.OnDemand + math.Ceil(spot+spare*math.Sqrt(newSpot*ahead))
	return w
}

// overflow is how many ordinary machines are wanted in place of spot ones, of
// which there are this many.
func (w DesiredCapacity) overflow(spot int) int {
	return int(math.Ceil(max(0, w.Total-w.OnDemand-float64(spot)) * w.OverflowShare))
}

// have counts the machines of a type, by kind.
func (v Snapshot) have(sku string) (ordinary, spot int) {
	for p, n := range v.Machines {
		switch {
		case p.Type != sku:
		case p.Spot:
			spot += n
		default:
			ordinary += n
		}
	}
	return ordinary, spot
}

// floor is how many machines a zone must have, however many stand elsewhere:
// ordinary ones, and all together.
type floor struct{ ordinary, all int }

// floors tells them by zone: for jobs that may run nowhere else, and for gangs
// that must be in one zone, whichever it is. Without this a job that is bound to
// a zone waits for ever once there are enough machines in the others.
func (v Snapshot) floors(t MachineType) map[string]floor {
	out := make(map[string]floor, len(t.Zones))
	type part struct{ ordinary, spot float64 }
	bound := make(map[string]part)
	ordinary, all := 0, 0 // what the largest gang needs in one zone
	v.runnable(v.Demand, t, func(d Demand, n, per int) {
		switch {
		case d.Zone != "":
			b := bound[d.Zone]
			if f := float64(n) / float64(per); d.AllowSpot {
				b.spot += f
			} else {
				b.ordinary += f
			}
			bound[d.Zone] = b
		case d.SameZone && n == d.Tasks:
			need := (n + per - 1) / per
			all = max(all, need)
			if !d.AllowSpot {
				ordinary = max(ordinary, need)
			}
		}
	})
	for z, b := range bound {
		f := floor{ordinary: int(math.Ceil(b.ordinary))}
		f.all = f.ordinary + int(math.Ceil(b.spot))
		out[z] = f
	}
	// The gang gathers where there are most machines already, or will be.
	raise := func(n int, have func(zone string) int, refused func(zone string) bool, to func(f *floor)) {
		best, most := "", -1
		for _, z := range t.Zones {
			if h := have(z); h > most && (h >= n || !refused(z)) {
				best, most = z, h
			}
		}
		if best != "" {
			f := out[best]
			to(&f)
			out[best] = f
		}
	}
	pool := func(z string, spot bool) InstancePool { return InstancePool{t.Name, z, spot} }
	raise(ordinary, func(z string) int { return max(v.Machines[pool(z, false)], out[z].ordinary) }, func(z string) bool { return v.Refused[pool(z, false)] },
		func(f *floor) { f.ordinary, f.all = max(f.ordinary, ordinary), max(f.all, ordinary) })
	raise(all, func(z string) int { return max(v.Machines[pool(z, false)]+v.Machines[pool(z, true)], out[z].all) },
		func(z string) bool { return v.Refused[pool(z, false)] && v.Refused[pool(z, true)] },
		func(f *floor) { f.all = max(f.all, all) })
	return out
}

// below picks a request for a zone that has less than its floor.
func (v Snapshot) below(t MachineType) (RentRequest, bool) {
	floors := v.floors(t)
	for _, z := range t.Zones {
		f := floors[z]
		ordinary, spot := v.Machines[InstancePool{t.Name, z, false}], v.Machines[InstancePool{t.Name, z, true}]
		canOrdinary, canSpot := !v.Refused[InstancePool{t.Name, z, false}], !v.Refused[InstancePool{t.Name, z, true}]
		if n := f.ordinary - ordinary; n > 0 && canOrdinary {
			return RentRequest{MachineType: t.Name, Zone: z, Count: min(n, constants.RentBatch)}, true
		}
		if n := f.all - max(ordinary, f.ordinary) - spot; n > 0 && (canSpot || canOrdinary) {
			return RentRequest{MachineType: t.Name, Zone: z, Spot: canSpot, Count: min(n, constants.RentBatch)}, true
		}
	}
	return RentRequest{}, false
}

// ScaleOut picks the next request, if more machines are wanted than there are.
// What spot machines can't be had for is rented as ordinary ones.
func ScaleOut(v Snapshot, spare float64) (RentRequest, bool) {
	types := append([]MachineType(nil), v.Catalog.MachineTypes...)
	sort.Slice(types, func(i, j int) bool { return types[i].Name < types[j].Name })
	for _, t := range types {
		if r, ok := v.below(t); ok {
			return r, true
		}
		w := DesiredFor(v, t, spare)
		ordinary, spot := v.have(t.Name)
		if n := int(w.OnDemand) - ordinary; n > 0 {
			if zone, ok := pickZone(v, t, false); ok {
				return RentRequest{MachineType: t.Name, Zone: zone, Count: min(n, constants.RentBatch)}, true
			}
		}
		if n := int(w.Total) - max(ordinary, int(w.OnDemand)) - spot; n > 0 {
			if zone, ok := pickZone(v, t, true); ok {
				return RentRequest{MachineType: t.Name, Zone: zone, Spot: true, Count: min(n, constants.RentBatch)}, true
			}
		}
		if n := int(w.OnDemand) + w.overflow(spot) - ordinary; n > 0 {
			if zone, ok := pickZone(v, t, false); ok {
				return RentRequest{MachineType: t.Name, Zone: zone, Count: min(n, constants.RentBatch)}, true
			}
		}
	}
	return RentRequest{}, false
}

// IdleMachine is a machine with nothing on it.
type IdleMachine struct {
	Name   string
	Pool   InstancePool
	Images int // what its cache holds is lost with it
}

// ScaleIn names the idle machines that are not wanted any more: the dear ones
// first, and of those the ones with the least in their cache.
func ScaleIn(v Snapshot, keep map[string]DesiredCapacity, idle []IdleMachine) (names []string) {
	price := func(p InstancePool) float64 {
		t, _ := v.Catalog.Type(p.Type)
		if p.Spot {
			return t.SpotPrice
		}
		return t.OnDemandPrice
	}
	idle = append([]IdleMachine(nil), idle...)
	sort.Slice(idle, func(i, j int) bool {
		a, b := idle[i], idle[j]
		if x, y := price(a.Pool), price(b.Pool); x != y {
			return x > y
		}
		if a.Images != b.Images {
			return a.Images < b.Images
		}
		return a.Name < b.Name
	})
	type count struct {
		ordinary, spot int
		floors         map[string]floor
	}
	have := make(map[string]*count)
	in := make(map[InstancePool]int, len(v.Machines))
	for p, n := range v.Machines {
		in[p] = n
	}
	for _, m := range idle {
		c := have[m.Pool.Type]
		if c == nil {
			o, s := v.have(m.Pool.Type)
			t, _ := v.Catalog.Type(m.Pool.Type)
			c = &count{o, s, v.floors(t)}
			have[m.Pool.Type] = c
		}
		ordinary, spot := InstancePool{m.Pool.Type, m.Pool.Zone, false}, InstancePool{m.Pool.Type, m.Pool.Zone, true}
		f := c.floors[m.Pool.Zone]
		if in[ordinary]+in[spot] <= f.all || !m.Pool.Spot && in[ordinary] <= f.ordinary {
			continue
		}
		w, known := keep[m.Pool.Type]
		if !known {
			continue
		}
		if m.Pool.Spot {
			if c.ordinary+c.spot <= int(w.Total) {
				continue
			}
			c.spot--
		} else {
			if c.ordinary <= int(w.OnDemand)+w.overflow(c.spot) {
				continue
			}
			c.ordinary--
		}
		in[m.Pool]--
		names = append(names, m.Name)
	}
	return names
}

// DemandWindow remembers the greatest wants of the last while, so that a short lull
// does not give machines back.
type DemandWindow struct {
	window  time.Duration
	samples []sample
}

type sample struct {
	at   time.Time
	want map[string]DesiredCapacity
}

// NewDemandWindow remembers for the given time.
func NewDemandWindow(window time.Duration) *DemandWindow { return &DemandWindow{window: window} }

// Add adds the present wants and returns the greatest of the window.
func (m *DemandWindow) Add(now time.Time, want map[string]DesiredCapacity) map[string]DesiredCapacity {
	m.samples = append(m.samples, sample{now, want})
	for len(m.samples) > 0 && now.Sub(m.samples[0].at) > m.window {
		m.samples = m.samples[1:]
	}
	most := make(map[string]DesiredCapacity)
	for _, s := range m.samples {
		for sku, w := range s.want {
			most[sku] = DesiredCapacity{max(most[sku].OnDemand, w.OnDemand), max(most[sku].Total, w.Total), w.OverflowShare}
		}
	}
	return most
}

// pickZone takes the zone with the fewest machines of the type, so that the
// loss of one hurts least.
func pickZone(v Snapshot, t MachineType, spot bool) (string, bool) {
	best, found, least := "", false, 0
	for _, z := range t.Zones {
		if v.Refused[InstancePool{t.Name, z, spot}] {
			continue
		}
		n := v.Machines[InstancePool{t.Name, z, true}] + v.Machines[InstancePool{t.Name, z, false}]
		if !found || n < least {
			best, found, least = z, true, n
		}
	}
	return best, found
}
