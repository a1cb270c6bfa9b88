package node

import (
	"fmt"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/simulator"
)

// Tests in which the state service lowers its limits while a site is running.

// TestStateLimitsLoweredAsAnnounced lowers the state service's limits without notice to the
// values that the settings announce, while jobs are submitted and the leader restarts. No
// request may exceed the new sizes, the lower rate must be detected from refused calls, and
// all jobs must complete.
func TestStateLimitsLoweredAsAnnounced(t *testing.T) {
	valueKB, ops, writeRPS := 2.0, 4, 20.0
	options := smallSiteOptions()
	options.params.State.Upcoming = &config.UpcomingStateLimits{ValueKB: &valueKB, TxnOps: &ops, WriteRPS: &writeRPS}
	options.params.State.ValueKB, options.params.State.TxnOps = valueKB, ops // as config does on loading
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenarioOnce(t, options, seed, nil, func(sc *scenario) {
				sc.submitChains(3)
				sc.state.SetLimits(simulator.RequestLimits{ValueBytes: 2048, WritesPerTxn: 4, WritesPerSecond: writeRPS})
				for n := range 60 {
					job := testJob(0, alternatingTeam(n), jobs.KindArray, 1)
					job.ExpectedS = 1
					sc.submitNext(job)
					if n == 30 {
						sc.restartLeader(sc.randomDuration(100*time.Millisecond, 3*time.Second))
					}
					time.Sleep(sc.randomDuration(0, 300*time.Millisecond))
				}
				time.Sleep(10 * time.Second)
				if rejected := sc.state.CountFaults().TooLarge; rejected > 0 {
					sc.t.Errorf("%d requests exceeded the size limits", rejected)
				}
			})
		})
	}
}

// TestSizeLimitsLoweredBelowAnnounced lowers the size limits below every announced value while
// responses get lost. The leader must write smaller transactions and continue.
func TestSizeLimitsLoweredBelowAnnounced(t *testing.T) {
	runScenarioOnce(t, smallSiteOptions(), 7, nil, func(sc *scenario) {
		sc.submitChains(2)
		sc.state.SetTxnFaults(func(_ string, writes int) simulator.TxnFault {
			return simulator.TxnFault{ReplyLost: writes > 2 && sc.intn(4) == 0}
		})
		sc.state.SetLimits(simulator.RequestLimits{ValueBytes: 4096, WritesPerTxn: 4})
		for n := range 10 {
			sc.submitNext(testJob(0, alternatingTeam(n), jobs.KindArray, 6))
		}
		time.Sleep(40 * time.Second)
		sc.checkFaultsOccurred(sc.state.CountFaults().TooLarge > 0, "no request exceeded the size limits")
		sc.state.SetTxnFaults(nil)
	})
}
