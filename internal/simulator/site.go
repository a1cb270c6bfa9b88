package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"thornnotch/internal/autoscaling"
	"thornnotch/internal/config"
	"thornnotch/internal/jobs"
	"thornnotch/internal/workers"
)

const (
	siteMachines          = 12          // that the site's cloud has
	siteFetchTime         = time.Second // of any image
	siteReadHeaderTimeout = 10 * time.Second

	// lossSeed has the same transactions lost in each run.
	lossSeed = 7
	// lateShare is the part of the lost transactions that is carried out late, at least
	// lateAfterS and less than lateAfterS+lateSpreadS seconds after.
	lateShare   = 0.5
	lateAfterS  = 1.0
	lateSpreadS = 3.0
)

// ServeSite runs a state service, a cloud and its machines on this computer, for the nodes
// that the settings describe, until ctx ends. The nodes' own addresses for users are given by
// label, for the workers. Of the transactions to the state service that write, the part lost
// gets no answer.
func ServeSite(ctx context.Context, settings *config.Settings, nodes map[string]string, lost float64, log *slog.Logger) error {
	state := NewStateService()
	defer state.Close()
	if lost > 0 {
		state.SetFate(losses(lost, log))
	}
	cloud := NewCloud(ctx, siteCatalog(settings.Params.Zones), siteMachines, bootSiteWorker(settings, nodes, state, log))
	failed := make(chan error, 2)
	for addr, handler := range map[string]http.Handler{settings.Services.State: state, settings.Services.Cloud: cloud} {
		if err := serveLoopback(ctx, addr, handler, failed); err != nil {
			return err
		}
	}
	log.Info("stand-ins serve", "state", settings.Services.State, "cloud", settings.Services.Cloud)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// serveLoopback serves until ctx ends; how that ends goes to failed.
func serveLoopback(ctx context.Context, addr string, handler http.Handler, failed chan<- error) error {
	if !strings.HasPrefix(addr, "127.") {
		return fmt.Errorf("stand-ins serve on loopback only, not on %s", addr)
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: siteReadHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { failed <- server.Serve(listener) }()
	return nil
}

func siteCatalog(zones []string) autoscaling.Catalog {
	return autoscaling.Catalog{MachineTypes: []autoscaling.MachineType{{
		Name: "demo-4g", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 80, FetchGBPerS: 1,
		OnDemandPrice: 10, SpotPrice: 5, BootS: 2, Zones: zones,
	}}}
}

// bootSiteWorker runs the workers of the site's machines.
func bootSiteWorker(settings *config.Settings, nodes map[string]string, state *StateService, log *slog.Logger) BootWorker {
	timings := settings.Params.Workers
	gangs := NewGangRegistry()
	var addrs []string
	for _, addr := range nodes {
		addrs = append(addrs, addr)
	}
	return func(ctx context.Context, instance autoscaling.Instance) {
		worker := NewWorker(WorkerOptions{
			Name: instance.Name, Addr: instance.Endpoint, MachineType: instance.MachineType,
			Zone: instance.Zone, Spot: instance.Spot,
			Nodes: addrs, NodeByLabel: nodes,
			HeartbeatInterval: config.Seconds(timings.HeartbeatS), Lease: config.Seconds(timings.LeaseS),
			FetchTime: siteFetchTime, GangWait: config.Seconds(timings.GangWaitS),
		}, systemNetwork{}, submittedJobs{state}, logObserver{log}, gangs)
		if err := worker.Run(ctx); err != nil && ctx.Err() == nil {
			log.Error("machine ended", "machine", instance.Name, "error", err)
		}
	}
}

// losses has a part of the transactions that write get no answer. Half of these are carried
// out at once, the others some seconds late, if their conditions still hold.
func losses(part float64, log *slog.Logger) func(caller string, writes int) Fate {
	draw := rand.New(rand.NewPCG(lossSeed, lossSeed))
	return func(_ string, writes int) Fate {
		if writes == 0 || draw.Float64() >= part {
			return Fate{}
		}
		late := draw.Float64() < lateShare
		log.Info("answer lost", "late", late)
		if !late {
			return Fate{Lost: true}
		}
		return Fate{Lost: true, After: config.Seconds(lateAfterS + draw.Float64()*lateSpreadS)}
	}
}

// systemNetwork is the computer's own network.
type systemNetwork struct{}

// Listen opens a listener.
func (systemNetwork) Listen(network, addr string) (net.Listener, error) {
	var listen net.ListenConfig
	return listen.Listen(context.Background(), network, addr)
}

// DialContext connects to an address.
func (systemNetwork) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, addr)
}

// submittedJobs lets workers find a job's specification where the nodes keep it.
type submittedJobs struct{ state *StateService }

// Job is the job's specification; false if no such job is open.
func (s submittedJobs) Job(id string) (*jobs.Spec, bool) {
	record := s.state.Get(jobs.OpenPrefix + id)
	if record == nil {
		return nil, false
	}
	var spec jobs.Spec
	if json.Unmarshal(record, &spec) != nil {
		return nil, false
	}
	return &spec, true
}

// logObserver logs what runs where.
type logObserver struct{ log *slog.Logger }

// TaskStarted logs that a task is on a machine.
func (l logObserver) TaskStarted(machine, zone string, _ bool, task workers.TaskID, attempt uint64, _ *jobs.Spec) {
	l.log.Info("task on machine", "task", task, "attempt", attempt, "machine", machine, "zone", zone)
}

// TaskEnded logs that a task is off a machine.
func (l logObserver) TaskEnded(machine string, task workers.TaskID, attempt uint64, done bool) {
	l.log.Info("task off machine", "task", task, "attempt", attempt, "machine", machine, "done", done)
}
