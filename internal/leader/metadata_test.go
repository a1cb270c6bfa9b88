package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// TestMetadataIsBounded: whatever the number of machines whose images change, their
// records take no more than their part of the state service's changes, and in the end
// each is recorded. On a trial day of 4,000 machines they used up what the records of
// starts and ends needed, and starts waited for a minute.
func TestMetadataIsBounded(t *testing.T) {
	for _, c := range []struct {
		writesPerSecond float64 // that the state service takes
		valuesPerSecond float64 // that metadata may take of it
	}{{35, constants.MetadataWriteShare * constants.LeaderWriteShare * constants.BudgetUse * 35}, {10, 1}} {
		const machines, seconds = 3000, 60
		now := time.Now()
		state := config.StateLimits{WriteRPS: 100, ValueKB: 2, TxnOps: 10, Next: &config.UpcomingStateLimits{WriteRPS: &c.writesPerSecond}}
		l := leaderWithChangedImages(t, state, machines, now)

		l.logDueMetadata(now.Add(constants.MetadataDelay / 2))
		if l.metadata.bytes != 0 {
			t.Errorf("recorded before it is quiet")
		}
		l.commits.setMore(true, now.Add(-constants.CommitBehindAfter))
		l.logDueMetadata(now.Add(constants.MetadataDelay))
		if l.metadata.bytes != 0 {
			t.Errorf("recorded while starts and ends wait")
		}

		l.commits.setMore(false, now)
		for tick := range int(seconds * time.Second / constants.TickInterval) {
			l.logDueMetadata(now.Add(constants.MetadataDelay + time.Duration(tick)*constants.TickInterval))
		}
		perSecond := max(c.valuesPerSecond, 1) * state.ValueKB * 1024
		if got, most := float64(l.metadata.bytes), perSecond*(seconds+constants.MetadataBurst.Seconds()); got > most || got < most/2 {
			t.Errorf("%v changes a second: %.0f bytes in %d s, at most %.0f", c.writesPerSecond, got, seconds, most)
		}

		for hour := 0; len(l.metadata.due) > 0 && hour < 100; hour++ {
			for range 3600 {
				now = now.Add(time.Second)
				l.logDueMetadata(now.Add(time.Hour))
			}
		}
		if n := len(l.metadata.due); n > 0 {
			t.Errorf("%d machines are never recorded", n)
		}
	}
}

// leaderWithChangedImages makes a leader of so many machines, whose images have all changed.
func leaderWithChangedImages(t *testing.T, state config.StateLimits, machines int, now time.Time) *Leader {
	t.Helper()
	l := testLeader(t)
	l.deps.Settings.Params.State = state
	l.metadata = newMetadataQueue(state, config.DefaultOperator().Budgets)
	l.openLog(l.wal.Head(), 0)
	for i := range machines {
		machine := addMachine(l, fmt.Sprintf("m-%06d", i), "east", now)
		for k := range 6 {
			machine.images.use(fmt.Sprintf("img-%02d-%06d", k, i), 5, true, 0)
		}
		l.metadataChanged(machine, now)
	}
	return l
}
