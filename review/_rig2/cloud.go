package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// listed is the list of machines at some time.
type listed struct {
	at   time.Time
	rigs []any
}

// cloud is the stand-in of the cloud: a fixed number of machines, and no capacity for more. A
// machine that is returned ends with all that is on it.
type cloud struct {
	options siteOptions
	start   time.Time
	mu      sync.Mutex
	workers map[string]*worker
	order   []string
	hires   map[string][]string
	history []listed
	add     func(hall string) (name string, err error) // c.mu is held
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		m := c.options.machine
		writeJSON(rw, http.StatusOK, map[string]any{"rigTypes": []any{map[string]any{
			"sku": m.name, "vcpus": m.cpus, "accelerators": m.gpus, "ramGb": m.ram, "cacheGb": 80.0, "pullGbPerS": m.pullGBPerS,
			"rate": 13.2, "marketPrice": 6.21, "readyS": 25.0, "halls": c.options.zones,
		}}})
	case "POST /hosts":
		c.rent(rw, r)
	case "POST /hosts/return":
		var request struct {
			Rigs []string `json:"rigs"`
		}
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			writeJSON(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
			return
		}
		c.mu.Lock()
		for _, name := range request.Rigs {
			if w := c.workers[name]; w != nil {
				delete(c.workers, name)
				w.kill()
			}
		}
		c.mu.Unlock()
		writeJSON(rw, http.StatusOK, map[string]string{})
	case "GET /hosts":
		c.mu.Lock()
		rigs := []any{}
		for _, name := range c.order {
			w := c.workers[name]
			if w == nil || name <= r.URL.Query().Get("from") {
				continue
			}
			rigs = append(rigs, map[string]any{
				"nameId": name, "endpoint": w.endpoint, "rigType": w.rigType, "hall": w.hall, "loaners": false,
				"status": "running", "heldS": 600 + time.Since(c.start).Seconds(),
			})
		}
		c.history = append(c.history, listed{time.Now(), rigs})
		if c.options.strict { // the list lags, and may be older than the one before
			lag := time.Duration((0.5 + 1.5*rand.Float64()) * c.options.listLagS * float64(time.Second))
			for i := len(c.history) - 1; i > 0 && time.Since(c.history[i].at) < lag; i-- {
				rigs = c.history[i-1].rigs
			}
		}
		c.mu.Unlock()
		writeJSON(rw, http.StatusOK, map[string]any{"rigs": rigs, "hasNext": false})
	default:
		http.NotFound(rw, r)
	}
}

// rent rents machines while there is capacity beyond those at the start.
func (c *cloud) rent(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire  string `json:"hire"`
		Hall  string `json:"hall"`
		Count int    `json:"count"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Count < 1 {
		writeJSON(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.hires[request.Hire]
	for !known && len(names) < request.Count && len(c.workers) < c.options.capacity {
		name, err := c.add(request.Hall)
		if err != nil {
			break
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		writeJSON(rw, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.hires[request.Hire] = names
	writeJSON(rw, http.StatusOK, map[string]any{"rigs": names})
}

// kill ends the machine with all that is on it.
func (w *worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	_ = w.server.Close()
	for key, piece := range w.pieces {
		if piece.Status != "exited" {
			w.left(piece)
			w.ledger.end(w.name, piece.Piece, "machine gone")
		}
		delete(w.pieces, key)
	}
}
