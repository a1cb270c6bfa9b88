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
	for _, a := range machine.agent.Attempts {
		if !a.Live() {
			continue
		}
		room := l.resourcesOf(a)
		uses = append(uses, teamUse{l.teamOf(a), room})
		s := placement.RunningTask{Index: a.ID.Task.Index, Attempt: a.ID.Number, Resources: room, Stopping: a.StopRequested}
		if j := l.jobs[a.ID.Task.Job]; j != nil {
			s.Job = &j.view
			s.Remaining, s.StopCost = l.estimateStopCost(j, a, now)
			if _, have := pr.ImageWait[j.spec.Image]; !have && (a.Status == "" || a.Status == workers.StatusFetching) && typ.FetchGBPerS > 0 {
				pr.ActiveFetches++
				full := j.spec.ImageGB / typ.FetchGBPerS * float64(pr.ActiveFetches)
				pr.ImageWait[j.spec.Image] = max(time.Second, time.Duration(full*float64(time.Second))-now.Sub(a.PlacedAt))
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
