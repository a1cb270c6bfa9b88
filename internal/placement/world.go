// Package placement decides which task starts where and what has to make
// room for it. It is a plain function of the state that it is shown.
package placement

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// Resources is an amount of a machine's resources.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TaskResources is what one task of a job takes.
func TaskResources(j *jobs.Spec) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns what is left of r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	f := float64(n)
	return Resources{r.CPUs * f, r.GPUs * f, r.MemoryGB * f}
}

// Fits tells whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+constants.ResourceTolerance && need.GPUs <= r.GPUs+constants.ResourceTolerance && need.MemoryGB <= r.MemoryGB+constants.ResourceTolerance
}

// Count tells how many times need fits into r, at most limit.
func (r Resources) Count(need Resources, limit int) int {
	n := float64(limit)
	for _, d := range [][2]float64{{r.CPUs, need.CPUs}, {r.GPUs, need.GPUs}, {r.MemoryGB, need.MemoryGB}} {
		if d[1] > 0 {
			n = min(n, math.Floor((d[0]+constants.ResourceTolerance)/d[1]))
		}
	}
	return max(0, int(n))
}

// DominantShare is the part of a machine of this total that the room takes, by the
// resource that it takes most of: what is left beside it can't be used by
// others like it. A machine without GPUs is measured by its CPUs and memory.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, d := range [][2]float64{{r.CPUs, total.CPUs}, {r.GPUs, total.GPUs}, {r.MemoryGB, total.MemoryGB}} {
		if d[1] > 0 {
			share = max(share, d[0]/d[1])
		}
	}
	return share
}

// Team is one team's levels and what it uses, held room included.
type Team struct {
	Name string
	// Guarantee and Max are its levels; 0 means none. RAM is not limited.
	Guarantee, Limit Resources
	Used             Resources
	// Promised is what of the limit is kept in a pass for a lifted gang, from work of
	// at least the priority KeptFrom.
	Promised      Resources
	PromisedBelow int
}

// Allows tells whether the team may use extra on top of what it uses.
func (t *Team) Allows(extra Resources) bool { return t.within(t.Used.Add(extra)) }

func (t *Team) within(u Resources) bool {
	return (t.Limit.CPUs <= 0 || u.CPUs <= t.Limit.CPUs+constants.ResourceTolerance) && (t.Limit.GPUs <= 0 || u.GPUs <= t.Limit.GPUs+constants.ResourceTolerance)
}

// WithinGuarantee tells whether use as large as this lies within the guarantee. Only
// levels that are set count, and a team without any has no guarantee.
func (t *Team) WithinGuarantee(use Resources) bool {
	if t.Guarantee.CPUs <= 0 && t.Guarantee.GPUs <= 0 {
		return false
	}
	return (t.Guarantee.CPUs <= 0 || use.CPUs <= t.Guarantee.CPUs+constants.ResourceTolerance) &&
		(t.Guarantee.GPUs <= 0 || use.GPUs <= t.Guarantee.GPUs+constants.ResourceTolerance)
}

// RunningTask is a task that occupies a machine.
type RunningTask struct {
	Job       *Job
	Index     int
	Attempt   uint64
	Resources Resources
	Stopping  bool // told to stop
	// Left is how long it is expected to go on, Loss what stopping it would
	// throw away.
	Remaining, StopCost time.Duration
}

// ReservedSlot is room on a machine that is kept for a pipeline.
type ReservedSlot struct {
	Pipeline  Pipeline
	Priority  int
	Resources Resources
	// Blocked is set while the job that it is for may not start yet.
	Blocked bool
}

// Pipeline is one owner's jobs of one workload, in submission order. Where users
// name the edges it is what ends in one job: that job, its owner and workload, and
// all that it waits for.
type Pipeline struct {
	Team, Class string
	Downstream  string // the job that waits, along named edges
}

// Machine is a machine as placement sees it.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	// Schedulable tells whether new tasks may be put here, Seats how many at most:
	// the machine's record must hold them all.
	Schedulable     bool
	AttemptCapacity int
	Total           Resources
	RunningTasks    []RunningTask
	Reserved        []ReservedSlot
	// ImageWait tells for how long an image has still to be fetched; an image
	// not named is not there.
	ImageWait map[string]time.Duration
	// FetchGBPerS is the image fetch rate in GB a second, ActiveFetches the number of
	// fetches under way.
	FetchGBPerS   float64
	ActiveFetches int

	// What follows from RunningTasks, summed once: a view is shown again in later
	// passes as long as nothing on the machine has changed.
	summed    bool
	used      Resources
	ending    Resources     // of it, what was told to stop
	left      time.Duration // until the last of its tasks is expected to end
	lowest    int           // least priority of the tasks not told to stop
	stoppable bool          // whether there are any such
	claimed   *Job          // waiting job that this machine is kept for
	roomy     bool          // it had room for some task as the pass began
	standings uint64        // of the tasks not told to stop then, as bits
	rank      int
}

// sum reckons what follows from the slots.
func (m *Machine) sum() {
	if m.summed {
		return
	}
	m.summed = true
	m.used, m.ending, m.left, m.lowest, m.stoppable = Resources{}, Resources{}, 0, 0, false
	for _, s := range m.RunningTasks {
		m.used = m.used.Add(s.Resources)
		m.left = max(m.left, s.Remaining)
		switch {
		case s.Stopping:
			m.ending = m.ending.Add(s.Resources)
		case s.Job != nil && (!m.stoppable || s.Job.Priority < m.lowest):
			m.lowest, m.stoppable = s.Job.Priority, true
		}
	}
}

// Boost is how far an overdue job is lifted.
type Boost int

// Lifts.
const (
	NoBoost             Boost = iota
	BoostWithinPriority       // over others of its priority
	BoostAboveAll             // over all others
)

// Job is a job with tasks to start.
type Job struct {
	Spec          *jobs.Spec
	Priority      int
	Order         uint64 // revision of its submission
	Submitted     time.Time
	Guaranteed    bool // fits the guarantee with its team's earlier jobs
	WaitingTasks  []int
	TasksByZone   map[string]int // tasks that may be on machines, by zone
	AvoidMachines map[string]bool
	// ReservedDownstreams are the jobs with room held for them that wait for this one, directly or
	// through others.
	ReservedDownstreams map[string]bool
	// SinceLastStart is how long none of its tasks has been given a place.
	SinceLastStart time.Duration
	Blocked        bool // may not start now: backing off, or an old attempt stands
	// ClaimedMachines are the machines that the last pass kept for the job; Preparing is
	// set if it found or made room for all of it there.
	ClaimedMachines map[string]bool
	Draining        bool
	// Targets are the latest times after submission at which the job can
	// start and still meet one aim of its users, in rising order.
	Targets []time.Duration
	// Boost is set for a few of the jobs that have waited longest and are
	// hard to place, so that none waits for ever behind a steady flow of
	// others. It stops nobody's tasks.
	Boost Boost
	// Late is set once no target can be met any more; Slack is the time left
	// until the next one, or else how far back the job stands among the late.
	Late  bool
	Slack time.Duration
	// TimeToTarget is the time left to the next target, not scaled; zero when late.
	TimeToTarget time.Duration

	tally int    // of its tasks, while a pass counts them
	bit   uint64 // its standing among those that run in the pass
}

// UpdateSlack sets how urgently the job must start, for the order among equals:
// whoever must start soonest to meet an aim goes first. A job that has missed
// all its aims would only make others miss theirs, so it stands behind them,
// but moves up with its age and is not passed over for ever.
//
// The users' aims are shares of each class's jobs, so a missed aim weighs the
// more, the fewer jobs its class has. share is the class's part of the jobs,
// against that of the most frequent class; it shortens the time left.
func (j *Job) UpdateSlack(now time.Time, share float64) {
	age := now.Sub(j.Submitted)
	for _, t := range j.Targets {
		if t > age {
			j.Late, j.TimeToTarget, j.Slack = false, t-age, time.Duration(float64(t-age)*share)
			return
		}
	}
	j.Late, j.TimeToTarget = true, 0
	var last time.Duration
	if n := len(j.Targets); n > 0 {
		last = j.Targets[n-1]
	}
	j.Slack = constants.LateSlack - (age-last)/constants.LateSlackDecay
}

// Pipeline tells which pipeline the job belongs to by its owner and workload.
func (j *Job) Pipeline() Pipeline {
	return Pipeline{Team: j.Spec.Team, Class: j.Spec.Class}
}

// EdgePipeline is the pipeline that ends in the job by the edges that users name.
func (j *Job) EdgePipeline() Pipeline {
	return Pipeline{j.Spec.Team, j.Spec.Class, j.Spec.ID}
}

// Owns tells whether the job's tasks are the pipeline's own.
func (j *Job) Owns(p Pipeline) bool {
	if p.Downstream == "" {
		return p == j.Pipeline()
	}
	return p.Downstream == j.Spec.ID || j.ReservedDownstreams[p.Downstream]
}

// ZoneCap is the most tasks that the job may have in one zone.
func ZoneCap(s *jobs.Spec) int {
	if s.SpreadZones {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// Snapshot is all that one pass looks at; the pass works on it.
type Snapshot struct {
	Now      time.Time
	Machines []*Machine
	Jobs     []*Job
	Teams    map[string]*Team
	// ReservedMachines is how many whole ordinary machines are left to gangs that can use
	// no others by jobs that can.
	ReservedMachines int
	// StartRate is how many tasks of each class have been given a place a second
	// lately; a class not named has had none.
	StartRate map[string]float64

	// thorough has all machines looked at where a pass need not; tests compare.
	thorough bool
}

// Start puts one task on a machine.
type Start struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Preemption stops a task to make room.
type Preemption struct {
	Machine *Machine
	Victim  RunningTask
	For     *Job
}

// DrainClaim keeps a machine's room that is about to come free for a job.
type DrainClaim struct {
	Job     *Job
	Machine *Machine
}

// Release ends one hold on a machine.
type Release struct {
	Machine *Machine
	Slot    ReservedSlot
}

// Plan is what a pass decided. The starts of a gang are all there or none.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Claims      []DrainClaim
	// Draining are the gangs for which there will be room for all of their tasks
	// once what ends has ended.
	Draining []*Job
	// Released are holds that gave way to work which may take them.
	Released []Release
	// Unplaced are the jobs, in order, that could not start all their tasks.
	Unplaced []*Job
	// Examined is how many machines were looked at as places for tasks.
	Examined int
}

// Before orders jobs: what is overdue, then priority, then guarantee, then the time left to meet an
// aim, then age.
func Before(a, b *Job) bool {
	switch {
	case (a.Boost == BoostAboveAll) != (b.Boost == BoostAboveAll):
		return a.Boost == BoostAboveAll
	case a.Priority != b.Priority && a.Boost != BoostAboveAll:
		return a.Priority > b.Priority
	case a.Boost != b.Boost:
		return a.Boost > b.Boost
	case a.Boost != NoBoost && a.Order != b.Order:
		return a.Order < b.Order
	case a.Guaranteed != b.Guaranteed:
		return a.Guaranteed
	case a.Slack != b.Slack:
		return a.Slack < b.Slack
	case a.Order != b.Order:
		return a.Order < b.Order
	}
	return a.Spec.ID < b.Spec.ID
}

// MarkGuaranteed sets Guaranteed on all unfinished jobs: a job lies within
// its team's guarantee when it fits there with the team's earlier ones.
func MarkGuaranteed(unfinished []*Job, teams map[string]*Team) {
	sort.Slice(unfinished, func(i, j int) bool { return unfinished[i].Order < unfinished[j].Order })
	sum := make(map[string]Resources)
	for _, j := range unfinished {
		t := teams[j.Spec.Team]
		if t == nil {
			continue
		}
		total := sum[j.Spec.Team].Add(TaskResources(j.Spec).Times(j.Spec.Tasks))
		sum[j.Spec.Team] = total
		j.Guaranteed = t.WithinGuarantee(total)
	}
}

// StarvingClass names a class's gangs to be lifted, by their least size.
type StarvingClass struct {
	Size  int
	Boost Boost
}

// MarkStarving lifts a few gangs over others: those of the classes and from the
// sizes that are named, longest waiting first. The users want most of the
// largest jobs of a class to begin within some minutes whatever else is queued.
// Lifting costs the rest dearly, as machines stand empty until the last one of a
// large gang comes free, so it is done only where it is needed, and to few.
func MarkStarving(unfinished []*Job, largest map[string]StarvingClass, now time.Time) {
	var late []*Job
	for _, j := range unfinished {
		j.Boost = NoBoost
		g := largest[j.Spec.Class]
		if g.Size > 0 && j.Spec.Tasks >= g.Size && j.Spec.Kind == jobs.KindGang && len(j.WaitingTasks) > 0 && now.Sub(j.Submitted) > constants.BoostAfter {
			late = append(late, j)
		}
	}
	slices.SortFunc(late, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
	for _, j := range late[:min(len(late), constants.MaxBoosted)] {
		j.Boost = largest[j.Spec.Class].Boost
	}
}
