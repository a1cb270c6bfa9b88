package leader

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// logSummary logs once in a while what the machines do and what waits.
func (l *Leader) logSummary(snapshot *placement.Snapshot, now time.Time) {
	if now.Sub(l.lastSummary) < constants.SummaryLogInterval || !l.deps.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	l.lastSummary = now
	machines := summarizeMachines(snapshot.Machines)
	waiting, boosted := make(map[string]int), 0
	for _, job := range snapshot.Jobs {
		waiting[job.Spec.Class] += len(job.WaitingTasks)
		if job.Boost != placement.NoBoost {
			boosted++
		}
	}
	// The part of its limit that each team uses, reservations included.
	limits := make(map[string]float64)
	for name, team := range snapshot.Teams {
		limits[name] = roundToHundredth(team.Used.DominantShare(team.Limit))
	}
	l.deps.Log.Debug("summary",
		"schedulable", machines.schedulable, "used", roundToHundredth(machines.used), "stopping", roundToHundredth(machines.stopping),
		"reserved", roundToHundredth(machines.reserved), "empty", machines.empty,
		"waiting_tasks", fmt.Sprint(waiting), "boosted_jobs", boosted, "team_limit_shares", fmt.Sprint(limits),
		"booting", len(l.scaling.booting), "machines", l.fleet.len())
}

// machineSummary is what the schedulable machines do.
type machineSummary struct {
	schedulable, empty int
	// In whole machines, by the resource that is taken most of: what tasks take, of it
	// what those take that were told to stop, and what is reserved.
	used, stopping, reserved float64
}

func summarizeMachines(machines []*placement.Machine) (sum machineSummary) {
	for _, machine := range machines {
		if !machine.Schedulable {
			continue
		}
		sum.schedulable++
		if len(machine.RunningTasks) == 0 && len(machine.Reserved) == 0 {
			sum.empty++
		}
		var used, stopping, reserved placement.Resources
		for _, task := range machine.RunningTasks {
			used = used.Add(task.Resources)
			if task.Stopping {
				stopping = stopping.Add(task.Resources)
			}
		}
		for _, slot := range machine.Reserved {
			reserved = reserved.Add(slot.Resources)
		}
		sum.used += used.DominantShare(machine.Total)
		sum.stopping += stopping.DominantShare(machine.Total)
		sum.reserved += reserved.DominantShare(machine.Total)
	}
	return sum
}

// roundToHundredth rounds for the log.
func roundToHundredth(v float64) float64 { return math.Round(v*100) / 100 }
