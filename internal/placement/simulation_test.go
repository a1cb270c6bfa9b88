package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"thornnotch/internal/jobs"
)

const (
	simulatedDuration = 15 * time.Minute
	simulatedStep     = time.Second
	// simulatedStopCost is the work that is lost when a task is stopped.
	simulatedStopCost = time.Minute
)

// simulation is a cluster of equal machines with four GPUs each, in two zones, and a queue. A
// pass runs every second. Tasks that it starts run at once and for the duration given by
// runtime.
type simulation struct {
	machines           int
	teams              []Team             // their quotas
	relativeClassCount map[string]float64 // by job kind, which stands for the class
	starving           map[string]StarvingClass
	runtime            func(*Job) time.Duration
	// preempts makes preempted tasks end at once and wait again. If it is not set, they keep
	// running.
	preempts bool

	start, now time.Time
	running    []simulatedTask
	queue      []*Job // with waiting tasks
	submitted  []*Job
	// startDelay is the time from a job's submission until its first task started.
	startDelay map[*Job]time.Duration
}

type simulatedTask struct {
	job     *Job
	machine int
	end     time.Time
}

// run calls submitDue, which submits the jobs that are due, and runs a pass for every simulated
// second.
func (s *simulation) run(submitDue func(elapsed time.Duration)) {
	s.start = time.Unix(10000, 0)
	s.startDelay = map[*Job]time.Duration{}
	for s.now = s.start; s.now.Before(s.start.Add(simulatedDuration)); s.now = s.now.Add(simulatedStep) {
		submitDue(s.now.Sub(s.start))
		s.removeFinishedTasks()
		s.queue = slices.DeleteFunc(s.queue, func(job *Job) bool { return len(job.WaitingTasks) == 0 })
		for _, job := range s.queue {
			job.UpdateSlack(s.now, s.relativeClassCount[job.Spec.Kind])
		}
		snapshot := s.snapshot()
		MarkGuaranteed(slices.Clone(s.queue), snapshot.Teams)
		BoostStarvingGangs(s.queue, s.starving, s.now)
		s.applyPlan(Schedule(snapshot))
	}
}

// submit adds a job to the queue. Gangs must run in one zone and on on-demand machines.
func (s *simulation) submit(spec jobs.Spec, targets ...time.Duration) {
	gang := spec.Kind == jobs.KindGang
	spec.CPUs, spec.MemoryGB, spec.Image = 1, 1, "img"
	spec.SameZone, spec.AllowSpot = gang, !gang
	job := &Job{
		Spec: &spec, Priority: jobs.Priority(spec.PriorityClass), SubmissionRevision: uint64(len(s.submitted) + 1),
		Submitted: s.now, Targets: targets,
	}
	setWaitingTasks(job, spec.Tasks)
	s.queue, s.submitted = append(s.queue, job), append(s.submitted, job)
}

func (s *simulation) removeFinishedTasks() {
	s.running = slices.DeleteFunc(s.running, func(task simulatedTask) bool { return !task.end.After(s.now) })
}

// snapshot returns the present state as the input of a pass.
func (s *simulation) snapshot() *Snapshot {
	snapshot := &Snapshot{Now: s.now, Jobs: slices.Clone(s.queue), Teams: map[string]*Team{}}
	for _, team := range s.teams {
		snapshot.Teams[team.Name] = &team
	}
	for i := range s.machines {
		snapshot.Machines = append(snapshot.Machines, &Machine{
			Name: fmt.Sprintf("m-%02d", i), Type: "g4", Zone: []string{"x", "y"}[i%2], Schedulable: true, AttemptCapacity: 50,
			Total: Resources{CPUs: 32, GPUs: 4, MemoryGB: 256}, ImageWait: map[string]time.Duration{"img": 0},
		})
	}
	for _, task := range s.running {
		team := snapshot.Teams[task.job.Spec.Team]
		team.Used.GPUs += task.job.Spec.GPUs
		machine := snapshot.Machines[task.machine]
		machine.RunningTasks = append(machine.RunningTasks, RunningTask{
			Job: task.job, Resources: TaskResources(task.job.Spec), Remaining: task.end.Sub(s.now), StopCost: simulatedStopCost,
		})
	}
	return snapshot
}

func (s *simulation) applyPlan(plan *Plan) {
	for _, job := range s.queue {
		job.ClaimedMachines = nil
	}
	for _, claim := range plan.Claims {
		if claim.Job.ClaimedMachines == nil {
			claim.Job.ClaimedMachines = map[string]bool{}
		}
		claim.Job.ClaimedMachines[claim.Machine.Name] = true
	}
	if s.preempts {
		for _, preemption := range plan.Preemptions {
			s.preempt(preemption.Victim.Job, machineIndex(preemption.Machine))
		}
	}
	for _, start := range plan.Starts {
		s.startTask(start)
	}
}

// preempt ends one of the job's tasks on the machine and makes it wait again.
func (s *simulation) preempt(job *Job, machine int) {
	at := slices.IndexFunc(s.running, func(task simulatedTask) bool { return task.job == job && task.machine == machine })
	if at >= 0 {
		s.running[at].end = s.now
		job.WaitingTasks = append(job.WaitingTasks, 0)
	}
}

func (s *simulation) startTask(start Start) {
	job := start.Job
	s.running = append(s.running, simulatedTask{job, machineIndex(start.Machine), s.now.Add(s.runtime(job))})
	job.WaitingTasks = slices.DeleteFunc(slices.Clone(job.WaitingTasks), func(index int) bool { return index == start.Index })
	if _, started := s.startDelay[job]; !started {
		s.startDelay[job] = s.now.Sub(job.Submitted)
	}
}

// machineIndex returns the number in a simulated machine's name.
func machineIndex(machine *Machine) int {
	index, err := strconv.Atoi(machine.Name[len("m-"):])
	if err != nil {
		panic(err) // can't happen: all names are set by snapshot
	}
	return index
}

// randomSeconds returns a random whole number of seconds from least to below-1.
func randomSeconds(random *rand.Rand, least, below int) time.Duration {
	return time.Duration(least+random.IntN(below-least)) * time.Second
}
