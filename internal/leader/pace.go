package leader

import (
	"slices"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// A machine may come to run its tasks much slower than others. Reports tell no
// progress and owners' estimates are often wrong by half, so what shows it is
// the comparison with the other tasks of the same job. The paper runs a second
// copy of a slow task (section IV-C), which the protocol forbids; here the
// tasks of a machine that is found slow are saved, stopped and started
// elsewhere, and the machine gets no new ones for a while.

// runtimeStats is what a job's finished tasks tell of its run time.
type runtimeStats struct {
	runs []time.Duration
	// middle is the middle of runs, as it was reckoned last; zero when that
	// must be done anew.
	middle time.Duration
}

// add takes in a finished task's run time.
func (p *runtimeStats) add(ran time.Duration) {
	if len(p.runs) >= constants.MaxRuntimeSamples {
		p.runs = p.runs[1:]
	}
	p.runs = append(p.runs, ran)
	p.middle = 0
}

// typical is the middle run time, once enough of the job's tasks are done: the
// first finishers are its shortest tasks.
func (p *runtimeStats) typical(pieces int) (time.Duration, bool) {
	if len(p.runs) < constants.MinRuntimeSamples || 2*len(p.runs) < min(pieces, constants.MaxRuntimeSamples) {
		return 0, false
	}
	if p.middle == 0 {
		s := slices.Clone(p.runs)
		slices.Sort(s)
		p.middle = s[len(s)/2]
	}
	return p.middle, true
}

// slowness is how strongly a task's run time so far speaks against its
// machine: 0 for nothing out of the ordinary, 2 for a clear case.
func (p *runtimeStats) slowness(ran time.Duration, pieces int) int {
	typical, ok := p.typical(pieces)
	if !ok || typical <= 0 {
		return 0
	}
	switch r := float64(ran) / float64(typical); {
	case r > constants.StragglerCertainRatio:
		return 2
	case r > constants.StragglerLikelyRatio:
		return 1
	}
	return 0
}

// slow tells whether the machine is kept from new tasks for slowness.
func (m *machineState) slow(now time.Time) bool { return now.Before(m.slowUntil) }

// detectStragglers looks for slow machines and takes their tasks elsewhere.
func (l *Leader) detectStragglers(now time.Time) {
	for _, machine := range l.sortedMachines() {
		// Of a machine that can't be heard nothing is known: its tasks may be
		// over, and a cut must not make all machines behind it slow.
		if machine.slow(now) || machine.leaving || l.silentFor(machine, now) > l.silenceTolerance() {
			continue
		}
		marks := machine.slowSignals[:0]
		for _, at := range machine.slowSignals {
			if now.Sub(at) < constants.StragglerSignalWindow {
				marks = append(marks, at)
			}
		}
		machine.slowSignals = marks
		sum := len(marks)
		for _, a := range machine.agent.Attempts {
			j := l.jobs[a.ID.Task.Job]
			if j == nil || j.spec.Kind == jobs.KindGang || a.Status != workers.StatusRunning || a.RunningSince.IsZero() {
				continue
			}
			sum += j.runtimes.slowness(machine.agent.LastHeartbeat.Sub(a.RunningSince), j.spec.Tasks)
		}
		if sum < constants.StragglerSignals {
			continue
		}
		machine.slowCount++
		pause := min(constants.StragglerPause<<min(machine.slowCount-1, 4), constants.MaxStragglerPause)
		machine.slowUntil = now.Add(pause)
		machine.slowSignals = nil
		l.deps.Log.Info("machine is slow", "rig", machine.agent.Name, "zone", machine.agent.Zone, "spared_s", pause.Seconds())
		for _, a := range machine.agent.SortedAttempts() {
			j := l.jobs[a.ID.Task.Job]
			if j == nil || j.spec.Kind == jobs.KindGang || a.StopRequested || !a.Live() {
				continue
			}
			// A task that can't save would lose more than it wins.
			if a.Status == workers.StatusRunning && j.spec.CheckpointIntervalS <= 0 {
				continue
			}
			l.stopAttempt(machine, a, j.spec.SaveS+constants.StopGrace.Seconds(), now)
		}
		l.sendStops(machine, now)
		l.passDueNow = true
	}
}

// noteStragglerSignal takes in a finished task.
func (l *Leader) noteStragglerSignal(machine *machineState, j *jobState, a *workers.Attempt, now time.Time) {
	// When a task ended on a machine that was not heard meanwhile is not known.
	if machine.heartbeatGap || a.RunningSince.IsZero() || j.spec.Kind == jobs.KindGang || j.fromEarlierTerm || j.restartedTasks[a.ID.Task.Index] {
		return
	}
	ran := now.Sub(a.RunningSince)
	for range j.runtimes.slowness(ran, j.spec.Tasks) {
		machine.slowSignals = append(machine.slowSignals, now)
	}
	j.runtimes.add(ran)
	l.noteRuntime(j, ran)
}
