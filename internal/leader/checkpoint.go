package leader

import (
	"slices"

	"thornnotch/internal/leader/wal"
)

// beginCheckpoint begins to write the whole state anew.
func (l *Leader) beginCheckpoint() {
	var machines []string
	for _, machine := range l.fleet.sortedByName() {
		machines = append(machines, machine.agent.Name)
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
		// What the records of the earlier format say stands in the checkpoint now.
		l.commits.checkpointCommitted()
	})
}

// checkpointSource gives a checkpoint its contents, each as it is when its part is written.
type checkpointSource struct{ l *Leader }

// Machine is one machine's record.
func (s checkpointSource) Machine(name string) (wal.Machine, bool) {
	machine := s.l.fleet.get(name)
	if machine == nil {
		return wal.Machine{}, false
	}
	return s.l.machineRecord(machine), true
}

// DoneTasks are a job's completed tasks.
func (s checkpointSource) DoneTasks(name string) []wal.DoneTasks {
	job := s.l.jobs.get(name)
	if job == nil {
		return nil
	}
	return job.progress.chunks()
}
