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
	lay := small()
	// Room for the eight workers that any site has, not for the ten that come.
	lay.params.MachineLimits = config.MachineLimits{MemMB: constants.BaseMemoryMB + 8.5*constants.MemoryPerWorkerMB}
	lay.params.Teams[0].GuaranteedGPUs, lay.params.Teams[1].GuaranteedGPUs = 0, 0 // nothing is guaranteed
	lay.params.Teams[0].MaxGPUs = 40
	meetOnce(t, lay, 14, nil, func(m *scenario) {
		id := m.run(long("a", jobs.KindArray, 40, 60)) // fills all machines
		told := func() *Node {
			for _, p := range m.nodes {
				if len(p.node.ownStatus().TooSmall) > 0 {
					return p.node
				}
			}
			return nil
		}
		m.until(time.Minute, "a node that names what is too small", func() bool { return told() != nil })
		node := told()
		if problem := node.ownStatus().TooSmall[0]; !strings.Contains(problem, "params.machine_limits.mem_mb: 24") || !strings.Contains(problem, "10 are to be expected") {
			t.Errorf("it says %q", problem)
		}
		mux := http.NewServeMux()
		node.registerOperators(mux)
		answer := httptest.NewRecorder()
		mux.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if !strings.Contains(answer.Body.String(), "thornnotch_settings_too_small 1") {
			t.Errorf("metrics: %s", answer.Body)
		}
		m.until(3*time.Minute, "done", func() bool { return m.status(0, id) == jobs.StatusDone })
	})
}
