package leader

import (
	"encoding/json"
	"reflect"
	"time"

	"golang.org/x/time/rate"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/leader/wal"
)

// metadataQueue holds the machines whose reservations or cached images have changed since
// they were last recorded. Metadata helps a later leader to place tasks well, but correctness
// does not depend on it. Its records are therefore limited in bytes per second, so that the
// records of starts and exits take precedence.
type metadataQueue struct {
	// due is the earliest time at which each machine may be recorded.
	due map[*machineState]time.Time
	// budget limits the bytes that are recorded.
	budget *rate.Limiter
	bytes  uint64 // total recorded
}

// newMetadataQueue returns an empty queue whose budget respects the state service's limits,
// including announced ones.
func newMetadataQueue(state config.StateLimits, budgets config.BudgetSettings) metadataQueue {
	_, writes := state.Rates(true)
	valueBytes := state.ValueKB * 1024
	perSecond := max(valueBytes, constants.MetadataWriteShare*budgets.LeaderWriteShare*budgets.UsableShare*writes*valueBytes)
	burst := max(valueBytes, perSecond*constants.MetadataBurst.Seconds())
	return metadataQueue{
		due:    make(map[*machineState]time.Time),
		budget: rate.NewLimiter(rate.Limit(perSecond), int(burst)),
	}
}

// add schedules a machine to be recorded after MetadataDelay, so that one record covers all
// changes until then.
func (q *metadataQueue) add(machine *machineState, now time.Time) {
	if _, queued := q.due[machine]; !queued {
		q.due[machine] = now.Add(constants.MetadataDelay)
	}
}

// recordedBytes returns the total number of bytes recorded so far.
func (q *metadataQueue) recordedBytes() uint64 { return q.bytes }

// remove drops a machine from the queue.
func (q *metadataQueue) remove(machine *machineState) { delete(q.due, machine) }

// takeDue passes each due machine and its record to take, until the budget is exhausted.
// changed returns a machine's current record and reports whether it differs from the last
// recorded one.
func (q *metadataQueue) takeDue(
	now time.Time, changed func(*machineState) (wal.Machine, bool), take func(*machineState, wal.Machine),
) {
	for machine, due := range q.due {
		if now.Before(due) {
			continue
		}
		record, differs := changed(machine)
		if !differs {
			// Most reservations are consumed before their machine is due, so nothing has
			// changed since the last record.
			q.remove(machine)
			continue
		}
		encoded, _ := json.Marshal(record) // a struct of plain fields always encodes
		if !q.budget.AllowN(now, min(len(encoded), q.budget.Burst())) {
			return // budget exhausted
		}
		q.remove(machine)
		q.bytes += uint64(len(encoded))
		take(machine, record)
	}
}

// metadataChanged schedules the machine's metadata to be recorded again and invalidates its
// view.
func (l *Leader) metadataChanged(machine *machineState, now time.Time) {
	machine.markStale()
	l.metadata.add(machine, now)
}

// logDueMetadata records the due machines until the budget is exhausted. It records nothing
// while the commits of starts and exits are behind.
func (l *Leader) logDueMetadata(now time.Time) {
	if l.commits.behind(now) {
		return
	}
	changed := func(machine *machineState) (wal.Machine, bool) {
		record := l.machineMetadata(machine)
		return record, !reflect.DeepEqual(record, machine.loggedMetadata)
	}
	l.metadata.takeDue(now, changed, func(machine *machineState, record wal.Machine) {
		l.logMachine(machine, record, nil)
	})
}

// logMetadata records everything about a machine except its attempts. committed, if not
// nil, is called once the record is committed.
func (l *Leader) logMetadata(machine *machineState, committed func()) {
	l.logMachine(machine, l.machineMetadata(machine), committed)
}

// logMachine appends a machine's record to the log and remembers it as the version logged
// last. committed, if not nil, is called once the record is committed.
func (l *Leader) logMachine(machine *machineState, record wal.Machine, committed func()) {
	machine.metadataLogged, machine.loggedMetadata = true, record
	l.wal.MachineChanged(machine.worker.Name, record, committed)
}
