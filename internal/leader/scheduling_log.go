package leader

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// logSummary logs machine utilization and waiting tasks every SummaryLogInterval.
func (l *Leader) logSummary(snapshot *placement.Snapshot, now time.Time) {
	if now.Sub(l.lastSummary) < constants.SummaryLogInterval {
		return
	}
	l.lastSummary = now
	l.deps.Log.Debug("summary", "machines", l.fleet.len(), "booting", len(l.scaling.booting), "pass", passSummary{snapshot})
}

// passSummary wraps a snapshot for the log. The summary is computed only if the line is
// written.
type passSummary struct{ snapshot *placement.Snapshot }

// LogValue implements slog.LogValuer.
func (s passSummary) LogValue() slog.Value {
	machines := summarizeMachines(s.snapshot.Machines)
	waiting, boosted := make(map[string]int), 0
	for _, job := range s.snapshot.Jobs {
		waiting[job.Spec.Class] += len(job.WaitingTasks)
		if job.Boost != placement.NoBoost {
			boosted++
		}
	}
	// Each team's usage as a share of its limit, reservations included.
	limitShares := make(map[string]float64)
	for name, team := range s.snapshot.Teams {
		limitShares[name] = roundToHundredth(team.Used.DominantShare(team.Limit))
	}
	return slog.GroupValue(
		slog.Int("schedulable", machines.schedulable),
		slog.Int("empty", machines.empty),
		slog.Float64("used", roundToHundredth(machines.used)),
		slog.Float64("stopping", roundToHundredth(machines.stopping)),
		slog.Float64("reserved", roundToHundredth(machines.reserved)),
		slog.String("waiting_tasks", fmt.Sprint(waiting)),
		slog.Int("boosted_jobs", boosted),
		slog.String("team_limit_shares", fmt.Sprint(limitShares)),
	)
}

// machineSummary aggregates the use of the schedulable machines.
type machineSummary struct {
	schedulable, empty int
	// used, stopping and reserved are sums of dominant shares, in units of whole machines:
	// of all tasks, of those that were told to stop, and of reservations.
	used, stopping, reserved float64
}

// summarizeMachines returns the summary of the schedulable machines.
func summarizeMachines(machines []*placement.Machine) (summary machineSummary) {
	for _, machine := range machines {
		if !machine.Schedulable {
			continue
		}
		summary.schedulable++
		if len(machine.RunningTasks) == 0 && len(machine.Reserved) == 0 {
			summary.empty++
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
		summary.used += used.DominantShare(machine.Total)
		summary.stopping += stopping.DominantShare(machine.Total)
		summary.reserved += reserved.DominantShare(machine.Total)
	}
	return summary
}

// roundToHundredth rounds v to two decimal places.
func roundToHundredth(v float64) float64 { return math.Round(v*100) / 100 }
