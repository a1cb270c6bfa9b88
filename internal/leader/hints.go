package leader

import (
	"encoding/json"
	"reflect"
	"time"

	"golang.org/x/time/rate"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// metadataQueue are the machines whose holds and images have changed since they were
// recorded. A later leader serves better for knowing them, but nothing rests on
// them, so their records are bounded in bytes a second: starts and ends come first.
type metadataQueue struct {
	// due is from when on each may be recorded.
	due    map[*machineState]time.Time
	budget *rate.Limiter // bytes
}

// newMetadataQueue makes the hints of a term within the state service's limits, also those
// to come.
func newMetadataQueue(state config.StateLimits, share config.BudgetSettings) metadataQueue {
	_, changes := state.Rates(true)
	value := state.ValueKB * 1024
	perSecond := max(value, constants.MetadataWriteShare*share.LeaderWriteShare*share.Use*changes*value)
	return metadataQueue{
		due:    make(map[*machineState]time.Time),
		budget: rate.NewLimiter(rate.Limit(perSecond), int(max(value, perSecond*constants.MetadataBurst.Seconds()))),
	}
}

// metadataChanged has the machine's holds and images recorded again within a while.
func (l *Leader) metadataChanged(machine *machineState, now time.Time) {
	machine.markStale()
	if _, waits := l.metadata.due[machine]; !waits {
		l.metadata.due[machine] = now.Add(constants.MetadataDelay)
	}
}

// logDueMetadata records what has been due for a while, as far as the budget allows, and
// nothing while the records of starts and ends are behind.
func (l *Leader) logDueMetadata(now time.Time) {
	if l.commits.behind(now) {
		return
	}
	for machine, due := range l.metadata.due {
		if now.Before(due) {
			continue
		}
		meta := l.machineMetadata(machine)
		// Most holds are taken up before this comes round: nothing to record.
		if reflect.DeepEqual(meta, machine.loggedMetadata) {
			delete(l.metadata.due, machine)
			continue
		}
		raw, _ := json.Marshal(meta) // plain fields always encode
		if !l.metadata.budget.AllowN(now, min(len(raw), l.metadata.budget.Burst())) {
			return // the rest has to wait
		}
		delete(l.metadata.due, machine)
		l.counts.HintBytes += uint64(len(raw))
		l.logMetadata(machine, nil)
	}
}
