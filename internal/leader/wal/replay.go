package wal

import (
	"encoding/json"
	"strconv"
	"strings"

	"thornnotch/internal/statestore"
)

// State is what the log says once it is read.
type State struct {
	// Head is the zero Head if there was no log yet.
	Head Head
	// Machines are by name.
	Machines map[string]*Machine
	// Done lists completed tasks by job ID; AllTasks means all of them. A task may be
	// listed more than once.
	Done map[string][]int
}

// Read rebuilds the state from rows, which must include the head and all keys below
// Head.Prefixes.
//
// A record that the head counts on and that can't be read may hide a task that still
// runs, so it is an error (MissingRecordError, UnreadableRecordError or
// MisplacedEntryError): nothing may be decided without it. Keys that are not the log's
// are listed in foreign and do no harm.
func Read(rows []statestore.KeyValue) (state State, foreign []string, err error) {
	state = State{Machines: make(map[string]*Machine), Done: make(map[string][]int)}
	stored := make(records, len(rows))
	for _, row := range rows {
		stored[row.Key] = row.Value
		if !isLogKey(row.Key) {
			foreign = append(foreign, row.Key)
		}
	}
	if _, ok := stored[HeadKey]; !ok {
		return state, foreign, nil // no leader has written yet
	}
	if err := stored.decode(HeadKey, &state.Head); err != nil {
		return state, foreign, err
	}
	if err := state.readCheckpoint(stored); err != nil {
		return state, foreign, err
	}
	return state, foreign, state.readEntries(stored)
}

// isLogKey tells whether a key below Prefix is one that some version writes.
func isLogKey(key string) bool {
	if key == HeadKey {
		return true
	}
	directory, number, ok := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	if !ok {
		return false
	}
	if _, err := strconv.Atoi(number); err != nil {
		return false
	}
	switch Prefix + directory + "/" {
	case smallRingPrefix, largeRingPrefix, Prefix + areaA + "/", Prefix + areaB + "/":
		return true
	}
	return false
}

// records are stored values by key.
type records map[string]json.RawMessage

func (r records) decode(key string, into any) error {
	raw, ok := r[key]
	if !ok {
		return &MissingRecordError{Key: key}
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return &UnreadableRecordError{Key: key, Err: err}
	}
	return nil
}

// readCheckpoint takes in all parts of the checkpoint that the head names.
func (s *State) readCheckpoint(stored records) error {
	for number := range s.Head.Parts {
		var p part
		if err := stored.decode(partKey(s.Head.Area, number), &p); err != nil {
			return err
		}
		for name, machine := range p.Machines {
			s.Machines[name] = &machine
		}
		for job, runs := range p.Done {
			for _, run := range runs {
				if tasks := run.tasks(); len(tasks) > 0 {
					s.Done[job] = append(s.Done[job], tasks...)
				}
			}
		}
	}
	return nil
}

// readEntries applies the entries on top of the checkpoint, in their order.
func (s *State) readEntries(stored records) error {
	for seq := s.Head.From; seq < s.Head.Next; seq++ {
		key := s.Head.entryKey(seq)
		var entry Entry
		if err := stored.decode(key, &entry); err != nil {
			return err
		}
		if entry.Seq != seq {
			return &MisplacedEntryError{Key: key, Holds: entry.Seq, Expects: seq}
		}
		s.apply(entry)
	}
	return nil
}

// apply takes in one entry. A part of the checkpoint may have taken in what it says
// already: applying it once more changes nothing.
func (s *State) apply(entry Entry) {
	for name, change := range entry.Machines {
		s.applyChange(name, change)
	}
	for job, tasks := range entry.Done {
		s.Done[job] = append(s.Done[job], tasks...)
	}
}

func (s *State) applyChange(name string, change MachineChange) {
	if change.Removed {
		delete(s.Machines, name)
		if change.Metadata == nil && len(change.Placed) == 0 {
			return
		}
	}
	machine := s.Machines[name]
	if machine == nil {
		machine = &Machine{}
		s.Machines[name] = machine
	}
	if change.Metadata != nil {
		replaced := *change.Metadata
		replaced.Attempts, replaced.Jobs = machine.Attempts, machine.Jobs
		*machine = replaced
	}
	for _, attempt := range change.Gone {
		machine.removeAttempt(attempt)
	}
	for _, attempt := range change.Placed {
		machine.removeAttempt(attempt) // it may be there from the checkpoint
		machine.Attempts = append(machine.Attempts, attempt)
	}
	for job, use := range change.Jobs {
		if machine.Jobs == nil {
			machine.Jobs = make(map[string]JobUse)
		}
		machine.Jobs[job] = use
	}
}

// removeAttempt removes the attempt of this task and number, under any epoch.
func (m *Machine) removeAttempt(gone Attempt) {
	var kept []Attempt
	for _, attempt := range m.Attempts {
		if attempt.Task != gone.Task || attempt.Number != gone.Number {
			kept = append(kept, attempt)
		}
	}
	m.Attempts = kept
}
