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

// Statuses of machines in the cloud's list (protocol).
const (
	statusStarting = "starting"
	statusRunning  = "running"
	statusFailed   = "failed"
)

const (
	// maxRentCount is the largest number of machines in one request (protocol).
	maxRentCount = 50
	// failureListedAfter is how long a machine that died stays listed as running (protocol).
	failureListedAfter = 30 * time.Second
	// firstWorkerPort is the port of the first machine's worker; the others follow.
	firstWorkerPort = 21000
)

// BootWorker starts a machine's worker once it is up, and returns when ctx has ended and
// nothing of the worker runs any more.
type BootWorker func(ctx context.Context, instance autoscaling.Instance)

// Cloud is a cloud that boots machines in their catalog time.
type Cloud struct {
	ctx     context.Context //nolint:containedctx // machines outlive the request that rents them, and end with the cloud
	catalog autoscaling.Catalog
	boot    BootWorker
	room    int // machines that it has, rented or not

	mu       sync.Mutex // guards all below
	next     int        // number of the next machine
	machines map[string]*rentedMachine
	rented   map[string][]string // names by rent request, for repeated ones
	outage   bool
}

type rentedMachine struct {
	autoscaling.Instance
	rentedAt time.Time
	stop     context.CancelFunc
	ended    chan struct{} // closed once nothing of it runs
}

// NewCloud makes a cloud with room for so many machines. They end with ctx.
func NewCloud(ctx context.Context, catalog autoscaling.Catalog, room int, boot BootWorker) *Cloud {
	return &Cloud{
		ctx: ctx, catalog: catalog, boot: boot, room: room,
		machines: make(map[string]*rentedMachine), rented: make(map[string][]string),
	}
}

// SetOutage begins or ends an outage.
func (c *Cloud) SetOutage(outage bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = outage
}

// RentedCount counts the machines rented now.
func (c *Cloud) RentedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// IsRented tells whether a machine is rented.
func (c *Cloud) IsRented(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name] != nil
}

// Fail ends a machine with all that is on it. It is listed as running for a while yet, and
// then as failed.
func (c *Cloud) Fail(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.machines[name]
	if machine == nil {
		return
	}
	machine.stop()
	go func() {
		<-machine.ended
		timer := time.NewTimer(failureListedAfter)
		defer timer.Stop()
		select {
		case <-timer.C:
			c.setStatus(machine, statusFailed)
		case <-c.ctx.Done():
		}
	}()
}

// setStatus changes a machine's status in the list, and returns the machine as listed.
func (c *Cloud) setStatus(machine *rentedMachine, status string) autoscaling.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine.Status = status
	return machine.Instance
}

// AddRunning adds so many machines that are up at once, in the catalog's zones by turns;
// every third is a spot machine.
func (c *Cloud) AddRunning(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machineType := c.catalog.MachineTypes[0]
	for i := range count {
		c.add(machineType, machineType.Zones[i%len(machineType.Zones)], i%3 == 0, 0)
	}
}

// ServeHTTP answers the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		refuse(w, http.StatusServiceUnavailable, errorOutage)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		reply(w, http.StatusOK, c.catalog)
	case "POST /hosts":
		c.rent(w, r)
	case "POST /hosts/return":
		c.takeBack(w, r)
	case "GET /hosts":
		c.list(w)
	default:
		http.NotFound(w, r)
	}
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request autoscaling.RentRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.ID == "" || request.Count < 1 || request.Count > maxRentCount {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	machineType, ok := c.catalog.Type(request.MachineType)
	if !ok {
		refuse(w, http.StatusBadRequest, "rigType")
		return
	}
	if names, ok := c.rented[request.ID]; ok {
		reply(w, http.StatusOK, namesMessage{names})
		return
	}
	count := min(request.Count, c.room-len(c.machines))
	if count <= 0 {
		refuse(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	bootTime := time.Duration(machineType.BootS * float64(time.Second))
	var names []string
	for range count {
		names = append(names, c.add(machineType, request.Zone, request.Spot, bootTime)) //nolint:contextcheck // the machine outlives the request
	}
	c.rented[request.ID] = names
	reply(w, http.StatusOK, namesMessage{names})
}

// takeBack ends machines. The answer means that they and all that was on them are gone.
func (c *Cloud) takeBack(w http.ResponseWriter, r *http.Request) {
	var request namesMessage
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	var ending []*rentedMachine
	for _, name := range request.Machines {
		if machine := c.machines[name]; machine != nil {
			machine.stop()
			ending = append(ending, machine)
			delete(c.machines, name)
		}
	}
	c.mu.Unlock()
	for _, machine := range ending {
		<-machine.ended
	}
	c.mu.Lock()
	reply(w, http.StatusOK, emptyReply{})
}

func (c *Cloud) list(w http.ResponseWriter) {
	page := machinesReply{Machines: []autoscaling.Instance{}}
	for _, machine := range c.machines {
		machine.AgeS = time.Since(machine.rentedAt).Seconds()
		page.Machines = append(page.Machines, machine.Instance)
	}
	sort.Slice(page.Machines, func(i, j int) bool { return page.Machines[i].Name < page.Machines[j].Name })
	reply(w, http.StatusOK, page)
}

// add makes a machine that is up after its boot time, and returns its name; c.mu is held.
func (c *Cloud) add(machineType autoscaling.MachineType, zone string, spot bool, bootTime time.Duration) string {
	ctx, stop := context.WithCancel(c.ctx)
	machine := &rentedMachine{
		Instance: autoscaling.Instance{
			Name: fmt.Sprintf("m-%06d", c.next), Endpoint: fmt.Sprintf("127.0.0.1:%d", firstWorkerPort+c.next),
			MachineType: machineType.Name, Zone: zone, Spot: spot, Status: statusStarting,
		},
		rentedAt: time.Now(), stop: stop, ended: make(chan struct{}),
	}
	c.next++
	c.machines[machine.Name] = machine
	go func() {
		defer close(machine.ended)
		c.run(ctx, machine, bootTime)
	}()
	return machine.Name
}

// run boots a machine and runs its worker until ctx ends.
func (c *Cloud) run(ctx context.Context, machine *rentedMachine, bootTime time.Duration) {
	timer := time.NewTimer(bootTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		c.boot(ctx, c.setStatus(machine, statusRunning))
	}
}
