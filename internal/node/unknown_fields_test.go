package node

import (
	"testing"
	"time"

	"thornnotch/internal/jobs"
)

// TestUnknownFieldsOfSubmissions guards against jobs that run in another zone or on spot machines against
// their users' will, because unknown fields of their submissions are taken for known ones. The leader changes
// meanwhile, so that the records are read again.
func TestUnknownFieldsOfSubmissions(t *testing.T) {
	options := smallSiteOptions()
	options.unknownFields = true
	runScenarioOnce(t, options, 17, nil, func(sc *scenario) {
		var ids []string
		for n, zone := range zones {
			job := longJob("a", alternatingKind(n), 3, 10)
			job.Zone = zone
			ids = append(ids, sc.submitNext(job))
		}
		sc.waitFor(time.Minute, "a job in a zone running", func() bool { return sc.jobStatusAt(0, ids[0]) != jobs.StatusPending })
		sc.restartLeader(2 * time.Second)
		for _, id := range ids {
			sc.waitFor(3*time.Minute, id+" done", func() bool { return sc.knownStatus(id) == jobs.StatusDone })
		}
	})
}
