package config

import (
	"fmt"
	"strings"
	"testing"

	"thornnotch/internal/constants"
)

// TestSocketsForWorkers: what our own calls need is kept from users and workers;
// on deployments of 2,100 and 1,850 machines all workers fit beside users and
// below the point from which their connections are closed after each answer.
func TestSocketsForWorkers(t *testing.T) {
	for _, c := range []struct{ all, known, workers int }{{2500, 4, 2100}, {3593, 2, 1850}, {1200, 2, 48}, {40, 2, 8}} {
		t.Run(fmt.Sprint(c.all), func(t *testing.T) {
			s := &Settings{Peers: make([]Peer, c.known)}
			s.Params.MachineLimits.Sockets = c.all
			got := s.SocketLimit()
			if got >= c.all || float64(c.workers) > constants.SocketsFull*float64(got) {
				t.Errorf("%d of %d sockets for %d workers and users", got, c.all, c.workers)
			}
			if kept := c.all - got; c.all > 1000 && kept < socketsKept(c.known) {
				t.Errorf("%d kept for our own calls", kept)
			}
		})
	}
	if new(Settings).SocketLimit() != 0 {
		t.Errorf("a limit where the settings name none")
	}
}

// TestSizeWarnings: settings under which a node can't serve so many workers are
// named with their key and the figures; enough is not complained about.
func TestSizeWarnings(t *testing.T) {
	s := &Settings{Peers: make([]Peer, 4)}
	if w := s.SizingWarnings(100000); len(w) != 0 {
		t.Errorf("without limits: %v", w)
	}
	s.Params.MachineLimits = MachineLimits{Sockets: 2500, MemMB: 271}
	if w := s.SizingWarnings(2100); len(w) != 0 {
		t.Errorf("enough for 2,100: %v", w)
	}
	s.Params.MachineLimits = MachineLimits{Sockets: 1200, MemMB: 100}
	w := strings.Join(s.SizingWarnings(2100), "\n")
	for _, part := range []string{"params.machine_limits.sockets: 1200 ", "params.machine_limits.mem_mb: 100 ", "2100 are to be expected"} {
		if !strings.Contains(w, part) {
			t.Errorf("%q is not in:\n%s", part, w)
		}
	}
	s.Params.MachineLimits = MachineLimits{}
	s.Params.Cloud = CloudLimits{RPS: 2, ListLagS: 5}
	if w := s.SizingWarnings(2000); len(w) != 0 {
		t.Errorf("four pages in 5 s at two calls a second: %v", w)
	}
	if w := strings.Join(s.SizingWarnings(6000), "\n"); !strings.Contains(w, "params.cloud.rps: 2 ") || !strings.Contains(w, "should be 4.8") {
		t.Errorf("twelve pages in 5 s at two calls a second: %q", w)
	}
	s.Params.Cloud = CloudLimits{}
	s.Params.MachineLimits = MachineLimits{Sockets: 20, MemMB: 20}
	if w := s.SizingWarnings(constants.MinWorkers); len(w) != 2 {
		t.Errorf("too little for anybody: %v", w)
	}
}
