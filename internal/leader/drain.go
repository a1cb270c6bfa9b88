package leader

import (
	"time"

	"thornnotch/internal/jobs"
)

// drain stops what runs on a machine that the cloud takes away or that is returned,
// while there is time to save. A reclaim notice may be half as long as it says.
func (l *Leader) drain(machine *machineState, now time.Time) {
	for _, attempt := range machine.agent.SortedAttempts() {
		if attempt.StopRequested || !attempt.Live() {
			continue
		}
		job := l.jobs.get(attempt.ID.Task.Job)
		switch {
		case job == nil:
			l.stopAttempt(machine, attempt, 0, now)
		case job.spec.Kind == jobs.KindGang:
			l.stopGang(job, job.saveGrace(), now)
		default:
			l.stopAttempt(machine, attempt, job.saveGrace(), now)
		}
	}
	if len(l.reservations.OnMachine(machine.agent.Name)) > 0 {
		l.reservations.RemoveMachine(machine.agent.Name)
		l.metadataChanged(machine, now)
	}
}
