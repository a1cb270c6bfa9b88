package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/jobs"
)

// TestUndersizedSettingsAreReported checks that a node whose settings are too small for the
// fleet still serves it, and that its status and metrics report the setting with its actual
// and its required value.
func TestUndersizedSettingsAreReported(t *testing.T) {
	options := smallSiteOptions()
	// Enough memory for the minimum of eight workers, but not for the ten that connect.
	options.params.MachineLimits = config.MachineLimits{MemoryMB: constants.BaseMemoryMB + 8.5*constants.MemoryPerWorkerMB}
	options.params.Teams[0].GuaranteedGPUs, options.params.Teams[1].GuaranteedGPUs = 0, 0 // no guarantees, so that only the fleet size counts
	options.params.Teams[0].MaxGPUs = 40
	runScenarioOnce(t, options, 14, nil, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 40, 60)) // fills all ten machines
		var node *Node
		sc.waitFor(time.Minute, "a node that reports undersized settings", func() bool {
			node = sc.undersizedNode()
			return node != nil
		})
		warning := node.ownStatus().UndersizedSettings[0]
		if !strings.Contains(warning, "params.machine_limits.mem_mb: 24") || !strings.Contains(warning, "10 are to be expected") {
			sc.t.Errorf("reported warning is %q, want mem_mb at 24 and 10 expected workers", warning)
		}
		if metrics := scrapeMetrics(sc.t, node); !strings.Contains(metrics, "thornnotch_settings_too_small 1") {
			sc.t.Errorf("thornnotch_settings_too_small is not 1 in the metrics: %s", metrics)
		}
		sc.waitFor(3*time.Minute, "the job to complete", func() bool { return sc.status(0, id) == jobs.StatusDone })
	})
}

// undersizedNode returns a node whose status reports undersized settings, or nil.
func (sc *scenario) undersizedNode() *Node {
	for _, process := range sc.nodes {
		if len(process.node.ownStatus().UndersizedSettings) > 0 {
			return process.node
		}
	}
	return nil
}

// scrapeMetrics returns a node's metrics as Prometheus scrapes them.
func scrapeMetrics(t *testing.T, node *Node) string {
	t.Helper()
	mux := http.NewServeMux()
	node.registerOperatorEndpoints(mux)
	response := httptest.NewRecorder()
	mux.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	return response.Body.String()
}
