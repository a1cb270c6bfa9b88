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
func (l *Leader) logSummary(w *placement.Snapshot, now time.Time) {
	if now.Sub(l.lastSummary) < constants.SummaryLogInterval || !l.deps.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	l.lastSummary = now
	// Whole machines, by the resource that each task takes most of.
	var total, used, ending, held float64
	empty := 0
	for _, r := range w.Machines {
		if !r.Schedulable {
			continue
		}
		total++
		if len(r.RunningTasks) == 0 && len(r.Reserved) == 0 {
			empty++
		}
		var u, e, h placement.Resources
		for _, s := range r.RunningTasks {
			u = u.Add(s.Resources)
			if s.Stopping {
				e = e.Add(s.Resources)
			}
		}
		for _, k := range r.Reserved {
			h = h.Add(k.Resources)
		}
		used, ending, held = used+u.DominantShare(r.Total), ending+e.DominantShare(r.Total), held+h.DominantShare(r.Total)
	}
	waits, lifted := make(map[string]int), 0
	for _, job := range w.Jobs {
		waits[job.Spec.Class] += len(job.WaitingTasks)
		if job.Boost != placement.NoBoost {
			lifted++
		}
	}
	// The part of its limit that each team uses, held room included.
	limits := make(map[string]float64)
	for name, t := range w.Teams {
		limits[name] = hundredth(t.Used.DominantShare(t.Limit))
	}
	l.deps.Log.Debug("summary", "machines", total, "used", hundredth(used), "ending", hundredth(ending), "held", hundredth(held), "empty", empty,
		"waiting", fmt.Sprint(waits), "lifted", lifted, "limits", fmt.Sprint(limits), "booting", len(l.scaling.booting), "rigs", l.fleet.len())
}

// hundredth rounds for the log.
func hundredth(v float64) float64 { return math.Round(v*100) / 100 }
