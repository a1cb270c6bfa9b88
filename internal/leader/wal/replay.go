package wal

import (
	"encoding/json"
	"strconv"
	"strings"

	"thornnotch/internal/statestore"
	"thornnotch/internal/wirejson"
)

// State is the state restored from the log.
type State struct {
	// Head is the zero Head if there is no log yet.
	Head Head
	// Machines holds the machines by name.
	Machines map[string]*Machine
	// Done holds completed tasks by job ID; AllTasks stands for all tasks of a job. A task
	// may be listed more than once.
	Done map[string][]int
}

// Replay rebuilds the state from rows, which must include the head and all keys that begin
// with one of Head.Prefixes.
//
// A record that the head refers to may describe a task that is still running. If such a
// record can't be read, Replay returns a MissingRecordError, UnreadableRecordError or
// MisplacedEntryError, and the leader must not make any decision. Keys that don't belong to
// the log are returned in foreign and otherwise ignored.
func Replay(rows []statestore.KeyValue) (state State, foreign []string, err error) {
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

// isLogKey reports whether a key that begins with Prefix belongs to the log, in the format of
// any version.
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

// records holds stored values by key.
type records map[string]json.RawMessage

func (r records) decode(key string, into any) error {
	raw, ok := r[key]
	if !ok {
		return &MissingRecordError{Key: key}
	}
	if err := wirejson.Decode(raw, into); err != nil {
		return &UnreadableRecordError{Key: key, Err: err}
	}
	return nil
}

// readCheckpoint loads all parts of the checkpoint that the head refers to.
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

// readEntries applies the entries on top of the checkpoint, in order.
func (s *State) readEntries(stored records) error {
	for seq := s.Head.From; seq < s.Head.Next; seq++ {
		key := s.Head.entryKey(seq)
		var entry Entry
		if err := stored.decode(key, &entry); err != nil {
			return err
		}
		if entry.Seq != seq {
			return &MisplacedEntryError{Key: key, Found: entry.Seq, Want: seq}
		}
		s.apply(entry)
	}
	return nil
}

// apply applies one entry. A checkpoint part may already include its changes; applying them
// again is idempotent.
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
		updated := *change.Metadata
		updated.Attempts, updated.Jobs = machine.Attempts, machine.Jobs
		*machine = updated
	}
	for _, attempt := range change.Gone {
		machine.removeAttempt(attempt)
	}
	for _, attempt := range change.Placed {
		machine.removeAttempt(attempt) // the checkpoint may include it already
		machine.Attempts = append(machine.Attempts, attempt)
	}
	for job, usage := range change.Jobs {
		if machine.Jobs == nil {
			machine.Jobs = make(map[string]JobUsage)
		}
		machine.Jobs[job] = usage
	}
}

// removeAttempt removes the attempt with the task and number of target, in any epoch.
func (m *Machine) removeAttempt(target Attempt) {
	var kept []Attempt
	for _, attempt := range m.Attempts {
		if attempt.Task != target.Task || attempt.Number != target.Number {
			kept = append(kept, attempt)
		}
	}
	m.Attempts = kept
}
