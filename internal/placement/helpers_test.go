package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"thornnotch/internal/jobs"
)

// testMachine returns an empty on-demand machine with four GPUs.
func testMachine(name string, reserved ...ReservedSlot) *Machine {
	return &Machine{
		Name: name, Type: "g", Zone: "z", Schedulable: true, AttemptCapacity: 9,
		Total: Resources{8, 4, 16}, Reserved: reserved,
	}
}

// testMachines returns n empty on-demand machines, named m-0 and so on.
func testMachines(n int) (machines []*Machine) {
	for i := range n {
		machines = append(machines, testMachine(fmt.Sprint("m-", i)))
	}
	return machines
}

// arrayJob returns a job array of one task that fills a test machine.
func arrayJob(id, team string, priority int) *Job {
	return &Job{
		Spec:     &jobs.Spec{ID: id, Class: "x", Team: team, Kind: jobs.KindArray, Tasks: 1, CPUs: 1, GPUs: 4, MemoryGB: 1},
		Priority: priority, WaitingTasks: []int{0},
	}
}

// gangJob returns a gang of team a whose tasks each fill a test machine.
func gangJob(id string, priority, tasks int) *Job {
	gang := arrayJob(id, "a", priority)
	gang.Spec.Kind = jobs.KindGang
	setWaitingTasks(gang, tasks)
	return gang
}

// setWaitingTasks sets the job's number of tasks and makes all of them wait.
func setWaitingTasks(job *Job, tasks int) {
	job.Spec.Tasks, job.WaitingTasks = tasks, nil
	for i := range tasks {
		job.WaitingTasks = append(job.WaitingTasks, i)
	}
}

// countStartedTasks returns the number of tasks that the plan starts, by job.
func countStartedTasks(plan *Plan) map[string]int {
	started := make(map[string]int)
	for _, start := range plan.Starts {
		started[start.Job.Spec.ID]++
	}
	return started
}

// startedJobs returns the sorted IDs of the jobs of which the plan starts tasks.
func startedJobs(plan *Plan) string {
	return strings.Join(slices.Sorted(maps.Keys(countStartedTasks(plan))), " ")
}
