package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
)

// largeFleet returns a leader with the given number of machines, almost all of them busy,
// and a third as many waiting jobs.
func largeFleet(tb testing.TB, machines int) (*Leader, []*machineState) {
	tb.Helper()
	teams := []config.Team{{Name: "a", GuaranteedGPUs: 1000, MaxGPUs: 10 * float64(machines)}}
	spot := func(i int) bool { return i%3 == 0 }
	l, fleet, now := leaderWithIdleFleet(tb, teams, machines, spot)
	for i := range machines / 3 {
		spec := arraySpec(fmt.Sprintf("j-%06d", i), 40)
		spec.Image = fmt.Sprint("img-", i%10)
		spec.Class = []string{"x", "y"}[i%2]
		if i%4 == 0 {
			spec.Kind, spec.Tasks, spec.GPUs, spec.SameZone, spec.AllowSpot = jobs.KindGang, 1<<(i/4%5), 4, true, false
		}
		addJob(tb, l, spec, now)
	}
	placeAndStart(l, fleet, now)
	return l, fleet
}

// overloadedFleet returns a leader whose queue by far exceeds the capacity of its machines.
// Several teams have queued gangs that need whole machines, some of them urgent, and arrays
// of small tasks.
func overloadedFleet(tb testing.TB, machines int) (*Leader, []*machineState) {
	tb.Helper()
	var teams []config.Team
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		teams = append(teams, config.Team{Name: name, GuaranteedGPUs: 0.5 * float64(machines), MaxGPUs: 2 * float64(machines)})
	}
	spot := func(i int) bool { return i%5 < 2 }
	l, fleet, now := leaderWithIdleFleet(tb, teams, machines, spot)
	for i := range machines / 4 {
		spec := arraySpec(fmt.Sprintf("j-%06d", i), 50)
		spec.Team = teams[i%len(teams)].Name
		spec.Image = fmt.Sprint("img-", i%14)
		switch i % 5 {
		case 0:
			spec.Class, spec.Kind, spec.Tasks, spec.SameZone, spec.AllowSpot = "train", jobs.KindGang, 1<<(i/5%5), true, false
			spec.CPUs, spec.GPUs = 28, 4
		case 1, 2:
			spec.Class, spec.Kind, spec.Tasks, spec.SameZone, spec.AllowSpot = "urgent", jobs.KindGang, 1<<(i/5%3), true, false
			spec.CPUs, spec.GPUs, spec.PriorityClass = 28, 4, "urgent"
		}
		addJob(tb, l, spec, now.Add(time.Duration(i)*time.Millisecond))
	}
	placeAndStart(l, fleet, now)
	return l, fleet
}

// leaderWithIdleFleet returns a leader with the given number of idle machines, split evenly
// between two zones. spot selects the machines that are spot machines.
func leaderWithIdleFleet(tb testing.TB, teams []config.Team, machines int, spot func(i int) bool) (*Leader, []*machineState, time.Time) {
	tb.Helper()
	now := time.Now()
	l := testLeader(tb)
	l.teams, l.deps.Settings.Params.Teams = teams, teams
	useUnavailableStore(tb, l)
	l.staleness.RecordWatch(now)
	var fleet []*machineState
	for i := range machines {
		machine := addMachine(l, fmt.Sprintf("m-%06d", i), []string{"east", "west"}[i%2], now)
		machine.worker.Spot = spot(i)
		fleet = append(fleet, machine)
	}
	return l, fleet, now
}

// placeAndStart places all tasks that fit and sends their start commands.
func placeAndStart(l *Leader, fleet []*machineState, now time.Time) {
	for range 5 {
		l.passes.request()
		l.runSchedulingPass(now)
		commitPending(l, 100)
	}
	for _, machine := range fleet {
		machine.worker.Commands(true, now) // marks the starts as sent, so that no reply waits for them
	}
}
