package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// runSchedulingPass runs placement over the present state and books what it decides.
func (l *Leader) runSchedulingPass(now time.Time) {
	l.passDueNow = false
	l.lastPass = now
	if !l.loaded || l.deps.Catalog() == nil || !l.commits.healthy() || !l.term.verified() {
		// Without records no decision that needs one is made, and none on a
		// world that may be half a minute old.
		return
	}
	w := l.snapshotForPlacement(now)
	plan := placement.Schedule(w)
	for _, s := range plan.Starts {
		l.fleet.get(s.Machine.Name).markStale()
		l.jobs.get(s.Job.Spec.ID).stale = true
	}
	for _, e := range plan.Preemptions {
		l.fleet.get(e.Machine.Name).markStale()
	}
	for _, h := range plan.Released {
		if machine := l.fleet.get(h.Machine.Name); machine != nil && l.reservations.Consume(h.Machine.Name, func(p placement.Pipeline) bool { return p == h.Slot.Pipeline }) {
			l.deps.Log.Debug("hold given up", "rig", h.Machine.Name, "class", h.Slot.Pipeline.Class)
			l.metadataChanged(machine, now)
		}
	}
	for _, e := range plan.Preemptions {
		l.preempt(e, now)
	}
	l.startPlanned(plan, now)
	for _, s := range plan.Starts {
		if job := l.jobs.get(s.Job.Spec.ID); job != nil && len(job.attempts) == job.spec.Tasks {
			job.gang.replacingTask = false
		}
	}
	for _, v := range w.Jobs {
		v.ClaimedMachines, v.Draining = nil, false
	}
	for _, v := range plan.Draining {
		v.Draining = true
	}
	for _, c := range plan.Claims {
		if c.Job.ClaimedMachines == nil {
			c.Job.ClaimedMachines = make(map[string]bool)
		}
		c.Job.ClaimedMachines[c.Machine.Name] = true
	}
	l.scaling.unmet(plan.Unplaced, now)
	l.logSummary(w, now)
	l.lastPassDuration = time.Since(now)
	l.counts.Passes++
	l.counts.PassS += l.lastPassDuration.Seconds()
}

// preempt stops a task to make room; a gang goes as a whole.
func (l *Leader) preempt(e placement.Preemption, now time.Time) {
	machine := l.fleet.get(e.Machine.Name)
	if machine == nil || e.Victim.Job == nil {
		return
	}
	job := l.jobs.get(e.Victim.Job.Spec.ID)
	if job == nil {
		return
	}
	l.deps.Log.Debug("makes room", "piece", workers.TaskID{Job: job.spec.ID, Index: e.Victim.Index}, "rig", machine.agent.Name, "for", e.For.Spec.ID)
	grace := job.spec.SaveS + constants.StopGrace.Seconds()
	if job.spec.Kind == jobs.KindGang {
		l.stopGang(job, grace, now)
		return
	}
	for _, s := range job.attempts[e.Victim.Index] {
		if s.machine == machine && s.attempt.ID.Number == e.Victim.Attempt {
			l.stopAttempt(machine, s.attempt, grace, now)
		}
	}
	l.sendStops(machine, now)
}

// startPlanned turns the starts of a plan into attempts. Their `run` leaves only once
// the machines' records with them stand.
func (l *Leader) startPlanned(plan *placement.Plan, now time.Time) {
	gangTry := make(map[string]uint64)
	for _, s := range plan.Starts {
		job := l.jobs.get(s.Job.Spec.ID)
		machine := l.fleet.get(s.Machine.Name)
		if job == nil || machine == nil {
			continue
		}
		try, ok := gangTry[job.spec.ID]
		if !ok && job.gang.replacingTask {
			try, ok = job.gang.attemptNumber, true
		}
		if !ok {
			if try, ok = l.term.nextAttempt(); !ok {
				return
			}
			if job.spec.Kind == jobs.KindGang {
				gangTry[job.spec.ID] = try
				job.gang.attemptNumber = try
			}
		}
		attempt := &workers.Attempt{
			ID:    workers.AttemptID{Task: workers.TaskID{Job: job.spec.ID, Index: s.Index}, Number: try},
			Epoch: machine.agent.Epoch, PlacedAt: now,
		}
		machine.agent.Attempts[attempt.ID] = attempt
		job.servedAt = now
		l.placementRates.add(job.spec.Class)
		l.addAttempt(machine, attempt)
		l.logAttempt(machine, attempt)
		if l.reservations.Consume(machine.agent.Name, job.view.Owns) {
			l.deps.Log.Debug("hold used", "rig", machine.agent.Name, "job", job.spec.ID)
			l.metadataChanged(machine, now)
		}
		l.reservations.ReleaseExcess(machine.agent.Name, s.Machine.Total.Sub(l.usedResources(machine)))
		machine.useImage(job.spec.Image, job.spec.ImageGB, false, l.imageCacheGB(machine))
		l.deps.Log.Debug("placed", "piece", attempt.ID.Task, "try", try, "rig", machine.agent.Name)
	}
}
