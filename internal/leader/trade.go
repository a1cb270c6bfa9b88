package leader

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"time"

	"thornnotch/internal/intake"
	"thornnotch/internal/market"
	"thornnotch/internal/placement"
	"thornnotch/internal/tuning"
)

// marketState is what the leader knows of renting.
type marketState struct {
	busy  bool
	hires uint64
	// listed is when the last page of the cloud's list came in; listFrom is where
	// the next page begins while a list is being read, and pagedLast is set if the
	// last call was for a page.
	listed    time.Time
	listFrom  string
	pagedLast bool
	// booting are machines rented that have not reported yet.
	booting map[string]booting
	refused map[market.Pool]time.Time
	// darkUntil is until when a zone counts as cut off.
	darkUntil map[string]time.Time
	waiting   []*placement.Job
	// returned are machines given back, which lists may still show.
	returned map[string]time.Time
	memory   *market.Memory
	recent   []arrival
	// backoff is the pause after a call that the cloud did not carry out, zero
	// while it answers; retryAt is when the next call may go out.
	backoff time.Duration
	retryAt time.Time
	weighed time.Time
}

// arrival is a job that came a short while ago.
type arrival struct {
	at     time.Time
	demand market.Demand
	whole  bool // a gang that whole ordinary machines are kept for
}

type booting struct {
	pool  market.Pool
	since time.Time
	noted time.Time // when this term learnt of it
}

func (m *marketState) init() {
	m.booting = make(map[string]booting)
	m.refused = make(map[market.Pool]time.Time)
	m.darkUntil = make(map[string]time.Time)
	m.returned = make(map[string]time.Time)
	m.memory = market.NewMemory(tuning.KeepWindow)
}

func (m *marketState) unmet(jobs []*placement.Job, _ time.Time) { m.waiting = jobs }

// arrived is called when a machine reports for the first time in this term.
func (l *Leader) arrived(r *rig, now time.Time) {
	if b, ok := l.market.booting[r.m.Name]; ok {
		l.d.Log.Info("machine up", "rig", r.m.Name, "zone", r.m.Zone, "spot", r.m.Spot, "after_s", math.Round(now.Sub(b.since).Seconds()))
		delete(l.market.booting, r.m.Name)
	}
	r.idleSince = now
}

// trade runs the dealings with the cloud: one call at a time.
func (l *Leader) trade(now time.Time) {
	m := &l.market
	for _, r := range l.rigs {
		if len(r.m.Attempts) > 0 {
			r.idleSince = now
		}
	}
	for name, at := range m.returned {
		if now.Sub(at) > 10*time.Minute {
			delete(m.returned, name)
		}
	}
	for len(m.recent) > 0 && now.Sub(m.recent[0].at) > tuning.RecentWindow {
		m.recent = m.recent[1:]
	}
	l.retireRigs(now)
	l.giveUpSurplus(now)
	if l.unproven {
		l.prove()
		return
	}
	if m.busy || now.Before(m.retryAt) {
		return
	}
	if names := l.returns(now); len(names) > 0 {
		l.giveBack(names, now)
		return
	}
	// The list of a large fleet has many pages: renting goes on between two.
	due := m.listFrom != "" || now.Sub(m.listed) > l.listEvery()
	if due && !m.pagedLast {
		l.listPage()
		return
	}
	if req, pool, ok := l.wanted(now); ok {
		l.rent(req, pool, now)
		return
	}
	if due {
		l.listPage()
	}
}

func (l *Leader) listEvery() time.Duration {
	return max(time.Duration(l.d.Settings.Params.Cloud.ListLagS*float64(time.Second)), 3*time.Second)
}

// silent is how long nothing has been heard of the machine in this term, while
// the leader itself could hear.
func (l *Leader) silent(r *rig, now time.Time) time.Duration {
	last := r.since
	if r.m.Known {
		last = r.m.Heard
	}
	if l.wokeAt.After(last) {
		last = l.wokeAt
	}
	return now.Sub(last)
}

// darkZones are the zones most of whose machines are silent, or were a short
// while ago. Machines
// die one by one; a zone that goes dark is cut off, and comes back with all its
// machines and their images. Giving them all up for others that must boot and
// fetch anew, in a zone that can't be reached, is the worst answer to a cut.
func (l *Leader) darkZones(now time.Time) map[string]bool {
	all, silent := make(map[string]int), make(map[string]int)
	for _, r := range l.rigs {
		if r.leaving {
			continue
		}
		all[r.m.Zone]++
		if l.silent(r, now) > l.lease {
			silent[r.m.Zone]++
		}
	}
	dark := make(map[string]bool)
	for z, n := range silent {
		if n >= tuning.DarkLeast && 2*n > all[z] {
			l.market.darkUntil[z] = now.Add(tuning.DarkAfter)
		}
	}
	// When the cut heals, machines come back one after the other. Those that
	// come last must not be given up because most are there already.
	for z, until := range l.market.darkUntil {
		dark[z] = now.Before(until)
	}
	return dark
}

// retireRigs marks machines that must be returned as leaving.
func (l *Leader) retireRigs(now time.Time) {
	dark := l.darkZones(now)
	for _, r := range l.rigs {
		if r.leaving {
			continue
		}
		why := ""
		patience := tuning.SilentReturn
		if dark[r.m.Zone] {
			patience = tuning.DarkReturn
		}
		switch {
		case l.silent(r, now) > l.lease+patience:
			why = "silent"
		case r.bad && len(r.m.Attempts) == 0:
			why = "faulty"
		}
		if why != "" {
			l.leave(r, why, now)
		}
	}
}

// leave starts the return of a machine: first its record says so, then the
// cloud is told.
func (l *Leader) leave(r *rig, why string, now time.Time) {
	l.d.Log.Info("machine to be returned", "rig", r.m.Name, "why", why)
	r.leaving = true
	r.leavingSafe = false
	l.book.Drop(r.m.Name)
	l.noteMeta(r, func() { r.leavingSafe = r.leaving })
	l.touch(r)
	l.drain(r, now)
	l.dirty = true
}

// returns names the machines to give back now.
func (l *Leader) returns(now time.Time) (names []string) {
	for _, r := range l.rigs {
		if !r.leaving || !r.leavingSafe {
			continue
		}
		// Tasks that can still save get the time to.
		silent := l.silent(r, now) > l.lease
		if r.m.Known && !silent && l.busy(r) {
			continue
		}
		names = append(names, r.m.Name)
	}
	for name, b := range l.market.booting {
		typ, _ := l.d.Catalog().Type(b.pool.Type)
		// A machine of an earlier term that has no record was idle: its worker
		// needs a moment to turn to this node.
		if limit := time.Duration(typ.ReadyS * tuning.BootPatience * float64(time.Second)); now.Sub(b.since) > limit && now.Sub(b.noted) > l.lease && now.Sub(l.wokeAt) > l.lease && l.rigs[name] == nil {
			l.d.Log.Info("machine never came up", "rig", name)
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names[:min(len(names), tuning.ReturnBatch)]
}

func (l *Leader) busy(r *rig) bool {
	for _, a := range r.m.Attempts {
		if a.Live() {
			return true
		}
	}
	return false
}

func (l *Leader) giveBack(names []string, now time.Time) {
	m := &l.market
	m.busy = true
	l.tasks.Go(func() error {
		err := l.d.Cloud.Return(l.ctx, names)
		l.do(l.ctx, func() {
			now := time.Now()
			m.busy = false
			if l.cloudFailed("return", err, now) {
				return
			}
			for _, name := range names {
				delete(m.booting, name)
				m.returned[name] = now
				r := l.rigs[name]
				if r == nil {
					continue
				}
				// The cloud's word is the strongest proof: all is gone.
				l.events(r, r.m.Returned(), now)
				if r.waiter != nil {
					r.waiter.reply <- Reply{Status: 503}
				}
				l.forget(r)
				l.committer.log.Gone(name)
			}
			l.dirty = true
		})
		return nil
	})
}

// listPage reads the next page of the cloud's list.
func (l *Leader) listPage() {
	m := &l.market
	m.busy, m.pagedLast = true, true
	from := m.listFrom
	l.tasks.Go(func() error {
		hosts, next, err := l.d.Cloud.List(l.ctx, from)
		l.do(l.ctx, func() {
			now := time.Now()
			m.busy = false
			if l.cloudFailed("list", err, now) {
				return
			}
			if m.listFrom = next; next == "" {
				m.listed = now
			}
			l.listed(hosts, now)
		})
		return nil
	})
}

// cloudFailed takes in how a call to the cloud went. While the cloud does not
// answer, calls go out ever more seldom, and the log tells only when that
// begins and ends.
func (l *Leader) cloudFailed(call string, err error, now time.Time) bool {
	m := &l.market
	if err == nil {
		if m.backoff > 0 {
			l.d.Log.Info("the cloud answers again")
		}
		m.backoff = 0
		return false
	}
	if m.backoff == 0 {
		l.d.Log.Info("the cloud does not answer", "call", call, "err", err)
	}
	m.backoff = min(max(2*m.backoff, tuning.CloudBackoffMin), tuning.CloudBackoffMax)
	m.retryAt = now.Add(jitter(m.backoff))
	return true
}

// listed takes in the cloud's list. It lags and may go backwards: what is
// absent from it proves nothing.
func (l *Leader) listed(hosts []market.Host, now time.Time) {
	m := &l.market
	for _, h := range hosts {
		if _, gone := m.returned[h.NameID]; gone {
			continue
		}
		r := l.rigs[h.NameID]
		switch {
		case h.Status == "failed":
			if r == nil {
				r = l.rig(h.NameID, now)
				r.m.Type, r.m.Zone, r.m.Spot = h.RigType, h.Hall, h.Loaners
			}
			delete(m.booting, h.NameID)
			if !r.leaving {
				l.leave(r, "failed", now)
			}
		case r != nil:
			if r.m.Endpoint == "" {
				r.m.Endpoint = h.Endpoint
			}
		default:
			if _, known := m.booting[h.NameID]; !known {
				since := now.Add(-time.Duration(h.HeldS * float64(time.Second)))
				m.booting[h.NameID] = booting{market.Pool{Type: h.RigType, Zone: h.Hall, Spot: h.Loaners}, since, now}
			}
		}
	}
}

func (l *Leader) rent(req market.Request, pool market.Pool, now time.Time) {
	m := &l.market
	m.busy, m.pagedLast = true, false
	m.hires++
	req.Hire = fmt.Sprintf("r-%d-%d", l.grant.Term, m.hires)
	l.tasks.Go(func() error {
		names, err := l.d.Cloud.Rent(l.ctx, req)
		l.do(l.ctx, func() {
			now := time.Now()
			m.busy = false
			switch {
			case errors.Is(err, market.ErrNoCapacity):
				l.cloudFailed("rent", nil, now)
				m.refused[pool] = now.Add(tuning.RefusedPause)
			case l.cloudFailed("rent", err, now):
			default:
				l.d.Log.Info("rented", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot, "asked", req.Count, "got", len(names))
				for _, name := range names {
					if l.rigs[name] == nil {
						m.booting[name] = booting{pool, now, now}
					}
				}
				if len(names) < req.Count {
					m.refused[pool] = now.Add(tuning.RefusedPause)
				}
			}
		})
		return nil
	})
}

// wanted names the next machines to rent, if any.
func (l *Leader) wanted(now time.Time) (market.Request, market.Pool, bool) {
	if l.d.Catalog() == nil || !l.loaded {
		return market.Request{}, market.Pool{}, false
	}
	req, ok := market.Next(l.marketView(now), l.d.Operator.Renting.Spare)
	return req, market.Pool{Type: req.RigType, Zone: req.Hall, Spot: req.Loaners}, ok
}

// marketView shows the present state to renting.
func (l *Leader) marketView(now time.Time) market.View {
	v := market.View{Catalog: l.d.Catalog(), Have: make(map[market.Pool]int), Refused: make(map[market.Pool]bool)}
	for _, r := range l.rigs {
		// A silent machine is not counted on: it is replaced before it is
		// given up.
		if !r.leaving && !r.bad && r.m.Recall.IsZero() && l.silent(r, now) <= l.lease {
			v.Have[r.pool()]++
		}
	}
	for z, is := range l.darkZones(now) {
		for _, t := range v.Catalog.RigTypes {
			if is {
				v.Refused[market.Pool{Type: t.SKU, Zone: z}] = true
				v.Refused[market.Pool{Type: t.SKU, Zone: z, Spot: true}] = true
			}
		}
	}
	for _, b := range l.market.booting {
		v.Have[b.pool]++
	}
	for p, until := range l.market.refused {
		if now.Before(until) {
			v.Refused[p] = true
		}
	}
	for _, j := range l.jobs {
		left := j.spec.Pieces - j.doneN
		if left <= 0 || j.waiting() {
			continue
		}
		v.Demand = append(v.Demand, demandOf(j, left))
	}
	v.Window = tuning.RecentWindow
	for _, n := range l.market.recent {
		v.Recent = append(v.Recent, n.demand)
	}
	for _, t := range l.teams {
		v.Limits = append(v.Limits, market.Limit{Owner: t.Name, Max: placement.Room{VCPUs: t.CPUsMax, GPUs: t.GPUsMax}})
	}
	return v
}

// demandOf is what so many tasks of a job ask of the market.
func demandOf(j *job, pieces int) market.Demand {
	return market.Demand{Owner: j.spec.Owner, Pieces: pieces, Need: placement.Need(j.spec),
		Spot: j.spec.Loaners, Types: j.spec.RigTypes, Zone: j.spec.Hall,
		Together: j.spec.Shape == intake.Gang && j.spec.SamePlace}
}

// giveUpSurplus returns machines that have been idle for a while and that the
// demand of the last while would not have needed.
func (l *Leader) giveUpSurplus(now time.Time) {
	m := &l.market
	if l.d.Catalog() == nil || !l.loaded || now.Sub(m.weighed) < time.Second {
		return
	}
	m.weighed = now
	l.checkPace(now)
	l.judgeAll(now)
	v := l.marketView(now)
	want := make(map[string]market.Want)
	for _, t := range v.Catalog.RigTypes {
		want[t.SKU] = market.Wants(v, t, l.d.Operator.Renting.Keep)
	}
	keep := m.memory.Note(now, want)
	var idle []market.Idle
	for _, r := range l.rigs {
		if r.open(now) && len(r.m.Attempts) == 0 && len(l.book.On(r.m.Name)) == 0 && now.Sub(r.idleSince) > tuning.IdleReturn {
			idle = append(idle, market.Idle{Name: r.m.Name, Pool: r.pool(), Images: len(r.images)})
		}
	}
	for _, name := range market.Surplus(v, keep, idle) {
		l.leave(l.rigs[name], "idle", now)
	}
}
