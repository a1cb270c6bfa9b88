package autoscaling

import (
	"errors"
	"fmt"

	"thornnotch/internal/jobs"
	"thornnotch/internal/placement"
)

// Type returns the machine type of the given name, and whether the catalog has it. A nil
// catalog has none.
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

// JobMachineTypes returns the catalog's machine types in the form that job admission uses.
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

// Validate returns an error if the catalog is empty or has an invalid machine type.
func (c *Catalog) Validate() error {
	if len(c.MachineTypes) == 0 {
		return errors.New("catalog has no machine types")
	}
	for _, t := range c.MachineTypes {
		// The comparisons are negated so that NaN is rejected too.
		if t.Name == "" || !(t.CPUs > 0) || t.GPUs < 0 || !(t.MemoryGB > 0) || len(t.Zones) == 0 {
			return fmt.Errorf("catalog has invalid machine type %q", t.Name)
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
