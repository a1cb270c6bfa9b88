package leader

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// On the machines of failingSite a task runs for so long, and fails after so long where
// it fails.
const (
	siteTaskRuntime = 10 * time.Second
	siteTaskFailure = 500 * time.Millisecond
	siteStep        = 250 * time.Millisecond
	siteDuration    = 45 * time.Second
)

// failingSite models machines that carry out what the leader commands. Faulty machines
// fail every task, and every machine fails the tasks of jobs with a mistake.
type failingSite struct {
	leader   *Leader
	faulty   map[string]bool // machines
	mistaken map[string]bool // jobs
	tasks    map[string]map[workers.AttemptID]*siteTask

	startsByJob map[string]int
	// startsByFaulty counts the starts on each faulty machine.
	startsByFaulty map[string]int
	// failedSoundJob are the faulty machines on which a job without a mistake failed.
	failedSoundJob map[string]bool
	revision       uint64
}

// siteTask is what a machine knows of one task.
type siteTask struct {
	status    workers.TaskStatus
	cause     workers.ExitCause
	startedAt time.Time
}

func newFailingSite(t *testing.T) *failingSite {
	t.Helper()
	site := &failingSite{
		leader: testLeader(t), faulty: map[string]bool{}, mistaken: map[string]bool{},
		tasks: map[string]map[workers.AttemptID]*siteTask{}, startsByJob: map[string]int{},
		startsByFaulty: map[string]int{}, failedSoundJob: map[string]bool{}, revision: 100,
	}
	site.leader.teams[0].MaxGPUs = 64
	site.leader.teams[0].GuaranteedGPUs = 64
	return site
}

// drawMachines adds twelve machines, of which the first two may be faulty.
func (s *failingSite) drawMachines(rt *rapid.T, now time.Time) {
	for i := range 12 {
		name := fmt.Sprintf("m-%02d", i)
		addMachine(s.leader, name, "east", now)
		s.tasks[name] = map[workers.AttemptID]*siteTask{}
		s.faulty[name] = i < 2 && rapid.Bool().Draw(rt, "faulty")
	}
}

// drawJobs submits arrays and gangs, of which all but the first may have a mistake.
func (s *failingSite) drawJobs(t *testing.T, rt *rapid.T, now time.Time) {
	t.Helper()
	for i := range rapid.IntRange(2, 6).Draw(rt, "jobs") {
		spec := arraySpec(fmt.Sprint("j-", i), rapid.IntRange(1, 8).Draw(rt, "pieces"))
		if rapid.IntRange(0, 2).Draw(rt, "gang") == 0 {
			spec.Kind, spec.SameZone = jobs.KindGang, true
		}
		if i > 0 && rapid.IntRange(0, 3).Draw(rt, "mistaken") == 0 {
			s.mistaken[spec.ID] = true
		}
		addJob(t, s.leader, spec, now)
	}
}

// step lets the leader decide, and the machines obey and report.
func (s *failingSite) step(now time.Time) {
	s.leader.runSchedulingPass(now)
	s.revision = commitAll(s.leader, s.revision)
	for _, machine := range s.leader.fleet.sortedByName() {
		for _, command := range machine.agent.Commands(true, now) {
			s.obey(machine.agent.Name, command, now)
		}
		s.leader.applyHeartbeat(machine, s.heartbeat(machine, now), false, now)
	}
	s.revision = commitAll(s.leader, s.revision)
	s.leader.attributeAllFailures(now)
}

// obey carries out a command on a machine.
func (s *failingSite) obey(machine string, command workers.Command, now time.Time) {
	here := s.tasks[machine]
	taskID, _ := workers.ParseTaskID(command.Task)
	id := workers.AttemptID{Task: taskID, Number: command.Attempt}
	task := here[id]
	switch command.Verb {
	case workers.VerbRun:
		if task != nil {
			return
		}
		here[id] = &siteTask{workers.StatusRunning, "", now}
		s.startsByJob[taskID.Job]++
		if s.faulty[machine] {
			s.startsByFaulty[machine]++
		}
	case workers.VerbStop:
		if task != nil && task.status != workers.StatusExited {
			task.status, task.cause = workers.StatusExited, workers.CauseStopped
		}
	case workers.VerbForget:
		delete(here, id)
	}
}

// heartbeat is what a machine reports now, its tasks gone on.
func (s *failingSite) heartbeat(machine *machineState, now time.Time) *workers.Heartbeat {
	heartbeat := nextHeartbeat(s.leader, machine, "", "")
	heartbeat.Epoch, heartbeat.Tasks = 1, nil
	for id, task := range s.tasks[machine.agent.Name] {
		s.goOn(machine.agent.Name, id, task, now)
		heartbeat.Tasks = append(heartbeat.Tasks, workers.TaskReport{Task: id.Task.String(), Attempt: id.Number, Status: task.status, Cause: task.cause})
	}
	return heartbeat
}

// goOn lets a running task fail or complete if it is time to.
func (s *failingSite) goOn(machine string, id workers.AttemptID, task *siteTask, now time.Time) {
	if task.status != workers.StatusRunning {
		return
	}
	ran, mistaken := now.Sub(task.startedAt), s.mistaken[id.Task.Job]
	switch {
	case (s.faulty[machine] || mistaken) && ran >= siteTaskFailure:
		task.status, task.cause = workers.StatusExited, workers.CauseError
		if !mistaken {
			s.failedSoundJob[machine] = true
		}
	case ran >= siteTaskRuntime:
		task.status, task.cause = workers.StatusExited, workers.CauseDone
	}
}

// checkMachines checks that those that failed sound jobs, and no others, are in
// quarantine, and were given little to fail.
func (s *failingSite) checkMachines(rt *rapid.T) {
	for machine := range s.leader.fleet.all() {
		name, quarantined := machine.agent.Name, machine.health.Faulty()
		if quarantined && !s.faulty[name] {
			rt.Fatalf("%s is taken for faulty and is not", name)
		}
		if s.failedSoundJob[name] && !quarantined {
			rt.Fatalf("%s failed a sound job's tasks and is not taken for faulty", name)
		}
		if s.startsByFaulty[name] > 16 {
			rt.Fatalf("%s was given %d tasks to fail", name, s.startsByFaulty[name])
		}
	}
}

// checkJobs checks that all sound jobs are over, and the others were tried seldom.
func (s *failingSite) checkJobs(rt *rapid.T) {
	for job := range s.leader.jobs.all() {
		id := job.spec.ID
		if !s.mistaken[id] {
			rt.Fatalf("%s has %d of %d tasks done after %v", id, job.progress.completed(), job.spec.Tasks, siteDuration)
		}
		// A first try of all, some machines to find out by, then the pauses
		// double: one task a try, or all of a gang.
		if most := 8*job.spec.Tasks + 12; s.startsByJob[id] > most {
			rt.Fatalf("mistaken %s was started %d times, at most %d", id, s.startsByJob[id], most)
		}
	}
}

// TestFaultyMachinesAndMistakenJobs guards against Peakdale's rough day: eight
// tasks of an array that met one faulty machine held the whole job back for a
// minute, and the machine took the next job's. Whatever of both comes together:
// faulty machines are found by what they were given first, no good machine is
// taken for faulty, a mistaken job is tried seldom, and the others come to their
// end soon.
func TestFaultyMachinesAndMistakenJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1000, 0)
		site := newFailingSite(t)
		site.drawMachines(rt, start)
		site.drawJobs(t, rt, start)
		for elapsed := siteStep; elapsed <= siteDuration; elapsed += siteStep {
			site.step(start.Add(elapsed))
		}
		site.checkMachines(rt)
		site.checkJobs(rt)
	})
}
