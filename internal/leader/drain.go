package leader

import (
	"time"

	"thornnotch/internal/jobs"
)

// drain stops the attempts on a machine that the cloud reclaims or that is being returned,
// while there is time for them to save their progress, and removes the machine's reservations.
// It acts at once, because the actual notice of a reclaim may be half as long as announced.
func (l *Leader) drain(machine *machineState, now time.Time) {
	for _, attempt := range machine.worker.SortedAttempts() {
		if attempt.StopRequested || !attempt.Live() {
			continue
		}
		job := l.jobs.get(attempt.ID.Task.Job)
		switch {
		case job == nil:
			l.stopAttempt(machine, attempt, 0, now)
		case job.spec.Kind == jobs.KindGang:
			l.stopGang(job, job.saveGraceS(), now)
		default:
			l.stopAttempt(machine, attempt, job.saveGraceS(), now)
		}
	}
	if len(l.reservations.OnMachine(machine.worker.Name)) > 0 {
		l.reservations.RemoveMachine(machine.worker.Name)
		l.metadataChanged(machine, now)
	}
}
