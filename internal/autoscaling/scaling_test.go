package autoscaling

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thornnotch/internal/placement"
)

func testCatalog() *Catalog {
	return &Catalog{MachineTypes: []MachineType{{Name: "g4", CPUs: 32, GPUs: 4, MemoryGB: 256, OnDemandPrice: 10, SpotPrice: 5, Zones: []string{"a", "b"}}}}
}

// maxRequests is more requests than any drawn demand needs.
const maxRequests = 20

// rentAll carries out requests until no more are made.
func rentAll(t *rapid.T, s Snapshot, spare float64) {
	t.Helper()
	for requests := 0; ; requests++ {
		request, ok := ScaleOut(s, spare)
		if !ok {
			return
		}
		pool := InstancePool{request.MachineType, request.Zone, request.Spot}
		if s.Refused[pool] || request.Count < 1 {
			t.Fatalf("asked for %+v", request)
		}
		s.Machines[pool] += request.Count
		if requests >= maxRequests {
			t.Fatal("asks for ever")
		}
	}
}

// idleMachines names each machine, as if nothing ran on any.
func idleMachines(s Snapshot) (idle []IdleMachine) {
	for pool, count := range s.Machines {
		for i := range count {
			idle = append(idle, IdleMachine{Name: pool.Zone + strconv.FormatBool(pool.Spot) + strconv.Itoa(i), Pool: pool})
		}
	}
	return idle
}

// desired is the desired capacity of the test catalog's only type.
func desired(s Snapshot, spare float64) map[string]DesiredCapacity {
	return map[string]DesiredCapacity{"g4": DesiredFor(s, s.Catalog.MachineTypes[0], spare)}
}

func drawDemand(t *rapid.T) (demand []Demand) {
	for range rapid.IntRange(0, 6).Draw(t, "jobs") {
		demand = append(demand, Demand{
			Team:  "a",
			Tasks: rapid.IntRange(1, 30).Draw(t, "tasks"),
			TaskResources: placement.Resources{
				CPUs: 1, GPUs: float64(rapid.IntRange(1, 4).Draw(t, "gpus")), MemoryGB: 1,
			},
			AllowSpot: rapid.Bool().Draw(t, "spot"),
			Zone:      rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "zone"),
			SameZone:  rapid.Bool().Draw(t, "together"),
		})
	}
	return demand
}

// TestRentingAndReturningAgree: what renting asks for, returning does not give back at
// once, and requests end.
func TestRentingAndReturningAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{
			Catalog: testCatalog(), Machines: map[InstancePool]int{}, Refused: map[InstancePool]bool{},
			Limits: []TeamLimit{{"a", placement.Resources{GPUs: 40}}},
		}
		s.Demand = drawDemand(t)
		for _, zone := range []string{"a", "b"} {
			s.Refused[InstancePool{"g4", zone, true}] = rapid.Bool().Draw(t, "refused")
		}
		s.Recent, s.Window = s.Demand, time.Minute
		spare := rapid.Float64Range(0, 3).Draw(t, "spare")

		rentAll(t, s, spare)
		idle := idleMachines(s)
		// 40 GPUs fill 10 machines, or as many as tasks when one takes a machine; the root
		// of that is the spare. What is bound to a zone may come on top in each.
		if len(idle) > 80 {
			t.Fatalf("%d machines for a limit of 40 GPUs", len(idle))
		}
		if names := ScaleIn(s, desired(s, spare), idle); len(names) > 0 {
			t.Fatalf("rented and returned: %v", names)
		}
		s.Demand, s.Recent = nil, nil
		if names := ScaleIn(s, desired(s, spare), idle); len(names) != len(idle) {
			t.Fatalf("%d of %d returned with nothing to do", len(names), len(idle))
		}
	})
}

// TestMemoryForgets: the greatest want of the window holds, and no longer.
func TestMemoryForgets(t *testing.T) {
	m := NewDemandWindow(40 * time.Second)
	t0 := time.Unix(1000, 0)
	m.Add(t0, map[string]DesiredCapacity{"g4": {Total: 9}})
	if got := m.Add(t0.Add(30*time.Second), map[string]DesiredCapacity{"g4": {Total: 2}}); got["g4"].Total != 9 {
		t.Errorf("forgot early: %v", got)
	}
	if got := m.Add(t0.Add(60*time.Second), map[string]DesiredCapacity{"g4": {Total: 1}}); got["g4"].Total != 2 {
		t.Errorf("remembers for ever: %v", got)
	}
}

// boundJob is a job that must be in one zone, with the machines that it needs there.
type boundJob struct {
	Demand
	machines int
}

func drawBoundJob(t *rapid.T) boundJob {
	spot := rapid.Bool().Draw(t, "spot")
	tasks := rapid.IntRange(1, 12).Draw(t, "tasks")
	zone := rapid.SampledFrom([]string{"", "b"}).Draw(t, "zone")
	gpus := rapid.IntRange(1, 4).Draw(t, "gpus")
	perMachine := 4 / gpus
	return boundJob{
		Demand: Demand{
			Team: "a", Tasks: tasks, TaskResources: placement.Resources{CPUs: 1, GPUs: float64(gpus), MemoryGB: 1},
			AllowSpot: spot, Zone: zone, SameZone: true,
		},
		machines: (tasks + perMachine - 1) / perMachine,
	}
}

// checkHasItsMachines: the job's zone, or any if it names none, has the machines that the
// job needs and may use.
func (j boundJob) checkHasItsMachines(t *rapid.T, s Snapshot, when string) {
	t.Helper()
	usable := func(zone string) int {
		count := s.Machines[InstancePool{"g4", zone, false}]
		if j.AllowSpot {
			count += s.Machines[InstancePool{"g4", zone, true}]
		}
		return count
	}
	if usable("b") < j.machines && (j.Zone == "b" || usable("a") < j.machines) {
		t.Fatalf("%s: %d machines of %d: %v", when, usable("b"), j.machines, s.Machines)
	}
}

// TestZoneHasWhatIsBoundToIt: however many machines stand in one zone, a job that is bound
// to the other, and a gang that must be in one zone, get theirs, and what they need is not
// given back.
func TestZoneHasWhatIsBoundToIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := drawBoundJob(t)
		s := Snapshot{
			Catalog: testCatalog(), Machines: map[InstancePool]int{}, Refused: map[InstancePool]bool{},
			Demand: []Demand{job.Demand},
			Limits: []TeamLimit{{"a", placement.Resources{GPUs: 48}}},
		}
		// As many as all demand asks for, but not where it can be met.
		s.Machines[InstancePool{"g4", "a", false}] = rapid.IntRange(0, 20).Draw(t, "elsewhere")
		if job.Zone == "" {
			s.Machines[InstancePool{"g4", "a", false}] = job.machines / 2
			s.Machines[InstancePool{"g4", "b", false}] = job.machines - job.machines/2
		}
		s.Refused[InstancePool{"g4", "b", true}] = rapid.Bool().Draw(t, "refused")

		rentAll(t, s, 0)
		job.checkHasItsMachines(t, s, "rented")

		idle := idleMachines(s)
		pools := make(map[string]InstancePool)
		for _, machine := range idle {
			pools[machine.Name] = machine.Pool
		}
		for _, name := range ScaleIn(s, desired(s, 0), idle) {
			s.Machines[pools[name]]--
		}
		job.checkHasItsMachines(t, s, "given back")
	})
}
