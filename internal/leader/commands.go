package leader

import (
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// sendStops sends stops straight to a worker, so that they need not wait for its
// next report. One that has not been heard for a while is most likely cut off:
// orders to it hang until their time is over, and a whole dark zone's would
// take the sockets and the places that the others' stops need.
func (l *Leader) sendStops(r *machine, now time.Time) {
	again := constants.StopResend
	if l.silent(r, now) > l.quiet() {
		again = constants.StopResendSilent
	}
	due := false
	for _, a := range r.m.Attempts {
		if a.StopRequested && a.Status != workers.StatusExited && (a.Sent || a.FromEarlierTerm) && now.Sub(a.StopSentAt) >= again {
			due = true
		}
	}
	if !due {
		return
	}
	var orders []workers.Command
	for _, o := range r.m.Commands(false, now) {
		if o.Verb == workers.VerbStop {
			orders = append(orders, o)
		}
	}
	if !l.command(r, orders, now) {
		return // the next tick tries again
	}
	for _, a := range r.m.Attempts {
		if a.StopRequested {
			a.StopSentAt = now
		}
	}
}

// quiet is how long a worker may well be silent: a few of its reports.
func (l *Leader) quiet() time.Duration {
	return time.Duration(constants.QuietReports * float64(config.Seconds(l.d.Settings.Params.Workers.ReportS)))
}

// command sends orders to a worker's own address. They may arrive minutes
// late, so only stops go this way: a late stop names an attempt that is never
// started again.
//
// So many are under way at once at most, half of these for stops alone and half for
// workers that have been heard of late: a node has few sockets beside those of its
// workers. It reports false when the order has to wait for others.
func (l *Leader) command(r *machine, orders []workers.Command, now time.Time) bool {
	if r.m.Endpoint == "" || r.m.Epoch == 0 || r.calling && len(orders) == 0 {
		return true
	}
	silent := l.silent(r, now) > l.quiet()
	most := constants.CommandsAtOnce
	if len(orders) == 0 {
		most /= 2
	}
	if l.commanding >= most || silent && l.commandingSilent >= constants.CommandsSilent {
		l.counts.Postponed++
		return false
	}
	l.commanding++
	if silent {
		l.commandingSilent++
	}
	answered := func() {
		r.calling = false
		l.commanding--
		if silent {
			l.commandingSilent--
		}
	}
	r.called = now
	r.calling = true
	l.counts.Commands++
	if orders == nil {
		orders = []workers.Command{}
	}
	a := workers.CommandBatch{Token: l.grant.Term, Epoch: r.m.Epoch, Commands: orders}
	endpoint := r.m.Endpoint
	l.tasks.Go(func() error {
		rep, err := l.d.Workers.Command(l.ctx, endpoint, a)
		if err != nil || rep == nil {
			l.d.Log.Debug("direct order failed", "rig", r.m.Name, "err", err)
			l.do(l.ctx, answered)
			return nil
		}
		l.do(l.ctx, func() {
			answered()
			if l.machines[r.m.Name] == r && rep.Machine == r.m.Name {
				l.observe(r, rep, true, time.Now())
			}
		})
		return nil
	})
	return true
}

// drain stops what runs on a machine that the cloud takes away, while there
// is time to save. A notice may be half as long as it says.
func (l *Leader) drain(r *machine, now time.Time) {
	for _, a := range r.m.SortedAttempts() {
		if a.StopRequested || !a.Live() {
			continue
		}
		j := l.jobs[a.ID.Task.Job]
		if j == nil {
			l.halt(r, a, 0, now)
			continue
		}
		grace := j.spec.SaveS + constants.StopGrace.Seconds()
		if j.spec.Kind == userapi.KindGang {
			l.haltGang(j, grace, now)
		} else {
			l.halt(r, a, grace, now)
		}
	}
	if len(l.book.On(r.m.Name)) > 0 {
		l.book.Drop(r.m.Name)
		l.hintsChanged(r, now)
	}
}

// probe tries to reach a worker directly: an answer shows that it hears.
func (l *Leader) probe(r *machine, now time.Time) {
	if now.Sub(r.called) >= constants.ProbeEvery {
		l.command(r, nil, now)
	}
}
