package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// refreshJobView brings a job's view for placement up to date.
func (l *Leader) refreshJobView(job *jobState, now time.Time) {
	v := &job.view
	v.UpdateSlack(now, l.classShare(job.spec.Class))
	v.Blocked = now.Before(job.notBefore)
	v.SinceLastStart = now.Sub(job.servedAt)
	if !job.stale && len(job.avoid) == 0 && job.delayedTasks.Empty() {
		return
	}
	job.stale = false
	v.WaitingTasks = v.WaitingTasks[:0]
	v.TasksByZone = make(map[string]int)
	for _, seats := range job.attempts {
		for _, s := range seats {
			v.TasksByZone[s.machine.agent.Zone]++
		}
	}
	v.AvoidMachines = nil
	for name, until := range job.avoid {
		if now.After(until) {
			delete(job.avoid, name)
			continue
		}
		if v.AvoidMachines == nil {
			v.AvoidMachines = make(map[string]bool)
		}
		v.AvoidMachines[name] = true
	}
	if job.spec.Kind == jobs.KindGang {
		// A gang starts as a whole, and not before the last task of an
		// earlier attempt is proven gone.
		if len(job.attempts) == 0 {
			job.replacingTask = false
		}
		if len(job.attempts) == 0 && job.doneCount < job.spec.Tasks || job.replacingTask {
			for i := 0; i < job.spec.Tasks; i++ {
				if len(job.attempts[i]) == 0 {
					v.WaitingTasks = append(v.WaitingTasks, i)
				}
			}
		}
		return
	}
	shown := constants.MaxWaitingTasks
	if job.failures.JobIsFaulty() {
		// One task tells whether it still fails, and takes no room of others.
		shown = max(0, 1-len(job.attempts))
	}
	first := true
	for i := job.firstWaiting; i < job.spec.Tasks; i++ {
		if job.doneTasks.has(i) || len(job.attempts[i]) > 0 {
			continue
		}
		if first {
			job.firstWaiting, first = i, false
		}
		if len(v.WaitingTasks) >= shown {
			break
		}
		if !job.delayedTasks.Waiting(i, now) {
			v.WaitingTasks = append(v.WaitingTasks, i)
		}
	}
	if first {
		job.firstWaiting = job.spec.Tasks
	}
}
