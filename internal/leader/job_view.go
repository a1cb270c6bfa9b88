package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// refreshJobView brings a job's view for placement up to date.
func (l *Leader) refreshJobView(j *jobState, now time.Time) {
	v := &j.view
	v.UpdateSlack(now, l.classShare(j.spec.Class))
	v.Blocked = now.Before(j.notBefore)
	v.SinceLastStart = now.Sub(j.servedAt)
	if !j.stale && len(j.avoid) == 0 && j.delayedTasks.Empty() {
		return
	}
	j.stale = false
	v.WaitingTasks = v.WaitingTasks[:0]
	v.TasksByZone = make(map[string]int)
	for _, seats := range j.attempts {
		for _, s := range seats {
			v.TasksByZone[s.machine.agent.Zone]++
		}
	}
	v.AvoidMachines = nil
	for name, until := range j.avoid {
		if now.After(until) {
			delete(j.avoid, name)
			continue
		}
		if v.AvoidMachines == nil {
			v.AvoidMachines = make(map[string]bool)
		}
		v.AvoidMachines[name] = true
	}
	if j.spec.Kind == jobs.KindGang {
		// A gang starts as a whole, and not before the last task of an
		// earlier attempt is proven gone.
		if len(j.attempts) == 0 {
			j.replacingTask = false
		}
		if len(j.attempts) == 0 && j.doneCount < j.spec.Tasks || j.replacingTask {
			for i := 0; i < j.spec.Tasks; i++ {
				if len(j.attempts[i]) == 0 {
					v.WaitingTasks = append(v.WaitingTasks, i)
				}
			}
		}
		return
	}
	shown := constants.MaxWaitingTasks
	if j.failures.JobIsFaulty() {
		// One task tells whether it still fails, and takes no room of others.
		shown = max(0, 1-len(j.attempts))
	}
	first := true
	for i := j.firstWaiting; i < j.spec.Tasks; i++ {
		if j.doneTasks.has(i) || len(j.attempts[i]) > 0 {
			continue
		}
		if first {
			j.firstWaiting, first = i, false
		}
		if len(v.WaitingTasks) >= shown {
			break
		}
		if !j.delayedTasks.Waiting(i, now) {
			v.WaitingTasks = append(v.WaitingTasks, i)
		}
	}
	if first {
		j.firstWaiting = j.spec.Tasks
	}
}
