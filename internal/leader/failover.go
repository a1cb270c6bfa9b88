package leader

import (
	"fmt"
	"math"
	"time"
)

// failover tracks the takeover from an earlier term.
type failover struct {
	startedAt time.Time
	// loaded is set once the records of earlier terms have been loaded.
	loaded bool
	// progress describes the current step to operators; empty once the failover is complete.
	progress string
}

// start sets the start time of the failover.
func (f *failover) start(now time.Time) { f.startedAt = now }

// finishLoading marks the records as loaded.
func (f *failover) finishLoading() { f.loaded = true }

// recordsLoaded reports whether the records have been loaded. No decisions may be made before
// that.
func (f *failover) recordsLoaded() bool { return f.loaded }

// setProgress sets the description of the current step.
func (f *failover) setProgress(format string, args ...any) { f.progress = fmt.Sprintf(format, args...) }

// progressText returns the description of the current step for operators. It is empty once
// the failover is complete.
func (f *failover) progressText() string { return f.progress }

// completed reports whether no failover is in progress.
func (f *failover) completed() bool { return f.progress == "" }

// machinesReported records how many of the known machines have reported. The failover completes
// once all have, or once the leases of the other machines must have expired. It returns the time
// since the failover started and whether the failover is now complete.
func (f *failover) machinesReported(machinesReported, total int, lease time.Duration, now time.Time) (took time.Duration, completed bool) {
	took = now.Sub(f.startedAt)
	if machinesReported != total && took <= lease {
		f.setProgress("%d of %d machines heard", machinesReported, total)
		return took, false
	}
	f.progress = ""
	return took, true
}

// updateFailover counts the known machines that have reported, and completes the failover once
// all have or a lease has passed since its start.
func (l *Leader) updateFailover(now time.Time) {
	if l.failover.completed() {
		return
	}
	machinesReported, all := 0, l.fleet.len()
	for machine := range l.fleet.all() {
		if machine.worker.Registered {
			machinesReported++
		}
	}
	if took, completed := l.failover.machinesReported(machinesReported, all, l.lease, now); completed {
		l.deps.Log.Info("failover complete", "term", l.term.number(), "machines", all, "heard", machinesReported, "took_s", math.Round(took.Seconds()*10)/10)
	}
}

// setFailoverProgress sets and publishes the description of the current step.
func (l *Leader) setFailoverProgress(format string, args ...any) {
	l.failover.setProgress(format, args...)
	l.publish()
}
