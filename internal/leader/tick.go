package leader

import (
	"time"

	"thornnotch/internal/constants"
)

// tick runs the periodic work of the loop.
func (l *Leader) tick(now time.Time) {
	l.classes.decay(constants.TickInterval)
	l.updateFailover(now)
	l.publish()
	l.superviseMachines(now)
	l.expireReservations(now)
	l.logDueMetadata(now)
	l.updateJobWaits(now)
	l.readFinalRecords(now)
	l.checkLargeRingSupport(now)
	l.scale(now)
	if l.passes.sinceLast(now) > time.Second {
		l.passes.request() // estimates and free resources change with time even without events
	}
}

// superviseMachines expires leases, sends stops that are due, probes workers that may not receive
// the leader's replies, and sends this term's token to workers that have not seen it.
func (l *Leader) superviseMachines(now time.Time) {
	tokensPushed := 0
	for _, machine := range l.fleet.sortedByName() {
		worker := machine.worker
		// After a stall, expired leases may be the leader's own fault: it answered no
		// heartbeats. Whether it still leads is not known until the term is verified, which
		// does not take long.
		if l.term.verified() {
			if lost := worker.ExpireLease(l.term.number(), l.lease, now); len(lost) > 0 {
				l.deps.Log.Info("machine lost", "machine", worker.Name, "tasks", len(lost))
				l.applyEvents(machine, lost, now)
			}
		}
		l.sendStops(machine, now)
		machine.startOverdue = worker.StartOverdue(now)
		switch {
		case worker.RepliesLost || worker.ReachabilityUnconfirmed:
			l.probeWorker(machine, now)
		case tokensPushed < constants.MaxTokenPushesPerTick && l.needsToken(machine, now):
			// Only a few tokens are sent per tick, because sending to all machines at once
			// would take too many sockets and too long.
			tokensPushed++
			l.sendDirectCommand(machine, nil, now)
		}
	}
}

// needsToken reports whether to send a worker this term's token directly. The worker then
// switches to this node sooner and ignores replies of an older leader. At most one direct
// command per half a lease is sent for this.
func (l *Leader) needsToken(machine *machineState, now time.Time) bool {
	return machine.worker.Token < l.term.number() && !machine.direct.inFlight && machine.direct.sinceLast(now) >= l.lease/2
}

// expireReservations removes expired reservations.
func (l *Leader) expireReservations(now time.Time) {
	for _, name := range l.reservations.Expire(now, l.hasWaitingTasks) {
		if machine := l.fleet.get(name); machine != nil {
			l.metadataChanged(machine, now)
		}
		l.passes.request()
	}
}

// updateJobWaits updates the wait statistics of gangs, and requests a scheduling pass if the
// backoff of a job has ended.
func (l *Leader) updateJobWaits(now time.Time) {
	for job := range l.jobs.all() {
		l.classes.gangWaits.observe(job, now)
		if job.retry.clearElapsedBackoff(now) {
			l.passes.request()
		}
	}
}
