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

// TestRentingAndReturningAgree: what renting asks for, returning does not give
// back at once, and requests end.
func TestRentingAndReturningAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := Snapshot{
			Catalog: testCatalog(), Machines: map[InstancePool]int{}, Refused: map[InstancePool]bool{},
			Limits: []TeamLimit{{"a", placement.Resources{GPUs: 40}}},
		}
		for range rapid.IntRange(0, 6).Draw(t, "jobs") {
			v.Demand = append(v.Demand, Demand{
				Team: "a", Tasks: rapid.IntRange(1, 30).Draw(t, "pieces"),
				TaskResources: placement.Resources{CPUs: 1, GPUs: float64(rapid.IntRange(1, 4).Draw(t, "gpus")), MemoryGB: 1}, AllowSpot: rapid.Bool().Draw(t, "spot"),
				Zone: rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "zone"), SameZone: rapid.Bool().Draw(t, "together"),
			})
		}
		for _, z := range []string{"a", "b"} {
			v.Refused[InstancePool{"g4", z, true}] = rapid.Bool().Draw(t, "refused")
		}
		v.Recent, v.Window = v.Demand, time.Minute
		spare := rapid.Float64Range(0, 3).Draw(t, "spare")
		steps := 0
		for r, ok := ScaleOut(v, spare); ok; r, ok = ScaleOut(v, spare) {
			if v.Refused[InstancePool{r.MachineType, r.Zone, r.Spot}] || r.Count < 1 {
				t.Fatalf("asked for %+v", r)
			}
			v.Machines[InstancePool{r.MachineType, r.Zone, r.Spot}] += r.Count
			if steps++; steps > 20 {
				t.Fatal("asks for ever")
			}
		}
		total := 0
		var idle []IdleMachine
		for p, n := range v.Machines {
			total += n
			for i := range n {
				idle = append(idle, IdleMachine{Name: p.Zone + string(rune('a'+i)), Pool: p})
			}
		}
		// 40 GPUs fill 10 machines, or as many as tasks when one takes a
		// machine; the root of that is the spare.
		// What is bound to a zone may come on top in each.
		if total > 80 {
			t.Fatalf("%d machines for a limit of 40 GPUs", total)
		}
		want := map[string]DesiredCapacity{"g4": DesiredFor(v, v.Catalog.MachineTypes[0], spare)}
		if names := ScaleIn(v, want, idle); len(names) > 0 {
			t.Fatalf("rented and returned: %v", names)
		}
		v.Demand, v.Recent = nil, nil
		if names := ScaleIn(v, map[string]DesiredCapacity{"g4": DesiredFor(v, v.Catalog.MachineTypes[0], spare)}, idle); len(names) != len(idle) {
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

// TestZoneHasWhatIsBoundToIt: however many machines stand in one zone, a job that
// is bound to the other, and a gang that must be in one zone, get theirs, and what
// they need is not given back.
func TestZoneHasWhatIsBoundToIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spot := rapid.Bool().Draw(t, "spot")
		pieces := rapid.IntRange(1, 12).Draw(t, "pieces")
		zone := rapid.SampledFrom([]string{"", "b"}).Draw(t, "zone")
		gpus := rapid.IntRange(1, 4).Draw(t, "gpus")
		v := Snapshot{
			Catalog: testCatalog(), Machines: map[InstancePool]int{}, Refused: map[InstancePool]bool{},
			Demand: []Demand{{Team: "a", Tasks: pieces, TaskResources: placement.Resources{CPUs: 1, GPUs: float64(gpus), MemoryGB: 1}, AllowSpot: spot, Zone: zone, SameZone: true}},
			Limits: []TeamLimit{{"a", placement.Resources{GPUs: 48}}},
		}
		per := 4 / gpus
		need := (pieces + per - 1) / per
		// As many as all demand asks for, but not where it can be met.
		v.Machines[InstancePool{"g4", "a", false}] = rapid.IntRange(0, 20).Draw(t, "elsewhere")
		if zone == "" {
			v.Machines[InstancePool{"g4", "a", false}] = need / 2
			v.Machines[InstancePool{"g4", "b", false}] = need - need/2
		}
		v.Refused[InstancePool{"g4", "b", true}] = rapid.Bool().Draw(t, "refused")
		for steps := 0; ; steps++ {
			r, ok := ScaleOut(v, 0)
			if !ok {
				break
			}
			v.Machines[InstancePool{r.MachineType, r.Zone, r.Spot}] += r.Count
			if steps > 20 {
				t.Fatal("asks for ever")
			}
		}
		in := func(z string) int {
			n := v.Machines[InstancePool{"g4", z, false}]
			if spot {
				n += v.Machines[InstancePool{"g4", z, true}]
			}
			return n
		}
		if in("b") < need && (zone == "b" || in("a") < need) {
			t.Fatalf("%d machines of %d: %v", in("b"), need, v.Machines)
		}
		var idle []IdleMachine
		for p, n := range v.Machines {
			for i := range n {
				idle = append(idle, IdleMachine{Name: p.Zone + strconv.FormatBool(p.Spot) + strconv.Itoa(i), Pool: p})
			}
		}
		pools := make(map[string]InstancePool)
		for _, m := range idle {
			pools[m.Name] = m.Pool
		}
		for _, name := range ScaleIn(v, map[string]DesiredCapacity{"g4": DesiredFor(v, v.Catalog.MachineTypes[0], 0)}, idle) {
			v.Machines[pools[name]]--
		}
		if in("b") < need && (zone == "b" || in("a") < need) {
			t.Fatalf("given back: %d machines of %d: %v", in("b"), need, v.Machines)
		}
	})
}
