package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// refreshMachineView makes a machine's view for placement anew, and with it what the
// machine adds to the teams' usage.
func (l *Leader) refreshMachineView(machine *machineState, now time.Time) {
	machine.stale, machine.viewAt = false, now
	l.counts.Views++
	machineType, _ := l.deps.Catalog().Type(machine.agent.MachineType) // of an unknown type nothing is free
	view := l.placementMachine(machine)
	view.AttemptCapacity = int(l.deps.Settings.Params.State.ValueKB*1024)/constants.AttemptBytes - len(machine.agent.Attempts)
	view.Total = placement.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
	view.FetchGBPerS = machineType.FetchGBPerS
	view.ImageWait = make(map[string]time.Duration, len(machine.images))
	for _, image := range machine.images {
		if image.fetched {
			view.ImageWait[image.name] = 0
		}
	}
	var uses []teamUse
	for _, attempt := range machine.agent.Attempts {
		if !attempt.Live() {
			continue
		}
		task := l.showAttempt(view, attempt, now)
		uses = append(uses, teamUse{l.jobs.teamOf(attempt), task.Resources})
		view.RunningTasks = append(view.RunningTasks, task)
	}
	for _, hold := range l.reservations.OnMachine(machine.agent.Name) {
		view.Reserved = append(view.Reserved, placement.ReservedSlot{Pipeline: hold.Pipeline, Priority: hold.Priority, Resources: hold.Resources})
		uses = append(uses, teamUse{hold.Pipeline.Team, hold.Resources})
	}
	l.setTeamUsage(machine, uses)
	machine.view = view
}

// showAttempt is an attempt as placement sees it. If it still fetches its image, the view
// shows how long that takes.
func (l *Leader) showAttempt(view *placement.Machine, attempt *workers.Attempt, now time.Time) placement.RunningTask {
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
		showFetch(view, job.spec, now.Sub(attempt.PlacedAt))
	}
	return task
}

// showFetch has the view show an image that a machine has fetched for so long. Fetches
// share its bandwidth.
func showFetch(view *placement.Machine, spec *jobs.Spec, elapsed time.Duration) {
	if _, shown := view.ImageWait[spec.Image]; shown || view.FetchGBPerS <= 0 {
		return
	}
	view.ActiveFetches++
	totalS := spec.ImageGB / view.FetchGBPerS * float64(view.ActiveFetches)
	view.ImageWait[spec.Image] = max(time.Second, time.Duration(totalS*float64(time.Second))-elapsed)
}
