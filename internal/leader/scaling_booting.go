package leader

import (
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// bootingMachine is a machine that is rented and has not reported in this term.
type bootingMachine struct {
	pool     autoscaling.InstancePool
	rentedAt time.Time
	learntAt time.Time // when this term learnt of it
}

// bootingMachines are all of them, by name.
type bootingMachines map[string]bootingMachine

// listed takes in a machine of the cloud's list that has not reported.
func (b bootingMachines) listed(instance autoscaling.Instance, now time.Time) {
	if _, known := b[instance.Name]; known {
		return
	}
	pool := autoscaling.InstancePool{Type: instance.MachineType, Zone: instance.Zone, Spot: instance.Spot}
	b[instance.Name] = bootingMachine{pool, now.Add(-config.Seconds(instance.AgeS)), now}
}

// overdue tells whether a machine has had its time to come up. One of an earlier term
// that has no record was idle: its worker needs a moment to turn to this node, and so
// does any after the leader itself has stood still.
func (b bootingMachine) overdue(boot, lease time.Duration, resumedAt, now time.Time) bool {
	return now.Sub(b.rentedAt) > boot && now.Sub(b.learntAt) > lease && now.Sub(resumedAt) > lease
}

// bootTimeout is how long a machine of a type may take to come up.
func (l *Leader) bootTimeout(machineType string) time.Duration {
	t, _ := l.deps.Catalog().Type(machineType)
	return config.Seconds(t.BootS * constants.BootTimeoutFactor)
}

// terminatedMachines are machines whose end the cloud has confirmed, and when it did.
// Lists may still show them, and heartbeats of theirs be under way.
type terminatedMachines map[string]time.Time

// forget drops those that no list can show any more.
func (t terminatedMachines) forget(now time.Time) {
	for name, at := range t {
		if now.Sub(at) > constants.TerminatedRetention {
			delete(t, name)
		}
	}
}

// isTerminated tells whether the cloud has confirmed the end of a machine of this name.
func (s *scalingState) isTerminated(name string) bool {
	_, terminated := s.terminated[name]
	return terminated
}
