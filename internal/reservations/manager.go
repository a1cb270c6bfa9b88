package reservations

import (
	"slices"
	"sort"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// Manager keeps the reservations in memory.
type Manager struct {
	options      Options
	reservations map[string][]Reservation // by machine
	phases       map[string]*phase        // by upstream job
	reservedFor  map[string]int           // reservations, by downstream job
}

// NewManager returns a manager without reservations.
func NewManager(options Options) *Manager {
	return &Manager{
		options:      options,
		reservations: make(map[string][]Reservation),
		phases:       make(map[string]*phase),
		reservedFor:  make(map[string]int),
	}
}

// Restore puts back a reservation read from a machine's record.
func (m *Manager) Restore(reservation Reservation) {
	if m.options.Enabled {
		m.add(reservation)
	}
}

// OnMachine lists the reservations on a machine.
func (m *Manager) OnMachine(machine string) []Reservation { return m.reservations[machine] }

// All lists every reservation, by machine.
func (m *Manager) All() []Reservation {
	var all []Reservation
	for _, onMachine := range m.reservations {
		all = append(all, onMachine...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Machine < all[j].Machine })
	return all
}

// Consume uses up one reservation on the machine for a task that is its pipeline's own,
// and reports whether there was one.
func (m *Manager) Consume(machine string, owns func(placement.Pipeline) bool) bool {
	for i, reservation := range m.reservations[machine] {
		if owns(reservation.Pipeline) {
			m.remove(machine, i)
			return true
		}
	}
	return false
}

// ReleaseExcess removes reservations on a machine, lowest priority first, until what is
// reserved there fits into the room that it has.
func (m *Manager) ReleaseExcess(machine string, room placement.Resources) (changed bool) {
	for len(m.reservations[machine]) > 0 {
		var reserved placement.Resources
		lowest := 0
		for i, reservation := range m.reservations[machine] {
			reserved = reserved.Add(reservation.Resources)
			if reservation.Priority <= m.reservations[machine][lowest].Priority {
				lowest = i
			}
		}
		if room.Covers(reserved) {
			break
		}
		m.remove(machine, lowest)
		changed = true
	}
	return changed
}

// RemoveMachine forgets the reservations on a machine that is leaving.
func (m *Manager) RemoveMachine(machine string) {
	for _, reservation := range m.reservations[machine] {
		m.uncount(reservation)
	}
	delete(m.reservations, machine)
}

// Expire removes the reservations past their deadline, or whose downstream job no longer
// waits, and names the machines that changed.
func (m *Manager) Expire(now time.Time, waits func(job string) bool) (changed []string) {
	for machine, reservations := range m.reservations {
		var kept []Reservation
		for _, reservation := range reservations {
			if reservation.ExpiresAt.After(now) && waits(reservation.Downstream) {
				kept = append(kept, reservation)
			} else {
				m.uncount(reservation)
			}
		}
		if len(kept) < len(reservations) {
			m.set(machine, kept)
			changed = append(changed, machine)
		}
	}
	m.forgetPhases(now, waits)
	sort.Strings(changed)
	return changed
}

// forgetPhases forgets the phases that can reserve nothing any more: long past their
// deadline, or with slots to pre-reserve for jobs of which none waits.
func (m *Manager) forgetPhases(now time.Time, waits func(job string) bool) {
	anyWaits := func(downstreams []Downstream) bool {
		return slices.ContainsFunc(downstreams, func(downstream Downstream) bool { return waits(downstream.Job) })
	}
	for job, upstream := range m.phases {
		longPast := upstream.deadline.Before(now.Add(-constants.ReservationPhaseRetention))
		if longPast || upstream.preReserve > 0 && !anyWaits(upstream.downstreams) {
			delete(m.phases, job)
		}
	}
}

func (m *Manager) add(reservation Reservation) {
	m.reservations[reservation.Machine] = append(m.reservations[reservation.Machine], reservation)
	m.reservedFor[reservation.Downstream]++
}

// remove takes away one reservation of a machine. The rest go into a new slice, as
// callers may be iterating over the old one.
func (m *Manager) remove(machine string, index int) {
	reservations := m.reservations[machine]
	m.uncount(reservations[index])
	m.set(machine, slices.Concat(reservations[:index], reservations[index+1:]))
}

// set replaces a machine's reservations.
func (m *Manager) set(machine string, reservations []Reservation) {
	if len(reservations) == 0 {
		delete(m.reservations, machine)
		return
	}
	m.reservations[machine] = reservations
}

// uncount takes a reservation that ends out of the counts.
func (m *Manager) uncount(reservation Reservation) {
	m.reservedFor[reservation.Downstream]--
	if m.reservedFor[reservation.Downstream] <= 0 {
		delete(m.reservedFor, reservation.Downstream)
	}
}
