package leader

import (
	"fmt"
	"time"

	"thornnotch/internal/leader/wal"
)

// restoreMachine takes in what was recorded of a machine. On an error nothing may be
// decided: a task may run there that is not known.
func (l *Leader) restoreMachine(name string, record *wal.Machine, now time.Time) error {
	machine := l.fleet.getOrAdd(name, now)
	machine.metadataLogged = true
	machine.lifecycle.restore(record.Leaving)
	agent := machine.agent
	agent.MachineType, agent.Zone, agent.Spot = record.Type, record.Zone, record.Spot
	agent.Endpoint, agent.Epoch = record.Endpoint, record.Epoch
	for _, attempt := range record.Attempts {
		if err := l.restoreAttempt(machine, attempt, record.Jobs, now); err != nil {
			return fmt.Errorf("record of %s: %w", name, err)
		}
	}
	for _, i := range record.Images {
		machine.images = append(machine.images, cachedImage{name: i.Name, gb: i.GB, fetched: true})
	}
	for _, hold := range record.Holds {
		l.reservations.Restore(holdFromRecord(hold, name))
	}
	return nil
}

// restoreAttempt takes in an attempt that may be on a machine. One whose job is over counts
// by the size that is recorded with it, and is stopped.
func (l *Leader) restoreAttempt(machine *machineState, record wal.Attempt, uses map[string]wal.JobUse, now time.Time) error {
	attempt, err := attemptFromRecord(record, now)
	if err != nil {
		return err
	}
	machine.agent.Attempts[attempt.ID] = attempt
	if id := attempt.ID.Task.Job; l.jobs.get(id) == nil {
		use := uses[id]
		l.jobs.restoreEnded(id, use.Team, resourcesFromRecord(use.Resources))
		machine.agent.RequestStop(attempt, 0, now)
	}
	l.addAttempt(machine, attempt)
	return nil
}

// restoreDone takes in completed tasks of a job.
func (l *Leader) restoreDone(name string, tasks []int) {
	job := l.jobs.get(name)
	if job == nil {
		return
	}
	job.progress.restore(tasks)
	job.markStale()
}
