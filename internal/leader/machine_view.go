package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// refreshMachineView rebuilds a machine's view for placement and updates the machine's share
// of the teams' usage.
func (l *Leader) refreshMachineView(machine *machineState, now time.Time) {
	machine.stale, machine.viewAt = false, now
	l.counts.MachineViews++
	machineType, _ := l.deps.Catalog().Type(machine.worker.MachineType) // an unknown type has no resources
	view := l.placementMachine(machine)
	view.AttemptCapacity = int(l.deps.Settings.Params.State.ValueKB*1024)/constants.MaxAttemptBytes - len(machine.worker.Attempts)
	view.Total = placement.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
	view.FetchGBPerS = machineType.FetchGBPerS
	view.ImageWait = make(map[string]time.Duration, len(machine.images))
	for _, image := range machine.images {
		if image.fetched {
			view.ImageWait[image.name] = 0
		}
	}
	var uses []teamResources
	for _, attempt := range machine.worker.Attempts {
		if !attempt.Live() {
			continue
		}
		task := l.runningTask(view, attempt, now)
		uses = append(uses, teamResources{l.jobs.teamOf(attempt), task.Resources})
		view.RunningTasks = append(view.RunningTasks, task)
	}
	for _, reservation := range l.reservations.OnMachine(machine.worker.Name) {
		view.Reserved = append(view.Reserved, placement.ReservedSlot{Pipeline: reservation.Pipeline, Priority: reservation.Priority, Resources: reservation.Resources})
		uses = append(uses, teamResources{reservation.Pipeline.Team, reservation.Resources})
	}
	l.setTeamUsage(machine, uses)
	machine.view = view
}

// runningTask returns an attempt as the placement package represents it. If the attempt
// still fetches its image, the expected wait is added to the view.
func (l *Leader) runningTask(view *placement.Machine, attempt *workers.Attempt, now time.Time) placement.RunningTask {
	task := placement.RunningTask{
		Index: attempt.ID.Task.Index, Attempt: attempt.ID.Number,
		Resources: l.jobs.resourcesOf(attempt), Stopping: attempt.StopRequested,
	}
	job := l.jobs.get(attempt.ID.Task.Job)
	if job == nil {
		return task
	}
	task.Job = &job.view
	task.Remaining, task.StopCost = estimateStopCost(job.spec, attempt, now)
	if attempt.Status == "" || attempt.Status == workers.StatusFetching {
		addActiveFetch(view, job.spec, now.Sub(attempt.PlacedAt))
	}
	return task
}

// addActiveFetch adds to the view an image that the machine is fetching, with the expected
// remaining wait. elapsed is how long ago the fetch began. Concurrent fetches share the machine's
// bandwidth.
func addActiveFetch(view *placement.Machine, spec *jobs.Spec, elapsed time.Duration) {
	if _, shown := view.ImageWait[spec.Image]; shown || view.FetchGBPerS <= 0 {
		return
	}
	view.ActiveFetches++
	totalS := spec.ImageGB / view.FetchGBPerS * float64(view.ActiveFetches)
	view.ImageWait[spec.Image] = max(time.Second, time.Duration(totalS*float64(time.Second))-elapsed)
}
