package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"thornnotch/internal/jobs"
)

// testMachine is an empty on-demand machine with four GPUs.
func testMachine(name string, reserved ...ReservedSlot) *Machine {
	return &Machine{
		Name: name, Type: "g", Zone: "z", Schedulable: true, AttemptCapacity: 9,
		Total: Resources{8, 4, 16}, Reserved: reserved,
	}
}

// testMachines are n empty on-demand machines, m-0 and so on.
func testMachines(n int) (machines []*Machine) {
	for i := range n {
		machines = append(machines, testMachine(fmt.Sprint("m-", i)))
	}
	return machines
}

// arrayJob is a job array of one task that fills a test machine.
func arrayJob(id, team string, priority int) *Job {
	return &Job{
		Spec:     &jobs.Spec{ID: id, Class: "x", Team: team, Kind: jobs.KindArray, Tasks: 1, CPUs: 1, GPUs: 4, MemoryGB: 1},
		Priority: priority, WaitingTasks: []int{0},
	}
}

// gangJob is a gang of team a whose tasks each fill a test machine.
func gangJob(id string, priority, tasks int) *Job {
	gang := arrayJob(id, "a", priority)
	gang.Spec.Kind = jobs.KindGang
	setTasks(gang, tasks)
	return gang
}

// setTasks has a job consist of so many tasks, all of which wait.
func setTasks(job *Job, tasks int) {
	job.Spec.Tasks, job.WaitingTasks = tasks, nil
	for i := range tasks {
		job.WaitingTasks = append(job.WaitingTasks, i)
	}
}

// startedTasks counts the tasks that a plan starts, by job.
func startedTasks(plan *Plan) map[string]int {
	started := make(map[string]int)
	for _, start := range plan.Starts {
		started[start.Job.Spec.ID]++
	}
	return started
}

// startedJobs names the jobs of which a plan starts tasks, in order.
func startedJobs(plan *Plan) string {
	return strings.Join(slices.Sorted(maps.Keys(startedTasks(plan))), " ")
}
