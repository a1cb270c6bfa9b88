package leader

import (
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// A task that fails speaks against its machine or against its job: a faulty
// machine fails whatever starts on it, a job that was submitted with a mistake
// fails wherever it starts. What tells them apart is how the job fares
// elsewhere. A machine with room and images, which fails at once all that it is
// given, would otherwise take task after task; and a job whose tasks met one such
// machine, eight at a time, would be held back as if it failed everywhere.
//
// All of this lives in memory. After a takeover a faulty machine has to fail once
// more, and a job with a mistake to fail on a few machines.

// failure is how tasks of one job failed on one machine.
type failure struct {
	at  time.Time
	ran time.Duration // the longest that one of them ran before it failed
}

// blame is what the failures of one job tell.
type blame struct {
	// failed are the machines on which it failed of which it is not known yet
	// whether that was their fault.
	failed map[string]failure
	// sound is set once a task of it has finished: it has no mistake.
	sound bool
	// rounds counts the tries in a row that failed after it had failed on
	// several machines; zero for a job that is not taken for mistaken.
	rounds int
	// tasks counts on how many machines each task failed.
	tasks map[int]int
}

// mistaken tells whether the job is taken for one that fails everywhere.
func (b *blame) mistaken() bool { return b.rounds > 0 }

// note takes in that a task failed on a machine after it had run for so long. It
// tells how long the job has to wait before it is tried again, or the task alone
// if alone is set.
func (b *blame) note(machine string, task int, ran time.Duration, waits bool, now time.Time) (pause time.Duration, alone bool) {
	if b.failed == nil {
		b.failed, b.tasks = make(map[string]failure), make(map[int]int)
	}
	if b.tasks[task]++; b.tasks[task] > constants.BadTaskMachines && b.sound {
		// The others of the job do well, this one fails wherever it starts:
		// that is no machine's fault.
		return constants.RetryMax, true
	}
	f := b.failed[machine]
	b.failed[machine] = failure{now, max(f.ran, ran)}
	if b.sound {
		return 0, false
	}
	recent := 0
	for _, f := range b.failed {
		if now.Sub(f.at) < constants.BlameMemory {
			recent++
		}
	}
	if recent < constants.BadJobMachines && b.rounds == 0 {
		return constants.RetryBase, false
	}
	if !waits {
		// Tasks that fail together count once.
		b.rounds++
	}
	return min(constants.RetryMax, constants.RetryBase<<min(b.rounds, 10)), false
}

// clear is called once the job has shown that it has no mistake.
func (b *blame) clear() { b.rounds = 0 }

// guilty names the machines whose fault the job's failures were, given for how
// long its tasks have run on which machines: the job did better elsewhere. A
// machine is named once.
func (b *blame) guilty(runs map[string]time.Duration, now time.Time) (machines []string) {
	for name, f := range b.failed {
		if now.Sub(f.at) >= constants.BlameMemory {
			delete(b.failed, name)
			continue
		}
		better := b.sound
		for other, ran := range runs {
			better = better || other != name && ran > f.ran+constants.BlameMargin
		}
		if better {
			machines = append(machines, name)
			delete(b.failed, name)
		}
	}
	return machines
}

// failedHere takes in a task's failure.
func (l *Leader) failedHere(r *machine, j *job, a *workers.Attempt, now time.Time) {
	ran := time.Duration(0)
	if !a.RunningSince.IsZero() {
		ran = now.Sub(a.RunningSince)
	}
	j.avoid[r.m.Name] = now.Add(constants.AvoidFor)
	j.stale = true
	pause, alone := j.blame.note(r.m.Name, a.ID.Task.Index, ran, now.Before(j.notBefore), now)
	if alone {
		j.retry = append(j.retry, retry{a.ID.Task.Index, now.Add(pause)})
		return
	}
	j.notBefore = later(j.notBefore, now.Add(pause))
	if j.blame.mistaken() {
		l.absolve(j)
		return
	}
	// Until it is known whose fault it was nothing else should meet it there.
	r.pausedUntil = now.Add(constants.BlamePause)
	if r.accusers == nil {
		r.accusers = make(map[string]bool)
	}
	r.accusers[j.spec.ID] = true
	if len(r.accusers) >= constants.BadMachineJobs {
		l.condemn(r, "several jobs failed on it", now)
	}
	l.judge(j, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judge finds out whose fault a job's failures were.
func (l *Leader) judge(j *job, now time.Time) {
	if len(j.blame.failed) == 0 {
		return
	}
	runs := make(map[string]time.Duration)
	for _, seats := range j.seats {
		for _, s := range seats {
			if s.a.Status == workers.StatusRunning && !s.a.RunningSince.IsZero() {
				runs[s.machine.m.Name] = max(runs[s.machine.m.Name], s.machine.m.LastHeartbeat.Sub(s.a.RunningSince))
			}
		}
	}
	for _, name := range j.blame.guilty(runs, now) {
		j.blame.clear()
		if r := l.machines[name]; r != nil {
			l.condemn(r, "a job that does well elsewhere failed on it", now)
		}
	}
}

// judgeAll does that for all jobs that have failed somewhere.
func (l *Leader) judgeAll(now time.Time) {
	for _, j := range l.jobs {
		l.judge(j, now)
	}
}

// absolve takes back what a job with a mistake has said against machines.
func (l *Leader) absolve(j *job) {
	for name := range j.blame.failed {
		r := l.machines[name]
		if r == nil || !r.accusers[j.spec.ID] {
			continue
		}
		delete(r.accusers, j.spec.ID)
		if len(r.accusers) == 0 {
			r.pausedUntil = time.Time{}
		}
	}
	l.dirty = true
}

// condemn takes a machine for faulty: it gets no more tasks, and goes back once
// it has none. What has not begun to run there would only fail too.
func (l *Leader) condemn(r *machine, why string, now time.Time) {
	if r.bad {
		return
	}
	r.bad = true
	l.d.Log.Info("machine taken for faulty", "rig", r.m.Name, "zone", r.m.Zone, "why", why)
	for _, a := range r.m.SortedAttempts() {
		j := l.jobs[a.ID.Task.Job]
		if j == nil || a.StopRequested || !a.Live() || a.Status == workers.StatusRunning || a.Status == workers.StatusSaving {
			continue
		}
		if j.spec.Kind != userapi.KindGang {
			l.halt(r, a, 0, now)
		} else {
			l.haltGang(j, 0, now)
		}
	}
	l.markStale(r)
	l.sendStops(r, now)
	l.dirty = true
}

// retry is a task that must wait.
type retry struct {
	task int
	at   time.Time
}

// heldBack tells whether a task of a sweep has to wait before it is tried again.
func (j *job) heldBack(task int, now time.Time) bool {
	kept := j.retry[:0]
	found := false
	for _, r := range j.retry {
		if now.Before(r.at) {
			kept = append(kept, r)
			found = found || r.task == task
		}
	}
	j.retry = kept
	return found
}
