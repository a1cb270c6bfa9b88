package leader

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

// usageModel applies random operations to a leader and checks its usage accounting.
type usageModel struct {
	leader         *Leader
	now            time.Time
	revision       uint64
	jobs, machines int // number added so far
}

func newUsageModel(t *testing.T) *usageModel {
	t.Helper()
	m := &usageModel{leader: testLeader(t), now: time.Now(), revision: 100}
	m.leader.staleness.RecordWatch(m.now)
	m.leader.teams = append(m.leader.teams, config.Team{Name: "b", GuaranteedGPUs: 4, MaxGPUs: 12})
	return m
}

// drawMachine returns a random machine, or skips the action if there is none.
func (m *usageModel) drawMachine(rt *rapid.T) *machineState {
	machines := m.leader.fleet.sortedByName()
	if len(machines) == 0 {
		rt.Skip()
	}
	return rapid.SampledFrom(machines).Draw(rt, "machine")
}

// addMachine adds a machine, or skips the action if six have been added already.
func (m *usageModel) addMachine(rt *rapid.T) {
	m.machines++
	if m.machines > 6 {
		rt.Skip()
	}
	zone := []string{"east", "west"}[m.machines%2]
	addMachine(m.leader, fmt.Sprint("m-", m.machines), zone, m.now)
}

// addJob submits a random job of either team. It may be a gang, and may depend on an earlier
// job.
func (m *usageModel) addJob(t *testing.T, rt *rapid.T) {
	t.Helper()
	m.jobs++
	spec := arraySpec(fmt.Sprint("j-", m.jobs), rapid.IntRange(1, 5).Draw(rt, "tasks"))
	spec.Team = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")
	if rapid.Bool().Draw(rt, "gang") {
		spec.Kind, spec.SameZone, spec.Tasks = jobs.KindGang, true, 2
	}
	if m.jobs > 1 && rapid.Bool().Draw(rt, "depends") {
		spec.DependsOn = []string{fmt.Sprint("j-", rapid.IntRange(1, m.jobs-1).Draw(rt, "on"))}
	}
	addJob(t, m.leader, spec, m.now)
}

func (m *usageModel) cancelJob(rt *rapid.T) {
	if m.jobs > 0 {
		m.leader.jobRecordDeleted(fmt.Sprint("j-", rapid.IntRange(1, m.jobs).Draw(rt, "job")), m.now)
	}
}

// sendHeartbeat lets a machine report its tasks in a random state, sometimes only half of them.
func (m *usageModel) sendHeartbeat(rt *rapid.T) {
	machine := m.drawMachine(rt)
	status := rapid.SampledFrom([]workers.TaskStatus{workers.StatusFetching, workers.StatusRunning, workers.StatusExited}).Draw(rt, "status")
	var cause workers.ExitCause
	if status == workers.StatusExited {
		cause = rapid.SampledFrom([]workers.ExitCause{workers.CauseDone, workers.CauseStopped, workers.CauseError}).Draw(rt, "cause")
	}
	heartbeat := nextHeartbeat(m.leader, machine, status, cause)
	if rapid.IntRange(0, 4).Draw(rt, "half") == 0 {
		heartbeat.Tasks = heartbeat.Tasks[:len(heartbeat.Tasks)/2]
	}
	machine.worker.Commands(true, m.now)
	m.leader.applyHeartbeat(machine, heartbeat, false, m.now)
}

// beginEpoch lets a machine's worker restart with a new epoch and without tasks.
func (m *usageModel) beginEpoch(rt *rapid.T) {
	machine := m.drawMachine(rt)
	heartbeat := nextHeartbeat(m.leader, machine, workers.StatusRunning, "")
	heartbeat.Epoch, heartbeat.Tasks = heartbeat.Epoch+1, nil
	m.leader.applyHeartbeat(machine, heartbeat, false, m.now)
}

// returnMachine removes a machine as if the cloud had confirmed its termination.
func (m *usageModel) returnMachine(rt *rapid.T) {
	machine := m.drawMachine(rt)
	m.leader.applyEvents(machine, machine.worker.MarkTerminated(), m.now)
	m.leader.removeMachine(machine)
	m.leader.wal.MachineRemoved(machine.worker.Name)
}

func (m *usageModel) advanceTime(rt *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(rt, "s")) * time.Second)
}

// countGPUs counts from scratch, by team, the GPUs of all live attempts and reservations.
func (m *usageModel) countGPUs() map[string]float64 {
	gpus := make(map[string]float64)
	for machine := range m.leader.fleet.all() {
		for _, attempt := range machine.worker.Attempts {
			if attempt.Live() {
				gpus[m.leader.jobs.teamOf(attempt)] += m.leader.jobs.resourcesOf(attempt).GPUs
			}
		}
		for _, reservation := range m.leader.reservations.OnMachine(machine.worker.Name) {
			gpus[reservation.Pipeline.Team] += reservation.Resources.GPUs
		}
	}
	return gpus
}

// check compares the incremental sums in the placement snapshot with a count from scratch.
func (m *usageModel) check(rt *rapid.T) {
	snapshot := m.leader.placementSnapshot(m.now)
	want := m.countGPUs()
	for name, team := range snapshot.Teams {
		if diff := team.Used.GPUs - want[name]; diff > 1e-6 || diff < -1e-6 {
			rt.Fatalf("team %s: %v GPUs in the running sum, want %v", name, team.Used.GPUs, want[name])
		}
	}
}

// TestIncrementalTeamUsage checks that after any sequence of operations the running sums of the
// teams' usage equal a count from scratch.
func TestIncrementalTeamUsage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newUsageModel(t)
		rt.Repeat(map[string]func(*rapid.T){
			"machine":  m.addMachine,
			"job":      func(rt *rapid.T) { m.addJob(t, rt) },
			"pass":     func(*rapid.T) { m.leader.runSchedulingPass(m.now) },
			"commit":   func(*rapid.T) { m.revision = commitPending(m.leader, m.revision) },
			"report":   m.sendHeartbeat,
			"cancel":   m.cancelJob,
			"epoch":    m.beginEpoch,
			"returned": m.returnMachine,
			"time":     m.advanceTime,
			"":         m.check,
		})
	})
}
