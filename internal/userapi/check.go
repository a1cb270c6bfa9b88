package userapi

import (
	"fmt"

	"thornnotch/internal/config"
)

// MachineType is what intake must know of a kind of machine.
type MachineType struct {
	SKU                        string
	VCPUs, Accelerators, RAMGB float64
	Halls                      []string
}

// CanRun tells whether a job could ever run; the error says why not.
func CanRun(j *Job, teams []config.Team, types []MachineType) error {
	var team *config.Team
	for i := range teams {
		if teams[i].Name == j.Owner {
			team = &teams[i]
		}
	}
	if team == nil {
		return fmt.Errorf("owner: unknown team %q", j.Owner)
	}
	fits := false
	for _, t := range types {
		if j.allowsType(t.SKU) && j.allowsZone(t.Halls) &&
			j.VCPUs <= t.VCPUs && j.Accelerators <= t.Accelerators && j.RAMGB <= t.RAMGB {
			fits = true
		}
	}
	if !fits {
		return fmt.Errorf("rigTypes: a task fits no allowed machine type")
	}
	n := 1.0
	if j.Shape == Gang {
		n = float64(j.Pieces)
	}
	if team.CPUsMax > 0 && n*j.VCPUs > team.CPUsMax || team.GPUsMax > 0 && n*j.Accelerators > team.GPUsMax {
		return fmt.Errorf("pieces: the job needs more than the limit of team %q", j.Owner)
	}
	if j.Shape == Gang && j.SamePlace && j.Apart && j.Pieces > 1 {
		return fmt.Errorf("apart: contradicts samePlace")
	}
	if j.Shape == Gang && j.Hall != "" && j.Apart && j.Pieces > 1 {
		return fmt.Errorf("apart: contradicts hall")
	}
	return nil
}

func (j *Job) allowsType(sku string) bool {
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

func (j *Job) allowsZone(halls []string) bool {
	if j.Hall == "" {
		return true
	}
	for _, h := range halls {
		if h == j.Hall {
			return true
		}
	}
	return false
}
