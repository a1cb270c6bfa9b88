package simulator

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"thornnotch/internal/autoscaling"
)

// Machine statuses that the protocol defines for the cloud's machine list.
const (
	statusStarting = "starting"
	statusRunning  = "running"
	statusFailed   = "failed"
)

const (
	// maxRentCount is the maximum number of machines that the protocol allows in one rent
	// request.
	maxRentCount = 50
	// failureReportDelay is how long the cloud still lists a failed machine as running, by the
	// protocol.
	failureReportDelay = 30 * time.Second
	// firstWorkerPort is the port of the first machine's worker. Each further machine uses
	// the next port.
	firstWorkerPort = 21000
)

// WorkerRunner runs the worker of a machine that has booted. It returns after ctx is done,
// once none of the worker's goroutines are running.
type WorkerRunner func(ctx context.Context, instance autoscaling.Instance)

// Cloud simulates the cloud API. A rented machine boots in the time that the catalog states for
// its type.
type Cloud struct {
	ctx       context.Context //nolint:containedctx // machines outlive the request that rents them and stop with the cloud
	catalog   autoscaling.Catalog
	runWorker WorkerRunner
	capacity  int // maximum number of machines rented at once

	mu             sync.Mutex // guards the fields below
	nextNumber     int        // used in the next machine's name and port
	machines       map[string]*rentedMachine
	namesByRequest map[string][]string // machines rented per request ID, for repeated requests
	outage         bool
}

type rentedMachine struct {
	autoscaling.Instance
	rentedAt time.Time
	stop     context.CancelFunc
	stopped  chan struct{} // closed once the machine's worker has stopped
}

// NewCloud returns a cloud that rents out up to capacity machines at once. All machines stop
// when ctx is done.
func NewCloud(ctx context.Context, catalog autoscaling.Catalog, capacity int, runWorker WorkerRunner) *Cloud {
	return &Cloud{
		ctx: ctx, catalog: catalog, runWorker: runWorker, capacity: capacity,
		machines: make(map[string]*rentedMachine), namesByRequest: make(map[string][]string),
	}
}

// SetOutage starts or ends an outage, during which every request fails with 503.
func (c *Cloud) SetOutage(outage bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = outage
}

// RentedCount returns the number of machines that are currently rented.
func (c *Cloud) RentedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

// IsRented reports whether the machine is currently rented.
func (c *Cloud) IsRented(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name] != nil
}

// FailMachine stops a machine and everything that runs on it. The cloud still lists the
// machine as running for failureReportDelay, and then as failed.
func (c *Cloud) FailMachine(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.machines[name]
	if machine == nil {
		return
	}
	machine.stop()
	go func() {
		<-machine.stopped
		timer := time.NewTimer(failureReportDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
			c.setStatus(machine, statusFailed)
		case <-c.ctx.Done():
		}
	}()
}

// setStatus sets the status under which the cloud lists the machine, and returns the machine
// as listed.
func (c *Cloud) setStatus(machine *rentedMachine, status string) autoscaling.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine.Status = status
	return machine.Instance
}

// AddRunning adds count machines that boot immediately. They are spread round-robin over the
// zones of the catalog's first machine type, and every third one is a spot machine.
func (c *Cloud) AddRunning(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machineType := c.catalog.MachineTypes[0]
	for i := range count {
		c.addMachine(machineType, machineType.Zones[i%len(machineType.Zones)], i%3 == 0, 0)
	}
}

// ServeHTTP implements http.Handler with the cloud's API.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outage {
		writeError(w, http.StatusServiceUnavailable, unavailableReason)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		writeReply(w, http.StatusOK, c.catalog)
	case "POST /hosts":
		c.rentMachines(w, r)
	case "POST /hosts/return":
		c.returnMachines(w, r)
	case "GET /hosts":
		c.listMachines(w)
	default:
		http.NotFound(w, r)
	}
}

func (c *Cloud) rentMachines(w http.ResponseWriter, r *http.Request) {
	var request autoscaling.RentRequest
	if readRequest(r, &request) != nil || request.ID == "" || request.Count < 1 || request.Count > maxRentCount {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	machineType, ok := c.catalog.Type(request.MachineType)
	if !ok {
		writeError(w, http.StatusBadRequest, "rigType")
		return
	}
	if names, ok := c.namesByRequest[request.ID]; ok {
		writeReply(w, http.StatusOK, machineNames{names})
		return
	}
	count := min(request.Count, c.capacity-len(c.machines))
	if count <= 0 {
		writeError(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	bootTime := time.Duration(machineType.BootS * float64(time.Second))
	var names []string
	for range count {
		names = append(names, c.addMachine(machineType, request.Zone, request.Spot, bootTime)) //nolint:contextcheck // the machine outlives the request
	}
	c.namesByRequest[request.ID] = names
	writeReply(w, http.StatusOK, machineNames{names})
}

// returnMachines stops the machines named in the request. It replies only after the machines
// and everything on them have stopped, as the protocol requires. It releases c.mu meanwhile.
func (c *Cloud) returnMachines(w http.ResponseWriter, r *http.Request) {
	var request machineNames
	if readRequest(r, &request) != nil {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	var returned []*rentedMachine
	for _, name := range request.Machines {
		if machine := c.machines[name]; machine != nil {
			machine.stop()
			returned = append(returned, machine)
			delete(c.machines, name)
		}
	}
	c.mu.Unlock()
	for _, machine := range returned {
		<-machine.stopped
	}
	c.mu.Lock()
	writeReply(w, http.StatusOK, emptyReply{})
}

func (c *Cloud) listMachines(w http.ResponseWriter) {
	page := machineListReply{Machines: []autoscaling.Instance{}}
	for _, machine := range c.machines {
		machine.AgeS = time.Since(machine.rentedAt).Seconds()
		page.Machines = append(page.Machines, machine.Instance)
	}
	sort.Slice(page.Machines, func(i, j int) bool { return page.Machines[i].Name < page.Machines[j].Name })
	writeReply(w, http.StatusOK, page)
}

// addMachine adds a machine that starts its worker after bootTime, and returns its name. The
// caller must hold c.mu.
func (c *Cloud) addMachine(machineType autoscaling.MachineType, zone string, spot bool, bootTime time.Duration) string {
	ctx, stop := context.WithCancel(c.ctx)
	machine := &rentedMachine{
		Instance: autoscaling.Instance{
			Name: fmt.Sprintf("m-%06d", c.nextNumber), Endpoint: fmt.Sprintf("127.0.0.1:%d", firstWorkerPort+c.nextNumber),
			MachineType: machineType.Name, Zone: zone, Spot: spot, Status: statusStarting,
		},
		rentedAt: time.Now(), stop: stop, stopped: make(chan struct{}),
	}
	c.nextNumber++
	c.machines[machine.Name] = machine
	go func() {
		defer close(machine.stopped)
		c.runMachine(ctx, machine, bootTime)
	}()
	return machine.Name
}

// runMachine waits for the boot time and then runs the machine's worker until ctx is done.
func (c *Cloud) runMachine(ctx context.Context, machine *rentedMachine, bootTime time.Duration) {
	timer := time.NewTimer(bootTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		c.runWorker(ctx, c.setStatus(machine, statusRunning))
	}
}
