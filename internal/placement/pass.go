// Package placement decides which task starts where and what has to make room for it. It
// is a plain function of the state that it is shown, without I/O.
//
// A pass goes through the queue rank by rank (queue.go): what is boosted (starvation.go),
// of higher priority or within its team's guarantee (quota.go) stands before the rest.
// Job arrays (array.go) start as many tasks as fit, gangs (gang.go) all or none. Of the
// eligible machines (eligibility.go) a task takes the one with the best score
// (binpacking.go). What can't be placed may preempt others (preemption.go) or keep
// machines until these are empty (drain.go).
package placement

import (
	"math"

	"thornnotch/internal/constants"
)

// Schedule runs one pass over the snapshot. It changes the machines that it places tasks
// on or preempts tasks on; these must be made anew for the next pass.
func Schedule(snapshot *Snapshot) *Plan {
	p := newPass(snapshot)
	sortMachines(p.Machines)
	p.initMachines()
	sortQueue(p.Jobs)
	p.initSizeClasses()
	p.releaseUseless()
	p.renewClaims()
	p.renewLimitPromises()
	forEachRank(p.Jobs, p.placeRank)
	return p.plan
}

// pass is the state of one pass beside its input and its output. What it keeps for each
// machine and job is in machineState and jobState.
type pass struct {
	*Snapshot
	plan *Plan

	// emptyOnDemand is the number of schedulable on-demand machines with nothing on them.
	emptyOnDemand int
	// withRoom are the machines that can take any task at all: when most are full, no job
	// need examine all of them. sizeClasses are these by size of task, largestTotal is
	// the most that any machine has of each kind.
	withRoom     []*Machine
	sizeClasses  map[sizeClass]*sizeClassMachines
	largestTotal Resources

	// reserved are the reserved slots, by team. overridable caches the part of the limit
	// that gives way to overridableFor.
	reserved       map[string][]reservedOn
	overridableFor *Job
	overridable    Resources

	// limitPromises are the parts of the teams' limits that gangs will need.
	limitPromises map[string][]limitPromise
	// limitShortCache tells which teams' limits can't hold all that waits.
	limitShortCache map[string]bool
	// onTimeCache is what teams' jobs below a priority, that can still meet a target,
	// wait for.
	onTimeCache map[teamBelow]Resources
	// stopping is what each team's stopping tasks take.
	stopping map[string]Resources
	// aboveGuaranteeCache tells which teams use more than their guarantee, as far as
	// room has been sought for the present job; nil means no caching.
	aboveGuaranteeCache map[string]bool

	// preemptible counts the running tasks by preemption class, classBits gives each
	// class its bit.
	preemptible map[preemptionClass]int
	classBits   map[preemptionClass]uint64
	// preemptionAttempts counts the jobs that room was sought for.
	preemptionAttempts int
	// drainingMachines counts the machines that are kept for gangs until what runs on
	// them ends.
	drainingMachines int
	// renewedClaims are the machines still kept from the last pass.
	renewedClaims map[*Job][]*Machine

	// victimBuffer and arrayBuffer are reused from job to job, to save allocations.
	victimBuffer []RunningTask
	arrayBuffer  arrayCandidates
}

func newPass(snapshot *Snapshot) *pass {
	return &pass{
		Snapshot:            snapshot,
		plan:                &Plan{},
		reserved:            make(map[string][]reservedOn),
		limitPromises:       make(map[string][]limitPromise),
		limitShortCache:     make(map[string]bool),
		onTimeCache:         make(map[teamBelow]Resources),
		stopping:            make(map[string]Resources),
		aboveGuaranteeCache: make(map[string]bool),
		preemptible:         make(map[preemptionClass]int),
		classBits:           make(map[preemptionClass]uint64),
	}
}

// placeRank places jobs of one rank. A place whose machine would have to fetch the first
// job's image while the next job's is there goes to the next job, as long as the first
// has not been passed over for longer than the fetch takes. What is left over is then
// placed in order, wherever the images are.
func (p *pass) placeRank(rank []*Job) {
	type partlyPlaced struct {
		job    *Job
		placed int
	}
	var remaining []partlyPlaced
	if rank[0].Boost == NoBoost {
		p.orderSmallGangsFirst(rank)
		p.deferLateArrays(rank)
	}
	for _, job := range rank {
		if job.Blocked || len(job.WaitingTasks) == 0 || p.Teams[job.Spec.Team] == nil {
			continue
		}
		if job.isGang() {
			p.placeGang(job)
			continue
		}
		maxImageWaitS := job.SinceLastStart.Seconds() + constants.LocalImageMaxWaitS
		if placed := p.placeArray(job, 0, maxImageWaitS); placed < len(job.WaitingTasks) {
			remaining = append(remaining, partlyPlaced{job, placed})
		}
	}
	for _, rest := range remaining {
		placed := p.placeArray(rest.job, rest.placed, math.Inf(1))
		if placed < len(rest.job.WaitingTasks) {
			p.plan.Unplaced = append(p.plan.Unplaced, rest.job)
			p.preemptOrDrain(rest.job, len(rest.job.WaitingTasks)-placed)
		}
	}
}
