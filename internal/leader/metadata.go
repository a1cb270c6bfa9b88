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

// metadataQueue are the machines whose holds and images have changed since they were
// recorded. A later leader serves better for knowing them, but nothing rests on them, so
// their records are bounded in bytes a second: starts and ends come first.
type metadataQueue struct {
	// due is from when on each machine may be recorded.
	due map[*machineState]time.Time
	// budget is in bytes.
	budget *rate.Limiter
	bytes  uint64 // recorded so far
}

// newMetadataQueue makes the queue of a term within the state service's limits, also those
// to come.
func newMetadataQueue(state config.StateLimits, share config.BudgetSettings) metadataQueue {
	_, writes := state.Rates(true)
	valueBytes := state.ValueKB * 1024
	perSecond := max(valueBytes, constants.MetadataWriteShare*share.LeaderWriteShare*share.Use*writes*valueBytes)
	burst := max(valueBytes, perSecond*constants.MetadataBurst.Seconds())
	return metadataQueue{
		due:    make(map[*machineState]time.Time),
		budget: rate.NewLimiter(rate.Limit(perSecond), int(burst)),
	}
}

// add has a machine recorded within a while, with what changes until then.
func (q *metadataQueue) add(machine *machineState, now time.Time) {
	if _, waits := q.due[machine]; !waits {
		q.due[machine] = now.Add(constants.MetadataDelay)
	}
}

// recordedBytes is a running sum of what was recorded.
func (q *metadataQueue) recordedBytes() uint64 { return q.bytes }

// remove takes a machine out that is no more.
func (q *metadataQueue) remove(machine *machineState) { delete(q.due, machine) }

// takeDue hands over the machines that have been due for a while, each with its record, as
// far as the budget allows. changed makes a machine's record, and tells whether it differs
// from the one that was made last.
func (q *metadataQueue) takeDue(
	now time.Time, changed func(*machineState) (wal.Machine, bool), take func(*machineState, wal.Machine),
) {
	for machine, due := range q.due {
		if now.Before(due) {
			continue
		}
		record, differs := changed(machine)
		if !differs {
			// Most holds are taken up before this comes round: nothing to record.
			q.remove(machine)
			continue
		}
		encoded, _ := json.Marshal(record) // plain fields always encode
		if !q.budget.AllowN(now, min(len(encoded), q.budget.Burst())) {
			return // the rest has to wait
		}
		q.remove(machine)
		q.bytes += uint64(len(encoded))
		take(machine, record)
	}
}

// metadataChanged has the machine's holds and images recorded again within a while.
func (l *Leader) metadataChanged(machine *machineState, now time.Time) {
	machine.markStale()
	l.metadata.add(machine, now)
}

// logDueMetadata records what has been due for a while, as far as the budget allows, and
// nothing while the records of starts and ends are behind.
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

// logMetadata has all but a machine's attempts recorded; committed is called once that
// stands, unless it is nil.
func (l *Leader) logMetadata(machine *machineState, committed func()) {
	l.logMachine(machine, l.machineMetadata(machine), committed)
}

func (l *Leader) logMachine(machine *machineState, record wal.Machine, committed func()) {
	machine.metadataLogged, machine.loggedMetadata = true, record
	l.wal.MachineChanged(machine.agent.Name, record, committed)
}
