package reservations

import (
	"slices"
	"sort"
	"time"

	"thornnotch/internal/constants"
	"thornnotch/internal/placement"
)

// Manager makes, releases and expires reservations. It is not safe for concurrent use.
type Manager struct {
	options      Options
	reservations map[string][]Reservation // by machine
	phases       map[string]*phase        // by upstream job
	reservedFor  map[string]int           // number of reservations by downstream job
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

// Restore adds a reservation that was read from a machine's record, unless slot reservation is
// disabled.
func (m *Manager) Restore(reservation Reservation) {
	if m.options.Enabled {
		m.add(reservation)
	}
}

// OnMachine returns the reservations on a machine.
func (m *Manager) OnMachine(machine string) []Reservation { return m.reservations[machine] }

// All returns all reservations, sorted by machine.
func (m *Manager) All() []Reservation {
	var all []Reservation
	for _, onMachine := range m.reservations {
		all = append(all, onMachine...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Machine < all[j].Machine })
	return all
}

// RemoveOne removes one reservation on the machine whose pipeline matches accepts, because a task
// of that pipeline takes the slot or a scheduling pass has released the reservation. It reports
// whether there was one.
func (m *Manager) RemoveOne(machine string, matches func(placement.Pipeline) bool) bool {
	for i, reservation := range m.reservations[machine] {
		if matches(reservation.Pipeline) {
			m.remove(machine, i)
			return true
		}
	}
	return false
}

// ReleaseExcess removes reservations on a machine, lowest priority first, until the remaining
// ones fit into room, the resources available there. It reports whether it removed any.
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

// RemoveMachine removes all reservations on a machine that is leaving.
func (m *Manager) RemoveMachine(machine string) {
	for _, reservation := range m.reservations[machine] {
		m.decrementReservedFor(reservation)
	}
	delete(m.reservations, machine)
}

// Expire removes the reservations that are past their deadline or whose downstream job is no
// longer waiting, and returns the sorted names of the machines that they were on.
func (m *Manager) Expire(now time.Time, isWaiting func(job string) bool) (changed []string) {
	for machine, reservations := range m.reservations {
		var kept []Reservation
		for _, reservation := range reservations {
			if reservation.ExpiresAt.After(now) && isWaiting(reservation.Downstream) {
				kept = append(kept, reservation)
			} else {
				m.decrementReservedFor(reservation)
			}
		}
		if len(kept) < len(reservations) {
			m.setReservations(machine, kept)
			changed = append(changed, machine)
		}
	}
	m.removeObsoletePhases(now, isWaiting)
	sort.Strings(changed)
	return changed
}

// removeObsoletePhases removes the phases that can't reserve slots any more: those past their
// deadline for longer than ReservationPhaseRetention, and those that pre-reserve slots only for
// jobs that are no longer waiting.
func (m *Manager) removeObsoletePhases(now time.Time, isWaiting func(job string) bool) {
	anyWaiting := func(downstreams []Downstream) bool {
		return slices.ContainsFunc(downstreams, func(downstream Downstream) bool { return isWaiting(downstream.Job) })
	}
	for job, upstream := range m.phases {
		pastRetention := upstream.deadline.Before(now.Add(-constants.ReservationPhaseRetention))
		if pastRetention || upstream.slotsToPreReserve > 0 && !anyWaiting(upstream.downstreams) {
			delete(m.phases, job)
		}
	}
}

func (m *Manager) add(reservation Reservation) {
	m.reservations[reservation.Machine] = append(m.reservations[reservation.Machine], reservation)
	m.reservedFor[reservation.Downstream]++
}

// remove removes one reservation on a machine. It copies the remaining ones to a new slice,
// since callers may be iterating over the old one.
func (m *Manager) remove(machine string, index int) {
	reservations := m.reservations[machine]
	m.decrementReservedFor(reservations[index])
	m.setReservations(machine, slices.Concat(reservations[:index], reservations[index+1:]))
}

// setReservations replaces the reservations on a machine.
func (m *Manager) setReservations(machine string, reservations []Reservation) {
	if len(reservations) == 0 {
		delete(m.reservations, machine)
		return
	}
	m.reservations[machine] = reservations
}

// decrementReservedFor subtracts a removed reservation from the count of its downstream job.
func (m *Manager) decrementReservedFor(reservation Reservation) {
	m.reservedFor[reservation.Downstream]--
	if m.reservedFor[reservation.Downstream] <= 0 {
		delete(m.reservedFor, reservation.Downstream)
	}
}
