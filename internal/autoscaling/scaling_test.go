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

// maxRequests is above the number of requests that any generated demand needs.
const maxRequests = 20

// rentAll grants rent requests until ScaleOut returns no more.
func rentAll(t *rapid.T, s Snapshot, spare float64) {
	t.Helper()
	for requests := 0; ; requests++ {
		request, ok := ScaleOut(s, spare)
		if !ok {
			return
		}
		pool := InstancePool{request.MachineType, request.Zone, request.Spot}
		if s.Unavailable[pool] || request.Count < 1 {
			t.Fatalf("request for an unavailable pool or without machines: %+v", request)
		}
		s.Machines[pool] += request.Count
		if requests >= maxRequests {
			t.Fatal("rent requests do not end")
		}
	}
}

// idleMachines returns all machines of the snapshot as idle ones.
func idleMachines(s Snapshot) (idle []IdleMachine) {
	for pool, count := range s.Machines {
		for i := range count {
			idle = append(idle, IdleMachine{Name: pool.Zone + strconv.FormatBool(pool.Spot) + strconv.Itoa(i), Pool: pool})
		}
	}
	return idle
}

// desired returns the desired capacity of the test catalog's only type.
func desired(s Snapshot, spare float64) map[string]DesiredCapacity {
	return map[string]DesiredCapacity{"g4": DesiredCapacityFor(s, s.Catalog.MachineTypes[0], spare)}
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
			SameZone:  rapid.Bool().Draw(t, "same zone"),
		})
	}
	return demand
}

// TestScaleOutAndScaleInAgree checks that machines rented by ScaleOut are not returned by
// ScaleIn at once, and that rent requests end.
func TestScaleOutAndScaleInAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{
			Catalog: testCatalog(), Machines: map[InstancePool]int{}, Unavailable: map[InstancePool]bool{},
			Limits: []TeamLimit{{"a", placement.Resources{GPUs: 40}}},
		}
		s.Demand = drawDemand(t)
		for _, zone := range []string{"a", "b"} {
			s.Unavailable[InstancePool{"g4", zone, true}] = rapid.Bool().Draw(t, "unavailable")
		}
		s.RecentArrivals, s.ArrivalWindow = s.Demand, time.Minute
		spare := rapid.Float64Range(0, 3).Draw(t, "spare")

		rentAll(t, s, spare)
		idle := idleMachines(s)
		// 40 GPUs fill 10 machines, or one per task if a task takes a whole machine. The
		// spare machines are proportional to the square root of that, and zone-bound demand
		// may add machines in each zone.
		if len(idle) > 80 {
			t.Fatalf("%d machines for a limit of 40 GPUs", len(idle))
		}
		if names := ScaleIn(s, desired(s, spare), idle); len(names) > 0 {
			t.Fatalf("returned right after being rented: %v", names)
		}
		s.Demand, s.RecentArrivals = nil, nil
		if names := ScaleIn(s, desired(s, spare), idle); len(names) != len(idle) {
			t.Fatalf("%d of %d machines returned without demand", len(names), len(idle))
		}
	})
}

// TestCapacityWindowExpires checks that the maximum counts for exactly as long as it is in the
// window.
func TestCapacityWindowExpires(t *testing.T) {
	window := NewCapacityWindow(40 * time.Second)
	start := time.Unix(1000, 0)
	window.Add(start, map[string]DesiredCapacity{"g4": {Total: 9}})
	if got := window.Add(start.Add(30*time.Second), map[string]DesiredCapacity{"g4": {Total: 2}}); got["g4"].Total != 9 {
		t.Errorf("maximum dropped before the end of the window: %v", got)
	}
	if got := window.Add(start.Add(60*time.Second), map[string]DesiredCapacity{"g4": {Total: 1}}); got["g4"].Total != 2 {
		t.Errorf("maximum kept after the end of the window: %v", got)
	}
}

// zoneBoundJob is a job that must run in one zone, with the number of machines that it needs
// there.
type zoneBoundJob struct {
	Demand
	machines int
}

func drawZoneBoundJob(t *rapid.T) zoneBoundJob {
	spot := rapid.Bool().Draw(t, "spot")
	tasks := rapid.IntRange(1, 12).Draw(t, "tasks")
	zone := rapid.SampledFrom([]string{"", "b"}).Draw(t, "zone")
	gpus := rapid.IntRange(1, 4).Draw(t, "gpus")
	perMachine := 4 / gpus
	return zoneBoundJob{
		Demand: Demand{
			Team: "a", Tasks: tasks, TaskResources: placement.Resources{CPUs: 1, GPUs: float64(gpus), MemoryGB: 1},
			AllowSpot: spot, Zone: zone, SameZone: true,
		},
		machines: (tasks + perMachine - 1) / perMachine,
	}
}

// checkCapacity fails the test unless there are enough machines that the job may use in its
// zone or, if it names none, in some zone.
func (j zoneBoundJob) checkCapacity(t *rapid.T, s Snapshot, when string) {
	t.Helper()
	usable := func(zone string) int {
		count := s.Machines[InstancePool{"g4", zone, false}]
		if j.AllowSpot {
			count += s.Machines[InstancePool{"g4", zone, true}]
		}
		return count
	}
	if usable("b") < j.machines && (j.Zone == "b" || usable("a") < j.machines) {
		t.Fatalf("%s: %d machines in zone b, want %d: %v", when, usable("b"), j.machines, s.Machines)
	}
}

// TestZoneBoundJobsGetCapacity checks that a job bound to a zone, and a gang that must run in
// one zone, get the machines that they need there however many there are in another zone, and
// that these machines are not returned.
func TestZoneBoundJobsGetCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := drawZoneBoundJob(t)
		s := Snapshot{
			Catalog: testCatalog(), Machines: map[InstancePool]int{}, Unavailable: map[InstancePool]bool{},
			Demand: []Demand{job.Demand},
			Limits: []TeamLimit{{"a", placement.Resources{GPUs: 48}}},
		}
		// There may be enough machines for the whole demand, but in the wrong zone or split
		// between the zones.
		s.Machines[InstancePool{"g4", "a", false}] = rapid.IntRange(0, 20).Draw(t, "machines in zone a")
		if job.Zone == "" {
			s.Machines[InstancePool{"g4", "a", false}] = job.machines / 2
			s.Machines[InstancePool{"g4", "b", false}] = job.machines - job.machines/2
		}
		s.Unavailable[InstancePool{"g4", "b", true}] = rapid.Bool().Draw(t, "unavailable")

		rentAll(t, s, 0)
		job.checkCapacity(t, s, "after ScaleOut")

		idle := idleMachines(s)
		pools := make(map[string]InstancePool)
		for _, machine := range idle {
			pools[machine.Name] = machine.Pool
		}
		for _, name := range ScaleIn(s, desired(s, 0), idle) {
			s.Machines[pools[name]]--
		}
		job.checkCapacity(t, s, "after ScaleIn")
	})
}
