package leader

import (
	"fmt"
	"time"

	"thornnotch/internal/leader/wal"
)

// restoreMachine restores a machine from its record. After an error no decisions may be made,
// because an unknown task may be running on the machine.
func (l *Leader) restoreMachine(name string, record *wal.Machine, now time.Time) error {
	machine := l.fleet.getOrAdd(name, now)
	machine.metadataLogged = true
	machine.lifecycle.restore(record.Leaving)
	worker := machine.worker
	worker.MachineType, worker.Zone, worker.Spot = record.Type, record.Zone, record.Spot
	worker.Endpoint, worker.Epoch = record.Endpoint, record.Epoch
	for _, attempt := range record.Attempts {
		if err := l.restoreAttempt(machine, attempt, record.Jobs, now); err != nil {
			return fmt.Errorf("restore machine %s: %w", name, err)
		}
	}
	for _, i := range record.Images {
		machine.images = append(machine.images, cachedImage{name: i.Name, gb: i.GB, fetched: true})
	}
	for _, reservation := range record.Reservations {
		l.reservations.Restore(reservationFromRecord(reservation, name))
	}
	return nil
}

// restoreAttempt restores an attempt that may be running on a machine. If its job has ended,
// it is counted with the team and resources recorded in usageByJob, and stopped.
func (l *Leader) restoreAttempt(machine *machineState, record wal.Attempt, usageByJob map[string]wal.JobUsage, now time.Time) error {
	attempt, err := attemptFromRecord(record, now)
	if err != nil {
		return err
	}
	machine.worker.Attempts[attempt.ID] = attempt
	if id := attempt.ID.Task.Job; l.jobs.get(id) == nil {
		usage := usageByJob[id]
		l.jobs.restoreAttemptOfEndedJob(id, usage.Team, resourcesFromRecord(usage.Resources))
		machine.worker.RequestStop(attempt, 0, now)
	}
	l.addAttempt(machine, attempt)
	return nil
}

// restoreDone marks recorded tasks of a job as completed.
func (l *Leader) restoreDone(jobID string, tasks []int) {
	job := l.jobs.get(jobID)
	if job == nil {
		return
	}
	job.progress.restore(tasks)
	job.markStale()
}
