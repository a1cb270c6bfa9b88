package leader

import (
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/userapi"
	"thornnotch/internal/workers"
)

// A machine may come to run its tasks much slower than others. Reports tell no
// progress and owners' estimates are often wrong by half, so what shows it is
// the comparison with the other tasks of the same job. The paper runs a second
// copy of a slow task (section IV-C), which the protocol forbids; here the
// tasks of a machine that is found slow are saved, stopped and started
// elsewhere, and the machine gets no new ones for a while.

// pace is what a job's finished tasks tell of its run time.
type pace struct {
	runs []time.Duration
	// middle is the middle of runs, as it was reckoned last; zero when that
	// must be done anew.
	middle time.Duration
}

// add takes in a finished task's run time.
func (p *pace) add(ran time.Duration) {
	if len(p.runs) >= constants.PaceRuns {
		p.runs = p.runs[1:]
	}
	p.runs = append(p.runs, ran)
	p.middle = 0
}

// typical is the middle run time, once enough of the job's tasks are done: the
// first finishers are its shortest tasks.
func (p *pace) typical(pieces int) (time.Duration, bool) {
	if len(p.runs) < constants.PaceLeast || 2*len(p.runs) < min(pieces, constants.PaceRuns) {
		return 0, false
	}
	if p.middle == 0 {
		s := slices.Clone(p.runs)
		slices.Sort(s)
		p.middle = s[len(s)/2]
	}
	return p.middle, true
}

// suspicion is how strongly a task's run time so far speaks against its
// machine: 0 for nothing out of the ordinary, 2 for a clear case.
func (p *pace) suspicion(ran time.Duration, pieces int) int {
	typical, ok := p.typical(pieces)
	if !ok || typical <= 0 {
		return 0
	}
	switch r := float64(ran) / float64(typical); {
	case r > constants.SlowClear:
		return 2
	case r > constants.SlowLikely:
		return 1
	}
	return 0
}

// slow tells whether the machine is kept from new tasks for slowness.
func (r *machine) slow(now time.Time) bool { return now.Before(r.slowUntil) }

// checkPace looks for slow machines and takes their tasks elsewhere.
func (l *Leader) checkPace(now time.Time) {
	for _, r := range l.sortedMachines() {
		// Of a machine that can't be heard nothing is known: its tasks may be
		// over, and a cut must not make all machines behind it slow.
		if r.slow(now) || r.leaving || l.silent(r, now) > l.quiet() {
			continue
		}
		marks := r.slowMarks[:0]
		for _, at := range r.slowMarks {
			if now.Sub(at) < constants.SlowMemory {
				marks = append(marks, at)
			}
		}
		r.slowMarks = marks
		sum := len(marks)
		for _, a := range r.m.Attempts {
			j := l.jobs[a.ID.Task.Job]
			if j == nil || j.spec.Kind == userapi.KindGang || a.Status != workers.StatusRunning || a.RunningSince.IsZero() {
				continue
			}
			sum += j.pace.suspicion(r.m.LastHeartbeat.Sub(a.RunningSince), j.spec.Tasks)
		}
		if sum < constants.SlowProof {
			continue
		}
		r.slowTimes++
		pause := min(constants.SlowPause<<min(r.slowTimes-1, 4), constants.SlowPauseMax)
		r.slowUntil = now.Add(pause)
		r.slowMarks = nil
		l.d.Log.Info("machine is slow", "rig", r.m.Name, "zone", r.m.Zone, "spared_s", pause.Seconds())
		for _, a := range r.m.SortedAttempts() {
			j := l.jobs[a.ID.Task.Job]
			if j == nil || j.spec.Kind == userapi.KindGang || a.StopRequested || !a.Live() {
				continue
			}
			// A task that can't save would lose more than it wins.
			if a.Status == workers.StatusRunning && j.spec.CheckpointIntervalS <= 0 {
				continue
			}
			l.halt(r, a, j.spec.SaveS+constants.StopGrace.Seconds(), now)
		}
		l.sendStops(r, now)
		l.dirty = true
	}
}

// notePace takes in a finished task.
func (l *Leader) notePace(r *machine, j *job, a *workers.Attempt, now time.Time) {
	// When a task ended on a machine that was not heard meanwhile is not known.
	if r.blind || a.RunningSince.IsZero() || j.spec.Kind == userapi.KindGang || j.inherited || j.again[a.ID.Task.Index] {
		return
	}
	ran := now.Sub(a.RunningSince)
	for range j.pace.suspicion(ran, j.spec.Tasks) {
		r.slowMarks = append(r.slowMarks, now)
	}
	j.pace.add(ran)
	l.keeps(j, ran)
}
