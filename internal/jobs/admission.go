package jobs

import (
	"fmt"
	"slices"

	"thornnotch/internal/config"
)

// MachineType holds the properties of a machine type that the admission check uses.
type MachineType struct {
	Name                 string
	CPUs, GPUs, MemoryGB float64
	// Zones are the zones in which the cloud offers the type.
	Zones []string
}

// AdmissionError explains why a well-formed job can never run (protocol, POST /work, 422).
type AdmissionError struct {
	// Field is the wire name of the field that makes the job unrunnable.
	Field  string
	Reason string
}

func (e *AdmissionError) Error() string { return e.Field + ": " + e.Reason }

// CheckRunnable returns an error if a job can never run on these machine types within its
// team's limit. Every error is an *AdmissionError.
func CheckRunnable(spec *Spec, teams []config.Team, types []MachineType) error {
	team := findTeam(teams, spec.Team)
	if team == nil {
		return &AdmissionError{fieldTeam, fmt.Sprintf("unknown team %q", spec.Team)}
	}
	if !slices.ContainsFunc(types, spec.taskFits) {
		return &AdmissionError{fieldMachineTypes, "a task fits no allowed machine type"}
	}
	if spec.exceedsLimit(team) {
		return &AdmissionError{fieldTasks, fmt.Sprintf("the job needs more than the limit of team %q", spec.Team)}
	}
	return spec.checkZones()
}

// findTeam returns the team with the given name, or nil if there is none.
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

// exceedsLimit reports whether the tasks that must run at the same time need more than the
// team's limit. These are all tasks of a gang, or one task of any other job.
func (s *Spec) exceedsLimit(team *config.Team) bool {
	concurrentTasks := 1.0
	if s.Kind == KindGang {
		concurrentTasks = float64(s.Tasks)
	}
	return team.MaxCPUs > 0 && concurrentTasks*s.CPUs > team.MaxCPUs ||
		team.MaxGPUs > 0 && concurrentTasks*s.GPUs > team.MaxGPUs
}

// checkZones returns an error if a gang's zone constraints contradict each other.
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
