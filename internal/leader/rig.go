package leader

import (
	"context"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/fleet"
	"thornnotch/internal/intake"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/market"
	"thornnotch/internal/placement"
	"thornnotch/internal/tuning"
)

// image is one image on a machine, or on its way there.
type image struct {
	name string
	gb   float64
	have bool
}

// rig is one machine: the worker's session and what the leader keeps of it.
type rig struct {
	m     *fleet.Machine
	since time.Time

	// metaNoted is set once its type, place and so on are in the log.
	metaNoted bool
	noted     wal.Rig // as it was noted last

	// view is the machine as placement sees it, made at viewAt; stale is set
	// when it must be made anew. counted is what it adds to the teams' use.
	view    *placement.Rig
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
	returning   bool
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

// rig finds a machine, or makes a new one.
func (l *Leader) rig(name string, now time.Time) *rig {
	r := l.rigs[name]
	if r == nil {
		r = &rig{m: fleet.NewMachine(name), since: now, idleSince: now}
		l.rigs[name] = r
		l.ordered = nil
		l.touch(r)
	}
	return r
}

// forget drops a machine that is no more.
func (l *Leader) forget(r *rig) {
	delete(l.rigs, r.m.Name)
	delete(l.hints.due, r)
	delete(l.waiters, r)
	l.ordered = nil
	l.count(r, nil)
}

// touch has the machine's view made anew for the next pass. Whatever changes
// its attempts, holds or images must call it: the teams' use depends on it.
func (l *Leader) touch(r *rig) { r.stale = true }

// pool is where the machine was rented from.
func (r *rig) pool() market.Pool {
	return market.Pool{Type: r.m.Type, Zone: r.m.Zone, Spot: r.m.Spot}
}

// open tells whether new tasks may be put on the machine.
func (r *rig) open(now time.Time) bool {
	return r.m.Known && !r.leaving && !r.bad && !now.Before(r.pausedUntil) && r.m.Recall.IsZero() && r.m.Shift > r.m.EndedShift && !r.slow(now) &&
		!r.m.Deaf && !r.m.Doubt && !r.suspect
}

// noteImage follows which images are on the machine.
func (l *Leader) noteImage(r *rig, j *job, a *fleet.Attempt, now time.Time) {
	if j == nil {
		return
	}
	have := a.Status == fleet.Waiting || a.Status == fleet.Running || a.Status == fleet.Saving ||
		a.Status == fleet.Exited && a.Cause == fleet.CauseDone
	if !have {
		return
	}
	known := false
	for _, im := range r.images {
		known = known || im.name == j.spec.Bundle && im.have
	}
	r.touch(j.spec.Bundle, j.spec.ImageGB, true, l.cacheOf(r))
	if !known {
		// The next leader must know too, or it fetches where it need not.
		l.hintsChanged(r, now)
	}
}

func (l *Leader) cacheOf(r *rig) float64 {
	t, ok := l.d.Catalog().Type(r.m.Type)
	if !ok {
		return 0
	}
	return t.CacheGB
}

// touch marks an image as used last and drops what no longer fits.
func (r *rig) touch(name string, gb float64, have bool, cache float64) {
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
func (l *Leader) room(r *rig) placement.Room {
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
func (l *Leader) used(r *rig) (sum placement.Room) {
	for _, a := range r.m.Attempts {
		if a.Live() {
			sum = sum.Add(l.needOf(a))
		}
	}
	return sum
}

// needOf is what an attempt takes. One whose job is gone is remembered by
// size, as it still occupies its machine.
func (l *Leader) needOf(a *fleet.Attempt) placement.Room {
	if j := l.jobs[a.ID.Task.Job]; j != nil {
		return placement.Need(j.spec)
	}
	if g := l.ghosts[a.ID.Task.Job]; g != nil {
		return g.need
	}
	return placement.Room{}
}

// ownerOf is the team that an attempt counts for.
func (l *Leader) ownerOf(a *fleet.Attempt) string {
	if j := l.jobs[a.ID.Task.Job]; j != nil {
		return j.spec.Owner
	}
	if g := l.ghosts[a.ID.Task.Job]; g != nil {
		return g.owner
	}
	return ""
}

// ghost is what is remembered of a job that is over while attempts of it may
// still be on machines.
type ghost struct {
	owner string
	need  placement.Room
	seats int // attempts not proven gone
}

// shape is the machine as the job rules see it.
func (l *Leader) shape(r *rig) *placement.Rig {
	return &placement.Rig{Name: r.m.Name, Type: r.m.Type, Zone: r.m.Zone, Spot: r.m.Spot}
}

// press sends stops straight to a worker, so that they need not wait for its
// next report. One that has not been heard for a while is most likely cut off:
// orders to it hang until their time is over, and a whole dark zone's would
// take the sockets and the places that the others' stops need.
func (l *Leader) press(r *rig, now time.Time) {
	again := tuning.StopResend
	if l.silent(r, now) > l.quiet() {
		again = tuning.StopResendSilent
	}
	due := false
	for _, a := range r.m.Attempts {
		if a.Halt && a.Status != fleet.Exited && (a.Sent || a.Inherited) && now.Sub(a.Pressed) >= again {
			due = true
		}
	}
	if !due {
		return
	}
	var orders []fleet.Order
	for _, o := range r.m.Orders(false, now) {
		if o.Verb == fleet.Stop {
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
	return time.Duration(tuning.QuietReports * float64(config.Seconds(l.d.Settings.Params.Workers.ReportS)))
}

// command sends orders to a worker's own address. They may arrive minutes
// late, so only stops go this way: a late stop names an attempt that is never
// started again.
//
// So many are under way at once at most, half of these for stops alone and half for
// workers that have been heard of late: a node has few sockets beside those of its
// workers. It reports false when the order has to wait for others.
func (l *Leader) command(r *rig, orders []fleet.Order, now time.Time) bool {
	if r.m.Endpoint == "" || r.m.Shift == 0 || r.calling && len(orders) == 0 {
		return true
	}
	silent := l.silent(r, now) > l.quiet()
	most := tuning.CommandsAtOnce
	if len(orders) == 0 {
		most /= 2
	}
	if l.commanding >= most || silent && l.commandingSilent >= tuning.CommandsSilent {
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
		orders = []fleet.Order{}
	}
	a := fleet.Answer{Warrant: l.grant.Term, Shift: r.m.Shift, Orders: orders}
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
			if l.rigs[r.m.Name] == r && rep.Rig == r.m.Name {
				l.observe(r, rep, true, time.Now())
			}
		})
		return nil
	})
	return true
}

// observe takes in a report, by whichever way it came.
func (l *Leader) observe(r *rig, rep *fleet.Report, direct bool, now time.Time) (fresh bool) {
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
		l.touch(r)
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
		l.touch(r)
		l.arrived(r, now)
	}
	if before != r.m.Shift {
		if before != 0 && len(ev) > 0 {
			l.d.Log.Info("machine began a new session", "rig", r.m.Name, "shift", r.m.Shift, "lost", len(ev))
		}
		r.images = keepImages(r.images)
		l.touch(r)
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
func (l *Leader) drain(r *rig, now time.Time) {
	for _, a := range r.m.Sorted() {
		if a.Halt || !a.Live() {
			continue
		}
		j := l.jobs[a.ID.Task.Job]
		if j == nil {
			l.halt(r, a, 0, now)
			continue
		}
		grace := j.spec.StashS + tuning.StopGrace.Seconds()
		if j.spec.Shape == intake.Gang {
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
func (l *Leader) probe(r *rig, now time.Time) {
	if now.Sub(r.called) >= tuning.ProbeEvery {
		l.command(r, nil, now)
	}
}

// Reply is the answer to a report.
type Reply struct {
	Status int
	Answer fleet.Answer
}

// Hello answers a worker's report. The answer may be kept back for a moment
// so that orders can go with it.
func (l *Leader) Hello(ctx context.Context, rep *fleet.Report) (Reply, bool) {
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

func (l *Leader) hello(rep *fleet.Report, arrived time.Time, ch chan<- Reply) {
	now := time.Now()
	if now.Sub(l.sure) > l.certainty {
		// Another node may have accepted a cancellation that we can't know
		// of; the workers' leases must run out before its time is up.
		ch <- Reply{Status: 503}
		return
	}
	if _, gone := l.market.returned[rep.Rig]; gone {
		// The cloud has confirmed its end: this report was under way since.
		ch <- Reply{Status: 503}
		return
	}
	r := l.rig(rep.Rig, now)
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
	hold := tuning.AnswerHold
	if len(r.m.Attempts) == 0 {
		hold = min(tuning.IdleHold, l.lease/4)
	}
	r.waiter = &waiter{shift: rep.Shift, arrived: arrived, until: arrived.Add(hold), reply: ch}
	l.waiters[r] = true
	if r.m.HasOrders() {
		l.wake(r)
	}
}

// wake has a waiting report answered, as there are orders for it.
func (l *Leader) wake(r *rig) {
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
	l.nextFlush = now.Add(tuning.FlushEvery)
	for r := range l.waiters {
		l.answer(r, now)
	}
}

// startsPend tells whether a start waits only for its record: its `run` can go
// into the present answer, and would wait for the worker's next report else.
func (r *rig) startsPend() bool {
	for _, a := range r.m.Attempts {
		if !a.Sent && !a.Halt && a.Shift == r.m.Shift {
			return true
		}
	}
	return false
}

// answer answers a waiting report if it is time to.
func (l *Leader) answer(r *rig, now time.Time) {
	w := r.waiter
	if w == nil {
		delete(l.waiters, r)
		return
	}
	if w.shift != r.m.Shift || r.m.Deaf {
		w.reply <- Reply{Status: 503}
	} else {
		if !r.m.HasOrders() && (now.Before(w.until) || now.Before(w.arrived.Add(tuning.PendingHold)) && r.startsPend()) {
			return
		}
		orders := r.m.Orders(true, now)
		if orders == nil {
			orders = []fleet.Order{}
		}
		l.counts.Orders += uint64(len(orders))
		w.reply <- Reply{Status: 200, Answer: fleet.Answer{Warrant: l.grant.Term, Orders: orders}}
	}
	r.waiter = nil
	delete(l.waiters, r)
}
