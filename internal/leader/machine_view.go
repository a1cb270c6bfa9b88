package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// refreshMachineView makes a machine's view anew.
func (l *Leader) refreshMachineView(machine *machineState, now time.Time) {
	machine.stale, machine.viewAt = false, now
	l.counts.Views++
	var uses []teamUse
	typ, _ := l.deps.Catalog().Type(machine.agent.MachineType)
	pr := l.placementMachine(machine)
	pr.AttemptCapacity = int(l.deps.Settings.Params.State.ValueKB*1024)/constants.AttemptBytes - len(machine.agent.Attempts)
	pr.Total = placement.Resources{CPUs: typ.CPUs, GPUs: typ.GPUs, MemoryGB: typ.MemoryGB}
	pr.FetchGBPerS = typ.FetchGBPerS
	pr.ImageWait = make(map[string]time.Duration, len(machine.images))
	for _, im := range machine.images {
		if im.have {
			pr.ImageWait[im.name] = 0
		}
	}
	for _, attempt := range machine.agent.Attempts {
		if !attempt.Live() {
			continue
		}
		room := l.jobs.resourcesOf(attempt)
		uses = append(uses, teamUse{l.jobs.teamOf(attempt), room})
		s := placement.RunningTask{Index: attempt.ID.Task.Index, Attempt: attempt.ID.Number, Resources: room, Stopping: attempt.StopRequested}
		if job := l.jobs.get(attempt.ID.Task.Job); job != nil {
			s.Job = &job.view
			s.Remaining, s.StopCost = l.estimateStopCost(job, attempt, now)
			if _, have := pr.ImageWait[job.spec.Image]; !have && (attempt.Status == "" || attempt.Status == workers.StatusFetching) && typ.FetchGBPerS > 0 {
				pr.ActiveFetches++
				full := job.spec.ImageGB / typ.FetchGBPerS * float64(pr.ActiveFetches)
				pr.ImageWait[job.spec.Image] = max(time.Second, time.Duration(full*float64(time.Second))-now.Sub(attempt.PlacedAt))
			}
		}
		pr.RunningTasks = append(pr.RunningTasks, s)
	}
	for _, h := range l.reservations.OnMachine(machine.agent.Name) {
		pr.Reserved = append(pr.Reserved, placement.ReservedSlot{Pipeline: h.Pipeline, Priority: h.Priority, Resources: h.Resources})
		uses = append(uses, teamUse{h.Pipeline.Team, h.Resources})
	}
	l.setTeamUsage(machine, uses)
	machine.view = pr
}
