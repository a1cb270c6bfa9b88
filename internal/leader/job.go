package leader

import (
	"encoding/json"
	"math/bits"
	"sort"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
	"thornnotch/internal/placement"
	"thornnotch/internal/reservations"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// seat is an attempt with the machine that it is on.
type seat struct {
	machine *machine
	a       *workers.Attempt
}

// job is one accepted job that has not ended.
type job struct {
	spec  *userapi.Spec
	view  placement.Job
	stamp uint64 // revision of its record, which never changes
	// servedAt is when a task of it was last given a place, or it came.
	servedAt time.Time

	did   bitset // finished tasks
	safe  bitset // those whose completion is recorded
	doneN int
	low   int // no task below it waits
	// exits are attempts reported done whose completion is not yet recorded.
	exits map[*workers.Attempt]*machine
	// stale is set when the view for placement must be made anew.
	stale bool

	// seats are the attempts not proven gone or exited, by task.
	seats   map[int][]seat
	started time.Time // first time that a task ran
	// placed is set once any task was given a place: the job no longer waits
	// to start.
	placed bool

	pace pace
	// again are the tasks that have run in part already, whose last run tells
	// nothing of the whole.
	again map[int]bool
	// inherited jobs were open when this term began: how long their tasks had
	// run by then is not known, so they tell nothing of machines.
	inherited bool

	// gangTry is the number of a gang's present attempt. short is set while a
	// task that it lost before it ran may be replaced under that number.
	gangTry uint64
	short   bool

	// blame is what its failures tell; retry are tasks that must wait after
	// failing again and again while the others do well.
	blame     blame
	retry     []retry
	notBefore time.Time
	avoid     map[string]time.Time
	noted     bool // how it fared among the largest of its class is known
	// before are the jobs that must be done first and are not known to be, asks is
	// set while not even their names are.
	before map[string]bool
	asks   bool
	edged  bool // it named jobs to wait for, whether or not they are done
	// needed is what the jobs that need this one ask for.
	needed demand
	// accepted is when it was submitted; its view counts from when it could start.
	accepted time.Time
	closing  bool // all tasks are done, the final record is being written
	moving   bool // a transaction with the final record is under way
	gone     bool // cancelled or ended
}

// bitset is a set of tasks.
type bitset []byte

func (b bitset) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }
func (b bitset) set(i int)      { b[i/8] |= 1 << (i % 8) }

func (j *job) recount() {
	j.doneN = 0
	for _, b := range j.did {
		j.doneN += bits.OnesCount8(b)
	}
}

func (j *job) running() (n int) {
	for _, seats := range j.seats {
		for _, s := range seats {
			if s.a.Status == workers.StatusRunning || s.a.Status == workers.StatusSaving {
				n++
				break
			}
		}
	}
	return n
}

// addJob takes in a job's record.
func (l *Leader) addJob(key string, v json.RawMessage, stamp uint64, now time.Time) {
	name := key[len(userapi.OpenPrefix):]
	if l.jobs[name] != nil || l.finished[name] {
		return
	}
	var rec userapi.JobRecord
	err := json.Unmarshal(v, &rec)
	spec := rec.Spec
	if err != nil || spec.ID != name || spec.Tasks < 1 || spec.Tasks > constants.MaxPieces {
		l.d.Log.Error("unreadable job", "key", key, "err", err)
		return
	}
	j := &job{
		spec: &spec, stamp: stamp, servedAt: now,
		did: make(bitset, (spec.Tasks+7)/8), safe: make(bitset, (spec.Tasks+7)/8),
		exits: make(map[*workers.Attempt]*machine), stale: true, seats: make(map[int][]seat), avoid: make(map[string]time.Time),
		again: make(map[int]bool),
	}
	j.view = placement.Job{Spec: &spec, Priority: userapi.Priority(spec.PriorityClass), Order: stamp, Submitted: now, Targets: l.targets(&spec, 0)}
	if at := time.UnixMilli(rec.AtMS); rec.AtMS > 0 && at.Before(now) {
		j.view.Submitted = at
	}
	j.accepted = j.view.Submitted
	l.jobs[name] = j
	p := j.view.Pipeline()
	l.pipelines[p] = append(l.pipelines[p], j)
	l.arrivals[spec.Class]++
	l.sized(&spec)
	if needs := (userapi.Dependencies{DependsOn: spec.DependsOn, Split: rec.Split}); !needs.Empty() {
		l.mustWait(j, needs)
	} else {
		l.comes(j, now)
	}
	l.dirty = true
	l.d.Log.Debug("job", "id", name, "owner", spec.Team, "workload", spec.Class, "pieces", spec.Tasks)
}

// comes counts a job that may start among those that came lately.
func (l *Leader) comes(j *job, now time.Time) {
	if at := j.view.Submitted; now.Sub(at) <= constants.RecentWindow {
		l.market.recent = append(l.market.recent, arrival{at, demandOf(j, j.spec.Tasks), l.wantsWhole(j.spec)})
	}
}

// targets are the latest starts at which a job still meets its users' aims, of
// whichever kind: by a time, or by its due time and some times that. A class
// without aims goes by the job's own due time. The image may have to be fetched
// first. They count from when the job could start; its due time counts from its
// submission, and it has waited for so long.
func (l *Leader) targets(spec *userapi.Spec, waited time.Duration) (out []time.Duration) {
	fetch := 0.0
	if cat := l.d.Catalog(); cat != nil {
		for _, t := range cat.MachineTypes {
			if t.PullGBPerS > 0 {
				fetch = max(fetch, spec.ImageGB/t.PullGBPerS)
			}
		}
	}
	for _, o := range l.d.Settings.Params.Objectives {
		if o.Class != spec.Class {
			continue
		}
		switch o.Kind {
		case config.AimWait:
			out = append(out, config.Seconds(o.WithinS-fetch))
		case config.AimFinished:
			out = append(out, config.Seconds(o.WithinS-spec.ExpectedS-fetch))
		case config.AimDeadline:
			if spec.DueS != nil {
				out = append(out, config.Seconds(*spec.DueS*o.Due()-spec.ExpectedS-fetch)-waited)
			}
		}
	}
	if len(out) == 0 && spec.DueS != nil {
		out = append(out, config.Seconds(*spec.DueS-spec.ExpectedS-fetch)-waited)
	}
	sort.Slice(out, func(i, k int) bool { return out[i] < out[k] })
	return out
}

// share is how many jobs of a class come, against the most frequent class.
func (l *Leader) share(class string) float64 {
	most := 0.0
	for _, n := range l.arrivals {
		most = max(most, n)
	}
	if most <= 0 {
		return 1
	}
	return max(l.arrivals[class], 0) / most
}

// jobGone is called when a job's record has left the open ones: this leader
// has finished it, or its user has cancelled it.
func (l *Leader) jobGone(name string, now time.Time) {
	if j := l.jobs[name]; j != nil {
		l.removeJob(j, now)
		l.d.Log.Debug("job gone", "id", name)
	}
	// The watch tells changes in order: nothing older of it can follow.
	delete(l.finished, name)
}

// halt stops one attempt.
func (l *Leader) halt(r *machine, a *workers.Attempt, grace float64, now time.Time) {
	if r.m.RequestStop(a, grace, now) {
		l.vacate(r, a)
	}
	l.markStale(r)
	l.answerSoon(r)
	l.dirty = true
}

// haltGang stops all attempts of a gang together.
func (l *Leader) haltGang(j *job, grace float64, now time.Time) {
	j.short, j.stale = false, true
	seats := sortedSeats(j)
	for _, s := range seats {
		l.halt(s.machine, s.a, grace, now)
	}
	for _, s := range seats {
		l.sendStops(s.machine, now)
	}
}

func sortedSeats(j *job) []seat {
	var out []seat
	for _, ss := range j.seats {
		out = append(out, ss...)
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.a.ID.Task.Index != y.a.ID.Task.Index {
			return x.a.ID.Task.Index < y.a.ID.Task.Index
		}
		return x.machine.m.Name < y.machine.m.Name
	})
	return out
}

// occupy notes an attempt with its job.
func (l *Leader) occupy(r *machine, a *workers.Attempt) {
	l.markStale(r)
	j := l.jobs[a.ID.Task.Job]
	if j == nil || a.ID.Task.Index >= j.spec.Tasks {
		return
	}
	j.stale = true
	i := a.ID.Task.Index
	j.seats[i] = append(j.seats[i], seat{r, a})
	j.placed = true
}

// vacate takes an attempt off its job once it is gone or has exited.
func (l *Leader) vacate(r *machine, a *workers.Attempt) {
	l.markStale(r)
	l.committer.log.Del(r.m.Name, recordAttempt(a))
	j := l.jobs[a.ID.Task.Job]
	if j == nil {
		if g := l.endedJobs[a.ID.Task.Job]; g != nil {
			if g.seats--; g.seats <= 0 {
				delete(l.endedJobs, a.ID.Task.Job)
			}
		}
		return
	}
	j.stale = true
	i := a.ID.Task.Index
	kept := j.seats[i][:0:0]
	for _, s := range j.seats[i] {
		if s.a != a {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		delete(j.seats, i)
	} else {
		j.seats[i] = kept
	}
	if i < j.low {
		j.low = i
	}
}

// events takes in what a report or the clock says of a machine's attempts.
func (l *Leader) events(r *machine, list []workers.Event, now time.Time) {
	if len(list) > 0 {
		l.markStale(r)
	}
	for _, e := range list {
		a := e.Attempt
		j := l.jobs[a.ID.Task.Job]
		l.noteImage(r, j, a, now)
		switch e.Kind {
		case workers.EventUnrecorded:
			if a.Status == workers.StatusExited {
				break // an Ended event follows
			}
			l.d.Log.Info("task in no record", "piece", a.ID.Task, "try", a.ID.Number, "rig", r.m.Name)
			l.occupy(r, a)
			if j == nil {
				if g := l.endedJobs[a.ID.Task.Job]; g != nil {
					g.seats++
				}
			}
			if j == nil || a.ID.Task.Index >= j.spec.Tasks {
				l.halt(r, a, 0, now)
			} else {
				l.halt(r, a, j.spec.SaveS+constants.StopGrace.Seconds(), now)
			}
			l.noteAdd(r, a)
		case workers.EventStatusChanged:
			l.d.Log.Debug("task seen", "piece", a.ID.Task, "try", a.ID.Number, "rig", r.m.Name, "status", a.Status)
			if j != nil && a.Status == workers.StatusRunning && j.started.IsZero() {
				j.started = now
				l.fared(j, now)
			}
		case workers.EventGone:
			if j != nil {
				j.again[a.ID.Task.Index] = true
			}
			l.vacate(r, a)
			l.lost(r, j, a, true, now)
		case workers.EventExited:
			l.vacate(r, a)
			l.exited(r, j, a, now)
		}
	}
	if len(list) > 0 {
		l.dirty = true
	}
}

// lost is called when a task of a gang is gone or has ended undone. While the
// gang still waits for its start, a replacement with the same attempt number
// completes it; else the others go too, and it starts anew.
func (l *Leader) lost(r *machine, j *job, a *workers.Attempt, replace bool, now time.Time) {
	if j == nil || j.spec.Kind != userapi.KindGang || j.closing {
		return
	}
	if replace && l.mayReplace(j, a) {
		j.short, j.stale = true, true
		j.avoid[r.m.Name] = now.Add(constants.AvoidFor)
		l.d.Log.Debug("task of a waiting gang to be replaced", "piece", a.ID.Task, "try", a.ID.Number, "rig", r.m.Name)
		return
	}
	l.haltGang(j, 0, now)
}

// dissolve stops what an earlier term had placed of a gang that lacks tasks: it
// can't be completed any more, and would wait in vain.
func (l *Leader) dissolve(j *job, now time.Time) {
	if n := len(j.seats); j.spec.Kind == userapi.KindGang && n > 0 && n < j.spec.Tasks && !j.closing {
		l.haltGang(j, j.spec.SaveS+constants.StopGrace.Seconds(), now)
	}
}

// mayReplace tells whether the rest of the gang still waits, as far as is
// known. Should it have started after all, the rest exits for want of the lost
// task, and that stops the replacement too. Attempts of earlier terms are not
// completed: what their leader sent last is not known.
func (l *Leader) mayReplace(j *job, a *workers.Attempt) bool {
	if a.StopRequested || a.FromEarlierTerm || a.ID.Number != j.gangTry || !l.attempts.owns(a.ID.Number) || len(j.seats) == 0 {
		return false
	}
	for _, s := range sortedSeats(j) {
		switch {
		case s.a.StopRequested, s.a.FromEarlierTerm, s.a.ID.Number != a.ID.Number:
			return false
		case s.a.Status != "" && s.a.Status != workers.StatusFetching && s.a.Status != workers.StatusWaiting:
			return false
		}
	}
	return true
}

// exited takes in a task's exit.
func (l *Leader) exited(r *machine, j *job, a *workers.Attempt, now time.Time) {
	l.d.Log.Debug("task ended", "piece", a.ID.Task, "try", a.ID.Number, "rig", r.m.Name, "cause", a.Cause, "saved", a.Saved)
	if j == nil || a.ID.Task.Index >= j.spec.Tasks {
		l.allowForget(r, a)
		return
	}
	replace := false
	switch a.Cause {
	case workers.CauseDone:
		l.finish(r, j, a, now)
		return
	case workers.CauseError:
		l.failedHere(r, j, a, now)
	case "alone", "mates_gone", "halted":
		j.again[a.ID.Task.Index] = true
	default:
		// Refused: the worker knows better than our books; look again soon.
		j.notBefore = now.Add(constants.RetryBase)
		replace = true
	}
	l.allowForget(r, a)
	l.lost(r, j, a, replace, now)
}

// finish records a task's completion. The worker may forget it only once the
// record stands.
func (l *Leader) finish(r *machine, j *job, a *workers.Attempt, now time.Time) {
	first := !j.did.has(a.ID.Task.Index)
	j.exits[a], j.stale = r, true
	l.notePace(r, j, a, now)
	if j.spec.Kind == userapi.KindGang {
		// A gang's tasks complete together: one done, all done.
		if first {
			for i := range j.spec.Tasks {
				j.did.set(i)
			}
			j.doneN = j.spec.Tasks
			l.noteDone(j, wal.AllTasks)
		}
	} else if first {
		j.did.set(a.ID.Task.Index)
		j.doneN++
		l.noteDone(j, a.ID.Task.Index)
	}
	j.blame.sound = true
	j.blame.clear()
	l.judge(j, now)  // now: the job may be over in a moment
	r.accusers = nil // it has carried a task to its end
	l.settleDone(j)
	if first || j.spec.Kind == userapi.KindGang {
		l.reserve(r, j, a, now)
	}
	// Another attempt of a task that is done has no purpose.
	if j.spec.Kind != userapi.KindGang {
		for _, s := range j.seats[a.ID.Task.Index] {
			l.halt(s.machine, s.a, 0, now)
		}
	}
	l.checkComplete(j)
}

// noteDone has a task's completion recorded, before its worker may forget it.
func (l *Leader) noteDone(j *job, task int) {
	l.committer.log.Done(j.spec.ID, []int{task}, func() {
		if j.gone {
			return
		}
		if task == wal.AllTasks {
			copy(j.safe, j.did)
		} else {
			j.safe.set(task)
		}
		l.settleDone(j)
	})
}

// reserve applies the hold rule to the room that a finished task leaves.
func (l *Leader) reserve(r *machine, j *job, a *workers.Attempt, now time.Time) {
	f := reservations.Finish{
		Job: j.spec.ID, Pieces: j.spec.Tasks, Started: j.started, Machine: r.m.Name, Next: l.downstreams(j), Now: now,
		Fits: func(d reservations.Downstream) bool { return r.open(now) && l.mayHold(r, d) },
	}
	if f.Started.IsZero() {
		f.Started = a.PlacedAt
	}
	if !a.RunningSince.IsZero() {
		f.Ran = now.Sub(a.RunningSince)
	}
	if l.book.Finished(f) {
		l.hintsChanged(r, now)
		return
	}
	l.offer(r, now)
}

// offer gives freed room to stages that hold room from elsewhere.
func (l *Leader) offer(r *machine, now time.Time) {
	if !r.open(now) {
		return
	}
	if l.book.Freed(r.m.Name, func(d reservations.Downstream) bool { return l.mayHold(r, d) }, now) {
		l.hintsChanged(r, now)
	}
}

// mayHold tells whether a machine can and may take a task of a job.
func (l *Leader) mayHold(r *machine, d reservations.Downstream) bool {
	j := l.jobs[d.Job]
	return j != nil && placement.Allowed(&j.view, l.shape(r)) && l.room(r).Fits(d.Need)
}

// downstreams are the jobs that come after one in its pipeline and wait to start:
// those that name it, or else the next one of its owner and workload, if the operators
// want holds for these.
func (l *Leader) downstreams(up *job) []reservations.Downstream {
	if up.edged || len(l.waits.after[up.spec.ID]) > 0 {
		return l.downstreamEdges(up)
	}
	if !l.d.Operator.Holds.SubmissionOrder {
		return nil
	}
	next := l.downstream(up)
	if next == nil {
		return nil
	}
	return []reservations.Downstream{heldFor(next, next.view.Pipeline())}
}

func heldFor(j *job, p placement.Pipeline) reservations.Downstream {
	return reservations.Downstream{Pipeline: p, Job: j.spec.ID, Pieces: j.spec.Tasks, Priority: j.view.Priority, Need: placement.Need(j.spec)}
}

// downstream is the pipeline's earliest job still waiting to start. A job that waits
// for others has a pipeline of its own.
func (l *Leader) downstream(up *job) *job {
	p := up.view.Pipeline()
	// Jobs come in the order of their records, but for those that were read
	// at the takeover.
	var best *job
	kept := l.pipelines[p][:0]
	for _, j := range l.pipelines[p] {
		if j.gone {
			continue
		}
		kept = append(kept, j)
		if j != up && !j.placed && !j.edged && (best == nil || j.stamp < best.stamp) {
			best = j
		}
	}
	l.pipelines[p] = kept
	return best
}

func (l *Leader) stillWaits(name string) bool {
	j := l.jobs[name]
	return j != nil && len(j.seats) < j.spec.Tasks-j.doneN
}

// checkComplete starts the last record of a job whose tasks are all done.
func (l *Leader) checkComplete(j *job) {
	if j.doneN == j.spec.Tasks && !j.closing && !j.gone {
		j.closing = true
		l.committer.final = append(l.committer.final, j)
	}
}
