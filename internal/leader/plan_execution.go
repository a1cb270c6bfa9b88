package leader

import (
	"time"

	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// releaseReservations removes the reservations that the plan released in favour of other
// tasks.
func (l *Leader) releaseReservations(released []placement.Release, now time.Time) {
	for _, release := range released {
		name, pipeline := release.Machine.Name, release.Slot.Pipeline
		machine := l.fleet.get(name)
		if machine == nil || !l.reservations.RemoveOne(name, func(p placement.Pipeline) bool { return p == pipeline }) {
			continue
		}
		l.deps.Log.Debug("reservation released", "machine", name, "class", pipeline.Class)
		l.metadataChanged(machine, now)
	}
}

// preempt stops the victim of a preemption; a gang is stopped as a whole.
func (l *Leader) preempt(preemption placement.Preemption, now time.Time) {
	victim := preemption.Victim
	machine := l.fleet.get(preemption.Machine.Name)
	if machine == nil || victim.Job == nil {
		return
	}
	job := l.jobs.get(victim.Job.Spec.ID)
	if job == nil {
		return
	}
	l.deps.Log.Debug("task preempted", "task", workers.TaskID{Job: job.spec.ID, Index: victim.Index}, "attempt", victim.Attempt,
		"machine", machine.worker.Name, "for_job", preemption.Preemptor.Spec.ID)
	if job.spec.Kind == jobs.KindGang {
		l.stopGang(job, job.stopGraceS(), now)
		return
	}
	for _, placed := range job.attempts[victim.Index] {
		if placed.machine == machine && placed.attempt.ID.Number == victim.Attempt {
			l.stopAttempt(machine, placed.attempt, job.stopGraceS(), now)
		}
	}
	l.sendStops(machine, now)
}

// startPlannedTasks creates an attempt for each start of a plan. The run command of an attempt
// is sent only once the record of the attempt is committed.
func (l *Leader) startPlannedTasks(starts []placement.Start, now time.Time) {
	gangNumbers := make(map[string]uint64)
	for _, start := range starts {
		job := l.jobs.get(start.Job.Spec.ID)
		machine := l.fleet.get(start.Machine.Name)
		if job == nil || machine == nil {
			continue
		}
		number, ok := l.attemptNumber(job, gangNumbers)
		if !ok {
			break // out of attempt numbers: the term ends
		}
		l.startTask(machine, job, start, number, now)
	}
	for _, start := range starts {
		if job := l.jobs.get(start.Job.Spec.ID); job != nil && len(job.attempts) == job.spec.Tasks {
			job.gang.replacingTask = false
		}
	}
}

// attemptNumber returns the number of a job's next attempt. Tasks of a gang that start in the
// same plan share one number, kept in gangNumbers; the replacement for a task that a waiting
// gang lost reuses the gang's number. ok is false if the term has no numbers left, which ends
// the term.
func (l *Leader) attemptNumber(job *jobState, gangNumbers map[string]uint64) (number uint64, ok bool) {
	if number, ok := gangNumbers[job.spec.ID]; ok {
		return number, true
	}
	if job.gang.replacingTask {
		return job.gang.attemptNumber, true
	}
	number, ok = l.term.nextAttempt()
	if ok && job.spec.Kind == jobs.KindGang {
		gangNumbers[job.spec.ID] = number
		job.gang.attemptNumber = number
	}
	return number, ok
}

// startTask creates an attempt on a machine and records it. The attempt consumes a reservation
// on the machine that it is entitled to; reservations that no longer fit on the machine are
// released.
func (l *Leader) startTask(machine *machineState, job *jobState, start placement.Start, number uint64, now time.Time) {
	id := workers.AttemptID{Task: workers.TaskID{Job: job.spec.ID, Index: start.Index}, Number: number}
	attempt := &workers.Attempt{ID: id, Epoch: machine.worker.Epoch, PlacedAt: now}
	machine.worker.Attempts[id] = attempt
	job.lastPlacedAt = now
	l.classes.placementRates.add(job.spec.Class)
	l.addAttempt(machine, attempt)
	l.logAttempt(machine, attempt)
	if l.reservations.RemoveOne(machine.worker.Name, job.view.BelongsTo) {
		l.deps.Log.Debug("reservation consumed", "machine", machine.worker.Name, "job", job.spec.ID)
		l.metadataChanged(machine, now)
	}
	l.reservations.ReleaseExcess(machine.worker.Name, start.Machine.Total.Sub(l.usedResources(machine)))
	machine.images.use(job.spec.Image, job.spec.ImageGB, false, l.imageCacheGB(machine))
	l.deps.Log.Debug("task placed", "task", id.Task, "attempt", id.Number, "machine", machine.worker.Name)
}
