package wal

import "slices"

// leaderModel models the part of a leader's state that the log must preserve.
type leaderModel struct {
	writer *Writer
	term   uint64
	// liveAttempts holds the attempts that, to the leader's knowledge, may be on each machine.
	liveAttempts map[string]map[Attempt]bool
	// recorded are the attempts whose start is known to be committed, except those whose end
	// was recorded.
	recorded map[Attempt]bool
	// done holds the completed tasks of each job; doneRecorded those whose completion is
	// known to be committed.
	done, doneRecorded map[string]map[int]bool
	// zone is the latest zone of each machine that was given to the writer, and stands for all
	// its metadata. zoneRecorded is the latest zone that is known to be committed.
	zone, zoneRecorded map[string]string
}

func newLeaderModel(term uint64, writer *Writer) *leaderModel {
	return &leaderModel{
		writer: writer, term: term,
		liveAttempts: map[string]map[Attempt]bool{}, recorded: map[Attempt]bool{},
		done: map[string]map[int]bool{}, doneRecorded: map[string]map[int]bool{},
		zone: map[string]string{}, zoneRecorded: map[string]string{},
	}
}

// restoreLeaderModel creates the leader of a later term from the state that it has read.
func restoreLeaderModel(term uint64, writer *Writer, state State, jobs []string) *leaderModel {
	m := newLeaderModel(term, writer)
	for name, machine := range state.Machines {
		m.liveAttempts[name] = map[Attempt]bool{}
		m.zone[name], m.zoneRecorded[name] = machine.Zone, machine.Zone
		for _, attempt := range machine.Attempts {
			m.liveAttempts[name][attempt], m.recorded[attempt] = true, true
		}
	}
	for _, job := range jobs {
		m.done[job], m.doneRecorded[job] = map[int]bool{}, map[int]bool{}
		for _, task := range state.Done[job] {
			m.done[job][task], m.doneRecorded[job][task] = true, true
		}
	}
	return m
}

// attemptsOn returns the attempts on a machine, ordered by number.
func (m *leaderModel) attemptsOn(machine string) (attempts []Attempt) {
	for attempt := range m.liveAttempts[machine] {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b Attempt) int { return int(a.Number) - int(b.Number) })
	return attempts
}

func (m *leaderModel) addAttempt(machine string, attempt Attempt) {
	m.addMachine(machine)
	m.liveAttempts[machine][attempt] = true
	m.writer.AttemptPlaced(machine, attempt, "j-1", JobUsage{Team: "x"}, func() { m.recorded[attempt] = true })
}

func (m *leaderModel) removeAttempt(machine string, attempt Attempt) {
	delete(m.liveAttempts[machine], attempt)
	delete(m.recorded, attempt)
	m.writer.AttemptGone(machine, attempt)
}

func (m *leaderModel) setZone(machine, zone string) {
	m.addMachine(machine)
	m.zone[machine] = zone
	m.writer.MachineChanged(machine, Machine{Zone: zone}, func() { m.zoneRecorded[machine] = zone })
}

func (m *leaderModel) addMachine(machine string) {
	if m.liveAttempts[machine] == nil {
		m.liveAttempts[machine] = map[Attempt]bool{}
	}
}

func (m *leaderModel) removeMachine(machine string) {
	for attempt := range m.liveAttempts[machine] {
		delete(m.recorded, attempt)
	}
	delete(m.liveAttempts, machine)
	delete(m.zone, machine)
	delete(m.zoneRecorded, machine)
	m.writer.MachineRemoved(machine)
}

func (m *leaderModel) finishTask(job string, task int) {
	if m.done[job] == nil {
		m.done[job], m.doneRecorded[job] = map[int]bool{}, map[int]bool{}
	}
	m.done[job][task] = true
	recorded := m.doneRecorded[job]
	m.writer.TasksDone(job, []int{task}, func() { recorded[task] = true })
}

// machineNames returns the names of the machines, sorted.
func (m *leaderModel) machineNames() (names []string) {
	for name := range m.liveAttempts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Machine implements StateSource.
func (m *leaderModel) Machine(name string) (Machine, bool) {
	if _, ok := m.liveAttempts[name]; !ok {
		return Machine{}, false
	}
	return Machine{Zone: m.zone[name], Attempts: m.attemptsOn(name)}, true
}

// DoneTasks implements StateSource. It covers a job's first 64 tasks, in runs of eight.
func (m *leaderModel) DoneTasks(job string) (runs []DoneTasks) {
	for first := 0; first < 64; first += 8 {
		var bits byte
		for bit := range 8 {
			if m.done[job][first+bit] {
				bits |= 1 << bit
			}
		}
		if bits != 0 {
			runs = append(runs, DoneTasks{first, []byte{bits}})
		}
	}
	return runs
}
