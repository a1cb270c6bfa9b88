package leader

import (
	"context"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/provisioning"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// image is one image on a machine, or on its way there.
type image struct {
	name string
	gb   float64
	have bool
}

// machine is one machine: the worker's session and what the leader keeps of it.
type machine struct {
	m     *workers.Machine
	since time.Time

	// metaNoted is set once its type, place and so on are in the log.
	metaNoted bool
	noted     wal.Machine // as it was noted last

	// view is the machine as placement sees it, made at viewAt; stale is set
	// when it must be made anew. counted is what it adds to the teams' use.
	view    *placement.Machine
	viewAt  time.Time
	stale   bool
	counted []ownerUse

	images []image // least recently used first
	// bad is set once it is taken for faulty. accusers are the jobs that failed
	// on it of which it is not known yet whether they fail elsewhere too;
	// pausedUntil is until when it gets no tasks for that.
	bad         bool
	accusers    map[string]bool
	pausedUntil time.Time
	waiter      *waiter
	leaving     bool // being returned; it gets no more tasks
	// leavingSafe is set once the record says so, or none exists.
	leavingSafe bool
	idleSince   time.Time
	// calling is set while a direct order is under way; called is when the
	// last one was sent.
	calling bool
	called  time.Time
	// slowUntil is until when it gets no tasks for slowness; slowMarks are the
	// recent signs of it, slowTimes how often it was found slow.
	slowUntil time.Time
	slowMarks []time.Time
	slowTimes int
	// suspect is set while a start it was sent is missing from its reports.
	suspect bool
	// blind is set while a report is taken in that came after a long silence.
	blind bool
}

// waiter is a report that has not been answered yet.
type waiter struct {
	shift   uint64
	arrived time.Time
	until   time.Time
	reply   chan<- Reply
}

// machine finds a machine, or makes a new one.
func (l *Leader) machine(name string, now time.Time) *machine {
	r := l.machines[name]
	if r == nil {
		r = &machine{m: workers.NewMachine(name), since: now, idleSince: now}
		l.machines[name] = r
		l.ordered = nil
		l.markStale(r)
	}
	return r
}

// forget drops a machine that is no more.
func (l *Leader) forget(r *machine) {
	delete(l.machines, r.m.Name)
	delete(l.hints.due, r)
	delete(l.waiters, r)
	l.ordered = nil
	l.count(r, nil)
}

// markStale has the machine's view made anew for the next pass. Whatever changes
// its attempts, holds or images must call it: the teams' use depends on it.
func (l *Leader) markStale(r *machine) { r.stale = true }

// pool is where the machine was rented from.
func (r *machine) pool() provisioning.Pool {
	return provisioning.Pool{Type: r.m.Type, Zone: r.m.Zone, Spot: r.m.Spot}
}

// open tells whether new tasks may be put on the machine.
func (r *machine) open(now time.Time) bool {
	return r.m.Known && !r.leaving && !r.bad && !now.Before(r.pausedUntil) && r.m.Recall.IsZero() && r.m.Shift > r.m.EndedShift && !r.slow(now) &&
		!r.m.Deaf && !r.m.Doubt && !r.suspect
}

// noteImage follows which images are on the machine.
func (l *Leader) noteImage(r *machine, j *job, a *workers.Attempt, now time.Time) {
	if j == nil {
		return
	}
	have := a.Status == workers.Waiting || a.Status == workers.Running || a.Status == workers.Saving ||
		a.Status == workers.Exited && a.Cause == workers.CauseDone
	if !have {
		return
	}
	known := false
	for _, im := range r.images {
		known = known || im.name == j.spec.Bundle && im.have
	}
	r.useImage(j.spec.Bundle, j.spec.ImageGB, true, l.cacheOf(r))
	if !known {
		// The next leader must know too, or it fetches where it need not.
		l.hintsChanged(r, now)
	}
}

func (l *Leader) cacheOf(r *machine) float64 {
	t, ok := l.d.Catalog().Type(r.m.Type)
	if !ok {
		return 0
	}
	return t.CacheGB
}

// useImage marks an image as used last and drops what no longer fits.
func (r *machine) useImage(name string, gb float64, have bool, cache float64) {
	for i, im := range r.images {
		if im.name == name {
			have = have || im.have
			r.images = append(r.images[:i], r.images[i+1:]...)
			break
		}
	}
	r.images = append(r.images, image{name, gb, have})
	sum := 0.0
	for i := len(r.images) - 1; i >= 0; i-- {
		sum += r.images[i].gb
		if cache > 0 && sum > cache && i < len(r.images)-1 {
			r.images = append([]image(nil), r.images[i+1:]...)
			return
		}
	}
}

// room is what is free on the machine beside its tasks and holds.
func (l *Leader) room(r *machine) placement.Room {
	t, ok := l.d.Catalog().Type(r.m.Type)
	if !ok {
		return placement.Room{}
	}
	f := placement.Room{VCPUs: t.VCPUs, GPUs: t.Accelerators, RAM: t.RAMGB}.Sub(l.used(r))
	for _, h := range l.book.On(r.m.Name) {
		f = f.Sub(h.Room)
	}
	return f
}

// used is what the machine's attempts take.
func (l *Leader) used(r *machine) (sum placement.Room) {
	for _, a := range r.m.Attempts {
		if a.Live() {
			sum = sum.Add(l.needOf(a))
		}
	}
	return sum
}

// needOf is what an attempt takes. One whose job is gone is remembered by
// size, as it still occupies its machine.
func (l *Leader) needOf(a *workers.Attempt) placement.Room {
	if j := l.jobs[a.ID.Task.Job]; j != nil {
		return placement.Need(j.spec)
	}
	if g := l.endedJobs[a.ID.Task.Job]; g != nil {
		return g.need
	}
	return placement.Room{}
}

// ownerOf is the team that an attempt counts for.
func (l *Leader) ownerOf(a *workers.Attempt) string {
	if j := l.jobs[a.ID.Task.Job]; j != nil {
		return j.spec.Owner
	}
	if g := l.endedJobs[a.ID.Task.Job]; g != nil {
		return g.owner
	}
	return ""
}

// endedJob is what is remembered of a job that is over while attempts of it may
// still be on machines.
type endedJob struct {
	owner string
	need  placement.Room
	seats int // attempts not proven gone
}

// shape is the machine as the job rules see it.
func (l *Leader) shape(r *machine) *placement.Machine {
	return &placement.Machine{Name: r.m.Name, Type: r.m.Type, Zone: r.m.Zone, Spot: r.m.Spot}
}

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
		if a.Halt && a.Status != workers.Exited && (a.Sent || a.Inherited) && now.Sub(a.Pressed) >= again {
			due = true
		}
	}
	if !due {
		return
	}
	var orders []workers.Order
	for _, o := range r.m.Orders(false, now) {
		if o.Verb == workers.Stop {
			orders = append(orders, o)
		}
	}
	if !l.command(r, orders, now) {
		return // the next tick tries again
	}
	for _, a := range r.m.Attempts {
		if a.Halt {
			a.Pressed = now
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
func (l *Leader) command(r *machine, orders []workers.Order, now time.Time) bool {
	if r.m.Endpoint == "" || r.m.Shift == 0 || r.calling && len(orders) == 0 {
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
		orders = []workers.Order{}
	}
	a := workers.Answer{Warrant: l.grant.Term, Shift: r.m.Shift, Orders: orders}
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

// observe takes in a report, by whichever way it came.
func (l *Leader) observe(r *machine, rep *workers.Report, direct bool, now time.Time) (fresh bool) {
	if rep.Warrant > l.grant.Term {
		l.end(errDeposed)
		return false
	}
	known := r.m.Known
	r.blind = known && now.Sub(r.m.Heard) > l.quiet()
	before, deaf, doubt := r.m.Shift, r.m.Deaf, r.m.Doubt
	ev, fresh := r.m.Observe(rep, l.grant.Term, direct, now)
	if !fresh {
		return false
	}
	r.suspect = r.m.Suspect(now)
	if r.m.Deaf != deaf {
		l.markStale(r)
		l.d.Log.Info("machine does not hear", "rig", r.m.Name, "deaf", r.m.Deaf)
		l.dirty = true
	}
	r.m.KeptSession(l.lease, now)
	if r.m.Doubt != doubt {
		if r.m.Doubt {
			r.called = time.Time{} // ask it at once
		}
		l.dirty = true
	}
	if r.m.Deaf || r.m.Doubt {
		l.probe(r, now)
	}
	if !known {
		l.dirty = true
		l.markStale(r)
		l.arrived(r, now)
	}
	if before != r.m.Shift {
		if before != 0 && len(ev) > 0 {
			l.d.Log.Info("machine began a new session", "rig", r.m.Name, "shift", r.m.Shift, "lost", len(ev))
		}
		r.images = keepImages(r.images)
		l.markStale(r)
		l.dirty = true
	}
	l.events(r, ev, now)
	if !r.m.Recall.IsZero() {
		l.drain(r, now)
	}
	return true
}

// keepImages drops fetches that ended with the session.
func keepImages(in []image) (out []image) {
	for _, im := range in {
		if im.have {
			out = append(out, im)
		}
	}
	return out
}

// drain stops what runs on a machine that the cloud takes away, while there
// is time to save. A notice may be half as long as it says.
func (l *Leader) drain(r *machine, now time.Time) {
	for _, a := range r.m.Sorted() {
		if a.Halt || !a.Live() {
			continue
		}
		j := l.jobs[a.ID.Task.Job]
		if j == nil {
			l.halt(r, a, 0, now)
			continue
		}
		grace := j.spec.StashS + constants.StopGrace.Seconds()
		if j.spec.Shape == userapi.Gang {
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

// Reply is the answer to a report.
type Reply struct {
	Status int
	Answer workers.Answer
}

// Hello answers a worker's report. The answer may be kept back for a moment
// so that orders can go with it.
func (l *Leader) Hello(ctx context.Context, rep *workers.Report) (Reply, bool) {
	ch := make(chan Reply, 1)
	arrived := time.Now()
	if !l.do(ctx, func() { l.hello(rep, arrived, ch) }) {
		return Reply{}, false
	}
	select {
	case a := <-ch:
		return a, a.Status != 0
	case <-l.done:
	case <-ctx.Done():
	}
	return Reply{}, false
}

func (l *Leader) hello(rep *workers.Report, arrived time.Time, ch chan<- Reply) {
	now := time.Now()
	if now.Sub(l.sure) > l.certainty {
		// Another node may have accepted a cancellation that we can't know
		// of; the workers' leases must run out before its time is up.
		ch <- Reply{Status: 503}
		return
	}
	if _, gone := l.market.returned[rep.Machine]; gone {
		// The cloud has confirmed its end: this report was under way since.
		ch <- Reply{Status: 503}
		return
	}
	r := l.machine(rep.Machine, now)
	l.counts.Reports++
	if r.m.Copy(rep) {
		l.counts.Copies++
		// A late copy tells nothing new, and whoever sent it has given up
		// waiting: it must not count as contact with the worker.
		ch <- Reply{Status: 503}
		return
	}
	// A report that an answer to /commands has overtaken is not fresh, but
	// its sender waits for the answer.
	l.observe(r, rep, false, now)
	if l.ended != nil {
		ch <- Reply{}
		return
	}
	r.m.ReportTick = max(r.m.ReportTick, rep.Tick)
	if rep.Shift <= r.m.EndedShift || r.m.Deaf {
		// It must come to the end of its lease: a 200 might always arrive.
		ch <- Reply{Status: 503}
		return
	}
	r.m.Answered = arrived
	if r.waiter != nil {
		// The worker has given up the earlier report.
		r.waiter.reply <- Reply{Status: 503}
	}
	hold := constants.AnswerHold
	if len(r.m.Attempts) == 0 {
		hold = min(constants.IdleHold, l.lease/4)
	}
	r.waiter = &waiter{shift: rep.Shift, arrived: arrived, until: arrived.Add(hold), reply: ch}
	l.waiters[r] = true
	if r.m.HasOrders() {
		l.answerSoon(r)
	}
}

// wake has a waiting report answered, as there are orders for it.
func (l *Leader) answerSoon(r *machine) {
	if r.waiter != nil {
		l.woken = append(l.woken, r)
	}
}

// flush answers the reports that have waited long enough or that orders can
// go with.
func (l *Leader) flush(now time.Time) {
	for _, r := range l.woken {
		l.answer(r, now)
	}
	l.woken = l.woken[:0]
	if now.Before(l.nextFlush) {
		return
	}
	l.nextFlush = now.Add(constants.FlushEvery)
	for r := range l.waiters {
		l.answer(r, now)
	}
}

// startsPend tells whether a start waits only for its record: its `run` can go
// into the present answer, and would wait for the worker's next report else.
func (r *machine) startsPend() bool {
	for _, a := range r.m.Attempts {
		if !a.Sent && !a.Halt && a.Shift == r.m.Shift {
			return true
		}
	}
	return false
}

// answer answers a waiting report if it is time to.
func (l *Leader) answer(r *machine, now time.Time) {
	w := r.waiter
	if w == nil {
		delete(l.waiters, r)
		return
	}
	if w.shift != r.m.Shift || r.m.Deaf {
		w.reply <- Reply{Status: 503}
	} else {
		if !r.m.HasOrders() && (now.Before(w.until) || now.Before(w.arrived.Add(constants.PendingHold)) && r.startsPend()) {
			return
		}
		orders := r.m.Orders(true, now)
		if orders == nil {
			orders = []workers.Order{}
		}
		l.counts.Orders += uint64(len(orders))
		w.reply <- Reply{Status: 200, Answer: workers.Answer{Warrant: l.grant.Term, Orders: orders}}
	}
	r.waiter = nil
	delete(l.waiters, r)
}
