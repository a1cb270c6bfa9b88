package leader

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
)

// TestMetadataWriteBudget checks that metadata records stay within their share of the state
// service's write rate however many machines change, and that every machine is eventually
// recorded. In a simulated day with 4,000 machines, metadata records used up the writes that the
// records of starts and exits needed, and starts were delayed by a minute.
func TestMetadataWriteBudget(t *testing.T) {
	for _, c := range []struct {
		writesPerSecond float64 // accepted by the state service
		valuesPerSecond float64 // available to metadata
	}{{35, constants.MetadataWriteShare * constants.LeaderWriteShare * constants.UsableBudgetShare * 35}, {10, 1}} {
		const machines, seconds = 3000, 60
		now := time.Now()
		state := config.StateLimits{WriteRPS: 100, ValueKB: 2, TxnOps: 10, Upcoming: &config.UpcomingStateLimits{WriteRPS: &c.writesPerSecond}}
		l := leaderWithChangedImages(t, state, machines, now)

		l.logDueMetadata(now.Add(constants.MetadataDelay / 2))
		if l.metadata.bytes != 0 {
			t.Errorf("recorded before the delay has passed")
		}
		l.commits.setLastTxnFull(true, now.Add(-constants.CommitBehindAfter))
		l.logDueMetadata(now.Add(constants.MetadataDelay))
		if l.metadata.bytes != 0 {
			t.Errorf("recorded while commits of starts and exits are behind")
		}

		l.commits.setLastTxnFull(false, now)
		for tick := range int(seconds * time.Second / constants.TickInterval) {
			l.logDueMetadata(now.Add(constants.MetadataDelay + time.Duration(tick)*constants.TickInterval))
		}
		perSecond := max(c.valuesPerSecond, 1) * state.ValueKB * 1024
		if got, limit := float64(l.metadata.bytes), perSecond*(seconds+constants.MetadataBurst.Seconds()); got > limit || got < limit/2 {
			t.Errorf("%v writes per second: %.0f bytes in %d s, want at most %.0f and at least half of it", c.writesPerSecond, got, seconds, limit)
		}

		for hour := 0; len(l.metadata.due) > 0 && hour < 100; hour++ {
			for range 3600 {
				now = now.Add(time.Second)
				l.logDueMetadata(now.Add(time.Hour))
			}
		}
		if n := len(l.metadata.due); n > 0 {
			t.Errorf("%d machines were never recorded", n)
		}
	}
}

// leaderWithChangedImages returns a leader with the given number of machines, all with changed
// images.
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
