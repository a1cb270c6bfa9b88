package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// clusterModel tracks the tasks that may be running, without reservations. The rules must hold
// for it even while preempted tasks are still on their machines.
type clusterModel struct {
	snapshot      *Snapshot
	used          map[string]Resources    // by team
	usedOnMachine map[string]Resources    // by machine
	tasksByZone   map[*Job]map[string]int // tasks, by job and zone
	overLimit     map[string]bool         // teams that were above their limit before the pass
	started       map[string]bool         // by task
	starts        map[*Job]int            // tasks started, by job
}

func newClusterModel(snapshot *Snapshot) *clusterModel {
	model := &clusterModel{
		snapshot: snapshot,
		used:     map[string]Resources{}, usedOnMachine: map[string]Resources{}, tasksByZone: map[*Job]map[string]int{},
		overLimit: map[string]bool{}, started: map[string]bool{}, starts: map[*Job]int{},
	}
	for _, machine := range snapshot.Machines {
		for _, task := range machine.RunningTasks {
			model.addTask(task.Job, machine, task.Resources)
		}
	}
	for _, job := range snapshot.Jobs {
		for zone, tasks := range job.TasksByZone {
			model.addToZone(job, zone, tasks)
		}
	}
	for name, team := range snapshot.Teams {
		model.overLimit[name] = team.Limit.GPUs > 0 && model.used[name].GPUs > team.Limit.GPUs
	}
	return model
}

// addTask adds a task to the machine.
func (m *clusterModel) addTask(job *Job, machine *Machine, resources Resources) {
	m.used[job.Spec.Team] = m.used[job.Spec.Team].Add(resources)
	m.usedOnMachine[machine.Name] = m.usedOnMachine[machine.Name].Add(resources)
	m.addToZone(job, machine.Zone, 1)
}

func (m *clusterModel) addToZone(job *Job, zone string, tasks int) {
	if m.tasksByZone[job] == nil {
		m.tasksByZone[job] = map[string]int{}
	}
	m.tasksByZone[job][zone] += tasks
}

// start records a start and checks that it is allowed: the task starts only once, on a machine
// that it may use and that has room, within its team's limit and its zone constraints.
func (m *clusterModel) start(t *rapid.T, start Start) {
	t.Helper()
	job, machine, team := start.Job, start.Machine, start.Job.Spec.Team
	task := fmt.Sprint(job.Spec.ID, "/", start.Index)
	if m.started[task] {
		t.Fatalf("%s starts twice", task)
	}
	m.started[task] = true
	m.starts[job]++
	m.addTask(job, machine, TaskResources(job.Spec))

	if !machine.Schedulable || !Allowed(job, machine) {
		t.Fatalf("%s starts on a machine that it may not use", task)
	}
	if machine.AttemptCapacity < 0 {
		t.Fatalf("%s exceeds its machine's attempt capacity", task)
	}
	if !machine.Total.Covers(m.usedOnMachine[machine.Name]) {
		t.Fatalf("%s does not fit on its machine", task)
	}
	if limit := m.snapshot.Teams[team].Limit.GPUs; limit > 0 && m.used[team].GPUs > limit && !m.overLimit[team] {
		t.Fatalf("%s exceeds the limit of team %s", task, team)
	}
	if job.Spec.SameZone && len(m.tasksByZone[job]) > 1 {
		t.Fatalf("%s is not in the zone of its job's other tasks", task)
	}
	if job.Spec.SpreadZones && m.tasksByZone[job][machine.Zone] > (job.Spec.Tasks+1)/2 {
		t.Fatalf("%s exceeds its job's share of the zone", task)
	}
}

// checkGangsStartWhole checks that each gang starts all of its waiting tasks or none.
func (m *clusterModel) checkGangsStartWhole(t *rapid.T) {
	t.Helper()
	for job, starts := range m.starts {
		if job.isGang() && starts != len(job.WaitingTasks) {
			t.Fatalf("%s starts %d of %d waiting tasks", job.Spec.ID, starts, len(job.WaitingTasks))
		}
	}
}

// checkPreemption checks that a task is preempted only for a job of higher priority or to give
// another team its guarantee, and only for a job that precedes its own.
func checkPreemption(t *rapid.T, preemption Preemption) {
	t.Helper()
	victim, preemptor := preemption.Victim.Job, preemption.Preemptor
	lower := victim.Priority < preemptor.Priority
	reclaim := preemptor.Guaranteed && victim.Spec.Team != preemptor.Spec.Team && !victim.Guaranteed
	if !lower && !reclaim {
		t.Fatalf("%s is preempted for %s, which may not preempt it", victim.Spec.ID, preemptor.Spec.ID)
	}
	if !Before(preemptor, victim) {
		t.Fatalf("%s is preempted for %s, but precedes it in the queue", victim.Spec.ID, preemptor.Spec.ID)
	}
}

// TestPlacementRules checks every plan against the protocol's rules: free resources, limits,
// machine types, zones, gangs starting as a whole, no task started twice, and which jobs may
// preempt which.
func TestPlacementRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		model := newClusterModel(snapshot)
		plan := Schedule(snapshot)
		for _, start := range plan.Starts {
			model.start(t, start)
		}
		model.checkGangsStartWhole(t)
		for _, preemption := range plan.Preemptions {
			checkPreemption(t, preemption)
		}
	})
}
