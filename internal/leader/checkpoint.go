package leader

import (
	"slices"

	"thornnotch/internal/leader/wal"
)

// beginCheckpoint starts writing a checkpoint of the complete state.
func (l *Leader) beginCheckpoint() {
	var machines []string
	for _, machine := range l.fleet.sortedByName() {
		machines = append(machines, machine.worker.Name)
	}
	var jobs []string
	for job := range l.jobs.all() {
		if job.progress.completed() > 0 {
			jobs = append(jobs, job.spec.ID)
		}
	}
	slices.Sort(jobs)
	l.wal.BeginCheckpoint(machines, jobs, checkpointSource{l}, func() {
		l.deps.Log.Debug("checkpoint committed", "machines", len(machines), "jobs", len(jobs))
		// The checkpoint now contains everything in the legacy records, so they can be
		// deleted.
		l.commits.checkpointCommitted()
	})
}

// checkpointSource supplies the contents of a checkpoint. Each item is read at the time that
// its part is written, not when the checkpoint begins.
type checkpointSource struct{ l *Leader }

// Machine returns the record of a machine, or false if the machine is gone.
func (s checkpointSource) Machine(name string) (wal.Machine, bool) {
	machine := s.l.fleet.get(name)
	if machine == nil {
		return wal.Machine{}, false
	}
	return s.l.machineRecord(machine), true
}

// DoneTasks returns the completed tasks of a job, or nil if the job is no longer open.
func (s checkpointSource) DoneTasks(jobID string) []wal.DoneTasks {
	job := s.l.jobs.get(jobID)
	if job == nil {
		return nil
	}
	return job.progress.chunks()
}
