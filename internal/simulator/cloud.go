package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"thornnotch/internal/autoscaling"
)

// Boot starts a machine's worker once it is up; the worker ends with ctx.
type BootWorker func(ctx context.Context, h autoscaling.Instance)

// Cloud is a cloud that boots machines after their catalog time.
type Cloud struct {
	ctx     context.Context
	catalog autoscaling.Catalog
	boot    BootWorker
	mu      sync.Mutex
	next    int
	hosts   map[string]*host
	hires   map[string][]string
	room    int
	down    bool
}

type host struct {
	autoscaling.Instance
	since time.Time
	stop  context.CancelFunc
	end   chan struct{} // closed once nothing of it runs
}

// NewCloud makes a cloud with room for so many machines.
func NewCloud(ctx context.Context, catalog autoscaling.Catalog, room int, boot BootWorker) *Cloud {
	return &Cloud{ctx: ctx, catalog: catalog, boot: boot, room: room, hosts: make(map[string]*host), hires: make(map[string][]string)}
}

// SetDown begins or ends an outage.
func (c *Cloud) SetOutage(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Hosts counts the machines rented now.
func (c *Cloud) RentedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.hosts)
}

// Has tells whether a machine is rented.
func (c *Cloud) IsRented(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name] != nil
}

// Die ends a machine with all that is on it. It is listed as running for a
// while yet, and then as failed.
func (c *Cloud) Fail(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[name]
	if h == nil {
		return
	}
	h.stop()
	go func() {
		<-h.end
		t := time.NewTimer(30 * time.Second)
		defer t.Stop()
		select {
		case <-t.C:
			c.mu.Lock()
			h.Status = "failed"
			c.mu.Unlock()
		case <-c.ctx.Done():
		}
	}()
}

// Fill has so many machines up from the start, in the catalog's zones by turns.
func (c *Cloud) AddRunning(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	typ := c.catalog.MachineTypes[0]
	for i := range n {
		c.add(typ, typ.Zones[i%len(typ.Zones)], i%3 == 0, 0)
	}
}

// ServeHTTP answers the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		reply(w, http.StatusServiceUnavailable, fields{"error": "trouble"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		reply(w, http.StatusOK, c.catalog)
	case "POST /hosts":
		c.rent(w, r)
	case "POST /hosts/return":
		var in struct {
			Machines []string `json:"rigs"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, fields{"error": "malformed"})
			return
		}
		var ends []chan struct{}
		for _, n := range in.Machines {
			if h := c.hosts[n]; h != nil {
				h.stop()
				ends = append(ends, h.end)
				delete(c.hosts, n)
			}
		}
		// The answer means that they and all on them are gone.
		c.mu.Unlock()
		for _, end := range ends {
			<-end
		}
		c.mu.Lock()
		reply(w, http.StatusOK, fields{})
	case "GET /hosts":
		machines := []autoscaling.Instance{}
		for _, h := range c.hosts {
			h.AgeS = time.Since(h.since).Seconds()
			machines = append(machines, h.Instance)
		}
		sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
		reply(w, http.StatusOK, fields{"rigs": machines, "hasNext": false})
	default:
		http.NotFound(w, r)
	}
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var in autoscaling.RentRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.ID == "" || in.Count < 1 || in.Count > 50 {
		reply(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	typ, ok := c.catalog.Type(in.MachineType)
	if !ok {
		reply(w, http.StatusBadRequest, fields{"error": "rigType"})
		return
	}
	if names, ok := c.hires[in.ID]; ok {
		reply(w, http.StatusOK, fields{"rigs": names})
		return
	}
	n := min(in.Count, c.room-len(c.hosts))
	if n <= 0 {
		reply(w, http.StatusServiceUnavailable, fields{"error": "no capacity"})
		return
	}
	var names []string
	for range n {
		names = append(names, c.add(typ, in.Zone, in.Spot, time.Duration(typ.BootS*float64(time.Second))))
	}
	c.hires[in.ID] = names
	reply(w, http.StatusOK, fields{"rigs": names})
}

// add makes a machine that is up after a while.
func (c *Cloud) add(typ autoscaling.MachineType, hall string, spot bool, boots time.Duration) string {
	name := fmt.Sprintf("m-%06d", c.next)
	ctx, stop := context.WithCancel(c.ctx)
	h := &host{Instance: autoscaling.Instance{
		Name: name, Endpoint: fmt.Sprintf("127.0.0.1:%d", 21000+c.next), MachineType: typ.Name,
		Zone: hall, Spot: spot, Status: "starting",
	}, since: time.Now(), stop: stop, end: make(chan struct{})}
	c.next++
	c.hosts[name] = h
	go func() {
		defer close(h.end)
		t := time.NewTimer(boots)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.mu.Lock()
		h.Status = "running"
		info := h.Instance
		c.mu.Unlock()
		c.boot(ctx, info)
	}()
	return name
}
