package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// clusterModel is what runs for certain, reservations aside: the rules must hold for it
// even while preempted tasks are still on their machines.
type clusterModel struct {
	snapshot  *Snapshot
	used      map[string]Resources    // by team
	onMachine map[string]Resources    // by machine
	zones     map[*Job]map[string]int // tasks, by job and zone
	overLimit map[string]bool         // teams that were over their limit before the pass
	started   map[string]bool         // tasks
	starts    map[*Job]int            // tasks started
}

func newClusterModel(snapshot *Snapshot) *clusterModel {
	model := &clusterModel{
		snapshot: snapshot,
		used:     map[string]Resources{}, onMachine: map[string]Resources{}, zones: map[*Job]map[string]int{},
		overLimit: map[string]bool{}, started: map[string]bool{}, starts: map[*Job]int{},
	}
	for _, machine := range snapshot.Machines {
		for _, task := range machine.RunningTasks {
			model.run(task.Job, machine, task.Resources)
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

// run books a task on the machine.
func (m *clusterModel) run(job *Job, machine *Machine, resources Resources) {
	m.used[job.Spec.Team] = m.used[job.Spec.Team].Add(resources)
	m.onMachine[machine.Name] = m.onMachine[machine.Name].Add(resources)
	m.addToZone(job, machine.Zone, 1)
}

func (m *clusterModel) addToZone(job *Job, zone string, tasks int) {
	if m.zones[job] == nil {
		m.zones[job] = map[string]int{}
	}
	m.zones[job][zone] += tasks
}

// start books a start and checks that the task may start there: that it starts once, on a
// machine that is for it and has room, within its team's limit, and in its zones.
func (m *clusterModel) start(t *rapid.T, start Start) {
	t.Helper()
	job, machine, team := start.Job, start.Machine, start.Job.Spec.Team
	task := fmt.Sprint(job.Spec.ID, "/", start.Index)
	if m.started[task] {
		t.Fatalf("%s starts twice", task)
	}
	m.started[task] = true
	m.starts[job]++
	m.run(job, machine, TaskResources(job.Spec))

	if !machine.Schedulable || !Allowed(job, machine) {
		t.Fatalf("%s on a machine that is not for it", task)
	}
	if machine.AttemptCapacity < 0 {
		t.Fatalf("%s has no place in its machine's record", task)
	}
	if !machine.Total.Fits(m.onMachine[machine.Name]) {
		t.Fatalf("%s does not fit", task)
	}
	if limit := m.snapshot.Teams[team].Limit.GPUs; limit > 0 && m.used[team].GPUs > limit && !m.overLimit[team] {
		t.Fatalf("%s breaks the limit of %s", task, team)
	}
	if job.Spec.SameZone && len(m.zones[job]) > 1 {
		t.Fatalf("%s is not in its job's zone", task)
	}
	if job.Spec.SpreadZones && m.zones[job][machine.Zone] > (job.Spec.Tasks+1)/2 {
		t.Fatalf("%s is not spread over zones", task)
	}
}

// checkGangsAreWhole: a gang starts all of its waiting tasks or none.
func (m *clusterModel) checkGangsAreWhole(t *rapid.T) {
	t.Helper()
	for job, starts := range m.starts {
		if job.isGang() && starts != len(job.WaitingTasks) {
			t.Fatalf("%s starts %d of %d", job.Spec.ID, starts, len(job.WaitingTasks))
		}
	}
}

// checkMayPreempt: a task is preempted for higher priority or to give another team its
// guarantee, and only for a job that stands before its own.
func checkMayPreempt(t *rapid.T, preemption Preemption) {
	t.Helper()
	victim, preemptor := preemption.Victim.Job, preemption.For
	lower := victim.Priority < preemptor.Priority
	reclaim := preemptor.Guaranteed && victim.Spec.Team != preemptor.Spec.Team && !victim.Guaranteed
	if !lower && !reclaim {
		t.Fatalf("%s is stopped for %s without right", victim.Spec.ID, preemptor.Spec.ID)
	}
	if !Before(preemptor, victim) {
		t.Fatalf("%s is stopped for %s, but stands before it in the queue", victim.Spec.ID, preemptor.Spec.ID)
	}
}

// TestRulesOfPlacement checks every plan against the protocol's rules: room, limits,
// types, zones, whole gangs, nothing started twice, and who may be preempted for whom.
func TestRulesOfPlacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := drawSnapshot(t)
		model := newClusterModel(snapshot)
		plan := Schedule(snapshot)
		for _, start := range plan.Starts {
			model.start(t, start)
		}
		model.checkGangsAreWhole(t)
		for _, preemption := range plan.Preemptions {
			checkMayPreempt(t, preemption)
		}
	})
}
