package leader

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sort"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// scalingState is what the leader knows of renting.
type scalingState struct {
	callInFlight bool
	requestCount uint64
	// listedAt is when the last page of the cloud's list came in; listFrom is where
	// the next page begins while a list is being read, and pagedLast is set if the
	// last call was for a page.
	listedAt   time.Time
	listFrom   string
	listedLast bool
	// booting are machines rented that have not reported yet.
	booting map[string]booting
	refused map[autoscaling.InstancePool]time.Time
	// unreachableUntil is until when a zone counts as cut off.
	unreachableUntil map[string]time.Time
	unplacedJobs     []*placement.Job
	// terminated are machines given back, which lists may still show.
	terminated     map[string]time.Time
	memory         *autoscaling.DemandWindow
	recentArrivals []arrival
	// backoff is the pause after a call that the cloud did not carry out, zero
	// while it answers; retryAt is when the next call may go out.
	backoff          time.Duration
	retryAt          time.Time
	surplusCheckedAt time.Time
}

// arrival is a job that came a short while ago.
type arrival struct {
	at     time.Time
	demand autoscaling.Demand
	whole  bool // a gang that whole ordinary machines are kept for
}

type booting struct {
	pool  autoscaling.InstancePool
	since time.Time
	noted time.Time // when this term learnt of it
}

func (m *scalingState) init() {
	m.booting = make(map[string]booting)
	m.refused = make(map[autoscaling.InstancePool]time.Time)
	m.unreachableUntil = make(map[string]time.Time)
	m.terminated = make(map[string]time.Time)
	m.memory = autoscaling.NewDemandWindow(constants.DemandWindow)
}

// isTerminated tells whether the cloud has confirmed the end of a machine of this name.
func (m *scalingState) isTerminated(name string) bool {
	_, terminated := m.terminated[name]
	return terminated
}

func (m *scalingState) unmet(jobs []*placement.Job, _ time.Time) { m.unplacedJobs = jobs }

// machineRegistered is called when a machine reports for the first time in this term.
func (l *Leader) machineRegistered(machine *machineState, now time.Time) {
	if b, ok := l.scaling.booting[machine.agent.Name]; ok {
		l.deps.Log.Info("machine up", "rig", machine.agent.Name, "zone", machine.agent.Zone, "spot", machine.agent.Spot, "after_s", math.Round(now.Sub(b.since).Seconds()))
		delete(l.scaling.booting, machine.agent.Name)
	}
	machine.idleSince = now
}

// scale runs the dealings with the cloud: one call at a time.
func (l *Leader) scale(now time.Time) {
	m := &l.scaling
	for machine := range l.fleet.all() {
		if len(machine.agent.Attempts) > 0 {
			machine.idleSince = now
		}
	}
	for name, at := range m.terminated {
		if now.Sub(at) > 10*time.Minute {
			delete(m.terminated, name)
		}
	}
	for len(m.recentArrivals) > 0 && now.Sub(m.recentArrivals[0].at) > constants.ArrivalRateWindow {
		m.recentArrivals = m.recentArrivals[1:]
	}
	l.retireMachines(now)
	l.releaseSurplus(now)
	if !l.term.verified() {
		l.verifyTerm()
		return
	}
	if m.callInFlight || now.Before(m.retryAt) {
		return
	}
	if names := l.machinesToReturn(now); len(names) > 0 {
		l.returnMachines(names, now)
		return
	}
	// The list of a large fleet has many pages: renting goes on between two.
	due := m.listFrom != "" || now.Sub(m.listedAt) > l.listEvery()
	if due && !m.listedLast {
		l.listPage()
		return
	}
	if req, pool, ok := l.nextRental(now); ok {
		l.rent(req, pool, now)
		return
	}
	if due {
		l.listPage()
	}
}

func (l *Leader) listEvery() time.Duration {
	return max(time.Duration(l.deps.Settings.Params.Cloud.ListLagS*float64(time.Second)), constants.MinListInterval)
}

// unreachableZones are the zones most of whose machines are silent, or were a short
// while ago. Machines
// die one by one; a zone that goes dark is cut off, and comes back with all its
// machines and their images. Giving them all up for others that must boot and
// fetch anew, in a zone that can't be reached, is the worst answer to a cut.
func (l *Leader) unreachableZones(now time.Time) map[string]bool {
	all, silent := make(map[string]int), make(map[string]int)
	for machine := range l.fleet.all() {
		if machine.leaving {
			continue
		}
		all[machine.agent.Zone]++
		if l.isSilentBeyondLease(machine, now) {
			silent[machine.agent.Zone]++
		}
	}
	dark := make(map[string]bool)
	for z, n := range silent {
		if n >= constants.UnreachableMinMachines && 2*n > all[z] {
			l.scaling.unreachableUntil[z] = now.Add(constants.UnreachableHold)
		}
	}
	// When the cut heals, machines come back one after the other. Those that
	// come last must not be given up because most are there already.
	for z, until := range l.scaling.unreachableUntil {
		dark[z] = now.Before(until)
	}
	return dark
}

// retireMachines marks machines that must be returned as leaving.
func (l *Leader) retireMachines(now time.Time) {
	dark := l.unreachableZones(now)
	for machine := range l.fleet.all() {
		if machine.leaving {
			continue
		}
		why := ""
		patience := constants.SilentReturnAfter
		if dark[machine.agent.Zone] {
			patience = constants.UnreachableReturnAfter
		}
		switch {
		case l.silentFor(machine, now) > l.lease+patience:
			why = "silent"
		case machine.health.Faulty() && len(machine.agent.Attempts) == 0:
			why = "faulty"
		}
		if why != "" {
			l.beginLeaving(machine, why, now)
		}
	}
}

// beginLeaving starts the return of a machine: first its record says so, then the
// cloud is told.
func (l *Leader) beginLeaving(machine *machineState, why string, now time.Time) {
	l.deps.Log.Info("machine to be returned", "rig", machine.agent.Name, "why", why)
	machine.leaving = true
	machine.leavingRecorded = false
	l.reservations.RemoveMachine(machine.agent.Name)
	l.logMetadata(machine, func() { machine.leavingRecorded = machine.leaving })
	machine.markStale()
	l.drain(machine, now)
	l.passes.request()
}

// machinesToReturn names the machines to give back now.
func (l *Leader) machinesToReturn(now time.Time) (names []string) {
	for machine := range l.fleet.all() {
		if !machine.leaving || !machine.leavingRecorded {
			continue
		}
		// Tasks that can still save get the time to.
		silent := l.isSilentBeyondLease(machine, now)
		if machine.agent.Registered && !silent && l.inUse(machine) {
			continue
		}
		names = append(names, machine.agent.Name)
	}
	for name, b := range l.scaling.booting {
		typ, _ := l.deps.Catalog().Type(b.pool.Type)
		// A machine of an earlier term that has no record was idle: its worker
		// needs a moment to turn to this node.
		if limit := time.Duration(typ.BootS * constants.BootTimeoutFactor * float64(time.Second)); now.Sub(b.since) > limit && now.Sub(b.noted) > l.lease && now.Sub(l.term.resumedAt()) > l.lease && l.fleet.get(name) == nil {
			l.deps.Log.Info("machine never came up", "rig", name)
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names[:min(len(names), constants.ReturnBatch)]
}

func (l *Leader) inUse(machine *machineState) bool {
	for _, a := range machine.agent.Attempts {
		if a.Live() {
			return true
		}
	}
	return false
}

func (l *Leader) returnMachines(names []string, now time.Time) {
	m := &l.scaling
	m.callInFlight = true
	l.calls.queue(func(ctx context.Context) func() {
		err := l.deps.Cloud.Return(ctx, names)
		return func() {
			now := time.Now()
			m.callInFlight = false
			if l.cloudFailed("return", err, now) {
				return
			}
			for _, name := range names {
				delete(m.booting, name)
				m.terminated[name] = now
				machine := l.fleet.get(name)
				if machine == nil {
					continue
				}
				// The cloud's word is the strongest proof: all is gone.
				l.applyEvents(machine, machine.agent.MarkTerminated(), now)
				l.removeMachine(machine)
				l.wal.MachineRemoved(name)
			}
			l.passes.request()
		}
	})
}

// listPage reads the next page of the cloud's list.
func (l *Leader) listPage() {
	m := &l.scaling
	m.callInFlight, m.listedLast = true, true
	from := m.listFrom
	l.calls.queue(func(ctx context.Context) func() {
		hosts, next, err := l.deps.Cloud.List(ctx, from)
		return func() {
			now := time.Now()
			m.callInFlight = false
			if l.cloudFailed("list", err, now) {
				return
			}
			if m.listFrom = next; next == "" {
				m.listedAt = now
			}
			l.machinesListed(hosts, now)
		}
	})
}

// cloudFailed takes in how a call to the cloud went. While the cloud does not
// answer, calls go out ever more seldom, and the log tells only when that
// begins and ends.
func (l *Leader) cloudFailed(call string, err error, now time.Time) bool {
	m := &l.scaling
	if err == nil {
		if m.backoff > 0 {
			l.deps.Log.Info("the cloud answers again")
		}
		m.backoff = 0
		return false
	}
	if m.backoff == 0 {
		l.deps.Log.Info("the cloud does not answer", "call", call, "err", err)
	}
	m.backoff = min(max(2*m.backoff, constants.MinCloudBackoff), constants.MaxCloudBackoff)
	m.retryAt = now.Add(jitter(m.backoff))
	return true
}

// machinesListed takes in the cloud's list. It lags and may go backwards: what is
// absent from it proves nothing.
func (l *Leader) machinesListed(hosts []autoscaling.Instance, now time.Time) {
	m := &l.scaling
	for _, h := range hosts {
		if _, gone := m.terminated[h.Name]; gone {
			continue
		}
		machine := l.fleet.get(h.Name)
		switch {
		case h.Status == "failed":
			if machine == nil {
				machine = l.fleet.getOrAdd(h.Name, now)
				machine.agent.MachineType, machine.agent.Zone, machine.agent.Spot = h.MachineType, h.Zone, h.Spot
			}
			delete(m.booting, h.Name)
			if !machine.leaving {
				l.beginLeaving(machine, "failed", now)
			}
		case machine != nil:
			if machine.agent.Endpoint == "" {
				machine.agent.Endpoint = h.Endpoint
			}
		default:
			if _, known := m.booting[h.Name]; !known {
				since := now.Add(-time.Duration(h.AgeS * float64(time.Second)))
				m.booting[h.Name] = booting{autoscaling.InstancePool{Type: h.MachineType, Zone: h.Zone, Spot: h.Spot}, since, now}
			}
		}
	}
}

func (l *Leader) rent(req autoscaling.RentRequest, pool autoscaling.InstancePool, now time.Time) {
	m := &l.scaling
	m.callInFlight, m.listedLast = true, false
	m.requestCount++
	req.ID = fmt.Sprintf("r-%d-%d", l.term.number(), m.requestCount)
	l.calls.queue(func(ctx context.Context) func() {
		names, err := l.deps.Cloud.Rent(ctx, req)
		return func() {
			now := time.Now()
			m.callInFlight = false
			switch {
			case errors.Is(err, autoscaling.ErrNoCapacity):
				l.cloudFailed("rent", nil, now)
				m.refused[pool] = now.Add(constants.NoCapacityPause)
			case l.cloudFailed("rent", err, now):
			default:
				l.deps.Log.Info("rented", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot, "asked", req.Count, "got", len(names))
				for _, name := range names {
					if l.fleet.get(name) == nil {
						m.booting[name] = booting{pool, now, now}
					}
				}
				if len(names) < req.Count {
					m.refused[pool] = now.Add(constants.NoCapacityPause)
				}
			}
		}
	})
}

// nextRental names the next machines to rent, if any.
func (l *Leader) nextRental(now time.Time) (autoscaling.RentRequest, autoscaling.InstancePool, bool) {
	if l.deps.Catalog() == nil || !l.failover.recordsLoaded() {
		return autoscaling.RentRequest{}, autoscaling.InstancePool{}, false
	}
	req, ok := autoscaling.ScaleOut(l.scalingView(now), l.deps.Operator.Scaling.Spare)
	return req, autoscaling.InstancePool{Type: req.MachineType, Zone: req.Zone, Spot: req.Spot}, ok
}

// scalingView shows the present state to renting.
func (l *Leader) scalingView(now time.Time) autoscaling.Snapshot {
	v := autoscaling.Snapshot{Catalog: l.deps.Catalog(), Machines: make(map[autoscaling.InstancePool]int), Refused: make(map[autoscaling.InstancePool]bool)}
	for machine := range l.fleet.all() {
		// A silent machine is not counted on: it is replaced before it is
		// given up.
		if !machine.leaving && !machine.health.Faulty() && machine.agent.ReclaimAt.IsZero() && !l.isSilentBeyondLease(machine, now) {
			v.Machines[machine.pool()]++
		}
	}
	for z, is := range l.unreachableZones(now) {
		for _, t := range v.Catalog.MachineTypes {
			if is {
				v.Refused[autoscaling.InstancePool{Type: t.Name, Zone: z}] = true
				v.Refused[autoscaling.InstancePool{Type: t.Name, Zone: z, Spot: true}] = true
			}
		}
	}
	for _, b := range l.scaling.booting {
		v.Machines[b.pool]++
	}
	for p, until := range l.scaling.refused {
		if now.Before(until) {
			v.Refused[p] = true
		}
	}
	for j := range l.jobs.all() {
		left := j.progress.remaining()
		if left <= 0 || j.upstreams.blocked() {
			continue
		}
		v.Demand = append(v.Demand, demandOf(j, left))
	}
	v.Window = constants.ArrivalRateWindow
	for _, n := range l.scaling.recentArrivals {
		v.Recent = append(v.Recent, n.demand)
	}
	for _, t := range l.teams {
		v.Limits = append(v.Limits, autoscaling.TeamLimit{Team: t.Name, Limit: placement.Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}})
	}
	return v
}

// demandOf is what so many tasks of a job ask of the market.
func demandOf(j *jobState, pieces int) autoscaling.Demand {
	return autoscaling.Demand{
		Team: j.spec.Team, Tasks: pieces, TaskResources: placement.TaskResources(j.spec),
		AllowSpot: j.spec.AllowSpot, MachineTypes: j.spec.MachineTypes, Zone: j.spec.Zone,
		SameZone: j.spec.Kind == jobs.KindGang && j.spec.SameZone,
	}
}

// releaseSurplus returns machines that have been idle for a while and that the
// demand of the last while would not have needed.
func (l *Leader) releaseSurplus(now time.Time) {
	m := &l.scaling
	if l.deps.Catalog() == nil || !l.failover.recordsLoaded() || now.Sub(m.surplusCheckedAt) < time.Second {
		return
	}
	m.surplusCheckedAt = now
	l.detectStragglers(now)
	l.attributeAllFailures(now)
	v := l.scalingView(now)
	want := make(map[string]autoscaling.DesiredCapacity)
	for _, t := range v.Catalog.MachineTypes {
		want[t.Name] = autoscaling.DesiredFor(v, t, l.deps.Operator.Scaling.Keep)
	}
	keep := m.memory.Add(now, want)
	var idle []autoscaling.IdleMachine
	for machine := range l.fleet.all() {
		if machine.schedulable(now) && len(machine.agent.Attempts) == 0 && len(l.reservations.OnMachine(machine.agent.Name)) == 0 && now.Sub(machine.idleSince) > constants.IdleReturnAfter {
			idle = append(idle, autoscaling.IdleMachine{Name: machine.agent.Name, Pool: machine.pool(), Images: len(machine.images)})
		}
	}
	for _, name := range autoscaling.ScaleIn(v, keep, idle) {
		l.beginLeaving(l.fleet.get(name), "idle", now)
	}
}
