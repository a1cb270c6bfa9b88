package leader

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
	"thornnotch/internal/provisioning"
	"thornnotch/internal/userapi"
)

// provisioningState is what the leader knows of renting.
type provisioningState struct {
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
	refused map[provisioning.Pool]time.Time
	// unreachableUntil is until when a zone counts as cut off.
	unreachableUntil map[string]time.Time
	waiting          []*placement.Job
	// returned are machines given back, which lists may still show.
	returned map[string]time.Time
	memory   *provisioning.Memory
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
	demand provisioning.Demand
	whole  bool // a gang that whole ordinary machines are kept for
}

type booting struct {
	pool  provisioning.Pool
	since time.Time
	noted time.Time // when this term learnt of it
}

func (m *provisioningState) init() {
	m.booting = make(map[string]booting)
	m.refused = make(map[provisioning.Pool]time.Time)
	m.unreachableUntil = make(map[string]time.Time)
	m.returned = make(map[string]time.Time)
	m.memory = provisioning.NewMemory(constants.KeepWindow)
}

func (m *provisioningState) unmet(jobs []*placement.Job, _ time.Time) { m.waiting = jobs }

// arrived is called when a machine reports for the first time in this term.
func (l *Leader) arrived(r *machine, now time.Time) {
	if b, ok := l.market.booting[r.m.Name]; ok {
		l.d.Log.Info("machine up", "rig", r.m.Name, "zone", r.m.Zone, "spot", r.m.Spot, "after_s", math.Round(now.Sub(b.since).Seconds()))
		delete(l.market.booting, r.m.Name)
	}
	r.idleSince = now
}

// provision runs the dealings with the cloud: one call at a time.
func (l *Leader) provision(now time.Time) {
	m := &l.market
	for _, r := range l.machines {
		if len(r.m.Attempts) > 0 {
			r.idleSince = now
		}
	}
	for name, at := range m.returned {
		if now.Sub(at) > 10*time.Minute {
			delete(m.returned, name)
		}
	}
	for len(m.recent) > 0 && now.Sub(m.recent[0].at) > constants.RecentWindow {
		m.recent = m.recent[1:]
	}
	l.retireMachines(now)
	l.giveUpSurplus(now)
	if l.termUnverified {
		l.verifyTerm()
		return
	}
	if m.busy || now.Before(m.retryAt) {
		return
	}
	if names := l.returns(now); len(names) > 0 {
		l.returnMachines(names, now)
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
	return max(time.Duration(l.d.Settings.Params.Cloud.ListLagS*float64(time.Second)), constants.ListEveryLeast)
}

// silent is how long nothing has been heard of the machine in this term, while
// the leader itself could hear.
func (l *Leader) silent(r *machine, now time.Time) time.Duration {
	last := r.since
	if r.m.Registered {
		last = r.m.LastHeartbeat
	}
	if l.wokeAt.After(last) {
		last = l.wokeAt
	}
	return now.Sub(last)
}

// unreachableZones are the zones most of whose machines are silent, or were a short
// while ago. Machines
// die one by one; a zone that goes dark is cut off, and comes back with all its
// machines and their images. Giving them all up for others that must boot and
// fetch anew, in a zone that can't be reached, is the worst answer to a cut.
func (l *Leader) unreachableZones(now time.Time) map[string]bool {
	all, silent := make(map[string]int), make(map[string]int)
	for _, r := range l.machines {
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
		if n >= constants.UnreachableLeast && 2*n > all[z] {
			l.market.unreachableUntil[z] = now.Add(constants.UnreachableAfter)
		}
	}
	// When the cut heals, machines come back one after the other. Those that
	// come last must not be given up because most are there already.
	for z, until := range l.market.unreachableUntil {
		dark[z] = now.Before(until)
	}
	return dark
}

// retireMachines marks machines that must be returned as leaving.
func (l *Leader) retireMachines(now time.Time) {
	dark := l.unreachableZones(now)
	for _, r := range l.machines {
		if r.leaving {
			continue
		}
		why := ""
		patience := constants.SilentReturn
		if dark[r.m.Zone] {
			patience = constants.UnreachableReturn
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
func (l *Leader) leave(r *machine, why string, now time.Time) {
	l.d.Log.Info("machine to be returned", "rig", r.m.Name, "why", why)
	r.leaving = true
	r.leavingSafe = false
	l.book.Drop(r.m.Name)
	l.noteMeta(r, func() { r.leavingSafe = r.leaving })
	l.markStale(r)
	l.drain(r, now)
	l.dirty = true
}

// returns names the machines to give back now.
func (l *Leader) returns(now time.Time) (names []string) {
	for _, r := range l.machines {
		if !r.leaving || !r.leavingSafe {
			continue
		}
		// Tasks that can still save get the time to.
		silent := l.silent(r, now) > l.lease
		if r.m.Registered && !silent && l.busy(r) {
			continue
		}
		names = append(names, r.m.Name)
	}
	for name, b := range l.market.booting {
		typ, _ := l.d.Catalog().Type(b.pool.Type)
		// A machine of an earlier term that has no record was idle: its worker
		// needs a moment to turn to this node.
		if limit := time.Duration(typ.ReadyS * constants.BootPatience * float64(time.Second)); now.Sub(b.since) > limit && now.Sub(b.noted) > l.lease && now.Sub(l.wokeAt) > l.lease && l.machines[name] == nil {
			l.d.Log.Info("machine never came up", "rig", name)
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names[:min(len(names), constants.ReturnBatch)]
}

func (l *Leader) busy(r *machine) bool {
	for _, a := range r.m.Attempts {
		if a.Live() {
			return true
		}
	}
	return false
}

func (l *Leader) returnMachines(names []string, now time.Time) {
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
				r := l.machines[name]
				if r == nil {
					continue
				}
				// The cloud's word is the strongest proof: all is gone.
				l.events(r, r.m.Terminated(), now)
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
	m.backoff = min(max(2*m.backoff, constants.CloudBackoffMin), constants.CloudBackoffMax)
	m.retryAt = now.Add(jitter(m.backoff))
	return true
}

// listed takes in the cloud's list. It lags and may go backwards: what is
// absent from it proves nothing.
func (l *Leader) listed(hosts []provisioning.Host, now time.Time) {
	m := &l.market
	for _, h := range hosts {
		if _, gone := m.returned[h.NameID]; gone {
			continue
		}
		r := l.machines[h.NameID]
		switch {
		case h.Status == "failed":
			if r == nil {
				r = l.machine(h.NameID, now)
				r.m.Type, r.m.Zone, r.m.Spot = h.MachineType, h.Hall, h.Loaners
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
				m.booting[h.NameID] = booting{provisioning.Pool{Type: h.MachineType, Zone: h.Hall, Spot: h.Loaners}, since, now}
			}
		}
	}
}

func (l *Leader) rent(req provisioning.Request, pool provisioning.Pool, now time.Time) {
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
			case errors.Is(err, provisioning.ErrNoCapacity):
				l.cloudFailed("rent", nil, now)
				m.refused[pool] = now.Add(constants.RefusedPause)
			case l.cloudFailed("rent", err, now):
			default:
				l.d.Log.Info("rented", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot, "asked", req.Count, "got", len(names))
				for _, name := range names {
					if l.machines[name] == nil {
						m.booting[name] = booting{pool, now, now}
					}
				}
				if len(names) < req.Count {
					m.refused[pool] = now.Add(constants.RefusedPause)
				}
			}
		})
		return nil
	})
}

// wanted names the next machines to rent, if any.
func (l *Leader) wanted(now time.Time) (provisioning.Request, provisioning.Pool, bool) {
	if l.d.Catalog() == nil || !l.loaded {
		return provisioning.Request{}, provisioning.Pool{}, false
	}
	req, ok := provisioning.Next(l.provisioningView(now), l.d.Operator.Renting.Spare)
	return req, provisioning.Pool{Type: req.MachineType, Zone: req.Hall, Spot: req.Loaners}, ok
}

// provisioningView shows the present state to renting.
func (l *Leader) provisioningView(now time.Time) provisioning.View {
	v := provisioning.View{Catalog: l.d.Catalog(), Have: make(map[provisioning.Pool]int), Refused: make(map[provisioning.Pool]bool)}
	for _, r := range l.machines {
		// A silent machine is not counted on: it is replaced before it is
		// given up.
		if !r.leaving && !r.bad && r.m.ReclaimAt.IsZero() && l.silent(r, now) <= l.lease {
			v.Have[r.pool()]++
		}
	}
	for z, is := range l.unreachableZones(now) {
		for _, t := range v.Catalog.MachineTypes {
			if is {
				v.Refused[provisioning.Pool{Type: t.SKU, Zone: z}] = true
				v.Refused[provisioning.Pool{Type: t.SKU, Zone: z, Spot: true}] = true
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
		left := j.spec.Tasks - j.doneN
		if left <= 0 || j.waiting() {
			continue
		}
		v.Demand = append(v.Demand, demandOf(j, left))
	}
	v.Window = constants.RecentWindow
	for _, n := range l.market.recent {
		v.Recent = append(v.Recent, n.demand)
	}
	for _, t := range l.teams {
		v.Limits = append(v.Limits, provisioning.Limit{Owner: t.Name, Max: placement.Room{VCPUs: t.CPUsMax, GPUs: t.GPUsMax}})
	}
	return v
}

// demandOf is what so many tasks of a job ask of the market.
func demandOf(j *job, pieces int) provisioning.Demand {
	return provisioning.Demand{Owner: j.spec.Team, Pieces: pieces, Need: placement.Need(j.spec),
		Spot: j.spec.AllowSpot, Types: j.spec.MachineTypes, Zone: j.spec.Zone,
		Together: j.spec.Kind == userapi.KindGang && j.spec.SameZone}
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
	v := l.provisioningView(now)
	want := make(map[string]provisioning.Want)
	for _, t := range v.Catalog.MachineTypes {
		want[t.SKU] = provisioning.Wants(v, t, l.d.Operator.Renting.Keep)
	}
	keep := m.memory.Note(now, want)
	var idle []provisioning.Idle
	for _, r := range l.machines {
		if r.open(now) && len(r.m.Attempts) == 0 && len(l.book.On(r.m.Name)) == 0 && now.Sub(r.idleSince) > constants.IdleReturn {
			idle = append(idle, provisioning.Idle{Name: r.m.Name, Pool: r.pool(), Images: len(r.images)})
		}
	}
	for _, name := range provisioning.Surplus(v, keep, idle) {
		l.leave(l.machines[name], "idle", now)
	}
}
