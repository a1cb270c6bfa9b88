package config

import (
	"fmt"
	"strings"
	"testing"

	"thornnotch/internal/constants"
)

// TestSocketLimitLeavesRoomForWorkers checks that the sockets for the node's own calls are
// reserved, and that on deployments of 2,100 and 1,850 machines all workers can connect without
// exceeding the threshold above which their connections are closed after each response.
func TestSocketLimitLeavesRoomForWorkers(t *testing.T) {
	for _, test := range []struct{ sockets, peers, workers int }{{2500, 4, 2100}, {3593, 2, 1850}, {1200, 2, 48}, {40, 2, 8}} {
		t.Run(fmt.Sprint(test.sockets), func(t *testing.T) {
			settings := &Settings{Peers: make([]Peer, test.peers)}
			settings.Params.MachineLimits.Sockets = test.sockets
			limit := settings.SocketLimit()
			if limit >= test.sockets || float64(test.workers) > constants.FullSocketShare*float64(limit) {
				t.Errorf("limit of %d of %d sockets is too small or too large for %d workers", limit, test.sockets, test.workers)
			}
			if reserved := test.sockets - limit; test.sockets > 1000 && reserved < internalSockets(test.peers) {
				t.Errorf("%d sockets reserved, fewer than the node's own calls need", reserved)
			}
		})
	}
	if new(Settings).SocketLimit() != 0 {
		t.Errorf("SocketLimit is not 0 although the settings contain no limit")
	}
}

// TestSizingWarnings checks that there is a warning with key and figures for each setting that is
// too small for the number of workers, and none for sufficient settings.
func TestSizingWarnings(t *testing.T) {
	settings := &Settings{Peers: make([]Peer, 4)}
	if warnings := settings.SizingWarnings(100000); len(warnings) != 0 {
		t.Errorf("without limits: warnings %v, want none", warnings)
	}

	settings.Params.MachineLimits = MachineLimits{Sockets: 2500, MemoryMB: 271}
	if warnings := settings.SizingWarnings(2100); len(warnings) != 0 {
		t.Errorf("sufficient for 2,100 workers: warnings %v, want none", warnings)
	}
	settings.Params.MachineLimits = MachineLimits{Sockets: 1200, MemoryMB: 100}
	text := strings.Join(settings.SizingWarnings(2100), "\n")
	for _, want := range []string{"params.machine_limits.sockets: 1200 ", "params.machine_limits.mem_mb: 100 ", "2100 are to be expected"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in:\n%s", want, text)
		}
	}

	settings.Params.MachineLimits = MachineLimits{}
	settings.Params.Cloud = CloudLimits{RPS: 2, ListLagS: 5}
	if warnings := settings.SizingWarnings(2000); len(warnings) != 0 {
		t.Errorf("4 pages in 5 s at 2 requests/s: warnings %v, want none", warnings)
	}
	text = strings.Join(settings.SizingWarnings(6000), "\n")
	if !strings.Contains(text, "params.cloud.rps: 2 ") || !strings.Contains(text, "should be 4.8") {
		t.Errorf("12 pages in 5 s at 2 requests/s: warnings %q, want a rate of 4.8", text)
	}

	settings.Params.Cloud = CloudLimits{}
	settings.Params.MachineLimits = MachineLimits{Sockets: 20, MemoryMB: 20}
	if warnings := settings.SizingWarnings(constants.MinWorkers); len(warnings) != 2 {
		t.Errorf("below the minimum capacity: warnings %v, want one for sockets and one for memory", warnings)
	}
}
