package autoscaling

import (
	"errors"
	"fmt"

	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// Type finds a machine type by name. A nil catalog has none.
func (c *Catalog) Type(name string) (MachineType, bool) {
	if c != nil {
		for _, machineType := range c.MachineTypes {
			if machineType.Name == name {
				return machineType, true
			}
		}
	}
	return MachineType{}, false
}

// JobMachineTypes is the catalog as the admission of jobs needs it.
func (c *Catalog) JobMachineTypes() []jobs.MachineType {
	if c == nil {
		return nil
	}
	out := make([]jobs.MachineType, 0, len(c.MachineTypes))
	for _, t := range c.MachineTypes {
		out = append(out, jobs.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, Zones: t.Zones})
	}
	return out
}

// Validate reports what is impossible in a catalog.
func (c *Catalog) Validate() error {
	if len(c.MachineTypes) == 0 {
		return errors.New("catalog: names no machine type")
	}
	for _, t := range c.MachineTypes {
		// Written so that a value that is not a number is refused, too.
		if t.Name == "" || !(t.CPUs > 0) || t.GPUs < 0 || !(t.MemoryGB > 0) || len(t.Zones) == 0 {
			return fmt.Errorf("catalog: impossible machine type %q", t.Name)
		}
	}
	return nil
}

func (t MachineType) resources() placement.Resources {
	return placement.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

func (t MachineType) price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}
