// Package placement decides which tasks start on which machines, and which tasks are preempted
// to make room for them. It works on a snapshot of the cluster and does no I/O.
//
// A pass handles the queue rank by rank (queue.go): boosted jobs (starvation.go), jobs of
// higher priority and jobs within their team's guarantee (quota.go) come before all other jobs.
// Job arrays (array.go) start as many tasks as fit, gangs (gang.go) all or none. Each task is
// placed on the eligible machine (eligibility.go) with the best score (binpacking.go). Jobs
// that can't be placed may preempt tasks of other jobs (preemption.go) or claim machines until
// these have drained (drain.go).
package placement

import (
	"math"

	"thornnotch/internal/constants"
)

// Schedule runs one pass over the snapshot and returns its plan. It modifies the machines on
// which it places or preempts tasks or releases reservations; the caller must rebuild them for
// the next pass.
func Schedule(snapshot *Snapshot) *Plan {
	p := newPass(snapshot)
	sortMachines(p.Machines)
	p.initMachines()
	sortQueue(p.Jobs)
	p.initSizeClasses()
	p.releaseUnusableReservations()
	p.renewClaims()
	p.renewEarmarks()
	forEachRank(p.Jobs, p.placeRank)
	return p.plan
}

// pass holds the state of one scheduling pass. The state that it keeps for each machine and
// job is in machineState and jobState.
type pass struct {
	*Snapshot
	plan *Plan

	// emptyOnDemand is the number of schedulable on-demand machines without tasks.
	emptyOnDemand int
	// withFreeCapacity lists the machines with room for the smallest tasks, so that jobs need
	// not examine all machines when most are full. sizeClasses lists, for each class of task
	// sizes, those of them with room for its smallest tasks. maxTotal is the elementwise
	// maximum of all machines' totals.
	withFreeCapacity []*Machine
	sizeClasses      map[sizeClass]*sizeClassMachines
	maxTotal         Resources

	// reserved lists the reserved slots by team. overridable caches the result of
	// overridableResources for the job overridableFor.
	reserved       map[string][]machineReservation
	overridableFor *Job
	overridable    Resources

	// earmarks lists the earmarks for gangs that wait for stopping tasks, by team.
	earmarks map[string][]limitEarmark
	// demandExceedsLimitCache caches the results of demandExceedsLimit, by team.
	demandExceedsLimitCache map[string]bool
	// onTimeDemandCache caches the resources requested by a team's waiting jobs that are below a
	// priority and can still meet a target.
	onTimeDemandCache map[teamBelowPriority]Resources
	// usedByStopping is the part of each team's usage that is due to stopping tasks.
	usedByStopping map[string]Resources
	// aboveGuaranteeCache caches the results of aboveGuarantee, by team, for the current call
	// of preemptOrDrain. If it is nil, nothing is cached.
	aboveGuaranteeCache map[string]bool

	// preemptibleTasks counts the running tasks by preemption class. classBits assigns a bit
	// to each class.
	preemptibleTasks map[preemptionClass]int
	classBits        map[preemptionClass]uint64
	// preemptionAttempts counts the jobs for which preemptOrDrain was attempted.
	preemptionAttempts int
	// drainingMachines counts the machines that this pass drains for gangs.
	drainingMachines int
	// renewedClaims lists the machines that are still claimed from the previous pass.
	renewedClaims map[*Job][]*Machine

	// victimBuffer and arrayBuffer are reused for each job to avoid allocations.
	victimBuffer []RunningTask
	arrayBuffer  arrayCandidates
}

func newPass(snapshot *Snapshot) *pass {
	return &pass{
		Snapshot:                snapshot,
		plan:                    &Plan{},
		reserved:                make(map[string][]machineReservation),
		earmarks:                make(map[string][]limitEarmark),
		demandExceedsLimitCache: make(map[string]bool),
		onTimeDemandCache:       make(map[teamBelowPriority]Resources),
		usedByStopping:          make(map[string]Resources),
		aboveGuaranteeCache:     make(map[string]bool),
		preemptibleTasks:        make(map[preemptionClass]int),
		classBits:               make(map[preemptionClass]uint64),
	}
}

// placeRank places the jobs of one rank. It places arrays in two rounds. The first uses only
// machines where the wait for the array's image is short, so that a machine that has the image
// of a later array, but not that of an earlier one, is used for the later one. The longer an
// array has not started a task, the longer this wait may be. The second round places the
// remaining tasks in queue order, regardless of images.
func (p *pass) placeRank(rank []*Job) {
	type partlyPlacedArray struct {
		job    *Job
		placed int
	}
	var remaining []partlyPlacedArray
	if rank[0].Boost == NoBoost {
		p.orderSmallGangsFirst(rank)
		p.deferArraysUnderOverload(rank)
	}
	for _, job := range rank {
		if job.BackingOff || len(job.WaitingTasks) == 0 || p.Teams[job.Spec.Team] == nil {
			continue
		}
		if job.isGang() {
			p.placeGang(job)
			continue
		}
		maxImageWaitS := job.SinceLastStart.Seconds() + constants.LocalImageMaxWaitS
		if placed := p.placeArray(job, 0, maxImageWaitS); placed < len(job.WaitingTasks) {
			remaining = append(remaining, partlyPlacedArray{job, placed})
		}
	}
	for _, array := range remaining {
		placed := p.placeArray(array.job, array.placed, math.Inf(1))
		if placed < len(array.job.WaitingTasks) {
			p.preemptOrDrain(array.job, len(array.job.WaitingTasks)-placed)
		}
	}
}
