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

// TestSettingsTooSmallAreTold: a node whose settings are not enough for the machines
// that come serves them all the same, and status and metrics name the setting, what it
// is and what it would have to be.
func TestSettingsTooSmallAreTold(t *testing.T) {
	layout := smallSite()
	// Room for the eight workers that any site has, not for the ten that come.
	layout.params.MachineLimits = config.MachineLimits{MemMB: constants.BaseMemoryMB + 8.5*constants.MemoryPerWorkerMB}
	layout.params.Teams[0].GuaranteedGPUs, layout.params.Teams[1].GuaranteedGPUs = 0, 0 // nothing is guaranteed
	layout.params.Teams[0].MaxGPUs = 40
	runScenarioOnce(t, layout, 14, nil, func(sc *scenario) {
		id := sc.submitNext(longJob("a", jobs.KindArray, 40, 60)) // fills all machines
		var node *Node
		sc.waitFor(time.Minute, "a node that names what is too small", func() bool {
			node = sc.undersizedNode()
			return node != nil
		})
		problem := node.ownStatus().TooSmall[0]
		if !strings.Contains(problem, "params.machine_limits.mem_mb: 24") || !strings.Contains(problem, "10 are to be expected") {
			sc.t.Errorf("it says %q", problem)
		}
		if metrics := scrapeMetrics(sc.t, node); !strings.Contains(metrics, "thornnotch_settings_too_small 1") {
			sc.t.Errorf("metrics: %s", metrics)
		}
		sc.waitFor(3*time.Minute, "done", func() bool { return sc.status(0, id) == jobs.StatusDone })
	})
}

// undersizedNode is a node whose status names settings that are too small; nil if none
// does.
func (sc *scenario) undersizedNode() *Node {
	for _, process := range sc.nodes {
		if len(process.node.ownStatus().TooSmall) > 0 {
			return process.node
		}
	}
	return nil
}

// scrapeMetrics reads a node's metrics as Prometheus does.
func scrapeMetrics(t *testing.T, node *Node) string {
	t.Helper()
	mux := http.NewServeMux()
	node.registerOperators(mux)
	response := httptest.NewRecorder()
	mux.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	return response.Body.String()
}
