package jobs

import (
	"fmt"

	"thornnotch/internal/config"
)

// MachineType is what intake must know of a kind of machine.
type MachineType struct {
	Name                 string
	CPUs, GPUs, MemoryGB float64
	Zones                []string
}

// CanRun tells whether a job could ever run; the error says why not.
func CheckRunnable(j *Spec, teams []config.Team, types []MachineType) error {
	var team *config.Team
	for i := range teams {
		if teams[i].Name == j.Team {
			team = &teams[i]
		}
	}
	if team == nil {
		return fmt.Errorf("owner: unknown team %q", j.Team)
	}
	fits := false
	for _, t := range types {
		if j.allowsType(t.Name) && j.allowsZone(t.Zones) &&
			j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB {
			fits = true
		}
	}
	if !fits {
		return fmt.Errorf("rigTypes: a task fits no allowed machine type")
	}
	n := 1.0
	if j.Kind == KindGang {
		n = float64(j.Tasks)
	}
	if team.MaxCPUs > 0 && n*j.CPUs > team.MaxCPUs || team.MaxGPUs > 0 && n*j.GPUs > team.MaxGPUs {
		return fmt.Errorf("pieces: the job needs more than the limit of team %q", j.Team)
	}
	if j.Kind == KindGang && j.SameZone && j.SpreadZones && j.Tasks > 1 {
		return fmt.Errorf("apart: contradicts samePlace")
	}
	if j.Kind == KindGang && j.Zone != "" && j.SpreadZones && j.Tasks > 1 {
		return fmt.Errorf("apart: contradicts hall")
	}
	return nil
}

func (j *Spec) allowsType(sku string) bool {
	if j.MachineTypes == nil {
		return true
	}
	for _, t := range j.MachineTypes {
		if t == sku {
			return true
		}
	}
	return false
}

func (j *Spec) allowsZone(halls []string) bool {
	if j.Zone == "" {
		return true
	}
	for _, h := range halls {
		if h == j.Zone {
			return true
		}
	}
	return false
}
