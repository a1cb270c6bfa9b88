package leader

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
	"thornnotch/internal/workers"
)

// runSchedulingPass runs placement over the present state and books what it decides.
func (l *Leader) runSchedulingPass(now time.Time) {
	l.passDueNow = false
	l.lastPass = now
	if !l.loaded || l.deps.Catalog() == nil || l.commits.backoff > 0 || l.termUnverified {
		// Without records no decision that needs one is made, and none on a
		// world that may be half a minute old.
		return
	}
	w, states := l.snapshotForPlacement(now)
	plan := placement.Schedule(w)
	for _, s := range plan.Starts {
		l.machines[s.Machine.Name].stale = true
		states[s.Job.Spec.ID].stale = true
	}
	for _, e := range plan.Preemptions {
		l.machines[e.Machine.Name].stale = true
	}
	for _, h := range plan.Released {
		if machine := l.machines[h.Machine.Name]; machine != nil && l.reservations.Consume(h.Machine.Name, func(p placement.Pipeline) bool { return p == h.Slot.Pipeline }) {
			l.deps.Log.Debug("hold given up", "rig", h.Machine.Name, "class", h.Slot.Pipeline.Class)
			l.metadataChanged(machine, now)
		}
	}
	for _, e := range plan.Preemptions {
		l.preempt(e, now)
	}
	l.startPlanned(plan, states, now)
	for _, s := range plan.Starts {
		if j := states[s.Job.Spec.ID]; j != nil && len(j.attempts) == j.spec.Tasks {
			j.replacingTask = false
		}
	}
	for _, v := range w.Jobs {
		v.ClaimedMachines, v.Draining = nil, false
	}
	for _, v := range plan.Draining {
		v.Draining = true
	}
	for _, c := range plan.Claims {
		if c.Job.ClaimedMachines == nil {
			c.Job.ClaimedMachines = make(map[string]bool)
		}
		c.Job.ClaimedMachines[c.Machine.Name] = true
	}
	l.scaling.unmet(plan.Unplaced, now)
	l.summary(w, now)
	l.lastPassDuration = time.Since(now)
	l.counts.Passes++
	l.counts.PassS += l.lastPassDuration.Seconds()
}

// summary logs once in a while what the machines do and what waits.
func (l *Leader) summary(w *placement.Snapshot, now time.Time) {
	if now.Sub(l.lastSummary) < constants.SummaryLogInterval || !l.deps.Log.Enabled(l.ctx, slog.LevelDebug) {
		return
	}
	l.lastSummary = now
	// Whole machines, by the resource that each task takes most of.
	var total, used, ending, held float64
	empty := 0
	for _, r := range w.Machines {
		if !r.Schedulable {
			continue
		}
		total++
		if len(r.RunningTasks) == 0 && len(r.Reserved) == 0 {
			empty++
		}
		var u, e, h placement.Resources
		for _, s := range r.RunningTasks {
			u = u.Add(s.Resources)
			if s.Stopping {
				e = e.Add(s.Resources)
			}
		}
		for _, k := range r.Reserved {
			h = h.Add(k.Resources)
		}
		used, ending, held = used+u.DominantShare(r.Total), ending+e.DominantShare(r.Total), held+h.DominantShare(r.Total)
	}
	waits, lifted := make(map[string]int), 0
	for _, j := range w.Jobs {
		waits[j.Spec.Class] += len(j.WaitingTasks)
		if j.Boost != placement.NoBoost {
			lifted++
		}
	}
	// The part of its limit that each team uses, held room included.
	limits := make(map[string]float64)
	for name, t := range w.Teams {
		limits[name] = hundredth(t.Used.DominantShare(t.Limit))
	}
	l.deps.Log.Debug("summary", "machines", total, "used", hundredth(used), "ending", hundredth(ending), "held", hundredth(held), "empty", empty,
		"waiting", fmt.Sprint(waits), "lifted", lifted, "limits", fmt.Sprint(limits), "booting", len(l.scaling.booting), "rigs", len(l.machines))
}

// hundredth rounds for the log.
func hundredth(v float64) float64 { return math.Round(v*100) / 100 }

// reservedMachines is how many whole ordinary machines ought to be free for the gangs
// that are to be expected: as many as came lately. Only gangs that can use no
// others, may stop nobody, and are meant to start soon need any.
func (l *Leader) reservedMachines(now time.Time) int {
	cat := l.deps.Catalog()
	sum := 0.0
	for _, n := range l.scaling.recentArrivals {
		if !n.whole || now.Sub(n.at) > constants.ArrivalRateWindow {
			continue
		}
		for _, t := range cat.MachineTypes {
			per := (placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}).Count(n.demand.TaskResources, n.demand.Tasks)
			if per > 0 {
				sum += float64(n.demand.Tasks) / float64(per)
				break
			}
		}
	}
	return int(math.Ceil(sum * constants.GangReserveHorizon.Seconds() / constants.ArrivalRateWindow.Seconds()))
}

// wantsWhole tells whether whole machines are kept for jobs like this one.
func (l *Leader) wantsWhole(spec *jobs.Spec) bool {
	if spec.Kind != jobs.KindGang || spec.AllowSpot || jobs.Priority(spec.PriorityClass) > jobs.Priority("standard") {
		return false
	}
	for _, o := range l.deps.Settings.Params.SLOs {
		if o.Kind == config.SLOWait && o.Class == spec.Class && config.Seconds(o.WithinS) <= constants.GangReserveMaxAim {
			return true
		}
	}
	return false
}

// teamUse is what one attempt or hold adds to its team's use.
type teamUse struct {
	team      string
	resources placement.Resources
}

// setTeamUsage replaces what a machine adds to the teams' use.
func (l *Leader) setTeamUsage(machine *machineState, uses []teamUse) {
	for _, u := range machine.countedUsage {
		l.teamUsage[u.team] = l.teamUsage[u.team].Sub(u.resources)
	}
	for _, u := range uses {
		l.teamUsage[u.team] = l.teamUsage[u.team].Add(u.resources)
	}
	machine.countedUsage = uses
}

// snapshotForPlacement shows the present state to placement. Machines and jobs that have not
// changed are shown as before.
func (l *Leader) snapshotForPlacement(now time.Time) (*placement.Snapshot, map[string]*jobState) {
	w := &placement.Snapshot{Now: now, Teams: make(map[string]*placement.Team), StartRate: l.placementRates}
	all := make([]*placement.Job, 0, len(l.jobs))
	for _, j := range l.jobs {
		if j.complete || j.blockedByUpstream() {
			continue
		}
		l.refreshJobView(j, now)
		all = append(all, &j.view)
	}
	machines := l.sortedMachines()
	w.Machines = make([]*placement.Machine, 0, len(machines))
	ordinary := 0
	oldest := now.Add(-viewAge(len(machines)))
	for _, machine := range machines {
		if machine.view == nil || machine.stale || machine.viewAt.Before(oldest) {
			l.refreshMachineView(machine, now)
		}
		// Placement may put work only on machines that have shown our token:
		// a report may be a late copy of one from a machine that is no more.
		// One that has not been heard for a few reports may well be dead or cut
		// off: what is put there would wait until its lease is over.
		machine.view.Schedulable = machine.view.Total != (placement.Resources{}) && machine.schedulable(now) && machine.agent.Token == l.grant.Term &&
			l.silentFor(machine, now) <= l.silenceTolerance()+constants.IdleReplyHold
		if machine.view.Schedulable && !machine.view.Spot {
			ordinary++
		}
		w.Machines = append(w.Machines, machine.view)
	}
	l.addReservationEdges(w)
	w.ReservedMachines = min(l.reservedMachines(now), int(float64(ordinary)*constants.GangReserveMaxShare))
	for _, t := range l.teams {
		w.Teams[t.Name] = &placement.Team{
			Name: t.Name, Used: l.teamUsage[t.Name],
			Guarantee: placement.Resources{CPUs: t.GuaranteedCPUs, GPUs: t.GuaranteedGPUs}, Limit: placement.Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs},
		}
	}
	placement.MarkGuaranteed(all, w.Teams)
	placement.MarkStarving(all, l.boostedClasses(), now)
	for _, v := range all {
		if len(v.WaitingTasks) > 0 {
			w.Jobs = append(w.Jobs, v)
		}
	}
	return w, l.jobs
}

// viewAge is how old the view of a machine that has not changed may be: making all of a
// large fleet's anew every time would take longer than the pass itself.
func viewAge(machines int) time.Duration {
	return time.Duration(float64(constants.MaxViewAge) * max(1, float64(machines)/constants.ViewAgeBaseMachines))
}

// refreshMachineView makes a machine's view anew.
func (l *Leader) refreshMachineView(machine *machineState, now time.Time) {
	machine.stale, machine.viewAt = false, now
	l.counts.Views++
	var uses []teamUse
	typ, _ := l.deps.Catalog().Type(machine.agent.MachineType)
	pr := l.placementMachine(machine)
	pr.AttemptCapacity = int(l.deps.Settings.Params.State.ValueKB*1024)/constants.AttemptBytes - len(machine.agent.Attempts)
	pr.Total = placement.Resources{CPUs: typ.CPUs, GPUs: typ.GPUs, MemoryGB: typ.MemoryGB}
	pr.FetchGBPerS = typ.FetchGBPerS
	pr.ImageWait = make(map[string]time.Duration, len(machine.images))
	for _, im := range machine.images {
		if im.have {
			pr.ImageWait[im.name] = 0
		}
	}
	for _, a := range machine.agent.Attempts {
		if !a.Live() {
			continue
		}
		room := l.resourcesOf(a)
		uses = append(uses, teamUse{l.teamOf(a), room})
		s := placement.RunningTask{Index: a.ID.Task.Index, Attempt: a.ID.Number, Resources: room, Stopping: a.StopRequested}
		if j := l.jobs[a.ID.Task.Job]; j != nil {
			s.Job = &j.view
			s.Remaining, s.StopCost = l.estimateStopCost(j, a, now)
			if _, have := pr.ImageWait[j.spec.Image]; !have && (a.Status == "" || a.Status == workers.StatusFetching) && typ.FetchGBPerS > 0 {
				pr.ActiveFetches++
				full := j.spec.ImageGB / typ.FetchGBPerS * float64(pr.ActiveFetches)
				pr.ImageWait[j.spec.Image] = max(time.Second, time.Duration(full*float64(time.Second))-now.Sub(a.PlacedAt))
			}
		}
		pr.RunningTasks = append(pr.RunningTasks, s)
	}
	for _, h := range l.reservations.OnMachine(machine.agent.Name) {
		pr.Reserved = append(pr.Reserved, placement.ReservedSlot{Pipeline: h.Pipeline, Priority: h.Priority, Resources: h.Resources})
		uses = append(uses, teamUse{h.Pipeline.Team, h.Resources})
	}
	l.setTeamUsage(machine, uses)
	machine.view = pr
}

// refreshJobView brings a job's view for placement up to date.
func (l *Leader) refreshJobView(j *jobState, now time.Time) {
	v := &j.view
	v.UpdateSlack(now, l.classShare(j.spec.Class))
	v.Blocked = now.Before(j.notBefore)
	v.SinceLastStart = now.Sub(j.servedAt)
	if !j.stale && len(j.avoid) == 0 && len(j.delayedTasks) == 0 {
		return
	}
	j.stale = false
	v.WaitingTasks = v.WaitingTasks[:0]
	v.TasksByZone = make(map[string]int)
	for _, seats := range j.attempts {
		for _, s := range seats {
			v.TasksByZone[s.machine.agent.Zone]++
		}
	}
	v.AvoidMachines = nil
	for name, until := range j.avoid {
		if now.After(until) {
			delete(j.avoid, name)
			continue
		}
		if v.AvoidMachines == nil {
			v.AvoidMachines = make(map[string]bool)
		}
		v.AvoidMachines[name] = true
	}
	if j.spec.Kind == jobs.KindGang {
		// A gang starts as a whole, and not before the last task of an
		// earlier attempt is proven gone.
		if len(j.attempts) == 0 {
			j.replacingTask = false
		}
		if len(j.attempts) == 0 && j.doneCount < j.spec.Tasks || j.replacingTask {
			for i := 0; i < j.spec.Tasks; i++ {
				if len(j.attempts[i]) == 0 {
					v.WaitingTasks = append(v.WaitingTasks, i)
				}
			}
		}
		return
	}
	shown := constants.MaxWaitingTasks
	if j.failures.faultyJob() {
		// One task tells whether it still fails, and takes no room of others.
		shown = max(0, 1-len(j.attempts))
	}
	first := true
	for i := j.firstWaiting; i < j.spec.Tasks; i++ {
		if j.doneTasks.has(i) || len(j.attempts[i]) > 0 {
			continue
		}
		if first {
			j.firstWaiting, first = i, false
		}
		if len(v.WaitingTasks) >= shown {
			break
		}
		if !j.heldBack(i, now) {
			v.WaitingTasks = append(v.WaitingTasks, i)
		}
	}
	if first {
		j.firstWaiting = j.spec.Tasks
	}
}

// estimateStopCost estimates how long an attempt goes on, and what stopping it throws
// away, in seconds of the room that it takes.
func (l *Leader) estimateStopCost(j *jobState, a *workers.Attempt, now time.Time) (left, loss time.Duration) {
	expect := time.Duration(j.spec.ExpectedS * float64(time.Second))
	again := constants.RestartCost
	if j.spec.Kind == jobs.KindGang {
		// The whole gang goes, and finds whole machines again less easily.
		again *= constants.GangRestartFactor * time.Duration(j.spec.Tasks)
	}
	if a.RunningSince.IsZero() {
		return expect, again
	}
	ran := now.Sub(a.RunningSince)
	left = max(expect-ran, 5*time.Second)
	if j.spec.CheckpointIntervalS > 0 {
		loss = time.Duration(j.spec.SaveS*float64(time.Second)) + constants.StopGrace
	} else {
		loss = ran
	}
	if ran < constants.StartCountsAfter {
		loss += constants.EarlyStopCost
	}
	return left, loss + again
}

// preempt stops a task to make room; a gang goes as a whole.
func (l *Leader) preempt(e placement.Preemption, now time.Time) {
	machine := l.machines[e.Machine.Name]
	if machine == nil || e.Victim.Job == nil {
		return
	}
	j := l.jobs[e.Victim.Job.Spec.ID]
	if j == nil {
		return
	}
	l.deps.Log.Debug("makes room", "piece", workers.TaskID{Job: j.spec.ID, Index: e.Victim.Index}, "rig", machine.agent.Name, "for", e.For.Spec.ID)
	grace := j.spec.SaveS + constants.StopGrace.Seconds()
	if j.spec.Kind == jobs.KindGang {
		l.stopGang(j, grace, now)
		return
	}
	for _, s := range j.attempts[e.Victim.Index] {
		if s.machine == machine && s.attempt.ID.Number == e.Victim.Attempt {
			l.stopAttempt(machine, s.attempt, grace, now)
		}
	}
	l.sendStops(machine, now)
}

// startPlanned turns the starts of a plan into attempts. Their `run` leaves only once
// the machines' records with them stand.
func (l *Leader) startPlanned(plan *placement.Plan, states map[string]*jobState, now time.Time) {
	gangTry := make(map[string]uint64)
	for _, s := range plan.Starts {
		j := states[s.Job.Spec.ID]
		machine := l.machines[s.Machine.Name]
		if j == nil || machine == nil {
			continue
		}
		try, ok := gangTry[j.spec.ID]
		if !ok && j.replacingTask {
			try, ok = j.gangAttempt, true
		}
		if !ok {
			if try, ok = l.attemptNumbers.next(); !ok {
				l.endTerm(errAttemptNumbersExhausted)
				return
			}
			if j.spec.Kind == jobs.KindGang {
				gangTry[j.spec.ID] = try
				j.gangAttempt = try
			}
		}
		a := &workers.Attempt{
			ID:    workers.AttemptID{Task: workers.TaskID{Job: j.spec.ID, Index: s.Index}, Number: try},
			Epoch: machine.agent.Epoch, PlacedAt: now,
		}
		machine.agent.Attempts[a.ID] = a
		j.servedAt = now
		l.placementRates.add(j.spec.Class)
		l.addAttempt(machine, a)
		l.logAttempt(machine, a)
		if l.reservations.Consume(machine.agent.Name, j.view.Owns) {
			l.deps.Log.Debug("hold used", "rig", machine.agent.Name, "job", j.spec.ID)
			l.metadataChanged(machine, now)
		}
		l.reservations.ReleaseExcess(machine.agent.Name, s.Machine.Total.Sub(l.usedResources(machine)))
		machine.useImage(j.spec.Image, j.spec.ImageGB, false, l.cacheOf(machine))
		l.deps.Log.Debug("placed", "piece", a.ID.Task, "try", try, "rig", machine.agent.Name)
	}
}

// placementRates are the tasks of each class that are placed a second, older ones counted
// for less.
type placementRates map[string]float64

func (r placementRates) add(class string) { r[class] += 1 / constants.StartRateWindow.Seconds() }

func (r placementRates) fade(d time.Duration) {
	for class := range r {
		r[class] *= 1 - d.Seconds()/constants.StartRateWindow.Seconds()
	}
}
