package leader

import (
	"fmt"
	"math"
	"time"
)

// failover follows how far this leader has come in taking over from an earlier term.
type failover struct {
	startedAt time.Time
	// loaded is set once the records are taken in.
	loaded bool
	// progress is for operators; empty once the failover is over.
	progress string
}

// begin starts the failover.
func (f *failover) begin(now time.Time) { f.startedAt = now }

// finishLoading notes that the records are taken in.
func (f *failover) finishLoading() { f.loaded = true }

// recordsLoaded tells whether the records are taken in: before, nothing may be decided.
func (f *failover) recordsLoaded() bool { return f.loaded }

// step notes what the failover does now.
func (f *failover) step(format string, args ...any) { f.progress = fmt.Sprintf(format, args...) }

// progressText is how far the failover has come, for operators; empty once it is over.
func (f *failover) progressText() string { return f.progress }

// over tells whether there is none, or it is over.
func (f *failover) over() bool { return f.progress == "" }

// heard notes how many of all machines have reported. The failover is over once all have,
// or those that have not must have lost their leases. It reports whether it is over by
// this, and how long it took.
func (f *failover) heard(heard, all int, lease time.Duration, now time.Time) (took time.Duration, over bool) {
	took = now.Sub(f.startedAt)
	if heard != all && took <= lease {
		f.step("%d of %d machines heard", heard, all)
		return took, false
	}
	f.progress = ""
	return took, true
}

// trackFailover follows which of the machines that the records name have reported.
func (l *Leader) trackFailover(now time.Time) {
	if l.failover.over() {
		return
	}
	heard, all := 0, l.fleet.len()
	for machine := range l.fleet.all() {
		if machine.agent.Registered {
			heard++
		}
	}
	if took, over := l.failover.heard(heard, all, l.lease, now); over {
		l.deps.Log.Info("failover complete", "term", l.term.number(), "machines", all, "heard", heard, "took_s", math.Round(took.Seconds()*10)/10)
	}
}

// failoverStep notes and publishes what the failover does now.
func (l *Leader) failoverStep(format string, args ...any) {
	l.failover.step(format, args...)
	l.publish()
}
