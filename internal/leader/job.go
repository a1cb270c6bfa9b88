package leader

import (
	"encoding/json"
	"math/bits"
	"sort"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/workers"
)

// placedAttempt is an attempt with the machine that it is on.
type placedAttempt struct {
	machine *machineState
	attempt *workers.Attempt
}

// jobState is one accepted job that has not ended.
type jobState struct {
	spec     *jobs.Spec
	view     placement.Job
	revision uint64 // revision of its record, which never changes
	// servedAt is when a task of it was last given a place, or it came.
	servedAt time.Time

	doneTasks    bitset // finished tasks
	recordedDone bitset // those whose completion is recorded
	doneCount    int
	firstWaiting int // no task below it waits
	// unrecordedExits are attempts reported done whose completion is not yet recorded.
	unrecordedExits map[*workers.Attempt]*machineState
	// stale is set when the view for placement must be made anew.
	stale bool

	// attempts are the attempts not proven gone or exited, by task.
	attempts map[int][]placedAttempt
	started  time.Time // first time that a task ran
	// placed is set once any task was given a place: the job no longer waits
	// to start.
	placed bool

	runtimes runtimeStats
	// restartedTasks are the tasks that have run in part already, whose last run tells
	// nothing of the whole.
	restartedTasks map[int]bool
	// fromEarlierTerm jobs were open when this term began: how long their tasks had
	// run by then is not known, so they tell nothing of machines.
	fromEarlierTerm bool

	// gangAttempt is the number of a gang's present attempt. short is set while a
	// task that it lost before it ran may be replaced under that number.
	gangAttempt   uint64
	replacingTask bool

	// failures is what its failures tell; retry are tasks that must wait after
	// failing again and again while the others do well.
	failures     failureHistory
	delayedTasks []delayedTask
	notBefore    time.Time
	avoid        map[string]time.Time
	waitCounted  bool // how it fared among the largest of its class is known
	// pendingUpstreams are the jobs that must be done first and are not known to be, asks is
	// set while not even their names are.
	pendingUpstreams map[string]bool
	upstreamsUnknown bool
	hasDependencies  bool // it named jobs to wait for, whether or not they are done
	// downstreamDemand is what the jobs that need this one ask for.
	downstreamDemand demand
	// acceptedAt is when it was submitted; its view counts from when it could start.
	acceptedAt time.Time
	complete   bool // all tasks are done, the final record is being written
	finalizing bool // a transaction with the final record is under way
	removed    bool // cancelled or ended
}

// bitset is a set of tasks.
type bitset []byte

func (b bitset) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) set(i int)      { b[i/8] |= 1 << (i % 8) }

func (j *jobState) recount() {
	j.doneCount = 0
	for _, b := range j.doneTasks {
		j.doneCount += bits.OnesCount8(b)
	}
}

func (j *jobState) running() (n int) {
	for _, seats := range j.attempts {
		for _, s := range seats {
			if s.attempt.Status == workers.StatusRunning || s.attempt.Status == workers.StatusSaving {
				n++
				break
			}
		}
	}
	return n
}

// addJob takes in a job's record.
func (l *Leader) addJob(key string, v json.RawMessage, stamp uint64, now time.Time) {
	name := key[len(jobs.OpenPrefix):]
	if l.jobs[name] != nil || l.removedJobs[name] {
		return
	}
	var rec jobs.Record
	err := json.Unmarshal(v, &rec)
	spec := rec.Spec
	if err != nil || spec.ID != name || spec.Tasks < 1 || spec.Tasks > constants.MaxTasks {
		l.deps.Log.Error("unreadable job", "key", key, "err", err)
		return
	}
	j := &jobState{
		spec: &spec, revision: stamp, servedAt: now,
		doneTasks: make(bitset, (spec.Tasks+7)/8), recordedDone: make(bitset, (spec.Tasks+7)/8),
		unrecordedExits: make(map[*workers.Attempt]*machineState), stale: true, attempts: make(map[int][]placedAttempt), avoid: make(map[string]time.Time),
		restartedTasks: make(map[int]bool),
	}
	j.view = placement.Job{Spec: &spec, Priority: jobs.Priority(spec.PriorityClass), Order: stamp, Submitted: now, Targets: l.targets(&spec, 0)}
	if at := time.UnixMilli(rec.AcceptedAtMS); rec.AcceptedAtMS > 0 && at.Before(now) {
		j.view.Submitted = at
	}
	j.acceptedAt = j.view.Submitted
	l.jobs[name] = j
	p := j.view.Pipeline()
	l.pipelines[p] = append(l.pipelines[p], j)
	l.arrivals[spec.Class]++
	l.updateLargestGang(&spec)
	if needs := (jobs.Dependencies{DependsOn: spec.DependsOn, Split: rec.Split}); !needs.Empty() {
		l.addDependencies(j, needs)
	} else {
		l.noteArrival(j, now)
	}
	l.passDueNow = true
	l.deps.Log.Debug("job", "id", name, "owner", spec.Team, "workload", spec.Class, "pieces", spec.Tasks)
}

// noteArrival counts a job that may start among those that came lately.
func (l *Leader) noteArrival(j *jobState, now time.Time) {
	if at := j.view.Submitted; now.Sub(at) <= constants.ArrivalRateWindow {
		l.scaling.recentArrivals = append(l.scaling.recentArrivals, arrival{at, demandOf(j, j.spec.Tasks), l.wantsWhole(j.spec)})
	}
}

// targets are the latest starts at which a job still meets its users' aims, of
// whichever kind: by a time, or by its due time and some times that. A class
// without aims goes by the job's own due time. The image may have to be fetched
// first. They count from when the job could start; its due time counts from its
// submission, and it has waited for so long.
func (l *Leader) targets(spec *jobs.Spec, waited time.Duration) (out []time.Duration) {
	fetch := 0.0
	if cat := l.deps.Catalog(); cat != nil {
		for _, t := range cat.MachineTypes {
			if t.FetchGBPerS > 0 {
				fetch = max(fetch, spec.ImageGB/t.FetchGBPerS)
			}
		}
	}
	for _, o := range l.deps.Settings.Params.SLOs {
		if o.Class != spec.Class {
			continue
		}
		switch o.Kind {
		case config.SLOWait:
			out = append(out, config.Seconds(o.WithinS-fetch))
		case config.SLOCompletion:
			out = append(out, config.Seconds(o.WithinS-spec.ExpectedS-fetch))
		case config.SLODeadline:
			if spec.DueS != nil {
				out = append(out, config.Seconds(*spec.DueS*o.DueFactor()-spec.ExpectedS-fetch)-waited)
			}
		}
	}
	if len(out) == 0 && spec.DueS != nil {
		out = append(out, config.Seconds(*spec.DueS-spec.ExpectedS-fetch)-waited)
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// classShare is how many jobs of a class come, against the most frequent class.
func (l *Leader) classShare(class string) float64 {
	most := 0.0
	for _, n := range l.arrivals {
		most = max(most, n)
	}
	if most <= 0 {
		return 1
	}
	return max(l.arrivals[class], 0) / most
}

// jobRecordDeleted is called when a job's record has left the open ones: this leader
// has finished it, or its user has cancelled it.
func (l *Leader) jobRecordDeleted(name string, now time.Time) {
	if j := l.jobs[name]; j != nil {
		l.removeJob(j, now)
		l.deps.Log.Debug("job gone", "id", name)
	}
	// The watch tells changes in order: nothing older of it can follow.
	delete(l.removedJobs, name)
}

// stopAttempt stops one attempt.
func (l *Leader) stopAttempt(machine *machineState, a *workers.Attempt, grace float64, now time.Time) {
	if machine.agent.RequestStop(a, grace, now) {
		l.removeAttempt(machine, a)
	}
	l.markStale(machine)
	l.wakeReply(machine)
	l.passDueNow = true
}

// stopGang stops all attempts of a gang together.
func (l *Leader) stopGang(j *jobState, grace float64, now time.Time) {
	j.replacingTask, j.stale = false, true
	seats := sortedAttempts(j)
	for _, s := range seats {
		l.stopAttempt(s.machine, s.attempt, grace, now)
	}
	for _, s := range seats {
		l.sendStops(s.machine, now)
	}
}

func sortedAttempts(j *jobState) []placedAttempt {
	var out []placedAttempt
	for _, ss := range j.attempts {
		out = append(out, ss...)
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.attempt.ID.Task.Index != y.attempt.ID.Task.Index {
			return x.attempt.ID.Task.Index < y.attempt.ID.Task.Index
		}
		return x.machine.agent.Name < y.machine.agent.Name
	})
	return out
}

// addAttempt notes an attempt with its job.
func (l *Leader) addAttempt(machine *machineState, a *workers.Attempt) {
	l.markStale(machine)
	j := l.jobs[a.ID.Task.Job]
	if j == nil || a.ID.Task.Index >= j.spec.Tasks {
		return
	}
	j.stale = true
	i := a.ID.Task.Index
	j.attempts[i] = append(j.attempts[i], placedAttempt{machine, a})
	j.placed = true
}

// removeAttempt takes an attempt off its job once it is gone or has exited.
func (l *Leader) removeAttempt(machine *machineState, a *workers.Attempt) {
	l.markStale(machine)
	l.commits.log.AttemptGone(machine.agent.Name, recordAttempt(a))
	j := l.jobs[a.ID.Task.Job]
	if j == nil {
		if g := l.endedJobs[a.ID.Task.Job]; g != nil {
			if g.attempts--; g.attempts <= 0 {
				delete(l.endedJobs, a.ID.Task.Job)
			}
		}
		return
	}
	j.stale = true
	i := a.ID.Task.Index
	kept := j.attempts[i][:0:0]
	for _, s := range j.attempts[i] {
		if s.attempt != a {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		delete(j.attempts, i)
	} else {
		j.attempts[i] = kept
	}
	if i < j.firstWaiting {
		j.firstWaiting = i
	}
}

// applyEvents takes in what a report or the clock says of a machine's attempts.
func (l *Leader) applyEvents(machine *machineState, list []workers.Event, now time.Time) {
	if len(list) > 0 {
		l.markStale(machine)
	}
	for _, e := range list {
		a := e.Attempt
		j := l.jobs[a.ID.Task.Job]
		l.noteImage(machine, j, a, now)
		switch e.Kind {
		case workers.EventUnrecorded:
			if a.Status == workers.StatusExited {
				break // an Ended event follows
			}
			l.deps.Log.Info("task in no record", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name)
			l.addAttempt(machine, a)
			if j == nil {
				if g := l.endedJobs[a.ID.Task.Job]; g != nil {
					g.attempts++
				}
			}
			if j == nil || a.ID.Task.Index >= j.spec.Tasks {
				l.stopAttempt(machine, a, 0, now)
			} else {
				l.stopAttempt(machine, a, j.spec.SaveS+constants.StopGrace.Seconds(), now)
			}
			l.logAttempt(machine, a)
		case workers.EventStatusChanged:
			l.deps.Log.Debug("task seen", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name, "status", a.Status)
			if j != nil && a.Status == workers.StatusRunning && j.started.IsZero() {
				j.started = now
				l.countGangWait(j, now)
			}
		case workers.EventGone:
			if j != nil {
				j.restartedTasks[a.ID.Task.Index] = true
			}
			l.removeAttempt(machine, a)
			l.gangTaskLost(machine, j, a, true, now)
		case workers.EventExited:
			l.removeAttempt(machine, a)
			l.taskExited(machine, j, a, now)
		}
	}
	if len(list) > 0 {
		l.passDueNow = true
	}
}

// gangTaskLost is called when a task of a gang is gone or has ended undone. While the
// gang still waits for its start, a replacement with the same attempt number
// completes it; else the others go too, and it starts anew.
func (l *Leader) gangTaskLost(machine *machineState, j *jobState, a *workers.Attempt, replace bool, now time.Time) {
	if j == nil || j.spec.Kind != jobs.KindGang || j.complete {
		return
	}
	if replace && l.mayReplace(j, a) {
		j.replacingTask, j.stale = true, true
		j.avoid[machine.agent.Name] = now.Add(constants.AvoidFor)
		l.deps.Log.Debug("task of a waiting gang to be replaced", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name)
		return
	}
	l.stopGang(j, 0, now)
}

// stopIncompleteGang stops what an earlier term had placed of a gang that lacks tasks: it
// can't be completed any more, and would wait in vain.
func (l *Leader) stopIncompleteGang(j *jobState, now time.Time) {
	if n := len(j.attempts); j.spec.Kind == jobs.KindGang && n > 0 && n < j.spec.Tasks && !j.complete {
		l.stopGang(j, j.spec.SaveS+constants.StopGrace.Seconds(), now)
	}
}

// mayReplace tells whether the rest of the gang still waits, as far as is
// known. Should it have started after all, the rest exits for want of the lost
// task, and that stops the replacement too. Attempts of earlier terms are not
// completed: what their leader sent last is not known.
func (l *Leader) mayReplace(j *jobState, a *workers.Attempt) bool {
	if a.StopRequested || a.FromEarlierTerm || a.ID.Number != j.gangAttempt || !l.attemptNumbers.owns(a.ID.Number) || len(j.attempts) == 0 {
		return false
	}
	for _, s := range sortedAttempts(j) {
		switch {
		case s.attempt.StopRequested, s.attempt.FromEarlierTerm, s.attempt.ID.Number != a.ID.Number:
			return false
		case s.attempt.Status != "" && s.attempt.Status != workers.StatusFetching && s.attempt.Status != workers.StatusWaiting:
			return false
		}
	}
	return true
}

// taskExited takes in a task's exit.
func (l *Leader) taskExited(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	l.deps.Log.Debug("task ended", "piece", a.ID.Task, "try", a.ID.Number, "rig", machine.agent.Name, "cause", a.Cause, "saved", a.Saved)
	if j == nil || a.ID.Task.Index >= j.spec.Tasks {
		l.allowForget(machine, a)
		return
	}
	replace := false
	switch a.Cause {
	case workers.CauseDone:
		l.taskCompleted(machine, j, a, now)
		return
	case workers.CauseError:
		l.taskFailed(machine, j, a, now)
	case "alone", "mates_gone", "halted":
		j.restartedTasks[a.ID.Task.Index] = true
	default:
		// Refused: the worker knows better than our books; look again soon.
		j.notBefore = now.Add(constants.RetryBase)
		replace = true
	}
	l.allowForget(machine, a)
	l.gangTaskLost(machine, j, a, replace, now)
}

// taskCompleted records a task's completion. The worker may forget it only once the
// record stands.
func (l *Leader) taskCompleted(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	first := !j.doneTasks.has(a.ID.Task.Index)
	j.unrecordedExits[a], j.stale = machine, true
	l.noteStragglerSignal(machine, j, a, now)
	if j.spec.Kind == jobs.KindGang {
		// A gang's tasks complete together: one done, all done.
		if first {
			for i := range j.spec.Tasks {
				j.doneTasks.set(i)
			}
			j.doneCount = j.spec.Tasks
			l.logDone(j, wal.AllTasks)
		}
	} else if first {
		j.doneTasks.set(a.ID.Task.Index)
		j.doneCount++
		l.logDone(j, a.ID.Task.Index)
	}
	j.failures.succeeded = true
	j.failures.reset()
	l.attributeFailures(j, now) // now: the job may be over in a moment
	machine.failedJobs = nil    // it has carried a task to its end
	l.releaseRecordedExits(j)
	if first || j.spec.Kind == jobs.KindGang {
		l.reserve(machine, j, a, now)
	}
	// Another attempt of a task that is done has no purpose.
	if j.spec.Kind != jobs.KindGang {
		for _, s := range j.attempts[a.ID.Task.Index] {
			l.stopAttempt(s.machine, s.attempt, 0, now)
		}
	}
	l.checkComplete(j)
}

// logDone has a task's completion recorded, before its worker may forget it.
func (l *Leader) logDone(j *jobState, task int) {
	l.commits.log.TasksDone(j.spec.ID, []int{task}, func() {
		if j.removed {
			return
		}
		if task == wal.AllTasks {
			copy(j.recordedDone, j.doneTasks)
		} else {
			j.recordedDone.set(task)
		}
		l.releaseRecordedExits(j)
	})
}

// reserve applies the hold rule to the room that a finished task leaves.
func (l *Leader) reserve(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	f := reservations.TaskFinish{
		Job: j.spec.ID, Tasks: j.spec.Tasks, UpstreamStartedAt: j.started, Machine: machine.agent.Name, Downstreams: l.downstreams(j), Now: now,
		Fits: func(d reservations.Downstream) bool { return machine.schedulable(now) && l.canHold(machine, d) },
	}
	if f.UpstreamStartedAt.IsZero() {
		f.UpstreamStartedAt = a.PlacedAt
	}
	if !a.RunningSince.IsZero() {
		f.Runtime = now.Sub(a.RunningSince)
	}
	if l.reservations.TaskFinished(f) {
		l.metadataChanged(machine, now)
		return
	}
	l.offerFreedResources(machine, now)
}

// offerFreedResources gives freed room to stages that hold room from elsewhere.
func (l *Leader) offerFreedResources(machine *machineState, now time.Time) {
	if !machine.schedulable(now) {
		return
	}
	if l.reservations.OfferFreed(machine.agent.Name, func(d reservations.Downstream) bool { return l.canHold(machine, d) }, now) {
		l.metadataChanged(machine, now)
	}
}

// canHold tells whether a machine can and may take a task of a job.
func (l *Leader) canHold(machine *machineState, d reservations.Downstream) bool {
	j := l.jobs[d.Job]
	return j != nil && placement.Allowed(&j.view, l.placementMachine(machine)) && l.freeResources(machine).Fits(d.TaskResources)
}

// downstreams are the jobs that come after one in its pipeline and wait to start:
// those that name it, or else the next one of its owner and workload, if the operators
// want holds for these.
func (l *Leader) downstreams(up *jobState) []reservations.Downstream {
	if up.hasDependencies || len(l.dependencies.after[up.spec.ID]) > 0 {
		return l.downstreamEdges(up)
	}
	if !l.deps.Operator.Holds.SubmissionOrder {
		return nil
	}
	next := l.downstream(up)
	if next == nil {
		return nil
	}
	return []reservations.Downstream{heldFor(next, next.view.Pipeline())}
}

func heldFor(j *jobState, p placement.Pipeline) reservations.Downstream {
	return reservations.Downstream{Pipeline: p, Job: j.spec.ID, Tasks: j.spec.Tasks, Priority: j.view.Priority, TaskResources: placement.TaskResources(j.spec)}
}

// downstream is the pipeline's earliest job still waiting to start. A job that waits
// for others has a pipeline of its own.
func (l *Leader) downstream(up *jobState) *jobState {
	p := up.view.Pipeline()
	// Jobs come in the order of their records, but for those that were read
	// at the takeover.
	var best *jobState
	kept := l.pipelines[p][:0]
	for _, j := range l.pipelines[p] {
		if j.removed {
			continue
		}
		kept = append(kept, j)
		if j != up && !j.placed && !j.hasDependencies && (best == nil || j.revision < best.revision) {
			best = j
		}
	}
	l.pipelines[p] = kept
	return best
}

func (l *Leader) stillWaits(name string) bool {
	j := l.jobs[name]
	return j != nil && len(j.attempts) < j.spec.Tasks-j.doneCount
}

// checkComplete starts the last record of a job whose tasks are all done.
func (l *Leader) checkComplete(j *jobState) {
	if j.doneCount == j.spec.Tasks && !j.complete && !j.removed {
		j.complete = true
		l.commits.finalizing = append(l.commits.finalizing, j)
	}
}
