package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// bootingMachine is a rented machine that has not reported in this term.
type bootingMachine struct {
	pool        autoscaling.InstancePool
	rentedAt    time.Time
	firstSeenAt time.Time // when this term's leader first saw it
}

// bootingMachines holds the booting machines by name.
type bootingMachines map[string]bootingMachine

// addListed adds an instance from the cloud's list whose machine has not reported, unless it
// is already known.
func (b bootingMachines) addListed(instance autoscaling.Instance, now time.Time) {
	if _, known := b[instance.Name]; known {
		return
	}
	pool := autoscaling.InstancePool{Type: instance.MachineType, Zone: instance.Zone, Spot: instance.Spot}
	b[instance.Name] = bootingMachine{pool, now.Add(-config.Seconds(instance.AgeS)), now}
}

// overdue reports whether a machine has failed to register within its boot timeout. A machine
// rented in an earlier term that has no record may be up and idle, and its worker needs up to
// a lease to find the new leader. Workers get the same time after the leader's own loop has
// stalled.
func (b bootingMachine) overdue(bootTimeout, lease time.Duration, resumedAt, now time.Time) bool {
	return now.Sub(b.rentedAt) > bootTimeout && now.Sub(b.firstSeenAt) > lease && now.Sub(resumedAt) > lease
}

// bootTimeout returns how long a machine of the given type may take to boot and register, or 0 if
// the type is not in the catalog.
func (l *Leader) bootTimeout(machineType string) time.Duration {
	t, _ := l.deps.Catalog().Type(machineType)
	return config.Seconds(t.BootS * constants.BootTimeoutFactor)
}

// terminatedMachines maps the names of machines whose termination the cloud has confirmed to
// the time of that confirmation. The cloud's list may still show them, and delayed heartbeats
// from them may still arrive.
type terminatedMachines map[string]time.Time

// prune removes machines that the cloud's list can no longer show.
func (t terminatedMachines) prune(now time.Time) {
	for name, at := range t {
		if now.Sub(at) > constants.TerminatedRetention {
			delete(t, name)
		}
	}
}

// isTerminated reports whether the cloud has confirmed the termination of the machine.
func (s *scalingState) isTerminated(name string) bool {
	_, terminated := s.terminated[name]
	return terminated
}
