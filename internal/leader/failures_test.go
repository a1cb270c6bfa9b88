package leader

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// Timing of the simulated cluster: how long a task runs if it succeeds, how long until it
// fails otherwise, the interval between steps, and the simulated time in total.
const (
	simTaskRuntime  = 10 * time.Second
	simFailureDelay = 500 * time.Millisecond
	simStep         = 250 * time.Millisecond
	simDuration     = 45 * time.Second
)

// simulatedCluster simulates machines that execute the leader's commands. Faulty machines
// fail every task, and tasks of faulty jobs fail on every machine.
type simulatedCluster struct {
	leader        *Leader
	faultyMachine map[string]bool
	faultyJob     map[string]bool
	tasks         map[string]map[workers.AttemptID]*simulatedTask

	startsByJob map[string]int
	// startsByFaultyMachine counts the starts on each faulty machine.
	startsByFaultyMachine map[string]int
	// failedHealthyJob marks the faulty machines on which a healthy job failed.
	failedHealthyJob map[string]bool
	revision         uint64
}

// simulatedTask is the state of one attempt on its machine.
type simulatedTask struct {
	status    workers.TaskStatus
	cause     workers.ExitCause
	startedAt time.Time
}

func newSimulatedCluster(t *testing.T) *simulatedCluster {
	t.Helper()
	cluster := &simulatedCluster{
		leader: testLeader(t), faultyMachine: map[string]bool{}, faultyJob: map[string]bool{},
		tasks: map[string]map[workers.AttemptID]*simulatedTask{}, startsByJob: map[string]int{},
		startsByFaultyMachine: map[string]int{}, failedHealthyJob: map[string]bool{}, revision: 100,
	}
	cluster.leader.teams[0].MaxGPUs = 64
	cluster.leader.teams[0].GuaranteedGPUs = 64
	return cluster
}

// drawMachines adds twelve machines; each of the first two may be faulty.
func (s *simulatedCluster) drawMachines(rt *rapid.T, now time.Time) {
	for i := range 12 {
		name := fmt.Sprintf("m-%02d", i)
		addMachine(s.leader, name, "east", now)
		s.tasks[name] = map[workers.AttemptID]*simulatedTask{}
		s.faultyMachine[name] = i < 2 && rapid.Bool().Draw(rt, "faulty machine")
	}
}

// drawJobs submits random arrays and gangs; all but the first may be faulty.
func (s *simulatedCluster) drawJobs(t *testing.T, rt *rapid.T, now time.Time) {
	t.Helper()
	for i := range rapid.IntRange(2, 6).Draw(rt, "jobs") {
		spec := arraySpec(fmt.Sprint("j-", i), rapid.IntRange(1, 8).Draw(rt, "tasks"))
		if rapid.IntRange(0, 2).Draw(rt, "gang") == 0 {
			spec.Kind, spec.SameZone = jobs.KindGang, true
		}
		if i > 0 && rapid.IntRange(0, 3).Draw(rt, "faulty job") == 0 {
			s.faultyJob[spec.ID] = true
		}
		addJob(t, s.leader, spec, now)
	}
}

// step runs a scheduling pass, executes the leader's commands and sends a heartbeat from each
// machine.
func (s *simulatedCluster) step(now time.Time) {
	s.leader.runSchedulingPass(now)
	s.revision = commitPending(s.leader, s.revision)
	for _, machine := range s.leader.fleet.sortedByName() {
		for _, command := range machine.worker.Commands(true, now) {
			s.execute(machine.worker.Name, command, now)
		}
		s.leader.applyHeartbeat(machine, s.heartbeat(machine, now), false, now)
	}
	s.revision = commitPending(s.leader, s.revision)
	s.leader.attributeAllFailures(now)
}

// execute executes a command on a machine.
func (s *simulatedCluster) execute(machine string, command workers.Command, now time.Time) {
	attempts := s.tasks[machine]
	taskID, _ := workers.ParseTaskID(command.Task)
	id := workers.AttemptID{Task: taskID, Number: command.Attempt}
	task := attempts[id]
	switch command.Verb {
	case workers.VerbRun:
		if task != nil {
			return
		}
		attempts[id] = &simulatedTask{workers.StatusRunning, "", now}
		s.startsByJob[taskID.Job]++
		if s.faultyMachine[machine] {
			s.startsByFaultyMachine[machine]++
		}
	case workers.VerbStop:
		if task != nil && task.status != workers.StatusExited {
			task.status, task.cause = workers.StatusExited, workers.CauseStopped
		}
	case workers.VerbForget:
		delete(attempts, id)
	}
}

// heartbeat advances a machine's tasks to the current time and returns its next heartbeat.
func (s *simulatedCluster) heartbeat(machine *machineState, now time.Time) *workers.Heartbeat {
	heartbeat := nextHeartbeat(s.leader, machine, "", "")
	heartbeat.Epoch, heartbeat.Tasks = 1, nil
	for id, task := range s.tasks[machine.worker.Name] {
		s.advance(machine.worker.Name, id, task, now)
		heartbeat.Tasks = append(heartbeat.Tasks, workers.TaskReport{Task: id.Task.String(), Attempt: id.Number, Status: task.status, Cause: task.cause})
	}
	return heartbeat
}

// advance makes a running task fail or complete if it has run long enough.
func (s *simulatedCluster) advance(machine string, id workers.AttemptID, task *simulatedTask, now time.Time) {
	if task.status != workers.StatusRunning {
		return
	}
	ran, faultyJob := now.Sub(task.startedAt), s.faultyJob[id.Task.Job]
	switch {
	case (s.faultyMachine[machine] || faultyJob) && ran >= simFailureDelay:
		task.status, task.cause = workers.StatusExited, workers.CauseError
		if !faultyJob {
			s.failedHealthyJob[machine] = true
		}
	case ran >= simTaskRuntime:
		task.status, task.cause = workers.StatusExited, workers.CauseDone
	}
}

// checkMachines checks that no healthy machine is quarantined, that each faulty machine on which
// a healthy job failed is quarantined, and that faulty machines received few tasks.
func (s *simulatedCluster) checkMachines(rt *rapid.T) {
	for machine := range s.leader.fleet.all() {
		name, quarantined := machine.worker.Name, machine.health.Faulty()
		if quarantined && !s.faultyMachine[name] {
			rt.Fatalf("healthy machine %s is quarantined", name)
		}
		if s.failedHealthyJob[name] && !quarantined {
			rt.Fatalf("%s failed tasks of a healthy job and is not quarantined", name)
		}
		if s.startsByFaultyMachine[name] > 16 {
			rt.Fatalf("faulty machine %s received %d tasks, want at most 16", name, s.startsByFaultyMachine[name])
		}
	}
}

// checkJobs checks that all healthy jobs have completed and that faulty ones were retried
// rarely.
func (s *simulatedCluster) checkJobs(rt *rapid.T) {
	for job := range s.leader.jobs.all() {
		id := job.spec.ID
		if !s.faultyJob[id] {
			rt.Fatalf("job %s: %d of %d tasks done after %v", id, job.progress.completed(), job.spec.Tasks, simDuration)
		}
		// All tasks start once, then a few more on other machines until the job is found
		// faulty. From then on the backoff doubles, and each retry starts one task or a
		// whole gang.
		if limit := 8*job.spec.Tasks + 12; s.startsByJob[id] > limit {
			rt.Fatalf("tasks of faulty job %s were started %d times, want at most %d", id, s.startsByJob[id], limit)
		}
	}
}

// TestFaultyMachinesAndFaultyJobs guards against attributing failures to the wrong cause.
// Eight tasks of an array once failed on one faulty machine: the whole job was held back for a
// minute, and the machine went on to fail the next job's tasks. For any combination of faulty
// machines and faulty jobs, faulty machines must be quarantined after their first failures,
// healthy machines must not be, faulty jobs must be retried rarely, and healthy jobs must
// complete soon.
func TestFaultyMachinesAndFaultyJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Unix(1000, 0)
		cluster := newSimulatedCluster(t)
		cluster.drawMachines(rt, start)
		cluster.drawJobs(t, rt, start)
		for elapsed := simStep; elapsed <= simDuration; elapsed += simStep {
			cluster.step(start.Add(elapsed))
		}
		cluster.checkMachines(rt)
		cluster.checkJobs(rt)
	})
}
