package jobs

import (
	"fmt"
	"slices"

	"thornnotch/internal/config"
)

// MachineType is what admission must know of a type of machine.
type MachineType struct {
	Name                 string
	CPUs, GPUs, MemoryGB float64
	// Zones are where the cloud rents it.
	Zones []string
}

// AdmissionError says why a well-formed job can never run (protocol, POST /work, 422).
type AdmissionError struct {
	// Field is the wire name of the field that rules it out.
	Field  string
	Reason string
}

func (e *AdmissionError) Error() string { return e.Field + ": " + e.Reason }

// CheckRunnable checks whether a job could ever run on these types of machines within its
// team's quota; every error is an *AdmissionError.
func CheckRunnable(spec *Spec, teams []config.Team, types []MachineType) error {
	team := findTeam(teams, spec.Team)
	if team == nil {
		return &AdmissionError{fieldTeam, fmt.Sprintf("unknown team %q", spec.Team)}
	}
	if !slices.ContainsFunc(types, spec.taskFits) {
		return &AdmissionError{fieldMachineTypes, "a task fits no allowed machine type"}
	}
	if spec.exceedsQuota(team) {
		return &AdmissionError{fieldTasks, fmt.Sprintf("the job needs more than the limit of team %q", spec.Team)}
	}
	return spec.checkZones()
}

// findTeam returns the team of that name, nil if there is none.
func findTeam(teams []config.Team, name string) *config.Team {
	i := slices.IndexFunc(teams, func(team config.Team) bool { return team.Name == name })
	if i < 0 {
		return nil
	}
	return &teams[i]
}

// taskFits reports whether one task of the job could run on a machine of this type.
func (s *Spec) taskFits(machine MachineType) bool {
	return s.allowsType(machine.Name) && s.allowsZone(machine.Zones) &&
		s.CPUs <= machine.CPUs && s.GPUs <= machine.GPUs && s.MemoryGB <= machine.MemoryGB
}

// exceedsQuota reports whether the job needs more at once than its team's limit: of a gang
// all tasks count, of an array one.
func (s *Spec) exceedsQuota(team *config.Team) bool {
	atOnce := 1.0
	if s.Kind == KindGang {
		atOnce = float64(s.Tasks)
	}
	return team.MaxCPUs > 0 && atOnce*s.CPUs > team.MaxCPUs ||
		team.MaxGPUs > 0 && atOnce*s.GPUs > team.MaxGPUs
}

// checkZones checks that what a gang demands of its tasks' zones can be had together.
func (s *Spec) checkZones() error {
	if s.Kind != KindGang || !s.SpreadZones || s.Tasks <= 1 {
		return nil
	}
	if s.SameZone {
		return &AdmissionError{fieldSpreadZones, "contradicts " + fieldSameZone}
	}
	if s.Zone != "" {
		return &AdmissionError{fieldSpreadZones, "contradicts " + fieldZone}
	}
	return nil
}

func (s *Spec) allowsType(name string) bool {
	return s.MachineTypes == nil || slices.Contains(s.MachineTypes, name)
}

// allowsZone reports whether the job may run in one of these zones.
func (s *Spec) allowsZone(zones []string) bool {
	return s.Zone == "" || slices.Contains(zones, s.Zone)
}
