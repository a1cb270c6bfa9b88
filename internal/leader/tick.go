package leader

import (
	"time"

	"thornnotch/internal/constants"
)

// tick does what only time brings about.
func (l *Leader) tick(now time.Time) {
	l.classes.fade(constants.TickInterval)
	l.trackFailover(now)
	l.publish()
	l.superviseMachines(now)
	l.expireReservations(now)
	l.logDueMetadata(now)
	l.reviewJobs(now)
	l.readFinalRecords(now)
	l.checkLargeRingSupport(now)
	l.scale(now)
	if l.passes.sinceLast(now) > time.Second {
		l.passes.request() // estimates and spare room change with time alone
	}
}

// superviseMachines ends leases that have run out, repeats stops, and has agents told of
// this term where they don't know it.
func (l *Leader) superviseMachines(now time.Time) {
	tokensPushed := 0
	for _, machine := range l.fleet.sortedByName() {
		agent := machine.agent
		// That nobody was answered for a lease is our own doing after we stood
		// still: who leads now knows better, and if we do it is soon known.
		if l.term.verified() {
			if lost := agent.ExpireLease(l.term.number(), l.lease, now); len(lost) > 0 {
				l.deps.Log.Info("machine lost", "machine", agent.Name, "tasks", len(lost))
				l.applyEvents(machine, lost, now)
			}
		}
		l.sendStops(machine, now)
		machine.startOverdue = agent.StartOverdue(now)
		switch {
		case agent.RepliesLost || agent.EpochUnconfirmed:
			l.probeAgent(machine, now)
		case tokensPushed < constants.TokenPushesPerTick && l.needsToken(machine, now):
			// A few at a time: all at once would take more sockets and time
			// than there are.
			tokensPushed++
			l.sendCommand(machine, nil, now)
		}
	}
}

// needsToken tells whether an agent is to be shown this term's token, so that it turns to
// this node soon and drops an older leader's replies.
func (l *Leader) needsToken(machine *machineState, now time.Time) bool {
	return machine.agent.Token < l.term.number() && !machine.direct.inFlight && machine.direct.sinceLast(now) >= l.lease/2
}

// expireReservations ends the holds whose time is over.
func (l *Leader) expireReservations(now time.Time) {
	for _, name := range l.reservations.Expire(now, l.hasWaitingTasks) {
		if machine := l.fleet.get(name); machine != nil {
			l.metadataChanged(machine, now)
		}
		l.passes.request()
	}
}

// reviewJobs follows how long gangs wait, and ends the pauses of jobs that had to wait.
func (l *Leader) reviewJobs(now time.Time) {
	for job := range l.jobs.all() {
		l.classes.gangWaits.observe(job, now)
		if job.retry.resume(now) {
			l.passes.request()
		}
	}
}
